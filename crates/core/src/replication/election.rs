//! How a seat comes to own a part: sound, promise, gather grants, adopt the
//! newest copy, re-write it under the new term, then serve.

use crate::command::Command;
use crate::consts;
use crate::control_plane::controller::ControllerState;
use crate::digest::{hash, pair};
use crate::identifiers::{PartitionId, VoterSlot};
use crate::protocol::message::{EntryMap, Message};
use crate::random::Random;
use crate::replication::leader;
use crate::replication::partition::{AfterWrite, Candidacy, Partition, Role, able};
use crate::replication::replica::{follow, keep, keep_whole};
use crate::storage::record::{LogRecord, ReplicaState, apply};
use crate::time::{Span, Tick, since};
use crate::voter_set::{VoterGroup, majority, others};
use crate::voters::voter_slots::here;

/// The next term above `seen` that only this seat uses.
pub fn next_epoch(seen: u64, slot: VoterSlot) -> u64 {
    (seen / consts::EPOCH_STRIDE + 1) * consts::EPOCH_STRIDE + u64::from(slot)
}

/// A seat's rank for a part among those that may lead it: 0 claims first.
/// Spreads the leaders. The leader that fell silent is not waited for.
pub fn rank(id: PartitionId, g: VoterGroup, silent: Option<VoterSlot>) -> u64 {
    let thing = hash(&id.to_string());
    let mine = pair(thing, u64::from(g.slot));
    let before = |s: &VoterSlot| Some(*s) != silent && pair(thing, u64::from(*s)) < mine;
    others(g).filter(before).count() as u64
}

/// How long this seat lets a part be without a leader before it sounds.
///
/// A seat that has just started has nobody to wait for: a part with a leader is
/// not taken from it, since the others who hear that leader say no to a
/// pre-vote. So it asks soon, and all that restart together are served soon.
fn patience(p: &Partition, g: VoterGroup, luck: &mut Random) -> Span {
    if p.fresh {
        return consts::OWNER_BOOT
            + rank(p.id, g, None) * consts::CLAIM_BOOT_STAGGER
            + luck.below(consts::CLAIM_BOOT_STAGGER / 2);
    }
    let silent = match &p.role {
        Role::Follower { leader: Some((slot, _)), .. } => Some(*slot),
        _ => None,
    };
    consts::OWNER_SILENCE
        + rank(p.id, g, silent) * consts::CLAIM_STAGGER
        + luck.below(consts::CLAIM_JITTER)
}

/// Time passes for a seat that does not own the part.
pub fn wake(
    p: &mut Partition,
    now: Tick,
    g: VoterGroup,
    luck: &mut Random,
    out: &mut Vec<Command>,
) {
    if !able(p) {
        return;
    }
    match &p.role {
        Role::Follower { heard, .. } if since(*heard, now) >= patience(p, g, luck) => {
            let term = next_epoch(p.copy.promised, g.slot);
            start_pre_vote(p, now, g, term, out);
        }
        Role::PreVoting { until, .. } if now >= *until => {
            follow(p, now, None);
        }
        Role::Candidate(c) if now >= c.until => {
            follow(p, now, None);
        }
        _ => {}
    }
}

/// Asks the others whether they would grant.
fn start_pre_vote(p: &mut Partition, now: Tick, g: VoterGroup, term: u64, out: &mut Vec<Command>) {
    let mut yes = vec![false; g.size];
    yes[usize::from(g.slot)] = true;
    p.role = Role::PreVoting { term, yes, until: now + consts::CLAIM_PATIENCE };
    for to in others(g) {
        out.push(Command::ToVoter {
            slot: to,
            message: Message::PreVoteRequest { partition: p.id, term },
        });
    }
    if majority(g.size) == 1 {
        start_election(p, now, g, term, out);
    }
}

/// An answer to a pre-vote.
pub fn pre_vote_answered(
    p: &mut Partition,
    now: Tick,
    (g, from): (VoterGroup, VoterSlot),
    term: u64,
    (yes, promised): (bool, u64),
    out: &mut Vec<Command>,
) {
    let Role::PreVoting { term: ours, yes: all, .. } = &mut p.role else { return };
    if *ours != term {
        return;
    }
    if promised >= term {
        // Somebody is further than we knew; sound again above that.
        let term = next_epoch(promised, g.slot);
        return start_pre_vote(p, now, g, term, out);
    }
    all[usize::from(from)] = yes;
    if all.iter().filter(|y| **y).count() >= majority(g.size) {
        start_election(p, now, g, term, out);
    }
}

/// Promises to ourselves first; the others are asked once that is synced.
pub fn start_election(
    p: &mut Partition,
    now: Tick,
    g: VoterGroup,
    term: u64,
    out: &mut Vec<Command>,
) {
    if term <= p.copy.promised || !able(p) {
        follow(p, now, None);
        return;
    }
    apply(&mut p.copy, &LogRecord::Vote { term });
    p.role = Role::Candidate(Candidacy {
        term,
        grants: vec![None; g.size],
        fetch: None,
        until: now + consts::CLAIM_PATIENCE,
    });
    keep(p, now, LogRecord::Vote { term }, vec![AfterWrite::OwnVoteSynced { term }], out);
}

