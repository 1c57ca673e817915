//! Replies of leafs.

use super::attempt::Attempt;
use super::cancellation::free;
use super::coverage::served;
use super::engine::QueryEngine;
use super::event::Command;
use super::leaf_feedback::{note, overtaken};
use super::planned_query::{Query, ShardState, failed, shift};
use super::progress::{advance, sweep};
use super::request::{Record, RejectionReason};
use super::{forwarding, leaf, observed_load};
use crate::http_api::leaf::{AttemptFailure, ExpectedReply, LeafReply, check, self_word};
use crate::protocol::message::LeafReport;
use crate::time::Tick;

/// A dispatch has ended. A late or unknown one changes nothing.
pub(super) fn reply(
    d: &mut QueryEngine,
    now: Tick,
    num: u64,
    got: Result<LeafReply, AttemptFailure>,
    out: &mut Vec<Command>,
) {
    let Some(sent) = d.attempts.swap_remove(&num) else { return };
    if let Ok(raw) = &got {
        hear(d, now, &sent, raw, out);
    }
    let Some(mut q) = d.queries.swap_remove(&sent.query) else {
        forwarding::late(d, now, &sent, &got);
        free(d, &sent);
        return sweep(d, now, out);
    };
    if q.forwarded.is_some() {
        forwarding::reply(d, now, (num, &sent), &mut q, got, out);
    } else {
        searched(d, now, (num, &sent), &mut q, got, out);
    }
    d.queries.insert(sent.query, q);
    advance(d, now, sent.query, out);
    sweep(d, now, out);
}

/// A reply to a question of our own form.
fn searched(
    d: &mut QueryEngine,
    now: Tick,
    (num, sent): (u64, &Attempt),
    q: &mut Query,
    got: Result<LeafReply, AttemptFailure>,
    out: &mut Vec<Command>,
) {
    let checked = got.and_then(|raw| checked(d, q, sent, &raw));
    free(d, sent);
    note(d, now, sent, checked.as_ref().map(|_| ()).map_err(|why| *why));
    let slot = &mut q.shards[sent.shard];
    slot.in_flight.retain(|o| *o != num);
    match checked {
        Ok(mut recs) => {
            let name = &q.route.shards[slot.index].name;
            for rec in &mut recs {
                rec.shard = name.clone();
            }
            slot.records = recs;
            shift(slot, ShardState::Answered);
            let others = std::mem::take(&mut slot.in_flight);
            overtaken(d, now, sent, &others, out);
        }
        Err(why) => {
            *d.statistics.failures.entry(why).or_default() += 1;
            let lost = slot.attempts >= q.route.attempts;
            failed(slot, lost.then_some(RejectionReason::BelowQuorum));
        }
    }
}

/// The records of a reply that may stand for the planned shard.
fn checked(
    d: &QueryEngine,
    q: &Query,
    sent: &Attempt,
    raw: &LeafReply,
) -> Result<Vec<Record>, AttemptFailure> {
    let want = ExpectedReply {
        leaf: &sent.leaf,
        attempt: &sent.id,
        digest: &q.body_digest,
        index_version: &q.route.cut,
        record_limit: q.record_limit,
    };
    let recs = check(raw, &want)?;
    // Coverage: the shard is derived, and must be the one that was planned.
    let planned = q.shards[sent.shard].index;
    if served(&d.cluster_view, &q.route, &sent.leaf, &sent.service) != Some(planned) {
        return Err(AttemptFailure::ServiceMismatch);
    }
    Ok(recs)
}

/// Takes in what a leaf says of itself.
fn hear(d: &mut QueryEngine, now: Tick, sent: &Attempt, raw: &LeafReply, out: &mut Vec<Command>) {
    let Some(l) = d.leafs.get_mut(&sent.leaf) else { return };
    let before = l.draining;
    // A reply of another leaf, at a reused address, says of ours only that it
    // is gone.
    let gone = raw.status == crate::http_api::leaf::MISDIRECTED && !raw.headers.foreign;
    if gone {
        l.draining = true;
    } else {
        leaf::word(l, &self_word(&raw.headers), now);
        if let Some(load) = raw.headers.load {
            observed_load::hear(l, load);
        }
    }
    if l.draining && !before {
        let word = LeafReport { leaf: sent.leaf.clone(), leaving: !gone, gone, age_ms: 0 };
        out.push(Command::ReportLeaf { service: sent.service.clone(), report: word });
    }
}
