//! Sends a caller away, with the time after which it may come back.

use super::engine::QueryEngine;
use super::event::Command;
use super::planned_query::{PlannedShard, Query, ShardState};
use super::request::{Outcome, Rejection, RejectionReason};
use crate::consts;
use crate::time::{Span, Tick, since};

impl QueryEngine {
    pub(super) fn reject(
        &mut self,
        now: Tick,
        (call, rest): (u64, Span),
        mut rejection: Rejection,
        query: Option<String>,
        commands: &mut Vec<Command>,
    ) {
        rejection.query = query;
        let away = matches!(
            rejection.reason,
            RejectionReason::ConcurrencyLimit
                | RejectionReason::NoCapacity
                | RejectionReason::DeadlineExceeded
        );
        self.load_pressure.record(now, away);
        rejection.retry_after_seconds = Some(self.load_pressure.retry_after_seconds(
            now,
            rejection.reason,
            rest,
            &mut self.random,
        ));
        rejection.retry_after = Some(self.load_pressure.retry_after(now, rest, &mut self.random));
        *self.statistics.rejected.entry(rejection.reason).or_default() += 1;
        commands.push(Command::Respond { call, outcome: Outcome::Rejected(rejection) });
    }

    /// How long until each shard that is missing has a leaf that is not rested.
    pub(super) fn ejection_left(&self, now: Tick, query: &Query) -> Span {
        let lost = query.shards.iter().filter(|s| s.state != ShardState::Answered);
        let soonest = |s: &PlannedShard| {
            let shard = &query.route.shards[s.index];
            let list = shard
                .pools
                .iter()
                .flat_map(|p| self.cluster_view.open_leafs(p, &query.route.index_version));
            let rests = list
                .filter_map(|i| self.leafs.get(&i.leaf))
                .map(|leaf| since(now, leaf.ejected_until));
            rests.min().unwrap_or(consts::LEAF_LIST_POLL_INTERVAL)
        };
        lost.map(soonest).max().unwrap_or(0)
    }
}
