//! A seat as a replica: it grants claims, accepts writes and keeps them.

use crate::command::Command;
use crate::consts;
use crate::identifiers::{Position, Term, VoterSlot};
use crate::protocol::message::{EntryMap, Message};
use crate::replication::partition::{
    AfterWrite, KnownLeader, Partition, Role, Write, able, leader,
};
use crate::storage::record::{LogRecord, ReplicaState, apply};
use crate::time::{Tick, since};
use crate::voter_set::VoterGroup;

/// Sends a record to the disk and hangs `after` on it.
pub fn keep(
    p: &mut Partition,
    now: Tick,
    rec: LogRecord,
    after: Vec<AfterWrite>,
    out: &mut Vec<Command>,
) {
    let token = p.next_token;
    p.next_token += 1;
    p.writes.push_back(Write { token, at: now, after });
    // A rough size is enough: it only decides when to write a slot.
    p.log_bytes += match &rec {
        LogRecord::Vote { .. } => 32,
        LogRecord::Change { entries, .. } => entries
            .iter()
            .map(|(k, v)| 48 + k.len() as u64 + v.as_ref().map_or(0, |v| v.len() as u64))
            .sum(),
    };
    // The map is measured only once the log is long.
    if p.log_bytes > consts::LOG_LIMIT && p.log_bytes > map_len(&p.state.entries) / 2 {
        p.log_bytes = 0;
        out.push(Command::WriteSnapshot { partition: p.id, token, copy: p.state.clone() });
    } else {
        out.push(Command::AppendRecord { partition: p.id, token, rec });
    }
}

/// Sends the whole copy to the disk.
pub fn keep_whole(p: &mut Partition, now: Tick, after: Vec<AfterWrite>, out: &mut Vec<Command>) {
    let token = p.next_token;
    p.next_token += 1;
    p.writes.push_back(Write { token, at: now, after });
    p.log_bytes = 0;
    out.push(Command::WriteSnapshot { partition: p.id, token, copy: p.state.clone() });
}

fn map_len(map: &EntryMap) -> u64 {
    map.iter().map(|(k, v)| (k.len() + v.len()) as u64).sum()
}

/// Sends a message as soon as everything accepted so far is synced.
pub fn after_writes(p: &mut Partition, to: VoterSlot, message: Message, out: &mut Vec<Command>) {
    match p.writes.back_mut() {
        Some(w) => w.after.push(AfterWrite::Send(to, message)),
        None => out.push(Command::ToVoter { slot: to, message }),
    }
}

/// Whether the seat still hears a leader, so that an election would only disturb.
pub fn hears_owner(p: &Partition, now: Tick) -> bool {
    match &p.role {
        Role::Follower { last_heard: heard, leader } => {
            leader.is_some() && since(*heard, now) < consts::OWNER_SILENCE
        }
        Role::Leader(_) => true,
        Role::PreVoting { .. } | Role::Candidate(_) => false,
    }
}

/// Another seat asks whether it would be voted for.
pub fn pre_vote(p: &mut Partition, now: Tick, from: VoterSlot, term: Term, out: &mut Vec<Command>) {
    let yes = able(p) && term > p.state.current_term && !hears_owner(p, now);
    let message = Message::PreVoteResponse {
        partition: p.id,
        term,
        granted: yes,
        current_term: p.state.current_term,
    };
    out.push(Command::ToVoter { slot: from, message });
}

/// Another seat claims the part.
pub fn vote(p: &mut Partition, now: Tick, from: VoterSlot, term: Term, out: &mut Vec<Command>) {
    if !able(p) {
        return;
    }
    if term <= p.state.current_term {
        let message =
            Message::VoteRejected { partition: p.id, term, current_term: p.state.current_term };
        out.push(Command::ToVoter { slot: from, message });
        return;
    }
    resign(p, now, None, out);
    p.unled_since_start = false;
    apply(&mut p.state, &LogRecord::Vote { term });
    let message = Message::VoteGranted {
        partition: p.id,
        term,
        written_term: p.state.written_term,
        revision: p.state.revision,
        stamp: 0,
    };
    keep(p, now, LogRecord::Vote { term }, vec![AfterWrite::Send(from, message)], out);
}

/// Becomes a follower; the one way out of every other role. Those who wait
/// on a leader that resigns are handed back so that they can be told.
pub fn follow(
    p: &mut Partition,
    now: Tick,
    of: Option<KnownLeader>,
) -> Option<Box<crate::replication::partition::Leader>> {
    let old = std::mem::replace(&mut p.role, Role::Follower { last_heard: now, leader: of });
    match old {
        Role::Leader(o) => Some(o),
        _ => None,
    }
}

/// Whether a message of a leader of `term` is to be obeyed; denies if not.
pub fn obey(
    p: &mut Partition,
    now: Tick,
    from: VoterSlot,
    term: Term,
    out: &mut Vec<Command>,
) -> bool {
    if !able(p) {
        // It can't vote or accept, but it still hands requests over.
        if term >= p.state.current_term
            && let Role::Follower { last_heard: heard, leader } = &mut p.role
        {
            *heard = now;
            *leader = Some(KnownLeader { slot: from, term });
        }
        return false;
    }
    if term < p.state.current_term {
        let message =
            Message::VoteRejected { partition: p.id, term, current_term: p.state.current_term };
        out.push(Command::ToVoter { slot: from, message });
        return false;
    }
    p.unled_since_start = false;
    match &mut p.role {
        Role::Follower { last_heard: heard, leader } => {
            *heard = now;
            *leader = Some(KnownLeader { slot: from, term });
        }
        _ => {
            // Our own higher term is promised first, so this one is newer.
            resign(p, now, Some(KnownLeader { slot: from, term }), out);
        }
    }
    true
}

