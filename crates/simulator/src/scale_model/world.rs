//! The world of a hollow fleet: virtual time, nodes, and what passes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use grebepath_core::consts;
use grebepath_core::control_plane::controller as st;
use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::control_plane::step as cstep;
use grebepath_core::identifiers::{PartitionId, VoterSlot, partitions};
use grebepath_core::membership::node_agent as wat;
use grebepath_core::membership::node_agent::Watch;
use grebepath_core::membership::step as qstep;
use grebepath_core::protocol::message::{Member, OperationResult, ReplicaCondition};
use grebepath_core::random::{Random, below, luck};
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::storage::voter_file;
use grebepath_core::storage::voter_file::Start;
use grebepath_core::time::{BOOT, MILLI, Span, Tick, ms};

use crate::scale_model::cost::{Cell, Meter, Ways};
use crate::scale_model::plan;
use crate::scale_model::plan::Size;
use crate::simulated_disk;
use crate::simulated_disk::Disk;

/// What happens, and to whom. A life ends with its process.
pub enum ScheduledEvent {
    SeatWake { s: usize, life: u64 },
    SeatGets { s: usize, life: u64, from: From, raw: Raw },
    SeatTakes { s: usize, life: u64, event: Box<st::Event> },
    Disk { s: usize, life: u64, part: PartitionId, token: u64 },
    Kept { s: usize, life: u64, token: u64 },
    FrontWake { f: usize, life: u64 },
    FrontGets { f: usize, life: u64, from: From, raw: Raw },
    FrontTakes { f: usize, life: u64, event: Box<wat::Event> },
    List { f: usize, life: u64 },
    StartFront { f: usize },
    StartSeat { s: usize },
}

/// A message's pieces on their way; large ones are shared by all who get them.
pub type Raw = Rc<Vec<Vec<u8>>>;

/// Who sent a message.
#[derive(Clone, Copy)]
pub enum From {
    VoterSlot(VoterSlot),
    /// A seat, on a connection that was opened to it.
    Answer,
    /// A front, and in which of its lives.
    Front(usize, u64),
}

/// A controller.
pub struct ControllerNode {
    pub core: ControllerState,
    pub disk: Disk,
    pub up: bool,
    pub life: u64,
    pub began: Tick,
    pub meter: Meter,
    /// The last large message that was written: many get the same.
    pub last: Option<Raw>,
}

/// A querier without traffic threads.
pub struct Front {
    pub me: Member,
    pub zone: usize,
    pub watch: Watch,
    pub up: bool,
    pub life: u64,
    pub began: Tick,
    pub ready: bool,
    pub polling: bool,
    pub meter: Meter,
}

/// The world.
pub struct World {
    pub now: Tick,
    pub size: Size,
    haps: BTreeMap<(Tick, u64), ScheduledEvent>,
    next: u64,
    pub luck: Random,
    pub seats: Vec<ControllerNode>,
    pub fronts: Vec<Front>,
    pub by_name: HashMap<String, usize>,
    pub leafs: Vec<LeafInfo>,
    /// The platform's list as it is served.
    pub list: Rc<String>,
    pub ways: Ways,
    /// Polls of the list and probes of leafs, which are not our messages.
    pub polls: Cell,
    pub probes: u64,
    /// Outcomes of operators' requests, with their times.
    pub done: BTreeMap<u64, (Tick, OperationResult)>,
    pub alarms: BTreeMap<String, u64>,
    last: HashMap<(usize, usize), Tick>,
    /// Wires that each controller has seen opened, by its life.
    pub opened: HashSet<(usize, u64, u64)>,
}

/// Fronts that start together come within this time, as machines do.
const SPREAD: Span = ms(1_000);
/// The world's beginning.
const BEGIN: Tick = ms(1_000);

