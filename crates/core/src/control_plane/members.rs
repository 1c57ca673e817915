//! The members and their leases. The leader of the configuration keeps them;
//! the other seats hand renewals over to it and pass its word on.

use std::collections::HashSet;

use indexmap::IndexMap;

use crate::command::{Command, ConnectionId};
use crate::control_plane::acceptance::Acceptance;
use crate::control_plane::controller::ControllerState;
use crate::control_plane::forgotten_members;
use crate::control_plane::membership_log;
use crate::control_plane::membership_log::{MembershipLog, Older};
use crate::control_plane::retirement;
use crate::identifiers::{COHORT, VoterSlot};
use crate::protocol::message::{
    Member, MemberProgress, Membership, MembershipId, Memberships, Message, OperationResult,
};
use crate::replication::partition::Role;
use crate::time::{Tick, ms, since};
use crate::voters::voter_slots::here;
use crate::{consts, quorum};

/// What a seat knows of the members.
///
/// Invariants: `membership` never goes back in (`term`, `turn`), and a majority of
/// the seats held it before any member was told; `heard` is kept by the leader
/// only, and holds all whom some membership names that is still gone by.
#[derive(Default)]
pub struct Members {
    pub membership: Membership,
    /// Memberships beside `membership`: on their way, or not yet out of use.
    pub log: MembershipLog,
    /// The last renewal of each member.
    pub heard: IndexMap<String, Heard>,
    /// Members that stopped in order, or that an operator vouches are down for
    /// good.
    pub gone: IndexMap<String, Gone>,
    /// Epoch for which `heard` was begun, and when.
    pub reign: Option<(u64, Tick)>,
    /// No membership was handed down to us, and a lease has not passed since we
    /// began: there may be members that we have not heard yet.
    pub blind: bool,
    /// The connection on which each member speaks to this seat.
    pub connections: IndexMap<String, ConnectionId>,
    /// The revision up to which members that operators forgot were noted.
    pub forgotten_at: u64,
    /// What the acceptance of changes waits for.
    pub acceptance: Acceptance,
    /// When a member was last asked for a membership that we don't know.
    asked_at: Tick,
}

/// A member's last renewal.
pub struct Heard {
    pub at: Tick,
    pub member: Member,
    pub far: MemberProgress,
    /// It renewed with us; else we only know that it is a member, and `at` is
    /// when we came to know.
    pub spoke: bool,
}

/// A process that serves no more.
pub struct Gone {
    pub incarnation: u64,
    /// It said so itself. Else an operator did, who may be mistaken.
    pub stopped: bool,
}

/// The term under which we keep the leases, if we do.
pub fn reign(core: &ControllerState) -> Option<u64> {
    match &core.partitions[0].role {
        Role::Leader(o) if o.serves => Some(o.term),
        _ => None,
    }
}

/// A member renews its lease, here or at a seat that handed it over.
pub fn renew(
    core: &mut ControllerState,
    now: Tick,
    from: Option<VoterSlot>,
    connection: Option<ConnectionId>,
    (member, count, far): (Member, u64, MemberProgress),
    out: &mut Vec<Command>,
) {
    if let Some(connection) = connection {
        core.members.connections.insert(member.name.clone(), connection);
    }
    let Some(term) = reign(core) else {
        // Hand over to the leader, once; a seat never hands on what a seat gave.
        if from.is_none()
            && let Role::Follower { leader: Some((slot, _)), .. } = core.partitions[0].role
        {
            out.push(Command::ToVoter {
                slot,
                message: Message::RenewLease { member, count, far },
            });
        }
        return;
    };
    // After a pause another may own the part, and have changed it: what we would
    // grant names a revision that may be old.
    if !is_followed(core, now) {
        return;
    }
    begin(core, now, term);
    if forgotten_members::readmit(core, now, &member, out) {
        return;
    }
    let (name, incarnation) = (member.name.clone(), member.incarnation);
    let leaves = far.leaving;
    let tell_membership = is_unknown(core, now, &far);
    if !note(&mut core.members, now, member, far) {
        return;
    }
    if leaves {
        // Nothing else is to be waited for.
        advance(core, now, out);
    }
    let revision = core.partitions[0].committed_revision;
    let message =
        Message::LeaseGranted { name, incarnation, count, term, revision, tell_membership };
    match (from, connection) {
        (Some(slot), _) => out.push(Command::ToVoter { slot, message }),
        (None, Some(connection)) => out.push(Command::ToConnection { connection, message }),
        (None, None) => {}
    }
}

