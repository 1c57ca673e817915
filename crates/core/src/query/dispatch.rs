//! `step` of the owner of queries.

use std::collections::BTreeSet;

use super::engine::*;
use crate::config::route::{PoolPlan, Route};
use crate::config::types::{Class, Form, Steer};
use crate::consts;
use crate::digest::{digest, hash};
use crate::http_api::leaf::{Expect, Raw, Trouble, check, self_word};
use crate::protocol::message::LeafReport;
use crate::query::coverage::served;
use crate::query::forwarded_request::Passed;
use crate::query::leaf;
use crate::query::leaf::leaf;
use crate::query::leaf_selection::{Choice, Scene, choose};
use crate::query::merge::merge;
use crate::query::request::{Ask, Full, Outcome, Reason, Rejection};
use crate::query::{
    connection_subset, forwarding, latency_estimate, observed_load, quota, retry, retry_budget,
    service_retry_budget, slow_start,
};
use crate::routing_language::compile::Send;
use crate::snapshot::leafs::LeafInfo;
use crate::time::{Span, Tick, since};

/// Takes one event and says what to do.
pub fn step(d: &mut QueryEngine, now: Tick, event: Event) -> Vec<Command> {
    let mut out = Vec::new();
    match event {
        Event::Ask { call, ask } => begin(d, now, call, ask, &mut out),
        Event::Hand { call, parcel } => forwarding::begin(d, now, call, parcel, &mut out),
        Event::Reply { dispatch, got } => reply(d, now, dispatch, got, &mut out),
        Event::Gone { call } => gone(d, call, &mut out),
        Event::ClusterView(view) => {
            for (name, info) in &view.leafs {
                if !d.leafs.contains_key(name) {
                    let mut new = leaf(name, now);
                    new.rank = quota::rank(&d.share, new.thing);
                    d.leafs.insert(name.clone(), new);
                }
                if let Some(l) = d.leafs.get_mut(name) {
                    leaf::at_least(l, info.age_ms, now);
                }
            }
            d.leafs.retain(|name, l| l.live > 0 || view.leafs.contains_key(name));
            service_retry_budget::keep(&mut d.quota, |s| view.services.contains_key(s));
            latency_estimate::keep(&mut d.waits, |s| view.mappings.contains_key(s));
            let same = d.view.services == view.services && d.view.revision == view.revision;
            d.view = view;
            if !same {
                deal(d);
                wired(d);
            }
            if d.door == Door::Shut {
                d.door = Door::Open;
            }
            sweep(d, now, &mut out);
        }
        Event::Share(new) => {
            d.share = new;
            for leaf in d.leafs.values_mut() {
                leaf.rank = quota::rank(&d.share, leaf.thing);
            }
            deal(d);
            service_retry_budget::among(&mut d.quota, d.share.slots.len() as u64);
            let rank = quota::rank(&d.share, hash("retry-slack"));
            retry_budget::slack(&mut d.rule, quota::part(&d.share, rank, consts::RETRY_SLACK));
            sweep(d, now, &mut out);
        }
        Event::Peers(peers) => {
            d.peers = peers;
            wired(d);
        }
        Event::Rate(rate) => {
            service_retry_budget::rated(&mut d.quota, rate, d.share.slots.len() as u64)
        }
        Event::Door(door) => d.door = door,
        Event::Grip(until) => {
            d.grip = until;
            sweep(d, now, &mut out);
        }
        Event::Wake => sweep(d, now, &mut out),
    }
    // Given-up dispatches leave room behind that waiting queries can use.
    if out.iter().any(|c| matches!(c, Command::Drop { .. })) {
        sweep(d, now, &mut out);
    }
    out
}

/// Deals the leafs of each service out to the threads of the membership.
fn deal(d: &mut QueryEngine) {
    let view = d.view.clone();
    for map in view.mappings.values() {
        let shared = |p: &&PoolPlan| p.steer == Steer::Share;
        for pool in map.shards.iter().flat_map(|s| &s.pools).filter(shared) {
            let Some(list) = view.services.get(&pool.service) else { continue };
            let totals = vec![u64::from(pool.bears); list.len()];
            let ranks = quota::deal(&d.share, hash(&pool.service), &totals);
            for (info, rank) in list.iter().zip(ranks) {
                if let Some(l) = d.leafs.get_mut(&info.leaf) {
                    l.dealt = rank;
                }
            }
        }
    }
}

