//! Decides which memberships the leader of the configuration partition issues, and when a
//! membership is settled.

use crate::control_plane::members::{LastRenewal, Members};
use crate::control_plane::membership_log::{FormerMembership, MAX_MEMBERSHIPS};
use crate::identifiers::Term;
use crate::protocol::membership::{Member, Membership};
use crate::time::{Span, Tick, ms, since};
use crate::{consts, quorum};

/// How long silent members keep their shares while no majority of the members is heard.
/// They most likely come back, so there is no need to remove them sooner.
const MINORITY_REMOVAL_DELAY: Span = 2 * consts::LEASE_DURATION;
/// How long a new leader of the configuration partition counts the members that it
/// inherited as live: one lease, since it has not received renewals from them yet.
const NEW_LEADER_GRACE: Span = consts::LEASE_DURATION;
/// How long a leader that knows of no membership gathers members before it issues one.
/// Members try to reach the leader ten times a second.
const GATHERING_TIME: Span = ms(300);

impl Members {
    /// Returns whether this node knows too few members to issue a membership. If it
    /// inherited no membership, issuing one at once would give the known members shares
    /// that others still hold. A membership is issued soon, but it is not settled before a
    /// lease has passed, and only a settled membership assigns shares.
    pub fn is_gathering(&mut self, now: Tick) -> bool {
        let Some((_, began)) = self.leadership else { return true };
        let age = since(began, now);
        self.gathering |= self.membership.term == Term::ZERO;
        self.gathering &= age < NEW_LEADER_GRACE;
        self.gathering && age < GATHERING_TIME
    }

    /// Issues a new membership if the members have changed and no earlier membership is
    /// still in use.
    pub fn issue(&mut self, now: Tick, term: Term, revision: u64) {
        let log = &self.log;
        // A membership newer than the current one was inherited from a leader that may have
        // sent it to some members. These leave it only for a newer one.
        let is_newer = |former: &FormerMembership| former.membership.id() > self.membership.id();
        let may_issue = log.proposed.is_none()
            && log.older.iter().all(|former| former.retired.is_some() || is_newer(former));
        if !may_issue || log.older.len() >= MAX_MEMBERSHIPS {
            return;
        }
        let turn = self.membership.turn + 1;
        let members = self.current_members(now, turn);
        if self.membership.term != term || self.membership.members != members {
            let settled = self.membership.settled;
            self.log.proposed = Some(Membership { term, turn, settled, revision, members });
        }
    }

    /// Returns the current members in the order of their names. New members join in this
    /// turn.
    fn current_members(&self, now: Tick, turn: u64) -> Vec<Member> {
        let live = self.last_renewals.iter().filter(|(name, _)| self.is_live(now, name));
        let mut current_members: Vec<Member> =
            live.map(|(_, last_renewal)| last_renewal.member.clone()).collect();
        let lacks_majority = !self.hears_majority(now);
        let silent = self.membership.members.iter().filter(|member| {
            !self.is_live(now, &member.name)
                && !self.departed.contains_key(&member.name)
                && lacks_majority
                && self.is_retained(now, member)
        });
        current_members.extend(silent.cloned());
        current_members.sort_by(|a, b| a.name.cmp(&b.name));
        for member in &mut current_members {
            member.joined = self.joined_in(member).unwrap_or(turn);
        }
        current_members
    }

    /// Returns the turn in which a member joined, if the current membership has it with the
    /// same number of threads.
    fn joined_in(&self, member: &Member) -> Option<u64> {
        // The members are sorted by name.
        let known = &self.membership.members;
        let at = known.binary_search_by(|other| other.name.cmp(&member.name)).ok()?;
        (known[at].threads == member.threads).then_some(known[at].joined)
    }

    /// Returns whether a silent member remains a member while most members are silent. It
    /// does for a limited time, since silent members most likely come back. It remains
    /// without a limit if so few members are heard continuously that the silent ones may go
    /// on serving.
    fn is_retained(&self, now: Tick, member: &Member) -> bool {
        let known = &self.membership.members;
        let is_long_silent = self
            .last_renewals
            .get(&member.name)
            .is_none_or(|last_renewal| since(last_renewal.at, now) >= MINORITY_REMOVAL_DELAY);
        let is_quiet = |last_renewal: &LastRenewal| {
            last_renewal.has_renewed
                && ms(last_renewal.progress.attestation_age_ms) >= consts::ATTESTATION_EXPIRY
        };
        let is_heard_continuously = |other: &&Member| {
            self.is_live(now, &other.name)
                && self.last_renewals.get(&other.name).is_some_and(is_quiet)
        };
        let are_enough =
            known.iter().filter(is_heard_continuously).count() >= quorum::acceptance(known.len());
        known.len() > 1 && !(is_long_silent && are_enough)
    }

    /// Returns whether most members of the membership renew their leases with this node.
    fn hears_majority(&self, now: Tick) -> bool {
        let known = &self.membership.members;
        let live_count = known.iter().filter(|member| self.is_live(now, &member.name)).count();
        known.is_empty() || live_count * 2 > known.len()
    }

    /// Settles the membership once all its members have seen it and no member serves under a
    /// former one. Returns whether it did.
    pub fn settle_if_seen(&mut self) -> bool {
        let id = self.membership.id();
        let has_seen = |member: &Member| {
            self.last_renewals
                .get(&member.name)
                .is_some_and(|last_renewal| last_renewal.progress.seen_membership >= id)
        };
        let is_ready = !self.gathering && self.log.proposed.is_none() && self.log.older.is_empty();
        if is_ready
            && self.membership.settled < self.membership.turn
            && self.membership.members.iter().all(has_seen)
        {
            self.membership.settled = self.membership.turn;
            return true;
        }
        false
    }
}
