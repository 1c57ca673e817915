//! Controllers' machines: starts, deaths, disks, and what their core wants done.

use grebepath_core::control_plane::controller as st;
use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::identifiers::{PartitionId, VoterSlot, partitions};
use grebepath_core::protocol::message::{Message, ReplicaCondition};
use grebepath_core::random::Random;
use grebepath_core::storage::reader::Found;
use grebepath_core::storage::record::ReplicaState;
use grebepath_core::storage::voter_file;
use grebepath_core::storage::voter_file::Start;
use grebepath_core::time::{BOOT, SECOND, Span, ms};

use super::build::address;
use super::events::{FollowUp, ScheduledEvent};
use super::faulty_variant::FaultyVariant;
use super::nodes::{ControllerNode, Stopping, has_voter_slot};
use super::{BEGIN, World};
use crate::mock_backends::ZONES;
use crate::net::Node;
use crate::simulated_disk::{Disk, Health, Job};

/// From the wish that a controller stops to its end by force.
const STOP_GRACE: Span = 6 * SECOND;

impl World {
    /// One more machine for a controller, with an empty disk; gives its number.
    pub fn add_controller(&mut self, zone: Option<&str>) -> usize {
        let controller = self.controllers.len();
        let disk = Disk::new(partitions().count());
        let state = st::ControllerState::new(Default::default(), ("", ""), Vec::new(), 0, 1);
        let zone = zone.unwrap_or(ZONES[controller % ZONES.len()]).to_string();
        self.controllers.push(ControllerNode {
            zone,
            life: 0,
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

    /// Starts a controller on its disk.
    pub fn start_controller(&mut self, controller: usize) {
        let seed = self.random.next_u64();
        let start = Start {
            slot: self
                .control_plane
                .slots_assigned
                .then_some(controller as VoterSlot)
                .filter(|controller| usize::from(*controller) < self.control_plane.voter_slots),
            first: self.now == BEGIN,
            seeds: self.control_plane.seeds.iter().map(|controller| address(*controller)).collect(),
            size: self.control_plane.voter_slots,
            addr: address(controller),
        };
        let disk = &mut self.controllers[controller].disk;
        let bare = disk.bare();
        let (roll, clear) = voter_file::begin(disk.roll(), &start, bare, seed);
        disk.put_roll(&roll, clear);
        let found = disk.start();
        let votes_after_loss =
            self.faulty_variant == Some(FaultyVariant::VotesAfterDiskLoss) && bare && !start.first;
        let list = found
            .into_iter()
            .map(|(part, found)| match found {
                Found::Empty if votes_after_loss => {
                    (part, ReplicaCondition::Voting, ReplicaState::default(), 0)
                }
                Found::Empty => (part, ReplicaCondition::Empty, ReplicaState::default(), 0),
                Found::Damaged(why) => {
                    *self.alarms.entry(format!("damaged: {why}")).or_default() += 1;
                    (part, ReplicaCondition::Damaged, ReplicaState::default(), 0)
                }
                Found::Good { copy, .. } => (part, ReplicaCondition::Voting, copy, 0),
            })
            .collect();
        let node = &mut self.controllers[controller];
        node.life += 1;
        node.up = true;
        node.began = self.now;
        node.paused = 0;
        node.stopping = None;
        node.state = st::ControllerState::new(roll, (&start.addr, &node.zone), list, seed, BOOT);
        let life = node.life;
        self.push(start_delay(seed, 50), ScheduledEvent::ControllerTimer { controller, life });
        // It dials its seeds and all whom it knows, who tell it the table.
        for to in self.connected_controllers(controller) {
            self.announce_connection(
                to,
                CoreEvent::ConnectionOpened { connection: controller_connection(controller, life) },
            );
        }
    }

    /// The machines to which a controller has connections.
    fn connected_controllers(&self, controller: usize) -> Vec<usize> {
        let table = &self.controllers[controller].state.seating.roll.table;
        let known = table.slots.iter().filter_map(|h| self.machine(&h.addr));
        let mut list: Vec<usize> = known.chain(self.control_plane.seeds.iter().copied()).collect();
        list.retain(|to| *to != controller && *to < self.controllers.len());
        list.sort_unstable();
        list.dedup();
        list
    }

    fn announce_connection(&mut self, to: usize, event: CoreEvent) {
        let life = self.controllers[to].life;
        self.push(ms(2), ScheduledEvent::ControllerEvent { controller: to, life, event });
    }

    /// What a seat hears when seats go by tables of their own.
    pub(super) fn as_seen_by_faulty_voter(
        &self,
        controller: usize,
        mut event: CoreEvent,
    ) -> Option<CoreEvent> {
        let core = &self.controllers[controller].state;
        if self.faulty_variant != Some(FaultyVariant::IgnoresOtherVoterSets)
            || !has_voter_slot(&self.controllers[controller])
        {
            return Some(event);
        }
        match &mut event {
            CoreEvent::FromVoter { message: Message::VoterSetUpdate { .. }, .. }
            | CoreEvent::FromConnection { message: Message::VoterSetUpdate { .. }, .. }
            | CoreEvent::FromController { message: Message::VoterSetUpdate { .. } } => return None,
            CoreEvent::FromVoter { slot: seat, holder, message, .. } => {
                let table = &core.seating.roll.table;
                *holder = table.slots.get(usize::from(*seat)).map_or(0, |h| h.holder);
                if let Some(stamp) = grebepath_core::voters::voter_slots::stamped(message) {
                    *stamp = core.seating.stamp;
                }
            }
            _ => {}
        }
        Some(event)
    }

    /// What comes on a new connection is preceded by its opening.
    pub(super) fn open_connection(&mut self, controller: usize, event: &CoreEvent) {
        let connection = match event {
            CoreEvent::FromVoter { connection, .. }
            | CoreEvent::FromConnection { connection, .. }
            | CoreEvent::ConnectionOpened { connection } => *connection,
            _ => return,
        };
        let new = self.opened_connections.insert((
            controller,
            self.controllers[controller].life,
            connection,
        ));
        if new && !matches!(event, CoreEvent::ConnectionOpened { .. }) {
            self.step_controller(controller, CoreEvent::ConnectionOpened { connection });
        }
    }

    /// Ends a controller at once; power may be lost with it.
    pub fn kill_controller(&mut self, controller: usize, power: bool) {
        self.controllers[controller].up = false;
        self.controllers[controller].life += 1;
        if power {
            let mut random = Random::new(self.random.next_u64());
            self.controllers[controller].disk.power_loss(&mut random);
        } else {
            // What was handed to the system is written whether we live or not.
            for (part, token) in self.controllers[controller].disk.waiting() {
                self.controllers[controller].disk.done(part, token);
            }
            for token in self.controllers[controller].disk.rolls() {
                self.controllers[controller].disk.kept(token);
            }
        }
    }

    /// Asks a controller to stop, as SIGTERM does. It ends when it says so, or by
    /// force when the platform's patience ends, and starts again after `restart`.
    pub fn stop_controller(&mut self, controller: usize, restart: Option<Span>) {
        if !self.controllers[controller].up {
            return;
        }
        self.controllers[controller].stopping = Some(Stopping { restart });
        if self.faulty_variant == Some(FaultyVariant::StopsBeforeHandover) {
            return self.end_controller(controller);
        }
        let life = self.controllers[controller].life;
        self.later(STOP_GRACE, FollowUp::ForceStop { controller, life });
        self.step_controller(controller, CoreEvent::Stop);
    }

    /// A controller that was asked to stop has ended.
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
        let todo = self.controllers[controller].state.step(local, event);
        for command in todo {
            self.run_controller_command(controller, command);
        }
        if self.controllers[controller].stopping.is_some()
            && grebepath_core::voters::handover::may_end(&self.controllers[controller].state, local)
        {
            self.end_controller(controller);
        }
    }

    pub(super) fn run_controller_command(
        &mut self,
        controller: usize,
        command: grebepath_core::command::Command,
    ) {
        let life = self.controllers[controller].life;
        match command {
            grebepath_core::command::Command::ToVoter { slot: seat, message } => {
                let table = &self.controllers[controller].state.seating.roll.table;
                let Some(to) = table.slots.get(usize::from(seat)) else { return };
                let Some(to) = self.machine(&to.addr) else { return };
                self.send_to_controller(controller, to, message);
            }
            grebepath_core::command::Command::Broadcast { message } => {
                for to in self.connected_controllers(controller) {
                    self.send_to_controller(controller, to, message.clone());
                }
            }
            // Wires are not played; who is new tells its table when it is heard.
            grebepath_core::command::Command::VoterSetChanged => {}
            grebepath_core::command::Command::WriteVoterFile { token, roll, clear } => {
                let at = self.controllers[controller].disk.keep(
                    self.now,
                    token,
                    roll,
                    clear,
                    &mut self.random,
                );
                if let Some(at) = at {
                    self.push_at(at, ScheduledEvent::VoterFileDone { controller, life, token });
                }
            }
            grebepath_core::command::Command::ToConnection { connection, message }
                if connection >> 63 == 1 =>
            {
                self.net.weigh("seat-seat", &message);
                let (to, tolife) = ((connection << 1 >> 33) as usize, connection & 0xffff_ffff);
                let ends = (Node::Controller(controller as u8), Node::Controller(to as u8));
                let zones =
                    (self.controllers[controller].zone.clone(), self.controllers[to].zone.clone());
                let at = self.net.send(
                    self.now,
                    (ends.0, &zones.0),
                    (ends.1, &zones.1),
                    &mut self.random,
                );
                if let Some(at) = at {
                    let event = CoreEvent::FromController { message };
                    self.push_at(
                        at,
                        ScheduledEvent::ControllerEvent { controller: to, life: tolife, event },
                    );
                }
            }
            grebepath_core::command::Command::ToConnection { connection, message } => {
                self.net.weigh("seat-querier", &message);
                let (querier, qlife) = ((connection >> 32) as usize, connection & 0xffff_ffff);
                let to = (Node::Querier(querier), self.queriers[querier].zone.clone());
                let zone = self.controllers[controller].zone.clone();
                let from = (Node::Controller(controller as u8), zone.as_str());
                let at = self.net.send(self.now, from, (to.0, &to.1), &mut self.random);
                if let Some(at) = at {
                    let holder = self.controllers[controller].state.seating.roll.me;
                    self.push_at(
                        at,
                        ScheduledEvent::ControllerMessage { querier, life: qlife, holder, message },
                    );
                }
            }
            grebepath_core::command::Command::AppendRecord { partition: part, token, rec } => {
                self.start_disk_job(controller, part, token, Job::Append(rec))
            }
            grebepath_core::command::Command::WriteSnapshot { partition: part, token, copy } => {
                self.start_disk_job(controller, part, token, Job::Slot(copy))
            }
            grebepath_core::command::Command::Scrub { partition: part } => {
                if self.controllers[controller].disk.health != Health::Stalled
                    && self.faulty_variant != Some(FaultyVariant::NoScrub)
                {
                    let trouble = self.controllers[controller].disk.look(part);
                    self.push(
                        ms(3),
                        ScheduledEvent::ControllerEvent {
                            controller,
                            life,
                            event: CoreEvent::Scrubbed { partition: part, trouble },
                        },
                    );
                }
            }
            grebepath_core::command::Command::Respond { op, done } => {
                self.acknowledge(op as usize, done)
            }
            grebepath_core::command::Command::OwnResponse { .. } => {}
            grebepath_core::command::Command::WakeAfter { span } => {
                self.push(
                    span,
                    ScheduledEvent::ControllerEvent { controller, life, event: CoreEvent::Wake },
                );
            }
            grebepath_core::command::Command::Alarm(text) => {
                self.rules
                    .tell(self.now - BEGIN, || format!("seat {controller} (life {life}): {text}"));
                *self.alarms.entry(text).or_default() += 1;
            }
        }
    }

    /// A controller sends to another's machine, as who it is just now.
    fn send_to_controller(&mut self, controller: usize, to: usize, message: Message) {
        self.net.weigh("seat-seat", &message);
        let ends = (Node::Controller(controller as u8), Node::Controller(to as u8));
        let zones = (self.controllers[controller].zone.clone(), self.controllers[to].zone.clone());
        let at = self.net.send(self.now, (ends.0, &zones.0), (ends.1, &zones.1), &mut self.random);
        let Some(at) = at else { return };
        let node = &self.controllers[controller];
        let connection = controller_connection(controller, node.life);
        let event = if has_voter_slot(node) {
            CoreEvent::FromVoter {
                slot: node.state.slot,
                holder: node.state.seating.roll.me,
                connection,
                message,
            }
        } else {
            CoreEvent::FromConnection { connection, message }
        };
        let life = self.controllers[to].life;
        self.push_at(at, ScheduledEvent::ControllerEvent { controller: to, life, event });
    }

    pub(super) fn start_disk_job(
        &mut self,
        controller: usize,
        part: PartitionId,
        token: u64,
        job: Job,
    ) {
        let life = self.controllers[controller].life;
        let at =
            self.controllers[controller].disk.begin(self.now, part, token, job, &mut self.random);
        if let Some(at) = at {
            self.push_at(at, ScheduledEvent::DiskJobDone { controller, life, part, token });
        }
        if self.faulty_variant == Some(FaultyVariant::AcknowledgesBeforeSync) {
            self.push(
                10,
                ScheduledEvent::ControllerEvent {
                    controller,
                    life,
                    event: CoreEvent::Synced { partition: part, token },
                },
            );
        }
    }

    /// Changes the health of a disk; a stall that ends lets the line go on.
    pub fn set_disk_health(&mut self, controller: usize, health: Health) {
        let was = std::mem::replace(&mut self.controllers[controller].disk.health, health);
        if was == Health::Stalled && health != Health::Stalled {
            let life = self.controllers[controller].life;
            for (i, (part, token)) in
                self.controllers[controller].disk.waiting().into_iter().enumerate()
            {
                self.push(
                    ms(2 + i as u64),
                    ScheduledEvent::DiskJobDone { controller, life, part, token },
                );
            }
            for token in self.controllers[controller].disk.rolls() {
                self.push(ms(2), ScheduledEvent::VoterFileDone { controller, life, token });
            }
        }
    }
}

/// The connection that a controller's machine opens to others.
fn controller_connection(controller: usize, life: u64) -> u64 {
    1 << 63 | (controller as u64) << 32 | life
}

pub(super) fn start_delay(seed: u64, limit: u64) -> Span {
    ms(1 + seed % limit)
}
