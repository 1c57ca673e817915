//! The controller's thread: feeds the state machine with events, one at a time, and
//! carries out its commands.

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

/// Times that the connections' tasks may run after the last command, to write what they
/// hold.
const LAST_YIELDS: u32 = 64;

/// What the thread begins with.
pub struct Start {
    /// The settings.
    pub settings: Settings,
    /// The process's clock.
    pub clock: Clock,
    /// Who this controller is and the voter set it knows; it is on disk.
    pub voter_file: VoterFile,
    /// Each partition as it was found on disk.
    pub replicas: Vec<FoundReplica>,
    /// Partitions whose first snapshot could not be written, and why.
    pub failed: Vec<(PartitionId, String)>,
    /// Listens for the other processes.
    pub listener: std::net::TcpListener,
    /// Takes jobs for the disk.
    pub disk: mpsc::Sender<DiskJob>,
}

/// The state machine with everything around it.
struct ControllerThread {
    settings: Settings,
    clock: Clock,
    state: ControllerState,
    io: ControllerIo,
}

/// Serves until asked to stop.
pub async fn serve(
    start: Start,
    mut inputs: UnboundedReceiver<ControllerInput>,
) -> Result<(), std::io::Error> {
    start.listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(start.listener)?;
    // Without a bound of its own: see `Connections::new`.
    let (events, mut connection_events) = unbounded_channel();
    let (settings, clock) = (start.settings, start.clock);
    tokio::task::spawn_local(accept(listener, settings.fleet, events.clone()));
    let address = settings.advertised.to_string();
    let place = (address.as_str(), settings.zone.as_str());
    let state = ControllerState::new(start.voter_file, place, start.replicas, nonce(), clock.now());
    let io = ControllerIo::new(&settings, &state, start.disk, events);
    let mut thread = ControllerThread { settings, clock, state, io };
    for (partition, why) in start.failed {
        thread.step(Event::DiskFailed { partition, why });
    }
    thread.run(&mut inputs, &mut connection_events).await;
    thread.io.abandon_waiting();
    // The connections write from tasks of this thread: let them.
    for _ in 0..LAST_YIELDS {
        tokio::task::yield_now().await;
    }
    Ok(())
}

type ConnectionEvents =
    UnboundedReceiver<grebepath_runtime::peer_connection::ConnectionEvent<SocketAddr>>;

impl ControllerThread {
    /// Handles one event after another. Asked to stop, it goes on until our voter slot
    /// is in other hands, or nobody is there to take it.
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
                    self.abandon_left_requests();
                    Some(Event::Wake)
                }
                () = until(self.io.wake_at) => {
                    self.io.wake_at = None;
                    Some(Event::Wake)
                }
                Some(input) = inputs.recv() => self.take(input),
                Some(event) = connection_events.recv() => self.io.take(event),
            };
            if let Some(event) = event {
                self.step(event);
            }
        }
    }

    /// Callers that have gone wait for nothing any more, and may have given their orders to
    /// another controller.
    fn abandon_left_requests(&mut self) {
        for op in self.io.take_left_requests() {
            self.step(Event::Abandon { op });
        }
    }

    fn step(&mut self, event: Event) {
        let commands = self.state.step(self.clock.now(), event);
        self.io.carry_out(&self.state, commands);
    }

    /// What another thread's input means for the state machine, if anything.
    fn take(&mut self, input: ControllerInput) -> Option<Event> {
        match input {
            ControllerInput::Event(event) => Some(event),
            ControllerInput::Operate { request_id, expected_revision, operation, reply } => {
                let op = self.io.await_result(reply);
                Some(Event::Operate { op, request: request_id, expected_revision, operation })
            }
            ControllerInput::Status(reply) => {
                let zone = &self.settings.zone;
                let _ = reply.send(crate::metrics::own(&self.state, zone, self.clock.now()));
                None
            }
            ControllerInput::Metrics(reply) => {
                let _ = reply.send(crate::metrics::text(&self.state));
                None
            }
        }
    }
}

/// Waits until an instant; for ever if there is none.
async fn until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
