//! The loop that lets virtual time pass and hands each event to whom it is for.

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::control_plane::step as cstep;
use grebepath_core::membership::node_agent as wat;
use grebepath_core::membership::step as qstep;
use grebepath_core::protocol::message::Message;
use grebepath_core::query::engine;
use grebepath_core::time::{SECOND, Span, ms};
use grebepath_core::voter_set::seat_of;

use super::callers::{arrive, call, tally};
use super::controllers::{deafened, end_seat, open_wire, start_seat, step_seat};
use super::deviations;
use super::events::{DueKey, ScheduledEvent, later, push, push_at};
use super::faulty_variant::Broken;
use super::leafs::{end_run, leaf_done, leaf_gets};
use super::nodes::{alive, live};
use super::operators::{marked, operate, order};
use super::queriers::{kill_querier, list_asked, probed, start_querier, step_desk, step_watch};
use super::{BEGIN, World};
use crate::rules;
use crate::simulated_disk;
use crate::simulated_disk::Health;

/// Lets `span` pass.
pub fn run(w: &mut World, span: Span) {
    let end = w.now + span;
    while let Some(entry) = w.haps.first_entry() {
        let at = entry.key().0;
        if at > end {
            break;
        }
        let hap = entry.remove();
        w.now = w.now.max(at);
        w.events += 1;
        happen(w, hap);
    }
    w.now = end;
}

/// Lets time pass until `done`, at most `span`; tells whether it came to be.
pub fn until(w: &mut World, span: Span, done: impl Fn(&World) -> bool) -> bool {
    let end = w.now + span;
    while w.now < end {
        if done(w) {
            return true;
        }
        run(w, ms(20));
    }
    done(w)
}

