//! Moves queries on: what is due, what can be sent, what has ended.

use super::engine::QueryEngine;
use super::event::Command;

use super::planned_query::{Query, ShardState};

use super::request::{Rejection, RejectionReason};

use crate::time::Tick;

impl QueryEngine {
    /// When `step` wants to be woken next.
    pub fn next_due(&self) -> Option<Tick> {
        self.queries.values().map(Query::next_due).min()
    }

    /// Takes a planned query in hand, or sends its caller away.
    pub(super) fn start_query(
        &mut self,
        now: Tick,
        call: u64,
        q: Result<Query, Rejection>,
        out: &mut Vec<Command>,
    ) {
        match q {
            Err(b) => self.reject(now, (call, 0), b, None, out),
            Ok(q) => {
                let id = self.next_query;
                self.next_query += 1;
                self.queries.insert(id, q);
                self.advance_query(now, id, out);
            }
        }
    }

    /// Moves every query on: timers, and room that may have come free. Urgent
    /// queries are served first, then those that end soonest.
    pub(super) fn advance_queries(&mut self, now: Tick, out: &mut Vec<Command>) {
        let mut ids: Vec<_> = self
            .queries
            .iter()
            .filter(|(_, q)| q.next_due() <= now || q.queued_shards() > 0)
            .map(|(id, q)| (std::cmp::Reverse(q.route.class), q.route.rank, q.deadline, *id))
            .collect();
        ids.sort_unstable();
        for (_, _, _, id) in ids {
            self.advance_query(now, id, out);
        }
    }

    /// Moves one query as far as it goes now.
    pub(super) fn advance_query(&mut self, now: Tick, id: u64, out: &mut Vec<Command>) {
        let Some(mut q) = self.queries.swap_remove(&id) else { return };
        if now < q.deadline {
            for i in 0..q.shards.len() {
                match q.shards[i].state {
                    ShardState::Queued => self.send_queued(now, id, &mut q, i, out),
                    ShardState::InFlight if q.shards[i].hedge_at <= now => {
                        self.send_hedge(now, id, &mut q, i, out)
                    }
                    _ => {}
                }
            }
        }
        let (have, need) = (q.answered_shards(), q.quorum_size());
        let open = q
            .shards
            .iter()
            .filter(|s| matches!(s.state, ShardState::Queued | ShardState::InFlight))
            .count();
        let outcome = if open == 0 || now >= q.deadline {
            if have >= need { Ok(()) } else { Err(q.rejection_reason(now)) }
        } else if have >= need && now >= q.quorum_suffices_from && q.is_worth_answering(have) {
            Ok(())
        } else if have + open < need {
            Err(q.rejection_reason(now))
        } else {
            self.queries.insert(id, q);
            return;
        };
        self.finish_query(now, q, outcome, out);
    }
}

impl Query {
    /// Why a query is bounced: the gravest of what its slots met.
    pub(super) fn rejection_reason(&self, now: Tick) -> RejectionReason {
        let lost = self.shards.iter().filter_map(|s| match s.state {
            ShardState::Failed(why) => Some(why),
            ShardState::Queued => Some(RejectionReason::NoCapacity),
            _ => None,
        });
        match lost.max_by_key(|r| matches!(r, RejectionReason::NoLeaf)) {
            Some(why) => why,
            None if now >= self.deadline => RejectionReason::DeadlineExceeded,
            None => RejectionReason::BelowQuorum,
        }
    }
}