/// Deals out the connections to leafs that take few.
fn wired(d: &mut QueryEngine) {
    let view = d.view.clone();
    let pools = view.mappings.values().flat_map(|m| &m.shards).flat_map(|s| &s.pools);
    let mut done: BTreeSet<&str> = BTreeSet::new();
    for pool in pools.filter(|p| p.connections > 0) {
        let Some(list) = view.services.get(&pool.service) else { continue };
        if !done.insert(&pool.service) {
            continue;
        }
        // Leafs of emptied zones and those that leave have no new work.
        let stand: Vec<&LeafInfo> = list
            .iter()
            .filter(|l| !l.leaving && !view.built.drained.contains(l.zone()))
            .map(|l| l.as_ref())
            .collect();
        let mine = d.slot;
        let connections =
            connection_subset::deal(&d.peers, mine, &stand, u64::from(pool.connections));
        for (info, n) in stand.iter().zip(connections) {
            if let Some(l) = d.leafs.get_mut(&info.leaf) {
                // Before we know of anyone else, one connection at a time.
                l.connections = Some(if d.peers.is_empty() { 1 } else { n });
            }
        }
    }
}

/// When `step` wants to be woken next.
pub fn next(d: &QueryEngine) -> Option<Tick> {
    d.queries.values().map(due).min()
}

fn due(q: &Query) -> Tick {
    let mut at = q.end;
    if count_in(q) >= need(q) {
        at = at.min(q.stop_at);
    }
    if wanting(q) > 0 {
        at = at.min(q.hold);
    }
    for s in &q.slots {
        if s.state == SlotState::Out && s.tries < q.map.attempts {
            at = at.min(s.next_at);
        }
    }
    at
}

pub(super) fn need(q: &Query) -> usize {
    q.map.required_shards(q.slots.len())
}

pub(super) fn count_in(q: &Query) -> usize {
    q.slots.iter().filter(|s| s.state == SlotState::In).count()
}

/// The one function that changes a slot's state.
pub(super) fn shift(slot: &mut Slot, to: SlotState) {
    use SlotState::*;
    let fits = matches!(
        (slot.state, to),
        (Wanting, Out) | (Wanting, Lost(_)) | (Out, Wanting) | (Out, In) | (Out, Lost(_))
    );
    assert!(fits, "no way from {:?} to {to:?}", slot.state);
    slot.state = to;
}

pub(super) fn bounce(
    d: &mut QueryEngine,
    now: Tick,
    (call, rest): (u64, Span),
    mut b: Rejection,
    query: Option<String>,
    out: &mut Vec<Command>,
) {
    b.query = query;
    let away = matches!(b.reason, Reason::Crowded | Reason::NoRoom | Reason::OutOfTime);
    retry::note(&mut d.strain, now, away);
    b.again_s = Some(retry::again_s(&mut d.strain, now, b.reason, rest, &mut d.luck));
    b.again = Some(retry::soon(&mut d.strain, now, rest, &mut d.luck));
    *d.counts.bounced.entry(b.reason).or_default() += 1;
    out.push(Command::Tell { call, outcome: Outcome::Rejection(b) });
}

fn begin(d: &mut QueryEngine, now: Tick, call: u64, ask: Ask, out: &mut Vec<Command>) {
    let q = plan(d, now, call, ask);
    start(d, now, call, q, out);
}

/// Takes a planned query in hand, or sends its caller away.
pub(super) fn start(
    d: &mut QueryEngine,
    now: Tick,
    call: u64,
    q: Result<Query, Rejection>,
    out: &mut Vec<Command>,
) {
    match q {
        Err(b) => bounce(d, now, (call, 0), b, None, out),
        Ok(q) => {
            let id = d.next_query;
            d.next_query += 1;
            d.queries.insert(id, q);
            advance(d, now, id, out);
        }
    }
}

