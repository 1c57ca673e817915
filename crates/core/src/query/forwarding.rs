//! Handles the replies to calls that are forwarded unchanged.

use std::sync::Arc;

use super::attempt::Attempt;
use super::coverage::covered_shard;
use super::engine::QueryEngine;
use super::event::Command;
use super::forwarded_reply::{ReplyClass, implies_not_executed};
use super::planned_query::{PlannedShard, Query, ShardState};
use super::request::RejectionReason;
use crate::config::route::Route;
use crate::config::types::ServingMode;
use crate::consts;
use crate::http_api::leaf::{AttemptFailure, LeafReply, MISDIRECTED};
use crate::time::{Tick, since};

impl QueryEngine {
    /// Handles the end of an attempt of a forwarded call.
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
        self.note_leaf_result(now, attempt, class.outcome());
        if class.outcome().is_ok() {
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
                    // The request did not reach a leaf, so it does not count as an attempt.
                    shard.attempts = shard.attempts.saturating_sub(1);
                }
                let is_final = shard.is_exhausted(&query.route);
                shard.attempt_failed(is_final.then_some(RejectionReason::NoCapacity));
            }
            ReplyClass::Failed(why) => {
                *self.statistics.failures.entry(why).or_default() += 1;
                query.executed = true;
                let is_final = query.route.at_most_once || shard.is_exhausted(&query.route);
                shard.attempt_failed(is_final.then_some(RejectionReason::BelowQuorum));
                if let Ok(raw) = result
                    && why == AttemptFailure::ErrorStatus
                    && !implies_not_executed(raw.status)
                {
                    query.last_failure = Some(Arc::new(raw));
                }
            }
        }
    }

    /// Classifies the end of an attempt, including the coverage check.
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
        // Coverage check: the shard that the leaf serves must be the planned one.
        let planned = query.shards[attempt.shard].index;
        let covers = || {
            covered_shard(&self.cluster_view, &query.route, &attempt.leaf, &attempt.service)
                == Some(planned)
        };
        if class.outcome().is_ok() && !covers() {
            return ReplyClass::Failed(AttemptFailure::ServiceMismatch);
        }
        class
    }
}

impl PlannedShard {
    /// Returns whether no further attempt may be made for this shard: it has used all its
    /// attempts, or has been sent to the maximum number of leafs, including unreachable ones.
    fn is_exhausted(&self, route: &Route) -> bool {
        let max_leafs = route.attempts as usize + consts::MAX_UNREACHABLE_LEAFS;
        self.attempts >= route.attempts || self.attempted_leafs.len() >= max_leafs
    }
}

impl QueryEngine {
    /// Records the end of an attempt whose query has already ended, as an observation of its
    /// leaf.
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
            // A leaf that answers without a server error is healthy, whatever the call was.
            Ok(raw) if raw.status < 500 && !raw.headers.rejected && raw.status != MISDIRECTED => {
                ReplyClass::Partial
            }
            Ok(raw) => ReplyClass::of_reply(raw, ServingMode::Join),
            Err(why) => ReplyClass::without_reply(*why),
        };
        self.note_leaf_result(now, attempt, class.outcome());
    }
}
