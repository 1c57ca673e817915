//! The world: nodes, virtual time, and what passes between them.

use std::collections::{BTreeMap, BTreeSet};

use grebepath_core::config::{change, types::Config};
use grebepath_core::consts;
use grebepath_core::control_plane::controller as st;
use grebepath_core::control_plane::controller::{ControllerState, Event as CoreEvent};
use grebepath_core::control_plane::step as cstep;
use grebepath_core::digest::digest;
use grebepath_core::http_api::leaf::{AttemptFailure, LeafReply, MISDIRECTED, ReplyHeaders};
use grebepath_core::http_api::{caller, list};
use grebepath_core::identifiers::{PartitionId, VoterSlot, partitions};
use grebepath_core::membership::node_agent as wat;
use grebepath_core::membership::node_agent::Watch;
use grebepath_core::membership::step as qstep;
use grebepath_core::protocol::message::{
    LeafReport, Member, Message, Operation, OperationResult, ReplicaCondition,
};
use grebepath_core::query::engine::{QueryEngine, ServingState};
use grebepath_core::query::event;
use grebepath_core::query::event::OutgoingAttempt;
use grebepath_core::query::request::Outcome;
use grebepath_core::random::{Random, below, draw, luck};
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::storage::reader::Found;
use grebepath_core::storage::record::ReplicaState;
use grebepath_core::storage::voter_file;
use grebepath_core::storage::voter_file::Start;
use grebepath_core::time::{BOOT, MILLI, SECOND, Span, Tick, ms};
use grebepath_core::voter_set::seat_of;
use serde_json::{Value, json};

use crate::check::{Asked, success};
use crate::mock_backends;
use crate::mock_backends::{Alive, MockBackends, ZONES};
use crate::net::{Net, Node, latency, send, weigh};
use crate::rules::{self, Rules};
use crate::simulated_disk;
use crate::simulated_disk::{Disk, Health, Job};
use crate::spec::{Kind, Spec};

mod callers;
mod deviations;
mod leafs;
mod operators;
mod queriers;
mod seats;

use callers::*;
pub use deviations::{Deviation, Deviations, FAULTS, Fault};
pub use leafs::*;
pub use operators::*;
pub use queriers::*;
pub use seats::*;

/// A part of the fleet that is broken on purpose, to see a checker catch it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Broken {
    /// Answers claim all planned shards.
    ClaimAll,
    /// Answers name a shard twice.
    ClaimTwice,
    /// Answers name another cut.
    MixCut,
    /// The first two records change places.
    Disorder,
    /// Dispatches carry another question, well signed.
    ChangeQuestion,
    /// Queriers never hear that a leaf leaves.
    IgnoreLeaving,
    /// Queriers never hear that a zone is emptied.
    IgnoreDrain,
    /// The threads of one querier keep their first view.
    StaleView,
    /// Restarted queriers begin with what they are first told.
    SlipBack,
    /// Every thread takes all of the retry rule's credit it likes.
    NoRule,
    /// Every thread takes the whole of every leaf's allowance.
    NoShare,
    /// Disks say yes before anything lasts.
    EarlyYes,
    /// Answers below quorum are sent as successes.
    BelowQuorum,
    /// Dispatches go out on new connections without asking who is there.
    NoGreeting,
    /// Members keep what leafs tell them to themselves and the core.
    NoWords,
    /// Seats never look at their files again.
    NoLook,
    /// A lost disk's seat votes at once, as if it had never held anything.
    Amnesia,
    /// Seats count by a table of the seats of their own, whoever speaks under
    /// whichever other.
    OwnTables,
    /// A controller that is asked to stop ends before its successor holds the data.
    LeaveAtOnce,
}