/// Whether calls are taken now.
pub(super) fn taken(d: &QueryEngine, now: Tick) -> Result<(), Rejection> {
    let say = |reason, text: &str| Err(Rejection::new(reason, text));
    match d.door {
        Door::Open => {}
        Door::Shut => return say(Reason::NoView, "this node holds no view yet"),
        Door::CutOff => return say(Reason::CutOff, "this node is cut off from the others"),
        Door::Stopping => return say(Reason::Stopping, "this node is going down"),
    }
    if now > d.grip {
        return say(Reason::CutOff, "this node's view may be old: it has no tenure now");
    }
    Ok(())
}

/// Whether there is room for one more query of a class.
pub(super) fn room(d: &QueryEngine, class: Class) -> Result<(), Rejection> {
    let say = |reason, text: &str| Err(Rejection::new(reason, text));
    if d.queries.len() >= room_of(class) {
        return say(Reason::Crowded, "this node works on all it may for this class");
    }
    let buffered = d.queries.values().filter(|q| wanting(q) > 0).count();
    if buffered * 100 >= room_of(class) * consts::BUFFER_PCT {
        return say(Reason::NoRoom, "too many queries already wait for room at the leafs");
    }
    Ok(())
}

/// Fixes everything about a query: its mapping, its shards, its times.
fn plan(d: &mut QueryEngine, now: Tick, call: u64, ask: Ask) -> Result<Query, Rejection> {
    let say = |reason, text: &str| Err(Rejection::new(reason, text));
    taken(d, now)?;
    let Some(map) = d.view.mappings.get(&ask.mapping).cloned() else {
        return say(Reason::NoMapping, "no search of that name is configured");
    };
    if map.form != Form::Own {
        return say(Reason::NoMapping, "this search is called by host and path");
    }
    room(d, map.class)?;
    let shards = match (map.send, &ask.key) {
        (Send::Wide, _) => (0..map.shards.len()).collect(),
        (Send::One, Some(key)) => vec![shard_of(&map, key)],
        (Send::Weighed, _) => vec![forwarding::drawn(&map, &mut d.luck)],
        (Send::One, None) => {
            return say(Reason::NoKey, "this search looks up one thing: give its `key`");
        }
    };
    let keep = (ask.budget * consts::MERGE_KEEP_PCT / 100)
        .clamp(consts::MERGE_KEEP_MIN, consts::MERGE_KEEP_MAX);
    let usable: Span = ask.budget.saturating_sub(keep).min(map.promise);
    if usable == 0 {
        return say(Reason::OutOfTime, "the budget leaves no time to ask anyone");
    }
    let body = question(&map, &ask.question, ask.key.as_deref(), ask.limit);
    Ok(Query {
        call,
        name: format!("{}-{}", d.name, d.next_query),
        revision: d.view.revision,
        start: now,
        stop_at: now + usable * map.stop_pct / 100,
        end: now + usable,
        limit: ask.limit,
        digest: digest(&body),
        body: std::sync::Arc::new(body),
        slots: shards.into_iter().map(slot).collect(),
        parcel: None,
        hold: now + usable,
        ran: false,
        last: None,
        map,
    })
}

/// The shard that a key falls on, the same on every node.
pub fn shard_of(map: &Route, key: &str) -> usize {
    (hash(key) % map.shards.len() as u64) as usize
}

pub(super) fn slot(shard: usize) -> Slot {
    Slot {
        shard,
        state: SlotState::Wanting,
        tries: 0,
        tried: Vec::new(),
        outs: Vec::new(),
        next_at: 0,
        records: Vec::new(),
        part: None,
        counted: false,
    }
}

/// Moves every query on: timers, and room that may have come free. Urgent
/// queries are served first, then those that end soonest.
pub(super) fn sweep(d: &mut QueryEngine, now: Tick, out: &mut Vec<Command>) {
    let mut ids: Vec<_> = d
        .queries
        .iter()
        .filter(|(_, q)| due(q) <= now || wanting(q) > 0)
        .map(|(id, q)| (std::cmp::Reverse(q.map.class), q.map.rank, q.end, *id))
        .collect();
    ids.sort_unstable();
    for (_, _, _, id) in ids {
        advance(d, now, id, out);
    }
}

