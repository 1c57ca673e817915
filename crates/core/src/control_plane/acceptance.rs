//! Decides when a change counts as accepted.
//!
//! The change must be *safe*. For each membership that a member may still use, so many of
//! its members know of the change (`quorum::acceptance`) that the others can't prove that
//! nothing newer was accepted. A member that has neither applied the change nor can prove
//! this stops serving when its lease ends, and that lease names nothing newer than the
//! change's commit.
//!
//! The change should also be *in force* as far as this does not depend on fencing:
//! most members have applied it, or each of the others is silent or has no configuration to
//! serve with yet.

use crate::command::Command;
use crate::control_plane::members::{LastRenewal, Members};
use crate::protocol::membership::{Member, Membership};
use crate::replication::partition::{Partition, Role};
use crate::replication::timing::HEARTBEAT_INTERVAL;
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::VoterGroup;
use crate::{consts, quorum};

/// A member without a renewal for this long is not waited for. This allows for two renewals
/// in a row and a fifth of the interval for their transmission. A shorter time would treat
/// a single lost renewal as a lost member.
const RENEWAL_TIMEOUT: Span = ms(1_100);
/// A change that has been committed for this long no longer waits for members that renew
/// but have not applied it. All grants since then name the change, so these members serve
/// under an older revision for at most one more lease. The value is about twice the silence
/// timeout above and less than half of the timeout of an operator request.
const MAX_ACCEPTANCE_DELAY: Span = ms(2_000);

/// Reports to the leader of the configuration partition up to which revision changes are
/// accepted. The check visits all members, so it runs only while an operator waits, and
/// then only at an interval. Until the first check nothing counts as accepted.
pub fn update(
    configuration: &mut Partition,
    members: &mut Members,
    now: Tick,
    group: VoterGroup,
    commands: &mut Vec<Command>,
) {
    let newest = configuration.state.revision;
    let Role::Leader(leader) = &mut configuration.role else { return };
    if leader.is_serving {
        members.commit_times.note(now, leader.committed);
    }
    let Some(until) = leader.waiting_changes.iter().map(|waiting| waiting.until).min() else {
        leader.members_applied_revision = 0;
        return;
    };
    if now < leader.acceptance_check_at {
        return;
    }
    leader.acceptance_check_at = now + consts::ACCEPTANCE_POLL_INTERVAL;
    let mut waiting_revisions: Vec<u64> =
        leader.waiting_changes.iter().map(|waiting| waiting.revision).collect();
    waiting_revisions.sort_unstable_by(|a, b| b.cmp(a));
    waiting_revisions.dedup();
    let accepted =
        waiting_revisions.into_iter().find(|revision| members.have_accepted(now, *revision));
    // The names are needed only when the deadline of a waiting operator is about to pass.
    let needs_names = now + HEARTBEAT_INTERVAL >= until;
    leader.lagging_members = if needs_names { members.members_behind(newest) } else { Vec::new() };
    let accepted = accepted.unwrap_or(0);
    if leader.members_applied_revision != accepted {
        leader.members_applied_revision = accepted;
        configuration.complete_operations(now, group, commands);
    }
}

impl Members {
    /// Returns whether a revision may be reported as accepted once it is committed.
    fn have_accepted(&self, now: Tick, revision: u64) -> bool {
        self.are_known() && self.is_safe(now, revision) && self.is_in_force(now, revision)
    }

    /// Returns whether no member uses anything older than a committed revision: each member
    /// has applied it, or its lease has ended and it can't prove that nothing newer was
    /// accepted.
    pub(super) fn none_uses_older(&self, now: Tick, revision: u64) -> bool {
        self.are_known() && self.is_safe(now, revision) && self.is_fenced(now, revision)
    }

    /// Returns whether this node knows all members. A leader that inherited no membership
    /// gathers the members first.
    fn are_known(&self) -> bool {
        let Some((term, _)) = self.leadership else { return false };
        self.log.is_inherited() && (!self.gathering || self.membership.term == term)
    }

    /// Returns whether every lease names this revision or has ended.
    fn is_fenced(&self, now: Tick, revision: u64) -> bool {
        let committed_at = self.commit_times.committed_at(revision);
        if committed_at.is_some_and(|at| since(at, now) >= consts::LEASE_DURATION) {
            return true;
        }
        let has_applied = |last_renewal: &LastRenewal| {
            last_renewal.has_renewed && last_renewal.progress.applied_revision >= revision
        };
        let may_serve = |last_renewal: &&LastRenewal| {
            !self.has_departed(&last_renewal.member)
                && since(last_renewal.at, now) < consts::LEASE_DURATION
        };
        committed_at.is_some() && self.last_renewals.values().filter(may_serve).all(has_applied)
    }

    /// Returns whether no member can serve under an older revision for longer than a lease.
    fn is_safe(&self, now: Tick, revision: u64) -> bool {
        let in_use = self.log.older.iter().filter(|former| former.retired.is_none());
        let mut all = in_use.map(|former| &former.membership).chain([&self.membership]);
        all.all(|membership| self.is_safe_among(now, membership, revision))
    }

    /// Returns whether no member of this membership can serve under an older revision.
    fn is_safe_among(&self, now: Tick, membership: &Membership, revision: u64) -> bool {
        let list = &membership.members;
        let knows_revision = |member: &&Member| {
            let last_renewal = self.last_renewals.get(&member.name);
            self.has_left(membership, member)
                || last_renewal
                    .is_some_and(|last_renewal| last_renewal.progress.known_revision >= revision)
        };
        // A member that uses a membership knows the revision under which it was issued.
        membership.revision >= revision
            || list.is_empty()
            || list.iter().filter(knows_revision).count() >= quorum::acceptance(list.len())
            || (list.len() == 1 && !self.is_live(now, &list[0].name))
    }

    /// Returns whether a revision is in force on all members that have to be waited for.
    fn is_in_force(&self, now: Tick, revision: u64) -> bool {
        let list = &self.membership.members;
        let has_applied = |member: &&Member| {
            self.last_renewals
                .get(&member.name)
                .is_some_and(|last_renewal| last_renewal.progress.applied_revision >= revision)
        };
        if 2 * list.iter().filter(has_applied).count() > list.len() {
            return true;
        }
        let committed_at = self.commit_times.committed_at(revision);
        committed_at.is_some_and(|at| since(at, now) >= MAX_ACCEPTANCE_DELAY)
            || list.iter().all(|member| has_applied(&member) || self.is_excused(now, member))
    }

    /// Returns whether a change does not wait for this member to apply it.
    fn is_excused(&self, now: Tick, member: &Member) -> bool {
        let is_silent = |last_renewal: &LastRenewal| since(last_renewal.at, now) >= RENEWAL_TIMEOUT;
        // A process that has just started has no configuration to serve with.
        let is_idle = |last_renewal: &LastRenewal| {
            last_renewal.has_renewed && last_renewal.progress.applied_revision == 0
        };
        let last_renewal = self.last_renewals.get(&member.name);
        last_renewal.is_none_or(|last_renewal| is_silent(last_renewal) || is_idle(last_renewal))
            || !self.is_live(now, &member.name)
    }

    /// Returns the members that have not applied a revision, with the one that they
    /// applied.
    fn members_behind(&self, revision: u64) -> Vec<String> {
        let applied_revision = |member: &Member| {
            self.last_renewals.get(&member.name).map_or(0, |h| h.progress.applied_revision)
        };
        let lagging =
            self.membership.members.iter().filter(|member| applied_revision(member) < revision);
        lagging
            .map(|member| format!("{} (obeys {})", member.name, applied_revision(member)))
            .collect()
    }
}
