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
use crate::identifiers::{PartitionId, VoterSlot};
use crate::protocol::message::{Memberships, Message};
use crate::replication::partition::{OperationOrigin, Partition, ReplicaStatus, Role, able};
use crate::replication::{catch_up, election, leader, replica};
use crate::storage::record::LogRecord;
use crate::time::Tick;
use crate::voter_set::{NOBODY, VoterGroup};
use crate::voters::voter_slots;
use crate::voters::voter_slots::here;

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
            voter_slots::learn(self, now, table, commands);
        }
        if !voter_slots::holds(&self.seating, slot, replica_id) {
            voter_slots::tell_again(self, now, slot, connection, commands);
            return false;
        }
        self.seating.quiet[usize::from(slot)] = 0;
        let ours = self.seating.stamp;
        let has_same_set = voter_slots::stamp_of(message).is_none_or(|stamp| stamp == ours);
        if !has_same_set {
            voter_slots::tell_again(self, now, slot, connection, commands);
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
        let group = here(self);
        let Some(partition) = self.partitions.get_mut(id.0 as usize) else { return };
        let led_before = matches!(partition.role, Role::Leader(_));
        self.counts.swept += u64::from(matches!(message, Message::SnapshotRequest { .. }));
        on_replica_message(partition, now, group, from, message, commands);
        let leads = matches!(partition.role, Role::Leader(_));
        self.counts.owned += u64::from(!led_before && leads);
        self.counts.resigned += u64::from(led_before && !leads);
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
                let request = Request { id: request, expect, deed };
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
    group: VoterGroup,
    from: VoterSlot,
    message: Message,
    commands: &mut Vec<Command>,
) {
    match message {
        Message::StatusRequest { nonce, .. } => catch_up::stand(partition, from, nonce, commands),
        Message::ReplicaStatus { nonce, life, promised, term, revision, .. } => {
            let s = ReplicaStatus { life, promised, term, revision };
            catch_up::stood(partition, now, (group, from), nonce, s, commands);
        }
        Message::FetchReplica { nonce, .. } => catch_up::give(partition, from, nonce, commands),
        Message::ReplicaFetched { nonce, promised, term, revision, map, .. } if able(partition) => {
            let _ = promised;
            election::fetched(
                partition,
                now,
                (group, from),
                nonce,
                (term, revision),
                map,
                commands,
            );
        }
        Message::ReplicaFetched { nonce, promised, term, revision, map, .. } => {
            catch_up::fetched(
                partition,
                now,
                from,
                nonce,
                (promised, (term, revision)),
                map,
                commands,
            );
        }
        message => on_election_message(partition, now, group, from, message, commands),
    }
}

/// Another replica takes part in an election.
fn on_election_message(
    partition: &mut Partition,
    now: Tick,
    group: VoterGroup,
    from: VoterSlot,
    message: Message,
    commands: &mut Vec<Command>,
) {
    match message {
        Message::PreVoteRequest { term, .. } => {
            replica::pre_vote(partition, now, from, term, commands)
        }
        Message::PreVoteResponse { term, yes, promised, .. } => {
            election::pre_vote_answered(
                partition,
                now,
                (group, from),
                term,
                (yes, promised),
                commands,
            );
        }
        Message::VoteRequest { term, .. } => replica::vote(partition, now, from, term, commands),
        Message::VoteGranted { term, at_term, revision, .. } => {
            election::vote_granted(
                partition,
                now,
                (group, from),
                term,
                (at_term, revision),
                commands,
            );
        }
        Message::LeadershipTransfer { term, .. } => {
            election::transferred(partition, now, group, from, term, commands);
        }
        Message::VoteRejected { term, promised, .. } => {
            election::vote_rejected(partition, now, group, term, promised, commands);
        }
        message => on_log_message(partition, now, group, from, message, commands),
    }
}

/// A leader replicates, or a follower answers it.
fn on_log_message(
    partition: &mut Partition,
    now: Tick,
    group: VoterGroup,
    from: VoterSlot,
    message: Message,
    commands: &mut Vec<Command>,
) {
    match message {
        Message::Snapshot { term, revision, map, .. } => {
            replica::snapshot(partition, now, from, (term, revision), map, commands);
        }
        Message::Append { term, revision, entries, .. } => {
            replica::append(
                partition,
                now,
                from,
                LogRecord::Change { term, revision, entries },
                commands,
            );
        }
        Message::AppendAck { term, revision, .. } => {
            leader::append_acked(partition, now, (group, from), term, revision, commands)
        }
        Message::SnapshotRequest { term, .. } => {
            leader::snapshot_requested(partition, now, from, term, commands);
        }
        Message::Heartbeat { term, round, done, sum, .. } => {
            replica::heartbeat(partition, now, from, (term, round), (done, sum), commands);
        }
        Message::HeartbeatAck { term, round, revision, kept, .. } => {
            leader::heartbeat_acked(
                partition,
                now,
                (group, from),
                (term, round),
                (revision, kept),
                commands,
            );
        }
        _ => {}
    }
}
