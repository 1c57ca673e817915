//! The control thread: turns I/O into events for `step` and its commands
//! into I/O.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc;

use grebepath_core::command::Command;
use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::control_plane::step::WAKE;
use grebepath_core::protocol::message::{Operation, OperationResult, PeerIdentity};
use grebepath_core::storage::voter_file::VoterFile;
use grebepath_core::voter_set::NOBODY;
use grebepath_core::voters::handover;
use grebepath_runtime::clock::{Clock, duration};
use grebepath_runtime::connections::Connections;
use grebepath_runtime::peer_connection::{ConnectionEvent, Greeting, MessageSender, accept};
use grebepath_runtime::reload::SettingsWatch;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tracing::{debug, warn};

use crate::FoundPart;
use crate::disk::Job;
use crate::params::Params;

/// What reaches the control thread.
pub enum Input {
    Controller(Event),
    /// An operator's request.
    Operate {
        request: String,
        expect: Option<u64>,
        deed: Operation,
        tell: oneshot::Sender<OperationResult>,
    },
    /// What this seat knows itself, as JSON.
    Own(oneshot::Sender<serde_json::Value>),
    Metrics(oneshot::Sender<String>),
}

/// Wakes between two looks at the ways: a second.
const LOOK_WAKES: u32 = 20;

/// Everything the control thread holds beside the core.
struct Io {
    ways: Connections<SocketAddr>,
    /// Wakes since the ways were last seen to.
    looked: u32,
    connections: HashMap<u64, MessageSender>,
    disk: mpsc::Sender<Job>,
    tells: HashMap<u64, oneshot::Sender<OperationResult>>,
    next_op: u64,
    /// When the core asked to be woken, beside the wakes that come anyway.
    wake_at: Option<tokio::time::Instant>,
}

