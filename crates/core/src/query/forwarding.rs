//! Replies to calls that are forwarded unchanged.

use std::sync::Arc;

use super::attempt::Attempt;

use super::coverage::served;
use super::engine::QueryEngine;
use super::event::Command;
use super::forwarded_reply::{ReplyClass, promises};

use super::planned_query::{PlannedShard, Query, ShardState};
use super::request::RejectionReason;
use crate::config::build::Route;
use crate::config::types::Form;
use crate::consts;
use crate::http_api::leaf::{AttemptFailure, LeafReply, MISDIRECTED};
use crate::time::{Tick, since};

impl QueryEngine {
    /// A dispatch of a call that is handed over has ended.
    pub(super) fn forwarded_attempt_ended(
        &mut self,
        now: Tick,
        (num, sent): (u64, &Attempt),
        q: &mut Query,
        got: Result<LeafReply, AttemptFailure>,
        out: &mut Vec<Command>,
    ) {
        self.release_leaf(sent);
        let word = self.classify(q, sent, &got);
        self.note_leaf_result(now, sent, word.how());
        if word.how().is_ok() {
            self.latency_estimate.record(&q.route.name, since(sent.sent_at, now));
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
                slot.transition(ShardState::Answered);
                let others = std::mem::take(&mut slot.in_flight);
                self.cancel_overtaken(now, sent, &others, out);
            }
            ReplyClass::Rejected(why) => {
                *self.statistics.failures.entry(why).or_default() += 1;
                if why == AttemptFailure::Unreachable {
                    // Nothing arrived anywhere: this was no try.
                    slot.attempts = slot.attempts.saturating_sub(1);
                }
                let lost = slot.is_exhausted(&q.route);
                slot.attempt_failed(lost.then_some(RejectionReason::NoCapacity));
            }
            ReplyClass::Failed(why) => {
                *self.statistics.failures.entry(why).or_default() += 1;
                q.executed = true;
                let lost = q.route.once || slot.is_exhausted(&q.route);
                slot.attempt_failed(lost.then_some(RejectionReason::BelowQuorum));
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
    fn classify(
        &self,
        q: &Query,
        sent: &Attempt,
        got: &Result<LeafReply, AttemptFailure>,
    ) -> ReplyClass {
        let word = match got {
            Err(why) => ReplyClass::without_reply(*why),
            Ok(raw) => ReplyClass::of_reply(raw, q.route.form),
        };
        // Coverage: the shard is derived, and must be the one that was planned.
        let planned = q.shards[sent.shard].index;
        let covers =
            || served(&self.cluster_view, &q.route, &sent.leaf, &sent.service) == Some(planned);
        if word.how().is_ok() && !covers() {
            return ReplyClass::Failed(AttemptFailure::ServiceMismatch);
        }
        word
    }
}

impl PlannedShard {
    /// Whether a shard has had all its dispatches, or been offered to all the leafs
    /// that it may be, those that could not be reached included.
    fn is_exhausted(&self, map: &Route) -> bool {
        let most = map.attempts as usize + consts::UNREACHED_MAX;
        self.attempts >= map.attempts || self.attempted_leafs.len() >= most
    }
}

impl QueryEngine {
    /// A dispatch has ended whose query is over: it still tells of its leaf.
    pub(super) fn note_late_reply(
        &mut self,
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
            Ok(raw) => ReplyClass::of_reply(raw, Form::Join),
            Err(why) => ReplyClass::without_reply(*why),
        };
        self.note_leaf_result(now, sent, word.how());
    }
}
