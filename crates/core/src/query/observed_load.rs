//! Steering by what is seen: which leaf is likely to answer first.
//!
//! Nothing is divided over the nodes here. What a thread knows of a leaf are
//! its own dispatches there, how long they took, what the leaf says of its
//! load with each answer, and work that it turned away.

use crate::consts;
use crate::query::leaf::LeafState;
use crate::snapshot::leafs::LeafInfo;
use crate::time::{Span, Tick};

/// What a leaf says of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

impl LeafState {
    /// Notes what a leaf says of its load; what of it is not ours is others'.
    pub fn record_reported_load(&mut self, load: ReportedLoad) {
        self.reported_slots = u64::from(load.slots);
        let all = u64::from(load.running) + u64::from(load.waiting);
        // Its answer is counted out already on its side, and not yet on ours.
        let others = all.saturating_sub(self.in_flight.saturating_sub(1)) * 1_000;
        let n = consts::REPORTED_LOAD_EWMA_DIVISOR;
        self.external_load = self.external_load - self.external_load / n + others / n;
    }

    /// The slots of a leaf, by its own word, the list's or our guess.
    pub fn slots(&self, info: &LeafInfo) -> u64 {
        match (self.reported_slots, info.slots) {
            (0, 0) => consts::DEFAULT_LEAF_SLOTS,
            (0, listed) => u64::from(listed),
            (said, _) => said,
        }
    }

    /// Dispatches that we may have in hand at a leaf: a little more than it works
    /// on at once, less where it turns work away or its connections are few.
    pub fn concurrency_limit(&self, info: &LeafInfo, now: Tick) -> u64 {
        let full = self.slots(info) * consts::IN_FLIGHT_PER_SLOT_PCT / 100;
        let most = self.usable_allocation(full, 0, now).max(1);
        // A leaf that we have no connection to is asked in need, with one.
        self.connection_limit.map_or(most, |connections| most.min(connections.max(1)))
    }

    /// When the leaf would likely answer one dispatch more.
    pub fn expected_latency(&self, info: &LeafInfo, near: bool) -> Span {
        let time = if self.typical_latency == 0 {
            consts::UNTRIED_LEAF_LATENCY
        } else {
            self.typical_latency
        };
        let slots = self.slots(info).max(1);
        // Load in thousandths of a slot, this dispatch included.
        let load = (self.in_flight + 1) * 1_000 + self.external_load;
        let ease = slots * 10 * consts::QUEUEING_THRESHOLD_PCT;
        let mut likely = time + time * load.saturating_sub(ease) / (slots * 1_000);
        if info.cold {
            likely += time * consts::COLD_LEAF_PENALTY_PCT / 100;
        }
        if !near {
            likely +=
                (time * consts::CROSS_ZONE_PENALTY_PCT / 100).max(consts::CROSS_ZONE_PENALTY_MIN);
        }
        likely
    }
}
