//! What the controller's thread holds beside the state machine: turns messages and
//! requests into events, and commands into I/O.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc;

use grebepath_core::command::Command;
use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::protocol::peer::PeerIdentity;
use grebepath_core::voter_set::NO_SLOT;
use grebepath_runtime::clock::duration;
use grebepath_runtime::connections::Connections;
use grebepath_runtime::peer_connection::{ConnectionEvent, Greeting, MessageSender};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tracing::{debug, warn};

use crate::messages::DiskJob;
use crate::settings::Settings;

/// Wakes between two arrangements of the connections: a second.
const ARRANGE_WAKES: u32 = 20;

/// Connections, the disk, and whoever waits for a result.
pub struct ControllerIo {
    /// Connections that we dial, to other controllers.
    controllers: Connections<SocketAddr>,
    /// Wakes so far.
    wakes: u32,
    /// Connections that others opened, by our numbers for them.
    accepted: HashMap<u64, MessageSender>,
    disk: mpsc::Sender<DiskJob>,
    /// Operators' requests in flight, by operation id.
    waiting: HashMap<u64, oneshot::Sender<OperationResult>>,
    next_operation: u64,
    /// When the state machine asked to be woken, beside the wakes that come anyway.
    pub wake_at: Option<tokio::time::Instant>,
}

impl ControllerIo {
    /// Begins with connections to the voters that are known, or to the seeds.
    pub fn new(
        settings: &Settings,
        state: &ControllerState,
        disk: mpsc::Sender<DiskJob>,
        events: UnboundedSender<ConnectionEvent<SocketAddr>>,
    ) -> ControllerIo {
        let own = Some(settings.advertised);
        let greeting = Greeting { identity: identity(state), fleet: settings.fleet };
        let mut io = ControllerIo {
            controllers: Connections::new(own, &settings.seeds, greeting, |addr| addr, events),
            wakes: 0,
            accepted: HashMap::new(),
            disk,
            waiting: HashMap::new(),
            next_operation: 1,
            wake_at: None,
        };
        io.arrange(state);
        io
    }

    fn arrange(&mut self, state: &ControllerState) {
        self.controllers.arrange(identity(state), &state.voter_slots.voter_file.voter_set);
    }

    /// Arranges the connections now and then: a seed that never spoke is given up, or
    /// all seeds are tried again.
    pub fn note_wake(&mut self, state: &ControllerState) {
        self.wakes += 1;
        if self.wakes.is_multiple_of(ARRANGE_WAKES) {
            self.arrange(state);
        }
    }

    /// Takes up what of the settings may change under a running controller: its seeds. Wrong
    /// ones change nothing.
    pub fn reload_settings(&mut self) {
        match Settings::read_again() {
            Ok(settings) => self.controllers.set_seeds(&settings.seeds),
            Err(diagnostics) => {
                for diagnostic in diagnostics {
                    warn!("changed params are not taken up: {diagnostic}");
                }
            }
        }
    }

    /// An id for an operator's request; its result goes to `reply`.
    pub fn await_result(&mut self, reply: oneshot::Sender<OperationResult>) -> u64 {
        let operation = self.next_operation;
        self.next_operation += 1;
        self.waiting.insert(operation, reply);
        operation
    }

    /// Requests whose callers have gone before there was a result.
    pub fn take_left_requests(&mut self) -> Vec<u64> {
        let left = self.waiting.extract_if(|_, reply| reply.is_closed());
        left.map(|(op, _)| op).collect()
    }

    /// Tells whoever still waits that there will be no result.
    pub fn abandon_waiting(&mut self) {
        for (_, reply) in self.waiting.drain() {
            let why = "this controller went down".into();
            let _ = reply.send(OperationResult::Unknown { why });
        }
    }

    /// What a connection's event means for the state machine, if anything.
    pub fn take(&mut self, event: ConnectionEvent<SocketAddr>) -> Option<Event> {
        match event {
            ConnectionEvent::Received { tag, message } => {
                self.controllers.note_message(tag, &message);
                Some(Event::FromController { message })
            }
            ConnectionEvent::Accepted { connection, identity: who, sender } => {
                debug!(connection, ?who, "wire opened");
                self.accepted.insert(connection, sender);
                Some(Event::ConnectionOpened { connection })
            }
            ConnectionEvent::ReceivedFromAccepted { connection, identity, message } => {
                Some(match identity {
                    PeerIdentity::Voter { slot, replica_id: holder } => {
                        self.controllers.note_contact();
                        Event::FromVoter { slot, replica_id: holder, connection, message }
                    }
                    PeerIdentity::Member(_) | PeerIdentity::Spare { .. } => {
                        Event::FromConnection { connection, message }
                    }
                })
            }
            ConnectionEvent::Closed { connection } => {
                self.accepted.remove(&connection);
                Some(Event::ConnectionClosed { connection })
            }
            ConnectionEvent::Failed { error } => {
                warn!("{error}");
                None
            }
        }
    }

    /// Carries out what the state machine asks.
    pub fn carry_out(&mut self, state: &ControllerState, commands: Vec<Command>) {
        let voters = &state.voter_slots.voter_file.voter_set;
        for command in commands {
            match command {
                Command::ToVoter { slot, message } => {
                    self.controllers.send_to_voter(voters, slot, &message);
                }
                Command::Broadcast { message } => self.controllers.broadcast(&message),
                Command::VoterSetChanged => self.arrange(state),
                Command::WriteVoterFile { token, voter_file: file, clear: set_aside } => {
                    self.ask_disk(DiskJob::WriteVoterFile { token, file, set_aside });
                }
                Command::ToConnection { connection, message } => {
                    if let Some(sender) = self.accepted.get(&connection) {
                        sender.send(&message);
                    }
                }
                Command::AppendRecord { partition, token, record } => {
                    self.ask_disk(DiskJob::Append { partition, token, record });
                }
                Command::WriteSnapshot { partition, token, snapshot: state } => {
                    self.ask_disk(DiskJob::WriteSnapshot { partition, token, state });
                }
                Command::Scrub { partition } => self.ask_disk(DiskJob::Scrub { partition }),
                Command::Respond { op, result: done } => {
                    if let Some(reply) = self.waiting.remove(&op) {
                        let _ = reply.send(done);
                    }
                }
                // The state machine takes these itself and returns none.
                Command::OwnResponse { .. } => {}
                Command::WakeAfter { span } => {
                    let at = tokio::time::Instant::now() + duration(span);
                    self.wake_at = Some(self.wake_at.map_or(at, |old| old.min(at)));
                }
                Command::Alarm(text) => warn!("{text}"),
            }
        }
    }

    /// The disk's thread ends only when this sender is gone, or by a panic, which ends
    /// the process with an error later.
    fn ask_disk(&self, job: DiskJob) {
        let _ = self.disk.send(job);
    }
}

/// As whom we dial.
fn identity(state: &ControllerState) -> PeerIdentity {
    let holder = state.voter_slots.voter_file.replica_id;
    match state.slot {
        NO_SLOT => PeerIdentity::Spare { replica_id: holder },
        slot => PeerIdentity::Voter { slot, replica_id: holder },
    }
}
