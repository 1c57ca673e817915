//! The control thread: turns I/O into events for `step` and its commands
//! into I/O.

use std::collections::HashMap;
use std::sync::mpsc;

use grebe::state::core::{Command, Core, Event, core};
use grebe::state::step::{WAKE, step};
use grebe::wire::msg::{Deed, Done, Who};
use runtime::clock::{Clock, duration, now};
use runtime::wire::{Out, WireEvent, accept, dial, send};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tracing::{debug, warn};

use crate::FoundPart;
use crate::disk::Job;
use crate::params::Params;

/// What reaches the control thread.
pub enum Input {
    Core(Event),
    /// An operator's request.
    Operate {
        request: String,
        expect: Option<u64>,
        deed: Deed,
        tell: oneshot::Sender<Done>,
    },
    /// What this seat knows itself, as JSON.
    Own(oneshot::Sender<serde_json::Value>),
    Metrics(oneshot::Sender<String>),
}

/// Everything the control thread holds beside the core.
struct Io {
    seats: Vec<Option<Out>>,
    wires: HashMap<u64, Out>,
    disk: mpsc::Sender<Job>,
    tells: HashMap<u64, oneshot::Sender<Done>>,
    next_op: u64,
}

/// Serves until asked to stop.
#[allow(clippy::too_many_arguments)]
pub async fn serve(
    p: Params,
    clock: Clock,
    found: Vec<FoundPart>,
    sick: Vec<(grebe::names::PartId, String)>,
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
    let mut core = core(p.seat, found, runtime::clock::nonce(), now(&clock));
    let seats = p
        .seeds
        .iter()
        .enumerate()
        .map(|(i, addr)| {
            let other = i != usize::from(p.seat);
            other.then(|| dial(*addr, (Who::Seat(p.seat), fleet), i as u8, wire_tx.clone()))
        })
        .collect();
    let mut io = Io { seats, wires: HashMap::new(), disk, tells: HashMap::new(), next_op: 1 };
    for (part, why) in sick {
        let todo = step(&mut core, now(&clock), Event::DiskTrouble { part, why });
        carry_out(&mut io, todo);
    }
    // Nothing of a controller's params can change while it runs.
    let mut files = runtime::reload::watch(None);
    let mut wake = tokio::time::interval(duration(WAKE));
    wake.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let stop = runtime::stop::asked();
    tokio::pin!(stop);
    loop {
        let event = tokio::select! {
            biased;
            _ = &mut stop => break,
            _ = runtime::reload::changed(&mut files) => None,
            _ = wake.tick() => Some(Event::Wake),
            Some(input) = rx.recv() => taken(&mut io, &core, &p, &clock, input),
            Some(event) = wire_rx.recv() => heard(&mut io, event),
        };
        if let Some(event) = event {
            let todo = step(&mut core, now(&clock), event);
            carry_out(&mut io, todo);
        }
    }
    // Whoever waits here is told, and the others may claim our parts at once.
    let todo = step(&mut core, now(&clock), Event::Stop);
    carry_out(&mut io, todo);
    for (_, tell) in io.tells.drain() {
        let _ = tell.send(Done::Unknown { why: "this controller went down".into() });
    }
    // The wires write from tasks of this thread: let them.
    for _ in 0..64 {
        tokio::task::yield_now().await;
    }
    Ok(())
}

fn taken(io: &mut Io, core: &Core, p: &Params, clock: &Clock, input: Input) -> Option<Event> {
    match input {
        Input::Core(event) => Some(event),
        Input::Operate { request, expect, deed, tell } => {
            let op = io.next_op;
            io.next_op += 1;
            io.tells.insert(op, tell);
            Some(Event::Operate { op, request, expect, deed })
        }
        Input::Own(tell) => {
            let _ = tell.send(crate::metrics::own(core, &p.zone, now(clock)));
            None
        }
        Input::Metrics(tell) => {
            let _ = tell.send(crate::metrics::text(core));
            None
        }
    }
}

fn heard(io: &mut Io, event: WireEvent<u8>) -> Option<Event> {
    match event {
        // Seats answer on the wires that they dial themselves.
        WireEvent::Dialled { .. } => None,
        WireEvent::Opened { wire, who, out } => {
            debug!(wire, ?who, "wire opened");
            if matches!(who, Who::Member(_)) {
                io.wires.insert(wire, out);
            }
            None
        }
        WireEvent::Came { wire, who, msg } => Some(match who {
            Who::Seat(seat) => Event::FromSeat { seat, msg },
            Who::Member(_) => Event::FromWire { wire, msg },
        }),
        WireEvent::Closed { wire } => {
            io.wires.remove(&wire);
            Some(Event::WireGone { wire })
        }
        WireEvent::Trouble { text } => {
            warn!("{text}");
            None
        }
    }
}

fn carry_out(io: &mut Io, todo: Vec<Command>) {
    for command in todo {
        match command {
            Command::ToSeat { seat, msg } => {
                if let Some(Some(out)) = io.seats.get(usize::from(seat)) {
                    send(out, &msg);
                }
            }
            Command::ToWire { wire, msg } => {
                if let Some(out) = io.wires.get(&wire) {
                    send(out, &msg);
                }
            }
            Command::Append { part, token, rec } => {
                let _ = io.disk.send(Job::Append { part, token, rec });
            }
            Command::Slot { part, token, copy } => {
                let _ = io.disk.send(Job::Slot { part, token, copy });
            }
            Command::Look { part } => {
                let _ = io.disk.send(Job::Look { part });
            }
            Command::Tell { op, done } => {
                if let Some(tell) = io.tells.remove(&op) {
                    let _ = tell.send(done);
                }
            }
            Command::Alarm(text) => warn!("{text}"),
        }
    }
}
