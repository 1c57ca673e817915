//! A seat as the leader of a part: it alone changes it, under its term.

use std::collections::{BTreeMap, VecDeque};

use crate::command::Command;
use crate::config::stored::Entry;
use crate::consts;
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::message::{EntryMap, MembershipId, Message, OperationResult};
use crate::replication::partition::{
    AfterWrite, Leader, OperationOrigin, Partition, Role, Sender, Waiting, leader,
};
use crate::replication::replica::{keep, resign};
use crate::replication::{heartbeat_rounds, pending_operations};
use crate::storage::record::{LogRecord, apply};
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::{VoterGroup, majority, others};

/// Time after which a round that operations wait for is begun anew: a message
/// of it was lost, and the next heartbeat is four times as far.
const PROOF_RETRY: Span = ms(50);

/// A leader that has adopted the newest copy and not yet re-written it.
pub fn fresh(g: VoterGroup, term: Term, now: Tick) -> Leader {
    Leader {
        term,
        since: now,
        is_serving: false,
        synced: vec![None; g.size],
        committed: 0,
        snapshot_sent_at: vec![None; g.size],
        round: 0,
        valid_after: 0,
        heartbeat_at: now,
        round_began_at: now,
        round_requested: false,
        checksum_at: now + consts::SWEEP,
        rounds: VecDeque::new(),
        answered: vec![(0, now); g.size],
        obeyed_up_to: 0,
        acceptance_check_at: now,
        lagging_members: Vec::new(),
        waiting_changes: Vec::new(),
        pending: Vec::new(),
        proved_status: Vec::new(),
        absent_leafs: BTreeMap::new(),
        first_seen: BTreeMap::new(),
        ages_at: now,
        fence: MembershipId::default(),
    }
}

/// Whether a majority, with ourselves, answered our heartbeats lately.
pub fn answering(o: &Leader, g: VoterGroup, now: Tick) -> bool {
    let live = others(g)
        .filter(|s| since(o.answered[usize::from(*s)].1, now) < consts::OWNER_GRIP)
        .count();
    live + 1 >= majority(g.size)
}

/// A checksum of a map, for the sweep.
pub fn sum(map: &EntryMap) -> u64 {
    let mut hash = crc32fast::Hasher::new();
    for (key, val) in map {
        hash.update(key.as_bytes());
        hash.update(&(val.len() as u32).to_le_bytes());
        hash.update(val);
    }
    u64::from(hash.finalize()) << 1 | 1
}

/// The table of the seats changed: what was counted under the old one counts
/// no more. Who is still there says with the next heartbeat how far it is; only who
/// is new needs the whole.
pub fn moved(o: &mut Leader, now: Tick, g: VoterGroup, moved: &[bool]) {
    for (s, moved) in moved.iter().enumerate() {
        if s == usize::from(g.slot) {
            continue;
        }
        o.synced[s] = None;
        o.snapshot_sent_at[s] = (!moved).then_some(now);
        o.answered[s] = (0, if *moved { 0 } else { o.answered[s].1 });
    }
    // A round that began before must not prove anything now.
    o.since = now;
    o.rounds.clear();
    o.valid_after = o.round;
}

/// Time passes for the leader: heartbeats, re-sending, patience with operators.
pub fn wake(p: &mut Partition, now: Tick, g: VoterGroup, out: &mut Vec<Command>) {
    let id = p.id;
    let Some(o) = leader(p) else { return };
    if !answering(o, g, now) {
        out.push(Command::Alarm(format!("part {id}: no majority answers, ownership given up")));
        return resign(p, now, None, out);
    }
    let retry = heartbeat_rounds::unproved(o, g) && since(o.round_began_at, now) >= PROOF_RETRY;
    let due = now >= o.heartbeat_at || retry;
    let lag: Vec<VoterSlot> = others(g)
        .filter(|s| {
            let s = usize::from(*s);
            // Asked for a whole copy too long ago, or never sent one at all.
            o.synced[s].is_none()
                && o.snapshot_sent_at[s].is_none_or(|t| since(t, now) > consts::CLAIM_PATIENCE)
        })
        .collect();
    if due {
        heartbeat_rounds::begin(p, now, g, out);
    }
    for to in lag {
        send_whole(p, now, to, out);
    }
    crate::control_plane::endpoints::grow(p, now, g, out);
    heartbeat_rounds::request(p, now, g, out);
    settle(p, now, g, out);
}

