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

use super::world::{
    Raw, ScheduledEvent, Sender, World, arrival, connection, controller_connection, push, push_at,
    start_controller, start_querier,
};
use crate::scale_model::cost::{add, kind, timed};
use crate::scale_model::plan;
use crate::simulated_disk;
use crate::simulated_disk::Job;

/// Messages from here on are kept once however many get them (bytes): it
/// saves this process's memory and changes no count.
const SHARED: usize = 4_096;

/// Something happens.
pub fn handle(world: &mut World, event: ScheduledEvent) {
    match event {
        ScheduledEvent::ControllerTimer { controller, life } if alive(world, controller, life) => {
            push(world, cstep::WAKE, ScheduledEvent::ControllerTimer { controller, life });
            step_controller(world, controller, st::Event::Wake);
        }
        ScheduledEvent::ControllerMessage { controller, life, from, raw }
            if alive(world, controller, life) =>
        {
            let node = &mut world.controllers[controller];
            add(&mut node.meter.got, size(&raw));
            let Some(message) = timed(&mut node.meter.codec_ns, || read(&raw)) else { return };
            let (connection, event) = match from {
                Sender::VoterSlot(seat) => {
                    let node = &world.controllers[usize::from(seat)];
                    let connection = controller_connection(usize::from(seat), node.life);
                    let holder = node.state.seating.roll.me;
                    (connection, st::Event::FromVoter { slot: seat, holder, connection, message })
                }
                Sender::Querier(querier, life) => {
                    let connection = connection(querier, life);
                    (connection, st::Event::FromConnection { connection, message })
                }
                Sender::ConnectedController => {
                    return step_controller(
                        world,
                        controller,
                        st::Event::FromController { message },
                    );
                }
            };
            // What comes on a new connection is preceded by its opening.
            if world.opened.insert((controller, life, connection)) {
                step_controller(world, controller, st::Event::ConnectionOpened { connection });
            }
            step_controller(world, controller, event);
        }
        ScheduledEvent::ControllerEvent { controller, life, event }
            if alive(world, controller, life) =>
        {
            step_controller(world, controller, *event)
        }
        ScheduledEvent::DiskJobDone { controller, life, part, token }
            if alive(world, controller, life) =>
        {
            let event =
                match simulated_disk::done(&mut world.controllers[controller].disk, part, token) {
                    Some(Ok(())) => st::Event::Synced { partition: part, token },
                    Some(Err(why)) => st::Event::DiskFailed { partition: part, why },
                    None => return,
                };
            step_controller(world, controller, event);
        }
        ScheduledEvent::VoterFileDone { controller, life, token }
            if alive(world, controller, life) =>
        {
            let event = match simulated_disk::kept(&mut world.controllers[controller].disk, token) {
                Some(Ok(())) => st::Event::VoterFileWritten { token },
                Some(Err(why)) => st::Event::VoterFileFailed { why },
                None => return,
            };
            step_controller(world, controller, event);
        }
        ScheduledEvent::QuerierTimer { querier, life } if live(world, querier, life) => {
            push(world, qstep::WAKE, ScheduledEvent::QuerierTimer { querier, life });
            step_querier(world, querier, wat::Event::Wake);
        }
        ScheduledEvent::QuerierMessage { querier, life, from, raw }
            if live(world, querier, life) =>
        {
            let node = &mut world.queriers[querier];
            add(&mut node.meter.got, size(&raw));
            let Some(message) = timed(&mut node.meter.codec_ns, || read(&raw)) else { return };
            let event = match (from, message) {
                (Sender::VoterSlot(_), Message::VoterSetUpdate { table, .. }) => {
                    wat::Event::Seats(table)
                }
                (Sender::VoterSlot(seat), message) => wat::Event::FromSeat { slot: seat, message },
                (Sender::Querier(g, _), message) => {
                    wat::Event::FromMember { name: world.queriers[g].me.name.clone(), message }
                }
                (Sender::ConnectedController, _) => return,
            };
            step_querier(world, querier, event);
        }
        ScheduledEvent::QuerierEvent { querier, life, event } if live(world, querier, life) => {
            step_querier(world, querier, *event)
        }
        ScheduledEvent::ListResponse { querier, life } if live(world, querier, life) => {
            let text = world.list.clone();
            add(&mut world.list_polls, text.len());
            let node = &mut world.queriers[querier];
            node.polling = false;
            let got = timed(&mut node.meter.codec_ns, || list::read(text.as_bytes()));
            let got = got.map(|(all, _)| all).map_err(|querier| querier.to_string());
            step_querier(world, querier, wat::Event::List(got));
        }
        ScheduledEvent::StartQuerier { querier } if !world.queriers[querier].up => {
            start_querier(world, querier)
        }
        ScheduledEvent::StartController { controller } if !world.controllers[controller].up => {
            start_controller(world, controller)
        }
        _ => {}
    }
}