/// Moves one query as far as it goes now.
pub(super) fn advance(d: &mut QueryEngine, now: Tick, id: u64, out: &mut Vec<Command>) {
    let Some(mut q) = d.queries.swap_remove(&id) else { return };
    if now < q.end {
        for i in 0..q.slots.len() {
            match q.slots[i].state {
                SlotState::Wanting => fill(d, now, id, &mut q, i, out),
                SlotState::Out if q.slots[i].next_at <= now => again(d, now, id, &mut q, i, out),
                _ => {}
            }
        }
    }
    let (have, need) = (count_in(&q), need(&q));
    let open =
        q.slots.iter().filter(|s| matches!(s.state, SlotState::Wanting | SlotState::Out)).count();
    let outcome = if open == 0 || now >= q.end {
        if have >= need { Ok(()) } else { Err(reason(&q, now)) }
    } else if have >= need && now >= q.stop_at && forwarding::enough(&q, have) {
        Ok(())
    } else if have + open < need {
        Err(reason(&q, now))
    } else {
        d.queries.insert(id, q);
        return;
    };
    finish(d, now, q, outcome, out);
}

/// Why a query is bounced: the gravest of what its slots met.
fn reason(q: &Query, now: Tick) -> Reason {
    let lost = q.slots.iter().filter_map(|s| match s.state {
        SlotState::Lost(why) => Some(why),
        SlotState::Wanting => Some(Reason::NoRoom),
        _ => None,
    });
    match lost.max_by_key(|r| matches!(r, Reason::NoLeafs)) {
        Some(why) => why,
        None if now >= q.end => Reason::OutOfTime,
        None => Reason::BelowQuorum,
    }
}

/// Finds a leaf for a slot that wants one.
fn fill(d: &mut QueryEngine, now: Tick, id: u64, q: &mut Query, i: usize, out: &mut Vec<Command>) {
    let picked = pick(d, now, q, i);
    let slot = &mut q.slots[i];
    match picked {
        Choice::None if slot.tries == 0 => shift(slot, SlotState::Lost(Reason::NoLeafs)),
        Choice::None => shift(slot, SlotState::Lost(Reason::BelowQuorum)),
        Choice::Full => {
            if now >= q.hold || since(now, q.end) < quickest(d, q, i) {
                shift(&mut q.slots[i], SlotState::Lost(Reason::NoRoom));
            }
        }
        Choice::Leaf(info) => {
            if slot.tries > 0 && !leave(d, now, q, &info.service) {
                d.counts.denied += 1;
                shift(&mut q.slots[i], SlotState::Lost(Reason::BelowQuorum));
                return;
            }
            shift(&mut q.slots[i], SlotState::Out);
            send(d, now, id, q, i, &info, out);
        }
    }
}

/// Sends a second try beside the first when its wait is over.
fn again(d: &mut QueryEngine, now: Tick, id: u64, q: &mut Query, i: usize, out: &mut Vec<Command>) {
    if q.slots[i].tries >= q.map.attempts {
        q.slots[i].next_at = Tick::MAX;
        return;
    }
    let Choice::Leaf(info) = pick(d, now, q, i) else {
        // Nobody to ask now; look again after a like wait.
        q.slots[i].next_at = wait_until(d, q, now);
        return;
    };
    if leave(d, now, q, &info.service) {
        send(d, now, id, q, i, &info, out);
    } else {
        d.counts.denied += 1;
        q.slots[i].next_at = wait_until(d, q, now);
    }
}

/// Asks the rule that holds for a query whether it may send a second try.
fn leave(d: &mut QueryEngine, now: Tick, q: &Query, service: &str) -> bool {
    match q.parcel {
        None => retry_budget::second(&mut d.rule, now),
        Some(_) => service_retry_budget::second(&mut d.quota, service),
    }
}

