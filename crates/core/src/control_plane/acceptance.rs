//! When a change counts as accepted.
//!
//! It must be *safe*: of each membership that somebody may still go by, enough
//! members know of the change (`quorum::acceptance`) that the others can't prove
//! that nothing newer was accepted. Who neither obeys nor can prove that stops
//! when its lease ends, which names nothing newer than the change's commit.
//!
//! And it should be *in force* wherever that is not up to fencing: most members
//! obey it, or each of the others is silent or has nothing to serve by yet.

use crate::command::Command;
use crate::control_plane::members::{LastRenewal, Members};
use crate::protocol::membership::{Member, Membership};
use crate::replication::partition::{Partition, Role};
use crate::replication::timing::HEARTBEAT_INTERVAL;
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::VoterGroup;
use crate::{consts, quorum};

/// A member whose renewals were not heard for this long is not waited for: two
/// in a row, and a fifth of one for their way. Less would take one lost renewal
/// for a lost member.
const RENEWAL_SILENCE: Span = ms(1_100);
/// A change that has been committed for this long waits no longer for members
/// that are heard and don't obey it: all grants since name it, so they serve by
/// nothing older for more than a lease. Twice the silence above, less than half
/// of what an operator is promised.
const ACCEPTANCE_LATEST: Span = ms(2_000);

/// Tells the configuration's leader up to which revision changes are accepted.
/// Only an operator who waits makes that worth a look at all members, and then
/// now and again: until the first look nothing counts as accepted.
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
    let mut waited: Vec<u64> =
        leader.waiting_changes.iter().map(|waiting| waiting.revision).collect();
    waited.sort_unstable_by(|a, b| b.cmp(a));
    waited.dedup();
    let accepted = waited.into_iter().find(|revision| members.have_accepted(now, *revision));
    // The names are needed only when somebody's patience ends.
    let needs_names = now + HEARTBEAT_INTERVAL >= until;
    leader.lagging_members = if needs_names { members.lagging_behind(newest) } else { Vec::new() };
    let accepted = accepted.unwrap_or(0);
    if leader.members_applied_revision != accepted {
        leader.members_applied_revision = accepted;
        configuration.complete_operations(now, group, commands);
    }
}

impl Members {
    /// Whether a revision may be told as accepted once it is committed.
    fn have_accepted(&self, now: Tick, revision: u64) -> bool {
        self.are_known() && self.is_safe(now, revision) && self.is_in_force(now, revision)
    }

    /// Whether no member goes by anything older than a committed revision: each obeys it, or
    /// its lease has ended and it can't prove that nothing newer was accepted.
    pub(super) fn none_goes_by_older(&self, now: Tick, revision: u64) -> bool {
        self.are_known() && self.is_safe(now, revision) && self.is_fenced(now, revision)
    }

    /// Whether we know all members: a leader that nobody handed a membership down to gathers
    /// them first.
    fn are_known(&self) -> bool {
        let Some((term, _)) = self.leadership else { return false };
        self.log.is_inherited() && (!self.gathering || self.membership.term == term)
    }

    /// Whether every lease names this revision, or has ended.
    fn is_fenced(&self, now: Tick, revision: u64) -> bool {
        let committed_at = self.commit_times.committed_at(revision);
        if committed_at.is_some_and(|at| since(at, now) >= consts::LEASE_DURATION) {
            return true;
        }
        let obeys =
            |heard: &LastRenewal| heard.has_renewed && heard.progress.applied_revision >= revision;
        let may_serve = |heard: &&LastRenewal| {
            !self.is_gone(&heard.member) && since(heard.at, now) < consts::LEASE_DURATION
        };
        committed_at.is_some() && self.last_renewals.values().filter(may_serve).all(obeys)
    }

    /// Whether nobody can serve on by an older revision for longer than a lease.
    fn is_safe(&self, now: Tick, revision: u64) -> bool {
        let in_use = self.log.older.iter().filter(|former| former.retired.is_none());
        let mut all = in_use.map(|former| &former.membership).chain([&self.membership]);
        all.all(|membership| self.is_safe_among(now, membership, revision))
    }

    /// Whether nobody can serve on by this membership with an older revision.
    fn is_safe_among(&self, now: Tick, membership: &Membership, revision: u64) -> bool {
        let list = &membership.members;
        let knows = |member: &&Member| {
            let heard = self.last_renewals.get(&member.name);
            self.has_left(membership, member)
                || heard.is_some_and(|heard| heard.progress.known_revision >= revision)
        };
        // Who goes by a membership knows the revision under which it was issued.
        membership.revision >= revision
            || list.is_empty()
            || list.iter().filter(knows).count() >= quorum::acceptance(list.len())
            || (list.len() == 1 && !self.is_live(now, &list[0].name))
    }

    /// Whether a revision is in force wherever we can wait for it.
    fn is_in_force(&self, now: Tick, revision: u64) -> bool {
        let list = &self.membership.members;
        let obeys = |member: &&Member| {
            self.last_renewals
                .get(&member.name)
                .is_some_and(|heard| heard.progress.applied_revision >= revision)
        };
        if 2 * list.iter().filter(obeys).count() > list.len() {
            return true;
        }
        let committed_at = self.commit_times.committed_at(revision);
        committed_at.is_some_and(|at| since(at, now) >= ACCEPTANCE_LATEST)
            || list.iter().all(|member| obeys(&member) || self.is_excused(now, member))
    }

    /// Whether a change does not wait for this member to obey it.
    fn is_excused(&self, now: Tick, member: &Member) -> bool {
        let is_silent = |heard: &LastRenewal| since(heard.at, now) >= RENEWAL_SILENCE;
        // A process that has just started holds nothing to serve by.
        let is_idle =
            |heard: &LastRenewal| heard.has_renewed && heard.progress.applied_revision == 0;
        let heard = self.last_renewals.get(&member.name);
        heard.is_none_or(|heard| is_silent(heard) || is_idle(heard))
            || !self.is_live(now, &member.name)
    }

    /// The members that do not obey a revision, with what they obey.
    fn lagging_behind(&self, revision: u64) -> Vec<String> {
        let obeys = |member: &Member| {
            self.last_renewals.get(&member.name).map_or(0, |h| h.progress.applied_revision)
        };
        let lagging = self.membership.members.iter().filter(|member| obeys(member) < revision);
        lagging.map(|member| format!("{} (obeys {})", member.name, obeys(member))).collect()
    }
}