/// What happens, and to whom.
enum ScheduledEvent {
    SeatWake {
        s: usize,
        life: u64,
    },
    ToSeat {
        s: usize,
        life: u64,
        event: CoreEvent,
    },
    Disk {
        s: usize,
        life: u64,
        part: PartitionId,
        token: u64,
    },
    Kept {
        s: usize,
        life: u64,
        token: u64,
    },
    QWake {
        q: usize,
        life: u64,
    },
    ToWatch {
        q: usize,
        life: u64,
        event: wat::Event,
    },
    /// A controller that says it is `holder` speaks to a querier.
    FromSeat {
        q: usize,
        life: u64,
        holder: u64,
        message: Message,
    },
    ToDesk {
        q: usize,
        life: u64,
        t: usize,
        event: event::Event,
    },
    DeskWake {
        q: usize,
        life: u64,
        t: usize,
        at: Tick,
    },
    LeafGets {
        q: usize,
        life: u64,
        t: usize,
        sending: Box<OutgoingAttempt>,
    },
    LeafDone {
        run: u64,
    },
    LeafDrop {
        key: RunKey,
    },
    Probe {
        q: usize,
        life: u64,
        info: std::sync::Arc<LeafInfo>,
    },
    ListAsked {
        q: usize,
        life: u64,
    },
    Call {
        kind: usize,
    },
    Arrive {
        call: u64,
    },
    CallDue {
        call: u64,
    },
    Platform,
    Operate {
        order: usize,
    },
    Trouble {
        at: usize,
    },
    Due {
        key: DueKey,
    },
}

type RunKey = (usize, u64, usize, u64);

/// Later steps of troubles: restarts that follow a kill.
#[derive(Clone, Copy)]
pub enum DueKey {
    StartSeat(usize),
    /// A fault ends a controller's process.
    Fault {
        controller: usize,
        fault: Fault,
    },
    /// A controller that was asked to stop is ended by force.
    ForceStop {
        controller: usize,
        life: u64,
    },
    StartQuerier(usize),
    /// A querier that is asked to stop ends once nothing is in hand.
    EndQuerier(usize, u64),
    Storm {
        left: u64,
        gap: Span,
    },
    /// An operator's change that shows whether the core is back.
    Proof {
        restart: usize,
    },
}

/// A controller's machine.
pub struct ControllerNode {
    pub zone: String,
    pub life: u64,
    pub up: bool,
    pub core: ControllerState,
    pub began: Tick,
    pub disk: Disk,
    pub paused: Tick,
    /// It was asked to stop.
    pub stopping: Option<Stopping>,
}

/// What follows when a controller that was asked to stop has ended.
pub struct Stopping {
    /// When it starts again; never if it was removed.
    pub restart: Option<Span>,
}

/// A querier's machine.
pub struct QuerierNode {
    pub name: String,
    pub zone: String,
    pub life: u64,
    pub up: bool,
    pub watch: Watch,
    pub desks: Vec<QueryEngine>,
    wakes: Vec<Tick>,
    pub began: Tick,
    pub ready: bool,
    pub paused: Tick,
    polling: bool,
}

/// A dispatch that a leaf works on.
struct Run {
    key: RunKey,
    leaf: String,
    sending: OutgoingAttempt,
}

/// A call on its way.
struct Call {
    kind: usize,
    asked: Asked,
    q: usize,
    life: u64,
    began: Tick,
}

/// An operator's request on its way.
pub struct Order {
    /// Its request id, if another order had it before: it is sent again.
    pub request: Option<String>,
    pub deed: Operation,
    pub at: Tick,
    pub seat: Option<usize>,
    pub done: Option<OperationResult>,
    /// Zone that it empties or fills.
    pub zone: Option<(String, bool)>,
    /// An object that only this order sets, to look for at the end.
    pub mark: Option<String>,
    /// The revision that the operator read before.
    pub expect: Option<u64>,
}

/// What calls of a kind came to.
#[derive(Default, Clone)]
pub struct Tally {
    pub full: u64,
    pub partial: u64,
    pub bounced: BTreeMap<String, u64>,
    pub unreachable: u64,
    pub late: u64,
    pub waits: Vec<u64>,
}

