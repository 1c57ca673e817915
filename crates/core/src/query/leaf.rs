//! What a traffic thread knows of a leaf at first hand.

use crate::consts;
use crate::digest::{hash, pair};
use crate::http_api::leaf::SelfReport;
use crate::time::{MILLI, SECOND, Span, Tick, ms, since};

/// What a leaf's health weight is lowered to by an attempt that it rejected (percent).
const WEIGHT_AFTER_REJECTION_PCT: u32 = 70;
/// What a leaf's health weight is lowered to by a slow reply of a busy leaf (percent).
const WEIGHT_AFTER_SLOW_PCT: u32 = 85;
/// What each good reply gives back (thousandths) soon after the weight was lowered, so
/// that a leaf at its limit is brought up to it slowly.
const WEIGHT_STEP: u32 = 10;
/// The least health weight (thousandths): something must be sent to see it recover.
const WEIGHT_MIN: u32 = 50;
/// Time between two changes of a health weight: attempts that were out together tell of
/// one moment, not of many.
const WEIGHT_INTERVAL: Span = ms(100);
/// Once nothing has lowered a weight for so long the leaf is no longer at its limit, and
/// each good reply doubles the weight.
const WEIGHT_RECOVERY: Span = SECOND;
/// A leaf whose weight leaves it nothing is probed with one attempt this long after the
/// weight last changed, if our allocation there is not empty.
const WEIGHT_PROBE: Span = SECOND;
/// An attempt without a reply after this many times the leaf's typical time counts as a
/// failure when it is cancelled: a leaf at its limit takes two or three times as long.
const SILENT_AFTER_TIMES: u64 = 4;
/// Length of a turn in which a part of a slot is open or not: the time of a few
/// attempts, so that turns do not overlap much.
const WEIGHT_TURN: Span = ms(200);

/// One leaf seen from one traffic thread.
///
/// Invariant: `live` is the number of our dispatches that it has in hand.
pub struct LeafState {
    pub hash: u64,
    pub in_flight: u64,
    /// Thousandths busy, as it last said.
    pub busy_permille: u32,
    /// Earliest time at which the leaf can have started, by our clock.
    pub started_at: Tick,
    /// Whether the leaf itself told its age; before that it counts as new.
    pub age_reported: bool,
    /// It told us that it leaves. Never taken back for this identity.
    pub draining: bool,
    /// Typical time of a dispatch.
    pub typical_latency: Span,
    pub consecutive_failures: u32,
    pub ejected_until: Tick,
    /// Thousandths of our part of its allowance that we use. What the leaf
    /// itself shows may only lower our part, never raise it above the share.
    pub health_weight: u32,
    /// Dispatches it works on at once, as it last said; zero before that.
    pub reported_slots: u64,
    /// What others have there (thousandths of a dispatch), smoothed.
    pub foreign_load: u64,
    /// Wires that we may have to it; nothing where they are not limited.
    pub connection_limit: Option<u64>,
    /// What we may still send it while it is cold, in thousandths of a
    /// dispatch, and when that was last reckoned.
    pub slow_start_credit: u64,
    pub slow_start_credit_at: Tick,
    /// From when on the platform's list tells whether the leaf is cold; before that it
    /// counts as cold.
    pub warmth_known_from: Tick,
    /// When `health_weight` was last lowered.
    pub health_weight_lowered_at: Tick,
    /// When `health_weight` last changed.
    pub health_weight_changed_at: Tick,
    /// Time of a dispatch when the leaf is at ease.
    pub unloaded_latency: Span,
    /// Our rank among all threads for this leaf alone, under the current
    /// share: it depends on no other leaf, so views that differ in their lists
    /// of leafs still add up to the whole. Used while the leaf is fresh.
    pub rank: Option<u64>,
    /// Our rank when the service's leafs are dealt out in turn, which gives
    /// every thread nearly the same number of places. Used for warm leafs.
    pub balanced_rank: Option<u64>,
}

impl LeafState {
    /// A leaf that we hear of for the first time.
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
            foreign_load: 0,
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

