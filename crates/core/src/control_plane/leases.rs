//! Lease renewal. A member renews its lease with the leader of the configuration partition,
//! or through another voter, which forwards the renewal to the leader and the grant to the
//! member.

use crate::command::{Command, ConnectionId};
use crate::control_plane::controller::ControllerState;
use crate::control_plane::forgotten_members;
use crate::control_plane::membership_log::Voters;
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::membership::{Member, MemberProgress};
use crate::protocol::message::Message;
use crate::replication::partition::Role;
use crate::time::Tick;

/// A renewal of a member's lease.
pub struct LeaseRenewal {
    /// The member that renews.
    pub member: Member,
    /// Number of the renewal, which the grant repeats.
    pub number: u64,
    /// How far the member has applied the configuration and the membership.
    pub progress: MemberProgress,
}

/// The peer from which a renewal was received.
#[derive(Clone, Copy)]
pub enum RenewalSource {
    /// The member itself.
    Member(ConnectionId),
    /// A voter that forwarded the renewal.
    Voter(VoterSlot),
}

impl RenewalSource {
    /// Returns the command that sends an answer back to the source of the renewal.
    fn reply(self, message: Message) -> Command {
        match self {
            RenewalSource::Voter(slot) => Command::ToVoter { slot, message },
            RenewalSource::Member(connection) => Command::ToConnection { connection, message },
        }
    }
}

impl ControllerState {
    /// Returns the term in which this node grants leases, if it leads and is serving.
    pub(super) fn lease_term(&self) -> Option<Term> {
        match &self.partitions[0].role {
            Role::Leader(leader) if leader.is_serving => Some(leader.term),
            _ => None,
        }
    }

    /// Returns the voters among which memberships are replicated.
    pub(super) fn voters(&self) -> Voters {
        Voters { group: self.group(), stamp: self.voter_slots.stamp }
    }

    /// Starts to grant leases if this node leads and has not started yet.
    pub(super) fn begin_leases(&mut self, now: Tick) {
        if let Some(term) = self.lease_term() {
            self.members.begin_term(now, term, self.voters());
        }
    }

    /// Handles the renewal of a lease, received from the member or from a voter that
    /// forwarded it.
    pub(super) fn on_lease_renewal(
        &mut self,
        now: Tick,
        source: RenewalSource,
        renewal: LeaseRenewal,
        commands: &mut Vec<Command>,
    ) {
        if let RenewalSource::Member(connection) = source {
            self.members.connections.insert(renewal.member.name.clone(), connection);
        }
        let Some(term) = self.lease_term() else {
            return self.forward_renewal(source, renewal, commands);
        };
        // After a pause of this process another node may lead the partition and may have
        // changed it. A grant would then name a revision that may be outdated.
        if !self.has_recent_majority(now) {
            return;
        }
        self.begin_leases(now);
        let group = self.group();
        let configuration = &mut self.partitions[0];
        if forgotten_members::readmit(configuration, now, group, &renewal.member, commands) {
            return;
        }
        self.grant_lease(now, term, source, renewal, commands);
    }

    /// Forwards a renewal to the leader. A renewal is forwarded only once: a voter never
    /// forwards what another voter has forwarded.
    fn forward_renewal(
        &self,
        source: RenewalSource,
        renewal: LeaseRenewal,
        commands: &mut Vec<Command>,
    ) {
        if matches!(source, RenewalSource::Member(_))
            && let Role::Follower { leader: Some(leader), .. } = self.partitions[0].role
        {
            let LeaseRenewal { member, number, progress } = renewal;
            let message = Message::RenewLease { member, number, progress };
            commands.push(Command::ToVoter { slot: leader.slot, message });
        }
    }

    /// Returns whether a majority of the voters has recently followed this node as the
    /// leader.
    fn has_recent_majority(&self, now: Tick) -> bool {
        match &self.partitions[0].role {
            Role::Leader(leader) => leader.has_majority_contact(self.group(), now),
            _ => false,
        }
    }

    /// Records a renewal and grants the lease, unless the renewal is stale.
    fn grant_lease(
        &mut self,
        now: Tick,
        term: Term,
        source: RenewalSource,
        renewal: LeaseRenewal,
        commands: &mut Vec<Command>,
    ) {
        let LeaseRenewal { member, number, progress } = renewal;
        let (name, incarnation) = (member.name.clone(), member.incarnation);
        let is_leaving = progress.leaving;
        let wants_membership = self.members.should_request_membership(now, &progress);
        if !self.members.record_renewal(now, member, progress) {
            return;
        }
        if is_leaving {
            // The membership need not wait for anything else.
            self.advance_membership(now, commands);
        }
        let revision = self.partitions[0].committed_revision;
        let list_rank = self.members.substitute_list_rank(now, &name);
        let grant = Message::LeaseGranted {
            name: name.clone(),
            incarnation,
            number,
            term,
            revision,
            wants_membership,
        };
        commands.push(source.reply(grant));
        if let Some(rank) = list_rank {
            let message = Message::SubstituteListPoller { name, incarnation, rank };
            commands.push(source.reply(message));
        }
    }

    /// Forwards a message of the leader to a member whose renewal this node had forwarded.
    pub(super) fn forward_to_member(
        &self,
        name: &str,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        if let Some(connection) = self.members.connections.get(name) {
            commands.push(Command::ToConnection { connection: *connection, message });
        }
    }
}