fn pick(d: &mut QueryEngine, now: Tick, q: &Query, i: usize) -> Choice {
    if now > d.grip {
        return Choice::Full;
    }
    let s = Scene {
        view: &d.view,
        share: &d.share,
        leafs: &d.leafs,
        zone: &d.zone,
        peers: &d.peers,
        slot: d.slot,
        now,
    };
    choose(&s, &mut d.luck, &q.map, q.slots[i].shard, &q.slots[i].tried)
}

/// The shortest typical time among a shard's leafs, zero if none is known.
fn quickest(d: &QueryEngine, q: &Query, i: usize) -> Span {
    let pools = &q.map.shards[q.slots[i].shard].pools;
    pools
        .iter()
        .filter_map(|p| d.view.services.get(&p.service))
        .flatten()
        .filter_map(|l| d.leafs.get(&l.leaf).map(|l| l.typical))
        .min()
        .unwrap_or(0)
}

/// The end of a dispatch's wait: what such dispatches usually take where that
/// is learned, else its share of the time left, at least 1 ms.
fn wait_until(d: &QueryEngine, q: &Query, now: Tick) -> Tick {
    if q.map.once {
        return Tick::MAX;
    }
    if q.parcel.is_some()
        && let Some(wait) = latency_estimate::wait(&d.waits, &q.map.name, q.map.target)
    {
        return now + wait;
    }
    now + (since(now, q.end) * q.map.wait_pct / 100).max(crate::time::MILLI)
}

fn send(
    d: &mut QueryEngine,
    now: Tick,
    id: u64,
    q: &mut Query,
    i: usize,
    info: &crate::snapshot::leafs::LeafInfo,
    out: &mut Vec<Command>,
) {
    let num = d.next_dispatch;
    d.next_dispatch += 1;
    let wait = wait_until(d, q, now);
    let slot = &mut q.slots[i];
    if slot.tries > 0 {
        d.counts.seconds += 1;
    } else if !slot.counted {
        slot.counted = true;
        match q.parcel {
            None => retry_budget::first(&mut d.rule, now),
            Some(_) => service_retry_budget::first(&mut d.quota, &info.service),
        }
        d.counts.firsts += 1;
    }
    slot.tries += 1;
    slot.next_at = wait;
    slot.tried.push(info.leaf.clone());
    slot.outs.push(num);
    let pools = &q.map.shards[slot.shard].pools;
    let rate = pools.iter().find(|p| p.service == info.service).map_or(0, |p| p.cold_rate);
    if let Some(l) = d.leafs.get_mut(&info.leaf) {
        l.live += 1;
        if info.cold && rate > 0 {
            slow_start::spend(l, u64::from(rate), now);
        }
    }
    let name = format!("{}.{num}", q.name);
    d.dispatches.insert(
        num,
        Dispatch {
            query: id,
            slot: i,
            leaf: info.leaf.clone(),
            service: info.service.clone(),
            id: name.clone(),
            at: now,
            handed: q.parcel.is_some(),
        },
    );
    out.push(Command::Send(Sending {
        dispatch: num,
        addr: info.addr.clone(),
        leaf: info.leaf.clone(),
        service: info.service.clone(),
        id: name,
        digest: q.digest.clone(),
        body: q.body.clone(),
        budget: since(now, q.end),
        parcel: q.parcel.clone(),
        once: q.map.once,
        keep: d.leafs.get(&info.leaf).is_none_or(|l| l.connections != Some(0)),
    }));
}

