//! What the state machines of controllers want done: messages, writes and answers.

use grebepath_core::command::Command;
use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::protocol::message::Message;
use grebepath_core::time::ms;

use super::controllers::controller_connection;
use super::events::ScheduledEvent;
use super::faulty_variant::FaultyVariant;
use super::nodes::has_voter_slot;
use super::{BEGIN, World};
use crate::net::Node;
use crate::simulated_disk::{Health, Job};

impl World {
    pub(super) fn run_controller_command(&mut self, controller: usize, command: Command) {
        let life = self.controllers[controller].life;
        match command {
            Command::ToVoter { slot, message } => {
                let table = &self.controllers[controller].state.seating.roll.table;
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
            Command::WriteVoterFile { token, roll, clear } => {
                let at = self.controllers[controller].disk.write_voter_file(
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
            Command::ToConnection { connection, message } if connection >> 63 == 1 => {
                self.answer_controller(controller, connection, message);
            }
            Command::ToConnection { connection, message } => {
                self.answer_querier(controller, connection, message);
            }
            Command::AppendRecord { partition: part, token, rec } => {
                self.start_disk_job(controller, part, token, Job::Append(rec))
            }
            Command::WriteSnapshot { partition: part, token, copy } => {
                self.start_disk_job(controller, part, token, Job::Snapshot(copy))
            }
            Command::Scrub { partition } => self.scrub(controller, partition),
            Command::Respond { op, done } => self.acknowledge(op as usize, done),
            Command::OwnResponse { .. } => {}
            Command::WakeAfter { span } => {
                self.push(
                    span,
                    ScheduledEvent::ControllerEvent { controller, life, event: CoreEvent::Wake },
                );
            }
            Command::Alarm(text) => {
                self.rules
                    .tell(self.now - BEGIN, || format!("seat {controller} (life {life}): {text}"));
                *self.alarms.entry(text).or_default() += 1;
            }
        }
    }

    /// A controller answers another on the connection that the other opened.
    fn answer_controller(&mut self, controller: usize, connection: u64, message: Message) {
        self.net.weigh("seat-seat", &message);
        let (to, life) = ((connection << 1 >> 33) as usize, connection & 0xffff_ffff);
        let from = (Node::Controller(controller as u8), self.controllers[controller].zone.as_str());
        let to_node = (Node::Controller(to as u8), self.controllers[to].zone.as_str());
        let at = self.net.send(self.now, from, to_node, &mut self.random);
        if let Some(at) = at {
            let event = CoreEvent::FromController { message };
            self.push_at(at, ScheduledEvent::ControllerEvent { controller: to, life, event });
        }
    }

    /// A controller sends to a querier on the connection that the querier opened.
    fn answer_querier(&mut self, controller: usize, connection: u64, message: Message) {
        self.net.weigh("seat-querier", &message);
        let (querier, life) = ((connection >> 32) as usize, connection & 0xffff_ffff);
        let from = (Node::Controller(controller as u8), self.controllers[controller].zone.as_str());
        let to_node = (Node::Querier(querier), self.queriers[querier].zone.as_str());
        let at = self.net.send(self.now, from, to_node, &mut self.random);
        if let Some(at) = at {
            let holder = self.controllers[controller].state.seating.roll.me;
            self.push_at(at, ScheduledEvent::ControllerMessage { querier, life, holder, message });
        }
    }

    /// A controller reads a partition's files again.
    fn scrub(&mut self, controller: usize, partition: PartitionId) {
        let node = &self.controllers[controller];
        if node.disk.health == Health::Stalled
            || self.faulty_variant == Some(FaultyVariant::NoScrub)
        {
            return;
        }
        let trouble = node.disk.scrub(partition);
        let (life, event) = (node.life, CoreEvent::Scrubbed { partition, trouble });
        self.push(ms(3), ScheduledEvent::ControllerEvent { controller, life, event });
    }

    /// A controller sends to another's machine, as who it is just now.
    pub(super) fn send_to_controller(&mut self, controller: usize, to: usize, message: Message) {
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
}
