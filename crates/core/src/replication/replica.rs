//! The follower side of replication: grants votes, and accepts and stores the leader's changes.

use crate::command::Command;
use crate::identifiers::{Position, Term, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::replica::EntryMap;
use crate::replication::leader::Leader;
use crate::replication::partition::{AfterWrite, KnownLeader, Partition, Role};
use crate::replication::timing::ELECTION_TIMEOUT;
use crate::storage::record::{LogRecord, ReplicaState, checksum};
use crate::time::{Tick, since};
use crate::voter_set::VoterGroup;

/// The contents of a heartbeat from a leader.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat {
    /// The term of the leader.
    pub term: Term,
    /// The heartbeat round to acknowledge.
    pub round: u64,
    /// The highest committed revision (`leaderCommit` in the Raft paper).
    pub committed: u64,
    /// Checksum of the leader's entries at that revision; zero if this heartbeat carries none.
    pub checksum: u64,
}

impl Partition {
    /// Returns whether this voter is the leader or heard from one within `ELECTION_TIMEOUT`, so
    /// that an election would only interrupt a working leader.
    fn has_leader_contact(&self, now: Tick) -> bool {
        match &self.role {
            Role::Follower { last_heard, leader } => {
                leader.is_some() && since(*last_heard, now) < ELECTION_TIMEOUT
            }
            Role::Leader(_) => true,
            Role::PreCandidate { .. } | Role::Candidate(_) => false,
        }
    }

    /// Handles a pre-vote request from another voter.
    pub fn on_pre_vote_request(
        &mut self,
        now: Tick,
        from: VoterSlot,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        let (partition, current_term) = (self.id, self.state.current_term);
        let granted = self.can_vote() && term > current_term && !self.has_leader_contact(now);
        let message = Message::PreVoteResponse { partition, term, granted, current_term };
        commands.push(Command::ToVoter { slot: from, message });
    }

    /// Handles a vote request from a candidate.
    pub fn on_vote_request(
        &mut self,
        now: Tick,
        from: VoterSlot,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        if !self.can_vote() {
            return;
        }
        if term <= self.state.current_term {
            return self.reject_stale_term(from, term, commands);
        }
        self.step_down(now, None, commands);
        self.no_leader_since_start = false;
        self.state.apply(&LogRecord::Vote { term });
        let message = Message::VoteGranted {
            partition: self.id,
            term,
            written_term: self.state.written_term,
            revision: self.state.revision,
            stamp: 0,
        };
        let after = vec![AfterWrite::Send(from, message)];
        self.persist_record(now, LogRecord::Vote { term }, after, commands);
    }

    /// Informs a voter that its term is stale.
    fn reject_stale_term(&self, to: VoterSlot, term: Term, commands: &mut Vec<Command>) {
        let current_term = self.state.current_term;
        let message = Message::VoteRejected { partition: self.id, term, current_term };
        commands.push(Command::ToVoter { slot: to, message });
    }

    /// Becomes a follower; every other role ends here. Returns the state of the former leader,
    /// so that the caller can respond to the operations that wait in it.
    pub fn become_follower(
        &mut self,
        now: Tick,
        leader: Option<KnownLeader>,
    ) -> Option<Box<Leader>> {
        let follower = Role::Follower { last_heard: now, leader };
        match std::mem::replace(&mut self.role, follower) {
            Role::Leader(former) => Some(former),
            _ => None,
        }
    }

    /// Becomes a follower and responds to the operations that waited at a former leader.
    pub fn step_down(
        &mut self,
        now: Tick,
        leader: Option<KnownLeader>,
        commands: &mut Vec<Command>,
    ) {
        if let Some(former) = self.become_follower(now, leader) {
            former.on_leadership_lost(commands);
        }
    }

    /// Returns whether to process a message of this leader. Rejects a leader of a stale term.
    fn accept_leader(&mut self, now: Tick, from: KnownLeader, commands: &mut Vec<Command>) -> bool {
        let is_over = from.term < self.state.current_term;
        if !self.can_vote() {
            // This replica can neither vote nor accept changes, but this node still forwards
            // operations to the leader.
            if !is_over {
                self.record_leader(now, from);
            }
            return false;
        }
        if is_over {
            self.reject_stale_term(from.slot, from.term, commands);
            return false;
        }
        self.no_leader_since_start = false;
        if !self.record_leader(now, from) {
            // This replica voted for itself in its own term, so a term that is not stale is
            // newer than that.
            self.step_down(now, Some(from), commands);
        }
        true
    }

    /// Records the leader and the time of its message if this replica is a follower. Returns
    /// whether it is one.
    fn record_leader(&mut self, now: Tick, from: KnownLeader) -> bool {
        let Role::Follower { last_heard, leader } = &mut self.role else { return false };
        *last_heard = now;
        *leader = Some(from);
        true
    }