/// Whether a majority of the seats followed us a moment ago.
fn is_followed(core: &ControllerState, now: Tick) -> bool {
    match &core.partitions[0].role {
        Role::Leader(o) => crate::replication::leader::answering(o, here(core), now),
        _ => false,
    }
}

/// Whether a member goes by a membership that it should tell us of, since we
/// have never heard of it.
fn is_unknown(core: &mut ControllerState, now: Tick, far: &MemberProgress) -> bool {
    let which = MembershipId { term: far.saw.0, turn: far.saw.1 };
    let m = &core.members;
    let may_count = m.blind || which > m.membership.id();
    let due = m.asked_at == 0 || since(m.asked_at, now) >= consts::OBEY_LOOK;
    let ask = which.term > 0 && may_count && due && !membership_log::knows(core, which);
    if ask {
        core.members.asked_at = now;
    }
    ask
}

/// Notes a renewal; tells whether it counts.
fn note(m: &mut Members, now: Tick, member: Member, far: MemberProgress) -> bool {
    let name = member.name.clone();
    let gone = m.gone.get(&name).filter(|g| g.incarnation == member.incarnation);
    if gone.is_some_and(|g| g.stopped) {
        // It was on its way while the process ended.
        return false;
    }
    m.gone.swap_remove(&name);
    if far.leaving {
        let incarnation = member.incarnation;
        m.gone.insert(name, Gone { incarnation, stopped: true });
    } else {
        m.heard.insert(name, Heard { at: now, member, far, spoke: true });
    }
    true
}

/// Begins to keep leases under a new term: who was a member stays one for
/// a lease, since we may not have heard it yet.
fn begin(core: &mut ControllerState, now: Tick, term: u64) {
    let m = &mut core.members;
    if m.reign.is_some_and(|(e, _)| e == term) {
        return;
    }
    m.reign = Some((term, now));
    // Whom operators forgot is noted anew under each term.
    m.forgotten_at = 0;
    m.blind = false;
    m.heard.clear();
    m.gone.clear();
    m.acceptance = Acceptance::default();
    membership_log::begin(core, term);
}

/// Whoever a membership names that we have not heard counts as heard just now.
pub fn expect_all(m: &mut Members, now: Tick) {
    let older = m.log.older.iter().map(|o| &o.membership);
    for member in older.chain([&m.membership]).flat_map(|c| &c.members) {
        let (member, far) = (member.clone(), MemberProgress::default());
        let new = Heard { at: now, member: member.clone(), far, spoke: false };
        m.heard.entry(member.name).or_insert(new);
    }
}

/// Whether a member was heard within a lease, and has not gone since.
pub fn is_live(m: &Members, now: Tick, name: &str) -> bool {
    m.heard.get(name).is_some_and(|h| {
        let gone = m.gone.get(name).is_some_and(|g| g.incarnation == h.member.incarnation);
        !gone && since(h.at, now) < consts::TENURE
    })
}

/// Begins to keep leases if we do and have not begun.
pub fn begin_reign(core: &mut ControllerState, now: Tick) {
    if let Some(term) = reign(core) {
        begin(core, now, term);
    }
}

/// Time passes: leases end, and the membership's state is told when it changed.
pub fn wake(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    let Some(term) = reign(core) else {
        core.members.reign = None;
        return;
    };
    begin(core, now, term);
    if membership_log::inherit(core, now, term, out) {
        tidy(&mut core.members, now);
        advance(core, now, out);
    }
}

