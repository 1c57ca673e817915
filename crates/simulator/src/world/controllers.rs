//! Controllers' machines: starts, stops, connections, and the steps of their state
//! machines.

use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::identifiers::{VoterSlot, partitions};
use grebepath_core::protocol::message::Message;
use grebepath_core::random::Random;
use grebepath_core::storage::voter_file::Start;
use grebepath_core::time::{BOOT, SECOND, Span, ms};

use super::build::address;
use super::events::{FollowUp, ScheduledEvent};
use super::faulty_variant::FaultyVariant;
use super::nodes::{ControllerNode, Stopping};
use super::{BEGIN, World};
use crate::connection_id::Opener;
use crate::controller_start::Recovered;
use crate::mock_backends::ZONES;
use crate::simulated_disk::Disk;

/// Seeds that the platform writes into a process's settings (count).
const SEEDS_WRITTEN: usize = 3;
/// Time from a stop request until the process is killed.
const STOP_GRACE: Span = 6 * SECOND;

impl World {
    /// Adds a machine for a controller, with an empty disk, and returns its number.
    pub fn add_controller(&mut self, zone: Option<&str>) -> usize {
        let controller = self.controllers.len();
        let disk = Disk::new(partitions().count());
        let state = ControllerState::new(Default::default(), ("", ""), Vec::new(), 0, 1);
        let zone = zone.unwrap_or(ZONES[controller % ZONES.len()]).to_string();
        self.controllers.push(ControllerNode {
            zone,
            incarnation: 0,
            up: false,
            state,
            began: 0,
            disk,
            paused: 0,
            stopping: None,
        });
        self.start_controller(controller);
        controller
    }

    /// Starts a controller's process from what its disk holds.
    pub fn start_controller(&mut self, controller: usize) {
        let seed = self.random.next_u64();
        let start = Start {
            slot: self
                .control_plane
                .slots_assigned
                .then_some(controller as VoterSlot)
                .filter(|controller| usize::from(*controller) < self.control_plane.voter_slots),
            is_first_start: self.now == BEGIN,
            seeds: self.control_plane.seeds.iter().map(|controller| address(*controller)).collect(),
            size: self.control_plane.voter_slots,
            addr: address(controller),
        };
        let disk = &mut self.controllers[controller].disk;
        let mut recovered = Recovered::read(disk, &start, seed);
        for why in &recovered.damage {
            *self.alarms.entry(format!("damaged: {why}")).or_default() += 1;
        }
        if self.faulty_variant == Some(FaultyVariant::VotesAfterDiskLoss)
            && recovered.was_empty
            && !start.is_first_start
        {
            recovered.vote_without_files();
        }
        let node = &mut self.controllers[controller];
        node.incarnation += 1;
        node.up = true;
        node.began = self.now;
        node.paused = 0;
        node.stopping = None;
        node.state = recovered.into_state(&start.addr, &node.zone, seed);
        let incarnation = node.incarnation;
        self.push(
            start_delay(seed, 50),
            ScheduledEvent::ControllerTimer { controller, incarnation },
        );
        // It connects to its seeds and all known voters, which send it the voter set.
        let connection = Opener::Controller { number: controller, incarnation }.connection();
        for to in self.connected_controllers(controller) {
            self.announce_connection(to, CoreEvent::ConnectionOpened { connection });
        }
    }

    /// Returns the machines to which a controller has connections.
    pub(super) fn connected_controllers(&self, controller: usize) -> Vec<usize> {
        let table = &self.controllers[controller].state.voter_slots.voter_file.voter_set;
        let known = table.slots.iter().filter_map(|h| self.machine(&h.addr));
        let mut list: Vec<usize> = known.chain(self.control_plane.seeds.iter().copied()).collect();
        list.retain(|to| *to != controller && *to < self.controllers.len());
        list.sort_unstable();
        list.dedup();
        list
    }

    /// Replaces the seeds in the settings by current voters, as the platform does, and has the
    /// controllers apply them: those that know no voter connect to the seeds.
    pub fn renew_seeds(&mut self) {
        let is_voter = |node: &ControllerNode| node.up && node.has_voter_slot();
        let voters = self.controllers.iter().enumerate().filter(|(_, node)| is_voter(node));
        let seeds: Vec<usize> = voters.map(|(number, _)| number).take(SEEDS_WRITTEN).collect();
        self.control_plane.seeds = seeds;
        for controller in 0..self.controllers.len() {
            let node = &self.controllers[controller];
            let knows_voters = node
                .state
                .voter_slots
                .voter_file
                .voter_set
                .slots
                .iter()
                .any(|slot| slot.replica_id != 0);
            if !node.up || knows_voters {
                continue;
            }
            let connection =
                Opener::Controller { number: controller, incarnation: node.incarnation }
                    .connection();
            for to in self.connected_controllers(controller) {
                self.announce_connection(to, CoreEvent::ConnectionOpened { connection });
            }
        }
    }

