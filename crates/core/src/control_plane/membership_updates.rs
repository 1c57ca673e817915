//! Advances the membership: leases expire, the leader issues and replicates memberships,
//! and members are notified.

use crate::command::{Command, ConnectionId};
use crate::control_plane::controller::ControllerState;
use crate::control_plane::membership_replication::ReplicatedMembership;
use crate::identifiers::{MEMBERSHIP_FEED, Term, VoterSlot};
use crate::protocol::membership::Membership;
use crate::protocol::message::Message;
use crate::protocol::operation::OperationResult;
use crate::replication::partition::Role;
use crate::time::Tick;

/// The peer that reported a membership in use by a member.
#[derive(Clone, Copy, PartialEq)]
pub enum MembershipSource {
    /// The member itself.
    Member,
    /// A voter that forwarded the report.
    Voter,
}

impl ControllerState {
    /// Handles a timer tick: expires leases, and notifies the members if the membership
    /// changed.
    pub(super) fn wake_members(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let Some(term) = self.lease_term() else {
            self.members.leadership = None;
            return;
        };
        self.begin_leases(now);
        let voters = self.voters();
        if self.members.inherit_from_voters(now, term, voters, commands) {
            self.members.drop_unnamed(now);
            self.advance_membership(now, commands);
        }
    }

    /// Advances the membership as far as possible now. A leader that does not know yet
    /// which memberships members may use must not issue another one.
    pub(super) fn advance_membership(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let Some((term, _)) = self.members.leadership else { return };
        if !self.members.log.is_inherited() || self.members.is_gathering(now) {
            return;
        }
        let revision = self.partitions[0].committed_revision;
        let group = self.group();
        let members = &mut self.members;
        members.retire_former(now);
        members.issue(now, term, revision);
        let is_confirmed = members.replicate(now, term, group, commands);
        let is_settled = members.settle_if_seen();
        if is_confirmed || is_settled {
            self.notify_members(commands);
        }
    }

    /// Sends the membership's state to the subscribers.
    fn notify_members(&self, commands: &mut Vec<Command>) {
        // Subscribers of the membership as a partition receive it with the other updates.
        let others = self
            .subscribers
            .iter()
            .filter(|(_, positions)| !positions.contains_key(&MEMBERSHIP_FEED));
        for (connection, _) in others {
            commands.push(self.membership_for(*connection));
        }
    }

    /// Returns the command that sends the membership's state on a connection.
    fn membership_for(&self, connection: ConnectionId) -> Command {
        let message = Message::MembershipUpdate(self.members.membership.clone());
        Command::ToConnection { connection, message }
    }

    /// Sends the membership's state to a peer that has just subscribed.
    pub(super) fn send_membership_to(&self, connection: ConnectionId, commands: &mut Vec<Command>) {
        if self.members.membership.term > Term::ZERO {
            commands.push(self.membership_for(connection));
        }
    }

    /// Handles the report of a membership that a member uses. A follower forwards the
    /// report of a member to the leader.
    pub(super) fn on_membership_report(
        &mut self,
        now: Tick,
        source: MembershipSource,
        membership: Membership,
        commands: &mut Vec<Command>,
    ) {
        match self.partitions[0].role {
            Role::Leader(_) => self.members.add_reported(now, membership),
            Role::Follower { leader: Some(leader), .. } if source == MembershipSource::Member => {
                let message = Message::MembershipUpdate(membership);
                commands.push(Command::ToVoter { slot: leader.slot, message });
            }
            _ => {}
        }
    }

    /// Stores a membership that a leader replicates to this node.
    pub(super) fn on_replicate_membership(
        &mut self,
        from: VoterSlot,
        replicated: ReplicatedMembership,
        commands: &mut Vec<Command>,
    ) {
        let current_term = self.partitions[0].state.current_term;
        let Some(stored) = self.members.store_replicated(current_term, replicated) else { return };
        if stored.is_newer {
            self.notify_members(commands);
        }
        commands.push(Command::ToVoter { slot: from, message: stored.acknowledgement });
    }

    /// Answers a new leader that fetches the memberships of this node.
    pub(super) fn on_fetch_membership(
        &mut self,
        from: VoterSlot,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        let current_term = self.partitions[0].state.current_term;
        if let Some(message) = self.members.answer_fetch(current_term, term) {
            commands.push(Command::ToVoter { slot: from, message });
        }
    }

    /// Answers the status requests for which this node has proved that it leads.
    pub(super) fn answer_status(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let Role::Leader(leader) = &mut self.partitions[0].role else { return };
        let proved = std::mem::take(&mut leader.confirmed_status_requests);
        if proved.is_empty() {
            return;
        }
        self.begin_leases(now);
        for origin in proved {
            let membership = self.members.membership.clone();
            let progress = self.members.status(now);
            origin.respond(OperationResult::Status { membership, progress }, commands);
        }
    }
}
