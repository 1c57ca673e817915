//! How a replica that has nothing, or nothing it can trust, comes to vote.
//!
//! It asks the others. If none of the fleet's first holders has ever held
//! anything this is a first boot, and it begins with an empty copy. If a
//! majority of all seats, its own not counted, is formed and holds the table of
//! the seats that we hold, it takes the newest copy and the highest promise of
//! those: any value that its seat helped to accept was synced by one of them
//! too (`crate::voters`). In any other case (too many disks lost) it waits, and
//! says so, until an operator vouches that the lost copies are lost for good.
//! What only they held is gone then: an operator decides that, never the system.

use crate::command::Command;
use crate::consts;
use crate::identifiers::VoterSlot;
use crate::protocol::message::{EntryMap, Message, ReplicaCondition};
use crate::random::Random;
use crate::replication::partition::{AfterWrite, Partition, ReplicaStatus};
use crate::replication::replica::keep_whole;
use crate::storage::record::ReplicaState;
use crate::time::Tick;
use crate::voter_set::{VoterGroup, majority, others};

/// Rounds of asking after which a stuck replica raises an alarm.
const LOUD_AFTER: u64 = 40;

/// Time passes for a replica that is not formed.
pub fn wake(
    p: &mut Partition,
    now: Tick,
    g: VoterGroup,
    luck: &mut Random,
    out: &mut Vec<Command>,
) {
    if p.life == ReplicaCondition::Voting || now < p.relearn.ask_at || !p.writes.is_empty() {
        return;
    }
    let r = &mut p.relearn;
    if answered(g, &r.stands) && g.size > 1 {
        r.rounds += 1;
        if r.rounds.is_multiple_of(LOUD_AFTER) {
            let text = format!(
                "part {}: this replica can't relearn, since another is {}; if {} disks are lost, \
                 see the handbook on restoring",
                p.id,
                if r.stands.iter().flatten().any(|s| s.life == ReplicaCondition::Damaged) {
                    "damaged"
                } else {
                    "empty"
                },
                if g.size == 3 { "two" } else { "too many" }
            );
            out.push(Command::Alarm(text));
        }
    }
    // A fresh nonce: only answers to this life and this round count.
    r.nonce = luck.next_u64();
    r.ask_at = now + consts::ASK_AROUND;
    r.stands = vec![None; g.size];
    r.fetch = None;
    for to in others(g) {
        let message = Message::StatusRequest { partition: p.id, nonce: r.nonce };
        out.push(Command::ToVoter { slot: to, message });
    }
    consider(p, now, g, out);
}

/// Whether all others have answered.
fn answered(g: VoterGroup, stands: &[Option<ReplicaStatus>]) -> bool {
    others(g).all(|s| stands.get(usize::from(s)).is_some_and(Option::is_some))
}

/// Whether this is the fleet's first boot: nobody who answered holds anything,
/// and all that have their seats from the beginning did answer. They must be a
/// majority still, or what was accepted since might be held by others alone.
fn first_boot(g: VoterGroup, stands: &[Option<ReplicaStatus>]) -> bool {
    let bare = |s: &ReplicaStatus| {
        s.life == ReplicaCondition::Empty
            || (s.life == ReplicaCondition::Voting
                && s.term == 0
                && s.revision == 0
                && s.promised == 0)
    };
    let first = |s: &VoterSlot| g.firsts >> *s & 1 == 1;
    g.first
        && first(&g.slot)
        && g.firsts.count_ones() as usize >= majority(g.size)
        && stands.iter().flatten().all(bare)
        && others(g).filter(first).all(|s| stands[usize::from(s)].is_some())
}

/// Another replica asks how we stand.
pub fn stand(p: &Partition, from: VoterSlot, nonce: u64, out: &mut Vec<Command>) {
    if p.sick.is_some() {
        return;
    }
    let (promised, term, revision) = (p.copy.promised, p.copy.term, p.copy.revision);
    let message = Message::ReplicaStatus {
        partition: p.id,
        nonce,
        life: p.life,
        promised,
        term,
        revision,
        stamp: 0,
    };
    out.push(Command::ToVoter { slot: from, message });
}