    fn announce_connection(&mut self, to: usize, event: CoreEvent) {
        let incarnation = self.controllers[to].incarnation;
        self.push(ms(2), ScheduledEvent::ControllerEvent { controller: to, incarnation, event });
    }

    /// Returns an event as the faulty variant receives it: one that counts by its own voter set, or
    /// that doesn't distinguish the incarnations of another voter.
    pub(super) fn as_seen_by_faulty_voter(
        &self,
        controller: usize,
        mut event: CoreEvent,
    ) -> Option<CoreEvent> {
        if self.faulty_variant == Some(FaultyVariant::CountsFormerAcknowledgements) {
            forget_incarnation(&mut event);
        }
        let core = &self.controllers[controller].state;
        if self.faulty_variant != Some(FaultyVariant::IgnoresOtherVoterSets)
            || !self.controllers[controller].has_voter_slot()
        {
            return Some(event);
        }
        match &mut event {
            CoreEvent::FromVoter { message: Message::VoterSetUpdate { .. }, .. }
            | CoreEvent::FromConnection { message: Message::VoterSetUpdate { .. }, .. }
            | CoreEvent::FromController { message: Message::VoterSetUpdate { .. } } => return None,
            CoreEvent::FromVoter { slot, replica_id, message, .. } => {
                let table = &core.voter_slots.voter_file.voter_set;
                *replica_id = table.slots.get(usize::from(*slot)).map_or(0, |h| h.replica_id);
                if let Some(stamp) = grebepath_core::voters::stamp::stamp_of_mut(message) {
                    *stamp = core.voter_slots.stamp;
                }
            }
            _ => {}
        }
        Some(event)
    }

    /// Delivers the opening of a connection before its first message.
    pub(super) fn open_connection(&mut self, controller: usize, event: &CoreEvent) {
        let connection = match event {
            CoreEvent::FromVoter { connection, .. }
            | CoreEvent::FromConnection { connection, .. }
            | CoreEvent::ConnectionOpened { connection } => *connection,
            _ => return,
        };
        let new = self.opened_connections.insert((
            controller,
            self.controllers[controller].incarnation,
            connection,
        ));
        if new && !matches!(event, CoreEvent::ConnectionOpened { .. }) {
            self.step_controller(controller, CoreEvent::ConnectionOpened { connection });
        }
    }

    /// Kills a controller's process, with its machine's power if `power` is set.
    pub fn kill_controller(&mut self, controller: usize, power: bool) {
        self.controllers[controller].up = false;
        self.controllers[controller].incarnation += 1;
        if power {
            let mut random = Random::new(self.random.next_u64());
            self.controllers[controller].disk.power_loss(&mut random);
        } else {
            self.controllers[controller].disk.finish_all();
        }
    }

    /// Asks a controller to stop, as SIGTERM does. The process ends when the controller allows it, or
    /// is killed after the platform's grace period, and starts again after `restart`.
    pub fn stop_controller(&mut self, controller: usize, restart: Option<Span>) {
        if !self.controllers[controller].up {
            return;
        }
        self.controllers[controller].stopping = Some(Stopping { restart });
        if self.faulty_variant == Some(FaultyVariant::StopsBeforeHandover) {
            return self.end_controller(controller);
        }
        let incarnation = self.controllers[controller].incarnation;
        self.later(STOP_GRACE, FollowUp::ForceStop { controller, incarnation });
        self.step_controller(controller, CoreEvent::Stop);
    }

    /// Ends the process of a controller that was asked to stop.
    pub(super) fn end_controller(&mut self, controller: usize) {
        let Some(Stopping { restart }) = self.controllers[controller].stopping.take() else {
            return;
        };
        self.kill_controller(controller, false);
        if let Some(span) = restart {
            self.later(span, FollowUp::StartController(controller));
        }
    }

    pub(super) fn step_controller(&mut self, controller: usize, event: CoreEvent) {
        let local = self.now - self.controllers[controller].began + BOOT;
        let commands = self.controllers[controller].state.step(local, event);
        for command in commands {
            self.run_controller_command(controller, command);
        }
        self.check_membership_memory(controller);
        if self.controllers[controller].stopping.is_some()
            && self.controllers[controller].state.may_end(local)
        {
            self.end_controller(controller);
        }
    }

    /// Delivers an event to a controller; the first message of a connection is preceded by
    /// its opening.
    pub(super) fn deliver_to_controller(&mut self, controller: usize, event: CoreEvent) {
        let Some(event) = self.as_seen_by_faulty_voter(controller, event) else { return };
        self.open_connection(controller, &event);
        self.step_controller(controller, event);
    }
}

/// Removes from an event the incarnation of the voter that sent it.
fn forget_incarnation(event: &mut CoreEvent) {
    if let CoreEvent::FromVoter { connection, .. } = event
        && let Opener::Controller { number, .. } = Opener::of(*connection)
    {
        *connection = Opener::Controller { number, incarnation: 0 }.connection();
    }
}

pub(super) fn start_delay(seed: u64, limit: u64) -> Span {
    ms(1 + seed % limit)
}
