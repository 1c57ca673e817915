//! When a bounced caller may come back: derived from what its query met, and
//! spread by chance so that callers bounced together do not return together.

use crate::consts::{
    FORWARDING_RETRY_AFTER_MIN, LOAD_PRESSURE_HALF_LIFE, RETRY_AFTER_MAX_S, RETRY_AFTER_MIN_S,
};
use crate::query::request::RejectionReason;
use crate::random::Random;
use crate::time::{SECOND, Span, Tick, since};

/// How much of the work that came lately was sent away.
///
/// Invariant: both sums have been halved for each `LOAD_PRESSURE_HALF_LIFE` before `at`.
#[derive(Default)]
pub struct LoadPressure {
    decayed_at: Tick,
    arrived: u64,
    rejected: u64,
}

impl LoadPressure {
    /// Notes the end of a call; `away` if it was sent away for want of room.
    pub fn record(&mut self, now: Tick, away: bool) {
        self.decay(now);
        self.arrived += 1_000;
        self.rejected += if away { 1_000 } else { 0 };
    }

    fn decay(&mut self, now: Tick) {
        let halves = since(self.decayed_at, now) / LOAD_PRESSURE_HALF_LIFE;
        if halves > 0 {
            self.arrived = self.arrived.checked_shr(halves as u32).unwrap_or(0);
            self.rejected = self.rejected.checked_shr(halves as u32).unwrap_or(0);
            self.decayed_at += halves * LOAD_PRESSURE_HALF_LIFE;
        }
    }

    /// Time after which a caller who handed a call over may come back: soon, since
    /// most troubles of one node or leaf are over before its budget ends.
    pub fn retry_after(&mut self, now: Tick, rest: Span, random: &mut Random) -> Span {
        self.decay(now);
        let base = (FORWARDING_RETRY_AFTER_MIN * self.arrived)
            .checked_div((self.arrived - self.rejected).max(1))
            .unwrap_or(0);
        let base = base.max(rest).clamp(FORWARDING_RETRY_AFTER_MIN, RETRY_AFTER_MIN_S * SECOND);
        base + random.below(base / 2 + 1)
    }

    /// Seconds after which the caller may ask again. `rest` is the time until a
    /// leaf that its query needed may be asked again.
    ///
    /// Under overload: if of all that comes a share `r` is sent away, then what we
    /// can bear is `1 - r` of it, and all of it would fit into `1 / (1 - r)` of the
    /// time. So that is what the callers are asked to take.
    pub fn retry_after_seconds(
        &mut self,
        now: Tick,
        why: RejectionReason,
        rest: Span,
        random: &mut Random,
    ) -> u64 {
        self.decay(now);
        let base = match why {
            RejectionReason::ConcurrencyLimit
            | RejectionReason::NoCapacity
            | RejectionReason::DeadlineExceeded => {
                let stays =
                    (self.arrived - self.rejected).max(self.arrived / RETRY_AFTER_MAX_S).max(1);
                (RETRY_AFTER_MIN_S * self.arrived).div_ceil(stays)
            }
            RejectionReason::NoLeaf | RejectionReason::BelowQuorum => rest.div_ceil(SECOND),
            // Another node serves; the platform needs a moment to send nobody here.
            _ => RETRY_AFTER_MIN_S,
        };
        let base = base.clamp(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
        (base + random.below(base + 1)).min(RETRY_AFTER_MAX_S)
    }
}
