//! Processes the events of the scale model and the commands that they cause.

use std::rc::Rc;

use grebepath_core::command::Command;
use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::control_plane::step as control_plane_step;
use grebepath_core::http_api::list;
use grebepath_core::identifiers::{PartitionId, VoterSlot};
use grebepath_core::membership::node_agent;
use grebepath_core::membership::step as membership_step;
use grebepath_core::protocol::frame;
use grebepath_core::protocol::message::{LeafReport, Message};
use grebepath_core::storage::voter_file;
use grebepath_core::storage::writer;
use grebepath_core::time::{BOOT, MILLI, ms};

use super::world::{Raw, ScheduledEvent, Sender, World};
use crate::connection_id::Opener;
use crate::controller_start::{disk_event, voter_file_event};
use crate::scale_model::meter::{add, kind, timed};
use crate::scale_model::topology;
use crate::simulated_disk::Job;

/// Messages of at least this size are shared by all recipients (bytes). This saves memory of this
/// process and changes no count.
const SHARED_MESSAGE_BYTES: usize = 4_096;

impl World {
    /// Processes a due event.
    pub(super) fn handle(&mut self, event: ScheduledEvent) {
        if self.is_stale(&event) {
            return;
        }
        match event {
            ScheduledEvent::ControllerTimer { controller, incarnation } => {
                self.push(
                    control_plane_step::WAKE_INTERVAL,
                    ScheduledEvent::ControllerTimer { controller, incarnation },
                );
                self.step_controller(controller, CoreEvent::Wake);
            }
            ScheduledEvent::ControllerMessage { controller, incarnation, from, raw } => {
                self.deliver_to_controller(controller, incarnation, from, &raw);
            }
            ScheduledEvent::ControllerEvent { controller, event, .. } => {
                self.step_controller(controller, *event);
            }
            ScheduledEvent::DiskJobDone { controller, partition, token, .. } => {
                let disk = &mut self.controllers[controller].disk;
                let Some(result) = disk.finish_job(partition, token) else { return };
                self.step_controller(controller, disk_event(partition, token, result));
            }
            ScheduledEvent::VoterFileDone { controller, token, .. } => {
                let disk = &mut self.controllers[controller].disk;
                let Some(result) = disk.finish_voter_file(token) else { return };
                self.step_controller(controller, voter_file_event(token, result));
            }
            ScheduledEvent::QuerierTimer { querier, incarnation } => {
                self.push(
                    membership_step::WAKE_INTERVAL,
                    ScheduledEvent::QuerierTimer { querier, incarnation },
                );
                self.step_querier(querier, node_agent::Event::Wake);
            }
            ScheduledEvent::QuerierMessage { querier, from, raw, .. } => {
                self.deliver_to_querier(querier, from, &raw);
            }
            ScheduledEvent::QuerierEvent { querier, event, .. } => {
                self.step_querier(querier, *event);
            }
            ScheduledEvent::ListResponse { querier, .. } => self.deliver_list(querier),
            ScheduledEvent::StartQuerier { querier } => {
                if !self.queriers[querier].up {
                    self.start_querier(querier);
                }
            }
            ScheduledEvent::StartController { controller } => {
                if !self.controllers[controller].up {
                    self.start_controller(controller);
                }
            }
        }
    }

    /// Returns whether the process that an event is addressed to has ended.
    fn is_stale(&self, event: &ScheduledEvent) -> bool {
        match event {
            ScheduledEvent::ControllerTimer { controller, incarnation }
            | ScheduledEvent::ControllerMessage { controller, incarnation, .. }
            | ScheduledEvent::ControllerEvent { controller, incarnation, .. }
            | ScheduledEvent::DiskJobDone { controller, incarnation, .. }
            | ScheduledEvent::VoterFileDone { controller, incarnation, .. } => {
                let node = &self.controllers[*controller];
                !node.up || node.incarnation != *incarnation
            }
            ScheduledEvent::QuerierTimer { querier, incarnation }
            | ScheduledEvent::QuerierMessage { querier, incarnation, .. }
            | ScheduledEvent::QuerierEvent { querier, incarnation, .. }
            | ScheduledEvent::ListResponse { querier, incarnation } => {
                let node = &self.queriers[*querier];
                !node.up || node.incarnation != *incarnation
            }
            ScheduledEvent::StartQuerier { .. } | ScheduledEvent::StartController { .. } => false,
        }
    }

