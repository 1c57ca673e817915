//! Load-aware balancing: estimates which leaf is likely to answer first.
//!
//! Leaf capacity is not partitioned among the nodes in this mode. A thread judges a leaf by its
//! own attempts in flight there, their latencies, the load that the leaf reports with each
//! reply, and the attempts that the leaf has rejected.

use crate::consts;
use crate::query::leaf::LeafState;
use crate::snapshot::leafs::LeafInfo;
use crate::time::{Span, Tick};

/// The load that a leaf reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

impl LeafState {
    /// Records the load that a leaf reports. The part that is not from this thread is counted
    /// as external.
    pub fn record_reported_load(&mut self, load: ReportedLoad) {
        self.reported_slots = u64::from(load.slots);
        let all = u64::from(load.running) + u64::from(load.waiting);
        // The leaf no longer counts the attempt that it answers; this thread still does.
        let external = all.saturating_sub(self.in_flight.saturating_sub(1)) * 1_000;
        let n = consts::REPORTED_LOAD_EWMA_DIVISOR;
        self.external_load = self.external_load - self.external_load / n + external / n;
    }

    /// Returns the slots of a leaf: as reported by the leaf, else as listed, else a default.
    pub fn slots(&self, info: &LeafInfo) -> u64 {
        match (self.reported_slots, info.slots) {
            (0, 0) => consts::DEFAULT_LEAF_SLOTS,
            (0, listed) => u64::from(listed),
            (reported, _) => reported,
        }
    }

    /// Returns the number of attempts that this thread may have in flight at a leaf: slightly
    /// more than the leaf's slots, fewer if the leaf rejects attempts or limits connections.
    pub fn concurrency_limit(&self, info: &LeafInfo, now: Tick) -> u64 {
        let full = self.slots(info) * consts::IN_FLIGHT_PER_SLOT_PCT / 100;
        let limit = self.usable_allocation(full, 0, now).max(1);
        // A leaf without connections assigned to this thread is used only if no other is
        // healthy, with one connection.
        self.connection_limit.map_or(limit, |connections| limit.min(connections.max(1)))
    }

    /// Returns the expected latency of another attempt at the leaf. `is_local` is false if the
    /// penalty for crossing zones applies.
    pub fn expected_latency(&self, info: &LeafInfo, is_local: bool) -> Span {
        let base = if self.typical_latency == 0 {
            consts::UNTRIED_LEAF_LATENCY
        } else {
            self.typical_latency
        };
        let slots = self.slots(info).max(1);
        // Load in thousandths of a slot, including this attempt.
        let load = (self.in_flight + 1) * 1_000 + self.external_load;
        let threshold = slots * 10 * consts::QUEUEING_THRESHOLD_PCT;
        let mut expected = base + base * load.saturating_sub(threshold) / (slots * 1_000);
        if info.cold {
            expected += base * consts::COLD_LEAF_PENALTY_PCT / 100;
        }
        if !is_local {
            expected +=
                (base * consts::CROSS_ZONE_PENALTY_PCT / 100).max(consts::CROSS_ZONE_PENALTY_MIN);
        }
        expected
    }
}
