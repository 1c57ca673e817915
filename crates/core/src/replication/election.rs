//! How a seat comes to own a part: sound, promise, gather grants, adopt the
//! newest copy, re-write it under the new epoch, then serve.

use crate::consts;
use crate::control_plane::controller::{Command, Core};
use crate::digest::{hash, pair};
use crate::identifiers::{PartId, Seat};
use crate::protocol::message::{Map, Msg};
use crate::random::{Luck, below};
use crate::replication::leader;
use crate::replication::partition::{After, Candidacy, Part, Role, able};
use crate::replication::replica::{follow, keep, keep_whole};
use crate::storage::record::{Copy, Rec, apply};
use crate::time::{Span, Tick, since};
use crate::voters::voter_set::{Group, majority, others};
use crate::voters::voter_slots::here;

/// The next epoch above `seen` that only this seat uses.
pub fn next_epoch(seen: u64, seat: Seat) -> u64 {
    (seen / consts::EPOCH_STRIDE + 1) * consts::EPOCH_STRIDE + u64::from(seat)
}

/// A seat's rank for a part among those that may lead it: 0 claims first.
/// Spreads the leaders. The leader that fell silent is not waited for.
pub fn rank(id: PartId, g: Group, silent: Option<Seat>) -> u64 {
    let thing = hash(&id.to_string());
    let mine = pair(thing, u64::from(g.seat));
    let before = |s: &Seat| Some(*s) != silent && pair(thing, u64::from(*s)) < mine;
    others(g).filter(before).count() as u64
}

/// How long this seat lets a part be without a leader before it sounds.
///
/// A seat that has just started has nobody to wait for: a part with a leader is
/// not taken from it, since the others who hear that leader say no to a
/// pre-vote. So it asks soon, and all that restart together are served soon.
fn patience(p: &Part, g: Group, luck: &mut Luck) -> Span {
    if p.fresh {
        return consts::OWNER_BOOT
            + rank(p.id, g, None) * consts::CLAIM_BOOT_STAGGER
            + below(luck, consts::CLAIM_BOOT_STAGGER / 2);
    }
    let silent = match &p.role {
        Role::Follower { leader: Some((seat, _)), .. } => Some(*seat),
        _ => None,
    };
    consts::OWNER_SILENCE
        + rank(p.id, g, silent) * consts::CLAIM_STAGGER
        + below(luck, consts::CLAIM_JITTER)
}

