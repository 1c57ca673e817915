//! The I/O of the controller's thread: converts messages and requests to events of the state
//! machine, and executes its commands.

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

/// Number of wakes between two updates of the connections; equals one second.
const WAKES_PER_ARRANGE: u32 = 20;

/// The connections, the disk, and the pending requests.
pub struct ControllerIo {
    /// Dialled connections to the other controllers.
    controllers: Connections<SocketAddr>,
    /// Number of wakes so far.
    wakes: u32,
    /// Accepted connections, by their local numbers.
    accepted: HashMap<u64, MessageSender>,
    disk: mpsc::Sender<DiskJob>,
    /// Operators' requests in progress, by operation id.
    pending: HashMap<u64, oneshot::Sender<OperationResult>>,
    next_operation: u64,
    /// Time of a wake that the state machine requested in addition to the periodic ones.
    pub wake_at: Option<tokio::time::Instant>,
}

impl ControllerIo {
    /// Creates the I/O state, and dials the known voters or the seeds.
    pub fn new(
        settings: &Settings,
        state: &ControllerState,
        disk: mpsc::Sender<DiskJob>,
        events: UnboundedSender<ConnectionEvent<SocketAddr>>,
    ) -> ControllerIo {
        let own_address = Some(settings.advertised);
        let greeting = Greeting { identity: identity(state), cluster_hash: settings.cluster_hash };
        let mut io = ControllerIo {
            controllers: Connections::new(
                own_address,
                &settings.seeds,
                greeting,
                |addr| addr,
                events,
            ),
            wakes: 0,
            accepted: HashMap::new(),
            disk,
            pending: HashMap::new(),
            next_operation: 1,
            wake_at: None,
        };
        io.arrange(state);
        io
    }

    fn arrange(&mut self, state: &ControllerState) {
        self.controllers.arrange(identity(state), &state.voter_slots.voter_file.voter_set);
    }

    /// Updates the connections periodically. This drops seeds that never identified themselves, and
    /// dials all seeds again if the controller is isolated.
    pub fn note_wake(&mut self, state: &ControllerState) {
        self.wakes += 1;
        if self.wakes.is_multiple_of(WAKES_PER_ARRANGE) {
            self.arrange(state);
        }
    }

    /// Applies changed settings. Only the seeds can change without a restart. Invalid settings are
    /// ignored.
    pub fn reload_settings(&mut self) {
        match Settings::read_again() {
            Ok(settings) => self.controllers.set_seeds(&settings.seeds),
            Err(diagnostics) => {
                for diagnostic in diagnostics {
                    warn!("settings not reloaded: {diagnostic}");
                }
            }
        }
    }

    /// Registers an operator's request, whose result will be sent to `reply`. Returns its operation
    /// id.
    pub fn await_result(&mut self, reply: oneshot::Sender<OperationResult>) -> u64 {
        let operation = self.next_operation;
        self.next_operation += 1;
        self.pending.insert(operation, reply);
        operation
    }

    /// Removes and returns the requests whose callers disconnected before there was a result.
    pub fn take_abandoned_requests(&mut self) -> Vec<u64> {
        let abandoned = self.pending.extract_if(|_, reply| reply.is_closed());
        abandoned.map(|(op, _)| op).collect()
    }

    /// Fails all pending requests with an unknown result.
    pub fn fail_pending(&mut self) {
        for (_, reply) in self.pending.drain() {
            let why = "this controller went down".into();
            let _ = reply.send(OperationResult::Unknown { why });
        }
    }

    /// Converts a connection's event to an event of the state machine, if it concerns it.
    pub fn translate_event(&mut self, event: ConnectionEvent<SocketAddr>) -> Option<Event> {
        match event {
            ConnectionEvent::Received { tag, message } => {
                self.controllers.note_message(tag, &message);
                Some(Event::FromController { message })
            }
            ConnectionEvent::Accepted { connection, identity: who, sender } => {
                debug!(connection, ?who, "connection accepted");
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

    /// Executes the state machine's commands.
    pub fn execute(&mut self, state: &ControllerState, commands: Vec<Command>) {
        let voters = &state.voter_slots.voter_file.voter_set;
        for command in commands {
            match command {
                Command::ToVoter { slot, message } => {
                    self.controllers.send_to_voter(voters, slot, &message);
                }
                Command::Broadcast { message } => self.controllers.broadcast(&message),
                Command::VoterSetChanged => self.arrange(state),
                Command::WriteVoterFile { token, voter_file: file, clear: set_aside } => {
                    self.submit_disk_job(DiskJob::WriteVoterFile { token, file, set_aside });
                }
                Command::ToConnection { connection, message } => {
                    if let Some(sender) = self.accepted.get(&connection) {
                        sender.send(&message);
                    }
                }
                Command::AppendRecord { partition, token, record } => {
                    self.submit_disk_job(DiskJob::Append { partition, token, record });
                }
                Command::WriteSnapshot { partition, token, snapshot: state } => {
                    self.submit_disk_job(DiskJob::WriteSnapshot { partition, token, state });
                }
                Command::Scrub { partition } => self.submit_disk_job(DiskJob::Scrub { partition }),
                Command::Respond { op, result: done } => {
                    if let Some(reply) = self.pending.remove(&op) {
                        let _ = reply.send(done);
                    }
                }
                // The state machine handles these itself and never returns them.
                Command::OwnResponse { .. } => {}
                Command::WakeAfter { span } => {
                    let at = tokio::time::Instant::now() + duration(span);
                    self.wake_at = Some(self.wake_at.map_or(at, |old| old.min(at)));
                }
                Command::Alarm(text) => warn!("{text}"),
            }
        }
    }

    /// Sends a job to the disk thread. That thread ends only when this sender is dropped or when it
    /// panics, in which case the process exits with an error later.
    fn submit_disk_job(&self, job: DiskJob) {
        let _ = self.disk.send(job);
    }
}

/// Returns the identity that this controller sends when it dials.
fn identity(state: &ControllerState) -> PeerIdentity {
    let holder = state.voter_slots.voter_file.replica_id;
    match state.slot {
        NO_SLOT => PeerIdentity::Spare { replica_id: holder },
        slot => PeerIdentity::Voter { slot, replica_id: holder },
    }
}
