//! Computes when a rejected caller may retry, from the reason of the rejection and the recent
//! load. The time is randomized so that callers rejected together do not retry together.

use crate::consts::{
    FORWARDING_RETRY_AFTER_MIN, LOAD_PRESSURE_HALF_LIFE, RETRY_AFTER_MAX_S, RETRY_AFTER_MIN_S,
};
use crate::query::request::RejectionReason;
use crate::random::Random;
use crate::time::{SECOND, Span, Tick, since};

/// The fraction of recent calls that were rejected because of overload.
///
/// Invariant: both sums have been halved for each `LOAD_PRESSURE_HALF_LIFE` up to `decayed_at`.
#[derive(Default)]
pub struct LoadPressure {
    decayed_at: Tick,
    arrived: u64,
    rejected: u64,
}

impl LoadPressure {
    /// Records the end of a call. `is_overload` is true if the call was rejected because of
    /// overload.
    pub fn record(&mut self, now: Tick, is_overload: bool) {
        self.decay(now);
        self.arrived += 1_000;
        self.rejected += if is_overload { 1_000 } else { 0 };
    }

    fn decay(&mut self, now: Tick) {
        let halves = since(self.decayed_at, now) / LOAD_PRESSURE_HALF_LIFE;
        if halves > 0 {
            self.arrived = self.arrived.checked_shr(halves as u32).unwrap_or(0);
            self.rejected = self.rejected.checked_shr(halves as u32).unwrap_or(0);
            self.decayed_at += halves * LOAD_PRESSURE_HALF_LIFE;
        }
    }

    /// Returns the time after which the caller of a forwarded call may retry. It is short, since
    /// most failures of one node or leaf end before the time budget of the call.
    pub fn retry_after(&mut self, now: Tick, ejection_left: Span, random: &mut Random) -> Span {
        self.decay(now);
        let base = (FORWARDING_RETRY_AFTER_MIN * self.arrived)
            .checked_div((self.arrived - self.rejected).max(1))
            .unwrap_or(0);
        let base =
            base.max(ejection_left).clamp(FORWARDING_RETRY_AFTER_MIN, RETRY_AFTER_MIN_S * SECOND);
        base + random.below(base / 2 + 1)
    }

    /// Returns the seconds after which the caller may retry. `ejection_left` is the time until a
    /// leaf that its query needs is no longer ejected.
    ///
    /// Under overload: if a fraction `r` of the calls is rejected, the capacity is `1 - r` of
    /// the load, and the whole load would need `1 / (1 - r)` times as long. The minimum time is
    /// multiplied by this factor.
    pub fn retry_after_seconds(
        &mut self,
        now: Tick,
        why: RejectionReason,
        ejection_left: Span,
        random: &mut Random,
    ) -> u64 {
        self.decay(now);
        let base = match why {
            RejectionReason::ConcurrencyLimit
            | RejectionReason::NoCapacity
            | RejectionReason::DeadlineExceeded => {
                let accepted =
                    (self.arrived - self.rejected).max(self.arrived / RETRY_AFTER_MAX_S).max(1);
                (RETRY_AFTER_MIN_S * self.arrived).div_ceil(accepted)
            }
            RejectionReason::NoLeaf | RejectionReason::BelowQuorum => {
                ejection_left.div_ceil(SECOND)
            }
            // Other nodes serve; the platform needs some time to stop routing calls here.
            _ => RETRY_AFTER_MIN_S,
        };
        let base = base.clamp(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
        (base + random.below(base + 1)).min(RETRY_AFTER_MAX_S)
    }
}
