//! Rejects calls, with a time after which the caller may retry.

use super::engine::QueryEngine;
use super::event::Command;
use super::planned_query::{PlannedShard, Query, ShardState};
use super::request::{Outcome, Rejection, RejectionReason};
use crate::consts;
use crate::time::{Span, Tick, since};

impl QueryEngine {
    /// Responds to a call with a rejection. `ejection_left` is the time until a leaf that the
    /// query needs is no longer ejected.
    pub(super) fn reject(
        &mut self,
        now: Tick,
        (call, ejection_left): (u64, Span),
        mut rejection: Rejection,
        query: Option<String>,
        commands: &mut Vec<Command>,
    ) {
        rejection.query = query;
        let is_overload = matches!(
            rejection.reason,
            RejectionReason::ConcurrencyLimit
                | RejectionReason::NoCapacity
                | RejectionReason::DeadlineExceeded
        );
        self.load_pressure.record(now, is_overload);
        rejection.retry_after_seconds = Some(self.load_pressure.retry_after_seconds(
            now,
            rejection.reason,
            ejection_left,
            &mut self.random,
        ));
        rejection.retry_after =
            Some(self.load_pressure.retry_after(now, ejection_left, &mut self.random));
        *self.statistics.rejected.entry(rejection.reason).or_default() += 1;
        commands.push(Command::Respond { call, outcome: Outcome::Rejected(rejection) });
    }

    /// Returns the time until every unanswered shard has a leaf that is not ejected.
    pub(super) fn ejection_left(&self, now: Tick, query: &Query) -> Span {
        let unanswered = query.shards.iter().filter(|s| s.state != ShardState::Answered);
        let soonest = |s: &PlannedShard| {
            let shard = &query.route.shards[s.index];
            let leafs = shard
                .pools
                .iter()
                .flat_map(|p| self.cluster_view.open_leafs(p, &query.route.index_version));
            let times_left = leafs
                .filter_map(|i| self.leafs.get(&i.leaf))
                .map(|leaf| since(now, leaf.ejected_until));
            times_left.min().unwrap_or(consts::LEAF_LIST_POLL_INTERVAL)
        };
        unanswered.map(soonest).max().unwrap_or(0)
    }
}
