//! Sends attempts: the first of each shard, retries and hedges.

use super::attempt::Dispatch;
use super::engine::QueryEngine;
use super::event::{Command, Sending};
use super::leaf_selection::{Choice, Scene, choose};
use super::planned_query::{Query, SlotState, shift};
use super::request::Reason;
use super::{latency_estimate, retry_budget, service_retry_budget, slow_start};
use crate::snapshot::leafs::LeafInfo;
use crate::time::{Span, Tick, since};

/// Finds a leaf for a slot that wants one.
pub(super) fn fill(
    d: &mut QueryEngine,
    now: Tick,
    id: u64,
    q: &mut Query,
    i: usize,
    out: &mut Vec<Command>,
) {
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
pub(super) fn again(
    d: &mut QueryEngine,
    now: Tick,
    id: u64,
    q: &mut Query,
    i: usize,
    out: &mut Vec<Command>,
) {
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
    info: &LeafInfo,
    out: &mut Vec<Command>,
) {
    let num = d.next_dispatch;
    d.next_dispatch += 1;
    let wait = wait_until(d, q, now);
    count(d, now, q, i, &info.service);
    let slot = &mut q.slots[i];
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
    let sent = Dispatch {
        query: id,
        slot: i,
        leaf: info.leaf.clone(),
        service: info.service.clone(),
        id: format!("{}.{num}", q.name),
        at: now,
        handed: q.parcel.is_some(),
    };
    out.push(Command::Send(sending(d, now, q, info, num, &sent)));
    d.dispatches.insert(num, sent);
}

/// Counts an attempt for the budgets of retries and the metrics.
fn count(d: &mut QueryEngine, now: Tick, q: &mut Query, i: usize, service: &str) {
    let slot = &mut q.slots[i];
    if slot.tries > 0 {
        d.counts.seconds += 1;
    } else if !slot.counted {
        slot.counted = true;
        match q.parcel {
            None => retry_budget::first(&mut d.rule, now),
            Some(_) => service_retry_budget::first(&mut d.quota, service),
        }
        d.counts.firsts += 1;
    }
}

/// What goes out for an attempt.
fn sending(
    d: &QueryEngine,
    now: Tick,
    q: &Query,
    info: &LeafInfo,
    num: u64,
    sent: &Dispatch,
) -> Sending {
    Sending {
        dispatch: num,
        addr: info.addr.clone(),
        leaf: sent.leaf.clone(),
        service: sent.service.clone(),
        id: sent.id.clone(),
        digest: q.digest.clone(),
        body: q.body.clone(),
        budget: since(now, q.end),
        parcel: q.parcel.clone(),
        once: q.map.once,
        keep: d.leafs.get(&info.leaf).is_none_or(|l| l.connections != Some(0)),
    }
}