/// Serves until asked to stop.
#[allow(clippy::too_many_arguments)]
pub async fn serve(
    p: Params,
    clock: Clock,
    roll: VoterFile,
    found: Vec<FoundPart>,
    sick: Vec<(grebepath_core::identifiers::PartitionId, String)>,
    inner: std::net::TcpListener,
    disk: mpsc::Sender<Job>,
    tx: UnboundedSender<Input>,
    mut rx: UnboundedReceiver<Input>,
) -> Result<(), std::io::Error> {
    drop(tx);
    inner.set_nonblocking(true)?;
    let inner = tokio::net::TcpListener::from_std(inner)?;
    let (wire_tx, mut wire_rx) = tokio::sync::mpsc::unbounded_channel();
    let fleet = p.fleet;
    tokio::task::spawn_local(accept(inner, fleet, wire_tx.clone()));
    let here = (p.addr.to_string(), p.zone.clone());
    let nonce = grebepath_runtime::clock::nonce();
    let mut core = ControllerState::new(roll, (&here.0, &here.1), found, nonce, clock.now());
    let greeting = Greeting { identity: who(&core), fleet };
    let ways = Connections::new(Some(p.addr), &p.seeds, greeting, |addr| addr, wire_tx);
    let connections = HashMap::new();
    let mut io =
        Io { ways, looked: 0, connections, disk, tells: HashMap::new(), next_op: 1, wake_at: None };
    io.ways.arrange(who(&core), &core.seating.roll.table);
    for (part, why) in sick {
        let todo = core.step(clock.now(), Event::DiskFailed { partition: part, why });
        carry_out(&mut io, &core, todo);
    }
    // Nothing of a controller's params can change while it runs.
    let mut files = SettingsWatch::new(None);
    let mut wake = tokio::time::interval(duration(WAKE));
    wake.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let stop = grebepath_runtime::stop::requested();
    tokio::pin!(stop);
    // Asked to stop, we go on until our voter slot is in other hands, or nobody
    // is there to take it.
    while !handover::may_end(&core, clock.now()) {
        let event = tokio::select! {
            biased;
            _ = &mut stop, if !handover::is_leaving(&core) => Some(Event::Stop),
            _ = files.changed() => None,
            _ = wake.tick() => {
                look(&mut io, &core);
                Some(Event::Wake)
            }
            () = asked_wake(io.wake_at) => {
                io.wake_at = None;
                Some(Event::Wake)
            }
            Some(input) = rx.recv() => taken(&mut io, &core, &p, &clock, input),
            Some(event) = wire_rx.recv() => heard(&mut io, event),
        };
        if let Some(event) = event {
            let todo = core.step(clock.now(), event);
            carry_out(&mut io, &core, todo);
        }
    }
    // Whoever still waits here is told.
    for (_, tell) in io.tells.drain() {
        let _ = tell.send(OperationResult::Unknown { why: "this controller went down".into() });
    }
    // The connections write from tasks of this thread: let them.
    for _ in 0..64 {
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Waits until the core asked to be woken; for ever if it did not ask.
async fn asked_wake(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn taken(
    io: &mut Io,
    core: &ControllerState,
    p: &Params,
    clock: &Clock,
    input: Input,
) -> Option<Event> {
    match input {
        Input::Controller(event) => Some(event),
        Input::Operate { request, expect, deed, tell } => {
            let op = io.next_op;
            io.next_op += 1;
            io.tells.insert(op, tell);
            Some(Event::Operate { op, request, expect, deed })
        }
        Input::Own(tell) => {
            let _ = tell.send(crate::metrics::own(core, &p.zone, clock.now()));
            None
        }
        Input::Metrics(tell) => {
            let _ = tell.send(crate::metrics::text(core));
            None
        }
    }
}

/// As whom we dial.
fn who(core: &ControllerState) -> PeerIdentity {
    let holder = core.seating.roll.me;
    match core.slot {
        NOBODY => PeerIdentity::Spare { holder },
        seat => PeerIdentity::Voter { slot: seat, holder },
    }
}

/// Sees to the ways now and then: a seed that never spoke is given up, or all
/// seeds are tried again.
fn look(io: &mut Io, core: &ControllerState) {
    io.looked += 1;
    if io.looked.is_multiple_of(LOOK_WAKES) {
        io.ways.arrange(who(core), &core.seating.roll.table);
    }
}

fn heard(io: &mut Io, event: ConnectionEvent<SocketAddr>) -> Option<Event> {
    match event {
        ConnectionEvent::Received { tag, message } => {
            io.ways.note_message(tag, &message);
            Some(Event::FromController { message })
        }
        ConnectionEvent::Accepted { connection, identity: who, sender: out } => {
            debug!(connection, ?who, "wire opened");
            io.connections.insert(connection, out);
            Some(Event::ConnectionOpened { connection })
        }
        ConnectionEvent::ReceivedFromAccepted { connection, identity: who, message } => {
            Some(match who {
                PeerIdentity::Voter { slot: seat, holder } => {
                    io.ways.note_contact();
                    Event::FromVoter { slot: seat, holder, connection, message }
                }
                PeerIdentity::Member(_) | PeerIdentity::Spare { .. } => {
                    Event::FromConnection { connection, message }
                }
            })
        }
        ConnectionEvent::Closed { connection } => {
            io.connections.remove(&connection);
            Some(Event::ConnectionClosed { connection })
        }
        ConnectionEvent::Failed { error } => {
            warn!("{error}");
            None
        }
    }
}

fn carry_out(io: &mut Io, core: &ControllerState, todo: Vec<Command>) {
    let table = &core.seating.roll.table;
    for command in todo {
        match command {
            Command::ToVoter { slot: seat, message } => {
                io.ways.send_to_voter(table, seat, &message);
            }
            Command::Broadcast { message } => io.ways.broadcast(&message),
            Command::VoterSetChanged => io.ways.arrange(who(core), table),
            Command::WriteVoterFile { token, roll, clear } => {
                let _ = io.disk.send(Job::Keep { token, roll, clear });
            }
            Command::ToConnection { connection, message } => {
                if let Some(out) = io.connections.get(&connection) {
                    out.send(&message);
                }
            }
            Command::AppendRecord { partition: part, token, rec } => {
                let _ = io.disk.send(Job::Append { part, token, rec });
            }
            Command::WriteSnapshot { partition: part, token, copy } => {
                let _ = io.disk.send(Job::Slot { part, token, copy });
            }
            Command::Scrub { partition: part } => {
                let _ = io.disk.send(Job::Look { part });
            }
            Command::Respond { op, done } => {
                if let Some(tell) = io.tells.remove(&op) {
                    let _ = tell.send(done);
                }
            }
            Command::OwnResponse { .. } => {}
            Command::WakeAfter { span } => {
                let at = tokio::time::Instant::now() + duration(span);
                io.wake_at = Some(io.wake_at.map_or(at, |old| old.min(at)));
            }
            Command::Alarm(text) => warn!("{text}"),
        }
    }
}