/// Sends the whole copy to a seat.
pub fn send_whole(p: &mut Partition, now: Tick, to: VoterSlot, out: &mut Vec<Command>) {
    let (term, revision, map) = (p.state.written_term, p.state.revision, p.state.entries.clone());
    let id = p.id;
    let Some(o) = leader(p) else { return };
    o.snapshot_sent_at[usize::from(to)] = Some(now);
    out.push(Command::ToVoter {
        slot: to,
        message: Message::Snapshot { partition: id, term, revision, entries: map },
    });
}

/// A seat can't follow our changes.
pub fn snapshot_requested(
    p: &mut Partition,
    now: Tick,
    from: VoterSlot,
    term: Term,
    out: &mut Vec<Command>,
) {
    let Some(o) = leader(p) else { return };
    let sent = o.snapshot_sent_at[usize::from(from)];
    if o.term == term && sent.is_none_or(|t| since(t, now) > consts::CLAIM_PATIENCE) {
        o.synced[usize::from(from)] = None;
        send_whole(p, now, from, out);
    }
}

/// A seat answered a heartbeat.
pub fn heartbeat_acked(
    p: &mut Partition,
    now: Tick,
    from: Sender,
    (term, round): (Term, u64),
    (revision, safe): (u64, u64),
    out: &mut Vec<Command>,
) {
    let id = p.id;
    let Role::Leader(o) = &mut p.role else { return };
    if o.term != term || round > o.round || round <= o.valid_after {
        return;
    }
    let (at, head) = heartbeat_rounds::begun(o, round).unwrap_or((o.since, 0));
    let last = &mut o.answered[usize::from(from.slot)];
    if round > last.0 {
        *last = (round, at.max(last.1));
    }
    // What we sent before this heartbeat has not come: it was lost on the way.
    if revision < head && o.synced[usize::from(from.slot)].is_some() {
        let next = p.changes.iter().filter(|(r, _)| *r > revision);
        if next.clone().next().is_some_and(|(r, _)| *r == revision + 1) {
            for (revision, entries) in next {
                let (revision, entries) = (*revision, entries.clone());
                let message = Message::Append { partition: id, term, revision, entries };
                out.push(Command::ToVoter { slot: from.slot, message });
            }
        } else {
            snapshot_requested(p, now, from.slot, term, out);
        }
    }
    if safe > 0 {
        return append_acked(p, now, from, term, safe, out);
    }
    settle(p, now, from.group, out);
}

/// A seat (or we ourselves) synced a revision of our term.
pub fn append_acked(
    p: &mut Partition,
    now: Tick,
    from: Sender,
    term: Term,
    revision: u64,
    out: &mut Vec<Command>,
) {
    let head = p.state.revision;
    let Some(o) = leader(p) else { return };
    if o.term != term || revision > head {
        return;
    }
    let cell = &mut o.synced[usize::from(from.slot)];
    *cell = Some(cell.map_or(revision, |c| c.max(revision)));
    let mut all: Vec<u64> = o.synced.iter().flatten().copied().collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    if let Some(done) = all.get(majority(from.group.size) - 1).copied() {
        let first = !o.is_serving;
        o.is_serving = true;
        if first || done > o.committed {
            o.committed = done;
            crate::control_plane::feed::show(p, done);
        }
    }
    settle(p, now, from.group, out);
}

/// Changes the part. The caller has checked that we serve.
pub fn change(
    p: &mut Partition,
    now: Tick,
    g: VoterGroup,
    entries: Vec<Entry>,
    out: &mut Vec<Command>,
) {
    let (term, revision) = (p.state.written_term, p.state.revision + 1);
    let rec = LogRecord::Change { term, revision, entries: entries.clone() };
    if !apply(&mut p.state, &rec) {
        return;
    }
    p.changes.push_back((revision, entries.clone()));
    for to in others(g) {
        let message = Message::Append { partition: p.id, term, revision, entries: entries.clone() };
        out.push(Command::ToVoter { slot: to, message });
    }
    keep(p, now, rec, vec![AfterWrite::OwnAppendSynced { term, revision }], out);
}

