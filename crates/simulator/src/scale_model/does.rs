//! What happens to nodes, and what they do about it.

use std::rc::Rc;

use grebepath_core::control_plane::controller as st;
use grebepath_core::control_plane::step as cstep;
use grebepath_core::http_api::list;
use grebepath_core::identifiers::Seat;
use grebepath_core::membership::node_agent as wat;
use grebepath_core::membership::step as qstep;
use grebepath_core::protocol::frame;
use grebepath_core::protocol::message::{Msg, Word};
use grebepath_core::storage::writer;
use grebepath_core::time::{BOOT, MILLI, ms};
use grebepath_core::voters::voter_file;

use super::world::*;
use crate::scale_model::cost::{add, kind, timed};
use crate::scale_model::plan;
use crate::simulated_disk;
use crate::simulated_disk::Job;

/// Messages from here on are kept once however many get them (bytes): it
/// saves this process's memory and changes no count.
const SHARED: usize = 4_096;

/// Something happens.
pub fn happen(w: &mut World, hap: Hap) {
    match hap {
        Hap::SeatWake { s, life } if alive(w, s, life) => {
            push(w, cstep::WAKE, Hap::SeatWake { s, life });
            step_seat(w, s, st::Event::Wake);
        }
        Hap::SeatGets { s, life, from, raw } if alive(w, s, life) => {
            let n = &mut w.seats[s];
            add(&mut n.meter.got, size(&raw));
            let Some(msg) = timed(&mut n.meter.code_ns, || read(&raw)) else { return };
            let (wire, event) = match from {
                From::Seat(seat) => {
                    let n = &w.seats[usize::from(seat)];
                    let wire = seat_wire(usize::from(seat), n.life);
                    let holder = n.core.seating.roll.me;
                    (wire, st::Event::FromSeat { seat, holder, wire, msg })
                }
                From::Front(f, life) => {
                    let wire = wire(f, life);
                    (wire, st::Event::FromWire { wire, msg })
                }
                From::Answer => return step_seat(w, s, st::Event::Answer { msg }),
            };
            // What comes on a new wire is preceded by its opening.
            if w.opened.insert((s, life, wire)) {
                step_seat(w, s, st::Event::Opened { wire });
            }
            step_seat(w, s, event);
        }
        Hap::SeatTakes { s, life, event } if alive(w, s, life) => step_seat(w, s, *event),
        Hap::Disk { s, life, part, token } if alive(w, s, life) => {
            let event = match simulated_disk::done(&mut w.seats[s].disk, part, token) {
                Some(Ok(())) => st::Event::Synced { part, token },
                Some(Err(why)) => st::Event::DiskTrouble { part, why },
                None => return,
            };
            step_seat(w, s, event);
        }
        Hap::Kept { s, life, token } if alive(w, s, life) => {
            let event = match simulated_disk::kept(&mut w.seats[s].disk, token) {
                Some(Ok(())) => st::Event::Kept { token },
                Some(Err(why)) => st::Event::RollTrouble { why },
                None => return,
            };
            step_seat(w, s, event);
        }
        Hap::FrontWake { f, life } if live(w, f, life) => {
            push(w, qstep::WAKE, Hap::FrontWake { f, life });
            step_front(w, f, wat::Event::Wake);
        }
        Hap::FrontGets { f, life, from, raw } if live(w, f, life) => {
            let n = &mut w.fronts[f];
            add(&mut n.meter.got, size(&raw));
            let Some(msg) = timed(&mut n.meter.code_ns, || read(&raw)) else { return };
            let event = match (from, msg) {
                (From::Seat(_), Msg::Seats { table, .. }) => wat::Event::Seats(table),
                (From::Seat(seat), msg) => wat::Event::FromSeat { seat, msg },
                (From::Front(g, _), msg) => {
                    wat::Event::FromMember { name: w.fronts[g].me.name.clone(), msg }
                }
                (From::Answer, _) => return,
            };
            step_front(w, f, event);
        }
        Hap::FrontTakes { f, life, event } if live(w, f, life) => step_front(w, f, *event),
        Hap::List { f, life } if live(w, f, life) => {
            let text = w.list.clone();
            add(&mut w.polls, text.len());
            let n = &mut w.fronts[f];
            n.polling = false;
            let got = timed(&mut n.meter.code_ns, || list::read(text.as_bytes()));
            let got = got.map(|(all, _)| all).map_err(|f| f.to_string());
            step_front(w, f, wat::Event::List(got));
        }
        Hap::StartFront { f } if !w.fronts[f].up => start_front(w, f),
        Hap::StartSeat { s } if !w.seats[s].up => start_seat(w, s),
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

/// Reads a message as a wire does.
fn read(raw: &Raw) -> Option<Msg> {
    let mut g = frame::Gather::default();
    for piece in raw.iter() {
        let (head, body) = piece.split_first_chunk::<{ frame::HEAD }>()?;
        let head = frame::head(head).ok()?;
        if let Some(msg) = frame::take(&mut g, &head, body).ok()? {
            return Some(msg);
        }
    }
    None
}

fn step_seat(w: &mut World, s: usize, event: st::Event) {
    let n = &mut w.seats[s];
    let local = w.now - n.began + BOOT;
    n.meter.steps += 1;
    let todo = timed(&mut n.meter.step_ns, || cstep::step(&mut n.core, local, event));
    for command in todo {
        seat_does(w, s, command);
    }
}

fn seat_does(w: &mut World, s: usize, command: st::Command) {
    let life = w.seats[s].life;
    let here = plan::seat_zone(s as Seat);
    let from = From::Seat(s as Seat);
    match command {
        st::Command::ToSeat { seat, msg } => seat_tells(w, s, usize::from(seat), from, &msg),
        st::Command::ToAll { msg } => {
            for to in (0..w.seats.len()).filter(|to| *to != s) {
                seat_tells(w, s, to, from, &msg);
            }
        }
        st::Command::ToWire { wire, msg } if wire >> 63 == 1 => {
            let (to, life) = ((wire << 1 >> 33) as usize, wire & 0xffff_ffff);
            // A wire ends with the life that opened it.
            if life == w.seats[to].life {
                seat_tells(w, s, to, From::Answer, &msg);
            }
        }
        // Nobody moves here: all wires are as they were.
        st::Command::Seats => {}
        st::Command::Keep { token, roll, clear } => {
            add(&mut w.seats[s].meter.disk, voter_file::write(&roll).len());
            let disk = &mut w.seats[s].disk;
            if let Some(at) = simulated_disk::keep(disk, w.now, token, roll, clear, &mut w.luck) {
                push_at(w, at, Hap::Kept { s, life, token });
            }
        }
        st::Command::ToWire { wire, msg } => {
            let (f, life) = ((wire >> 32) as usize, wire & 0xffff_ffff);
            let raw = seat_writes(w, s, "seat-front", &msg);
            let at = arrival(w, (s, here), (f + w.seats.len(), w.fronts[f].zone));
            push_at(w, at, Hap::FrontGets { f, life, from, raw });
        }
        st::Command::Append { part, token, rec } => {
            add(&mut w.seats[s].meter.disk, writer::rec(0, 0, &rec).len());
            job(w, s, part, token, Job::Append(rec));
        }
        st::Command::Slot { part, token, copy } => {
            add(&mut w.seats[s].meter.disk, writer::slot(part.0, 0, &copy).len());
            job(w, s, part, token, Job::Slot(copy));
        }
        st::Command::Look { part } => {
            let event = Box::new(st::Event::Looked { part, trouble: None });
            push(w, ms(3), Hap::SeatTakes { s, life, event });
        }
        st::Command::Tell { op, done } => {
            w.done.insert(op, (w.now, done));
        }
        st::Command::OwnAnswer { .. } => {}
        st::Command::WakeAfter { span } => {
            let event = Box::new(st::Event::Wake);
            push(w, span, Hap::SeatTakes { s, life, event });
        }
        st::Command::Alarm(text) => *w.alarms.entry(text).or_default() += 1,
    }
}

fn seat_tells(w: &mut World, s: usize, to: usize, from: From, msg: &Msg) {
    let raw = seat_writes(w, s, "seat-seat", msg);
    let zones = (plan::seat_zone(s as Seat), plan::seat_zone(to as Seat));
    let at = arrival(w, (s, zones.0), (to, zones.1));
    let life = w.seats[to].life;
    push_at(w, at, Hap::SeatGets { s: to, life, from, raw });
}

fn seat_writes(w: &mut World, s: usize, way: &'static str, msg: &Msg) -> Raw {
    let n = &mut w.seats[s];
    let mut raw = Rc::new(timed(&mut n.meter.code_ns, || frame::pieces(&frame::write(msg))));
    let bytes = size(&raw);
    if bytes >= SHARED {
        match &n.last {
            Some(last) if **last == *raw => raw = last.clone(),
            _ => n.last = Some(raw.clone()),
        }
    }
    add(&mut n.meter.sent, bytes);
    add(w.ways.entry((way, kind(msg))).or_default(), bytes);
    raw
}

fn job(w: &mut World, s: usize, part: grebepath_core::identifiers::PartId, token: u64, job: Job) {
    let life = w.seats[s].life;
    let at = simulated_disk::begin(&mut w.seats[s].disk, w.now, part, token, job, &mut w.luck);
    if let Some(at) = at {
        push_at(w, at, Hap::Disk { s, life, part, token });
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
        wat::Command::ToSeat { seat, msg } => front_tells(w, f, usize::from(seat), &msg),
        wat::Command::ToAll { msg } => {
            for s in 0..w.seats.len() {
                front_tells(w, f, s, &msg);
            }
        }
        wat::Command::ToMember { name, msg, .. } => {
            let raw = front_writes(w, f, "front-front", &msg);
            let Some(to) = w.by_name.get(&name).copied() else { return };
            let at = arrival(w, (own, here), (to + w.seats.len(), w.fronts[to].zone));
            let life = w.fronts[to].life;
            push_at(w, at, Hap::FrontGets { f: to, life, from, raw });
        }
        wat::Command::Ready(ready) => w.fronts[f].ready = ready,
        wat::Command::PollList if !w.fronts[f].polling => {
            w.fronts[f].polling = true;
            push(w, 2 * MILLI, Hap::List { f, life });
        }
        wat::Command::Probe(list) => {
            w.probes += list.len() as u64;
            for info in list {
                let word =
                    Word { leaf: info.leaf.clone(), age_ms: plan::OLD_MS, ..Word::default() };
                let event = Box::new(wat::Event::Word { service: info.service.clone(), word });
                push(w, 2 * MILLI, Hap::FrontTakes { f, life, event });
            }
        }
        wat::Command::Alarm(text) => *w.alarms.entry(text).or_default() += 1,
        // What threads are told costs no message.
        _ => {}
    }
}

fn front_tells(w: &mut World, f: usize, s: usize, msg: &Msg) {
    let (from, zone) = (From::Front(f, w.fronts[f].life), w.fronts[f].zone);
    let raw = front_writes(w, f, "front-seat", msg);
    let at = arrival(w, (f + w.seats.len(), zone), (s, plan::seat_zone(s as Seat)));
    let life = w.seats[s].life;
    push_at(w, at, Hap::SeatGets { s, life, from, raw });
}

fn front_writes(w: &mut World, f: usize, way: &'static str, msg: &Msg) -> Raw {
    let n = &mut w.fronts[f];
    let raw = timed(&mut n.meter.code_ns, || frame::pieces(&frame::write(msg)));
    let bytes = size_of(&raw);
    add(&mut n.meter.sent, bytes);
    add(w.ways.entry((way, kind(msg))).or_default(), bytes);
    Rc::new(raw)
}

fn size_of(raw: &[Vec<u8>]) -> usize {
    raw.iter().map(Vec::len).sum()
}
