//! Memberships as the configuration's leader hands them down: replicated to a
//! majority of the voters before any member is told, and remembered until
//! nobody can serve on by them any more.
//!
//! At most one membership is on its way at a time, and none is issued before the
//! ones before it are retired: `quorum::acceptance` of their members have left
//! them, so that the rest can't gather the proofs to serve on by them. Voters
//! keep this in memory only; what a fleet loses with it is told in
//! `docs/limits.md`.

use crate::command::Command;
use crate::consts;
use crate::control_plane::controller::ControllerState;
use crate::control_plane::members;
use crate::identifiers::VoterSlot;
use crate::protocol::message::{Membership, MembershipId, Memberships, Message};
use crate::time::{Tick, since};
use crate::voter_set::{majority, others};
use crate::voters::voter_slots::here;

/// The memberships that a voter knows beside the one that members are told.
#[derive(Default)]
pub struct MembershipLog {
    /// Issued, and not yet known to a majority: no member was told.
    pub proposed: Option<Membership>,
    /// Former ones that some member may still go by.
    pub older: Vec<Older>,
    /// The highest term under which a leader spoke to us; lower ones are refused.
    term: u64,
    leading: Leading,
}

/// A former membership.
pub struct Older {
    pub membership: Membership,
    /// Since when enough of its members have left it.
    pub retired: Option<Tick>,
}

/// What only a leader needs.
#[derive(Default)]
struct Leading {
    /// What the voters told a new leader; emptied when it has inherited.
    fetched: Vec<Option<(Membership, Vec<Membership>)>>,
    inherited: bool,
    /// What each voter last said it holds.
    acknowledged: Vec<Option<Version>>,
    /// What was last sent, and when.
    sent: Option<(Version, Tick)>,
    /// The voter set's stamp under which all this was counted.
    stamp: u64,
}

/// A state of a membership on its way to the voters.
#[derive(Clone, Copy, PartialEq)]
struct Version {
    id: MembershipId,
    settled: u64,
    confirmed: bool,
}

/// A new term of ours begins: what the other voters hold is to be asked.
pub fn begin(core: &mut ControllerState, term: u64) {
    let group = here(core);
    let members = &mut core.members;
    let own = held(&members.membership, &members.log);
    let log = &mut members.log;
    log.term = log.term.max(term);
    log.leading = Leading { stamp: core.seating.stamp, ..Leading::default() };
    log.leading.fetched = vec![None; group.size];
    log.leading.acknowledged = vec![None; group.size];
    log.leading.fetched[usize::from(group.slot)] = Some(own);
}

/// The membership that members are told, and all others that may be gone by.
fn held(membership: &Membership, log: &MembershipLog) -> (Membership, Vec<Membership>) {
    let older = log.older.iter().map(|o| o.membership.clone());
    (membership.clone(), older.chain(log.proposed.clone()).collect())
}

/// All memberships that this voter knows.
pub fn held_here(core: &ControllerState) -> Memberships {
    let (current, others) = held(&core.members.membership, &core.members.log);
    Memberships { current, others }
}

/// Takes over what a voter that leaves knows, unless we know of one ourselves.
pub fn inherit_from(log: &mut MembershipLog, others: Vec<Membership>) {
    log.older = others.into_iter().map(|membership| Older { membership, retired: None }).collect();
}

/// Whether this leader knows all memberships that members may go by. Asks the
/// other voters until it does.
pub fn inherit(core: &mut ControllerState, now: Tick, term: u64, out: &mut Vec<Command>) -> bool {
    count_anew(core);
    let group = here(core);
    let leading = &mut core.members.log.leading;
    if leading.inherited {
        return true;
    }
    if leading.fetched.iter().flatten().count() >= majority(group.size) {
        take_over(core, now);
        return true;
    }
    if leading.sent.is_none_or(|(_, at)| since(at, now) >= consts::OWNER_BEAT) {
        let none = Version { id: MembershipId::default(), settled: 0, confirmed: false };
        leading.sent = Some((none, now));
        for slot in others(group) {
            out.push(Command::ToVoter { slot, message: Message::FetchMembership { term } });
        }
    }
    false
}