/// The world.
pub struct World {
    pub now: Tick,
    haps: BTreeMap<(Tick, u64), ScheduledEvent>,
    next: u64,
    pub luck: Random,
    pub net: Net,
    /// The controllers' machines, with a seat or without.
    pub seats: Vec<ControllerNode>,
    pub core: Cores,
    /// Wires on which something came: (seat's machine, its life, connection).
    opened: BTreeSet<(usize, u64, u64)>,
    pub queriers: Vec<QuerierNode>,
    pub backs: MockBackends,
    pub kinds: Vec<Kind>,
    pub factor: f64,
    platform: Vec<usize>,
    runs: BTreeMap<u64, Run>,
    by_key: BTreeMap<RunKey, u64>,
    /// Who was found at the other end of each connection to a leaf.
    connections: BTreeMap<(usize, u64, usize, String), String>,
    calls: BTreeMap<u64, Call>,
    pub orders: Vec<Order>,
    pub rules: Rules,
    pub tally: BTreeMap<String, Tally>,
    pub broken: Option<Broken>,
    /// Set from a scenario: run when their time comes.
    pub troubles: Vec<crate::scenario::Trouble>,
    /// No more calls from here on.
    pub calls_end: Tick,
    /// Callers call any querier that runs, ready or not.
    pub any_querier: bool,
    /// When the outcome of each order was told.
    pub told_at: BTreeMap<usize, Tick>,
    pub alarms: BTreeMap<String, u64>,
    /// Seats whose disks were lost, for the report.
    pub lost_disks: u64,
    pub events: u64,
    /// Faults at numbered events of the controllers.
    pub deviations: Deviations,
}

/// How the core is set up.
#[derive(Clone, Debug)]
pub struct Cores {
    pub seats: usize,
    /// Machines that begin; those beyond `seats` are spares.
    pub machines: usize,
    /// Controllers are told their seats; else they find them.
    pub told: bool,
    /// The machines that a start is told of.
    pub seeds: Vec<usize>,
}

/// The core of most scenarios: three machines that know their seats.
pub fn three() -> Cores {
    Cores { seats: 3, machines: 3, told: true, seeds: vec![0, 1, 2] }
}

/// Where a controller's machine is reached.
pub fn address(s: usize) -> String {
    format!("127.1.0.{}:8000", s + 1)
}

/// The machine at an address.
fn machine(w: &World, addr: &str) -> Option<usize> {
    (0..w.seats.len()).find(|s| address(*s) == addr)
}

/// Threads of each querier.
pub const THREADS: u32 = 1;
/// The world begins here, so that ages of warm leafs fit below.
const BEGIN: Tick = ms(4_000_000);

/// A fleet that is just being started.
pub fn world(spec: &Spec, core: Cores, queriers: usize, seed: u64) -> World {
    let mut w = World {
        now: BEGIN,
        haps: BTreeMap::new(),
        next: 0,
        luck: luck(seed),
        net: Net::default(),
        seats: Vec::new(),
        core,
        opened: BTreeSet::new(),
        queriers: Vec::new(),
        backs: mock_backends::backs(spec, BEGIN),
        kinds: spec.kinds.clone(),
        factor: 1.0,
        platform: Vec::new(),
        runs: BTreeMap::new(),
        by_key: BTreeMap::new(),
        connections: BTreeMap::new(),
        calls: BTreeMap::new(),
        orders: Vec::new(),
        rules: Rules::default(),
        tally: BTreeMap::new(),
        broken: None,
        troubles: Vec::new(),
        calls_end: Tick::MAX,
        any_querier: false,
        told_at: BTreeMap::new(),
        alarms: BTreeMap::new(),
        lost_disks: 0,
        deviations: Deviations::default(),
        events: 0,
    };
    for _ in 0..w.core.machines {
        add_seat(&mut w, None);
    }
    for q in 0..queriers {
        let zone = ZONES[q % ZONES.len()].to_string();
        let name = format!("q{q}");
        let watch = wat::watch(member(&name, &zone, q, 0), 1);
        w.queriers.push(QuerierNode {
            name,
            zone,
            life: 0,
            up: false,
            watch,
            desks: Vec::new(),
            wakes: Vec::new(),
            began: 0,
            ready: false,
            paused: 0,
            polling: false,
        });
        start_querier(&mut w, q);
    }
    push(&mut w, ms(500), ScheduledEvent::Platform);
    w
}

