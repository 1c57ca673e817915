//! Heartbeat rounds of a leader.
//!
//! A round is one heartbeat to every other voter. A voter acknowledges it only if it has not
//! voted in a higher term. Once a majority, including the leader, has acknowledged a round, no
//! other leader can have committed anything before that round began, regardless of any clock.
//! The response to an operator depends on such a round that began after the request arrived,
//! like a linearizable read with `ReadIndex` in Raft.

use crate::command::Command;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::replication::leader::{HeartbeatRound, Leader};
use crate::replication::partition::Partition;
use crate::replication::timing::{CHECKSUM_INTERVAL, HEARTBEAT_INTERVAL};
use crate::storage::record::checksum;
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::{VoterGroup, majority, other_voters};

/// Minimum time between two rounds for waiting operations. It limits a high rate of operations
/// to three rounds per 15 ms, and makes none wait for longer than the round trip that it needs
/// anyway.
const MIN_ROUND_GAP: Span = ms(5);
/// Recent rounds that are kept (count). At the minimum gap they span about a second; an
/// acknowledgement of an older round no longer confirms the leadership.
const ROUNDS_KEPT: usize = 256;

impl Leader {
    /// Returns a recent round by its number, or `None` if it is no longer kept.
    pub fn find_round(&self, number: u64) -> Option<HeartbeatRound> {
        let first = self.rounds.front()?.number;
        let index = usize::try_from(number.checked_sub(first)?).ok()?;
        self.rounds.get(index).copied()
    }

    /// Returns the number of the last round that a majority, including the leader, has
    /// acknowledged.
    pub fn confirmed_round(&self, group: VoterGroup) -> u64 {
        let acked = |slot: VoterSlot| self.acked[usize::from(slot)].number;
        let mut rounds: Vec<u64> = other_voters(group).map(acked).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        match majority(group.size) {
            1 => self.round,
            voters => rounds.get(voters - 2).copied().unwrap_or(0),
        }
    }

    /// Returns the highest round that a waiting operation needs; zero if none needs one.
    fn needed_round(&self) -> u64 {
        let pending = self.pending.iter().map(|operation| operation.round);
        pending.chain(self.waiting_changes.iter().map(|change| change.round)).max().unwrap_or(0)
    }

    /// Returns whether an operation waits for a round that is not confirmed yet.
    pub fn needs_confirmation(&self, group: VoterGroup) -> bool {
        self.needed_round() > self.confirmed_round(group)
    }
}

impl Partition {
    /// Begins a round by sending a heartbeat to every other voter.
    pub fn begin_round(&mut self, now: Tick, group: VoterGroup, commands: &mut Vec<Command>) {
        let (partition, term, revision) = (self.id, self.state.written_term, self.state.revision);
        let Some(leader) = self.leader_mut() else { return };
        leader.round += 1;
        leader.round_began_at = now;
        leader.round_requested = false;
        leader.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        leader.rounds.push_back(HeartbeatRound { number: leader.round, began_at: now, revision });
        if leader.rounds.len() > ROUNDS_KEPT {
            leader.rounds.pop_front();
        }
        // Checksums are comparable only when all changes are committed.
        let compares =
            now >= leader.next_checksum_at && leader.is_serving && leader.committed == revision;
        if compares {
            leader.next_checksum_at = now + CHECKSUM_INTERVAL;
        }
        let (round, committed) = (leader.round, leader.committed);
        let checksum = if compares { checksum(&self.state.entries) } else { 0 };
        for slot in other_voters(group) {
            let message = Message::Heartbeat { partition, term, round, committed, checksum };
            commands.push(Command::ToVoter { slot, message });
        }
    }

    /// Begins the round that operations wait for. If another round began less than
    /// `MIN_ROUND_GAP` ago, schedules one round for all operations that arrive in the meantime.
    pub fn request_round(&mut self, now: Tick, group: VoterGroup, commands: &mut Vec<Command>) {
        let Some(leader) = self.leader_mut() else { return };
        if leader.needed_round() <= leader.round {
            return;
        }
        let elapsed = since(leader.round_began_at, now);
        if elapsed >= MIN_ROUND_GAP {
            self.begin_round(now, group, commands);
        } else if !leader.round_requested {
            leader.round_requested = true;
            commands.push(Command::WakeAfter { span: MIN_ROUND_GAP - elapsed });
        }
    }
}
