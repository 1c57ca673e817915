//! Handles messages from the holders of the voter slots.

use crate::command::{Command, ConnectionId};
use crate::control_plane::controller::ControllerState;
use crate::control_plane::from_connections::ReportSource;
use crate::control_plane::leases::{LeaseRenewal, RenewalSource};
use crate::control_plane::membership_log::MembershipVersion;
use crate::control_plane::membership_replication::ReplicatedMembership;
use crate::control_plane::membership_updates::MembershipSource;
use crate::control_plane::operations::Request;
use crate::control_plane::pending_requests::AttemptId;
use crate::control_plane::rollout_votes::VoteSource;
use crate::identifiers::{PartitionId, VoterSlot};
use crate::protocol::membership::Memberships;
use crate::protocol::message::Message;
use crate::replication::messages::partition_of;
use crate::replication::operations::OperationOrigin;
use crate::replication::partition::{Role, Sender};
use crate::time::Tick;
use crate::voter_set::NO_SLOT;
use crate::voters::stamp::stamp_of;

/// The holder of a voter slot that sent a message, and its connection.
#[derive(Clone, Copy)]
pub(super) struct VoterSender {
    pub(super) slot: VoterSlot,
    pub(super) replica_id: u64,
    pub(super) connection: ConnectionId,
}

impl ControllerState {
    /// Handles a message from the holder of a voter slot.
    pub(super) fn on_voter_message(
        &mut self,
        now: Tick,
        sender: VoterSender,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        if !self.accepts_from(now, sender, &message, commands) {
            return;
        }
        self.members.on_voter_connection(sender.slot, sender.connection);
        match partition_of(&message) {
            Some(id) => self.on_partition_message(now, id, sender.slot, message, commands),
            None => self.on_accepted_message(now, sender.slot, message, commands),
        }
    }

    /// Returns whether a message from a voter is accepted: only if the voter set of this
    /// node has the sender as the holder of the slot and, for messages that carry a stamp,
    /// if the sender has the same voter set.
    fn accepts_from(
        &mut self,
        now: Tick,
        sender: VoterSender,
        message: &Message,
        commands: &mut Vec<Command>,
    ) -> bool {
        let VoterSender { slot, replica_id, connection } = sender;
        if let Message::VoterSetUpdate { voter_set, .. } = message {
            self.voter_slots.merge_voter_set(voter_set, commands);
        }
        if !self.voter_slots.is_held_by(slot, replica_id) {
            self.voter_slots.resend_voter_set(now, slot, connection, commands);
            return false;
        }
        self.voter_slots.time_since_message[usize::from(slot)] = 0;
        let own_stamp = self.voter_slots.stamp;
        let has_same_set = stamp_of(message).is_none_or(|stamp| stamp == own_stamp);
        if !has_same_set {
            self.voter_slots.resend_voter_set(now, slot, connection, commands);
        }
        has_same_set && self.slot != NO_SLOT
    }

    /// Handles a message from another replica of a partition.
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
        partition.on_message(now, sender, message, commands);
        let leads = matches!(partition.role, Role::Leader(_));
        self.counters.leaderships_won += u64::from(!led_before && leads);
        self.counters.leaderships_lost += u64::from(led_before && !leads);
    }

    /// Handles a message from a voter that does not concern the replica of a partition.
    fn on_accepted_message(
        &mut self,
        now: Tick,
        from: VoterSlot,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::RenewLease { member, number, progress } => {
                let renewal = LeaseRenewal { member, number, progress };
                self.on_lease_renewal(now, RenewalSource::Voter(from), renewal, commands);
            }
            Message::LeaseGranted { ref name, .. }
            | Message::SubstituteListPoller { ref name, .. } => {
                self.forward_to_member(&name.clone(), message, commands);
            }
            Message::MembershipUpdate(membership) => {
                self.on_membership_report(now, MembershipSource::Voter, membership, commands);
            }
            Message::OperationRequest {
                op,
                attempt,
                term,
                request,
                expected_revision,
                operation,
            } => {
                let origin = OperationOrigin { slot: Some(from), op, attempt };
                let request = Request { id: request, expected_revision, operation };
                self.on_operation_request(now, origin, term, request, commands);
            }
            Message::OperationResponse { op, attempt, result } => {
                self.on_operation_response(now, AttemptId { op, attempt }, result, commands);
            }
            Message::LeafList { .. } | Message::LeafReports { .. } => {
                self.on_leaf_report(now, ReportSource::Voter, message, commands);
            }
            Message::RolloutVote { .. } => {
                self.on_rollout_vote(VoteSource::Voter, message, commands);
            }
            message => self.on_membership_replication_message(now, from, message, commands),
        }
    }

    /// Handles a message about the replication of memberships.
    fn on_membership_replication_message(
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
