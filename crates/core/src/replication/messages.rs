//! Routes each message between the replicas of a partition to its handler.

use crate::command::Command;
use crate::identifiers::{PartitionId, Position};
use crate::protocol::message::Message;
use crate::replication::partition::{Partition, ReplicaStatus, Sender};
use crate::replication::replica::Heartbeat;
use crate::replication::replicate::HeartbeatAck;
use crate::storage::record::{LogRecord, ReplicaState};
use crate::time::Tick;

/// Returns the partition of a message between replicas; `None` for any other message.
pub fn partition_of(message: &Message) -> Option<PartitionId> {
    Some(match message {
        Message::StatusRequest { partition, .. }
        | Message::ReplicaStatus { partition, .. }
        | Message::FetchReplica { partition, .. }
        | Message::ReplicaFetched { partition, .. }
        | Message::PreVoteRequest { partition, .. }
        | Message::PreVoteResponse { partition, .. }
        | Message::VoteRequest { partition, .. }
        | Message::VoteGranted { partition, .. }
        | Message::VoteRejected { partition, .. }
        | Message::LeadershipTransfer { partition, .. }
        | Message::Snapshot { partition, .. }
        | Message::Append { partition, .. }
        | Message::AppendAck { partition, .. }
        | Message::SnapshotRequest { partition, .. }
        | Message::Heartbeat { partition, .. }
        | Message::HeartbeatAck { partition, .. } => *partition,
        _ => return None,
    })
}

impl Partition {
    /// Handles a message from another replica of this partition.
    pub fn on_message(
        &mut self,
        now: Tick,
        from: Sender,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::StatusRequest { .. }
            | Message::ReplicaStatus { .. }
            | Message::FetchReplica { .. }
            | Message::ReplicaFetched { .. } => {
                self.on_catch_up_message(now, from, message, commands);
            }
            Message::PreVoteRequest { .. }
            | Message::PreVoteResponse { .. }
            | Message::VoteRequest { .. }
            | Message::VoteGranted { .. }
            | Message::VoteRejected { .. }
            | Message::LeadershipTransfer { .. } => {
                self.on_election_message(now, from, message, commands);
            }
            _ => self.on_replication_message(now, from, message, commands),
        }
    }

    fn on_catch_up_message(
        &mut self,
        now: Tick,
        from: Sender,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::StatusRequest { nonce, .. } => {
                self.on_status_request(from.slot, nonce, commands);
            }
            Message::ReplicaStatus {
                nonce,
                condition,
                current_term,
                written_term,
                revision,
                ..
            } => {
                let status = ReplicaStatus { condition, current_term, written_term, revision };
                self.on_replica_status(now, from, nonce, status, commands);
            }
            Message::FetchReplica { nonce, .. } => {
                self.on_fetch_replica(from.slot, nonce, commands);
            }
            Message::ReplicaFetched {
                nonce,
                current_term,
                written_term,
                revision,
                entries,
                ..
            } => {
                if self.can_vote() {
                    let position = Position { term: written_term, revision };
                    self.on_newest_replica_fetched(now, from, nonce, position, entries, commands);
                } else {
                    let state = ReplicaState { current_term, written_term, revision, entries };
                    self.on_replica_fetched(now, from.slot, nonce, state, commands);
                }
            }
            _ => {}
        }
    }

    fn on_election_message(
        &mut self,
        now: Tick,
        from: Sender,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::PreVoteRequest { term, .. } => {
                self.on_pre_vote_request(now, from.slot, term, commands);
            }
            Message::PreVoteResponse { term, granted, current_term, .. } => {
                self.on_pre_vote_response(now, from, term, granted, current_term, commands);
            }
            Message::VoteRequest { term, .. } => {
                self.on_vote_request(now, from.slot, term, commands);
            }
            Message::VoteGranted { term, written_term, revision, .. } => {
                let position = Position { term: written_term, revision };
                self.on_vote_granted(now, from, term, position, commands);
            }
            Message::VoteRejected { term, current_term, .. } => {
                self.on_vote_rejected(now, from.group, term, current_term, commands);
            }
            Message::LeadershipTransfer { term, .. } => {
                self.on_leadership_transfer(now, from, term, commands);
            }
            _ => {}
        }
    }

    fn on_replication_message(
        &mut self,
        now: Tick,
        from: Sender,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::Snapshot { term, revision, entries, .. } => {
                let position = Position { term, revision };
                self.on_snapshot(now, from.slot, position, entries, commands);
            }
            Message::Append { term, revision, entries, .. } => {
                let record = LogRecord::Change { term, revision, entries };
                self.on_append(now, from.slot, record, commands);
            }
            Message::AppendAck { term, revision, .. } => {
                self.on_append_ack(now, from, term, revision, commands);
            }
            Message::SnapshotRequest { term, .. } => {
                self.on_snapshot_request(now, from.slot, term, commands);
            }
            Message::Heartbeat { term, round, committed, checksum, .. } => {
                let heartbeat = Heartbeat { term, round, committed, checksum };
                self.on_heartbeat(now, from.slot, heartbeat, commands);
            }
            Message::HeartbeatAck { term, round, revision, synced, .. } => {
                let ack = HeartbeatAck { term, round, revision, synced };
                self.on_heartbeat_ack(now, from, ack, commands);
            }
            _ => {}
        }
    }
}