    /// Handles a snapshot from the leader.
    pub fn on_snapshot(
        &mut self,
        now: Tick,
        from: VoterSlot,
        position: Position,
        entries: EntryMap,
        commands: &mut Vec<Command>,
    ) {
        let Position { term, revision } = position;
        if !self.accept_leader(now, KnownLeader { slot: from, term }, commands) {
            return;
        }
        let ack = Message::AppendAck { partition: self.id, term, revision, stamp: 0 };
        let has_it = self.state.written_term == term && self.state.revision >= revision;
        if has_it && !self.checksum_mismatch {
            return self.send_when_synced(from, ack, commands);
        }
        self.checksum_mismatch = false;
        let current_term = self.state.current_term.max(term);
        self.restart_changes(revision, &entries);
        self.state = ReplicaState { current_term, written_term: term, revision, entries };
        self.persist_snapshot(now, vec![AfterWrite::Send(from, ack)], commands);
    }

    /// Handles a change from the leader (`AppendEntries` in the Raft paper).
    pub fn on_append(
        &mut self,
        now: Tick,
        from: VoterSlot,
        record: LogRecord,
        commands: &mut Vec<Command>,
    ) {
        let LogRecord::Change { term, revision, entries } = &record else { return };
        let (term, revision) = (*term, *revision);
        if !self.accept_leader(now, KnownLeader { slot: from, term }, commands) {
            return;
        }
        let ack = |revision| Message::AppendAck { partition: self.id, term, revision, stamp: 0 };
        if self.state.written_term == term && self.state.revision >= revision {
            let ack = ack(self.state.revision);
            return self.send_when_synced(from, ack, commands);
        }
        let after = vec![AfterWrite::Send(from, ack(revision))];
        if !self.state.apply(&record) {
            return self.request_snapshot(from, term, commands);
        }
        self.changes.push_back((revision, entries.clone()));
        self.persist_record(now, record, after, commands);
    }

    /// Requests a snapshot from the leader.
    fn request_snapshot(&self, leader: VoterSlot, term: Term, commands: &mut Vec<Command>) {
        let message = Message::SnapshotRequest { partition: self.id, term };
        commands.push(Command::ToVoter { slot: leader, message });
    }

    /// Handles a heartbeat, which shows that the leader is running and what is committed.
    pub fn on_heartbeat(
        &mut self,
        now: Tick,
        from: VoterSlot,
        heartbeat: Heartbeat,
        commands: &mut Vec<Command>,
    ) {
        let Heartbeat { term, round, .. } = heartbeat;
        if !self.accept_leader(now, KnownLeader { slot: from, term }, commands) {
            return;
        }
        let has_term = self.state.written_term == term;
        if has_term {
            self.commit_up_to(heartbeat.committed);
            self.compare_checksums(heartbeat, commands);
        }
        if !has_term || self.checksum_mismatch {
            self.request_snapshot(from, term, commands);
        }
        // Reports the newest revision in memory and the one that is synced, which are equal
        // while no write is pending. An earlier `AppendAck` may have been lost, or sent under a
        // voter set that has been replaced.
        let revision = if has_term { self.state.revision } else { 0 };
        let synced = if self.writes.is_empty() && !self.checksum_mismatch { revision } else { 0 };
        let message =
            Message::HeartbeatAck { partition: self.id, term, round, revision, synced, stamp: 0 };
        commands.push(Command::ToVoter { slot: from, message });
    }

    fn compare_checksums(&mut self, heartbeat: Heartbeat, commands: &mut Vec<Command>) {
        let is_comparable = heartbeat.checksum != 0 && self.state.revision == heartbeat.committed;
        if is_comparable && checksum(&self.state.entries) != heartbeat.checksum {
            let text = format!("partition {}: the local copy differs from the leader's", self.id);
            commands.push(Command::Alarm(text));
            self.checksum_mismatch = true;
        }
    }

    /// Discards votes and acknowledgements after a change of the voter set, since they are only
    /// valid under the voter set for which they were sent. `replaced` states which slots now have
    /// another replica.
    pub fn on_voter_set_changed(
        &mut self,
        now: Tick,
        group: VoterGroup,
        replaced: &[bool],
        commands: &mut Vec<Command>,
    ) {
        self.catch_up.restart(now);
        let is_replaced = |slot: VoterSlot| replaced.get(usize::from(slot)).is_some_and(|r| *r);
        match &mut self.role {
            Role::Leader(leader) if leader.synced.len() == group.size => {
                leader.on_voter_set_changed(now, group, replaced);
            }
            Role::Leader(_) => self.step_down(now, None, commands),
            Role::Follower { leader, .. } => {
                leader.take_if(|known| is_replaced(known.slot));
            }
            Role::PreCandidate { .. } | Role::Candidate(_) => {
                self.become_follower(now, None);
            }
        }
    }
}