/// A dispatch has ended. A late or unknown one changes nothing.
fn reply(
    d: &mut QueryEngine,
    now: Tick,
    num: u64,
    got: Result<Raw, Trouble>,
    out: &mut Vec<Command>,
) {
    let Some(sent) = d.dispatches.swap_remove(&num) else { return };
    if let Ok(raw) = &got {
        hear(d, now, &sent, raw, out);
    }
    let Some(mut q) = d.queries.swap_remove(&sent.query) else {
        forwarding::late(d, now, &sent, &got);
        free(d, &sent);
        return sweep(d, now, out);
    };
    if q.parcel.is_some() {
        return forwarding::reply(d, now, (num, sent), q, got, out);
    }
    let limit = q.limit;
    let checked = got.and_then(|raw| {
        let want =
            Expect { leaf: &sent.leaf, query: &sent.id, digest: &q.digest, cut: &q.map.cut, limit };
        check(&raw, &want)
    });
    // Coverage: the shard is derived, and must be the one that was planned.
    let planned = q.slots[sent.slot].shard;
    let checked =
        checked.and_then(|recs| match served(&d.view, &q.map, &sent.leaf, &sent.service) {
            Some(shard) if shard == planned => Ok(recs),
            _ => Err(Trouble::WrongService),
        });
    free(d, &sent);
    if let Some(l) = d.leafs.get_mut(&sent.leaf) {
        match &checked {
            Ok(_) => {
                leaf::good(l, since(sent.at, now));
                leaf::strain(l, since(sent.at, now), now);
            }
            // Turning work away unrun is good manners, not a fault: it has
            // more than it bears, and we give it less.
            Err(Trouble::Unrun) => leaf::turned(l, now),
            Err(_) => leaf::bad(l, now),
        }
    }
    let slot = &mut q.slots[sent.slot];
    slot.outs.retain(|o| *o != num);
    match checked {
        Ok(mut recs) => {
            let name = &q.map.shards[planned].name;
            for rec in &mut recs {
                rec.shard = name.clone();
            }
            slot.records = recs;
            shift(slot, SlotState::In);
            for other in std::mem::take(&mut slot.outs) {
                // It was sent earlier and is still silent: overtaken.
                if let Some(late) = d.dispatches.get(&other)
                    && late.at < sent.at
                    && let Some(l) = d.leafs.get_mut(&late.leaf)
                {
                    leaf::bad(l, now);
                    *d.counts.trouble.entry(Trouble::Overtaken).or_default() += 1;
                }
                drop_out(d, other, out);
            }
        }
        Err(why) => {
            *d.counts.trouble.entry(why).or_default() += 1;
            if slot.outs.is_empty() {
                shift(slot, SlotState::Wanting);
                if slot.tries >= q.map.attempts {
                    shift(slot, SlotState::Lost(Reason::BelowQuorum));
                }
            }
        }
    }
    d.queries.insert(sent.query, q);
    advance(d, now, sent.query, out);
    sweep(d, now, out);
}

/// Takes in what a leaf says of itself.
pub(super) fn hear(
    d: &mut QueryEngine,
    now: Tick,
    sent: &Dispatch,
    raw: &Raw,
    out: &mut Vec<Command>,
) {
    let Some(l) = d.leafs.get_mut(&sent.leaf) else { return };
    let before = l.leaving;
    // A reply of another leaf, at a reused address, says of ours only that it
    // is gone.
    let gone = raw.status == crate::http_api::leaf::MISDIRECTED && !raw.heads.foreign;
    if gone {
        l.leaving = true;
    } else {
        leaf::word(l, &self_word(&raw.heads), now);
        if let Some(load) = raw.heads.load {
            observed_load::hear(l, load);
        }
    }
    if l.leaving && !before {
        let word = LeafReport { leaf: sent.leaf.clone(), leaving: !gone, gone, age_ms: 0 };
        out.push(Command::Word { service: sent.service.clone(), word });
    }
}

pub(super) fn free(d: &mut QueryEngine, sent: &Dispatch) {
    if let Some(l) = d.leafs.get_mut(&sent.leaf) {
        l.live -= 1;
        if l.live == 0 && !d.view.leafs.contains_key(&sent.leaf) {
            d.leafs.swap_remove(&sent.leaf);
        }
    }
}

pub(super) fn drop_out(d: &mut QueryEngine, num: u64, out: &mut Vec<Command>) {
    // What was handed over is not broken off: the leaf works on it, and the
    // connection is whole again once it has answered.
    if d.dispatches.get(&num).is_some_and(|s| s.handed) {
        return;
    }
    if let Some(sent) = d.dispatches.swap_remove(&num) {
        free(d, &sent);
        d.counts.dropped += 1;
        out.push(Command::Drop { dispatch: num });
    }
}

