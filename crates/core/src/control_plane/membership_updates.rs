//! The membership moves on: leases end, the leader issues and replicates
//! memberships, and members are told.

use crate::command::{Command, ConnectionId};
use crate::control_plane::controller::ControllerState;
use crate::control_plane::membership_replication::ReplicatedMembership;
use crate::identifiers::{MEMBERSHIP_FEED, Term, VoterSlot};
use crate::protocol::membership::Membership;
use crate::protocol::message::Message;
use crate::protocol::operation::OperationResult;
use crate::replication::partition::Role;
use crate::time::Tick;

/// How a membership that a member goes by came to us.
#[derive(Clone, Copy, PartialEq)]
pub enum MembershipSource {
    /// From the member itself.
    Member,
    /// From a voter that forwarded it.
    Voter,
}

impl ControllerState {
    /// Time passes: leases end, and the membership's state is told when it changed.
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

    /// Moves the membership on as far as it goes now. A leader that has not heard yet
    /// which memberships members may go by must not issue another one beside them.
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

    /// Sends the membership's state to our connections.
    fn notify_members(&self, commands: &mut Vec<Command>) {
        // Who follows the membership as a partition is sent it with the other updates.
        let others =
            self.followers.iter().filter(|(_, places)| !places.contains_key(&MEMBERSHIP_FEED));
        for (connection, _) in others {
            commands.push(self.membership_for(*connection));
        }
    }

    /// The membership's state, to be sent on a connection.
    fn membership_for(&self, connection: ConnectionId) -> Command {
        let message = Message::MembershipUpdate(self.members.membership.clone());
        Command::ToConnection { connection, message }
    }

    /// Sends the state to a follower that just said where it stands.
    pub(super) fn greet(&self, connection: ConnectionId, commands: &mut Vec<Command>) {
        if self.members.membership.term > Term::ZERO {
            commands.push(self.membership_for(connection));
        }
    }

    /// A member tells the membership that it goes by: to the leader, by way of us or
    /// as it is.
    pub(super) fn on_membership_told(
        &mut self,
        now: Tick,
        source: MembershipSource,
        membership: Membership,
        commands: &mut Vec<Command>,
    ) {
        match self.partitions[0].role {
            Role::Leader(_) => self.members.learn_of(now, membership),
            Role::Follower { leader: Some(leader), .. } if source == MembershipSource::Member => {
                let message = Message::MembershipUpdate(membership);
                commands.push(Command::ToVoter { slot: leader.slot, message });
            }
            _ => {}
        }
    }

    /// A leader replicates a membership to us.
    pub(super) fn on_replicate_membership(
        &mut self,
        from: VoterSlot,
        replicated: ReplicatedMembership,
        commands: &mut Vec<Command>,
    ) {
        let obeyed_term = self.partitions[0].state.current_term;
        let Some(taken) = self.members.take_replicated(obeyed_term, replicated) else { return };
        if taken.is_news {
            self.notify_members(commands);
        }
        commands.push(Command::ToVoter { slot: from, message: taken.acknowledgement });
    }

    /// A new leader asks which memberships we hold.
    pub(super) fn on_fetch_membership(
        &mut self,
        from: VoterSlot,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        let obeyed_term = self.partitions[0].state.current_term;
        if let Some(message) = self.members.answer_fetch(obeyed_term, term) {
            commands.push(Command::ToVoter { slot: from, message });
        }
    }

    /// Answers the status requests for which it is proved that we lead.
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
