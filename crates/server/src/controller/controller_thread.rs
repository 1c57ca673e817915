//! The controller's thread: passes events to the state machine, one at a time, and executes its
//! commands.

use std::net::SocketAddr;
use std::sync::mpsc;

use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::control_plane::step::WAKE_INTERVAL;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::storage::voter_file::VoterFile;
use grebepath_runtime::clock::{Clock, duration, nonce};
use grebepath_runtime::peer_connection::accept;
use grebepath_runtime::reload::SettingsWatch;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use crate::FoundReplica;
use crate::controller_io::ControllerIo;
use crate::messages::{ControllerInput, DiskJob};
use crate::settings::Settings;

/// Number of yields after the last command, in which the connections' tasks write their queued
/// messages.
const SHUTDOWN_YIELDS: u32 = 64;

/// The thread's initial state.
pub struct Start {
    /// The settings.
    pub settings: Settings,
    /// The process's clock.
    pub clock: Clock,
    /// The identity of this controller and the voter set that it knows, as stored on disk.
    pub voter_file: VoterFile,
    /// The partitions as read from disk.
    pub replicas: Vec<FoundReplica>,
    /// Partitions whose first snapshot could not be written, with the error.
    pub failed: Vec<(PartitionId, String)>,
    /// The listener for the other processes.
    pub listener: std::net::TcpListener,
    /// The queue of the disk thread.
    pub disk: mpsc::Sender<DiskJob>,
}

/// The state machine and its environment.
struct ControllerThread {
    settings: Settings,
    clock: Clock,
    state: ControllerState,
    io: ControllerIo,
}

/// Runs the controller until it is asked to stop.
pub async fn serve(
    start: Start,
    mut inputs: UnboundedReceiver<ControllerInput>,
) -> Result<(), std::io::Error> {
    start.listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(start.listener)?;
    // Unbounded, for the reason given at `Connections::new`.
    let (events, mut connection_events) = unbounded_channel();
    let (settings, clock) = (start.settings, start.clock);
    tokio::task::spawn_local(accept(listener, settings.cluster_hash, events.clone()));
    let address = settings.advertised.to_string();
    let place = (address.as_str(), settings.zone.as_str());
    let state = ControllerState::new(start.voter_file, place, start.replicas, nonce(), clock.now());
    let io = ControllerIo::new(&settings, &state, start.disk, events);
    let mut thread = ControllerThread { settings, clock, state, io };
    for (partition, why) in start.failed {
        thread.step(Event::DiskFailed { partition, why });
    }
    thread.run(&mut inputs, &mut connection_events).await;
    thread.io.fail_pending();
    // The connections' tasks run on this thread, so yield to let them write.
    for _ in 0..SHUTDOWN_YIELDS {
        tokio::task::yield_now().await;
    }
    Ok(())
}

type ConnectionEvents =
    UnboundedReceiver<grebepath_runtime::peer_connection::ConnectionEvent<SocketAddr>>;

impl ControllerThread {
    /// Handles events until the controller ends. After a stop request it continues until its voter
    /// slot is handed over, or until there is no controller to take it.
    async fn run(
        &mut self,
        inputs: &mut UnboundedReceiver<ControllerInput>,
        connection_events: &mut ConnectionEvents,
    ) {
        let mut settings_watch = SettingsWatch::new(self.settings.file.as_deref());
        let mut wake = tokio::time::interval(duration(WAKE_INTERVAL));
        wake.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let stop = grebepath_runtime::stop::requested();
        tokio::pin!(stop);
        while !self.state.may_end(self.clock.now()) {
            let event = tokio::select! {
                biased;
                _ = &mut stop, if !self.state.is_leaving() => Some(Event::Stop),
                _ = settings_watch.changed() => {
                    self.io.reload_settings();
                    None
                }
                _ = wake.tick() => {
                    self.io.note_wake(&self.state);
                    self.cancel_abandoned_requests();
                    Some(Event::Wake)
                }
                () = until(self.io.wake_at) => {
                    self.io.wake_at = None;
                    Some(Event::Wake)
                }
                Some(input) = inputs.recv() => self.translate_event(input),
                Some(event) = connection_events.recv() => self.io.translate_event(event),
            };
            if let Some(event) = event {
                self.step(event);
            }
        }
    }

    /// Cancels the requests whose callers have disconnected, since these may have sent them to
    /// another controller.
    fn cancel_abandoned_requests(&mut self) {
        for op in self.io.take_abandoned_requests() {
            self.step(Event::Abandon { op });
        }
    }

    fn step(&mut self, event: Event) {
        let commands = self.state.step(self.clock.now(), event);
        self.io.execute(&self.state, commands);
    }

    /// Converts another thread's input to an event of the state machine, or answers it directly.
    fn translate_event(&mut self, input: ControllerInput) -> Option<Event> {
        match input {
            ControllerInput::Event(event) => Some(event),
            ControllerInput::Operate { request_id, expected_revision, operation, reply } => {
                let op = self.io.await_result(reply);
                Some(Event::Operate { op, request: request_id, expected_revision, operation })
            }
            ControllerInput::Status(reply) => {
                let zone = &self.settings.zone;
                let _ = reply.send(crate::metrics::status(&self.state, zone, self.clock.now()));
                None
            }
            ControllerInput::Metrics(reply) => {
                let _ = reply.send(crate::metrics::prometheus_text(&self.state));
                None
            }
        }
    }
}

/// Waits until an instant, or forever if there is none.
async fn until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
