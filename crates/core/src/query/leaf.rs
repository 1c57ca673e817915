//! The state of a leaf as observed by one traffic thread.

use crate::consts;
use crate::digest::{hash, hash_pair};
use crate::http_api::leaf::SelfReport;
use crate::time::{MILLI, SECOND, Span, Tick, ms, since};

/// A rejected attempt lowers the leaf's health weight to this share (percent).
const WEIGHT_AFTER_REJECTION_PCT: u32 = 70;
/// A slow reply of a busy leaf lowers its health weight to this share (percent).
const WEIGHT_AFTER_SLOW_PCT: u32 = 85;
/// A good reply raises the weight by this step (thousandths) soon after the weight was lowered,
/// so that the load of a leaf at its limit rises slowly.
const WEIGHT_STEP: u32 = 10;
/// Minimum health weight (thousandths): some traffic must remain to detect a recovery.
const WEIGHT_MIN: u32 = 50;
/// Minimum time between two changes of a health weight: attempts that were in flight together
/// count as one observation.
const WEIGHT_INTERVAL: Span = ms(100);
/// Once a weight has not been lowered for this long, the leaf is no longer at its limit and
/// each good reply doubles the weight.
const WEIGHT_RECOVERY: Span = SECOND;
/// A leaf whose weight reduces this thread's allocation to zero is probed with one attempt this
/// long after the weight last changed, unless the allocation itself is zero.
const WEIGHT_PROBE: Span = SECOND;
/// A cancelled attempt counts as a failure if it had no reply after this many times the leaf's
/// typical latency: a leaf at its limit takes two or three times as long.
const UNRESPONSIVE_LATENCY_FACTOR: u64 = 4;
/// Length of an interval in which a fractional slot is either usable or not: the time of a few
/// attempts, so that intervals overlap little.
const FRACTIONAL_SLOT_INTERVAL: Span = ms(200);

/// The state of one leaf as observed by one traffic thread.
///
/// Invariant: `in_flight` is the number of this thread's attempts that the leaf has not ended.
pub struct LeafState {
    pub hash: u64,
    pub in_flight: u64,
    /// Utilization last reported by the leaf (thousandths).
    pub busy_permille: u32,
    /// Earliest time at which the leaf can have started, by the local clock.
    pub started_at: Tick,
    /// Whether the leaf has reported its age; before that it counts as new.
    pub age_reported: bool,
    /// The leaf has reported that it shuts down. Never reset for this identity.
    pub draining: bool,
    /// Moving average of the latency of attempts.
    pub typical_latency: Span,
    pub consecutive_failures: u32,
    pub ejected_until: Tick,
    /// The fraction of this thread's allocation that is used (thousandths). Observations of the
    /// leaf can only lower the use, never raise it above the allocation.
    pub health_weight: u32,
    /// Number of attempts the leaf runs at once, as last reported; zero before the first report.
    pub reported_slots: u64,
    /// Moving average of the load from other threads (thousandths of an attempt).
    pub external_load: u64,
    /// Connections that this thread may have to the leaf; `None` if unlimited.
    pub connection_limit: Option<u64>,
    /// What this thread may still send the leaf during slow start (thousandths of an attempt),
    /// as of `slow_start_credit_at`.
    pub slow_start_credit: u64,
    pub slow_start_credit_at: Tick,
    /// Time from which the platform's list shows whether the leaf is still warming up; before
    /// that the leaf counts as warming up.
    pub warmth_known_from: Tick,
    /// When `health_weight` was last lowered.
    pub health_weight_lowered_at: Tick,
    /// When `health_weight` last changed.
    pub health_weight_changed_at: Tick,
    /// Latency of an attempt when the leaf is not loaded.
    pub unloaded_latency: Span,
    /// Rank of this thread among all threads for this leaf, under the current share. It depends
    /// on no other leaf, so the allocations of nodes with different leaf lists still add up to
    /// the leaf's capacity. Used until the leaf is warm.
    pub rank: Option<u64>,
    /// Rank of this thread when the service's leafs are allocated one after the other, which
    /// gives every thread nearly the same total allocation. Used for warm leafs.
    pub balanced_rank: Option<u64>,
}

impl LeafState {
    /// Returns the state of a newly discovered leaf.
    pub fn new(name: &str, now: Tick) -> LeafState {
        LeafState {
            hash: hash(name),
            in_flight: 0,
            busy_permille: 0,
            started_at: now,
            age_reported: false,
            draining: false,
            typical_latency: 0,
            consecutive_failures: 0,
            ejected_until: 0,
            health_weight: 1_000,
            reported_slots: 0,
            external_load: 0,
            connection_limit: None,
            slow_start_credit: 0,
            slow_start_credit_at: now,
            warmth_known_from: 0,
            health_weight_lowered_at: 0,
            health_weight_changed_at: 0,
            unloaded_latency: 0,
            rank: None,
            balanced_rank: None,
        }
    }

    /// Returns the number of concurrent attempts that the leaf may get from the whole cluster:
    /// `full`, or less during the slow start of length `slow_start`.
    pub fn capacity(&self, full: u32, slow_start: Span, now: Tick) -> u64 {
        let full = u64::from(full);
        let age = since(self.started_at, now);
        if age >= slow_start {
            return full;
        }
        let floor = consts::SLOW_START_MIN_PCT;
        (full * (floor * slow_start + (100 - floor) * age) / (100 * slow_start)).max(1)
    }

    /// Returns whether the leaf has finished its slow start.
    pub fn is_warm(&self, slow_start: Span, now: Tick) -> bool {
        since(self.started_at, now) >= slow_start
    }

