//! Faults that are injected at a numbered event of the controllers: a message that
//! arrives at a controller, or a write that its disk finishes. `crate::explore` tries them
//! all.

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::protocol::message::Message;
use grebepath_core::time::{Span, Tick, ms};

use super::events::{FollowUp, ScheduledEvent};
use super::{BEGIN, World};
use crate::connection_id::Opener;

/// Delay of a message: longer than an election, so that a
/// whole leadership passes in between.
const MESSAGE_DELAY: Span = ms(1_600);

/// Duration of a pause: longer than a lease.
const PAUSE_DURATION: Span = ms(1_300);

/// Time until a killed process restarts.
const RESTART_DELAY: Span = ms(300);

/// A fault of an event or of the controller that receives it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The message is lost.
    Lose,
    /// The message arrives after all others.
    Delay,
    /// The message arrives twice.
    Repeat,
    /// The controller is paused before it handles the event.
    Pause,
    /// Its process is killed right after the event, and starts again.
    Kill,
    /// Its machine loses power right after the event, and starts again.
    Power,
    /// Its machine restarts with an empty disk.
    DiskLost,
    /// Its machine is lost permanently.
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

/// A fault at an event, which is counted from the start of the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InjectedFault {
    /// The number of the event.
    pub event: u64,
    /// The fault at this event.
    pub fault: Fault,
}

/// The faults that are injected in one run.
#[derive(Clone, Debug, Default)]
pub struct FaultInjection {
    /// Time in the scenario (microseconds) from which and up to which events count.
    pub window: (Tick, Tick),
    /// The faults.
    pub list: Vec<InjectedFault>,
    /// Events of the window so far.
    pub seen: u64,
    /// Replicas that were lost permanently: disks, machines, and controllers that
    /// were about to leave and are not restarted.
    pub losses: usize,
    /// A readable log of the injected faults.
    pub event_log: Vec<String>,
}

impl World {
    /// Injects the faults that are due; returns the event unless a fault dropped or delayed it.
    pub(super) fn inject(&mut self, event: ScheduledEvent) -> Option<ScheduledEvent> {
        let (from, to) = self.injected.window;
        let at = self.now - BEGIN;
        let controller = numbered_event_target(&event).filter(|_| from <= at && at < to);
        let Some(controller) = controller else { return Some(event) };
        let number = self.injected.seen;
        self.injected.seen += 1;
        let due_faults: Vec<Fault> =
            self.injected.list.iter().filter(|d| d.event == number).map(|d| d.fault).collect();
        let mut remaining_event = Some(event);
        for fault in due_faults {
            let Some(event) = remaining_event.take() else { break };
            let line = format!("{:.3} s: {fault:?} at {}", at as f64 / 1e6, describe(&event));
            self.injected.event_log.push(line);
            remaining_event = self.apply_injected_fault(controller, fault, event);
        }
        remaining_event
    }

    fn apply_injected_fault(
        &mut self,
        controller: usize,
        fault: Fault,
        event: ScheduledEvent,
    ) -> Option<ScheduledEvent> {
        let message = matches!(event, ScheduledEvent::ControllerEvent { .. });
        self.note_injected_fault();
        match fault {
            Fault::Lose if message => return None,
            Fault::Delay if message => {
                self.push(MESSAGE_DELAY, event);
                return None;
            }
            Fault::Repeat => {
                if let ScheduledEvent::ControllerEvent { controller, incarnation, event } = &event {
                    let event = clone_delivery(event);
                    if let Some(event) = event {
                        self.push(
                            0,
                            ScheduledEvent::ControllerEvent {
                                controller: *controller,
                                incarnation: *incarnation,
                                event,
                            },
                        );
                    }
                }
            }
            Fault::Pause => {
                self.controllers[controller].paused = self.now + PAUSE_DURATION;
                self.push(PAUSE_DURATION, event);
                return None;
            }
            Fault::Lose | Fault::Delay => {}
            Fault::Kill | Fault::Power | Fault::DiskLost | Fault::Gone => {
                self.push(
                    0,
                    ScheduledEvent::FollowUp { key: FollowUp::Fault { controller, fault } },
                );
            }
        }
        Some(event)
    }

    /// Ends a controller's process by a fault.
    pub(super) fn end_process(&mut self, controller: usize, fault: Fault) {
        if !self.controllers[controller].up {
            return;
        }
        let restarts =
            !matches!(fault, Fault::Gone) && self.controllers[controller].stopping.is_none();
        self.kill_controller(controller, !matches!(fault, Fault::Kill));
        if fault == Fault::DiskLost {
            self.controllers[controller].disk.replace();
            self.lost_disks += 1;
        }
        self.injected.losses += usize::from(fault == Fault::DiskLost || !restarts);
        if restarts {
            self.later(RESTART_DELAY, FollowUp::StartController(controller));
        }
    }
}

/// Returns the controller that receives an event, if the event is numbered: a
/// message of another controller, or the end of a write.
fn numbered_event_target(event: &ScheduledEvent) -> Option<usize> {
    match event {
        ScheduledEvent::ControllerEvent { controller, event, .. } => match event {
            CoreEvent::FromVoter { message, .. } | CoreEvent::FromController { message } => {
                (!is_heartbeat(message)).then_some(*controller)
            }
            CoreEvent::FromConnection { connection, .. } => {
                matches!(Opener::of(*connection), Opener::Controller { .. }).then_some(*controller)
            }
            _ => None,
        },
        ScheduledEvent::DiskJobDone { controller, .. }
        | ScheduledEvent::VoterFileDone { controller, .. } => Some(*controller),
        _ => None,
    }
}

/// Returns whether a message is sent periodically: losing or repeating a single one
/// makes no difference, as the next one has the same effect.
fn is_heartbeat(message: &Message) -> bool {
    matches!(message, Message::VoterAlive { .. })
        || matches!(message, Message::Heartbeat { partition, .. } | Message::HeartbeatAck { partition, .. } if partition.0 != 0)
}

fn clone_delivery(event: &CoreEvent) -> Option<CoreEvent> {
    Some(match event {
        CoreEvent::FromVoter { slot, replica_id, connection, message } => CoreEvent::FromVoter {
            slot: *slot,
            replica_id: *replica_id,
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

fn describe(event: &ScheduledEvent) -> String {
    let message_kind = |message: &Message| {
        let text = format!("{message:?}");
        text.split([' ', '(', '{']).next().unwrap_or_default().to_string()
    };
    match event {
        ScheduledEvent::ControllerEvent { controller, event, .. } => match event {
            CoreEvent::FromVoter { slot, message, .. } => {
                format!("{} from slot {slot} to controller {controller}", message_kind(message))
            }
            CoreEvent::FromConnection { connection, message } => {
                let (Opener::Controller { number, .. } | Opener::Querier { number, .. }) =
                    Opener::of(*connection);
                format!(
                    "{} from controller {} to controller {controller}",
                    message_kind(message),
                    number
                )
            }
            CoreEvent::FromController { message } => {
                format!("{} in answer to controller {controller}", message_kind(message))
            }
            _ => format!("an event of controller {controller}"),
        },
        ScheduledEvent::DiskJobDone { controller, partition, .. } => {
            format!("a write of {partition} on controller {controller}")
        }
        ScheduledEvent::VoterFileDone { controller, .. } => {
            format!("the voter set's write on controller {controller}")
        }
        _ => "another event".into(),
    }
}