/// The voter set changed: what was counted under the old one counts no more.
fn count_anew(core: &mut ControllerState) {
    let (group, stamp) = (here(core), core.seating.stamp);
    let own = held(&core.members.membership, &core.members.log);
    let leading = &mut core.members.log.leading;
    if leading.stamp == stamp {
        return;
    }
    leading.stamp = stamp;
    leading.sent = None;
    leading.acknowledged = vec![None; group.size];
    leading.fetched = vec![None; group.size];
    leading.fetched[usize::from(group.slot)] = Some(own);
}

/// A majority has told what it holds. The newest that members were told came
/// with all those before it that may still be gone by; what is newer than that
/// may have been told as well.
fn take_over(core: &mut ControllerState, now: Tick) {
    let members = &mut core.members;
    let leading = &mut members.log.leading;
    leading.inherited = true;
    leading.sent = None;
    let fetched: Vec<_> = std::mem::take(&mut leading.fetched).into_iter().flatten().collect();
    let rank = |c: &Membership| (c.id(), c.settled);
    let Some((current, mut rest)) = fetched.iter().max_by_key(|f| rank(&f.0)).cloned() else {
        return;
    };
    let newest = current.id();
    rest.extend(fetched.into_iter().flat_map(|f| f.1).filter(|c| c.id() > newest));
    rest.retain(|c| c.id() != newest && !c.members.is_empty());
    rest.sort_by_key(Membership::id);
    rest.dedup_by_key(|c| c.id());
    members.membership = current;
    members.log.proposed = None;
    members.log.older =
        rest.into_iter().map(|membership| Older { membership, retired: None }).collect();
    members::expect_all(members, now);
}

impl MembershipLog {
    /// Whether this leader knows all memberships that members may go by.
    pub fn is_inherited(&self) -> bool {
        self.leading.inherited
    }
}

/// Sends the newest membership to the voters that don't hold it, and confirms it
/// once a majority does. Tells whether members have something new to be told.
pub fn replicate(core: &mut ControllerState, now: Tick, term: u64, out: &mut Vec<Command>) -> bool {
    let group = here(core);
    let members = &mut core.members;
    let mut confirmed = false;
    if let Some(proposed) = &members.log.proposed {
        let version = Version { id: proposed.id(), settled: proposed.settled, confirmed: false };
        let holds = |v: &&Version| v.id >= version.id;
        let count = members.log.leading.acknowledged.iter().flatten().filter(holds).count();
        if count + 1 >= majority(group.size) {
            confirm(core);
            confirmed = true;
        }
    }
    send(core, now, term, out);
    confirmed
}

/// Makes the proposed membership the one that members are told.
fn confirm(core: &mut ControllerState) {
    let members = &mut core.members;
    let Some(proposed) = members.log.proposed.take() else { return };
    let former = std::mem::replace(&mut members.membership, proposed);
    if !former.members.is_empty() {
        members.log.older.push(Older { membership: former, retired: None });
    }
}

fn send(core: &mut ControllerState, now: Tick, term: u64, out: &mut Vec<Command>) {
    let group = here(core);
    let members = &mut core.members;
    let (current, confirmed) = match &members.log.proposed {
        Some(proposed) => (proposed, false),
        None => (&members.membership, true),
    };
    let version = Version { id: current.id(), settled: current.settled, confirmed };
    let leading = &mut members.log.leading;
    let again = leading
        .sent
        .is_none_or(|(sent, at)| sent != version || since(at, now) >= consts::OWNER_BEAT);
    let lacking: Vec<VoterSlot> = others(group)
        .filter(|slot| leading.acknowledged[usize::from(*slot)] != Some(version))
        .collect();
    if !again || lacking.is_empty() || current.term == 0 {
        return;
    }
    leading.sent = Some((version, now));
    let older: Vec<Membership> = members.log.older.iter().map(|o| o.membership.clone()).collect();
    for slot in lacking {
        let (current, older) = (current.clone(), older.clone());
        let message = Message::ReplicateMembership { term, current, confirmed, older };
        out.push(Command::ToVoter { slot, message });
    }
}