    /// Delivers a message to a controller.
    fn deliver_to_controller(
        &mut self,
        controller: usize,
        incarnation: u64,
        from: Sender,
        raw: &Raw,
    ) {
        let node = &mut self.controllers[controller];
        add(&mut node.meter.received, size(raw));
        let Some(message) = timed(&mut node.meter.codec_ns, || read(raw)) else { return };
        let (connection, event) = match from {
            Sender::VoterSlot(slot) => {
                let number = usize::from(slot);
                let node = &self.controllers[number];
                let connection =
                    Opener::Controller { number, incarnation: node.incarnation }.connection();
                let holder = node.state.voter_slots.voter_file.replica_id;
                (connection, CoreEvent::FromVoter { slot, replica_id: holder, connection, message })
            }
            Sender::Querier(number, incarnation) => {
                let connection = Opener::Querier { number, incarnation }.connection();
                (connection, CoreEvent::FromConnection { connection, message })
            }
            Sender::ConnectedController => {
                return self.step_controller(controller, CoreEvent::FromController { message });
            }
        };
        // The first message on a connection is preceded by `ConnectionOpened`.
        if self.opened.insert((controller, incarnation, connection)) {
            self.step_controller(controller, CoreEvent::ConnectionOpened { connection });
        }
        self.step_controller(controller, event);
    }

    /// Delivers a message to a querier.
    fn deliver_to_querier(&mut self, querier: usize, from: Sender, raw: &Raw) {
        let node = &mut self.queriers[querier];
        add(&mut node.meter.received, size(raw));
        let Some(message) = timed(&mut node.meter.codec_ns, || read(raw)) else { return };
        let event = match (from, message) {
            (Sender::VoterSlot(_), Message::VoterSetUpdate { voter_set: table, .. }) => {
                node_agent::Event::VoterSet(table)
            }
            (Sender::VoterSlot(slot), message) => node_agent::Event::FromVoter { slot, message },
            (Sender::Querier(sender, _), message) => {
                let name = self.queriers[sender].me.name.clone();
                node_agent::Event::FromMember { name, message }
            }
            (Sender::ConnectedController, _) => return,
        };
        self.step_querier(querier, event);
    }

    /// Delivers the platform's leaf list to a querier.
    fn deliver_list(&mut self, querier: usize) {
        let text = self.list.clone();
        add(&mut self.list_polls, text.len());
        let node = &mut self.queriers[querier];
        node.polling = false;
        let list = timed(&mut node.meter.codec_ns, || list::read(text.as_bytes()));
        let list = list.map(|(leafs, _)| leafs).map_err(|error| error.to_string());
        self.step_querier(querier, node_agent::Event::LeafList(list));
    }

    fn step_controller(&mut self, controller: usize, event: CoreEvent) {
        let node = &mut self.controllers[controller];
        let local = self.now - node.started + BOOT;
        node.meter.steps += 1;
        let commands = timed(&mut node.meter.step_ns, || node.state.step(local, event));
        for command in commands {
            self.run_controller_command(controller, command);
        }
    }