/// Time passes for a seat that does not own the part.
pub fn wake(p: &mut Part, now: Tick, g: Group, luck: &mut Luck, out: &mut Vec<Command>) {
    if !able(p) {
        return;
    }
    match &p.role {
        Role::Follower { heard, .. } if since(*heard, now) >= patience(p, g, luck) => {
            let epoch = next_epoch(p.copy.promised, g.seat);
            start_pre_vote(p, now, g, epoch, out);
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
fn start_pre_vote(p: &mut Part, now: Tick, g: Group, epoch: u64, out: &mut Vec<Command>) {
    let mut yes = vec![false; g.size];
    yes[usize::from(g.seat)] = true;
    p.role = Role::PreVoting { epoch, yes, until: now + consts::CLAIM_PATIENCE };
    for to in others(g) {
        out.push(Command::ToSeat { seat: to, msg: Msg::PreVoteRequest { part: p.id, epoch } });
    }
    if majority(g.size) == 1 {
        start_election(p, now, g, epoch, out);
    }
}

/// An answer to a pre-vote.
pub fn pre_vote_answered(
    p: &mut Part,
    now: Tick,
    (g, from): (Group, Seat),
    epoch: u64,
    (yes, promised): (bool, u64),
    out: &mut Vec<Command>,
) {
    let Role::PreVoting { epoch: ours, yes: all, .. } = &mut p.role else { return };
    if *ours != epoch {
        return;
    }
    if promised >= epoch {
        // Somebody is further than we knew; sound again above that.
        let epoch = next_epoch(promised, g.seat);
        return start_pre_vote(p, now, g, epoch, out);
    }
    all[usize::from(from)] = yes;
    if all.iter().filter(|y| **y).count() >= majority(g.size) {
        start_election(p, now, g, epoch, out);
    }
}

/// Promises to ourselves first; the others are asked once that is synced.
pub fn start_election(p: &mut Part, now: Tick, g: Group, epoch: u64, out: &mut Vec<Command>) {
    if epoch <= p.copy.promised || !able(p) {
        follow(p, now, None);
        return;
    }
    apply(&mut p.copy, &Rec::Promise { epoch });
    p.role = Role::Candidate(Candidacy {
        epoch,
        grants: vec![None; g.size],
        fetch: None,
        until: now + consts::CLAIM_PATIENCE,
    });
    keep(p, now, Rec::Promise { epoch }, vec![After::OwnPromise { epoch }], out);
}

/// Our own promise is synced: ask the others.
pub fn own_vote_synced(p: &mut Part, now: Tick, g: Group, epoch: u64, out: &mut Vec<Command>) {
    let here = (p.copy.epoch, p.copy.rev);
    let Role::Candidate(c) = &mut p.role else { return };
    if c.epoch != epoch {
        return;
    }
    c.grants[usize::from(g.seat)] = Some(here);
    for to in others(g) {
        out.push(Command::ToSeat { seat: to, msg: Msg::VoteRequest { part: p.id, epoch } });
    }
    gathered(p, now, g, epoch, out);
}

/// A seat voted for us, with the place of its copy.
pub fn vote_granted(
    p: &mut Part,
    now: Tick,
    (g, from): (Group, Seat),
    epoch: u64,
    at: (u64, u64),
    out: &mut Vec<Command>,
) {
    let Role::Candidate(c) = &mut p.role else { return };
    if c.epoch != epoch || c.fetch.is_some() {
        return;
    }
    c.grants[usize::from(from)] = Some(at);
    gathered(p, now, g, epoch, out);
}

/// Goes on once a majority has granted.
fn gathered(p: &mut Part, now: Tick, g: Group, epoch: u64, out: &mut Vec<Command>) {
    let Role::Candidate(c) = &mut p.role else { return };
    let list: Vec<(Seat, (u64, u64))> =
        c.grants.iter().enumerate().filter_map(|(s, g)| g.map(|g| (s as Seat, g))).collect();
    if list.len() < majority(g.size) {
        return;
    }
    let own = (p.copy.epoch, p.copy.rev);
    match list.iter().max_by_key(|(_, at)| *at) {
        Some((best, at)) if *at > own && *best != g.seat => {
            c.fetch = Some(*best);
            c.until = now + consts::CLAIM_PATIENCE;
            let msg = Msg::FetchReplica { part: p.id, nonce: epoch };
            out.push(Command::ToSeat { seat: *best, msg });
        }
        _ => adopt(p, now, g, epoch, out),
    }
}

/// The newest copy has come.
pub fn fetched(
    p: &mut Part,
    now: Tick,
    (g, from): (Group, Seat),
    nonce: u64,
    at: (u64, u64),
    map: Map,
    out: &mut Vec<Command>,
) {
    let Role::Candidate(c) = &p.role else { return };
    let (epoch, known) = (c.epoch, c.grants[usize::from(from)]);
    if epoch != nonce || c.fetch != Some(from) || known.is_none_or(|k| at < k) {
        return;
    }
    if at.0 > epoch {
        // Somebody with a higher epoch wrote there meanwhile.
        follow(p, now, None);
        return;
    }
    let promised = p.copy.promised;
    crate::control_plane::feed::reseed(p, at.1, &map);
    p.copy = Copy { promised, epoch: at.0, rev: at.1, map };
    adopt(p, now, g, epoch, out);
}

/// Re-writes the adopted copy under our epoch. We serve once a majority,
/// ourselves or not, has synced that.
fn adopt(p: &mut Part, now: Tick, g: Group, epoch: u64, out: &mut Vec<Command>) {
    p.copy.epoch = epoch;
    let rev = p.copy.rev;
    p.role = Role::Leader(Box::new(leader::fresh(g, epoch, now)));
    keep_whole(p, now, vec![After::OwnKept { epoch, rev }], out);
}

/// A denial: a higher epoch was promised somewhere.
pub fn vote_rejected(
    p: &mut Part,
    now: Tick,
    g: Group,
    epoch: u64,
    promised: u64,
    out: &mut Vec<Command>,
) {
    match &p.role {
        Role::Candidate(c) if c.epoch == epoch => {
            follow(p, now, None);
        }
        // A seat promised a term in which nobody came to lead. It would refuse us
        // for ever; if most still follow us we stand for election again above it.
        Role::Leader(o) if o.epoch == epoch => {
            let live = leader::answering(o, g, now);
            crate::replication::replica::resign(p, now, None, out);
            if live {
                start_election(p, now, g, next_epoch(promised.max(p.copy.promised), g.seat), out);
            }
        }
        _ => {}
    }
}

/// Gives up all partitions, each to the follower whose copy is furthest.
pub fn transfer_all(core: &mut Core, now: Tick, out: &mut Vec<Command>) {
    let group = here(core);
    for p in &mut core.parts {
        let successor = successor(p, group);
        let (part, term) = (p.id, p.copy.promised);
        crate::replication::replica::resign(p, now, None, out);
        if let Some(seat) = successor {
            out.push(Command::ToSeat { seat, msg: Msg::LeadershipTransfer { part, term } });
        }
    }
}

/// Who should lead after us, if we lead: the follower that has synced most.
fn successor(p: &Part, g: Group) -> Option<Seat> {
    let Role::Leader(o) = &p.role else { return None };
    let synced = |s: &Seat| o.kept[usize::from(*s)];
    others(g).filter(|s| synced(s).is_some()).max_by_key(synced)
}

/// The leader that we follow steps down in our favour. The others would not
/// grant a pre-vote, since they heard it a moment ago; a vote they grant.
pub fn transferred(
    p: &mut Part,
    now: Tick,
    g: Group,
    from: Seat,
    term: u64,
    out: &mut Vec<Command>,
) {
    let follows =
        matches!(p.role, Role::Follower { leader: Some(leader), .. } if leader == (from, term));
    if follows && p.copy.promised == term {
        start_election(p, now, g, next_epoch(term, g.seat), out);
    }
}