/// Whether a leader of this term has been followed by another.
fn refuses(core: &ControllerState, term: u64) -> bool {
    term < core.members.log.term || term < core.partitions[0].copy.promised
}

/// A leader replicates a membership to us.
pub fn take(
    core: &mut ControllerState,
    from: VoterSlot,
    term: u64,
    (current, confirmed): (Membership, bool),
    older: Vec<Membership>,
    out: &mut Vec<Command>,
) {
    if refuses(core, term) {
        return;
    }
    let version = Version { id: current.id(), settled: current.settled, confirmed };
    let log = &mut core.members.log;
    log.term = term;
    log.older = older.into_iter().map(|membership| Older { membership, retired: None }).collect();
    if confirmed {
        log.proposed = log.proposed.take().filter(|p| p.id() > version.id);
        if current.is_newer_than(&core.members.membership) {
            core.members.membership = current;
            members::tell(core, out);
        }
    } else {
        log.proposed = Some(current);
    }
    let Version { id, settled, confirmed } = version;
    let message = Message::MembershipReplicated { term, id, settled, confirmed, stamp: 0 };
    out.push(Command::ToVoter { slot: from, message });
}

/// A voter holds what we sent.
pub fn acknowledged(
    core: &mut ControllerState,
    from: VoterSlot,
    term: u64,
    (id, settled): (MembershipId, u64),
    confirmed: bool,
) {
    let leading = &mut core.members.log.leading;
    if core.members.reign.is_some_and(|(ours, _)| ours == term)
        && let Some(cell) = leading.acknowledged.get_mut(usize::from(from))
    {
        *cell = Some(Version { id, settled, confirmed });
    }
}

/// A new leader asks which memberships we hold.
pub fn asked(core: &mut ControllerState, from: VoterSlot, term: u64, out: &mut Vec<Command>) {
    if refuses(core, term) {
        return;
    }
    core.members.log.term = term;
    let (current, others) = held(&core.members.membership, &core.members.log);
    let message = Message::MembershipFetched { term, current, others, stamp: 0 };
    out.push(Command::ToVoter { slot: from, message });
}

/// A voter told which memberships it holds.
pub fn fetched(
    core: &mut ControllerState,
    from: VoterSlot,
    term: u64,
    current: Membership,
    others: Vec<Membership>,
) {
    let leading = &mut core.members.log.leading;
    if core.members.reign.is_some_and(|(ours, _)| ours == term)
        && !leading.inherited
        && let Some(cell) = leading.fetched.get_mut(usize::from(from))
    {
        *cell = Some((current, others));
    }
}

/// Whether a membership is among those that we reckon with.
pub fn knows(core: &ControllerState, which: MembershipId) -> bool {
    let members = &core.members;
    let older = members.log.older.iter().map(|o| &o.membership);
    older.chain([&members.membership]).chain(&members.log.proposed).any(|c| c.id() == which)
}

/// A member told a membership that we did not know of.
pub fn learn(core: &mut ControllerState, now: Tick, membership: Membership) {
    let Some((term, _)) = core.members.reign else { return };
    let which = membership.id();
    let log = &mut core.members.log;
    let room = log.older.len() < consts::MEMBERSHIPS_KEPT;
    if !log.leading.inherited || which.term >= term || !room || knows(core, which) {
        return;
    }
    core.members.log.older.push(Older { membership, retired: None });
    members::expect_all(&mut core.members, now);
}