/// A fleet that is just being started.
pub fn world(size: Size, seed: u64) -> World {
    let mut w = World {
        now: BEGIN,
        size,
        haps: BTreeMap::new(),
        next: 0,
        luck: luck(seed),
        seats: Vec::new(),
        fronts: Vec::new(),
        by_name: HashMap::new(),
        leafs: (0..size.leafs).map(|n| plan::leaf(n, size.leafs)).collect(),
        list: Rc::default(),
        ways: Ways::new(),
        polls: Cell::default(),
        probes: 0,
        done: BTreeMap::new(),
        alarms: BTreeMap::new(),
        last: HashMap::new(),
        opened: HashSet::new(),
    };
    w.list = Rc::new(plan::list(&w.leafs));
    for s in 0..consts::SEATS as usize {
        w.seats.push(ControllerNode {
            core: ControllerState::new(Default::default(), ("", ""), Vec::new(), 0, BOOT),
            disk: simulated_disk::disk(partitions().count()),
            up: false,
            life: 0,
            began: 0,
            meter: Meter::default(),
            last: None,
        });
        start_seat(&mut w, s);
    }
    for f in 0..size.members {
        add_front(&mut w);
        let after = below(&mut w.luck, SPREAD);
        push(&mut w, after, ScheduledEvent::StartFront { f });
    }
    w
}

/// A machine for one more front, which is down.
pub fn add_front(w: &mut World) -> usize {
    let f = w.fronts.len();
    let zone = plan::zone(f);
    let name = format!("front-{}-{f:04}", plan::name(zone));
    let addr = format!("10.200.{}.{}:9000", f >> 8, f & 255);
    let me = Member {
        name: name.clone(),
        addr,
        zone: plan::name(zone),
        threads: 1,
        joined: 0,
        incarnation: 0,
    };
    w.by_name.insert(name, f);
    let watch = wat::watch(me.clone(), BOOT);
    let meter = Meter::default();
    let node = Front {
        me,
        zone,
        watch,
        up: false,
        life: 0,
        began: 0,
        ready: false,
        polling: false,
        meter,
    };
    w.fronts.push(node);
    f
}

/// Starts a front, which knows nothing.
pub fn start_front(w: &mut World, f: usize) {
    let n = &mut w.fronts[f];
    n.life += 1;
    (n.up, n.ready, n.polling, n.began) = (true, false, false, w.now);
    n.me.incarnation = n.life;
    n.watch = wat::watch(n.me.clone(), BOOT);
    let life = n.life;
    let after = below(&mut w.luck, qstep::WAKE);
    push(w, after, ScheduledEvent::FrontWake { f, life });
}

/// Ends a front at once.
pub fn kill_front(w: &mut World, f: usize) {
    let life = w.fronts[f].life;
    let n = &mut w.fronts[f];
    (n.up, n.ready) = (false, false);
    n.watch = wat::watch(n.me.clone(), BOOT);
    for s in 0..w.seats.len() {
        let event = Box::new(st::Event::ConnectionClosed { connection: connection(f, life) });
        let life = w.seats[s].life;
        push(w, ms(2), ScheduledEvent::SeatTakes { s, life, event });
    }
}

/// Starts a controller on its disk.
pub fn start_seat(w: &mut World, s: usize) {
    let seed = grebepath_core::random::draw(&mut w.luck);
    let start = Start {
        slot: Some(s as VoterSlot),
        first: w.now == BEGIN,
        seeds: (0..consts::SEATS as usize).map(plan::seat_addr).collect(),
        size: consts::SEATS as usize,
        addr: plan::seat_addr(s),
    };
    let disk = &mut w.seats[s].disk;
    let bare = simulated_disk::bare(disk);
    let (roll, clear) = voter_file::begin(simulated_disk::roll(disk), &start, bare, seed);
    simulated_disk::put_roll(disk, &roll, clear);
    let found = simulated_disk::start(disk);
    let list = found
        .into_iter()
        .map(|(part, found)| match found {
            grebepath_core::storage::reader::Found::Good { copy, .. } => {
                (part, ReplicaCondition::Voting, copy, 0)
            }
            _ => (
                part,
                ReplicaCondition::Empty,
                grebepath_core::storage::record::ReplicaState::default(),
                0,
            ),
        })
        .collect();
    let n = &mut w.seats[s];
    n.life += 1;
    (n.up, n.began) = (true, w.now);
    let zone = plan::name(plan::seat_zone(s as VoterSlot));
    n.core = ControllerState::new(roll, (&start.addr, &zone), list, seed, BOOT);
    let life = n.life;
    push(w, below_wake(seed), ScheduledEvent::SeatWake { s, life });
}

