//! A voter as a replica: it grants votes, accepts the leader's changes and keeps them.

use crate::command::Command;
use crate::identifiers::{Position, Term, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::replica::EntryMap;
use crate::replication::leader::Leader;
use crate::replication::partition::{AfterWrite, KnownLeader, Partition, Role};
use crate::replication::timing::LEADER_SILENCE;
use crate::storage::record::{LogRecord, ReplicaState, checksum};
use crate::time::{Tick, since};
use crate::voter_set::VoterGroup;

/// What a leader says with a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat {
    /// Its term.
    pub term: Term,
    /// The round to answer.
    pub round: u64,
    /// The revision up to which all is committed.
    pub committed: u64,
    /// The checksum of its entries at that revision; zero: none.
    pub checksum: u64,
}

impl Partition {
    /// Whether this voter hears a leader, so that an election would only disturb.
    fn hears_leader(&self, now: Tick) -> bool {
        match &self.role {
            Role::Follower { last_heard, leader } => {
                leader.is_some() && since(*last_heard, now) < LEADER_SILENCE
            }
            Role::Leader(_) => true,
            Role::PreVoting { .. } | Role::Candidate(_) => false,
        }
    }

    /// Another voter asks whether it would be voted for.
    pub fn on_pre_vote_request(
        &mut self,
        now: Tick,
        from: VoterSlot,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        let (partition, current_term) = (self.id, self.state.current_term);
        let granted = self.can_vote() && term > current_term && !self.hears_leader(now);
        let message = Message::PreVoteResponse { partition, term, granted, current_term };
        commands.push(Command::ToVoter { slot: from, message });
    }

    /// Another voter stands for election.
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
            return self.reject_term(from, term, commands);
        }
        self.step_down(now, None, commands);
        self.unled_since_start = false;
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

    /// Tells a voter that its term is over.
    fn reject_term(&self, to: VoterSlot, term: Term, commands: &mut Vec<Command>) {
        let current_term = self.state.current_term;
        let message = Message::VoteRejected { partition: self.id, term, current_term };
        commands.push(Command::ToVoter { slot: to, message });
    }

    /// Becomes a follower; the one way out of every other role. What the leader knew is
    /// handed back, so that those who wait for an answer get one.
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

    /// Gives up whatever role we had for that of a follower, and answers those who wait.
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

    /// Whether a message of this leader counts; rejects it if its term is over.
    fn accept_leader(&mut self, now: Tick, from: KnownLeader, commands: &mut Vec<Command>) -> bool {
        let is_over = from.term < self.state.current_term;
        if !self.can_vote() {
            // It can't vote or accept, but it still hands requests over.
            if !is_over {
                self.note_leader(now, from);
            }
            return false;
        }
        if is_over {
            self.reject_term(from.slot, from.term, commands);
            return false;
        }
        self.unled_since_start = false;
        if !self.note_leader(now, from) {
            // We voted for our own higher term first, so this one is newer.
            self.step_down(now, Some(from), commands);
        }
        true
    }

    /// Notes who leads, if we follow.
    fn note_leader(&mut self, now: Tick, from: KnownLeader) -> bool {
        let Role::Follower { last_heard, leader } = &mut self.role else { return false };
        *last_heard = now;
        *leader = Some(from);
        true
    }

    /// A whole state from the leader.
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
        if has_it && !self.suspect {
            return self.send_when_synced(from, ack, commands);
        }
        self.suspect = false;
        let current_term = self.state.current_term.max(term);
        self.restart_changes(revision, &entries);
        self.state = ReplicaState { current_term, written_term: term, revision, entries };
        self.persist_snapshot(now, vec![AfterWrite::Send(from, ack)], commands);
    }

    /// A change from the leader.
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

    /// Asks the leader for its whole state.
    fn request_snapshot(&self, leader: VoterSlot, term: Term, commands: &mut Vec<Command>) {
        let message = Message::SnapshotRequest { partition: self.id, term };
        commands.push(Command::ToVoter { slot: leader, message });
    }

    /// A heartbeat: the leader lives, and so much is committed.
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
        if !has_term || self.suspect {
            self.request_snapshot(from, term, commands);
        }
        // How far our memory is, and how far our disk: with nothing on its way there
        // they are one. An `AppendAck` may have been lost, or sent under a voter set
        // that is no more.
        let revision = if has_term { self.state.revision } else { 0 };
        let synced = if self.writes.is_empty() && !self.suspect { revision } else { 0 };
        let message =
            Message::HeartbeatAck { partition: self.id, term, round, revision, synced, stamp: 0 };
        commands.push(Command::ToVoter { slot: from, message });
    }

    fn compare_checksums(&mut self, heartbeat: Heartbeat, commands: &mut Vec<Command>) {
        let is_comparable = heartbeat.checksum != 0 && self.state.revision == heartbeat.committed;
        if is_comparable && checksum(&self.state.entries) != heartbeat.checksum {
            let text = format!("part {}: our copy differs from the leader's", self.id);
            commands.push(Command::Alarm(text));
            self.suspect = true;
        }
    }

    /// The voter set changed: whatever is counted is counted anew. `replaced` says which
    /// slots have another replica now.
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
            Role::PreVoting { .. } | Role::Candidate(_) => {
                self.become_follower(now, None);
            }
        }
    }
}
