//! The attestations that a member holds about the others (see [`super::attestation`]).

use crate::membership::lease::LEASE_VALIDITY;
use crate::protocol::membership::{Attestation, Member, Membership, MembershipId, NO_PROOF};
use crate::quorum;
use crate::time::{MILLI, Span, Tick, ms, since};

/// Maximum age of the attestations with which a member whose lease has lapsed goes on serving.
/// Like a lease, it is shorter than the 3 s in which a change must be in force everywhere,
/// even when measured by a clock that is a tenth slow.
const ATTESTATION_WINDOW: Span = LEASE_VALIDITY;

/// The attestations that a member holds about the others of its membership.
#[derive(Default)]
pub struct Proofs {
    /// The membership that they are about.
    pub(super) membership: MembershipId,
    /// When the request that led to the newest attestation was sent, for each member in the
    /// membership's order; zero for none.
    pub(super) proved_at: Vec<Tick>,
    /// This member's index in that order, if this incarnation is a member.
    pub(super) own_index: Option<usize>,
    /// When this member last attested; zero before the first time.
    pub(super) attested_at: Tick,
    /// Until when attestations allow this member to serve without a lease; zero if they never
    /// did. This time stays when the membership changes.
    pub(super) until: Tick,
}

impl Proofs {
    /// Switches to a membership and drops the attestations about the former one if it is
    /// another. Returns whether it is.
    pub(super) fn adopt(&mut self, membership: &Membership, own: &Member) -> bool {
        let id = membership.id();
        if self.membership == id {
            return false;
        }
        self.membership = id;
        self.proved_at = vec![0; membership.members.len()];
        self.own_index = membership
            .members
            .iter()
            .position(|m| m.name == own.name && m.incarnation == own.incarnation);
        true
    }

    /// Returns an attestation of this member's membership and revision at this moment.
    pub(super) fn attest(&mut self, now: Tick, known_revision: u64) -> Attestation {
        self.attested_at = now;
        let age = |proved_at: Tick| match since(proved_at, now) {
            age if proved_at > 0 && age <= ATTESTATION_WINDOW => (age / MILLI) as u16 + 1,
            _ => NO_PROOF,
        };
        let mut ages: Vec<u16> = self.proved_at.iter().map(|at| age(*at)).collect();
        if let Some(own_index) = self.own_index {
            ages[own_index] = 0;
        }
        Attestation { membership: self.membership, known_revision, ages }
    }

    /// Merges an attestation by a member with the same membership, which answers the request
    /// sent at `request_sent_at`.
    pub(super) fn accept(&mut self, request_sent_at: Tick, attestation: &Attestation) {
        for (known, age) in self.proved_at.iter_mut().zip(&attestation.ages) {
            if *age != NO_PROOF {
                *known = (*known).max(request_sent_at.saturating_sub(ms(u64::from(*age))));
            }
        }
    }

    /// Returns until when the attestations held now allow this member to serve; zero if they do
    /// not.
    pub(super) fn proved_until(&self) -> Tick {
        let Some(own_index) = self.own_index else { return 0 };
        let Some(needed) = quorum::serving(self.proved_at.len()) else { return 0 };
        let others = self.proved_at.iter().enumerate().filter(|(index, _)| *index != own_index);
        let mut proved_at: Vec<Tick> = others.map(|(_, at)| *at).collect();
        // This member is one of those needed.
        let (_, oldest, _) = proved_at.select_nth_unstable_by(needed - 2, |a, b| b.cmp(a));
        if *oldest == 0 { 0 } else { *oldest + ATTESTATION_WINDOW }
    }
}
