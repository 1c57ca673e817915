//! Members renew their leases: with the leader of the configuration, or by way of
//! another voter, which forwards the renewal and passes the leader's grant on.

use crate::command::{Command, ConnectionId};
use crate::control_plane::controller::ControllerState;
use crate::control_plane::forgotten_members;
use crate::control_plane::membership_log::Voters;
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::membership::{Member, MemberProgress};
use crate::protocol::message::Message;
use crate::replication::partition::Role;
use crate::time::Tick;

/// A member's renewal of its lease.
pub struct LeaseRenewal {
    /// Who renews.
    pub member: Member,
    /// Number of the renewal, which the grant names.
    pub number: u64,
    /// How far the member is.
    pub progress: MemberProgress,
}

/// Where a renewal came from.
#[derive(Clone, Copy)]
pub enum RenewalSource {
    /// From the member itself.
    Member(ConnectionId),
    /// From a voter that forwarded it.
    Voter(VoterSlot),
}

impl RenewalSource {
    /// Sends an answer the way that the renewal came.
    fn answer(self, message: Message) -> Command {
        match self {
            RenewalSource::Voter(slot) => Command::ToVoter { slot, message },
            RenewalSource::Member(connection) => Command::ToConnection { connection, message },
        }
    }
}

impl ControllerState {
    /// The term under which we keep the leases, if we do.
    pub(super) fn lease_term(&self) -> Option<Term> {
        match &self.partitions[0].role {
            Role::Leader(leader) if leader.is_serving => Some(leader.term),
            _ => None,
        }
    }

    /// The voters among which memberships are replicated.
    pub(super) fn voters(&self) -> Voters {
        Voters { group: self.group(), stamp: self.voter_slots.stamp }
    }

    /// Begins to keep leases if we lead and have not begun.
    pub(super) fn begin_leases(&mut self, now: Tick) {
        if let Some(term) = self.lease_term() {
            self.members.begin_term(now, term, self.voters());
        }
    }

    /// A member renews its lease, with us or with a voter that forwarded it.
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
        // After a pause another may lead the partition, and have changed it: what we
        // would grant names a revision that may be old.
        if !self.is_followed(now) {
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

    /// Forwards a renewal to the leader, once: a voter never forwards what another
    /// one forwarded.
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

    /// Whether a majority of the voters followed us a moment ago.
    fn is_followed(&self, now: Tick) -> bool {
        match &self.partitions[0].role {
            Role::Leader(leader) => leader.has_majority_contact(self.group(), now),
            _ => false,
        }
    }

    /// Notes a renewal and grants the lease, if it counts.
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
        let wants_membership = self.members.asks_for_membership(now, &progress);
        if !self.members.note_renewal(now, member, progress) {
            return;
        }
        if is_leaving {
            // Nothing else is to be waited for.
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
        commands.push(source.answer(grant));
        if let Some(rank) = list_rank {
            let message = Message::SubstituteListPoller { name, incarnation, rank };
            commands.push(source.answer(message));
        }
    }

    /// The leader tells a member whose renewal we had forwarded something.
    pub(super) fn pass_on_to_member(
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
