//! The proofs that a member holds about the others (see [`super::attestation`]).

use crate::membership::lease::LEASE_VALIDITY;
use crate::protocol::membership::{Attestation, Member, Membership, MembershipId, NO_PROOF};
use crate::quorum;
use crate::time::{MILLI, Span, Tick, ms, since};

/// A member whose lease has run out serves on by proofs about the others no older than
/// this. Like a lease, it is shorter than the 3 s in which a change must be in force
/// everywhere, also by a clock that is a tenth slow.
const ATTESTATION_WINDOW: Span = LEASE_VALIDITY;

/// The proofs that a member holds about the others of its membership.
#[derive(Default)]
pub struct Proofs {
    /// The membership that they are about.
    pub(super) membership: MembershipId,
    /// When the question that the newest proof answers was asked, for each member
    /// in the membership's order; zero for none.
    pub(super) asked: Vec<Tick>,
    /// Our own place in that order, if this very process is a member.
    pub(super) own: Option<usize>,
    /// When we last attested; zero before the first time.
    pub(super) attested_at: Tick,
    /// Until when proofs allow to serve without a lease; zero if they never did.
    /// What was proved holds on when the membership changes.
    pub(super) until: Tick,
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
    pub(super) fn attest(&mut self, now: Tick, known_revision: u64) -> Attestation {
        self.attested_at = now;
        let age = |asked: Tick| match since(asked, now) {
            age if asked > 0 && age <= ATTESTATION_WINDOW => (age / MILLI) as u16 + 1,
            _ => NO_PROOF,
        };
        let mut ages: Vec<u16> = self.asked.iter().map(|at| age(*at)).collect();
        if let Some(own) = self.own {
            ages[own] = 0;
        }
        Attestation { membership: self.membership, known_revision, ages }
    }

    /// Takes in an attestation that answers our question of `asked`, by a member
    /// that goes by the same membership.
    pub(super) fn accept(&mut self, asked: Tick, attestation: &Attestation) {
        for (known, age) in self.asked.iter_mut().zip(&attestation.ages) {
            if *age != NO_PROOF {
                *known = (*known).max(asked.saturating_sub(ms(u64::from(*age))));
            }
        }
    }

    /// Until when the proofs at hand allow to serve; zero if they don't.
    pub(super) fn proved_until(&self) -> Tick {
        let Some(own) = self.own else { return 0 };
        let Some(needed) = quorum::serving(self.asked.len()) else { return 0 };
        let others = self.asked.iter().enumerate().filter(|(index, _)| *index != own);
        let mut asked: Vec<Tick> = others.map(|(_, at)| *at).collect();
        // We ourselves are one of those needed.
        let (_, oldest, _) = asked.select_nth_unstable_by(needed - 2, |a, b| b.cmp(a));
        if *oldest == 0 { 0 } else { *oldest + ATTESTATION_WINDOW }
    }
}
