//! `ControllerState::step`: handles one event and returns the resulting commands.

use crate::command::Command;
use crate::control_plane::controller::{ControllerState, Event};
use crate::control_plane::disk_events::wake_disk;
use crate::control_plane::from_voters::VoterSender;
use crate::control_plane::operations::Request;
use crate::control_plane::{acceptance, endpoints, forgotten_members};
use crate::replication::partition::{Partition, Role};
use crate::time::{Tick, ms};
use crate::voter_set::{NO_SLOT, VoterGroup};

/// Interval between two timer ticks.
pub const WAKE_INTERVAL: crate::time::Span = ms(50);

impl ControllerState {
    /// Handles one event and returns the commands to execute.
    pub fn step(&mut self, now: Tick, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.on_event(now, event, &mut commands);
        let group = self.group();
        forgotten_members::apply(&self.partitions[0], &mut self.members, now);
        self.answer_status(now, &mut commands);
        let configuration = &mut self.partitions[0];
        acceptance::update(configuration, &mut self.members, now, group, &mut commands);
        self.handle_own_responses(now, &mut commands);
        self.respond_to_forwarded(&mut commands);
        self.broadcast(&mut commands);
        self.voter_slots.stamp_messages(now, &mut commands);
        commands
    }

    /// Routes an event by its source.
    fn on_event(&mut self, now: Tick, event: Event, commands: &mut Vec<Command>) {
        match event {
            Event::FromVoter { slot, replica_id, connection, message } => {
                let sender = VoterSender { slot, replica_id, connection };
                self.on_voter_message(now, sender, message, commands);
            }
            Event::FromController { message } => self.on_controller_message(now, message, commands),
            Event::FromConnection { connection, message } => {
                self.on_connection_message(now, connection, message, commands);
            }
            Event::Operate { op, request, expected_revision, operation } => {
                let request = Request { id: request, expected_revision, operation };
                self.on_operator_request(now, op, request, commands);
            }
            Event::Abandon { op } => self.abandon_request(op),
            Event::ForceRecovery => self.force_recovery(commands),
            Event::Stop => self.begin_handover(now, commands),
            Event::Wake => self.wake(now, commands),
            event => self.on_io_event(now, event, commands),
        }
    }

    /// Routes an event of the disk or of a connection.
    fn on_io_event(&mut self, now: Tick, event: Event, commands: &mut Vec<Command>) {
        match event {
            Event::ConnectionOpened { connection } => {
                self.voter_slots.connections.insert(connection);
                self.voter_slots.send_voter_set(connection, commands);
            }
            Event::ConnectionClosed { connection } => {
                self.subscribers.swap_remove(&connection);
                self.voter_slots.connections.swap_remove(&connection);
                self.drop_forwarded_from(connection);
                self.members.connections.retain(|_, known| *known != connection);
            }
            Event::VoterFileWritten { token } => self.on_voter_file_written(now, token, commands),
            Event::VoterFileFailed { why } => self.voter_slots.on_write_failed(now, &why, commands),
            Event::Synced { partition, token } => self.on_synced(now, partition, token, commands),
            Event::DiskFailed { partition, why } => {
                self.on_disk_failed(now, partition, why, commands);
            }
            Event::Scrubbed { partition, corruption: Some(why) } => {
                self.on_corruption(now, partition, &why, commands);
            }
            _ => {}
        }
    }

    /// Starts a forced recovery of all partitions, after an operator has confirmed that the
    /// lost replicas will not come back.
    fn force_recovery(&mut self, commands: &mut Vec<Command>) {
        for partition in &mut self.partitions {
            partition.force_recovery(commands);
        }
    }

    /// Handles a timer tick.
    fn wake(&mut self, now: Tick, commands: &mut Vec<Command>) {
        self.wake_voter_slots(now, commands);
        if self.slot != NO_SLOT {
            self.wake_partitions(now, commands);
        }
        self.wake_scrub(now, commands);
        self.wake_members(now, commands);
        self.wake_rollouts(now, commands);
        self.wake_requests(now, commands);
    }

    /// Handles a timer tick for the replicas of a voter.
    fn wake_partitions(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let group = self.group();
        for partition in &mut self.partitions {
            wake_disk(partition, now, commands);
            partition.wake_catch_up(now, group, &mut self.random, commands);
            let was_candidate = matches!(partition.role, Role::Candidate(_));
            match &partition.role {
                Role::Leader(_) => wake_leader(partition, now, group, commands),
                _ => partition.wake_election(now, group, &mut self.random, commands),
            }
            let is_candidate = matches!(partition.role, Role::Candidate(_));
            self.counters.candidacies += u64::from(!was_candidate && is_candidate);
        }
    }
}

/// Handles a timer tick for a leader: its replicas, the ages of its endpoints and the
/// pending operations. A leader that steps down first no longer has pending operations.
fn wake_leader(
    partition: &mut Partition,
    now: Tick,
    group: VoterGroup,
    commands: &mut Vec<Command>,
) {
    partition.wake_leader(now, group, commands);
    endpoints::update_ages(partition, now, group, commands);
    partition.request_round(now, group, commands);
    partition.complete_operations(now, group, commands);
}
