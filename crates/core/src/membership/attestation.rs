//! Serving without a lease: what members prove to each other while none of them reaches the
//! controllers.
//!
//! A member that does not reach the controllers attests, on request, which membership it uses
//! and the newest configuration it knows of. An attestation proves that nothing newer was
//! accepted with this member's help before the request was sent. Members pass on the ages of the
//! attestations that they hold, so that each member receives all of them in a few rounds and
//! counts them exactly (`crate::quorum`).

use crate::identifiers::Term;
use crate::membership::lease::RENEWAL_INTERVAL;
use crate::membership::node_agent::NodeAgent;
use crate::protocol::membership::Attestation;
use crate::time::{MILLI, Span, Tick, since};

/// Time since the last granted renewal from which members attest, and exchange gossip at
/// `GOSSIP_INTERVAL`: one renewal is lost by then. Two more are sent before the lease ends at
/// `LEASE_VALIDITY`.
const ATTEST_AFTER: Span = 2 * RENEWAL_INTERVAL;

impl NodeAgent {
    /// Records that a configuration of this revision exists.
    pub(super) fn record_known_revision(&mut self, revision: u64) {
        self.known_revision = self.known_revision.max(revision);
    }

    /// Whether the controllers have been out of reach for long enough to request and give
    /// attestations.
    pub(super) fn must_attest(&self, now: Tick) -> bool {
        self.time_since_renewal(now) >= ATTEST_AFTER
    }

    /// Returns this member's attestation, if it gives one now. A member that reaches the
    /// controllers attests nothing, because its membership goes on without those that do not
    /// reach them.
    pub(super) fn attest(&mut self, now: Tick) -> Option<Attestation> {
        if !self.must_attest(now) || self.membership.term == Term::ZERO {
            return None;
        }
        Some(self.proofs.attest(now, self.known_revision))
    }

    /// Handles an attestation that answers the request sent at `request_sent_at`. It counts only
    /// if this member lacks nothing that the other holds (`is_behind`), because a member that
    /// serves without a lease must not use leafs that the others know to be gone. Returns
    /// whether the other member uses a newer membership.
    pub(super) fn on_attestation(
        &mut self,
        request_sent_at: Tick,
        attestation: &Attestation,
        is_behind: bool,
    ) -> bool {
        self.record_known_revision(attestation.known_revision);
        let ours = self.proofs.membership;
        let counts = !is_behind
            && attestation.membership == ours
            && attestation.known_revision <= self.configuration_revision
            && attestation.ages.len() == self.proofs.proved_at.len();
        if counts {
            self.proofs.accept(request_sent_at, attestation);
        }
        attestation.membership > ours
    }

    /// Returns until when attestations allow this member to serve without a lease; zero if they
    /// never did.
    pub(super) fn proved_until(&mut self) -> Tick {
        // A member that never had a lease has no view that it could go on serving.
        if self.lease.granted && self.known_revision <= self.configuration_revision {
            self.proofs.until = self.proofs.until.max(self.proofs.proved_until());
        }
        self.proofs.until
    }

    /// Returns until when the attestations held now allow this member to serve; zero if they do
    /// not.
    pub fn proof_expiry(&self) -> Tick {
        self.proofs.proved_until()
    }

    /// Returns the time since this member last attested, or since its start if it never did
    /// (ms).
    pub(super) fn ms_since_attestation(&self, now: Tick) -> u64 {
        since(self.proofs.attested_at.max(self.started_at), now) / MILLI
    }
}
