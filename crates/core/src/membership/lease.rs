//! The lease of a querier: renewals that were sent, and grants that count.
//!
//! A grant counts from the moment that its renewal was *sent*, and only once the
//! configuration that it names is obeyed. Both keep the lease from being trusted for
//! longer here than the leader keeps it.

use std::collections::BTreeMap;

use crate::identifiers::VoterSlot;
use crate::time::{Span, Tick, ms};

/// How often a member renews its lease.
pub(super) const RENEWAL_INTERVAL: Span = ms(500);

/// The same for a member that has no lease yet, and for one that lacks updates that it
/// needs to serve at all.
pub const STARTUP_RETRY_INTERVAL: Span = ms(100);

/// After this long without renewal, counted from when the renewal was sent, a member
/// no longer trusts its lease. Shorter than `consts::LEASE_DURATION`, so that it knows before the
/// leader gives its share to others.
pub(super) const LEASE_VALIDITY: Span = ms(2_600);

/// After this long without renewal a member asks its neighbours to forward its
/// renewals: two lost in a row.
pub(super) const RENEWAL_OVERDUE: Span = ms(1_100);

/// Renewals and grants that are kept (count): several more than are on their way
/// at a time, at one renewal in `STARTUP_RETRY_INTERVAL`.
const MAX_PENDING_RENEWALS: usize = 16;

/// The lease of this querier.
#[derive(Default)]
pub struct Lease {
    /// Number of the last renewal that was sent.
    pub last_number: u64,
    /// When each renewal that is not yet granted was sent, by number.
    pub unanswered: BTreeMap<u64, Tick>,
    /// Grants whose configuration is not obeyed yet.
    pub pending_grants: Vec<PendingGrant>,
    /// When the newest renewal was sent of those whose grant counts; zero before
    /// the first.
    pub renewed_at: Tick,
    /// Whether a grant ever counted.
    pub granted: bool,
    /// The voter slot through which the last grant came.
    pub slot: Option<VoterSlot>,
    /// When the lease is next renewed.
    pub renew_at: Tick,
}

/// A grant whose configuration is not obeyed yet.
pub struct PendingGrant {
    /// The configuration revision that must be obeyed.
    pub revision: u64,
    /// When the renewal was sent.
    pub sent_at: Tick,
}

impl Lease {
    /// Until when the lease is trusted; zero if there was none.
    pub fn valid_until(&self) -> Tick {
        if self.granted { self.renewed_at + LEASE_VALIDITY } else { 0 }
    }

    /// Notes a renewal that is sent now and returns its number.
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

    /// Notes the grant of a renewal; tells whether it was still waited for.
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

    /// Takes up the grants that name no newer configuration than `obeyed`.
    pub(super) fn apply_grants(&mut self, obeyed: u64) {
        for grant in &self.pending_grants {
            if grant.revision <= obeyed {
                self.renewed_at = self.renewed_at.max(grant.sent_at);
                self.granted = true;
            }
        }
        let renewed_at = self.renewed_at;
        self.pending_grants.retain(|g| g.revision > obeyed && g.sent_at > renewed_at);
        if self.pending_grants.len() > MAX_PENDING_RENEWALS {
            self.pending_grants.remove(0);
        }
    }
}