/// Our own promise is synced: ask the others.
pub fn own_vote_synced(
    p: &mut Partition,
    now: Tick,
    g: VoterGroup,
    term: u64,
    out: &mut Vec<Command>,
) {
    let here = (p.copy.term, p.copy.revision);
    let Role::Candidate(c) = &mut p.role else { return };
    if c.term != term {
        return;
    }
    c.grants[usize::from(g.slot)] = Some(here);
    for to in others(g) {
        out.push(Command::ToVoter {
            slot: to,
            message: Message::VoteRequest { partition: p.id, term },
        });
    }
    gathered(p, now, g, term, out);
}

/// A seat voted for us, with the place of its copy.
pub fn vote_granted(
    p: &mut Partition,
    now: Tick,
    (g, from): (VoterGroup, VoterSlot),
    term: u64,
    at: (u64, u64),
    out: &mut Vec<Command>,
) {
    let Role::Candidate(c) = &mut p.role else { return };
    if c.term != term || c.fetch.is_some() {
        return;
    }
    c.grants[usize::from(from)] = Some(at);
    gathered(p, now, g, term, out);
}

/// Goes on once a majority has granted.
fn gathered(p: &mut Partition, now: Tick, g: VoterGroup, term: u64, out: &mut Vec<Command>) {
    let Role::Candidate(c) = &mut p.role else { return };
    let list: Vec<(VoterSlot, (u64, u64))> =
        c.grants.iter().enumerate().filter_map(|(s, g)| g.map(|g| (s as VoterSlot, g))).collect();
    if list.len() < majority(g.size) {
        return;
    }
    let own = (p.copy.term, p.copy.revision);
    match list.iter().max_by_key(|(_, at)| *at) {
        Some((best, at)) if *at > own && *best != g.slot => {
            c.fetch = Some(*best);
            c.until = now + consts::CLAIM_PATIENCE;
            let message = Message::FetchReplica { partition: p.id, nonce: term };
            out.push(Command::ToVoter { slot: *best, message });
        }
        _ => adopt(p, now, g, term, out),
    }
}

/// The newest copy has come.
pub fn fetched(
    p: &mut Partition,
    now: Tick,
    (g, from): (VoterGroup, VoterSlot),
    nonce: u64,
    at: (u64, u64),
    map: EntryMap,
    out: &mut Vec<Command>,
) {
    let Role::Candidate(c) = &p.role else { return };
    let (term, known) = (c.term, c.grants[usize::from(from)]);
    if term != nonce || c.fetch != Some(from) || known.is_none_or(|k| at < k) {
        return;
    }
    if at.0 > term {
        // Somebody with a higher term wrote there meanwhile.
        follow(p, now, None);
        return;
    }
    let promised = p.copy.promised;
    crate::control_plane::feed::reseed(p, at.1, &map);
    p.copy = ReplicaState { promised, term: at.0, revision: at.1, map };
    adopt(p, now, g, term, out);
}

/// Re-writes the adopted copy under our term. We serve once a majority,
/// ourselves or not, has synced that.
fn adopt(p: &mut Partition, now: Tick, g: VoterGroup, term: u64, out: &mut Vec<Command>) {
    p.copy.term = term;
    let revision = p.copy.revision;
    p.role = Role::Leader(Box::new(leader::fresh(g, term, now)));
    keep_whole(p, now, vec![AfterWrite::OwnAppendSynced { term, revision }], out);
}

/// A denial: a higher term was promised somewhere.
pub fn vote_rejected(
    p: &mut Partition,
    now: Tick,
    g: VoterGroup,
    term: u64,
    promised: u64,
    out: &mut Vec<Command>,
) {
    match &p.role {
        Role::Candidate(c) if c.term == term => {
            follow(p, now, None);
        }
        // A seat promised a term in which nobody came to lead. It would refuse us
        // for ever; if most still follow us we stand for election again above it.
        Role::Leader(o) if o.term == term => {
            let live = leader::answering(o, g, now);
            crate::replication::replica::resign(p, now, None, out);
            if live {
                start_election(p, now, g, next_epoch(promised.max(p.copy.promised), g.slot), out);
            }
        }
        _ => {}
    }
}

/// Gives up all partitions, each to the follower whose copy is furthest.
pub fn transfer_all(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    let group = here(core);
    for p in &mut core.partitions {
        let successor = successor(p, group);
        let (partition, term) = (p.id, p.copy.promised);
        crate::replication::replica::resign(p, now, None, out);
        if let Some(slot) = successor {
            out.push(Command::ToVoter {
                slot,
                message: Message::LeadershipTransfer { partition, term },
            });
        }
    }
}

/// Who should lead after us, if we lead: the follower that has synced most.
fn successor(p: &Partition, g: VoterGroup) -> Option<VoterSlot> {
    let Role::Leader(o) = &p.role else { return None };
    let synced = |s: &VoterSlot| o.kept[usize::from(*s)];
    others(g).filter(|s| synced(s).is_some()).max_by_key(synced)
}

/// The leader that we follow steps down in our favour. The others would not
/// grant a pre-vote, since they heard it a moment ago; a vote they grant.
pub fn transferred(
    p: &mut Partition,
    now: Tick,
    g: VoterGroup,
    from: VoterSlot,
    term: u64,
    out: &mut Vec<Command>,
) {
    let follows =
        matches!(p.role, Role::Follower { leader: Some(leader), .. } if leader == (from, term));
    if follows && p.copy.promised == term {
        start_election(p, now, g, next_epoch(term, g.slot), out);
    }
}