/// Forgets those whom no membership names any more.
fn tidy(m: &mut Members, now: Tick) {
    let older = m.log.older.iter().map(|o| &o.membership);
    let all = older.chain([&m.membership]).chain(&m.log.proposed);
    let named: HashSet<&str> =
        all.flat_map(|c| &c.members).map(|member| member.name.as_str()).collect();
    m.heard.retain(|name, h| named.contains(name.as_str()) || since(h.at, now) < consts::TENURE);
    m.gone.retain(|name, _| named.contains(name.as_str()) || m.heard.contains_key(name));
}

/// Takes over what a voter knew whose slot we take, unless we know a membership.
pub fn inherit(core: &mut ControllerState, memberships: Memberships) {
    let m = &mut core.members;
    if m.membership.term == 0 && m.log.older.is_empty() {
        m.membership = memberships.current;
        membership_log::inherit_from(&mut m.log, memberships.others);
    }
}

/// Moves the membership on as far as it goes now.
pub fn advance(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    let Some((term, began)) = core.members.reign else { return };
    let revision = core.partitions[0].committed_revision;
    let m = &mut core.members;
    // With nothing handed down we may know too few: telling now would give
    // the ones we know shares that others still hold.
    // Who is there is told soon, but nothing of it is settled before a lease
    // has passed, and only what is settled gives shares.
    let reigns = since(began, now);
    m.blind |= m.membership.term == 0;
    m.blind &= reigns < consts::TENURE_GRACE;
    if m.blind && reigns < consts::TENURE_GATHER {
        return;
    }
    retirement::retire(m, now);
    propose(m, now, term, revision);
    let mut changed = membership_log::replicate(core, now, term, out);
    changed |= settle(&mut core.members);
    if changed {
        tell(core, out);
    }
}

/// Issues a new membership if there is anything new, once the one before is in
/// nobody's way.
fn propose(m: &mut Members, now: Tick, term: u64, revision: u64) {
    let log = &m.log;
    // One newer than the current one was inherited from a leader that may have told
    // it to some: they leave it only for a newer one.
    let newer = |o: &Older| o.membership.id() > m.membership.id();
    let clear = log.proposed.is_none()
        && log.older.iter().all(|older| older.retired.is_some() || newer(older));
    if !clear || log.older.len() >= consts::MEMBERSHIPS_KEPT {
        return;
    }
    let next = m.membership.turn + 1;
    let members = list(m, now, next);
    if m.membership.term != term || m.membership.members != members {
        let settled = m.membership.settled;
        m.log.proposed = Some(Membership { term, turn: next, settled, revision, members });
    }
}

/// Who is a member now.
fn list(m: &Members, now: Tick, next: u64) -> Vec<Member> {
    let live = m.heard.iter().filter(|(name, _)| is_live(m, now, name));
    let mut list: Vec<Member> = live.map(|(_, h)| h.member.clone()).collect();
    let scarce = !hears_most(m, now);
    let kept = m.membership.members.iter().filter(|k| {
        !is_live(m, now, &k.name) && !m.gone.contains_key(&k.name) && scarce && stays(m, now, k)
    });
    list.extend(kept.cloned());
    list.sort_by(|a, b| a.name.cmp(&b.name));
    for k in &mut list {
        // The members stand in the order of their names.
        let old = m.membership.members.binary_search_by(|o| o.name.cmp(&k.name));
        let old = old.ok().map(|at| &m.membership.members[at]).filter(|o| o.threads == k.threads);
        k.joined = old.map_or(next, |o| o.joined);
    }
    list
}

