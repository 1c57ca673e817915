//! Operators: their orders, how these end, and the checks of the end.

use grebepath_core::config::types::Config;

use super::*;

/// Sends an operator's order after a while.
pub fn order(w: &mut World, after: Span, order: Order) -> usize {
    w.orders.push(order);
    let id = w.orders.len() - 1;
    push(w, after, ScheduledEvent::Operate { order: id });
    id
}

/// An order that sets a whole configuration.
pub fn whole(conf: &Value) -> Order {
    plain(Operation::Replace(conf.to_string().into_bytes()))
}

/// An order that changes some of it.
pub fn patch(val: &Value) -> Order {
    plain(Operation::Patch(val.to_string().into_bytes()))
}

pub(super) fn plain(deed: Operation) -> Order {
    let request = None;
    Order { request, deed, at: 0, seat: None, done: None, zone: None, mark: None, expect: None }
}

/// An order that adds pools with much text: a large configuration.
pub fn grown(pools: u64, bytes: usize) -> Order {
    let list: Vec<Value> = (0..pools)
        .map(|i| {
            json!({ "name": format!("spare-{i}"), "service": format!("spare-{i}"),
                    "labels": { "note": "x".repeat(bytes) } })
        })
        .collect();
    patch(&json!({ "pools": list }))
}

/// An order that empties or fills a zone.
pub fn drain(zone: &str, on: bool) -> Order {
    let state = if on { "drained" } else { "open" };
    let mut o = patch(&json!({ "zones": [{ "name": zone, "state": state }] }));
    o.zone = Some((zone.to_string(), on));
    o
}

/// An order whose trace can be looked for at the end.
pub fn marked(n: usize) -> Order {
    let name = format!("mark-{n}");
    let mut o = patch(&json!({ "zones": [{ "name": name, "state": "open" }] }));
    o.mark = Some(name);
    o
}

/// Operators send whole and partial changes at the same moment, to any seat.
/// Who sends a whole one has read the configuration and says which it was, so
/// nothing that is accepted in between may be lost.
pub fn race(w: &mut World, count: u64) {
    let fits = |s: &usize| w.seats[*s].up && seated(&w.seats[*s]);
    let seats: Vec<usize> = (0..w.seats.len()).filter(fits).collect();
    for i in 0..count {
        let n = w.orders.len();
        let mut o = marked(n);
        if i % 2 == 0 {
            let Some(s) = seats.get(w.luck.below(seats.len() as u64) as usize) else {
                return;
            };
            let part = &w.seats[*s].core.partitions[0];
            let Ok(conf) = Config::from_entries(&part.committed) else { return };
            let mut val = conf.to_json();
            if let Some(zones) = val["zones"].as_array_mut() {
                zones.push(json!({ "name": format!("mark-{n}"), "state": "open" }));
            }
            (o.deed, o.expect) = (whole(&val).deed, Some(part.committed_revision));
        }
        order(w, 0, o);
    }
}

pub(super) fn operate(w: &mut World, id: usize) {
    let up: Vec<usize> = (0..w.seats.len()).filter(|s| w.seats[*s].up).collect();
    if up.is_empty() {
        // Nobody to ask; the operator tries again, as grebectl does.
        return push(w, ms(500), ScheduledEvent::Operate { order: id });
    }
    let s = w.orders[id]
        .seat
        .filter(|s| up.contains(s))
        .unwrap_or_else(|| up[w.luck.below(up.len() as u64) as usize]);
    if w.orders[id].at == 0 {
        w.orders[id].at = w.now;
    }
    // Once filling is asked it may come to be before its outcome is told.
    if let Some((zone, false)) = &w.orders[id].zone {
        w.rules.drained.remove(zone);
    }
    rules::tell(&mut w.rules, w.now - BEGIN, || format!("order {id} sent to controller {s}"));
    let life = w.seats[s].life;
    let event = CoreEvent::Operate {
        op: id as u64,
        request: w.orders[id].request.clone().unwrap_or_else(|| format!("order-{id}")),
        expect: w.orders[id].expect,
        deed: w.orders[id].deed.clone(),
    };
    push(w, ms(1), ScheduledEvent::ToSeat { s, life, event });
}

pub(super) fn told(w: &mut World, id: usize, done: OperationResult) {
    if id >= w.orders.len() {
        // A request that a controller without a seat had handed on, and whose
        // connection is gone: as in the daemon, nobody waits for the outcome.
        return;
    }
    let now = w.now - BEGIN;
    rules::tell(&mut w.rules, now, || {
        let text = match &done {
            OperationResult::Accepted { revision, copies, .. } => {
                format!("accepted as {revision}, {copies} copies")
            }
            OperationResult::Rejected { why } => format!("bounced: {why}"),
            OperationResult::Unknown { why } => format!("unknown: {why}"),
            _ => "told".into(),
        };
        format!("order {id} {text}")
    });
    if let OperationResult::Accepted { revision, .. } = &done {
        w.rules.accepted.push((now, *revision));
        for back in w.rules.restarts.iter_mut().filter(|b| b.order == Some(id)) {
            back.accepted = Some(now);
        }
        let asked = w.orders[id].at - BEGIN;
        let zone = w.orders[id].zone.clone().filter(|(zone, _)| {
            let last = w.rules.zone_rev.entry(zone.clone()).or_insert(0);
            let newer = *revision > *last;
            *last = (*last).max(*revision);
            newer
        });
        match zone {
            Some((zone, true)) => {
                let from = (asked + 5 * SECOND).max(now + 3 * SECOND);
                w.rules.drained.insert(zone, from);
            }
            Some((zone, false)) => {
                w.rules.drained.remove(&zone);
            }
            None => {}
        }
    }
    w.told_at.insert(id, w.now);
    w.orders[id].done = Some(done);
}

/// The configuration that most seats have committed.
pub fn committed(w: &World) -> Config {
    let best = seated_up(w).max_by_key(|s| s.core.partitions[0].committed_revision);
    best.and_then(|s| Config::from_entries(&s.core.partitions[0].committed).ok())
        .unwrap_or_default()
}

/// Ends a run: the checks that only the end allows.
pub fn finish(w: &mut World) {
    let now = w.now - BEGIN;
    let conf = committed(w);
    let top = seated_up(w).map(|s| s.core.partitions[0].committed_revision).max().unwrap_or(0);
    for id in 0..w.orders.len() {
        let (Some(done), mark) = (&w.orders[id].done, &w.orders[id].mark) else { continue };
        match done {
            OperationResult::Accepted { revision, .. } => {
                if *revision > top {
                    let text = format!("order {id} was accepted as {revision}, the end is {top}");
                    rules::broken(&mut w.rules, now, 12, text);
                } else if let Some(mark) = mark
                    && !conf.zones.contains_key(mark)
                {
                    let text = format!("order {id} was accepted as {revision} and is lost");
                    rules::broken(&mut w.rules, now, 12, text);
                }
            }
            OperationResult::Rejected { .. } => {
                if let Some(mark) = mark
                    && conf.zones.contains_key(mark)
                {
                    let text = format!("order {id} was said not to be applied, but it is");
                    rules::broken(&mut w.rules, now, 12, text);
                }
            }
            _ => {}
        }
    }
    let threads = w.queriers.len() * THREADS as usize;
    rules::finish(&mut w.rules, now, threads);
}

/// Zones that the committed configuration empties.
pub fn drained(w: &World) -> BTreeSet<String> {
    committed(w).zones.values().filter(|z| z.drained).map(|z| z.name.clone()).collect()
}
