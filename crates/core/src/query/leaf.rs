//! What a traffic thread knows of a leaf at first hand.

use crate::consts;
use crate::digest::{hash, pair};
use crate::http_api::leaf::SelfReport;
use crate::time::{MILLI, Span, Tick, ms, since};

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
    /// When `strength` last changed.
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
        let floor = consts::RAMP_FLOOR_PCT;
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
            let restarted = born > self.started_at + consts::AGE_SLIP;
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
            self.typical_latency - self.typical_latency / consts::TYPICAL_WEIGHT
                + took / consts::TYPICAL_WEIGHT
        };
    }

    /// The leaf turned work away unrun.
    pub fn record_rejection(&mut self, now: Tick) {
        self.lower_health_weight(consts::STRENGTH_TURNED_PCT, now);
    }

    /// A good reply took this long: a busy leaf that takes much longer than it
    /// does at ease has too much in hand; any other reply gives a little back.
    pub fn adjust_health_weight(&mut self, took: Span, now: Tick) {
        self.unloaded_latency = match self.unloaded_latency {
            0 => took,
            old if took < old => old - (old - took) / consts::TYPICAL_WEIGHT,
            old => old + (took - old) / consts::USUAL_DRIFT,
        };
        let slow = took > self.unloaded_latency * consts::SLOW_PCT / 100 + consts::SLOW_MORE;
        if slow && self.busy_permille >= consts::BUSY_FROM {
            self.lower_health_weight(consts::STRENGTH_SLOW_PCT, now);
        } else if self.health_weight < 1_000
            && since(self.health_weight_changed_at, now) >= consts::STRENGTH_GAP
        {
            self.health_weight = (self.health_weight + consts::STRENGTH_RISE).min(1_000);
            self.health_weight_changed_at = now;
        }
    }

    fn lower_health_weight(&mut self, pct: u32, now: Tick) {
        if since(self.health_weight_changed_at, now) >= consts::STRENGTH_GAP {
            self.health_weight = (self.health_weight * pct / 100).max(consts::STRENGTH_MIN);
            self.health_weight_changed_at = now;
        }
    }

    /// What we use of our part of a leaf's allowance now. Parts are small whole
    /// numbers, so what remains of a place is open for its share of the time;
    /// `mine` makes the threads take turns.
    pub fn usable_allocation(&self, part: u64, mine: u64, now: Tick) -> u64 {
        let exact = part * u64::from(self.health_weight);
        let turn = pair(self.hash ^ mine, now / consts::STRENGTH_TURN) % 1_000;
        exact / 1_000 + u64::from(turn < exact % 1_000)
    }

    /// Notes a trouble; enough in a row rest the leaf, longer each time.
    pub fn record_failure(&mut self, now: Tick) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= consts::REST_AFTER {
            let twice = (self.consecutive_failures - consts::REST_AFTER).min(6);
            self.ejected_until = now + (consts::REST_MIN << twice).min(consts::REST_MAX);
        }
    }

    /// How loaded the leaf looks, for comparing: what it says plus what we hold.
    pub fn load(&self, part: u64) -> u64 {
        u64::from(self.busy_permille)
            + self.in_flight * 1000 / part.max(1)
            + self.typical_latency / ms(1)
    }
}
