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

use super::world::*;
use crate::scale_model::cost::{add, kind, timed};
use crate::scale_model::plan;
use crate::simulated_disk;
use crate::simulated_disk::Job;

/// Messages from here on are kept once however many get them (bytes): it
/// saves this process's memory and changes no count.
const SHARED: usize = 4_096;

/// Something happens.
pub fn happen(w: &mut World, hap: ScheduledEvent) {
    match hap {
        ScheduledEvent::SeatWake { s, life } if alive(w, s, life) => {
            push(w, cstep::WAKE, ScheduledEvent::SeatWake { s, life });
            step_seat(w, s, st::Event::Wake);
        }
        ScheduledEvent::SeatGets { s, life, from, raw } if alive(w, s, life) => {
            let n = &mut w.seats[s];
            add(&mut n.meter.got, size(&raw));
            let Some(message) = timed(&mut n.meter.code_ns, || read(&raw)) else { return };
            let (connection, event) = match from {
                From::VoterSlot(seat) => {
                    let n = &w.seats[usize::from(seat)];
                    let connection = seat_wire(usize::from(seat), n.life);
                    let holder = n.core.seating.roll.me;
                    (connection, st::Event::FromVoter { slot: seat, holder, connection, message })
                }
                From::Front(f, life) => {
                    let connection = connection(f, life);
                    (connection, st::Event::FromConnection { connection, message })
                }
                From::Answer => return step_seat(w, s, st::Event::FromController { message }),
            };
            // What comes on a new connection is preceded by its opening.
            if w.opened.insert((s, life, connection)) {
                step_seat(w, s, st::Event::ConnectionOpened { connection });
            }
            step_seat(w, s, event);
        }
        ScheduledEvent::SeatTakes { s, life, event } if alive(w, s, life) => {
            step_seat(w, s, *event)
        }
        ScheduledEvent::Disk { s, life, part, token } if alive(w, s, life) => {
            let event = match simulated_disk::done(&mut w.seats[s].disk, part, token) {
                Some(Ok(())) => st::Event::Synced { partition: part, token },
                Some(Err(why)) => st::Event::DiskFailed { partition: part, why },
                None => return,
            };
            step_seat(w, s, event);
        }
        ScheduledEvent::Kept { s, life, token } if alive(w, s, life) => {
            let event = match simulated_disk::kept(&mut w.seats[s].disk, token) {
                Some(Ok(())) => st::Event::VoterFileWritten { token },
                Some(Err(why)) => st::Event::VoterFileFailed { why },
                None => return,
            };
            step_seat(w, s, event);
        }
        ScheduledEvent::FrontWake { f, life } if live(w, f, life) => {
            push(w, qstep::WAKE, ScheduledEvent::FrontWake { f, life });
            step_front(w, f, wat::Event::Wake);
        }
        ScheduledEvent::FrontGets { f, life, from, raw } if live(w, f, life) => {
            let n = &mut w.fronts[f];
            add(&mut n.meter.got, size(&raw));
            let Some(message) = timed(&mut n.meter.code_ns, || read(&raw)) else { return };
            let event = match (from, message) {
                (From::VoterSlot(_), Message::VoterSetUpdate { table, .. }) => {
                    wat::Event::Seats(table)
                }
                (From::VoterSlot(seat), message) => wat::Event::FromSeat { slot: seat, message },
                (From::Front(g, _), message) => {
                    wat::Event::FromMember { name: w.fronts[g].me.name.clone(), message }
                }
                (From::Answer, _) => return,
            };
            step_front(w, f, event);
        }
        ScheduledEvent::FrontTakes { f, life, event } if live(w, f, life) => {
            step_front(w, f, *event)
        }
        ScheduledEvent::List { f, life } if live(w, f, life) => {
            let text = w.list.clone();
            add(&mut w.polls, text.len());
            let n = &mut w.fronts[f];
            n.polling = false;
            let got = timed(&mut n.meter.code_ns, || list::read(text.as_bytes()));
            let got = got.map(|(all, _)| all).map_err(|f| f.to_string());
            step_front(w, f, wat::Event::List(got));
        }
        ScheduledEvent::StartFront { f } if !w.fronts[f].up => start_front(w, f),
        ScheduledEvent::StartSeat { s } if !w.seats[s].up => start_seat(w, s),
        _ => {}
    }
}