/// An operator waits for a new change of ours.
pub fn wait(p: &mut Partition, now: Tick, op: OperationOrigin, revision: u64, until_obeyed: bool) {
    if let Some(o) = leader(p) {
        let until = now + consts::OWNER_PATIENCE;
        let (again, round) = (false, 0);
        o.waiting_changes.push(Waiting {
            revision,
            op,
            again,
            round,
            until_obeyed,
            done_at: None,
            until,
        });
    }
}

/// An operator waits to hear that a change which was made before stands.
pub fn wait_again(
    p: &mut Partition,
    now: Tick,
    op: OperationOrigin,
    revision: u64,
    until_obeyed: bool,
) {
    if let Some(o) = leader(p) {
        let until = now + consts::OWNER_PATIENCE;
        let (again, round) = (true, o.round + 1);
        o.waiting_changes.push(Waiting {
            revision,
            op,
            again,
            round,
            until_obeyed,
            done_at: None,
            until,
        });
    }
}

/// The revision up to which a waiting change counts as accepted.
fn accepted_up_to(o: &Leader, w: &Waiting) -> u64 {
    if w.until_obeyed { o.committed.min(o.obeyed_up_to) } else { o.committed }
}

/// Tells those operators whose outcome is known.
pub fn settle(p: &mut Partition, now: Tick, g: VoterGroup, out: &mut Vec<Command>) {
    let Role::Leader(o) = &mut p.role else { return };
    let proved = heartbeat_rounds::proved(o, g);
    let waits = std::mem::take(&mut o.waiting_changes);
    let mut left = Vec::with_capacity(waits.len());
    for mut w in waits {
        if w.revision <= accepted_up_to(o, &w) && proved >= w.round {
            let at = *w.done_at.get_or_insert(now);
            let copies = o.synced.iter().flatten().filter(|k| **k >= w.revision).count() as u32;
            if copies < g.taken.count_ones() && since(at, now) < consts::THIRD_WAIT {
                left.push(w);
                continue;
            }
            tell(
                w.op,
                OperationResult::Accepted { revision: w.revision, copies, again: w.again },
                out,
            );
        } else if now >= w.until {
            tell(w.op, OperationResult::Unknown { why: overdue(o, &w) }, out);
        } else {
            left.push(w);
        }
    }
    o.waiting_changes = left;
    pending_operations::settle(p, now, g, out);
}

/// Why a change has no outcome when the patience with it ends.
fn overdue(o: &Leader, w: &Waiting) -> String {
    if w.revision > o.committed {
        "no majority synced the change in time".to_string()
    } else if w.revision > accepted_up_to(o, w) {
        format!("synced, but not obeyed yet by {}", o.lagging_members.join(", "))
    } else {
        "the change stands, but no majority proved in time who leads now".to_string()
    }
}

/// Sends an outcome to where the request came from.
pub fn tell(op: OperationOrigin, done: OperationResult, out: &mut Vec<Command>) {
    out.push(match op.slot {
        None => Command::OwnResponse { op: op.op, attempt: op.attempt, done },
        Some(slot) => {
            let message = Message::OperationResponse { op: op.op, attempt: op.attempt, done };
            Command::ToVoter { slot, message }
        }
    });
}

/// A leader that has been dismissed: what it had not proved is unknown, and
/// what it had only judged has not been done.
pub fn dismiss(_p: &Partition, old: Leader, out: &mut Vec<Command>) {
    for w in &old.waiting_changes {
        let done = if w.revision <= accepted_up_to(&old, w) && !w.again {
            let copies = majority(old.synced.len()) as u32;
            OperationResult::Accepted { revision: w.revision, copies, again: w.again }
        } else {
            OperationResult::Unknown {
                why: "the leader changed while the change was on its way".into(),
            }
        };
        tell(w.op, done, out);
    }
    pending_operations::dismiss(old, out);
}
