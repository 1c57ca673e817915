//! Leafs in slow start that stand for those of every pool with a rate limit: each query engine
//! sends them as much as it may at each timer of its querier. No message is simulated; the check is
//! on the sum over all engines, across membership changes, pauses, network partitions and restarts.

use std::collections::{BTreeMap, VecDeque};

use grebepath_core::query::leaf::LeafState;
use grebepath_core::query::quota::QuotaShare;
use grebepath_core::time::{BOOT, SECOND, Tick};

use super::events::QueryEngineId;
use super::faulty_variant::FaultyVariant;
use super::{BEGIN, World};

/// The leafs that are checked.
const LEAF_NAMES: [&str; 2] = ["cold-1", "cold-2"];
/// Slow-start capacity of each leaf (attempts per second).
const PER_SECOND: u64 = 20;
/// The same rate in thousandths of an attempt per second, the unit of the configuration.
const RATE: u64 = PER_SECOND * 1_000;
/// The most attempts that the requirements allow in any second: 1.5 times the rate, plus five.
const MAX_ATTEMPTS_PER_SECOND: usize = (PER_SECOND * 3 / 2 + 5) as usize;
/// The check is skipped in larger clusters, as each timer visits all threads.
const MAX_QUERIERS: usize = 20;

/// Attempts that engines sent to the leafs in slow start.
#[derive(Default)]
pub(super) struct SlowStartLeafs {
    /// The state that each engine keeps of each leaf.
    known: BTreeMap<(QueryEngineId, usize), LeafState>,
    /// Send times of the attempts to each leaf, within the last second.
    sent: [VecDeque<Tick>; LEAF_NAMES.len()],
}

impl World {
    /// Sends as many attempts to the leafs in slow start as the engines of a querier may send now.
    pub(super) fn send_to_slow_start_leafs(&mut self, querier: usize, incarnation: u64) {
        if self.queriers.len() > MAX_QUERIERS {
            return;
        }
        for thread in 0..self.queriers[querier].query_engines.len() {
            self.send_from_engine(QueryEngineId { querier, incarnation, thread });
        }
    }

    fn send_from_engine(&mut self, engine: QueryEngineId) {
        let node = &self.queriers[engine.querier];
        let local = self.now - node.began + BOOT;
        let state = &node.query_engines[engine.thread];
        if local > state.lease_valid_until {
            return;
        }
        // The faulty variant uses all members that it knows of, settled or not.
        let share = match self.faulty_variant {
            Some(FaultyVariant::WarmsUpByUnsettledMembers) => QuotaShare {
                threads: state.peers.iter().map(|peer| peer.thread_id).collect(),
                own_thread: state.thread_id,
            },
            _ => state.quota_share.clone(),
        };
        let mut sent = Vec::new();
        for (index, name) in LEAF_NAMES.iter().enumerate() {
            let known = self.slow_start_leafs.known.entry((engine, index));
            let leaf = known.or_insert_with(|| LeafState::new(name, BOOT));
            while leaf.slow_start_admits(&share, RATE, local) {
                leaf.spend_slow_start_credit(RATE, local);
                sent.push(index);
            }
        }
        for index in sent {
            self.record_slow_start_attempt(index);
        }
    }

    fn record_slow_start_attempt(&mut self, index: usize) {
        let now = self.now;
        let sent = &mut self.slow_start_leafs.sent[index];
        sent.push_back(now);
        while sent.front().is_some_and(|first| first + SECOND <= now) {
            sent.pop_front();
        }
        let count = sent.len();
        if count > MAX_ATTEMPTS_PER_SECOND {
            self.rules.record_slow_start_excess(
                now - BEGIN,
                LEAF_NAMES[index],
                count,
                MAX_ATTEMPTS_PER_SECOND,
            );
        }
    }
}
