//! What the holders of the voter slots say.

use crate::command::{Command, ConnectionId};
use crate::control_plane::controller::ControllerState;
use crate::control_plane::from_connections::ReportSource;
use crate::control_plane::leases::{LeaseRenewal, RenewalSource};
use crate::control_plane::membership_log::MembershipVersion;
use crate::control_plane::membership_replication::ReplicatedMembership;
use crate::control_plane::membership_updates::MembershipSource;
use crate::control_plane::operations::Request;
use crate::control_plane::pending_requests::AttemptId;
use crate::identifiers::{PartitionId, Position, VoterSlot};
use crate::protocol::message::{Memberships, Message};
use crate::replication::partition::{
    OperationOrigin, Partition, ReplicaStatus, Role, Sender, able,
};
use crate::replication::{catch_up, election, leader, replica};
use crate::storage::record::{LogRecord, ReplicaState};
use crate::time::Tick;
use crate::voter_set::NOBODY;
use crate::voters::stamp::stamp_of;

/// Who says something as the holder of a voter slot, and where.
#[derive(Clone, Copy)]
pub(super) struct VoterSender {
    pub(super) slot: VoterSlot,
    pub(super) replica_id: u64,
    pub(super) connection: ConnectionId,
}

impl ControllerState {
    /// The holder of a voter slot says something.
    pub(super) fn on_voter_message(
        &mut self,
        now: Tick,
        sender: VoterSender,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        if !self.counts_from(now, sender, &message, commands) {
            return;
        }
        match partition_of(&message) {
            Some(id) => self.on_partition_message(now, id, sender.slot, message, commands),
            None => self.on_counted_message(now, sender.slot, message, commands),
        }
    }

    /// Whether what the holder of a voter slot says counts: only if our voter set
    /// names it so, and a vote only if its own voter set is the same.
    fn counts_from(
        &mut self,
        now: Tick,
        sender: VoterSender,
        message: &Message,
        commands: &mut Vec<Command>,
    ) -> bool {
        let VoterSender { slot, replica_id, connection } = sender;
        if let Message::VoterSetUpdate { table, .. } = message {
            self.voter_slots.learn(table, commands);
        }
        if !self.voter_slots.is_held_by(slot, replica_id) {
            self.voter_slots.resend_voter_set(now, slot, connection, commands);
            return false;
        }
        self.voter_slots.silence[usize::from(slot)] = 0;
        let ours = self.voter_slots.stamp;
        let has_same_set = stamp_of(message).is_none_or(|stamp| stamp == ours);
        if !has_same_set {
            self.voter_slots.resend_voter_set(now, slot, connection, commands);
        }
        has_same_set && self.slot != NOBODY
    }

    /// Another replica of a partition says something.
    fn on_partition_message(
        &mut self,
        now: Tick,
        id: PartitionId,
        from: VoterSlot,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        let sender = Sender { group: self.group(), slot: from };
        let Some(partition) = self.partitions.get_mut(id.0 as usize) else { return };
        let led_before = matches!(partition.role, Role::Leader(_));
        self.counters.snapshot_requests +=
            u64::from(matches!(message, Message::SnapshotRequest { .. }));
        on_replica_message(partition, now, sender, message, commands);
        let leads = matches!(partition.role, Role::Leader(_));
        self.counters.leaderships_won += u64::from(!led_before && leads);
        self.counters.leaderships_lost += u64::from(led_before && !leads);
    }

    /// A voter says something that is not about a partition's replica.
    fn on_counted_message(
        &mut self,
        now: Tick,
        from: VoterSlot,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::RenewLease { member, count, far } => {
                let renewal = LeaseRenewal { member, count, progress: far };
                self.on_lease_renewal(now, RenewalSource::Voter(from), renewal, commands);
            }
            Message::LeaseGranted { ref name, .. } => {
                self.on_lease_granted(&name.clone(), message, commands);
            }
            Message::MembershipUpdate(membership) => {
                self.on_membership_told(now, MembershipSource::Voter, membership, commands);
            }
            Message::OperationRequest { op, attempt, term, request, expect, deed } => {
                let origin = OperationOrigin { slot: Some(from), op, attempt };
                let request = Request { id: request, expected_revision: expect, operation: deed };
                self.on_operation_request(now, origin, term, request, commands);
            }
            Message::OperationResponse { op, attempt, done } => {
                self.on_operation_response(now, AttemptId { op, attempt }, done, commands);
            }
            Message::LeafList { .. } | Message::LeafReports { .. } => {
                self.on_leaf_report(now, ReportSource::Voter, message, commands);
            }
            message => self.on_replication_of_memberships(now, from, message, commands),
        }
    }

    /// A voter says something about the replication of memberships.
    fn on_replication_of_memberships(
        &mut self,
        now: Tick,
        from: VoterSlot,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::ReplicateMembership { term, current, confirmed, older } => {
                let replicated = ReplicatedMembership { term, current, confirmed, older };
                self.on_replicate_membership(from, replicated, commands);
            }
            Message::MembershipReplicated { term, id, settled, confirmed, .. } => {
                let version = MembershipVersion { id, settled, confirmed };
                self.members.on_replicated(from, term, version);
                self.advance_membership(now, commands);
            }
            Message::FetchMembership { term } => self.on_fetch_membership(from, term, commands),
            Message::MembershipFetched { term, current, others, .. } => {
                self.members.on_fetched(from, term, Memberships { current, others });
            }
            _ => {}
        }
    }
}

