//! Heartbeat rounds of a leader.
//!
//! A round is one heartbeat to every other voter. A voter answers it only if it
//! has voted for no higher term. So once a majority, the leader counted, has
//! answered a round, no other leader can have committed anything before that
//! round began, whatever any clock shows. What operators are told rests on such
//! a round, begun after their request came.

use crate::command::Command;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::replication::leader::{HeartbeatRound, Leader};
use crate::replication::partition::Partition;
use crate::replication::timing::{CHECKSUM_INTERVAL, HEARTBEAT_INTERVAL};
use crate::storage::record::checksum;
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::{VoterGroup, majority, others};

/// Least time between the begin of two rounds for waiting operations: so many
/// orders a second cost at most three rounds each 15 ms, and none waits for
/// longer than the round trip that it needs anyway.
const PROOF_GAP: Span = ms(5);
/// Rounds whose begin is remembered (count): at the shortest gap they reach
/// back for a second, beyond which an answer no longer shows that we lead.
const ROUNDS_KEPT: usize = 256;

impl Leader {
    /// A round that is remembered.
    pub fn round_begun(&self, number: u64) -> Option<HeartbeatRound> {
        let first = self.rounds.front()?.number;
        let index = usize::try_from(number.checked_sub(first)?).ok()?;
        self.rounds.get(index).copied()
    }

    /// The last round that a majority, ourselves counted, has answered.
    pub fn proved_round(&self, group: VoterGroup) -> u64 {
        let answered = |slot: VoterSlot| self.answered[usize::from(slot)].number;
        let mut rounds: Vec<u64> = others(group).map(answered).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        match majority(group.size) {
            1 => self.round,
            voters => rounds.get(voters - 2).copied().unwrap_or(0),
        }
    }

    /// The round that the newest of the waiting operations needs; zero if none does.
    fn needed_round(&self) -> u64 {
        let pending = self.pending.iter().map(|operation| operation.round);
        pending.chain(self.waiting_changes.iter().map(|change| change.round)).max().unwrap_or(0)
    }

    /// Whether an operation waits for a round that is not proved yet.
    pub fn needs_proof(&self, group: VoterGroup) -> bool {
        self.needed_round() > self.proved_round(group)
    }
}

impl Partition {
    /// Begins a round now: a heartbeat to every other voter.
    pub fn begin_round(&mut self, now: Tick, group: VoterGroup, commands: &mut Vec<Command>) {
        let (partition, term, revision) = (self.id, self.state.written_term, self.state.revision);
        let Some(leader) = self.leader_mut() else { return };
        leader.round += 1;
        leader.round_began_at = now;
        leader.round_requested = false;
        leader.heartbeat_at = now + HEARTBEAT_INTERVAL;
        leader.rounds.push_back(HeartbeatRound { number: leader.round, began_at: now, revision });
        if leader.rounds.len() > ROUNDS_KEPT {
            leader.rounds.pop_front();
        }
        // Checksums are comparable only when nothing is under way.
        let compares =
            now >= leader.checksum_at && leader.is_serving && leader.committed == revision;
        if compares {
            leader.checksum_at = now + CHECKSUM_INTERVAL;
        }
        let (round, committed) = (leader.round, leader.committed);
        let checksum = if compares { checksum(&self.state.entries) } else { 0 };
        for slot in others(group) {
            let message = Message::Heartbeat { partition, term, round, committed, checksum };
            commands.push(Command::ToVoter { slot, message });
        }
    }

    /// Begins the round that operations wait for, unless one began just now: then
    /// those that come meanwhile share the next.
    pub fn request_round(&mut self, now: Tick, group: VoterGroup, commands: &mut Vec<Command>) {
        let Some(leader) = self.leader_mut() else { return };
        if leader.needed_round() <= leader.round {
            return;
        }
        let past = since(leader.round_began_at, now);
        if past >= PROOF_GAP {
            self.begin_round(now, group, commands);
        } else if !leader.round_requested {
            leader.round_requested = true;
            commands.push(Command::WakeAfter { span: PROOF_GAP - past });
        }
    }
}
