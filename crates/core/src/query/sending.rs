//! Sends attempts: the first of each shard, retries and hedges.

use super::attempt::Attempt;
use super::engine::QueryEngine;
use super::event::{Command, OutgoingAttempt};
use super::leaf_selection::{Choice, SelectionContext, choose};
use super::planned_query::{Query, ShardState, shift};
use super::request::RejectionReason;
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
    let slot = &mut q.shards[i];
    match picked {
        Choice::NoCandidate if slot.attempts == 0 => {
            shift(slot, ShardState::Failed(RejectionReason::NoLeaf))
        }
        Choice::NoCandidate => shift(slot, ShardState::Failed(RejectionReason::BelowQuorum)),
        Choice::NoCapacity => {
            if now >= q.queue_until || since(now, q.deadline) < quickest(d, q, i) {
                shift(&mut q.shards[i], ShardState::Failed(RejectionReason::NoCapacity));
            }
        }
        Choice::Leaf(info) => {
            if slot.attempts > 0 && !leave(d, now, q, &info.service) {
                d.statistics.retries_denied += 1;
                shift(&mut q.shards[i], ShardState::Failed(RejectionReason::BelowQuorum));
                return;
            }
            shift(&mut q.shards[i], ShardState::InFlight);
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
    if q.shards[i].attempts >= q.route.attempts {
        q.shards[i].hedge_at = Tick::MAX;
        return;
    }
    let Choice::Leaf(info) = pick(d, now, q, i) else {
        // Nobody to ask now; look again after a like wait.
        q.shards[i].hedge_at = wait_until(d, q, now);
        return;
    };
    if leave(d, now, q, &info.service) {
        send(d, now, id, q, i, &info, out);
    } else {
        d.statistics.retries_denied += 1;
        q.shards[i].hedge_at = wait_until(d, q, now);
    }
}

/// Asks the rule that holds for a query whether it may send a second try.
fn leave(d: &mut QueryEngine, now: Tick, q: &Query, service: &str) -> bool {
    match q.forwarded {
        None => retry_budget::second(&mut d.retry_budget, now),
        Some(_) => service_retry_budget::second(&mut d.service_retry_budget, service),
    }
}

fn pick(d: &mut QueryEngine, now: Tick, q: &Query, i: usize) -> Choice {
    if now > d.lease_valid_until {
        return Choice::NoCapacity;
    }
    let s = SelectionContext {
        cluster_view: &d.cluster_view,
        quota_share: &d.quota_share,
        leafs: &d.leafs,
        zone: &d.zone,
        peers: &d.peers,
        thread_id: d.thread_id,
        now,
    };
    choose(&s, &mut d.random, &q.route, q.shards[i].index, &q.shards[i].attempted_leafs)
}

/// The shortest typical time among a shard's leafs, zero if none is known.
fn quickest(d: &QueryEngine, q: &Query, i: usize) -> Span {
    let pools = &q.route.shards[q.shards[i].index].pools;
    pools
        .iter()
        .filter_map(|p| d.cluster_view.services.get(&p.service))
        .flatten()
        .filter_map(|l| d.leafs.get(&l.leaf).map(|l| l.typical_latency))
        .min()
        .unwrap_or(0)
}

/// The end of a dispatch's wait: what such dispatches usually take where that
/// is learned, else its share of the time left, at least 1 ms.
fn wait_until(d: &QueryEngine, q: &Query, now: Tick) -> Tick {
    if q.route.once {
        return Tick::MAX;
    }
    if q.forwarded.is_some()
        && let Some(wait) =
            latency_estimate::wait(&d.latency_estimate, &q.route.name, q.route.target)
    {
        return now + wait;
    }
    now + (since(now, q.deadline) * q.route.wait_pct / 100).max(crate::time::MILLI)
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
    let num = d.next_attempt;
    d.next_attempt += 1;
    let wait = wait_until(d, q, now);
    count(d, now, q, i, &info.service);
    let slot = &mut q.shards[i];
    slot.attempts += 1;
    slot.hedge_at = wait;
    slot.attempted_leafs.push(info.leaf.clone());
    slot.in_flight.push(num);
    let pools = &q.route.shards[slot.index].pools;
    let rate = pools.iter().find(|p| p.service == info.service).map_or(0, |p| p.cold_rate);
    if let Some(l) = d.leafs.get_mut(&info.leaf) {
        l.in_flight += 1;
        if info.cold && rate > 0 {
            slow_start::spend(l, u64::from(rate), now);
        }
    }
    let sent = Attempt {
        query: id,
        shard: i,
        leaf: info.leaf.clone(),
        service: info.service.clone(),
        id: format!("{}.{num}", q.name),
        sent_at: now,
        forwarded: q.forwarded.is_some(),
    };
    out.push(Command::Send(sending(d, now, q, info, num, &sent)));
    d.attempts.insert(num, sent);
}

/// Counts an attempt for the budgets of retries and the metrics.
fn count(d: &mut QueryEngine, now: Tick, q: &mut Query, i: usize, service: &str) {
    let slot = &mut q.shards[i];
    if slot.attempts > 0 {
        d.statistics.retries += 1;
    } else if !slot.counted {
        slot.counted = true;
        match q.forwarded {
            None => retry_budget::first(&mut d.retry_budget, now),
            Some(_) => service_retry_budget::first(&mut d.service_retry_budget, service),
        }
        d.statistics.first_attempts += 1;
    }
}

/// What goes out for an attempt.
fn sending(
    d: &QueryEngine,
    now: Tick,
    q: &Query,
    info: &LeafInfo,
    num: u64,
    sent: &Attempt,
) -> OutgoingAttempt {
    OutgoingAttempt {
        attempt: num,
        addr: info.addr.clone(),
        leaf: sent.leaf.clone(),
        service: sent.service.clone(),
        id: sent.id.clone(),
        body_digest: q.body_digest.clone(),
        body: q.body.clone(),
        timeout: since(now, q.deadline),
        forwarded: q.forwarded.clone(),
        at_most_once: q.route.once,
        keep_connection: d.leafs.get(&info.leaf).is_none_or(|l| l.connection_limit != Some(0)),
    }
}