fn below_wake(seed: u64) -> Span {
    seed % cstep::WAKE
}

/// Ends a controller at once; its system writes what it was given.
pub fn kill_seat(w: &mut World, s: usize) {
    let n = &mut w.seats[s];
    n.up = false;
    for (part, token) in simulated_disk::waiting(&n.disk) {
        simulated_disk::done(&mut n.disk, part, token);
    }
    for token in simulated_disk::rolls(&n.disk) {
        simulated_disk::kept(&mut n.disk, token);
    }
}

/// A front's connection to a seat, in one of its lives.
pub fn connection(f: usize, life: u64) -> u64 {
    ((f as u64) << 32) | life
}

/// The connection that a seat opens to others, in one of its lives.
pub fn seat_wire(s: usize, life: u64) -> u64 {
    1 << 63 | (s as u64) << 32 | life
}

/// Lets something happen after a while.
pub fn push(w: &mut World, after: Span, hap: ScheduledEvent) {
    let at = w.now + after;
    push_at(w, at, hap);
}

/// Lets something happen at a time.
pub fn push_at(w: &mut World, at: Tick, hap: ScheduledEvent) {
    w.next += 1;
    w.haps.insert((at, w.next), hap);
}

/// When a message sent now arrives: those of one connection keep their order.
pub fn arrival(w: &mut World, from: (usize, usize), to: (usize, usize)) -> Tick {
    let at = w.now + plan::way(from.1, to.1, &mut w.luck);
    let last = w.last.entry((from.0, to.0)).or_insert(0);
    *last = at.max(*last + 1);
    *last
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
        crate::scale_model::does::happen(w, hap);
    }
    w.now = end;
}

/// Lets time pass until `done`, at most `span`; the time it took.
pub fn until(w: &mut World, span: Span, done: impl Fn(&World) -> bool) -> Option<Span> {
    let begin = w.now;
    while w.now < begin + span {
        if done(w) {
            return Some(w.now - begin);
        }
        run(w, 10 * MILLI);
    }
    done(w).then_some(w.now - begin)
}

/// The revision of a part that the seats show.
pub fn top(w: &World, part: usize) -> u64 {
    w.seats
        .iter()
        .filter(|s| s.up)
        .map(|s| s.core.partitions[part].committed_revision)
        .max()
        .unwrap_or(0)
}

/// Whether every front that is up obeys the newest configuration, knows every
/// leaf, is ready, and has its settled place in the same membership, and every
/// controller shows as much. Ages of leafs may still be under way.
pub fn whole(w: &World) -> bool {
    let up = w.fronts.iter().filter(|f| f.up);
    let (revision, count) = (top(w, 0), up.clone().count());
    let shows = |s: &ControllerNode| {
        let leafs: usize = s.core.partitions[1..].iter().map(|p| p.committed.len()).sum();
        s.up && s.core.partitions[0].committed_revision == revision && leafs == w.leafs.len()
    };
    let whole = |f: &Front| {
        let c = &f.watch.membership;
        let view = f.watch.view.as_ref();
        f.ready
            && c.settled == c.turn
            && c.members.len() == count
            && view.is_some_and(|v| v.revision == revision && v.leafs.len() == w.leafs.len())
    };
    revision > 0 && w.seats.iter().all(shows) && up.clone().all(whole)
}