fn alive(world: &World, controller: usize, life: u64) -> bool {
    world.controllers[controller].up && world.controllers[controller].life == life
}

fn live(world: &World, querier: usize, life: u64) -> bool {
    world.queriers[querier].up && world.queriers[querier].life == life
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

fn step_controller(world: &mut World, controller: usize, event: st::Event) {
    let node = &mut world.controllers[controller];
    let local = world.now - node.began + BOOT;
    node.meter.steps += 1;
    let commands = timed(&mut node.meter.step_ns, || cstep::step(&mut node.state, local, event));
    for command in commands {
        run_controller_command(world, controller, command);
    }
}

fn run_controller_command(
    world: &mut World,
    controller: usize,
    command: grebepath_core::command::Command,
) {
    let life = world.controllers[controller].life;
    let here = plan::controller_zone(controller as VoterSlot);
    let from = Sender::VoterSlot(controller as VoterSlot);
    match command {
        grebepath_core::command::Command::ToVoter { slot: seat, message } => {
            controller_sends(world, controller, usize::from(seat), from, &message)
        }
        grebepath_core::command::Command::Broadcast { message } => {
            for to in (0..world.controllers.len()).filter(|to| *to != controller) {
                controller_sends(world, controller, to, from, &message);
            }
        }
        grebepath_core::command::Command::ToConnection { connection, message }
            if connection >> 63 == 1 =>
        {
            let (to, life) = ((connection << 1 >> 33) as usize, connection & 0xffff_ffff);
            // A connection ends with the life that opened it.
            if life == world.controllers[to].life {
                controller_sends(world, controller, to, Sender::ConnectedController, &message);
            }
        }
        // Nobody moves here: all connections are as they were.
        grebepath_core::command::Command::VoterSetChanged => {}
        grebepath_core::command::Command::WriteVoterFile { token, roll, clear } => {
            add(&mut world.controllers[controller].meter.disk, voter_file::write(&roll).len());
            let disk = &mut world.controllers[controller].disk;
            if let Some(at) =
                simulated_disk::keep(disk, world.now, token, roll, clear, &mut world.random)
            {
                push_at(world, at, ScheduledEvent::VoterFileDone { controller, life, token });
            }
        }
        grebepath_core::command::Command::ToConnection { connection, message } => {
            let (querier, life) = ((connection >> 32) as usize, connection & 0xffff_ffff);
            let raw = encode_from_controller(world, controller, "seat-front", &message);
            let at = arrival(
                world,
                (controller, here),
                (querier + world.controllers.len(), world.queriers[querier].zone),
            );
            push_at(world, at, ScheduledEvent::QuerierMessage { querier, life, from, raw });
        }
        grebepath_core::command::Command::AppendRecord { partition: part, token, rec } => {
            add(&mut world.controllers[controller].meter.disk, writer::rec(0, 0, &rec).len());
            job(world, controller, part, token, Job::Append(rec));
        }
        grebepath_core::command::Command::WriteSnapshot { partition: part, token, copy } => {
            add(
                &mut world.controllers[controller].meter.disk,
                writer::slot(part.0, 0, &copy).len(),
            );
            job(world, controller, part, token, Job::Slot(copy));
        }
        grebepath_core::command::Command::Scrub { partition: part } => {
            let event = Box::new(st::Event::Scrubbed { partition: part, trouble: None });
            push(world, ms(3), ScheduledEvent::ControllerEvent { controller, life, event });
        }
        grebepath_core::command::Command::Respond { op, done } => {
            world.results.insert(op, (world.now, done));
        }
        grebepath_core::command::Command::OwnResponse { .. } => {}
        grebepath_core::command::Command::WakeAfter { span } => {
            let event = Box::new(st::Event::Wake);
            push(world, span, ScheduledEvent::ControllerEvent { controller, life, event });
        }
        grebepath_core::command::Command::Alarm(text) => {
            *world.alarms.entry(text).or_default() += 1
        }
    }
}

fn controller_sends(
    world: &mut World,
    controller: usize,
    to: usize,
    from: Sender,
    message: &Message,
) {
    let raw = encode_from_controller(world, controller, "seat-seat", message);
    let zones =
        (plan::controller_zone(controller as VoterSlot), plan::controller_zone(to as VoterSlot));
    let at = arrival(world, (controller, zones.0), (to, zones.1));
    let life = world.controllers[to].life;
    push_at(world, at, ScheduledEvent::ControllerMessage { controller: to, life, from, raw });
}

fn encode_from_controller(
    world: &mut World,
    controller: usize,
    way: &'static str,
    message: &Message,
) -> Raw {
    let node = &mut world.controllers[controller];
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
    add(world.traffic.entry((way, kind(message))).or_default(), bytes);
    raw
}

fn job(
    world: &mut World,
    controller: usize,
    part: grebepath_core::identifiers::PartitionId,
    token: u64,
    job: Job,
) {
    let life = world.controllers[controller].life;
    let at = simulated_disk::begin(
        &mut world.controllers[controller].disk,
        world.now,
        part,
        token,
        job,
        &mut world.random,
    );
    if let Some(at) = at {
        push_at(world, at, ScheduledEvent::DiskJobDone { controller, life, part, token });
    }
}

fn step_querier(world: &mut World, querier: usize, event: wat::Event) {
    let node = &mut world.queriers[querier];
    let local = world.now - node.began + BOOT;
    node.meter.steps += 1;
    let commands = timed(&mut node.meter.step_ns, || qstep::step(&mut node.watch, local, event));
    for command in commands {
        run_querier_command(world, querier, command);
    }
}

fn run_querier_command(world: &mut World, querier: usize, command: wat::Command) {
    let (life, here) = (world.queriers[querier].life, world.queriers[querier].zone);
    let (from, own) = (Sender::Querier(querier, life), querier + world.controllers.len());
    match command {
        wat::Command::ToSeat { slot: seat, message } => {
            querier_sends(world, querier, usize::from(seat), &message)
        }
        wat::Command::ToAll { message } => {
            for controller in 0..world.controllers.len() {
                querier_sends(world, querier, controller, &message);
            }
        }
        wat::Command::ToMember { name, message, .. } => {
            let raw = encode_from_querier(world, querier, "front-front", &message);
            let Some(to) = world.by_name.get(&name).copied() else { return };
            let at = arrival(
                world,
                (own, here),
                (to + world.controllers.len(), world.queriers[to].zone),
            );
            let life = world.queriers[to].life;
            push_at(world, at, ScheduledEvent::QuerierMessage { querier: to, life, from, raw });
        }
        wat::Command::Ready(ready) => world.queriers[querier].ready = ready,
        wat::Command::PollList if !world.queriers[querier].polling => {
            world.queriers[querier].polling = true;
            push(world, 2 * MILLI, ScheduledEvent::ListResponse { querier, life });
        }
        wat::Command::Probe(list) => {
            world.probes += list.len() as u64;
            for info in list {
                let word = LeafReport {
                    leaf: info.leaf.clone(),
                    age_ms: plan::OLD_MS,
                    ..LeafReport::default()
                };
                let event = Box::new(wat::Event::Word { service: info.service.clone(), word });
                push(world, 2 * MILLI, ScheduledEvent::QuerierEvent { querier, life, event });
            }
        }
        wat::Command::Alarm(text) => *world.alarms.entry(text).or_default() += 1,
        // What threads are told costs no message.
        _ => {}
    }
}

fn querier_sends(world: &mut World, querier: usize, controller: usize, message: &Message) {
    let (from, zone) =
        (Sender::Querier(querier, world.queriers[querier].life), world.queriers[querier].zone);
    let raw = encode_from_querier(world, querier, "front-seat", message);
    let at = arrival(
        world,
        (querier + world.controllers.len(), zone),
        (controller, plan::controller_zone(controller as VoterSlot)),
    );
    let life = world.controllers[controller].life;
    push_at(world, at, ScheduledEvent::ControllerMessage { controller, life, from, raw });
}

fn encode_from_querier(
    world: &mut World,
    querier: usize,
    way: &'static str,
    message: &Message,
) -> Raw {
    let node = &mut world.queriers[querier];
    let raw = timed(&mut node.meter.codec_ns, || frame::split(&frame::encode(message)));
    let bytes = size_of(&raw);
    add(&mut node.meter.sent, bytes);
    add(world.traffic.entry((way, kind(message))).or_default(), bytes);
    Rc::new(raw)
}

fn size_of(raw: &[Vec<u8>]) -> usize {
    raw.iter().map(Vec::len).sum()
}
