//! Sends attempts: the first attempt of each shard, retries and hedges.

use super::attempt::Attempt;
use super::engine::QueryEngine;
use super::event::{Command, OutgoingAttempt};
use super::leaf_selection::{Choice, SelectionContext, VersionChoice};
use super::planned_query::{Query, ShardState};
use super::request::RejectionReason;
use crate::snapshot::leafs::LeafInfo;
use crate::time::{Span, Tick, since};

impl QueryEngine {
    /// Sends an attempt for a queued shard, if a leaf has free capacity and, for a retry, the
    /// retry budget allows it.
    pub(super) fn send_queued(
        &mut self,
        now: Tick,
        query_id: u64,
        query: &mut Query,
        index: usize,
        commands: &mut Vec<Command>,
    ) {
        if let Some(info) = self.choose_trial_leaf(now, query, index) {
            query.shards[index].transition(ShardState::InFlight);
            return self.send_attempt(now, query_id, query, index, &info, commands);
        }
        let choice = self.choose_leaf(now, query, index);
        let shard = &mut query.shards[index];
        match choice {
            Choice::NoCandidate if shard.attempts == 0 => {
                shard.transition(ShardState::Failed(RejectionReason::NoLeaf))
            }
            Choice::NoCandidate => {
                shard.transition(ShardState::Failed(RejectionReason::BelowQuorum))
            }
            Choice::NoCapacity => {
                if now >= query.queue_until
                    || since(now, query.deadline) < self.lowest_latency(query, index)
                {
                    query.shards[index].transition(ShardState::Failed(RejectionReason::NoCapacity));
                }
            }
            Choice::Leaf(info) => {
                if shard.attempts > 0 && !self.try_retry(now, query, &info.service) {
                    self.statistics.retries_denied += 1;
                    query.shards[index]
                        .transition(ShardState::Failed(RejectionReason::BelowQuorum));
                    return;
                }
                query.shards[index].transition(ShardState::InFlight);
                self.send_attempt(now, query_id, query, index, &info, commands);
            }
        }
    }

    /// Sends a hedge: another attempt beside one that has been in flight for the hedge delay.
    pub(super) fn send_hedge(
        &mut self,
        now: Tick,
        query_id: u64,
        query: &mut Query,
        index: usize,
        commands: &mut Vec<Command>,
    ) {
        if query.shards[index].attempts >= query.route.attempts {
            query.shards[index].hedge_at = Tick::MAX;
            return;
        }
        let Choice::Leaf(info) = self.choose_leaf(now, query, index) else {
            // No leaf is available now; check again after another hedge delay.
            query.shards[index].hedge_at = self.hedge_time(query, now);
            return;
        };
        if self.try_retry(now, query, &info.service) {
            self.send_attempt(now, query_id, query, index, &info, commands);
        } else {
            self.statistics.retries_denied += 1;
            query.shards[index].hedge_at = self.hedge_time(query, now);
        }
    }

    /// Returns whether the retry budget allows a retry or hedge of this query, and spends it.
    fn try_retry(&mut self, now: Tick, query: &Query, service: &str) -> bool {
        match query.forwarded {
            None => self.retry_budget.try_retry(now),
            Some(_) => self.service_retry_budget.try_retry(service),
        }
    }

    /// Chooses a leaf of the version in force for a shard.
    fn choose_leaf(&mut self, now: Tick, query: &Query, index: usize) -> Choice {
        if now > self.lease_valid_until {
            return Choice::NoCapacity;
        }
        self.choose_version_leaf(now, query, index, VersionChoice::InForce)
    }

    /// Chooses among the leafs of the given version of a shard's services.
    pub(super) fn choose_version_leaf(
        &mut self,
        now: Tick,
        query: &Query,
        index: usize,
        version: VersionChoice,
    ) -> Choice {
        let context = SelectionContext {
            version,
            cluster_view: &self.cluster_view,
            quota_share: &self.quota_share,
            leafs: &self.leafs,
            zone: &self.zone,
            now,
        };
        context.choose(
            &mut self.random,
            &query.route,
            query.shards[index].index,
            &query.shards[index].attempted_leafs,
        )
    }

