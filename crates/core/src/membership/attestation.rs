//! Serving on without a lease: what members prove to each other while none of
//! them hears the controllers.
//!
//! A member that does not hear the controllers attests, when it is asked, which
//! membership it goes by and the newest configuration it knows of. An attestation
//! proves that nothing newer was accepted with its help before the question was
//! asked. Members pass on how old their proofs are, so that each comes to hear of
//! all in a few rounds, and counts them exactly (`crate::quorum`).

use crate::identifiers::Term;
use crate::membership::lease::{LEASE_TRUST, RENEWAL_INTERVAL};
use crate::membership::node_agent::NodeAgent;
use crate::protocol::message::{Attestation, Member, Membership, MembershipId, NO_PROOF};
use crate::quorum;
use crate::time::{MILLI, Span, Tick, ms, since};

/// Age of the controllers' last word from which members attest, and speak at
/// `GOSSIP_INTERVAL`: one renewal is lost. Two more are sent before the lease would end
/// at `LEASE_TRUST`.
const ATTEST_AFTER: Span = 2 * RENEWAL_INTERVAL;

/// A member whose lease has run out serves on by proofs about the others no older than
/// this. Like a lease, it is shorter than the 3 s in which a change must be in force
/// everywhere, also by a clock that is a tenth slow.
const ATTESTATION_WINDOW: Span = LEASE_TRUST;

/// The proofs that a member holds about the others of its membership.
#[derive(Default)]
pub struct Proofs {
    /// The membership that they are about.
    membership: MembershipId,
    /// When the question that the newest proof answers was asked, for each member
    /// in the membership's order; zero for none.
    asked: Vec<Tick>,
    /// Our own place in that order, if this very process is a member.
    own: Option<usize>,
    /// When we last attested; zero before the first time.
    attested_at: Tick,
    /// Until when proofs allow to serve without a lease; zero if they never did.
    /// What was proved holds on when the membership changes.
    until: Tick,
}

impl Proofs {
    /// The membership changed: proofs about the former one count no more. Tells
    /// whether it is another one.
    pub(super) fn adopt(&mut self, membership: &Membership, own: &Member) -> bool {
        let id = membership.id();
        if self.membership == id {
            return false;
        }
        self.membership = id;
        self.asked = vec![0; membership.members.len()];
        self.own = membership
            .members
            .iter()
            .position(|m| m.name == own.name && m.incarnation == own.incarnation);
        true
    }

    /// Attests what we go by, now.
    fn attest(&mut self, now: Tick, known_revision: u64) -> Attestation {
        self.attested_at = now;
        let age = |asked: Tick| match since(asked, now) {
            age if asked > 0 && age <= ATTESTATION_WINDOW => (age / MILLI) as u16 + 1,
            _ => NO_PROOF,
        };
        let mut ages: Vec<u16> = self.asked.iter().map(|at| age(*at)).collect();
        if let Some(own) = self.own {
            ages[own] = 0;
        }
        Attestation { membership: self.membership, knows: known_revision, ages }
    }

    /// Takes in an attestation that answers our question of `asked`, by a member
    /// that goes by the same membership.
    fn accept(&mut self, asked: Tick, attestation: &Attestation) {
        for (known, age) in self.asked.iter_mut().zip(&attestation.ages) {
            if *age != NO_PROOF {
                *known = (*known).max(asked.saturating_sub(ms(u64::from(*age))));
            }
        }
    }

    /// Until when the proofs at hand allow to serve; zero if they don't.
    fn proved_until(&self) -> Tick {
        let Some(own) = self.own else { return 0 };
        let Some(needed) = quorum::serving(self.asked.len()) else { return 0 };
        let others = self.asked.iter().enumerate().filter(|(index, _)| *index != own);
        let mut asked: Vec<Tick> = others.map(|(_, at)| *at).collect();
        // We ourselves are one of those needed.
        let (_, oldest, _) = asked.select_nth_unstable_by(needed - 2, |a, b| b.cmp(a));
        if *oldest == 0 { 0 } else { *oldest + ATTESTATION_WINDOW }
    }
}

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

    /// Takes in an attestation that answers our question of `asked`. Tells whether
    /// the other goes by a newer membership.
    pub(super) fn on_attestation(&mut self, asked: Tick, attestation: &Attestation) -> bool {
        self.learn_revision(attestation.knows);
        let ours = self.proofs.membership;
        let counts = attestation.membership == ours
            && attestation.knows <= self.configuration_revision
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

    /// How long ago we last attested, or started (ms).
    pub(super) fn quiet_ms(&self, now: Tick) -> u64 {
        since(self.proofs.attested_at.max(self.started_at), now) / MILLI
    }
}
