//! When a change counts as accepted.
//!
//! It must be *safe*: of each membership that somebody may still go by, enough
//! members know of the change (`quorum::acceptance`) that the others can't prove
//! that nothing newer was accepted. Who neither obeys nor can prove that stops
//! when its lease ends, which names nothing newer than the change's commit.
//!
//! And it should be *in force* wherever that is not up to fencing: most members
//! obey it, or each of the others is silent or has nothing to serve by yet.

use std::collections::VecDeque;

use crate::command::Command;
use crate::consts;
use crate::control_plane::controller::ControllerState;
use crate::control_plane::members::{Heard, Members, is_live};
use crate::control_plane::retirement::has_left;
use crate::protocol::message::Member;
use crate::quorum;
use crate::replication::partition::Role;
use crate::time::{Tick, since};
use crate::voters::voter_slots::here;

/// What the leader needs to judge changes.
#[derive(Default)]
pub struct Acceptance {
    /// Committed revisions, and when we came to know: the newest last.
    commits: VecDeque<(u64, Tick)>,
}

/// Revisions whose commit is remembered (count): orders are waited for within
/// seconds, and older ones count as committed long ago.
const COMMITS_KEPT: usize = 256;

/// Tells the configuration's leader up to which revision changes are accepted.
/// Only an operator who waits makes that worth a look at all members, and then
/// now and again: until the first look nothing counts as accepted.
pub fn look(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    note_commits(core, now);
    let group = here(core);
    let Role::Leader(leader) = &mut core.partitions[0].role else { return };
    let Some(until) = leader.waiting_changes.iter().map(|w| w.until).min() else {
        leader.obeyed_up_to = 0;
        return;
    };
    if now < leader.acceptance_check_at {
        return;
    }
    leader.acceptance_check_at = now + consts::OBEY_LOOK;
    let mut waited: Vec<u64> = leader.waiting_changes.iter().map(|w| w.revision).collect();
    let names_needed = now + consts::OWNER_BEAT >= until;
    waited.sort_unstable_by(|a, b| b.cmp(a));
    waited.dedup();
    let accepted = waited.into_iter().find(|revision| is_accepted(&core.members, now, *revision));
    let head = core.partitions[0].state.revision;
    let behind = names_needed.then(|| behind(&core.members, head));
    let Role::Leader(leader) = &mut core.partitions[0].role else { return };
    // The names are needed only when somebody's patience ends.
    leader.lagging_members = behind.unwrap_or_default();
    let accepted = accepted.unwrap_or(0);
    if leader.obeyed_up_to != accepted {
        leader.obeyed_up_to = accepted;
        core.partitions[0].complete_operations(now, group, out);
    }
}

/// Remembers since when each revision is committed.
fn note_commits(core: &mut ControllerState, now: Tick) {
    let Role::Leader(leader) = &core.partitions[0].role else { return };
    let commits = &mut core.members.acceptance.commits;
    if leader.is_serving && commits.back().is_none_or(|(revision, _)| *revision < leader.committed)
    {
        commits.push_back((leader.committed, now));
        if commits.len() > COMMITS_KEPT {
            commits.pop_front();
        }
    }
}

/// Whether a revision may be told as accepted once it is committed.
fn is_accepted(members: &Members, now: Tick, revision: u64) -> bool {
    let Some((term, _)) = members.reign else { return false };
    // A leader that nobody handed a membership down to gathers members first.
    let knows_members =
        members.log.is_inherited() && (!members.blind || members.membership.term == term);
    knows_members && is_safe(members, now, revision) && is_in_force(members, now, revision)
}

/// Whether nobody can serve on by an older revision for longer than a lease.
fn is_safe(members: &Members, now: Tick, revision: u64) -> bool {
    let older = members.log.older.iter().filter(|o| o.retired.is_none()).map(|o| &o.membership);
    older.chain([&members.membership]).all(|membership| {
        let list = &membership.members;
        let knows = |k: &&Member| {
            has_left(members, membership, k)
                || members.heard.get(&k.name).is_some_and(|h| h.far.knows >= revision)
        };
        // Who goes by a membership knows the revision under which it was issued.
        membership.revision >= revision
            || list.is_empty()
            || list.iter().filter(knows).count() >= quorum::acceptance(list.len())
            || (list.len() == 1 && !is_live(members, now, &list[0].name))
    })
}

/// Whether a revision is in force wherever we can wait for it.
fn is_in_force(members: &Members, now: Tick, revision: u64) -> bool {
    let list = &members.membership.members;
    let heard = |k: &Member| members.heard.get(&k.name);
    let obeys = |k: &&Member| heard(k).is_some_and(|h| h.far.obeys >= revision);
    if 2 * list.iter().filter(obeys).count() > list.len() {
        return true;
    }
    let silent = |h: &Heard| since(h.at, now) >= consts::RENEWAL_SILENCE;
    // A process that has just started holds nothing to serve by.
    let idle = |h: &Heard| h.spoke && h.far.obeys == 0;
    let excused = |k: &Member| {
        heard(k).is_none_or(|h| silent(h) || idle(h)) || !is_live(members, now, &k.name)
    };
    let commits = &members.acceptance.commits;
    let committed = commits.iter().find(|(r, _)| *r >= revision).map(|(_, at)| *at);
    committed.is_some_and(|at| since(at, now) >= consts::ACCEPTANCE_LATEST)
        || list.iter().all(|k| obeys(&k) || excused(k))
}

/// The members that do not obey a revision, with what they obey.
fn behind(members: &Members, revision: u64) -> Vec<String> {
    let obeys = |k: &Member| members.heard.get(&k.name).map_or(0, |h| h.far.obeys);
    let list = members.membership.members.iter().filter(|k| obeys(k) < revision);
    list.map(|k| format!("{} (obeys {})", k.name, obeys(k))).collect()
}