/// The partition that a message between replicas is about.
fn partition_of(message: &Message) -> Option<PartitionId> {
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

/// Another replica asks how we stand, votes, or leads.
fn on_replica_message(
    partition: &mut Partition,
    now: Tick,
    sender: Sender,
    message: Message,
    commands: &mut Vec<Command>,
) {
    let from = sender.slot;
    match message {
        Message::StatusRequest { nonce, .. } => catch_up::stand(partition, from, nonce, commands),
        Message::ReplicaStatus {
            nonce, condition, current_term, written_term, revision, ..
        } => {
            let status = ReplicaStatus { condition, current_term, written_term, revision };
            catch_up::stood(partition, now, sender, nonce, status, commands);
        }
        Message::FetchReplica { nonce, .. } => catch_up::give(partition, from, nonce, commands),
        Message::ReplicaFetched { nonce, written_term: term, revision, entries, .. }
            if able(partition) =>
        {
            let position = Position { term, revision };
            election::fetched(partition, now, sender, nonce, position, entries, commands);
        }
        Message::ReplicaFetched {
            nonce, current_term, written_term, revision, entries, ..
        } => {
            let theirs = ReplicaState { current_term, written_term, revision, entries };
            catch_up::fetched(partition, now, from, nonce, theirs, commands);
        }
        message => on_election_message(partition, now, sender, message, commands),
    }
}

/// Another replica takes part in an election.
fn on_election_message(
    partition: &mut Partition,
    now: Tick,
    sender: Sender,
    message: Message,
    commands: &mut Vec<Command>,
) {
    let Sender { group, slot: from } = sender;
    match message {
        Message::PreVoteRequest { term, .. } => {
            replica::pre_vote(partition, now, from, term, commands)
        }
        Message::PreVoteResponse { term, granted, current_term, .. } => {
            let vote = (granted, current_term);
            election::pre_vote_answered(partition, now, sender, term, vote, commands);
        }
        Message::VoteRequest { term, .. } => replica::vote(partition, now, from, term, commands),
        Message::VoteGranted { term, written_term, revision, .. } => {
            let position = Position { term: written_term, revision };
            election::vote_granted(partition, now, sender, term, position, commands);
        }
        Message::LeadershipTransfer { term, .. } => {
            election::transferred(partition, now, group, from, term, commands);
        }
        Message::VoteRejected { term, current_term, .. } => {
            election::vote_rejected(partition, now, group, term, current_term, commands);
        }
        message => on_log_message(partition, now, sender, message, commands),
    }
}

/// A leader replicates, or a follower answers it.
fn on_log_message(
    partition: &mut Partition,
    now: Tick,
    sender: Sender,
    message: Message,
    commands: &mut Vec<Command>,
) {
    let from = sender.slot;
    match message {
        Message::Snapshot { term, revision, entries, .. } => {
            let position = Position { term, revision };
            replica::snapshot(partition, now, from, position, entries, commands);
        }
        Message::Append { term, revision, entries, .. } => {
            let record = LogRecord::Change { term, revision, entries };
            replica::append(partition, now, from, record, commands);
        }
        Message::AppendAck { term, revision, .. } => {
            leader::append_acked(partition, now, sender, term, revision, commands)
        }
        Message::SnapshotRequest { term, .. } => {
            leader::snapshot_requested(partition, now, from, term, commands);
        }
        Message::Heartbeat { term, round, committed, checksum, .. } => {
            replica::heartbeat(
                partition,
                now,
                from,
                (term, round),
                (committed, checksum),
                commands,
            );
        }
        Message::HeartbeatAck { term, round, revision, synced, .. } => {
            leader::heartbeat_acked(
                partition,
                now,
                sender,
                (term, round),
                (revision, synced),
                commands,
            );
        }
        _ => {}
    }
}