fn alive(w: &World, s: usize, life: u64) -> bool {
    w.seats[s].up && w.seats[s].life == life
}

fn live(w: &World, f: usize, life: u64) -> bool {
    w.fronts[f].up && w.fronts[f].life == life
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

fn step_seat(w: &mut World, s: usize, event: st::Event) {
    let n = &mut w.seats[s];
    let local = w.now - n.began + BOOT;
    n.meter.steps += 1;
    let todo = timed(&mut n.meter.step_ns, || n.core.step(local, event));
    for command in todo {
        seat_does(w, s, command);
    }
}

fn seat_does(w: &mut World, s: usize, command: grebepath_core::command::Command) {
    let life = w.seats[s].life;
    let here = plan::seat_zone(s as VoterSlot);
    let from = From::VoterSlot(s as VoterSlot);
    match command {
        grebepath_core::command::Command::ToVoter { slot: seat, message } => {
            seat_tells(w, s, usize::from(seat), from, &message)
        }
        grebepath_core::command::Command::Broadcast { message } => {
            for to in (0..w.seats.len()).filter(|to| *to != s) {
                seat_tells(w, s, to, from, &message);
            }
        }
        grebepath_core::command::Command::ToConnection { connection, message }
            if connection >> 63 == 1 =>
        {
            let (to, life) = ((connection << 1 >> 33) as usize, connection & 0xffff_ffff);
            // A connection ends with the life that opened it.
            if life == w.seats[to].life {
                seat_tells(w, s, to, From::Answer, &message);
            }
        }
        // Nobody moves here: all connections are as they were.
        grebepath_core::command::Command::VoterSetChanged => {}
        grebepath_core::command::Command::WriteVoterFile { token, roll, clear } => {
            add(&mut w.seats[s].meter.disk, voter_file::write(&roll).len());
            let disk = &mut w.seats[s].disk;
            if let Some(at) = simulated_disk::keep(disk, w.now, token, roll, clear, &mut w.luck) {
                push_at(w, at, ScheduledEvent::Kept { s, life, token });
            }
        }
        grebepath_core::command::Command::ToConnection { connection, message } => {
            let (f, life) = ((connection >> 32) as usize, connection & 0xffff_ffff);
            let raw = seat_writes(w, s, "seat-front", &message);
            let at = arrival(w, (s, here), (f + w.seats.len(), w.fronts[f].zone));
            push_at(w, at, ScheduledEvent::FrontGets { f, life, from, raw });
        }
        grebepath_core::command::Command::AppendRecord { partition: part, token, rec } => {
            add(&mut w.seats[s].meter.disk, writer::rec(0, 0, &rec).len());
            job(w, s, part, token, Job::Append(rec));
        }
        grebepath_core::command::Command::WriteSnapshot { partition: part, token, copy } => {
            add(&mut w.seats[s].meter.disk, writer::slot(part.0, 0, &copy).len());
            job(w, s, part, token, Job::Slot(copy));
        }
        grebepath_core::command::Command::Scrub { partition: part } => {
            let event = Box::new(st::Event::Scrubbed { partition: part, trouble: None });
            push(w, ms(3), ScheduledEvent::SeatTakes { s, life, event });
        }
        grebepath_core::command::Command::Respond { op, done } => {
            w.done.insert(op, (w.now, done));
        }
        grebepath_core::command::Command::OwnResponse { .. } => {}
        grebepath_core::command::Command::WakeAfter { span } => {
            let event = Box::new(st::Event::Wake);
            push(w, span, ScheduledEvent::SeatTakes { s, life, event });
        }
        grebepath_core::command::Command::Alarm(text) => *w.alarms.entry(text).or_default() += 1,
    }
}

fn seat_tells(w: &mut World, s: usize, to: usize, from: From, message: &Message) {
    let raw = seat_writes(w, s, "seat-seat", message);
    let zones = (plan::seat_zone(s as VoterSlot), plan::seat_zone(to as VoterSlot));
    let at = arrival(w, (s, zones.0), (to, zones.1));
    let life = w.seats[to].life;
    push_at(w, at, ScheduledEvent::SeatGets { s: to, life, from, raw });
}

fn seat_writes(w: &mut World, s: usize, way: &'static str, message: &Message) -> Raw {
    let n = &mut w.seats[s];
    let mut raw = Rc::new(timed(&mut n.meter.code_ns, || frame::split(&frame::encode(message))));
    let bytes = size(&raw);
    if bytes >= SHARED {
        match &n.last {
            Some(last) if **last == *raw => raw = last.clone(),
            _ => n.last = Some(raw.clone()),
        }
    }
    add(&mut n.meter.sent, bytes);
    add(w.ways.entry((way, kind(message))).or_default(), bytes);
    raw
}

fn job(
    w: &mut World,
    s: usize,
    part: grebepath_core::identifiers::PartitionId,
    token: u64,
    job: Job,
) {
    let life = w.seats[s].life;
    let at = simulated_disk::begin(&mut w.seats[s].disk, w.now, part, token, job, &mut w.luck);
    if let Some(at) = at {
        push_at(w, at, ScheduledEvent::Disk { s, life, part, token });
    }
}

fn step_front(w: &mut World, f: usize, event: wat::Event) {
    let n = &mut w.fronts[f];
    let local = w.now - n.began + BOOT;
    n.meter.steps += 1;
    let todo = timed(&mut n.meter.step_ns, || qstep::step(&mut n.watch, local, event));
    for command in todo {
        front_does(w, f, command);
    }
}

fn front_does(w: &mut World, f: usize, command: wat::Command) {
    let (life, here) = (w.fronts[f].life, w.fronts[f].zone);
    let (from, own) = (From::Front(f, life), f + w.seats.len());
    match command {
        wat::Command::ToSeat { slot: seat, message } => {
            front_tells(w, f, usize::from(seat), &message)
        }
        wat::Command::ToAll { message } => {
            for s in 0..w.seats.len() {
                front_tells(w, f, s, &message);
            }
        }
        wat::Command::ToMember { name, message, .. } => {
            let raw = front_writes(w, f, "front-front", &message);
            let Some(to) = w.by_name.get(&name).copied() else { return };
            let at = arrival(w, (own, here), (to + w.seats.len(), w.fronts[to].zone));
            let life = w.fronts[to].life;
            push_at(w, at, ScheduledEvent::FrontGets { f: to, life, from, raw });
        }
        wat::Command::Ready(ready) => w.fronts[f].ready = ready,
        wat::Command::PollList if !w.fronts[f].polling => {
            w.fronts[f].polling = true;
            push(w, 2 * MILLI, ScheduledEvent::List { f, life });
        }
        wat::Command::Probe(list) => {
            w.probes += list.len() as u64;
            for info in list {
                let word = LeafReport {
                    leaf: info.leaf.clone(),
                    age_ms: plan::OLD_MS,
                    ..LeafReport::default()
                };
                let event = Box::new(wat::Event::Word { service: info.service.clone(), word });
                push(w, 2 * MILLI, ScheduledEvent::FrontTakes { f, life, event });
            }
        }
        wat::Command::Alarm(text) => *w.alarms.entry(text).or_default() += 1,
        // What threads are told costs no message.
        _ => {}
    }
}

fn front_tells(w: &mut World, f: usize, s: usize, message: &Message) {
    let (from, zone) = (From::Front(f, w.fronts[f].life), w.fronts[f].zone);
    let raw = front_writes(w, f, "front-seat", message);
    let at = arrival(w, (f + w.seats.len(), zone), (s, plan::seat_zone(s as VoterSlot)));
    let life = w.seats[s].life;
    push_at(w, at, ScheduledEvent::SeatGets { s, life, from, raw });
}

fn front_writes(w: &mut World, f: usize, way: &'static str, message: &Message) -> Raw {
    let n = &mut w.fronts[f];
    let raw = timed(&mut n.meter.code_ns, || frame::split(&frame::encode(message)));
    let bytes = size_of(&raw);
    add(&mut n.meter.sent, bytes);
    add(w.ways.entry((way, kind(message))).or_default(), bytes);
    Rc::new(raw)
}

fn size_of(raw: &[Vec<u8>]) -> usize {
    raw.iter().map(Vec::len).sum()
}
