//! When a former membership is out of use.
//!
//! It is *retired* once so many of its members have left it that the others can
//! gather no more proofs to serve on by it, and *over* once those that they may
//! have gathered before are out of date.

use crate::control_plane::members::{Members, is_live};
use crate::protocol::message::{Member, MemberProgress, Membership, MembershipId};
use crate::time::{Tick, ms, since};
use crate::{consts, quorum};

/// Notes which former memberships nobody can serve on by any more.
pub fn retire(m: &mut Members, now: Tick) {
    let mut older = std::mem::take(&mut m.log.older);
    for o in &mut older {
        if o.retired.is_none() && is_left(m, now, &o.membership) {
            o.retired = Some(now);
        }
    }
    older.retain(|o| !o.retired.is_some_and(|at| is_over(m, now, &o.membership, at)));
    m.log.older = older;
}

/// Whether a process that a membership names has left it: it goes by a newer
/// one, or is no more. Either way it attests no more for that one.
pub fn has_left(m: &Members, membership: &Membership, member: &Member) -> bool {
    let saw = |far: &MemberProgress| MembershipId { term: far.saw.0, turn: far.saw.1 };
    let gone = m.gone.get(&member.name).is_some_and(|g| g.incarnation == member.incarnation);
    gone || m.heard.get(&member.name).is_some_and(|h| {
        h.spoke && (h.member.incarnation != member.incarnation || saw(&h.far) > membership.id())
    })
}

/// Whether so many have left a membership that the others can't serve on by it.
/// A lone member never does.
fn is_left(m: &Members, now: Tick, membership: &Membership) -> bool {
    let list = &membership.members;
    let left = list.iter().filter(|k| has_left(m, membership, k)).count();
    left >= quorum::acceptance(list.len()) || (list.len() == 1 && !is_live(m, now, &list[0].name))
}

/// Whether nobody serves on any more by a membership that was left at `retired`:
/// the proofs that those who left it may have given before are out of date.
fn is_over(m: &Members, now: Tick, membership: &Membership, retired: Tick) -> bool {
    let list = &membership.members;
    let quiet = |k: &&Member| {
        has_left(m, membership, k)
            && m.heard.get(&k.name).is_some_and(|h| ms(h.far.quiet_ms) >= consts::ATTESTATION_QUIET)
    };
    since(retired, now) >= consts::ATTESTATION_QUIET
        || list.iter().filter(quiet).count() >= quorum::acceptance(list.len())
        || list.len() == 1
        || list.iter().all(|k| has_left(m, membership, k))
}