    /// Applies the state that the leaf reports with a reply.
    pub fn apply_self_report(&mut self, report: &SelfReport, now: Tick) {
        if let Some(busy) = report.busy_permille {
            self.busy_permille = busy;
        }
        if let Some(age) = report.age_ms {
            let started_at = now.saturating_sub(age.saturating_mul(MILLI));
            let restarted = started_at > self.started_at + consts::LEAF_RESTART_AGE_DROP;
            if !self.age_reported || restarted || started_at < self.started_at {
                self.started_at = started_at;
            }
            self.age_reported = true;
        }
        self.draining |= report.draining;
    }

    /// Applies a minimum age of the leaf that another node has received.
    pub fn note_minimum_age(&mut self, age_ms: u64, now: Tick) {
        if !self.age_reported {
            self.started_at = self.started_at.min(now.saturating_sub(age_ms.saturating_mul(MILLI)));
        }
    }

    /// Records a successful reply that took this long.
    pub fn record_success(&mut self, took: Span) {
        self.consecutive_failures = 0;
        self.ejected_until = 0;
        self.typical_latency = if self.typical_latency == 0 {
            took
        } else {
            self.typical_latency - self.typical_latency / consts::LATENCY_EWMA_DIVISOR
                + took / consts::LATENCY_EWMA_DIVISOR
        };
    }

    /// Returns whether a leaf without a reply for this long is unresponsive rather than busy.
    pub fn is_unusually_slow(&self, took: Span) -> bool {
        self.typical_latency > 0 && took > self.typical_latency * UNRESPONSIVE_LATENCY_FACTOR
    }

    /// Records an attempt that was cancelled after this long: a lower bound of its latency.
    pub fn record_unfinished(&mut self, took: Span) {
        if took > self.typical_latency {
            let rise = (took - self.typical_latency) / consts::LATENCY_EWMA_DIVISOR;
            self.typical_latency += rise;
        }
    }

    /// Records that the leaf rejected an attempt without running it.
    pub fn record_rejection(&mut self, now: Tick) {
        self.lower_health_weight(WEIGHT_AFTER_REJECTION_PCT, now);
    }

    /// Adjusts the health weight after a successful reply that took this long. A busy leaf that
    /// is much slower than when unloaded is overloaded, which lowers the weight; any other reply
    /// raises it a little.
    pub fn adjust_health_weight(&mut self, took: Span, now: Tick) {
        self.unloaded_latency = match self.unloaded_latency {
            0 => took,
            old if took < old => old - (old - took) / consts::LATENCY_EWMA_DIVISOR,
            old => old + (took - old) / consts::UNLOADED_LATENCY_RISE_DIVISOR,
        };
        let slow =
            took > self.unloaded_latency * consts::SLOW_REPLY_PCT / 100 + consts::SLOW_REPLY_MARGIN;
        if slow && self.busy_permille >= consts::BUSY_THRESHOLD_PER_MILLE {
            self.lower_health_weight(WEIGHT_AFTER_SLOW_PCT, now);
        } else if self.health_weight < 1_000
            && since(self.health_weight_changed_at, now) >= WEIGHT_INTERVAL
        {
            let has_recovered = since(self.health_weight_lowered_at, now) >= WEIGHT_RECOVERY;
            let step = if has_recovered { self.health_weight } else { WEIGHT_STEP };
            self.health_weight = (self.health_weight + step).min(1_000);
            self.health_weight_changed_at = now;
        }
    }

    /// Lowers the health weight to `pct` percent, at most once per `WEIGHT_INTERVAL`.
    fn lower_health_weight(&mut self, pct: u32, now: Tick) {
        if since(self.health_weight_changed_at, now) >= WEIGHT_INTERVAL {
            self.health_weight = (self.health_weight * pct / 100).max(WEIGHT_MIN);
            self.health_weight_changed_at = now;
            self.health_weight_lowered_at = now;
        }
    }

    /// Returns the part of this thread's allocation that may be used now, by the health weight.
    /// Allocations are small integers, so a fractional slot is usable for that fraction of the
    /// time; `thread_id` gives each thread different intervals.
    pub fn usable_allocation(&self, allocation: u64, thread_id: u64, now: Tick) -> u64 {
        let exact = allocation * u64::from(self.health_weight);
        let threshold = hash_pair(self.hash ^ thread_id, now / FRACTIONAL_SLOT_INTERVAL) % 1_000;
        let usable = exact / 1_000 + u64::from(threshold < exact % 1_000);
        let is_probe_due = since(self.health_weight_changed_at, now) >= WEIGHT_PROBE;
        usable.max(u64::from(is_probe_due)).min(allocation)
    }

    /// Records a failure. Enough consecutive failures eject the leaf, each one for longer.
    pub fn record_failure(&mut self, now: Tick) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= consts::EJECTION_FAILURE_THRESHOLD {
            let doublings = (self.consecutive_failures - consts::EJECTION_FAILURE_THRESHOLD).min(6);
            self.ejected_until =
                now + (consts::EJECTION_MIN << doublings).min(consts::EJECTION_MAX);
        }
    }

    /// Returns a load score for comparing leafs: the reported utilization, this thread's
    /// attempts relative to its allocation, and the latency in milliseconds.
    pub fn load(&self, allocation: u64) -> u64 {
        u64::from(self.busy_permille)
            + self.in_flight * 1000 / allocation.max(1)
            + self.typical_latency / ms(1)
    }
}
