//! What happens to nodes, and what they do about it.

use std::rc::Rc;

use grebepath_core::control_plane::controller as st;
use grebepath_core::control_plane::step as cstep;
use grebepath_core::http_api::list;
use grebepath_core::identifiers::VoterSlot;
use grebepath_core::membership::node_agent as wat;
use grebepath_core::membership::step as qstep;
use grebepath_core::protocol::frame;
use grebepath_core::protocol::message::{LeafReport, Message};
use grebepath_core::storage::voter_file;
use grebepath_core::storage::writer;
use grebepath_core::time::{BOOT, MILLI, ms};

use super::world::{Raw, ScheduledEvent, Sender, World, connection, controller_connection};
use crate::scale_model::cost::{add, kind, timed};
use crate::scale_model::plan;
use crate::simulated_disk::Job;

/// Messages from here on are kept once however many get them (bytes): it
/// saves this process's memory and changes no count.
const SHARED: usize = 4_096;

impl World {
    /// Something happens.
    pub fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::ControllerTimer { controller, life }
                if self.alive(controller, life) =>
            {
                self.push(cstep::WAKE, ScheduledEvent::ControllerTimer { controller, life });
                self.step_controller(controller, st::Event::Wake);
            }
            ScheduledEvent::ControllerMessage { controller, life, from, raw }
                if self.alive(controller, life) =>
            {
                let node = &mut self.controllers[controller];
                add(&mut node.meter.got, size(&raw));
                let Some(message) = timed(&mut node.meter.codec_ns, || read(&raw)) else { return };
                let (connection, event) = match from {
                    Sender::VoterSlot(seat) => {
                        let node = &self.controllers[usize::from(seat)];
                        let connection = controller_connection(usize::from(seat), node.life);
                        let holder = node.state.seating.roll.me;
                        (
                            connection,
                            st::Event::FromVoter { slot: seat, holder, connection, message },
                        )
                    }
                    Sender::Querier(querier, life) => {
                        let connection = connection(querier, life);
                        (connection, st::Event::FromConnection { connection, message })
                    }
                    Sender::ConnectedController => {
                        return self
                            .step_controller(controller, st::Event::FromController { message });
                    }
                };
                // What comes on a new connection is preceded by its opening.
                if self.opened.insert((controller, life, connection)) {
                    self.step_controller(controller, st::Event::ConnectionOpened { connection });
                }
                self.step_controller(controller, event);
            }
            ScheduledEvent::ControllerEvent { controller, life, event }
                if self.alive(controller, life) =>
            {
                self.step_controller(controller, *event)
            }
            ScheduledEvent::DiskJobDone { controller, life, part, token }
                if self.alive(controller, life) =>
            {
                let event = match self.controllers[controller].disk.finish_job(part, token) {
                    Some(Ok(())) => st::Event::Synced { partition: part, token },
                    Some(Err(error)) => {
                        st::Event::DiskFailed { partition: part, why: error.to_string() }
                    }
                    None => return,
                };
                self.step_controller(controller, event);
            }
            ScheduledEvent::VoterFileDone { controller, life, token }
                if self.alive(controller, life) =>
            {
                let event = match self.controllers[controller].disk.finish_voter_file(token) {
                    Some(Ok(())) => st::Event::VoterFileWritten { token },
                    Some(Err(error)) => st::Event::VoterFileFailed { why: error.to_string() },
                    None => return,
                };
                self.step_controller(controller, event);
            }
            ScheduledEvent::QuerierTimer { querier, life } if self.live(querier, life) => {
                self.push(qstep::WAKE, ScheduledEvent::QuerierTimer { querier, life });
                self.step_querier(querier, wat::Event::Wake);
            }
            ScheduledEvent::QuerierMessage { querier, life, from, raw }
                if self.live(querier, life) =>
            {
                let node = &mut self.queriers[querier];
                add(&mut node.meter.got, size(&raw));
                let Some(message) = timed(&mut node.meter.codec_ns, || read(&raw)) else { return };
                let event = match (from, message) {
                    (Sender::VoterSlot(_), Message::VoterSetUpdate { table, .. }) => {
                        wat::Event::VoterSet(table)
                    }
                    (Sender::VoterSlot(seat), message) => {
                        wat::Event::FromVoter { slot: seat, message }
                    }
                    (Sender::Querier(g, _), message) => {
                        wat::Event::FromMember { name: self.queriers[g].me.name.clone(), message }
                    }
                    (Sender::ConnectedController, _) => return,
                };
                self.step_querier(querier, event);
            }
            ScheduledEvent::QuerierEvent { querier, life, event } if self.live(querier, life) => {
                self.step_querier(querier, *event)
            }
            ScheduledEvent::ListResponse { querier, life } if self.live(querier, life) => {
                let text = self.list.clone();
                add(&mut self.list_polls, text.len());
                let node = &mut self.queriers[querier];
                node.polling = false;
                let got = timed(&mut node.meter.codec_ns, || list::read(text.as_bytes()));
                let got = got.map(|(all, _)| all).map_err(|querier| querier.to_string());
                self.step_querier(querier, wat::Event::LeafList(got));
            }
            ScheduledEvent::StartQuerier { querier } if !self.queriers[querier].up => {
                self.start_querier(querier)
            }
            ScheduledEvent::StartController { controller } if !self.controllers[controller].up => {
                self.start_controller(controller)
            }
            _ => {}
        }
    }

    fn alive(&self, controller: usize, life: u64) -> bool {
        self.controllers[controller].up && self.controllers[controller].life == life
    }

    fn live(&self, querier: usize, life: u64) -> bool {
        self.queriers[querier].up && self.queriers[querier].life == life
    }

    fn step_controller(&mut self, controller: usize, event: st::Event) {
        let node = &mut self.controllers[controller];
        let local = self.now - node.began + BOOT;
        node.meter.steps += 1;
        let commands = timed(&mut node.meter.step_ns, || node.state.step(local, event));
        for command in commands {
            self.run_controller_command(controller, command);
        }
    }

    fn run_controller_command(
        &mut self,
        controller: usize,
        command: grebepath_core::command::Command,
    ) {
        let life = self.controllers[controller].life;
        let here = plan::controller_zone(controller as VoterSlot);
        let from = Sender::VoterSlot(controller as VoterSlot);
        match command {
            grebepath_core::command::Command::ToVoter { slot: seat, message } => {
                self.controller_sends(controller, usize::from(seat), from, &message)
            }
            grebepath_core::command::Command::Broadcast { message } => {
                for to in (0..self.controllers.len()).filter(|to| *to != controller) {
                    self.controller_sends(controller, to, from, &message);
                }
            }
            grebepath_core::command::Command::ToConnection { connection, message }
                if connection >> 63 == 1 =>
            {
                let (to, life) = ((connection << 1 >> 33) as usize, connection & 0xffff_ffff);
                // A connection ends with the life that opened it.
                if life == self.controllers[to].life {
                    self.controller_sends(controller, to, Sender::ConnectedController, &message);
                }
            }
            // Nobody moves here: all connections are as they were.
            grebepath_core::command::Command::VoterSetChanged => {}
            grebepath_core::command::Command::WriteVoterFile { token, roll, clear } => {
                add(&mut self.controllers[controller].meter.disk, voter_file::write(&roll).len());
                let disk = &mut self.controllers[controller].disk;
                if let Some(at) =
                    disk.write_voter_file(self.now, token, roll, clear, &mut self.random)
                {
                    self.push_at(at, ScheduledEvent::VoterFileDone { controller, life, token });
                }
            }
            grebepath_core::command::Command::ToConnection { connection, message } => {
                let (querier, life) = ((connection >> 32) as usize, connection & 0xffff_ffff);
                let raw = self.encode_from_controller(controller, "seat-front", &message);
                let at = self.arrival(
                    (controller, here),
                    (querier + self.controllers.len(), self.queriers[querier].zone),
                );
                self.push_at(at, ScheduledEvent::QuerierMessage { querier, life, from, raw });
            }
            grebepath_core::command::Command::AppendRecord { partition: part, token, rec } => {
                add(&mut self.controllers[controller].meter.disk, writer::rec(0, 0, &rec).len());
                self.job(controller, part, token, Job::Append(rec));
            }
            grebepath_core::command::Command::WriteSnapshot { partition: part, token, copy } => {
                add(
                    &mut self.controllers[controller].meter.disk,
                    writer::slot(part.0, 0, &copy).len(),
                );
                self.job(controller, part, token, Job::Snapshot(copy));
            }
            grebepath_core::command::Command::Scrub { partition: part } => {
                let event = Box::new(st::Event::Scrubbed { partition: part, trouble: None });
                self.push(ms(3), ScheduledEvent::ControllerEvent { controller, life, event });
            }
            grebepath_core::command::Command::Respond { op, done } => {
                self.results.insert(op, (self.now, done));
            }
            grebepath_core::command::Command::OwnResponse { .. } => {}
            grebepath_core::command::Command::WakeAfter { span } => {
                let event = Box::new(st::Event::Wake);
                self.push(span, ScheduledEvent::ControllerEvent { controller, life, event });
            }
            grebepath_core::command::Command::Alarm(text) => {
                *self.alarms.entry(text).or_default() += 1
            }
        }
    }

    fn controller_sends(&mut self, controller: usize, to: usize, from: Sender, message: &Message) {
        let raw = self.encode_from_controller(controller, "seat-seat", message);
        let zones = (
            plan::controller_zone(controller as VoterSlot),
            plan::controller_zone(to as VoterSlot),
        );
        let at = self.arrival((controller, zones.0), (to, zones.1));
        let life = self.controllers[to].life;
        self.push_at(at, ScheduledEvent::ControllerMessage { controller: to, life, from, raw });
    }

    fn encode_from_controller(
        &mut self,
        controller: usize,
        way: &'static str,
        message: &Message,
    ) -> Raw {
        let node = &mut self.controllers[controller];
        let mut raw =
            Rc::new(timed(&mut node.meter.codec_ns, || frame::split(&frame::encode(message))));
        let bytes = size(&raw);
        if bytes >= SHARED {
            match &node.last {
                Some(last) if **last == *raw => raw = last.clone(),
                _ => node.last = Some(raw.clone()),
            }
        }
        add(&mut node.meter.sent, bytes);
        add(self.traffic.entry((way, kind(message))).or_default(), bytes);
        raw
    }

    fn job(
        &mut self,
        controller: usize,
        part: grebepath_core::identifiers::PartitionId,
        token: u64,
        job: Job,
    ) {
        let life = self.controllers[controller].life;
        let at = self.controllers[controller].disk.start_job(
            self.now,
            part,
            token,
            job,
            &mut self.random,
        );
        if let Some(at) = at {
            self.push_at(at, ScheduledEvent::DiskJobDone { controller, life, part, token });
        }
    }

    fn step_querier(&mut self, querier: usize, event: wat::Event) {
        let node = &mut self.queriers[querier];
        let local = self.now - node.began + BOOT;
        node.meter.steps += 1;
        let commands =
            timed(&mut node.meter.step_ns, || qstep::step(&mut node.watch, local, event));
        for command in commands {
            self.run_querier_command(querier, command);
        }
    }

    fn run_querier_command(&mut self, querier: usize, command: wat::Command) {
        let (life, here) = (self.queriers[querier].life, self.queriers[querier].zone);
        let (from, own) = (Sender::Querier(querier, life), querier + self.controllers.len());
        match command {
            wat::Command::ToVoter { slot: seat, message } => {
                self.querier_sends(querier, usize::from(seat), &message)
            }
            wat::Command::Broadcast { message } => {
                for controller in 0..self.controllers.len() {
                    self.querier_sends(querier, controller, &message);
                }
            }
            wat::Command::ToMember { name, message, .. } => {
                let raw = self.encode_from_querier(querier, "front-front", &message);
                let Some(to) = self.by_name.get(&name).copied() else { return };
                let at = self
                    .arrival((own, here), (to + self.controllers.len(), self.queriers[to].zone));
                let life = self.queriers[to].life;
                self.push_at(at, ScheduledEvent::QuerierMessage { querier: to, life, from, raw });
            }
            wat::Command::Ready(ready) => self.queriers[querier].ready = ready,
            wat::Command::PollLeafList if !self.queriers[querier].polling => {
                self.queriers[querier].polling = true;
                self.push(2 * MILLI, ScheduledEvent::ListResponse { querier, life });
            }
            wat::Command::ProbeLeafs(list) => {
                self.probes += list.len() as u64;
                for info in list {
                    let word = LeafReport {
                        leaf: info.leaf.clone(),
                        age_ms: plan::OLD_MS,
                        ..LeafReport::default()
                    };
                    let event = Box::new(wat::Event::LeafReport {
                        service: info.service.clone(),
                        report: word,
                    });
                    self.push(2 * MILLI, ScheduledEvent::QuerierEvent { querier, life, event });
                }
            }
            wat::Command::Alarm(text) => *self.alarms.entry(text).or_default() += 1,
            // What threads are told costs no message.
            _ => {}
        }
    }

    fn querier_sends(&mut self, querier: usize, controller: usize, message: &Message) {
        let (from, zone) =
            (Sender::Querier(querier, self.queriers[querier].life), self.queriers[querier].zone);
        let raw = self.encode_from_querier(querier, "front-seat", message);
        let at = self.arrival(
            (querier + self.controllers.len(), zone),
            (controller, plan::controller_zone(controller as VoterSlot)),
        );
        let life = self.controllers[controller].life;
        self.push_at(at, ScheduledEvent::ControllerMessage { controller, life, from, raw });
    }

    fn encode_from_querier(&mut self, querier: usize, way: &'static str, message: &Message) -> Raw {
        let node = &mut self.queriers[querier];
        let raw = timed(&mut node.meter.codec_ns, || frame::split(&frame::encode(message)));
        let bytes = size_of(&raw);
        add(&mut node.meter.sent, bytes);
        add(self.traffic.entry((way, kind(message))).or_default(), bytes);
        Rc::new(raw)
    }
}

fn size(raw: &Raw) -> usize {
    raw.iter().map(Vec::len).sum()
}

/// Reads a message as a connection does.
fn read(raw: &Raw) -> Option<Message> {
    let mut reassembler = frame::Reassembler::default();
    for piece in raw.iter() {
        let (head, body) = piece.split_first_chunk::<{ frame::HEADER_BYTES }>()?;
        let head = frame::PieceHeader::parse(head).ok()?;
        if let Some(message) = reassembler.push(&head, body).ok()? {
            return Some(message);
        }
    }
    None
}

fn size_of(raw: &[Vec<u8>]) -> usize {
    raw.iter().map(Vec::len).sum()
}
