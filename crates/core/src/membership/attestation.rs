//! Serving on without a lease: what members prove to each other while none of
//! them hears the controllers.
//!
//! A member that does not hear the controllers attests, when it is asked, which
//! membership it goes by and the newest configuration it knows of. An attestation
//! proves that nothing newer was accepted with its help before the question was
//! asked. Members pass on how old their proofs are, so that each comes to hear of
//! all in a few rounds, and counts them exactly (`crate::quorum`).

use crate::identifiers::Term;
use crate::membership::lease::RENEWAL_INTERVAL;
use crate::membership::node_agent::NodeAgent;
use crate::protocol::membership::Attestation;
use crate::time::{MILLI, Span, Tick, since};

/// Age of the controllers' last word from which members attest, and speak at
/// `GOSSIP_INTERVAL`: one renewal is lost. Two more are sent before the lease would end
/// at `LEASE_TRUST`.
const ATTEST_AFTER: Span = 2 * RENEWAL_INTERVAL;

impl NodeAgent {
    /// A configuration of this revision is known to exist.
    pub(super) fn learn_revision(&mut self, revision: u64) {
        self.known_revision = self.known_revision.max(revision);
    }

    /// Whether the controllers were not heard for long enough to ask for proofs and
    /// to give them.
    pub(super) fn is_restless(&self, now: Tick) -> bool {
        self.core_age(now) >= ATTEST_AFTER
    }

    /// What we attest now, if anything. Whoever hears the controllers attests
    /// nothing: its membership lives on without those who don't.
    pub(super) fn attest(&mut self, now: Tick) -> Option<Attestation> {
        if !self.is_restless(now) || self.membership.term == Term::ZERO {
            return None;
        }
        Some(self.proofs.attest(now, self.known_revision))
    }

    /// Takes in an attestation that answers our question of `asked`. It counts only if
    /// we lack nothing that the other holds (`is_behind`): who serves on by proofs must
    /// not use leafs that the others know to be gone. Tells whether the other goes by a
    /// newer membership.
    pub(super) fn on_attestation(
        &mut self,
        asked: Tick,
        attestation: &Attestation,
        is_behind: bool,
    ) -> bool {
        self.learn_revision(attestation.known_revision);
        let ours = self.proofs.membership;
        let counts = !is_behind
            && attestation.membership == ours
            && attestation.known_revision <= self.configuration_revision
            && attestation.ages.len() == self.proofs.asked.len();
        if counts {
            self.proofs.accept(asked, attestation);
        }
        attestation.membership > ours
    }

    /// Until when proofs allow to serve without a lease; zero if they never did.
    pub(super) fn proved_until(&mut self) -> Tick {
        // Only who had a lease since its start has something to serve on with.
        if self.lease.granted && self.known_revision <= self.configuration_revision {
            self.proofs.until = self.proofs.until.max(self.proofs.proved_until());
        }
        self.proofs.until
    }

    /// Until when the proofs at hand allow to serve; zero if they don't.
    pub fn proofs_valid_until(&self) -> Tick {
        self.proofs.proved_until()
    }

    /// How long ago we last attested, or started (ms).
    pub(super) fn attestation_age_ms(&self, now: Tick) -> u64 {
        since(self.proofs.attested_at.max(self.started_at), now) / MILLI
    }
}
