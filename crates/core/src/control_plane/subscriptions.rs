//! The subscribers of the feeds, with the revisions that were sent to each.

use crate::command::{Command, ConnectionId};
use crate::control_plane::controller::ControllerState;
use crate::control_plane::feed;
use crate::identifiers::MEMBERSHIP_FEED;
use crate::protocol::message::{FeedPosition, Message};

impl ControllerState {
    /// Sends every subscriber what was committed since the last broadcast. Each update is
    /// sent once; a subscriber that lost one reports its position in its next `Subscribe`.
    pub(super) fn broadcast(&mut self, commands: &mut Vec<Command>) {
        let membership = self.members.membership.feed_revision();
        let committed = self.partitions.iter().map(|partition| partition.committed_revision);
        let latest_revisions: Vec<u64> = committed.chain([membership]).collect();
        if latest_revisions == self.broadcast_up_to {
            return;
        }
        self.broadcast_up_to = latest_revisions;
        let connections: Vec<ConnectionId> = self.subscribers.keys().copied().collect();
        for connection in connections {
            self.send_updates(connection, commands);
        }
    }

    /// Sends one subscriber all updates up to the committed revisions.
    fn send_updates(&mut self, connection: ConnectionId, commands: &mut Vec<Command>) {
        let Some(positions) = self.subscribers.get_mut(&connection) else { return };
        let membership = &self.members.membership;
        if let Some(revision) = positions.get_mut(&MEMBERSHIP_FEED)
            && *revision < membership.feed_revision()
        {
            *revision = membership.feed_revision();
            let message = Message::MembershipUpdate(membership.clone());
            commands.push(Command::ToConnection { connection, message });
        }
        for partition in &self.partitions {
            let revision = positions.entry(partition.id).or_insert(0);
            if let Some(message) = feed::update_after(partition, *revision) {
                *revision = partition.committed_revision;
                self.counters.updates_sent += 1;
                commands.push(Command::ToConnection { connection, message });
            }
        }
    }

    /// Handles the subscription of a peer, with its position in each partition and the
    /// stamp of its voter set.
    pub(super) fn on_subscribe(
        &mut self,
        connection: ConnectionId,
        positions: Vec<FeedPosition>,
        stamp: u64,
        commands: &mut Vec<Command>,
    ) {
        let wants_membership =
            positions.iter().any(|position| position.partition == MEMBERSHIP_FEED);
        if !wants_membership && !self.subscribers.contains_key(&connection) {
            self.send_membership_to(connection, commands);
        }
        if stamp != self.voter_slots.stamp {
            self.voter_slots.send_voter_set(connection, commands);
        }
        let known = self.subscribers.entry(connection).or_default();
        for position in positions {
            known.insert(position.partition, position.revision);
        }
        commands.push(Command::ToConnection { connection, message: self.feed_positions() });
        self.send_updates(connection, commands);
    }

    /// Returns the newest revision of each partition whose replica on this node can vote.
    fn feed_positions(&self) -> Message {
        let voting = self.partitions.iter().filter(|partition| partition.can_vote());
        let mut positions: Vec<FeedPosition> = voting
            .map(|partition| FeedPosition {
                partition: partition.id,
                revision: partition.state.revision,
            })
            .collect();
        let revision = self.members.membership.feed_revision();
        positions.push(FeedPosition { partition: MEMBERSHIP_FEED, revision });
        Message::FeedPositions { positions, stamp: self.voter_slots.stamp }
    }
}