fn member(name: &str, zone: &str, q: usize, incarnation: u64) -> Member {
    let addr = format!("127.2.0.{}:9000", q + 1);
    Member { name: name.into(), addr, zone: zone.into(), threads: THREADS, joined: 0, incarnation }
}

/// Time since the world began.
pub fn age(w: &World) -> Tick {
    w.now - BEGIN
}

fn push(w: &mut World, after: Span, hap: ScheduledEvent) {
    push_at(w, w.now + after, hap);
}

fn push_at(w: &mut World, at: Tick, hap: ScheduledEvent) {
    w.next += 1;
    w.haps.insert((at, w.next), hap);
}

/// Begins the callers' load, at the spec's rates times `factor`.
pub fn begin_calls(w: &mut World, factor: f64) {
    w.factor = factor;
    for kind in 0..w.kinds.len() {
        let gap = gap(w, kind);
        push(w, gap, ScheduledEvent::Call { kind });
    }
}

fn gap(w: &mut World, kind: usize) -> Span {
    // Between half and one and a half of the mean: uneven, but not wild.
    let mean = 1e6 / (w.kinds[kind].per_s * w.factor).max(0.001);
    (mean * (0.5 + below(&mut w.luck, 1000) as f64 / 1000.0)) as Span
}

/// Plans the troubles of a scenario.
pub fn plan(w: &mut World, troubles: Vec<crate::scenario::Trouble>) {
    w.troubles = troubles;
    for at in 0..w.troubles.len() {
        let after = ms(w.troubles[at].at_ms);
        push(w, after, ScheduledEvent::Trouble { at });
    }
}

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

fn happen(w: &mut World, hap: ScheduledEvent) {
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
            step_desk(w, q, t, event::Event::Timer);
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

fn alive(w: &World, s: usize, life: u64) -> bool {
    w.seats[s].up && w.seats[s].life == life
}

fn live(w: &World, q: usize, life: u64) -> bool {
    w.queriers[q].up && w.queriers[q].life == life
}

fn due(w: &mut World, key: DueKey) {
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

/// Lets something follow after a while.
pub fn later(w: &mut World, after: Span, key: DueKey) {
    push(w, after, ScheduledEvent::Due { key });
}

/// Whether this machine's controller has a seat.
pub fn seated(n: &ControllerNode) -> bool {
    n.core.slot != grebepath_core::voter_set::NOBODY
}

/// The machines that are up and have a seat.
pub fn seated_up(w: &World) -> impl Iterator<Item = &ControllerNode> {
    w.seats.iter().filter(|s| s.up && seated(s))
}

/// Whether every seat is held by one living machine that has formed all parts,
/// and no machine thinks it has another's.
pub fn seats_whole(w: &World) -> bool {
    let Some(best) = seated_up(w).max_by_key(|n| {
        let list = &n.core.seating.roll.table.slots;
        list.iter().map(|h| u64::from(h.generation)).sum::<u64>()
    }) else {
        return false;
    };
    let table = &best.core.seating.roll.table;
    let whole =
        |n: &ControllerNode| n.core.partitions.iter().all(|p| p.life == ReplicaCondition::Voting);
    table.slots.iter().enumerate().all(|(k, h)| {
        let held: Vec<_> =
            seated_up(w).filter(|n| usize::from(n.core.slot) == k && whole(n)).collect();
        held.len() == 1 && held[0].core.seating.roll.me == h.holder
    })
}

/// Whether all seats that are up show the same configuration and all
/// queriers that are up obey it.
pub fn settled(w: &World) -> bool {
    let top = seated_up(w).map(|s| s.core.partitions[0].committed_revision).max();
    let Some(top) = top else { return false };
    seated_up(w).all(|s| s.core.partitions[0].committed_revision == top)
        && w.queriers
            .iter()
            .filter(|q| q.up)
            .all(|q| q.ready && q.watch.view.as_ref().is_some_and(|v| v.revision == top))
}

/// Time since the world began, before the fleet had come up.
pub fn since_begin(w: &World) -> Span {
    w.now - BEGIN
}