pub(super) fn happen(w: &mut World, hap: ScheduledEvent) {
    // A paused process does nothing; all of it comes at once when it wakes.
    let until = match &hap {
        ScheduledEvent::SeatWake { s, .. }
        | ScheduledEvent::ToSeat { s, .. }
        | ScheduledEvent::Disk { s, .. }
        | ScheduledEvent::Kept { s, .. } => w.seats[*s].paused,
        ScheduledEvent::QWake { q, .. }
        | ScheduledEvent::ToWatch { q, .. }
        | ScheduledEvent::FromSeat { q, .. }
        | ScheduledEvent::ToDesk { q, .. }
        | ScheduledEvent::DeskWake { q, .. } => w.queriers[*q].paused,
        _ => 0,
    };
    if until > w.now {
        return push_at(w, until, hap);
    }
    let Some(hap) = deviations::deviate(w, hap) else { return };
    match hap {
        ScheduledEvent::SeatWake { s, life } if alive(w, s, life) => {
            push(w, cstep::WAKE, ScheduledEvent::SeatWake { s, life });
            step_seat(w, s, CoreEvent::Wake);
        }
        ScheduledEvent::ToSeat { s, life, event } if alive(w, s, life) => {
            let Some(event) = deafened(w, s, event) else { return };
            open_wire(w, s, &event);
            step_seat(w, s, event);
        }
        ScheduledEvent::Disk { s, life, part, token } if alive(w, s, life) => {
            if w.seats[s].disk.health == Health::Stalled {
                return;
            }
            let event = match simulated_disk::done(&mut w.seats[s].disk, part, token) {
                Some(Ok(())) => CoreEvent::Synced { partition: part, token },
                Some(Err(why)) => CoreEvent::DiskFailed { partition: part, why },
                None => return,
            };
            if w.broken != Some(Broken::EarlyYes) || matches!(event, CoreEvent::DiskFailed { .. }) {
                step_seat(w, s, event);
            }
        }
        ScheduledEvent::Kept { s, life, token } if alive(w, s, life) => {
            if w.seats[s].disk.health == Health::Stalled {
                return;
            }
            match simulated_disk::kept(&mut w.seats[s].disk, token) {
                Some(Ok(())) => step_seat(w, s, CoreEvent::VoterFileWritten { token }),
                Some(Err(why)) => step_seat(w, s, CoreEvent::VoterFileFailed { why }),
                None => {}
            }
        }
        ScheduledEvent::QWake { q, life } if live(w, q, life) => {
            push(w, qstep::WAKE, ScheduledEvent::QWake { q, life });
            step_watch(w, q, wat::Event::Wake);
        }
        ScheduledEvent::ToWatch { q, life, event } if live(w, q, life) => {
            if matches!(event, wat::Event::List(_)) {
                w.queriers[q].polling = false;
            }
            step_watch(w, q, event);
        }
        ScheduledEvent::FromSeat { q, life, holder, message } if live(w, q, life) => {
            let event = match message {
                Message::VoterSetUpdate { table, .. } => wat::Event::Seats(table),
                message => match seat_of(&w.queriers[q].watch.table, holder) {
                    Some(seat) => wat::Event::FromSeat { slot: seat, message },
                    None => return,
                },
            };
            step_watch(w, q, event);
        }
        ScheduledEvent::ToDesk { q, life, t, event } if live(w, q, life) => {
            step_desk(w, q, t, event)
        }
        ScheduledEvent::DeskWake { q, life, t, at }
            if live(w, q, life) && w.queriers[q].wakes[t] == at =>
        {
            w.queriers[q].wakes[t] = 0;
            step_desk(w, q, t, engine::Event::Wake);
        }
        ScheduledEvent::LeafGets { q, life, t, sending } => leaf_gets(w, (q, life, t), *sending),
        ScheduledEvent::LeafDone { run } => leaf_done(w, run),
        ScheduledEvent::LeafDrop { key } => {
            if let Some(run) = w.by_key.remove(&key) {
                end_run(w, run);
            }
        }
        ScheduledEvent::Probe { q, life, info } => probed(w, q, life, &info),
        ScheduledEvent::ListAsked { q, life } => list_asked(w, q, life),
        ScheduledEvent::Call { kind } => call(w, kind),
        ScheduledEvent::Arrive { call } => arrive(w, call),
        ScheduledEvent::CallDue { call } => {
            if let Some(c) = w.calls.remove(&call) {
                let name = w.kinds[c.kind].search.clone();
                let now = w.now - BEGIN;
                rules::ends(&mut w.rules, c.began - BEGIN, now, &name, false);
                tally(w, c.kind).late += 1;
            }
        }
        ScheduledEvent::Platform => {
            w.platform = (0..w.queriers.len())
                .filter(|q| w.queriers[*q].up && w.queriers[*q].ready)
                .collect();
            push(w, SECOND, ScheduledEvent::Platform);
        }
        ScheduledEvent::Operate { order } => operate(w, order),
        ScheduledEvent::Trouble { at } => {
            let trouble = w.troubles[at].clone();
            rules::tell(&mut w.rules, w.now - BEGIN, || format!("trouble: {trouble}"));
            rules::disturb(&mut w.rules, w.now - BEGIN);
            crate::scenario::befall(w, &trouble);
        }
        ScheduledEvent::Due { key } => due(w, key),
        _ => {}
    }
}

pub(super) fn due(w: &mut World, key: DueKey) {
    match key {
        DueKey::StartSeat(s) if !w.seats[s].up => start_seat(w, s),
        DueKey::Fault { controller, fault } => deviations::fall(w, controller, fault),
        DueKey::ForceStop { controller, life } if alive(w, controller, life) => {
            end_seat(w, controller);
        }
        DueKey::StartQuerier(q) if !w.queriers[q].up => start_querier(w, q),
        DueKey::EndQuerier(q, life) if live(w, q, life) => {
            if w.queriers[q].desks.iter().any(|d| !d.queries.is_empty()) {
                return later(w, ms(20), key);
            }
            step_watch(w, q, wat::Event::Drained);
            kill_querier(w, q);
        }
        DueKey::Proof { restart } => {
            let n = w.orders.len();
            order(w, 0, marked(n));
            if let Some(back) = w.rules.restarts.get_mut(restart) {
                back.order = Some(n);
            }
        }
        DueKey::Storm { left, gap } => {
            let n = w.orders.len();
            order(w, 0, marked(n));
            if left > 1 {
                push(w, gap, ScheduledEvent::Due { key: DueKey::Storm { left: left - 1, gap } });
            }
        }
        _ => {}
    }
}
