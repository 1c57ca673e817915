//! Handles messages on connections that other nodes opened to this one: from members, and
//! from controllers without a voter slot.

use crate::command::{Command, ConnectionId};
use crate::control_plane::controller::ControllerState;
use crate::control_plane::endpoints;
use crate::control_plane::handover::ReceivedHandover;
use crate::control_plane::leases::{LeaseRenewal, RenewalSource};
use crate::control_plane::membership_updates::MembershipSource;
use crate::control_plane::operations::Request;
use crate::control_plane::pending_requests::ForwardedOperation;
use crate::control_plane::rollout_votes::VoteSource;
use crate::protocol::message::Message;
use crate::replication::partition::Role;
use crate::time::Tick;
use crate::voter_set::NO_SLOT;
use crate::voters::slot_takeover::Candidate;

/// The peer from which a report about leafs was received.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ReportSource {
    /// The member that reports.
    Member,
    /// A voter that forwarded the report.
    Voter,
}

impl ControllerState {
    /// Handles a message from a member or from a controller without a voter slot.
    pub(super) fn on_connection_message(
        &mut self,
        now: Tick,
        connection: ConnectionId,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::Subscribe { positions, stamp } => {
                self.on_subscribe(connection, positions, stamp, commands);
            }
            Message::RenewLease { member, number, progress } => {
                let renewal = LeaseRenewal { member, number, progress };
                self.on_lease_renewal(now, RenewalSource::Member(connection), renewal, commands);
            }
            Message::MembershipUpdate(membership) => {
                self.on_membership_report(now, MembershipSource::Member, membership, commands);
            }
            Message::OperationRequest { op, attempt, .. } if self.slot == NO_SLOT => {
                commands
                    .push(ForwardedOperation { connection, id: op, attempt }.no_slot_rejection());
            }
            Message::OperationRequest {
                op,
                attempt,
                request,
                expected_revision,
                operation,
                ..
            } => {
                let request = Request { id: request, expected_revision, operation };
                let origin = ForwardedOperation { connection, id: op, attempt };
                self.on_forwarded_operation(now, origin, request, commands);
            }
            Message::LeafList { .. } | Message::LeafReports { .. } => {
                self.on_leaf_report(now, ReportSource::Member, message, commands);
            }
            Message::RolloutVote { .. } => {
                self.on_rollout_vote(VoteSource::Member, message, commands);
            }
            message => self.on_spare_message(now, connection, message, commands),
        }
    }

    /// Handles a message about the voter slots from a controller that has no slot or is
    /// leaving its slot.
    fn on_spare_message(
        &mut self,
        now: Tick,
        connection: ConnectionId,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::VoterSetUpdate { voter_set, .. } => {
                self.voter_slots.merge_voter_set(&voter_set, commands);
            }
            Message::JoinRequest { replica_id: holder, addr, zone, stamp } => {
                let candidate = Candidate { replica_id: holder, addr: &addr, zone: &zone };
                self.on_join_request(now, connection, candidate, stamp, commands);
            }
            Message::HandoverAccept { slot, holder: new_holder } => {
                self.on_handover_accept(now, slot, new_holder, commands);
            }
            Message::Handover { slot, generation, voter_set, replicas, memberships } => {
                let received =
                    ReceivedHandover { slot, generation, voter_set, replicas, memberships };
                self.on_handover(now, connection, received, commands);
            }
            Message::SlotTakeover { slot, holder: new_holder } => {
                self.on_slot_takeover(now, slot, new_holder, commands);
            }
            _ => {}
        }
    }

    /// Handles a report about leafs. A follower forwards it to the leader of the partition;
    /// a report is forwarded only once.
    pub(super) fn on_leaf_report(
        &mut self,
        now: Tick,
        source: ReportSource,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        let group = self.group();
        let (Message::LeafList { partition: id, .. } | Message::LeafReports { partition: id, .. }) =
            &message
        else {
            return;
        };
        let Some(partition) = self.partitions.get_mut(id.0 as usize) else { return };
        match partition.role {
            Role::Leader(_) => match message {
                Message::LeafList { fencing_token, leafs, .. } => {
                    let counters = &mut self.counters;
                    endpoints::on_list(
                        partition,
                        now,
                        group,
                        fencing_token,
                        leafs,
                        counters,
                        commands,
                    );
                }
                Message::LeafReports { reports, .. } => {
                    endpoints::on_reports(partition, now, group, reports, commands);
                }
                _ => {}
            },
            Role::Follower { leader: Some(leader), .. } if source == ReportSource::Member => {
                commands.push(Command::ToVoter { slot: leader.slot, message });
            }
            _ => {}
        }
    }
}