/// The caller went away: nobody wants the dispatches' results.
fn gone(d: &mut QueryEngine, call: u64, out: &mut Vec<Command>) {
    let id = d.queries.iter().find(|(_, q)| q.call == call).map(|(id, _)| *id);
    if let Some(q) = id.and_then(|id| d.queries.swap_remove(&id)) {
        for num in q.slots.iter().flat_map(|s| &s.outs) {
            drop_out(d, *num, out);
        }
    }
}

/// How long until each shard that is missing has a leaf that is not rested.
fn rest(d: &QueryEngine, now: Tick, q: &Query) -> Span {
    let lost = q.slots.iter().filter(|s| s.state != SlotState::In);
    let soonest = |s: &Slot| {
        let shard = &q.map.shards[s.shard];
        let list = shard.pools.iter().flat_map(|p| d.view.open_leafs(p, &q.map.cut));
        let rests = list.filter_map(|i| d.leafs.get(&i.leaf)).map(|l| since(now, l.rest_until));
        rests.min().unwrap_or(consts::LIST_POLL)
    };
    lost.map(soonest).max().unwrap_or(0)
}

fn finish(
    d: &mut QueryEngine,
    now: Tick,
    mut q: Query,
    how: Result<(), Reason>,
    out: &mut Vec<Command>,
) {
    // Leafs of other shards may be at work on it: then it has not gone unrun.
    let out_there = q.slots.iter().any(|s| !s.outs.is_empty());
    for i in 0..q.slots.len() {
        for num in std::mem::take(&mut q.slots[i].outs) {
            // A leaf that let the whole budget pass is slow; say so to itself.
            // One that was handed over goes on, and tells when it has ended.
            q.ran |= q.parcel.is_some();
            if now >= q.end
                && let Some(sent) = d.dispatches.get(&num)
                && !sent.handed
                && let Some(l) = d.leafs.get_mut(&sent.leaf)
            {
                leaf::bad(l, now);
                *d.counts.trouble.entry(Trouble::OutOfTime).or_default() += 1;
                q.ran = true;
            }
            drop_out(d, num, out);
        }
    }
    let took = since(q.start, now) / crate::time::MILLI;
    let cell = TOOK_MS.iter().position(|b| took <= *b).unwrap_or(TOOK_MS.len());
    d.counts.took[cell] += 1;
    if let Err(why) = how {
        let text = match why {
            Reason::OutOfTime => "the budget ran out before the required share answered",
            Reason::NoRoom => "no leaf had room in time",
            Reason::NoLeafs => "a needed shard has no leaf that may be asked",
            _ => "too many shards failed and no more tries were allowed",
        };
        // A leaf's own failure says more than ours would.
        if let (Some(parcel), Some(raw)) = (&q.parcel, &q.last)
            && q.map.form == Form::Pass
        {
            let passed = Passed { id: parcel.id.clone(), raw: raw.clone() };
            return out.push(Command::Tell { call: q.call, outcome: Outcome::Passed(passed) });
        }
        let rest = rest(d, now, &q);
        let mut b = Rejection::new(why, text);
        b.ran = q.ran || out_there;
        return bounce(d, now, (q.call, rest), b, Some(q.name), out);
    }
    retry::note(&mut d.strain, now, false);
    if let Some(parcel) = q.parcel.clone() {
        return forwarding::finish(d, q, &parcel, out);
    }
    let (mut shards, mut lists) = (Vec::new(), Vec::new());
    let planned = q.slots.len();
    for s in q.slots.into_iter().filter(|s| s.state == SlotState::In) {
        shards.push(q.map.shards[s.shard].name.clone());
        lists.push(s.records);
    }
    let missing = planned - shards.len();
    if missing == 0 {
        d.counts.full += 1;
    } else {
        d.counts.partial += 1;
    }
    let full = Full {
        query: q.name,
        mapping: q.map.name.clone(),
        cut: q.map.cut.clone(),
        revision: q.revision,
        shards,
        missing,
        records: merge(lists, q.limit as usize),
    };
    out.push(Command::Tell { call: q.call, outcome: Outcome::Full(full) });
}
