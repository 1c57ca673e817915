//! Replies to calls that are forwarded unchanged.

use std::sync::Arc;

use super::attempt::Attempt;
use super::cancellation::free;
use super::coverage::served;
use super::engine::QueryEngine;
use super::event::Command;
use super::forwarded_reply::{ReplyClass, judge, promises};
use super::latency_estimate;
use super::leaf_feedback::{note, overtaken};
use super::planned_query::{PlannedShard, Query, ShardState, failed, shift};
use super::request::RejectionReason;
use crate::config::build::Route;
use crate::config::types::Form;
use crate::consts;
use crate::http_api::leaf::{AttemptFailure, LeafReply, MISDIRECTED};
use crate::time::{Tick, since};

/// A dispatch of a call that is handed over has ended.
pub(super) fn reply(
    d: &mut QueryEngine,
    now: Tick,
    (num, sent): (u64, &Attempt),
    q: &mut Query,
    got: Result<LeafReply, AttemptFailure>,
    out: &mut Vec<Command>,
) {
    free(d, sent);
    let word = word(d, q, sent, &got);
    note(d, now, sent, word.how());
    if word.how().is_ok() {
        latency_estimate::note(&mut d.latency_estimate, &q.route.name, since(sent.sent_at, now));
    }
    let slot = &mut q.shards[sent.shard];
    slot.in_flight.retain(|o| *o != num);
    if slot.state == ShardState::Answered {
        return;
    }
    match word {
        ReplyClass::Partial | ReplyClass::Final => {
            q.executed = true;
            slot.reply = got.ok().map(Arc::new);
            shift(slot, ShardState::Answered);
            let others = std::mem::take(&mut slot.in_flight);
            overtaken(d, now, sent, &others, out);
        }
        ReplyClass::Rejected(why) => {
            *d.statistics.failures.entry(why).or_default() += 1;
            if why == AttemptFailure::Unreachable {
                // Nothing arrived anywhere: this was no try.
                slot.attempts = slot.attempts.saturating_sub(1);
            }
            let lost = spent(slot, &q.route);
            failed(slot, lost.then_some(RejectionReason::NoCapacity));
        }
        ReplyClass::Failed(why) => {
            *d.statistics.failures.entry(why).or_default() += 1;
            q.executed = true;
            let lost = q.route.once || spent(slot, &q.route);
            failed(slot, lost.then_some(RejectionReason::BelowQuorum));
            if let Ok(raw) = got
                && why == AttemptFailure::ErrorStatus
                && !promises(raw.status)
            {
                q.last_failure = Some(Arc::new(raw));
            }
        }
    }
}

/// What a reply is to its call.
fn word(
    d: &QueryEngine,
    q: &Query,
    sent: &Attempt,
    got: &Result<LeafReply, AttemptFailure>,
) -> ReplyClass {
    let word = match got {
        Err(why) => ReplyClass::without_reply(*why),
        Ok(raw) => judge(raw, q.route.form),
    };
    // Coverage: the shard is derived, and must be the one that was planned.
    let planned = q.shards[sent.shard].index;
    let covers = || served(&d.cluster_view, &q.route, &sent.leaf, &sent.service) == Some(planned);
    if word.how().is_ok() && !covers() {
        return ReplyClass::Failed(AttemptFailure::ServiceMismatch);
    }
    word
}

/// Whether a shard has had all its dispatches, or been offered to all the leafs
/// that it may be, those that could not be reached included.
fn spent(slot: &PlannedShard, map: &Route) -> bool {
    let most = map.attempts as usize + consts::UNREACHED_MAX;
    slot.attempts >= map.attempts || slot.attempted_leafs.len() >= most
}

/// A dispatch has ended whose query is over: it still tells of its leaf.
pub(super) fn late(
    d: &mut QueryEngine,
    now: Tick,
    sent: &Attempt,
    got: &Result<LeafReply, AttemptFailure>,
) {
    if !sent.forwarded {
        return;
    }
    let word = match got {
        // Whatever was asked, a leaf that answers with less than a failure of
        // its own stands well.
        Ok(raw) if raw.status < 500 && !raw.headers.rejected && raw.status != MISDIRECTED => {
            ReplyClass::Partial
        }
        Ok(raw) => judge(raw, Form::Join),
        Err(why) => ReplyClass::without_reply(*why),
    };
    note(d, now, sent, word.how());
}