/// A seat that can give its copy gives it.
pub fn give(p: &Partition, from: VoterSlot, nonce: u64, out: &mut Vec<Command>) {
    if !crate::replication::partition::able(p) {
        return;
    }
    let ReplicaState { promised, term, revision, map } = p.copy.clone();
    let message = Message::ReplicaFetched { partition: p.id, nonce, promised, term, revision, map };
    out.push(Command::ToVoter { slot: from, message });
}

/// An answer to our asking.
pub fn stood(
    p: &mut Partition,
    now: Tick,
    (g, from): (VoterGroup, VoterSlot),
    nonce: u64,
    s: ReplicaStatus,
    out: &mut Vec<Command>,
) {
    if p.life == ReplicaCondition::Voting || nonce != p.relearn.nonce || !p.writes.is_empty() {
        return;
    }
    let Some(cell) = p.relearn.stands.get_mut(usize::from(from)) else { return };
    *cell = Some(s);
    consider(p, now, g, out);
}

/// Goes on once enough have answered.
fn consider(p: &mut Partition, now: Tick, g: VoterGroup, out: &mut Vec<Command>) {
    let stands = &p.relearn.stands;
    if p.relearn.fetch.is_some() || stands.len() != g.size {
        return;
    }
    let formed: Vec<(usize, ReplicaStatus)> = stands
        .iter()
        .enumerate()
        .filter_map(|(i, s)| s.filter(|s| s.life == ReplicaCondition::Voting).map(|s| (i, s)))
        .collect();
    let vouched = p.relearn.vouched && answered(g, stands);
    if (p.life == ReplicaCondition::Empty && first_boot(g, stands))
        || (vouched && formed.is_empty())
    {
        p.copy = ReplicaState::default();
        return keep_whole(p, now, vec![AfterWrite::StartVoting], out);
    }
    if formed.len() >= majority(g.size) || vouched {
        let best = formed.iter().max_by_key(|(_, s)| (s.term, s.revision));
        if let Some((slot, _)) = best {
            let nonce = p.relearn.nonce;
            p.relearn.fetch = Some(*slot as VoterSlot);
            p.relearn.ask_at = now + consts::CLAIM_PATIENCE;
            let message = Message::FetchReplica { partition: p.id, nonce };
            out.push(Command::ToVoter { slot: *slot as VoterSlot, message });
        }
    }
}

/// The newest copy has come.
pub fn fetched(
    p: &mut Partition,
    now: Tick,
    from: VoterSlot,
    nonce: u64,
    (promised, at): (u64, (u64, u64)),
    map: EntryMap,
    out: &mut Vec<Command>,
) {
    let r = &p.relearn;
    if p.life == ReplicaCondition::Voting || nonce != r.nonce || r.fetch != Some(from) {
        return;
    }
    let most = r.stands.iter().flatten().map(|s| s.promised).max().unwrap_or(0);
    let least = r.stands.iter().flatten().map(|s| (s.term, s.revision)).max().unwrap_or_default();
    if at < least || !p.writes.is_empty() {
        return;
    }
    crate::control_plane::feed::reseed(p, at.1, &map);
    p.copy = ReplicaState { promised: promised.max(most), term: at.0, revision: at.1, map };
    keep_whole(p, now, vec![AfterWrite::StartVoting], out);
}

/// The first copy is on disk: from here on this replica votes.
pub fn formed(p: &mut Partition, now: Tick, out: &mut Vec<Command>) {
    if p.life != ReplicaCondition::Voting {
        p.life = ReplicaCondition::Voting;
        crate::replication::replica::follow(p, now, None);
        out.push(Command::Alarm(format!("part {}: formed at revision {}", p.id, p.copy.revision)));
    }
}
