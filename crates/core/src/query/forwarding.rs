//! Replies to calls that are forwarded unchanged.

use std::sync::Arc;

use super::attempt::Attempt;
use super::coverage::served;
use super::engine::QueryEngine;
use super::event::Command;
use super::forwarded_reply::{ReplyClass, promises};
use super::planned_query::{PlannedShard, Query, ShardState};
use super::request::RejectionReason;
use crate::config::route::Route;
use crate::config::types::ServingMode;
use crate::consts;
use crate::http_api::leaf::{AttemptFailure, LeafReply, MISDIRECTED};
use crate::time::{Tick, since};

impl QueryEngine {
    /// A dispatch of a call that is handed over has ended.
    pub(super) fn forwarded_attempt_ended(
        &mut self,
        now: Tick,
        (attempt_id, attempt): (u64, &Attempt),
        query: &mut Query,
        result: Result<LeafReply, AttemptFailure>,
        commands: &mut Vec<Command>,
    ) {
        self.release_leaf(&attempt.leaf);
        let class = self.classify(query, attempt, &result);
        self.note_leaf_result(now, attempt, class.how());
        if class.how().is_ok() {
            self.latency_estimate.record(&query.route.name, since(attempt.sent_at, now));
        }
        let shard = &mut query.shards[attempt.shard];
        shard.in_flight.retain(|o| *o != attempt_id);
        if shard.state == ShardState::Answered {
            return;
        }
        match class {
            ReplyClass::Partial | ReplyClass::Final => {
                query.executed = true;
                shard.reply = result.ok().map(Arc::new);
                shard.transition(ShardState::Answered);
                let others = std::mem::take(&mut shard.in_flight);
                self.cancel_overtaken(now, attempt, &others, commands);
            }
            ReplyClass::Rejected(why) => {
                *self.statistics.failures.entry(why).or_default() += 1;
                if why == AttemptFailure::Unreachable {
                    // Nothing arrived anywhere: this was no try.
                    shard.attempts = shard.attempts.saturating_sub(1);
                }
                let lost = shard.is_exhausted(&query.route);
                shard.attempt_failed(lost.then_some(RejectionReason::NoCapacity));
            }
            ReplyClass::Failed(why) => {
                *self.statistics.failures.entry(why).or_default() += 1;
                query.executed = true;
                let lost = query.route.at_most_once || shard.is_exhausted(&query.route);
                shard.attempt_failed(lost.then_some(RejectionReason::BelowQuorum));
                if let Ok(raw) = result
                    && why == AttemptFailure::ErrorStatus
                    && !promises(raw.status)
                {
                    query.last_failure = Some(Arc::new(raw));
                }
            }
        }
    }

    /// What a reply is to its call.
    fn classify(
        &self,
        query: &Query,
        attempt: &Attempt,
        result: &Result<LeafReply, AttemptFailure>,
    ) -> ReplyClass {
        let class = match result {
            Err(why) => ReplyClass::without_reply(*why),
            Ok(raw) => ReplyClass::of_reply(raw, query.route.serving_mode),
        };
        // Coverage: the shard is derived, and must be the one that was planned.
        let planned = query.shards[attempt.shard].index;
        let covers = || {
            served(&self.cluster_view, &query.route, &attempt.leaf, &attempt.service)
                == Some(planned)
        };
        if class.how().is_ok() && !covers() {
            return ReplyClass::Failed(AttemptFailure::ServiceMismatch);
        }
        class
    }
}

impl PlannedShard {
    /// Whether a shard has had all its dispatches, or been offered to all the leafs
    /// that it may be, those that could not be reached included.
    fn is_exhausted(&self, route: &Route) -> bool {
        let most = route.attempts as usize + consts::MAX_UNREACHABLE_LEAFS;
        self.attempts >= route.attempts || self.attempted_leafs.len() >= most
    }
}

impl QueryEngine {
    /// A dispatch has ended whose query is over: it still tells of its leaf.
    pub(super) fn note_late_reply(
        &mut self,
        now: Tick,
        attempt: &Attempt,
        result: &Result<LeafReply, AttemptFailure>,
    ) {
        if !attempt.forwarded {
            return;
        }
        let class = match result {
            // Whatever was asked, a leaf that answers with less than a failure of
            // its own stands well.
            Ok(raw) if raw.status < 500 && !raw.headers.rejected && raw.status != MISDIRECTED => {
                ReplyClass::Partial
            }
            Ok(raw) => ReplyClass::of_reply(raw, ServingMode::Join),
            Err(why) => ReplyClass::without_reply(*why),
        };
        self.note_leaf_result(now, attempt, class.how());
    }
}
