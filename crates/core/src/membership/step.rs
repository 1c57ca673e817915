//! Event handling of the node agent: routes each event and each message to its handler.

use crate::identifiers::{Term, VoterSlot};
use crate::membership::gossip::Gossip;
use crate::membership::lease::RENEWAL_OVERDUE;
use crate::membership::neighbour_ring::NeighbourRing;
use crate::membership::node_agent::{Command, Event, NodeAgent};
use crate::protocol::membership::Membership;
use crate::protocol::message::{FeedPosition, Message};
use crate::time::{Span, Tick, ms};

/// Longest interval between two wake-ups of a node agent. Well below its shortest period, the
/// 100 ms between renewals of a member without a lease.
pub const WAKE_INTERVAL: Span = ms(50);

/// The sender of an update or a membership.
#[derive(Clone, Copy, PartialEq)]
enum Source {
    Voter,
    Member,
}

impl NodeAgent {
    /// Handles one event and returns the commands that follow from it.
    pub fn step(&mut self, now: Tick, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::FromVoter { slot, message } => {
                self.on_voter_message(now, slot, message, &mut commands);
            }
            Event::VoterSet(voter_set) => self.on_voter_set(&voter_set, &mut commands),
            Event::FromMember { name, message } => {
                self.on_member_message(now, &name, message, &mut commands);
            }
            Event::LeafReport { service, report } => self.on_leaf_report(now, service, report),
            Event::TrialEvidence { thread, evidence } => self.on_trial_evidence(thread, evidence),
            Event::LeafList(polled) => self.on_leaf_list(now, polled, &mut commands),
            Event::Stop => self.stopping_since = Some(now),
            Event::Drained => {
                self.is_drained = true;
                self.lease.renew_at = now;
            }
            Event::Wake => {
                self.subscribe(now, &mut commands);
                self.gossip(now, &mut commands);
                self.poll_leaf_list(now, &mut commands);
                self.probe_leafs(now, &mut commands);
            }
        }
        self.send_leaf_reports(now, &mut commands);
        self.check_caught_up(now);
        self.lease.apply_grants(self.configuration_revision);
        self.publish_view(now, &mut commands);
        self.decide(now, &mut commands);
        self.renew_lease(now, &mut commands);
        commands
    }

    fn on_voter_message(
        &mut self,
        now: Tick,
        slot: VoterSlot,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            // With another stamp the message may concern a replica that has since been replaced.
            Message::FeedPositions { positions, stamp } if stamp == self.voter_set_stamp => {
                self.on_feed_positions(now, slot, positions);
            }
            Message::LeaseGranted { ref name, .. }
            | Message::SubstituteListPoller { ref name, .. }
                if *name != self.member.name =>
            {
                if self.forwarded_renewals.contains_key(name) {
                    self.send_to_member(&name.clone(), message, commands);
                }
            }
            Message::LeaseGranted { incarnation, number, revision, wants_membership, .. } => {
                if incarnation == self.member.incarnation {
                    self.on_lease_granted(Some(slot), number, revision);
                }
                if wants_membership && self.membership.term > Term::ZERO {
                    let message = Message::MembershipUpdate(self.membership.clone());
                    commands.push(Command::ToVoter { slot, message });
                }
            }
            Message::SubstituteListPoller { incarnation, rank, .. } => {
                self.on_substitute_list_poller(now, incarnation, rank);
            }
            message => self.on_update_message(message, Source::Voter, commands),
        }
    }

    fn on_feed_positions(&mut self, now: Tick, slot: VoterSlot, positions: Vec<FeedPosition>) {
        if let Some(known) = self.voter_positions.get_mut(usize::from(slot)) {
            *known = positions;
            self.feed.answered_at.insert(slot, now);
        }
    }

    fn on_member_message(
        &mut self,
        now: Tick,
        name: &str,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::Gossip {
                name,
                controller_contact_age_ms,
                ready,
                positions,
                request_sent_at,
                echoed_sent_at,
                attestation,
            } => {
                let gossip = Gossip {
                    controller_contact_age_ms,
                    ready,
                    positions,
                    request_sent_at,
                    echoed_sent_at,
                    attestation,
                };
                self.on_gossip(now, &name, gossip, commands);
            }
            Message::VoterSetUpdate { voter_set, .. } => self.on_voter_set(&voter_set, commands),
            Message::Subscribe { positions, stamp } => {
                self.on_member_subscribe(name, &positions, stamp, commands);
            }
            // Forward the renewal only if this querier reaches the controllers itself.
            Message::RenewLease { member, number, progress } => {
                if self.time_since_renewal(now) < RENEWAL_OVERDUE {
                    self.forwarded_renewals.insert(member.name.clone(), now);
                    self.counters.forwarded_renewals += 1;
                    self.send_to_controllers(
                        Message::RenewLease { member, number, progress },
                        commands,
                    );
                }
            }
            Message::LeafReports { partition, reports } => {
                self.on_member_leaf_reports(now, partition, reports);
            }
            Message::LeaseGranted { name, incarnation, number, revision, .. }
                if name == self.member.name && incarnation == self.member.incarnation =>
            {
                self.on_lease_granted(None, number, revision);
            }
            Message::SubstituteListPoller { name, incarnation, rank }
                if name == self.member.name =>
            {
                self.on_substitute_list_poller(now, incarnation, rank);
            }
            message => self.on_update_message(message, Source::Member, commands),
        }
    }

    /// Handles a message that may come from a voter as well as from a member.
    fn on_update_message(&mut self, message: Message, source: Source, commands: &mut Vec<Command>) {
        match message {
            Message::Update { partition, from, revision, entries } => {
                let applied = self.apply_update(partition, from, revision, &entries, commands);
                if applied && source == Source::Member {
                    self.counters.updates_from_members += 1;
                }
            }
            Message::MembershipUpdate(membership) if membership.is_newer_than(&self.membership) => {
                self.adopt_membership(membership);
            }
            _ => {}
        }
    }

    fn adopt_membership(&mut self, membership: Membership) {
        self.membership = membership;
        if self.proofs.adopt(&self.membership, &self.member) {
            self.record_known_revision(self.membership.revision);
        }
        self.ring = NeighbourRing::new(&self.membership, &self.member.name);
        // Other members' joins settle only when this member has reported the new membership:
        // renew at once.
        self.lease.renew_at = 0;
    }

    /// Answers a member that asks for everything newer than `positions`.
    fn on_member_subscribe(
        &self,
        name: &str,
        positions: &[FeedPosition],
        stamp: u64,
        commands: &mut Vec<Command>,
    ) {
        let mut messages = self.updates_beyond(positions);
        messages.push(Message::MembershipUpdate(self.membership.clone()));
        if stamp != self.voter_set_stamp {
            messages
                .push(Message::VoterSetUpdate { replica_id: 0, voter_set: self.voter_set.clone() });
        }
        for message in messages {
            self.send_to_member(name, message, commands);
        }
    }
}
