//! Moves queries on: what is due, what can be sent, what has ended.

use super::engine::QueryEngine;
use super::event::Command;
use super::finishing::finish;
use super::planned_query::{Query, ShardState, count_in, due, enough, need, wanting};
use super::rejection::bounce;
use super::request::{Rejection, RejectionReason};
use super::sending::{again, fill};
use crate::time::Tick;

/// When `step` wants to be woken next.
pub fn next(d: &QueryEngine) -> Option<Tick> {
    d.queries.values().map(due).min()
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

/// Moves every query on: timers, and room that may have come free. Urgent
/// queries are served first, then those that end soonest.
pub(super) fn sweep(d: &mut QueryEngine, now: Tick, out: &mut Vec<Command>) {
    let mut ids: Vec<_> = d
        .queries
        .iter()
        .filter(|(_, q)| due(q) <= now || wanting(q) > 0)
        .map(|(id, q)| (std::cmp::Reverse(q.route.class), q.route.rank, q.deadline, *id))
        .collect();
    ids.sort_unstable();
    for (_, _, _, id) in ids {
        advance(d, now, id, out);
    }
}

/// Moves one query as far as it goes now.
pub(super) fn advance(d: &mut QueryEngine, now: Tick, id: u64, out: &mut Vec<Command>) {
    let Some(mut q) = d.queries.swap_remove(&id) else { return };
    if now < q.deadline {
        for i in 0..q.shards.len() {
            match q.shards[i].state {
                ShardState::Queued => fill(d, now, id, &mut q, i, out),
                ShardState::InFlight if q.shards[i].hedge_at <= now => {
                    again(d, now, id, &mut q, i, out)
                }
                _ => {}
            }
        }
    }
    let (have, need) = (count_in(&q), need(&q));
    let open = q
        .shards
        .iter()
        .filter(|s| matches!(s.state, ShardState::Queued | ShardState::InFlight))
        .count();
    let outcome = if open == 0 || now >= q.deadline {
        if have >= need { Ok(()) } else { Err(reason(&q, now)) }
    } else if have >= need && now >= q.quorum_suffices_from && enough(&q, have) {
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
pub(super) fn reason(q: &Query, now: Tick) -> RejectionReason {
    let lost = q.shards.iter().filter_map(|s| match s.state {
        ShardState::Failed(why) => Some(why),
        ShardState::Queued => Some(RejectionReason::NoCapacity),
        _ => None,
    });
    match lost.max_by_key(|r| matches!(r, RejectionReason::NoLeaf)) {
        Some(why) => why,
        None if now >= q.deadline => RejectionReason::DeadlineExceeded,
        None => RejectionReason::BelowQuorum,
    }
}
