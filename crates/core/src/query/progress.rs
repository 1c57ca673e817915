//! Moves queries on: what is due, what can be sent, what has ended.

use super::engine::QueryEngine;
use super::event::Command;
use super::finishing::finish;
use super::planned_query::{Query, SlotState, count_in, due, enough, need, wanting};
use super::rejection::bounce;
use super::request::{Reason, Rejection};
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
    } else if have >= need && now >= q.stop_at && enough(&q, have) {
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
pub(super) fn reason(q: &Query, now: Tick) -> Reason {
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
