//! Ends a query: what its caller is told.

use std::sync::Arc;

use super::cancellation::drop_out;
use super::engine::QueryEngine;
use super::event::Command;
use super::forwarded_request::{ForwardedRequest, Joined, Passed, join};
use super::leaf;
use super::merge::merge;
use super::planned_query::{Query, SlotState, count_in, need};
use super::rejection::{bounce, rest};
use super::request::{Full, Outcome, Reason, Rejection};
use super::retry;
use super::statistics::TOOK_MS;
use crate::config::types::ServingMode;
use crate::http_api::leaf::{Raw, Trouble};
use crate::time::{MILLI, Tick, since};

/// Ends a query: gives up what is still out and tells its caller.
pub(super) fn finish(
    d: &mut QueryEngine,
    now: Tick,
    mut q: Query,
    how: Result<(), Reason>,
    out: &mut Vec<Command>,
) {
    // Leafs of other shards may be at work on it: then it has not gone unrun.
    let out_there = q.slots.iter().any(|s| !s.outs.is_empty());
    give_up(d, now, &mut q, out);
    let took = since(q.start, now) / MILLI;
    let cell = TOOK_MS.iter().position(|b| took <= *b).unwrap_or(TOOK_MS.len());
    d.counts.took[cell] += 1;
    if let Err(why) = how {
        q.ran |= out_there;
        return finish_failed(d, now, q, why, out);
    }
    retry::note(&mut d.strain, now, false);
    let call = q.call;
    let (missing, outcome) = match q.parcel.clone() {
        Some(parcel) => finish_forwarded(&q, &parcel),
        None => finish_searched(q),
    };
    if missing == 0 {
        d.counts.full += 1;
    } else {
        d.counts.partial += 1;
    }
    out.push(Command::Tell { call, outcome });
}

/// Gives up the dispatches that are still out.
fn give_up(d: &mut QueryEngine, now: Tick, q: &mut Query, out: &mut Vec<Command>) {
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
}

/// Sends the caller away, or gives it the failure that a leaf has answered.
fn finish_failed(d: &mut QueryEngine, now: Tick, q: Query, why: Reason, out: &mut Vec<Command>) {
    // A leaf's own failure says more than ours would.
    if let (Some(parcel), Some(raw)) = (&q.parcel, &q.last)
        && q.map.form == ServingMode::PassThrough
    {
        let passed = Passed { id: parcel.id.clone(), raw: raw.clone() };
        return out.push(Command::Tell { call: q.call, outcome: Outcome::Passed(passed) });
    }
    let text = match why {
        Reason::OutOfTime => "the budget ran out before the required share answered",
        Reason::NoRoom => "no leaf had room in time",
        Reason::NoLeafs => "a needed shard has no leaf that may be asked",
        _ => "too many shards failed and no more tries were allowed",
    };
    let rest = rest(d, now, &q);
    let mut b = Rejection::new(why, text);
    b.ran = q.ran;
    bounce(d, now, (q.call, rest), b, Some(q.name), out);
}

/// The count of missing shards and the merged records of all others.
fn finish_searched(q: Query) -> (usize, Outcome) {
    let (mut shards, mut lists) = (Vec::new(), Vec::new());
    let planned = q.slots.len();
    for s in q.slots.into_iter().filter(|s| s.state == SlotState::In) {
        shards.push(q.map.shards[s.shard].name.clone());
        lists.push(s.records);
    }
    let missing = planned - shards.len();
    let full = Full {
        query: q.name,
        mapping: q.map.name.clone(),
        cut: q.map.cut.clone(),
        revision: q.revision,
        shards,
        missing,
        records: merge(lists, q.limit as usize),
    };
    (missing, Outcome::Full(full))
}

/// The count of missing shards and what came of a call that is handed over.
fn finish_forwarded(q: &Query, parcel: &ForwardedRequest) -> (usize, Outcome) {
    let missing = q.slots.len() - count_in(q);
    let parts: Vec<&Arc<Raw>> = q.slots.iter().filter_map(|s| s.part.as_ref()).collect();
    debug_assert!(parts.len() >= need(q));
    let outcome = match (q.map.form, parts.first()) {
        (ServingMode::PassThrough, Some(raw)) => {
            Outcome::Passed(Passed { id: parcel.id.clone(), raw: (*raw).clone() })
        }
        _ => {
            let bodies: Vec<&[u8]> = parts.iter().map(|r| r.body.as_slice()).collect();
            Outcome::Joined(Joined {
                id: parcel.id.clone(),
                stamps: parts.iter().flat_map(|r| r.heads.postmarks.clone()).collect(),
                missing,
                body: join(&bodies, q.map.width, q.map.top),
            })
        }
    };
    (missing, outcome)
}
