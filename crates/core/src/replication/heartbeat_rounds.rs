//! Heartbeat rounds of a leader.
//!
//! A round is one heartbeat to every other voter. A voter answers it only if it
//! has promised no higher term. So once a majority, the leader counted, has
//! answered a round, no other leader can have committed anything before that
//! round began, whatever any clock shows. What operators are told rests on such
//! a round, begun after their request came.

use crate::command::Command;
use crate::consts;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::replication::leader::sum;
use crate::replication::partition::{Leader, Partition, leader};
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::{VoterGroup, majority, others};

/// Least time between the begin of two rounds for waiting operations: so many
/// orders a second cost at most three rounds each 15 ms, and none waits for
/// longer than the round trip that it needs anyway.
const PROOF_GAP: Span = ms(5);
/// Rounds whose begin is remembered (count): at the shortest gap they reach
/// back for a second, beyond which an answer no longer shows that we lead.
const ROUNDS_KEPT: usize = 256;

/// Begins a round now: a heartbeat to every other voter.
pub fn begin(p: &mut Partition, now: Tick, g: VoterGroup, out: &mut Vec<Command>) {
    let (partition, term, revision) = (p.id, p.state.written_term, p.state.revision);
    let Some(o) = leader(p) else { return };
    o.round += 1;
    o.round_began_at = now;
    o.round_requested = false;
    o.heartbeat_at = now + consts::OWNER_BEAT;
    o.rounds.push_back((o.round, now, revision));
    if o.rounds.len() > ROUNDS_KEPT {
        o.rounds.pop_front();
    }
    // Sums are comparable only when nothing is under way.
    let sweeps = now >= o.checksum_at && o.is_serving && o.committed == revision;
    if sweeps {
        o.checksum_at = now + consts::SWEEP;
    }
    let (round, done) = (o.round, o.committed);
    let sum = if sweeps { sum(&p.state.entries) } else { 0 };
    for to in others(g) {
        let message = Message::Heartbeat { partition, term, round, committed: done, checksum: sum };
        out.push(Command::ToVoter { slot: to, message });
    }
}

/// When a round began, and our revision then, if it is remembered.
pub fn begun(o: &Leader, round: u64) -> Option<(Tick, u64)> {
    let first = o.rounds.front()?.0;
    let at = usize::try_from(round.checked_sub(first)?).ok()?;
    o.rounds.get(at).map(|(_, began, revision)| (*began, *revision))
}

/// The last round that a majority, ourselves counted, has answered.
pub fn proved(o: &Leader, g: VoterGroup) -> u64 {
    let answered = |slot: VoterSlot| o.answered[usize::from(slot)].0;
    let mut rounds: Vec<u64> = others(g).map(answered).collect();
    rounds.sort_unstable_by(|a, b| b.cmp(a));
    match majority(g.size) {
        1 => o.round,
        n => rounds.get(n - 2).copied().unwrap_or(0),
    }
}

/// The round that the newest of the waiting operations needs; zero if none does.
fn needed(o: &Leader) -> u64 {
    let pending = o.pending.iter().map(|operation| operation.round);
    pending.chain(o.waiting_changes.iter().map(|wait| wait.round)).max().unwrap_or(0)
}

/// Whether an operation waits for a round that is not proved yet.
pub fn unproved(o: &Leader, g: VoterGroup) -> bool {
    needed(o) > proved(o, g)
}

/// Begins the round that operations wait for, unless one began just now: then
/// those that come meanwhile share the next.
pub fn request(p: &mut Partition, now: Tick, g: VoterGroup, out: &mut Vec<Command>) {
    let Some(o) = leader(p) else { return };
    if needed(o) <= o.round {
        return;
    }
    let past = since(o.round_began_at, now);
    if past >= PROOF_GAP {
        begin(p, now, g, out);
    } else if !o.round_requested {
        o.round_requested = true;
        out.push(Command::WakeAfter { span: PROOF_GAP - past });
    }
}