/// Whether a silent member stays one while most are silent. It does for a while,
/// since they most likely come back; and for good where so few are heard without
/// a break that the silent ones may serve on.
fn stays(m: &Members, now: Tick, member: &Member) -> bool {
    let n = m.membership.members.len();
    let long = m.heard.get(&member.name).is_none_or(|h| since(h.at, now) >= consts::REMOVAL_BY_FEW);
    let steady = |k: &&Member| {
        let quiet = |h: &Heard| h.spoke && ms(h.far.quiet_ms) >= consts::ATTESTATION_QUIET;
        is_live(m, now, &k.name) && m.heard.get(&k.name).is_some_and(quiet)
    };
    let enough = m.membership.members.iter().filter(steady).count() >= quorum::acceptance(n);
    n > 1 && !(long && enough)
}

/// Whether most of the membership renews with us.
fn hears_most(m: &Members, now: Tick) -> bool {
    let n = m.membership.members.len();
    let heard = m.membership.members.iter().filter(|k| is_live(m, now, &k.name)).count();
    n == 0 || heard * 2 > n
}

/// The membership is settled once all its members have seen it and nobody serves on
/// by a former one.
fn settle(m: &mut Members) -> bool {
    let seen = (m.membership.term, m.membership.turn);
    let saw = |k: &Member| m.heard.get(&k.name).is_some_and(|h| h.far.saw >= seen);
    let ready = !m.blind && m.log.proposed.is_none() && m.log.older.is_empty();
    if ready && m.membership.settled < m.membership.turn && m.membership.members.iter().all(saw) {
        m.membership.settled = m.membership.turn;
        return true;
    }
    false
}

/// The process of a member that an operator may declare down for good.
pub fn silent_incarnation(m: &Members, now: Tick, name: &str) -> Option<u64> {
    let known = m.membership.members.iter().find(|member| member.name == name)?;
    (!is_live(m, now, name)).then_some(known.incarnation)
}

/// Answers the status requests for which it is proved that we lead.
pub fn answer_status(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    let Role::Leader(o) = &mut core.partitions[0].role else { return };
    let proved = std::mem::take(&mut o.proved_status);
    if proved.is_empty() {
        return;
    }
    begin_reign(core, now);
    for from in proved {
        let membership = core.members.membership.clone();
        crate::replication::leader::tell(
            from,
            OperationResult::Status { membership, far: status(core, now) },
            out,
        );
    }
}

/// What the leader knows of the members' progress: name, ms since heard, how far.
fn status(core: &ControllerState, now: Tick) -> Vec<(String, u64, MemberProgress)> {
    let age = |h: &Heard| since(h.at, now) / crate::time::MILLI;
    core.members.heard.iter().map(|(n, h)| (n.clone(), age(h), h.far.clone())).collect()
}

/// Tells the membership's state to our connections.
pub fn tell(core: &ControllerState, out: &mut Vec<Command>) {
    // Who follows the membership as a part is told with the other news.
    for (connection, _) in core.followers.iter().filter(|(_, list)| !list.contains_key(&COHORT)) {
        out.push(Command::ToConnection {
            connection: *connection,
            message: Message::MembershipUpdate(core.members.membership.clone()),
        });
    }
}

/// A member tells the membership that it goes by: to the leader, by way of us or
/// as it is.
pub fn told(
    core: &mut ControllerState,
    now: Tick,
    direct: bool,
    membership: Membership,
    out: &mut Vec<Command>,
) {
    match core.partitions[0].role {
        Role::Leader(_) => membership_log::learn(core, now, membership),
        Role::Follower { leader: Some((slot, _)), .. } if direct => {
            out.push(Command::ToVoter { slot, message: Message::MembershipUpdate(membership) });
        }
        _ => {}
    }
}

/// Sends the state to a follower that just said where it stands.
pub fn greet(core: &ControllerState, connection: ConnectionId, out: &mut Vec<Command>) {
    if core.members.membership.term > 0 {
        let message = Message::MembershipUpdate(core.members.membership.clone());
        out.push(Command::ToConnection { connection, message });
    }
}

/// The leader granted a lease that we had handed over.
pub fn granted(core: &ControllerState, name: &str, message: Message, out: &mut Vec<Command>) {
    if let Some(connection) = core.members.connections.get(name) {
        out.push(Command::ToConnection { connection: *connection, message });
    }
}