/// Gives up whatever role we had for that of a follower.
pub fn resign(p: &mut Partition, now: Tick, of: Option<KnownLeader>, out: &mut Vec<Command>) {
    if let Some(old) = follow(p, now, of) {
        crate::replication::leader::dismiss(p, *old, out);
    }
}

/// A whole copy from the leader.
pub fn snapshot(
    p: &mut Partition,
    now: Tick,
    from: VoterSlot,
    Position { term, revision }: Position,
    map: EntryMap,
    out: &mut Vec<Command>,
) {
    if !obey(p, now, from, term, out) {
        return;
    }
    let kept = Message::AppendAck { partition: p.id, term, revision, stamp: 0 };
    if p.state.written_term == term && p.state.revision >= revision && !p.suspect {
        return after_writes(p, from, kept, out);
    }
    p.suspect = false;
    let promised = p.state.current_term.max(term);
    crate::control_plane::feed::reseed(p, revision, &map);
    p.state = ReplicaState { current_term: promised, written_term: term, revision, entries: map };
    keep_whole(p, now, vec![AfterWrite::Send(from, kept)], out);
}

/// A change from the leader.
pub fn append(
    p: &mut Partition,
    now: Tick,
    from: VoterSlot,
    rec: LogRecord,
    out: &mut Vec<Command>,
) {
    let LogRecord::Change { term, revision, .. } = &rec else { return };
    let (term, revision) = (*term, *revision);
    if !obey(p, now, from, term, out) {
        return;
    }
    if p.state.written_term == term && p.state.revision >= revision {
        let kept =
            Message::AppendAck { partition: p.id, term, revision: p.state.revision, stamp: 0 };
        return after_writes(p, from, kept, out);
    }
    if !apply(&mut p.state, &rec) {
        out.push(Command::ToVoter {
            slot: from,
            message: Message::SnapshotRequest { partition: p.id, term },
        });
        return;
    }
    if let LogRecord::Change { entries, .. } = &rec {
        p.changes.push_back((revision, entries.clone()));
    }
    let kept = Message::AppendAck { partition: p.id, term, revision, stamp: 0 };
    keep(p, now, rec, vec![AfterWrite::Send(from, kept)], out);
}

/// A heartbeat: the leader lives, and so much is committed.
pub fn heartbeat(
    p: &mut Partition,
    now: Tick,
    from: VoterSlot,
    (term, round): (Term, u64),
    (done, sum): (u64, u64),
    out: &mut Vec<Command>,
) {
    if !obey(p, now, from, term, out) {
        return;
    }
    let same = p.state.written_term == term;
    if same {
        crate::control_plane::feed::show(p, done);
    }
    if same
        && sum != 0
        && p.state.revision == done
        && crate::replication::leader::sum(&p.state.entries) != sum
    {
        out.push(Command::Alarm(format!("part {}: our copy differs from the leader's", p.id)));
        p.suspect = true;
    }
    if !same || p.suspect {
        out.push(Command::ToVoter {
            slot: from,
            message: Message::SnapshotRequest { partition: p.id, term },
        });
    }
    // How far our memory is, and how far our disk: with nothing on its way
    // there they are one. A `Kept` may have been lost, or said under a table of
    // the seats that is no more.
    let revision = if same { p.state.revision } else { 0 };
    let kept = if p.writes.is_empty() && !p.suspect { revision } else { 0 };
    let message =
        Message::HeartbeatAck { partition: p.id, term, round, revision, synced: kept, stamp: 0 };
    out.push(Command::ToVoter { slot: from, message });
}

/// The table of the seats changed: whatever is counted is counted anew.
pub fn moved(p: &mut Partition, now: Tick, g: VoterGroup, moved: &[bool], out: &mut Vec<Command>) {
    let r = &mut p.catch_up;
    (r.statuses, r.fetching_from) = (Vec::new(), None);
    // Answers that are under way were asked for under the old table.
    r.nonce = r.nonce.wrapping_add(1);
    r.ask_at = r.ask_at.min(now + consts::ASK_AROUND);
    let gone = |s: VoterSlot| moved.get(usize::from(s)).is_some_and(|m| *m);
    match &mut p.role {
        Role::Leader(o) if o.synced.len() == g.size => {
            crate::replication::leader::moved(o, now, g, moved)
        }
        Role::Leader(_) => resign(p, now, None, out),
        Role::Follower { leader, .. } => *leader = leader.filter(|leader| !gone(leader.slot)),
        Role::PreVoting { .. } | Role::Candidate(_) => {
            follow(p, now, None);
        }
    }
}

/// Whether the disk has finished nothing for too long. One that is slow and has
/// many writes in line is not stalled.
pub fn stalled(p: &Partition, now: Tick) -> bool {
    p.writes.front().is_some_and(|w| since(w.at.max(p.synced_at), now) > consts::DISK_STALL)
}

/// The disk failed or stalls: step back and say so.
pub fn step_back(p: &mut Partition, now: Tick, why: String, out: &mut Vec<Command>) {
    if p.disk_failure.is_none() {
        out.push(Command::Alarm(format!("part {} steps back: {why}", p.id)));
    }
    p.disk_failure = Some(why);
    p.disk_retry_at = now + consts::ASK_AROUND;
    // What rested on writes that may never be synced must never be said.
    for w in &mut p.writes {
        w.after.retain(|a| matches!(a, AfterWrite::StartVoting));
    }
    if leader(p).is_some() || !matches!(p.role, Role::Follower { .. }) {
        resign(p, now, None, out);
    }
}
