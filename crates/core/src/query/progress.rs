//! Advances open queries: sends due attempts and ends queries that are decided.

use super::engine::QueryEngine;
use super::event::Command;
use super::planned_query::{Query, ShardState};
use super::request::{Rejection, RejectionReason};

use crate::time::Tick;

impl QueryEngine {
    /// Returns the time of the next timer event, if one is needed.
    pub fn next_due(&self) -> Option<Tick> {
        let of_queries = self.queries.values().map(Query::next_due).min();
        let of_attempts = [self.abandoned.next_due(), self.closing.next_due()];
        of_queries.into_iter().chain(of_attempts.into_iter().flatten()).min()
    }

    /// Starts a planned query, or responds with the rejection.
    pub(super) fn start_query(
        &mut self,
        now: Tick,
        call: u64,
        query: Result<Query, Rejection>,
        commands: &mut Vec<Command>,
    ) {
        match query {
            Err(rejection) => self.reject(now, (call, 0), rejection, None, commands),
            Ok(query) => {
                let query_id = self.next_query;
                self.next_query += 1;
                self.queries.insert(query_id, query);
                self.advance_query(now, query_id, commands);
            }
        }
    }

    /// Advances every query that is due or has queued shards. Queries of a higher priority class
    /// come first; within a class, those with the lowest rank, then those with the earliest
    /// deadline.
    pub(super) fn advance_queries(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let mut ids: Vec<_> = self
            .queries
            .iter()
            .filter(|(_, query)| query.next_due() <= now || query.queued_shards() > 0)
            .map(|(id, query)| {
                (
                    std::cmp::Reverse(query.route.priority_class),
                    query.route.rank_in_class,
                    query.deadline,
                    *id,
                )
            })
            .collect();
        ids.sort_unstable();
        for (_, _, _, query_id) in ids {
            self.advance_query(now, query_id, commands);
        }
    }

    /// Advances one query as far as possible, and ends it if its result is decided.
    pub(super) fn advance_query(&mut self, now: Tick, query_id: u64, commands: &mut Vec<Command>) {
        let Some(mut query) = self.queries.swap_remove(&query_id) else { return };
        if now < query.deadline {
            for index in 0..query.shards.len() {
                match query.shards[index].state {
                    ShardState::Queued => {
                        self.send_queued(now, query_id, &mut query, index, commands)
                    }
                    ShardState::InFlight if query.shards[index].hedge_at <= now => {
                        self.send_hedge(now, query_id, &mut query, index, commands)
                    }
                    _ => {}
                }
            }
        }
        let (have, need) = (query.answered_shards(), query.quorum_size());
        let open = query
            .shards
            .iter()
            .filter(|s| matches!(s.state, ShardState::Queued | ShardState::InFlight))
            .count();
        let outcome = if open == 0 || now >= query.deadline {
            if have >= need { Ok(()) } else { Err(query.rejection_reason(now)) }
        } else if have >= need
            && now >= query.quorum_suffices_from
            && query.is_worth_answering(have)
        {
            Ok(())
        } else if have + open < need {
            Err(query.rejection_reason(now))
        } else {
            self.queries.insert(query_id, query);
            return;
        };
        self.finish_query(now, query, outcome, commands);
    }
}

impl Query {
    /// Returns the reason for rejecting a query: the most severe one of its shards.
    pub(super) fn rejection_reason(&self, now: Tick) -> RejectionReason {
        let reasons = self.shards.iter().filter_map(|s| match s.state {
            ShardState::Failed(why) => Some(why),
            ShardState::Queued => Some(RejectionReason::NoCapacity),
            _ => None,
        });
        match reasons.max_by_key(|r| matches!(r, RejectionReason::NoLeaf)) {
            Some(why) => why,
            None if now >= self.deadline => RejectionReason::DeadlineExceeded,
            None => RejectionReason::BelowQuorum,
        }
    }
}
