//! Runs the commands of the controllers' state machines: messages, writes and responses.

use grebepath_core::command::Command;
use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::protocol::message::Message;
use grebepath_core::time::ms;

use super::events::ScheduledEvent;
use super::faulty_variant::FaultyVariant;
use super::{BEGIN, World};
use crate::connection_id::Opener;
use crate::simulated_disk::{Health, Job};

impl World {
    pub(super) fn run_controller_command(&mut self, controller: usize, command: Command) {
        let incarnation = self.controllers[controller].incarnation;
        match command {
            Command::ToVoter { slot, message } => {
                let table = &self.controllers[controller].state.voter_slots.voter_file.voter_set;
                let Some(to) = table.slots.get(usize::from(slot)) else { return };
                let Some(to) = self.machine(&to.addr) else { return };
                self.send_to_controller(controller, to, message);
            }
            Command::Broadcast { message } => {
                for to in self.connected_controllers(controller) {
                    self.send_to_controller(controller, to, message.clone());
                }
            }
            // Connections are not simulated; a new voter announces its voter set itself.
            Command::VoterSetChanged => {}
            Command::WriteVoterFile { token, voter_file: roll, clear } => {
                let at = self.controllers[controller].disk.write_voter_file(
                    self.now,
                    token,
                    roll,
                    clear,
                    &mut self.random,
                );
                if let Some(at) = at {
                    self.push_at(
                        at,
                        ScheduledEvent::VoterFileDone { controller, incarnation, token },
                    );
                }
            }
            Command::ToConnection { connection, message } => match Opener::of(connection) {
                Opener::Controller { number, incarnation } => {
                    self.answer_controller(controller, number, incarnation, message);
                }
                Opener::Querier { number, incarnation } => {
                    self.answer_querier(controller, number, incarnation, message);
                }
            },
            Command::AppendRecord { partition, token, record: rec } => {
                self.start_disk_job(controller, partition, token, Job::Append(rec))
            }
            Command::WriteSnapshot { partition, token, snapshot: copy } => {
                self.start_disk_job(controller, partition, token, Job::Snapshot(copy))
            }
            Command::Scrub { partition } => self.scrub(controller, partition),
            Command::Respond { op, result: done } => self.acknowledge(op as usize, done),
            Command::OwnResponse { .. } => {}
            Command::WakeAfter { span } => {
                self.push(
                    span,
                    ScheduledEvent::ControllerEvent {
                        controller,
                        incarnation,
                        event: CoreEvent::Wake,
                    },
                );
            }
            Command::Alarm(text) => {
                self.rules.note(self.now - BEGIN, || {
                    format!("controller {controller} (incarnation {incarnation}): {text}")
                });
                *self.alarms.entry(text).or_default() += 1;
            }
        }
    }

    /// Sends a message of a controller to another on the connection that the other opened.
    fn answer_controller(
        &mut self,
        controller: usize,
        to: usize,
        incarnation: u64,
        message: Message,
    ) {
        self.net.record("controller-controller", &message);
        let from = self.controllers[controller].endpoint(controller);
        let receiver = self.controllers[to].endpoint(to);
        let at = self.net.send(self.now, from, receiver, &mut self.random);
        if let Some(at) = at {
            let event = CoreEvent::FromController { message };
            self.push_at(
                at,
                ScheduledEvent::ControllerEvent { controller: to, incarnation, event },
            );
        }
    }

    /// Sends a message of a controller to a querier on the connection that the querier opened.
    fn answer_querier(
        &mut self,
        controller: usize,
        querier: usize,
        incarnation: u64,
        message: Message,
    ) {
        self.net.record("controller-querier", &message);
        let from = self.controllers[controller].endpoint(controller);
        let receiver = self.queriers[querier].endpoint(querier);
        let at = self.net.send(self.now, from, receiver, &mut self.random);
        if let Some(at) = at {
            let holder = self.controllers[controller].state.voter_slots.voter_file.replica_id;
            self.push_at(
                at,
                ScheduledEvent::ControllerMessage { querier, incarnation, holder, message },
            );
        }
    }

    /// Rereads the files of a controller's partition for corruption.
    fn scrub(&mut self, controller: usize, partition: PartitionId) {
        let node = &self.controllers[controller];
        if node.disk.health == Health::Stalled
            || self.faulty_variant == Some(FaultyVariant::NoScrub)
        {
            return;
        }
        let corruption = node.disk.scrub(partition);
        let (incarnation, event) =
            (node.incarnation, CoreEvent::Scrubbed { partition, corruption });
        self.push(ms(3), ScheduledEvent::ControllerEvent { controller, incarnation, event });
    }

    /// Sends a message of a controller to another's machine, under its current slot and replica id.
    pub(super) fn send_to_controller(&mut self, controller: usize, to: usize, message: Message) {
        self.net.record("controller-controller", &message);
        let from = self.controllers[controller].endpoint(controller);
        let receiver = self.controllers[to].endpoint(to);
        let at = self.net.send(self.now, from, receiver, &mut self.random);
        let Some(at) = at else { return };
        let node = &self.controllers[controller];
        let connection =
            Opener::Controller { number: controller, incarnation: node.incarnation }.connection();
        let event = if node.has_voter_slot() {
            CoreEvent::FromVoter {
                slot: node.state.slot,
                replica_id: node.state.voter_slots.voter_file.replica_id,
                connection,
                message,
            }
        } else {
            CoreEvent::FromConnection { connection, message }
        };
        let incarnation = self.controllers[to].incarnation;
        self.push_at(at, ScheduledEvent::ControllerEvent { controller: to, incarnation, event });
    }
}
