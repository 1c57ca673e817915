//! Faults that strike at one numbered event of the controllers: a message that
//! arrives at one, or a write that its disk finishes. `crate::explore` tries them
//! all.

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::protocol::message::Message;
use grebepath_core::time::{Span, Tick, ms};

use super::controllers::kill_seat;
use super::events::{DueKey, ScheduledEvent, later, push};
use super::{BEGIN, World};
use crate::simulated_disk;

/// How long a delayed message stays behind: longer than an election, so that a
/// whole leadership passes in between.
const DELAY: Span = ms(1_600);

/// How long a paused process stands still: longer than a lease.
const PAUSE: Span = ms(1_300);

/// How long a machine is down that comes back.
const DOWN: Span = ms(300);

/// What befalls an event or the controller that it reaches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The message is lost.
    Lose,
    /// The message comes behind all others.
    Delay,
    /// The message comes twice.
    Repeat,
    /// The controller stands still for a while before it takes the event.
    Pause,
    /// Its process is killed right after the event, and starts again.
    Kill,
    /// Its machine loses power right after the event, and starts again.
    Power,
    /// Its machine comes back with an empty disk.
    DiskLost,
    /// Its machine is gone for good.
    Gone,
}

/// All faults.
pub const FAULTS: [Fault; 8] = [
    Fault::Lose,
    Fault::Delay,
    Fault::Repeat,
    Fault::Pause,
    Fault::Kill,
    Fault::Power,
    Fault::DiskLost,
    Fault::Gone,
];

/// A fault at an event, counted from the beginning of the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deviation {
    pub event: u64,
    pub fault: Fault,
}

/// The deviations of one play.
#[derive(Clone, Debug, Default)]
pub struct Deviations {
    /// Time in the scenario (microseconds) from which and up to which events count.
    pub window: (Tick, Tick),
    pub list: Vec<Deviation>,
    /// Events of the window so far.
    pub seen: u64,
    /// Replicas that were lost for good: disks, machines, and controllers that
    /// were about to leave and are not started again.
    pub losses: usize,
    /// What was done, to be read by people.
    pub story: Vec<String>,
}

/// Applies the deviations that strike now; gives the event if it still happens.
pub(super) fn deviate(w: &mut World, hap: ScheduledEvent) -> Option<ScheduledEvent> {
    let (from, to) = w.deviations.window;
    let at = w.now - BEGIN;
    let controller = reaches(&hap).filter(|_| from <= at && at < to);
    let Some(controller) = controller else { return Some(hap) };
    let number = w.deviations.seen;
    w.deviations.seen += 1;
    let due: Vec<Fault> =
        w.deviations.list.iter().filter(|d| d.event == number).map(|d| d.fault).collect();
    let mut left = Some(hap);
    for fault in due {
        let Some(hap) = left.take() else { break };
        let line = format!("{:.3} s: {fault:?} at {}", at as f64 / 1e6, describe(&hap));
        w.deviations.story.push(line);
        left = strike(w, controller, fault, hap);
    }
    left
}

/// The running controller that an event reaches, if it is one that counts: a
/// message of another controller, or the end of a write.
fn reaches(hap: &ScheduledEvent) -> Option<usize> {
    match hap {
        ScheduledEvent::ToSeat { s, event, .. } => match event {
            CoreEvent::FromVoter { message, .. } | CoreEvent::FromController { message } => {
                (!is_heartbeat(message)).then_some(*s)
            }
            CoreEvent::FromConnection { connection, .. } if connection >> 63 == 1 => Some(*s),
            _ => None,
        },
        ScheduledEvent::Disk { s, .. } | ScheduledEvent::Kept { s, .. } => Some(*s),
        _ => None,
    }
}

/// Messages that are sent again all the time; one more or less changes nothing
/// that the others do not change.
fn is_heartbeat(message: &Message) -> bool {
    matches!(message, Message::VoterAlive { .. })
        || matches!(message, Message::Heartbeat { partition: part, .. } | Message::HeartbeatAck { partition: part, .. } if part.0 != 0)
}

fn strike(w: &mut World, s: usize, fault: Fault, hap: ScheduledEvent) -> Option<ScheduledEvent> {
    let message = matches!(hap, ScheduledEvent::ToSeat { .. });
    match fault {
        Fault::Lose if message => return None,
        Fault::Delay if message => {
            push(w, DELAY, hap);
            return None;
        }
        Fault::Repeat => {
            if let ScheduledEvent::ToSeat { s, life, event } = &hap {
                let event = copied(event);
                if let Some(event) = event {
                    push(w, 0, ScheduledEvent::ToSeat { s: *s, life: *life, event });
                }
            }
        }
        Fault::Pause => {
            w.seats[s].paused = w.now + PAUSE;
            push(w, PAUSE, hap);
            return None;
        }
        Fault::Lose | Fault::Delay => {}
        Fault::Kill | Fault::Power | Fault::DiskLost | Fault::Gone => {
            push(w, 0, ScheduledEvent::Due { key: DueKey::Fault { controller: s, fault } });
        }
    }
    Some(hap)
}

fn copied(event: &CoreEvent) -> Option<CoreEvent> {
    Some(match event {
        CoreEvent::FromVoter { slot: seat, holder, connection, message } => CoreEvent::FromVoter {
            slot: *seat,
            holder: *holder,
            connection: *connection,
            message: message.clone(),
        },
        CoreEvent::FromConnection { connection, message } => {
            CoreEvent::FromConnection { connection: *connection, message: message.clone() }
        }
        CoreEvent::FromController { message } => {
            CoreEvent::FromController { message: message.clone() }
        }
        _ => return None,
    })
}

/// A fault that ends a controller's process.
pub(super) fn fall(w: &mut World, s: usize, fault: Fault) {
    if !w.seats[s].up {
        return;
    }
    let restarts = !matches!(fault, Fault::Gone) && w.seats[s].stopping.is_none();
    kill_seat(w, s, !matches!(fault, Fault::Kill));
    if fault == Fault::DiskLost {
        simulated_disk::lose(&mut w.seats[s].disk);
        w.lost_disks += 1;
    }
    w.deviations.losses += usize::from(fault == Fault::DiskLost || !restarts);
    if restarts {
        later(w, DOWN, DueKey::StartSeat(s));
    }
}

fn describe(hap: &ScheduledEvent) -> String {
    let word = |message: &Message| {
        let text = format!("{message:?}");
        text.split([' ', '(', '{']).next().unwrap_or_default().to_string()
    };
    match hap {
        ScheduledEvent::ToSeat { s, event, .. } => match event {
            CoreEvent::FromVoter { slot: seat, message, .. } => {
                format!("{} from slot {seat} to controller {s}", word(message))
            }
            CoreEvent::FromConnection { connection, message } => {
                format!(
                    "{} from controller {} to controller {s}",
                    word(message),
                    connection << 1 >> 33
                )
            }
            CoreEvent::FromController { message } => {
                format!("{} in answer to controller {s}", word(message))
            }
            _ => format!("an event of controller {s}"),
        },
        ScheduledEvent::Disk { s, part, .. } => format!("a write of {part} on controller {s}"),
        ScheduledEvent::Kept { s, .. } => format!("the voter set's write on controller {s}"),
        _ => "another event".into(),
    }
}
