//! Slow start: a strict cluster-wide limit on the rate of attempts to a leaf that is warming up.
//!
//! Each such leaf is assigned to one thread of the cluster, by rendezvous hashing among the
//! threads that share the quotas. That thread sends it attempts up to the leaf's rate limit;
//! all other threads send it none until it is warm.
//!
//! Invariant: no two threads send to the same leaf during its slow start. Quotas are divided
//! among the members of the current membership and, until all members have applied it, those
//! of the previous one; a thread without a valid lease sends nothing. So a newly assigned
//! thread starts only when the previous one has applied the new membership or is fenced.

use crate::digest::hash_pair;
use crate::query::leaf::LeafState;
use crate::query::quota::QuotaShare;
use crate::time::{SECOND, Span, Tick, since};

/// Credit that one attempt costs: credit is counted in thousandths of an attempt.
const CREDIT_PER_ATTEMPT: u64 = 1_000;
/// Maximum credit, and so the largest burst to a leaf in slow start. Two such bursts, from the
/// previous and the newly assigned thread, stay below half a second's worth of attempts and
/// the slack that the rate limit allows above it.
const MAX_CREDIT: u64 = 2 * CREDIT_PER_ATTEMPT;
/// How long the leafs of a zone count as warming up after the zone's drain was revoked: they may
/// have become cold without traffic, which the platform's list shows with a delay.
const WARMTH_UNKNOWN_AFTER_DRAIN: Span = 3 * SECOND;

impl QuotaShare {
    /// Returns whether this thread is the single thread to which a resource is assigned, by
    /// rendezvous hashing. A thread without a share is assigned no resource.
    pub fn is_assigned(&self, resource: u64) -> bool {
        let rank = |thread: &u64| (hash_pair(resource, *thread), *thread);
        self.threads.iter().max_by_key(|thread| rank(thread)) == Some(&self.own_thread)
    }
}

impl LeafState {
    /// Returns whether this thread may send an attempt to this leaf now, during a slow start
    /// limited to `rate` thousandths of an attempt per second.
    pub fn slow_start_admits(&self, share: &QuotaShare, rate: u64, now: Tick) -> bool {
        self.slow_start_allowance(rate, now) >= CREDIT_PER_ATTEMPT && share.is_assigned(self.hash)
    }

    /// Returns the credit available for a leaf in slow start (thousandths of an attempt).
    pub fn slow_start_allowance(&self, rate: u64, now: Tick) -> u64 {
        let earned = since(self.slow_start_credit_at, now) * rate / SECOND;
        (self.slow_start_credit + earned).min(rate.clamp(CREDIT_PER_ATTEMPT, MAX_CREDIT))
    }

    /// Spends the credit for an attempt to a leaf in slow start.
    pub fn spend_slow_start_credit(&mut self, rate: u64, now: Tick) {
        self.slow_start_credit =
            self.slow_start_allowance(rate, now).saturating_sub(CREDIT_PER_ATTEMPT);
        self.slow_start_credit_at = now;
    }

    /// Records that the drain of the leaf's zone was revoked.
    pub fn note_zone_undrained(&mut self, now: Tick) {
        self.warmth_known_from = now + WARMTH_UNKNOWN_AFTER_DRAIN;
    }

    /// Returns whether the leaf counts as warming up, given its state in the platform's list.
    pub fn counts_as_cold(&self, listed_cold: bool, now: Tick) -> bool {
        listed_cold || now < self.warmth_known_from
    }
}
