//! Chooses the members that poll the platform's list of leafs in place of silent members.
//!
//! The membership alone determines which two members poll the list. A member that lost
//! power or is paused keeps this rank until its lease has ended, which is as long as a
//! leaving leaf may go unnoticed. The leader of the configuration partition receives the
//! renewals of all members, and chooses substitutes as soon as renewals are missing.

use crate::control_plane::members::Members;
use crate::membership::neighbour_ring::list_pollers;
use crate::protocol::membership::{Member, MembershipId};
use crate::time::{Span, Tick, ms, since};

/// A member that has not renewed its lease for this long is replaced: one renewal is
/// missing and the next one is late.
const RENEWAL_TIMEOUT: Span = ms(1_100);

/// How often the substitutes are chosen again.
const SUBSTITUTION_INTERVAL: Span = ms(100);

/// The members that poll the list in place of silent ones.
#[derive(Default)]
pub struct SubstituteListPollers {
    substitutes: Vec<Substitute>,
    /// The membership from which they were chosen.
    membership: MembershipId,
    chosen_at: Tick,
}

struct Substitute {
    name: String,
    rank: u32,
}

impl Members {
    /// Returns the rank with which a member polls the list in place of a silent one, if it
    /// does.
    pub(super) fn substitute_list_rank(&mut self, now: Tick, name: &str) -> Option<u32> {
        self.choose_substitutes(now);
        let mut substitutes = self.substitute_list_pollers.substitutes.iter();
        substitutes.find(|substitute| substitute.name == name).map(|found| found.rank)
    }

    fn choose_substitutes(&mut self, now: Tick) {
        let chosen = &self.substitute_list_pollers;
        let id = self.membership.id();
        if chosen.membership == id && since(chosen.chosen_at, now) < SUBSTITUTION_INTERVAL {
            return;
        }
        self.substitute_list_pollers = SubstituteListPollers {
            substitutes: self.substitutes(now),
            membership: id,
            chosen_at: now,
        };
    }

    /// Returns the members that would poll if the silent members did not exist, and that do
    /// not poll according to the membership.
    fn substitutes(&self, now: Tick) -> Vec<Substitute> {
        let assigned =
            list_pollers(&self.membership, |member| member.joined <= self.membership.settled);
        let responsive = list_pollers(&self.membership, |member| self.renews_in_time(now, member));
        let ranked = (0..).zip(responsive);
        ranked
            .filter(|(rank, member)| assigned.get(*rank as usize) != Some(member))
            .map(|(rank, member)| Substitute { name: member.name.clone(), rank })
            .collect()
    }

    /// Returns whether a member's renewals arrive in time.
    fn renews_in_time(&self, now: Tick, member: &Member) -> bool {
        let last_renewal = self.last_renewals.get(&member.name);
        !self.has_departed(member)
            && last_renewal
                .is_some_and(|last_renewal| since(last_renewal.at, now) < RENEWAL_TIMEOUT)
    }
}
