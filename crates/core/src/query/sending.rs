//! Sends attempts: the first of each shard, retries and hedges.

use super::attempt::Attempt;
use super::engine::QueryEngine;
use super::event::{Command, OutgoingAttempt};
use super::leaf_selection::{Choice, SelectionContext};
use super::planned_query::{Query, ShardState};
use super::request::RejectionReason;
use crate::snapshot::leafs::LeafInfo;
use crate::time::{Span, Tick, since};

impl QueryEngine {
    /// Finds a leaf for a slot that wants one.
    pub(super) fn send_queued(
        &mut self,
        now: Tick,
        id: u64,
        q: &mut Query,
        i: usize,
        out: &mut Vec<Command>,
    ) {
        let picked = self.choose_leaf(now, q, i);
        let slot = &mut q.shards[i];
        match picked {
            Choice::NoCandidate if slot.attempts == 0 => {
                slot.transition(ShardState::Failed(RejectionReason::NoLeaf))
            }
            Choice::NoCandidate => {
                slot.transition(ShardState::Failed(RejectionReason::BelowQuorum))
            }
            Choice::NoCapacity => {
                if now >= q.queue_until || since(now, q.deadline) < self.lowest_latency(q, i) {
                    q.shards[i].transition(ShardState::Failed(RejectionReason::NoCapacity));
                }
            }
            Choice::Leaf(info) => {
                if slot.attempts > 0 && !self.try_retry(now, q, &info.service) {
                    self.statistics.retries_denied += 1;
                    q.shards[i].transition(ShardState::Failed(RejectionReason::BelowQuorum));
                    return;
                }
                q.shards[i].transition(ShardState::InFlight);
                self.send_attempt(now, id, q, i, &info, out);
            }
        }
    }

    /// Sends a second try beside the first when its wait is over.
    pub(super) fn send_hedge(
        &mut self,
        now: Tick,
        id: u64,
        q: &mut Query,
        i: usize,
        out: &mut Vec<Command>,
    ) {
        if q.shards[i].attempts >= q.route.attempts {
            q.shards[i].hedge_at = Tick::MAX;
            return;
        }
        let Choice::Leaf(info) = self.choose_leaf(now, q, i) else {
            // Nobody to ask now; look again after a like wait.
            q.shards[i].hedge_at = self.hedge_time(q, now);
            return;
        };
        if self.try_retry(now, q, &info.service) {
            self.send_attempt(now, id, q, i, &info, out);
        } else {
            self.statistics.retries_denied += 1;
            q.shards[i].hedge_at = self.hedge_time(q, now);
        }
    }

    /// Asks the rule that holds for a query whether it may send a second try.
    fn try_retry(&mut self, now: Tick, q: &Query, service: &str) -> bool {
        match q.forwarded {
            None => self.retry_budget.try_retry(now),
            Some(_) => self.service_retry_budget.try_retry(service),
        }
    }

    fn choose_leaf(&mut self, now: Tick, q: &Query, i: usize) -> Choice {
        if now > self.lease_valid_until {
            return Choice::NoCapacity;
        }
        let s = SelectionContext {
            cluster_view: &self.cluster_view,
            quota_share: &self.quota_share,
            leafs: &self.leafs,
            zone: &self.zone,
            peers: &self.peers,
            thread_id: self.thread_id,
            now,
        };
        s.choose(&mut self.random, &q.route, q.shards[i].index, &q.shards[i].attempted_leafs)
    }

    /// The shortest typical time among a shard's leafs, zero if none is known.
    fn lowest_latency(&self, q: &Query, i: usize) -> Span {
        let pools = &q.route.shards[q.shards[i].index].pools;
        pools
            .iter()
            .filter_map(|p| self.cluster_view.services.get(&p.service))
            .flatten()
            .filter_map(|l| self.leafs.get(&l.leaf).map(|l| l.typical_latency))
            .min()
            .unwrap_or(0)
    }

    /// The end of a dispatch's wait: what such dispatches usually take where that
    /// is learned, else its share of the time left, at least 1 ms.
    fn hedge_time(&self, q: &Query, now: Tick) -> Tick {
        if q.route.once {
            return Tick::MAX;
        }
        if q.forwarded.is_some()
            && let Some(wait) = self.latency_estimate.hedge_delay(&q.route.name, q.route.target)
        {
            return now + wait;
        }
        now + (since(now, q.deadline) * q.route.wait_pct / 100).max(crate::time::MILLI)
    }

    fn send_attempt(
        &mut self,
        now: Tick,
        id: u64,
        q: &mut Query,
        i: usize,
        info: &LeafInfo,
        out: &mut Vec<Command>,
    ) {
        let num = self.next_attempt;
        self.next_attempt += 1;
        let wait = self.hedge_time(q, now);
        self.count_attempt(now, q, i, &info.service);
        let slot = &mut q.shards[i];
        slot.attempts += 1;
        slot.hedge_at = wait;
        slot.attempted_leafs.push(info.leaf.clone());
        slot.in_flight.push(num);
        let pools = &q.route.shards[slot.index].pools;
        let rate = pools.iter().find(|p| p.service == info.service).map_or(0, |p| p.cold_rate);
        if let Some(l) = self.leafs.get_mut(&info.leaf) {
            l.in_flight += 1;
            if info.cold && rate > 0 {
                l.spend_slow_start_credit(u64::from(rate), now);
            }
        }
        let sent = Attempt {
            query: id,
            shard: i,
            leaf: info.leaf.clone(),
            service: info.service.clone(),
            id: format!("{}.{num}", q.name),
            sent_at: now,
            forwarded: q.forwarded.is_some(),
        };
        out.push(Command::Send(self.outgoing_attempt(now, q, info, num, &sent)));
        self.attempts.insert(num, sent);
    }

    /// Counts an attempt for the budgets of retries and the metrics.
    fn count_attempt(&mut self, now: Tick, q: &mut Query, i: usize, service: &str) {
        let slot = &mut q.shards[i];
        if slot.attempts > 0 {
            self.statistics.retries += 1;
        } else if !slot.counted {
            slot.counted = true;
            match q.forwarded {
                None => self.retry_budget.record_first_attempt(now),
                Some(_) => self.service_retry_budget.record_first_attempt(service),
            }
            self.statistics.first_attempts += 1;
        }
    }

    /// What goes out for an attempt.
    fn outgoing_attempt(
        &self,
        now: Tick,
        q: &Query,
        info: &LeafInfo,
        num: u64,
        sent: &Attempt,
    ) -> OutgoingAttempt {
        OutgoingAttempt {
            attempt: num,
            addr: info.addr.clone(),
            leaf: sent.leaf.clone(),
            service: sent.service.clone(),
            id: sent.id.clone(),
            body_digest: q.body_digest.clone(),
            body: q.body.clone(),
            timeout: since(now, q.deadline),
            forwarded: q.forwarded.clone(),
            at_most_once: q.route.once,
            keep_connection: self
                .leafs
                .get(&info.leaf)
                .is_none_or(|l| l.connection_limit != Some(0)),
        }
    }
}
