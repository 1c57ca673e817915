//! Cold leafs bear so many attempts a second from all nodes together: a hard sum.
//!
//! Each cold leaf has one thread in the fleet that warms it up, the highest by rendezvous
//! among those that share the quotas, and that thread sends it no more than the leaf
//! bears. All others send it nothing while it is cold.
//!
//! Invariant: at no moment two threads warm up the same leaf. Quotas are divided over the
//! settled members, and over those of the former membership too until all have seen the
//! new one; a thread without a valid lease sends nothing. So the thread that a new
//! membership names begins only when the former one knows of it or is fenced.

use crate::digest::pair;
use crate::query::leaf::LeafState;
use crate::query::quota::QuotaShare;
use crate::time::{SECOND, Span, Tick, since};

/// An attempt, in thousandths of which the credit for a cold leaf is reckoned.
const ATTEMPT: u64 = 1_000;
/// Attempts that may be sent to a cold leaf at once, in thousandths: below the half of a
/// second's worth and the slack that the rule leaves above it, also when another thread
/// sent as many just before.
const BURST: u64 = 2 * ATTEMPT;
/// How long the leafs of a zone that is taken back count as cold: they may have turned
/// cold while nothing was sent there, and the platform's list shows that late.
const WARMTH_UNKNOWN: Span = 3 * SECOND;

impl QuotaShare {
    /// Whether our thread is the one that holds a thing which only one thread may hold.
    /// A thread without a share holds nothing.
    pub fn is_holder_of(&self, thing: u64) -> bool {
        let rank = |thread: &u64| (pair(thing, *thread), *thread);
        self.threads.iter().max_by_key(|thread| rank(thread)) == Some(&self.own_thread)
    }
}

impl LeafState {
    /// Whether we may send an attempt to this leaf now if it is cold and bears `rate`
    /// thousandths of an attempt a second.
    pub fn slow_start_admits(&self, share: &QuotaShare, rate: u64, now: Tick) -> bool {
        self.slow_start_allowance(rate, now) >= ATTEMPT && share.is_holder_of(self.hash)
    }

    /// What we have saved up for a cold leaf by now, in thousandths of an attempt.
    pub fn slow_start_allowance(&self, rate: u64, now: Tick) -> u64 {
        let earned = since(self.slow_start_credit_at, now) * rate / SECOND;
        (self.slow_start_credit + earned).min(rate.clamp(ATTEMPT, BURST))
    }

    /// An attempt goes to a cold leaf.
    pub fn spend_slow_start_credit(&mut self, rate: u64, now: Tick) {
        self.slow_start_credit = self.slow_start_allowance(rate, now).saturating_sub(ATTEMPT);
        self.slow_start_credit_at = now;
    }

    /// The leaf's zone is taken back.
    pub fn note_zone_taken_back(&mut self, now: Tick) {
        self.warmth_known_from = now + WARMTH_UNKNOWN;
    }

    /// Whether the leaf counts as cold, given what the platform's list says of it.
    pub fn counts_as_cold(&self, listed_cold: bool, now: Tick) -> bool {
        listed_cold || now < self.warmth_known_from
    }
}
