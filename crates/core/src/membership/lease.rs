//! The lease of a querier: renewals that were sent, and grants that were received.
//!
//! A grant extends the lease from the moment its renewal was *sent*, and only once the
//! configuration revision that it names is applied. Both rules keep this querier from relying on
//! the lease for longer than the leader keeps it.

use std::collections::BTreeMap;

use crate::identifiers::VoterSlot;
use crate::time::{Span, Tick, ms};

/// How often a member renews its lease.
pub(super) const RENEWAL_INTERVAL: Span = ms(500);

/// Renewal interval of a member without a lease, and subscription interval of a member that
/// still lacks updates which it needs in order to serve.
pub const STARTUP_RETRY_INTERVAL: Span = ms(100);

/// Time after which a member no longer relies on its lease, counted from when the last granted
/// renewal was sent. Shorter than `consts::LEASE_DURATION`, so that the member stops before the
/// leader gives its quota share to others.
pub(super) const LEASE_VALIDITY: Span = ms(2_600);

/// Time since the last granted renewal after which a member asks its neighbours to forward its
/// renewals: two in a row were lost.
pub(super) const RENEWAL_OVERDUE: Span = ms(1_100);

/// Maximum number of unanswered renewals and of unapplied grants that are kept: several more
/// than are in flight at a time with one renewal every `STARTUP_RETRY_INTERVAL`.
const MAX_PENDING_RENEWALS: usize = 16;

/// The lease of this querier.
#[derive(Default)]
pub struct Lease {
    /// Number of the last renewal that was sent.
    pub last_number: u64,
    /// When each renewal that is not granted yet was sent, by number.
    pub unanswered: BTreeMap<u64, Tick>,
    /// Grants whose configuration revision is not applied yet.
    pub pending_grants: Vec<PendingGrant>,
    /// When the newest renewal with an effective grant was sent; zero before the first.
    pub renewed_at: Tick,
    /// Whether a grant was ever effective.
    pub granted: bool,
    /// The voter slot through which the last grant came.
    pub slot: Option<VoterSlot>,
    /// When the lease is next renewed.
    pub renew_at: Tick,
}

/// A grant whose configuration revision is not applied yet.
pub struct PendingGrant {
    /// The configuration revision that must be applied before the grant is effective.
    pub revision: u64,
    /// When the renewal was sent.
    pub sent_at: Tick,
}

impl Lease {
    /// Returns until when the lease is valid; zero if it was never granted.
    pub fn valid_until(&self) -> Tick {
        if self.granted { self.renewed_at + LEASE_VALIDITY } else { 0 }
    }

    /// Records a renewal that is sent now and returns its number.
    pub(super) fn next_renewal(&mut self, now: Tick) -> u64 {
        let period = if self.granted { RENEWAL_INTERVAL } else { STARTUP_RETRY_INTERVAL };
        self.renew_at = now + period;
        self.last_number += 1;
        self.unanswered.insert(self.last_number, now);
        while self.unanswered.len() > MAX_PENDING_RENEWALS {
            self.unanswered.pop_first();
        }
        self.last_number
    }

    /// Records the grant of a renewal. Returns whether that renewal was still unanswered.
    pub(super) fn on_granted(
        &mut self,
        slot: Option<VoterSlot>,
        number: u64,
        revision: u64,
    ) -> bool {
        let Some(sent_at) = self.unanswered.get(&number).copied() else { return false };
        self.unanswered = self.unanswered.split_off(&(number + 1));
        self.slot = slot;
        self.pending_grants.push(PendingGrant { revision, sent_at });
        true
    }

    /// Makes the grants effective that name no newer configuration than `applied`.
    pub(super) fn apply_grants(&mut self, applied: u64) {
        for grant in &self.pending_grants {
            if grant.revision <= applied {
                self.renewed_at = self.renewed_at.max(grant.sent_at);
                self.granted = true;
            }
        }
        let renewed_at = self.renewed_at;
        self.pending_grants.retain(|g| g.revision > applied && g.sent_at > renewed_at);
        if self.pending_grants.len() > MAX_PENDING_RENEWALS {
            self.pending_grants.remove(0);
        }
    }
}