    fn run_controller_command(&mut self, controller: usize, command: Command) {
        let incarnation = self.controllers[controller].incarnation;
        let from = Sender::VoterSlot(controller as VoterSlot);
        match command {
            Command::ToVoter { slot, message } => {
                self.controller_sends(controller, usize::from(slot), from, &message)
            }
            Command::Broadcast { message } => {
                for to in (0..self.controllers.len()).filter(|to| *to != controller) {
                    self.controller_sends(controller, to, from, &message);
                }
            }
            // Voter slots don't move in this model, so all connections stay open.
            Command::VoterSetChanged => {}
            Command::WriteVoterFile { token, voter_file: roll, clear } => {
                add(&mut self.controllers[controller].meter.disk, voter_file::write(&roll).len());
                let disk = &mut self.controllers[controller].disk;
                if let Some(at) =
                    disk.write_voter_file(self.now, token, roll, clear, &mut self.random)
                {
                    self.push_at(
                        at,
                        ScheduledEvent::VoterFileDone { controller, incarnation, token },
                    );
                }
            }
            Command::ToConnection { connection, message } => {
                self.answer(controller, Opener::of(connection), &message);
            }
            Command::AppendRecord { partition, token, record: rec } => {
                add(&mut self.controllers[controller].meter.disk, writer::record(0, 0, &rec).len());
                self.start_disk_job(controller, partition, token, Job::Append(rec));
            }
            Command::WriteSnapshot { partition, token, snapshot: copy } => {
                add(
                    &mut self.controllers[controller].meter.disk,
                    writer::slot(partition.0, 0, &copy).len(),
                );
                self.start_disk_job(controller, partition, token, Job::Snapshot(copy));
            }
            Command::Scrub { partition } => {
                let event = Box::new(CoreEvent::Scrubbed { partition, corruption: None });
                self.push(
                    ms(3),
                    ScheduledEvent::ControllerEvent { controller, incarnation, event },
                );
            }
            Command::Respond { op, result: done } => {
                self.results.insert(op, (self.now, done));
            }
            Command::OwnResponse { .. } => {}
            Command::WakeAfter { span } => {
                let event = Box::new(CoreEvent::Wake);
                self.push(span, ScheduledEvent::ControllerEvent { controller, incarnation, event });
            }
            Command::Alarm(text) => *self.alarms.entry(text).or_default() += 1,
        }
    }

    /// Sends a controller's message on a connection that a peer opened to it.
    fn answer(&mut self, controller: usize, opener: Opener, message: &Message) {
        match opener {
            Opener::Controller { number, incarnation } => {
                // A connection ends with the process that opened it.
                if incarnation == self.controllers[number].incarnation {
                    self.controller_sends(controller, number, Sender::ConnectedController, message);
                }
            }
            Opener::Querier { number, incarnation } => {
                let raw = self.encode_from_controller(controller, "controller-querier", message);
                let zone = topology::controller_zone(controller as VoterSlot);
                let to = (number + self.controllers.len(), self.queriers[number].zone);
                let at = self.arrival((controller, zone), to);
                let from = Sender::VoterSlot(controller as VoterSlot);
                self.push_at(
                    at,
                    ScheduledEvent::QuerierMessage { querier: number, incarnation, from, raw },
                );
            }
        }
    }

    fn controller_sends(&mut self, controller: usize, to: usize, from: Sender, message: &Message) {
        let raw = self.encode_from_controller(controller, "controller-controller", message);
        let zones = (
            topology::controller_zone(controller as VoterSlot),
            topology::controller_zone(to as VoterSlot),
        );
        let at = self.arrival((controller, zones.0), (to, zones.1));
        let incarnation = self.controllers[to].incarnation;
        self.push_at(
            at,
            ScheduledEvent::ControllerMessage { controller: to, incarnation, from, raw },
        );
    }

    fn encode_from_controller(
        &mut self,
        controller: usize,
        link: &'static str,
        message: &Message,
    ) -> Raw {
        let node = &mut self.controllers[controller];
        let mut raw =
            Rc::new(timed(&mut node.meter.codec_ns, || frame::split(&frame::encode(message))));
        let bytes = size(&raw);
        if bytes >= SHARED_MESSAGE_BYTES {
            match &node.last {
                Some(last) if **last == *raw => raw = last.clone(),
                _ => node.last = Some(raw.clone()),
            }
        }
        add(&mut node.meter.sent, bytes);
        add(self.traffic.entry((link, kind(message))).or_default(), bytes);
        raw
    }

    fn start_disk_job(&mut self, controller: usize, partition: PartitionId, token: u64, job: Job) {
        let incarnation = self.controllers[controller].incarnation;
        let at = self.controllers[controller].disk.start_job(
            self.now,
            partition,
            token,
            job,
            &mut self.random,
        );
        if let Some(at) = at {
            self.push_at(
                at,
                ScheduledEvent::DiskJobDone { controller, incarnation, partition, token },
            );
        }
    }