    /// What the leaf may be given by the whole fleet at its age.
    pub fn capacity(&self, full: u32, ramp: Span, now: Tick) -> u64 {
        let full = u64::from(full);
        let age = since(self.started_at, now);
        if age >= ramp {
            return full;
        }
        let floor = consts::SLOW_START_MIN_PCT;
        (full * (floor * ramp + (100 - floor) * age) / (100 * ramp)).max(1)
    }

    /// Whether the leaf is past its ramp.
    pub fn is_warm(&self, ramp: Span, now: Tick) -> bool {
        since(self.started_at, now) >= ramp
    }

    /// Notes what the leaf says of itself.
    pub fn apply_self_report(&mut self, word: &SelfReport, now: Tick) {
        if let Some(busy) = word.busy_permille {
            self.busy_permille = busy;
        }
        if let Some(age) = word.age_ms {
            let born = now.saturating_sub(age.saturating_mul(MILLI));
            let restarted = born > self.started_at + consts::LEAF_RESTART_AGE_DROP;
            if !self.age_reported || restarted || born < self.started_at {
                self.started_at = born;
            }
            self.age_reported = true;
        }
        self.draining |= word.draining;
    }

    /// Somebody else heard the leaf say that it is at least this old.
    pub fn note_minimum_age(&mut self, age_ms: u64, now: Tick) {
        if !self.age_reported {
            self.started_at = self.started_at.min(now.saturating_sub(age_ms.saturating_mul(MILLI)));
        }
    }

    /// Notes a good reply.
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

    /// Whether an attempt that has taken this long without a reply tells of a leaf that
    /// is silent rather than busy.
    pub fn is_unusually_slow(&self, took: Span) -> bool {
        self.typical_latency > 0 && took > self.typical_latency * SILENT_AFTER_TIMES
    }

    /// An attempt was cancelled that had taken this long: the leaf takes that long at
    /// least.
    pub fn record_unfinished(&mut self, took: Span) {
        if took > self.typical_latency {
            let rise = (took - self.typical_latency) / consts::LATENCY_EWMA_DIVISOR;
            self.typical_latency += rise;
        }
    }

    /// The leaf turned work away unrun.
    pub fn record_rejection(&mut self, now: Tick) {
        self.lower_health_weight(WEIGHT_AFTER_REJECTION_PCT, now);
    }

    /// A good reply took this long: a busy leaf that takes much longer than it
    /// does at ease has too much in hand; any other reply gives a little back.
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

    fn lower_health_weight(&mut self, pct: u32, now: Tick) {
        if since(self.health_weight_changed_at, now) >= WEIGHT_INTERVAL {
            self.health_weight = (self.health_weight * pct / 100).max(WEIGHT_MIN);
            self.health_weight_changed_at = now;
            self.health_weight_lowered_at = now;
        }
    }

    /// What we use of our allocation of a leaf now. Allocations are small whole numbers,
    /// so what remains of a slot is open for its share of the time; `thread_id` makes the
    /// threads take turns.
    pub fn usable_allocation(&self, allocation: u64, thread_id: u64, now: Tick) -> u64 {
        let exact = allocation * u64::from(self.health_weight);
        let turn = pair(self.hash ^ thread_id, now / WEIGHT_TURN) % 1_000;
        let usable = exact / 1_000 + u64::from(turn < exact % 1_000);
        let is_probe_due = since(self.health_weight_changed_at, now) >= WEIGHT_PROBE;
        usable.max(u64::from(is_probe_due)).min(allocation)
    }

    /// Notes a trouble; enough in a row rest the leaf, longer each time.
    pub fn record_failure(&mut self, now: Tick) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= consts::EJECTION_FAILURE_THRESHOLD {
            let twice = (self.consecutive_failures - consts::EJECTION_FAILURE_THRESHOLD).min(6);
            self.ejected_until = now + (consts::EJECTION_MIN << twice).min(consts::EJECTION_MAX);
        }
    }

    /// How loaded the leaf looks, for comparing: what it says plus what we hold.
    pub fn load(&self, part: u64) -> u64 {
        u64::from(self.busy_permille)
            + self.in_flight * 1000 / part.max(1)
            + self.typical_latency / ms(1)
    }
}