    /// Returns the lowest typical latency among a shard's leafs, zero if none is known.
    fn lowest_latency(&self, query: &Query, index: usize) -> Span {
        let pools = &query.route.shards[query.shards[index].index].pools;
        pools
            .iter()
            .filter_map(|p| self.cluster_view.services.get(&p.service))
            .flatten()
            .filter_map(|leaf| self.leafs.get(&leaf.leaf).map(|leaf| leaf.typical_latency))
            .min()
            .unwrap_or(0)
    }

    /// Returns the time at which an attempt sent now is hedged. The hedge delay is the learned
    /// latency estimate of the search if there is one, else the route's share of the time
    /// left, at least 1 ms.
    fn hedge_time(&self, query: &Query, now: Tick) -> Tick {
        if query.route.at_most_once {
            return Tick::MAX;
        }
        if query.forwarded.is_some()
            && let Some(delay) =
                self.latency_estimate.hedge_delay(&query.route.name, query.route.latency_target)
        {
            return now + delay;
        }
        now + (since(now, query.deadline) * query.route.hedge_after_pct / 100)
            .max(crate::time::MILLI)
    }

    /// Sends an attempt for a shard to a leaf and records it.
    fn send_attempt(
        &mut self,
        now: Tick,
        query_id: u64,
        query: &mut Query,
        index: usize,
        info: &LeafInfo,
        commands: &mut Vec<Command>,
    ) {
        let attempt_id = self.next_attempt;
        self.next_attempt += 1;
        let hedge_at = self.hedge_time(query, now);
        self.count_attempt(now, query, index, &info.service);
        let shard = &mut query.shards[index];
        shard.attempts += 1;
        shard.hedge_at = hedge_at;
        shard.attempted_leafs.push(info.leaf.clone());
        shard.in_flight.push(attempt_id);
        let pools = &query.route.shards[shard.index].pools;
        let rate =
            pools.iter().find(|p| p.service == info.service).map_or(0, |p| p.cold_leaf_rate_milli);
        if let Some(leaf) = self.leafs.get_mut(&info.leaf) {
            leaf.in_flight += 1;
            if rate > 0 && leaf.counts_as_cold(info.cold, now) {
                leaf.spend_slow_start_credit(u64::from(rate), now);
            }
        }
        let attempt = Attempt {
            query: query_id,
            shard: index,
            leaf: info.leaf.clone(),
            service: info.service.clone(),
            route: query.route.clone(),
            id: format!("{}.{attempt_id}", query.name),
            sent_at: now,
            forwarded: query.forwarded.is_some(),
            at_most_once: query.route.at_most_once,
            is_abandoned: false,
            is_overtaken: false,
        };
        commands.push(Command::Send(self.outgoing_attempt(now, query, info, attempt_id, &attempt)));
        self.attempts.insert(attempt_id, attempt);
    }

    /// Counts an attempt in the retry budget and the metrics.
    fn count_attempt(&mut self, now: Tick, query: &mut Query, index: usize, service: &str) {
        let shard = &mut query.shards[index];
        if shard.attempts > 0 {
            self.statistics.retries += 1;
        } else if !shard.counted {
            shard.counted = true;
            match query.forwarded {
                None => self.retry_budget.record_first_attempt(now),
                Some(_) => self.service_retry_budget.record_first_attempt(service),
            }
            self.statistics.first_attempts += 1;
        }
    }

    /// Builds the message that is sent for an attempt.
    fn outgoing_attempt(
        &self,
        now: Tick,
        query: &Query,
        info: &LeafInfo,
        attempt_id: u64,
        attempt: &Attempt,
    ) -> OutgoingAttempt {
        OutgoingAttempt {
            attempt: attempt_id,
            addr: info.addr.clone(),
            leaf: attempt.leaf.clone(),
            service: attempt.service.clone(),
            id: attempt.id.clone(),
            body_digest: query.body_digest.clone(),
            body: query.body.clone(),
            timeout: since(now, query.deadline),
            forwarded: query.forwarded.clone(),
            at_most_once: query.route.at_most_once,
            keep_connection: self
                .leafs
                .get(&info.leaf)
                .is_none_or(|leaf| leaf.connection_limit != Some(0)),
        }
    }
}