    fn step_querier(&mut self, querier: usize, event: node_agent::Event) {
        let node = &mut self.queriers[querier];
        let local = self.now - node.started + BOOT;
        node.meter.steps += 1;
        let commands = timed(&mut node.meter.step_ns, || node.node_agent.step(local, event));
        for command in commands {
            self.run_querier_command(querier, command);
        }
    }

    fn run_querier_command(&mut self, querier: usize, command: node_agent::Command) {
        let (incarnation, zone) = (self.queriers[querier].incarnation, self.queriers[querier].zone);
        let (from, node_index) =
            (Sender::Querier(querier, incarnation), querier + self.controllers.len());
        match command {
            node_agent::Command::ToVoter { slot, message } => {
                self.querier_sends(querier, usize::from(slot), &message)
            }
            node_agent::Command::Broadcast { message } => {
                for controller in 0..self.controllers.len() {
                    self.querier_sends(querier, controller, &message);
                }
            }
            node_agent::Command::ToMember { name, message, .. } => {
                let raw = self.encode_from_querier(querier, "querier-querier", &message);
                let Some(to) = self.by_name.get(&name).copied() else { return };
                let at = self.arrival(
                    (node_index, zone),
                    (to + self.controllers.len(), self.queriers[to].zone),
                );
                let incarnation = self.queriers[to].incarnation;
                self.push_at(
                    at,
                    ScheduledEvent::QuerierMessage { querier: to, incarnation, from, raw },
                );
            }
            node_agent::Command::Ready(ready) => self.queriers[querier].ready = ready,
            node_agent::Command::PollLeafList if !self.queriers[querier].polling => {
                self.queriers[querier].polling = true;
                self.push(2 * MILLI, ScheduledEvent::ListResponse { querier, incarnation });
            }
            node_agent::Command::ProbeLeafs(list) => {
                self.probes += list.len() as u64;
                for info in list {
                    let report = LeafReport {
                        leaf: info.leaf.clone(),
                        age_ms: topology::MATURE_LEAF_AGE_MS,
                        ..LeafReport::default()
                    };
                    let event = Box::new(node_agent::Event::LeafReport {
                        service: info.service.clone(),
                        report,
                    });
                    self.push(
                        2 * MILLI,
                        ScheduledEvent::QuerierEvent { querier, incarnation, event },
                    );
                }
            }
            node_agent::Command::Alarm(text) => *self.alarms.entry(text).or_default() += 1,
            // Commands to the querier's own threads send no message.
            _ => {}
        }
    }

    fn querier_sends(&mut self, querier: usize, controller: usize, message: &Message) {
        let (from, zone) = (
            Sender::Querier(querier, self.queriers[querier].incarnation),
            self.queriers[querier].zone,
        );
        let raw = self.encode_from_querier(querier, "querier-controller", message);
        let at = self.arrival(
            (querier + self.controllers.len(), zone),
            (controller, topology::controller_zone(controller as VoterSlot)),
        );
        let incarnation = self.controllers[controller].incarnation;
        self.push_at(at, ScheduledEvent::ControllerMessage { controller, incarnation, from, raw });
    }

    fn encode_from_querier(
        &mut self,
        querier: usize,
        link: &'static str,
        message: &Message,
    ) -> Raw {
        let node = &mut self.queriers[querier];
        let raw = timed(&mut node.meter.codec_ns, || frame::split(&frame::encode(message)));
        let bytes = size_of(&raw);
        add(&mut node.meter.sent, bytes);
        add(self.traffic.entry((link, kind(message))).or_default(), bytes);
        Rc::new(raw)
    }
}

fn size(raw: &Raw) -> usize {
    raw.iter().map(Vec::len).sum()
}

/// Decodes a message from its frames, as a connection does.
fn read(raw: &Raw) -> Option<Message> {
    let mut reassembler = frame::Reassembler::default();
    for piece in raw.iter() {
        let (head, body) = piece.split_first_chunk::<{ frame::HEADER_BYTES }>()?;
        let head = frame::FrameHeader::parse(head).ok()?;
        if let Some(message) = reassembler.push(&head, body).ok()? {
            return Some(message);
        }
    }
    None
}

fn size_of(raw: &[Vec<u8>]) -> usize {
    raw.iter().map(Vec::len).sum()
}
