//! The world of a hollow fleet: virtual time, nodes, and what passes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use grebepath_core::consts;
use grebepath_core::control_plane::controller as st;
use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::control_plane::step as cstep;
use grebepath_core::identifiers::{PartitionId, VoterSlot, partitions};
use grebepath_core::membership::node_agent as wat;
use grebepath_core::membership::node_agent::NodeAgent;
use grebepath_core::membership::step as qstep;
use grebepath_core::protocol::message::{Member, OperationResult, ReplicaCondition};
use grebepath_core::random::Random;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::storage::voter_file;
use grebepath_core::storage::voter_file::Start;
use grebepath_core::time::{BOOT, MILLI, Span, Tick, ms};

use crate::scale_model::cost::{Cell, Meter, Traffic};
use crate::scale_model::plan;
use crate::scale_model::plan::Size;
use crate::simulated_disk::Disk;

/// What happens, and to whom. A life ends with its process.
pub enum ScheduledEvent {
    ControllerTimer { controller: usize, life: u64 },
    ControllerMessage { controller: usize, life: u64, from: Sender, raw: Raw },
    ControllerEvent { controller: usize, life: u64, event: Box<st::Event> },
    DiskJobDone { controller: usize, life: u64, part: PartitionId, token: u64 },
    VoterFileDone { controller: usize, life: u64, token: u64 },
    QuerierTimer { querier: usize, life: u64 },
    QuerierMessage { querier: usize, life: u64, from: Sender, raw: Raw },
    QuerierEvent { querier: usize, life: u64, event: Box<wat::Event> },
    ListResponse { querier: usize, life: u64 },
    StartQuerier { querier: usize },
    StartController { controller: usize },
}

/// A message's pieces on their way; large ones are shared by all who get them.
pub type Raw = Rc<Vec<Vec<u8>>>;

/// Who sent a message.
#[derive(Clone, Copy)]
pub enum Sender {
    VoterSlot(VoterSlot),
    /// A seat, on a connection that was opened to it.
    ConnectedController,
    /// A front, and in which of its lives.
    Querier(usize, u64),
}

/// A controller.
pub struct ControllerNode {
    pub state: ControllerState,
    pub disk: Disk,
    pub up: bool,
    pub life: u64,
    pub began: Tick,
    pub meter: Meter,
    /// The last large message that was written: many get the same.
    pub last: Option<Raw>,
}

/// A querier without traffic threads.
pub struct QuerierNode {
    pub me: Member,
    pub zone: usize,
    pub watch: NodeAgent,
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
    queue: BTreeMap<(Tick, u64), ScheduledEvent>,
    next: u64,
    pub random: Random,
    pub controllers: Vec<ControllerNode>,
    pub queriers: Vec<QuerierNode>,
    pub by_name: HashMap<String, usize>,
    pub leafs: Vec<LeafInfo>,
    /// The platform's list as it is served.
    pub list: Rc<String>,
    pub traffic: Traffic,
    /// Polls of the list and probes of leafs, which are not our messages.
    pub list_polls: Cell,
    pub probes: u64,
    /// Outcomes of operators' requests, with their times.
    pub results: BTreeMap<u64, (Tick, OperationResult)>,
    pub alarms: BTreeMap<String, u64>,
    last: HashMap<(usize, usize), Tick>,
    /// Wires that each controller has seen opened, by its life.
    pub opened: HashSet<(usize, u64, u64)>,
}

/// Fronts that start together come within this time, as machines do.
const SPREAD: Span = ms(1_000);

/// The world's beginning.
const BEGIN: Tick = ms(1_000);

impl World {
    /// A fleet that is just being started.
    pub fn new(size: Size, seed: u64) -> Self {
        let mut world = World {
            now: BEGIN,
            size,
            queue: BTreeMap::new(),
            next: 0,
            random: Random::new(seed),
            controllers: Vec::new(),
            queriers: Vec::new(),
            by_name: HashMap::new(),
            leafs: (0..size.leafs).map(|node| plan::leaf(node, size.leafs)).collect(),
            list: Rc::default(),
            traffic: Traffic::new(),
            list_polls: Cell::default(),
            probes: 0,
            results: BTreeMap::new(),
            alarms: BTreeMap::new(),
            last: HashMap::new(),
            opened: HashSet::new(),
        };
        world.list = Rc::new(plan::list(&world.leafs));
        for controller in 0..consts::SEATS as usize {
            world.controllers.push(ControllerNode {
                state: ControllerState::new(Default::default(), ("", ""), Vec::new(), 0, BOOT),
                disk: Disk::new(partitions().count()),
                up: false,
                life: 0,
                began: 0,
                meter: Meter::default(),
                last: None,
            });
            world.start_controller(controller);
        }
        for querier in 0..size.members {
            world.add_querier();
            let after = world.random.below(SPREAD);
            world.push(after, ScheduledEvent::StartQuerier { querier });
        }
        world
    }

    /// A machine for one more front, which is down.
    pub fn add_querier(&mut self) -> usize {
        let querier = self.queriers.len();
        let zone = plan::zone(querier);
        let name = format!("front-{}-{querier:04}", plan::name(zone));
        let addr = format!("10.200.{}.{}:9000", querier >> 8, querier & 255);
        let me = Member {
            name: name.clone(),
            addr,
            zone: plan::name(zone),
            threads: 1,
            joined: 0,
            incarnation: 0,
        };
        self.by_name.insert(name, querier);
        let watch = wat::watch(me.clone(), BOOT);
        let meter = Meter::default();
        let node = QuerierNode {
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
        self.queriers.push(node);
        querier
    }

    /// Starts a front, which knows nothing.
    pub fn start_querier(&mut self, querier: usize) {
        let node = &mut self.queriers[querier];
        node.life += 1;
        (node.up, node.ready, node.polling, node.began) = (true, false, false, self.now);
        node.me.incarnation = node.life;
        node.watch = wat::watch(node.me.clone(), BOOT);
        let life = node.life;
        let after = self.random.below(qstep::WAKE);
        self.push(after, ScheduledEvent::QuerierTimer { querier, life });
    }

    /// Ends a front at once.
    pub fn kill_querier(&mut self, querier: usize) {
        let life = self.queriers[querier].life;
        let node = &mut self.queriers[querier];
        (node.up, node.ready) = (false, false);
        node.watch = wat::watch(node.me.clone(), BOOT);
        for controller in 0..self.controllers.len() {
            let event =
                Box::new(st::Event::ConnectionClosed { connection: connection(querier, life) });
            let life = self.controllers[controller].life;
            self.push(ms(2), ScheduledEvent::ControllerEvent { controller, life, event });
        }
    }

    /// Starts a controller on its disk.
    pub fn start_controller(&mut self, controller: usize) {
        let seed = self.random.next_u64();
        let start = Start {
            slot: Some(controller as VoterSlot),
            first: self.now == BEGIN,
            seeds: (0..consts::SEATS as usize).map(plan::controller_address).collect(),
            size: consts::SEATS as usize,
            addr: plan::controller_address(controller),
        };
        let disk = &mut self.controllers[controller].disk;
        let bare = disk.is_empty();
        let (roll, clear) = voter_file::begin(disk.read_voter_file(), &start, bare, seed);
        disk.put_voter_file(&roll, clear);
        let found = disk.start();
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
        let node = &mut self.controllers[controller];
        node.life += 1;
        (node.up, node.began) = (true, self.now);
        let zone = plan::name(plan::controller_zone(controller as VoterSlot));
        node.state = ControllerState::new(roll, (&start.addr, &zone), list, seed, BOOT);
        let life = node.life;
        self.push(start_delay(seed), ScheduledEvent::ControllerTimer { controller, life });
    }

    /// Ends a controller at once; its system writes what it was given.
    pub fn kill_controller(&mut self, controller: usize) {
        let node = &mut self.controllers[controller];
        node.up = false;
        for (part, token) in node.disk.pending_jobs() {
            node.disk.finish_job(part, token);
        }
        for token in node.disk.pending_voter_files() {
            node.disk.finish_voter_file(token);
        }
    }

    /// Lets something happen after a while.
    pub fn push(&mut self, after: Span, event: ScheduledEvent) {
        let at = self.now + after;
        self.push_at(at, event);
    }

    /// Lets something happen at a time.
    pub fn push_at(&mut self, at: Tick, event: ScheduledEvent) {
        self.next += 1;
        self.queue.insert((at, self.next), event);
    }

    /// When a message sent now arrives: those of one connection keep their order.
    pub fn arrival(&mut self, from: (usize, usize), to: (usize, usize)) -> Tick {
        let at = self.now + plan::way(from.1, to.1, &mut self.random);
        let last = self.last.entry((from.0, to.0)).or_insert(0);
        *last = at.max(*last + 1);
        *last
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    /// Lets time pass until `done`, at most `span`; the time it took.
    pub fn until(&mut self, span: Span, done: impl Fn(&World) -> bool) -> Option<Span> {
        let begin = self.now;
        while self.now < begin + span {
            if done(self) {
                return Some(self.now - begin);
            }
            self.run(10 * MILLI);
        }
        done(self).then_some(self.now - begin)
    }

    /// The revision of a part that the seats show.
    pub fn committed_revision_of(&self, part: usize) -> u64 {
        self.controllers
            .iter()
            .filter(|controller| controller.up)
            .map(|controller| controller.state.partitions[part].committed_revision)
            .max()
            .unwrap_or(0)
    }

    /// Whether every front that is up obeys the newest configuration, knows every
    /// leaf, is ready, and has its settled place in the same membership, and every
    /// controller shows as much. Ages of leafs may still be under way.
    pub fn whole(&self) -> bool {
        let up = self.queriers.iter().filter(|querier| querier.up);
        let (revision, count) = (self.committed_revision_of(0), up.clone().count());
        let shows = |controller: &ControllerNode| {
            let leafs: usize =
                controller.state.partitions[1..].iter().map(|p| p.committed.len()).sum();
            controller.up
                && controller.state.partitions[0].committed_revision == revision
                && leafs == self.leafs.len()
        };
        let whole = |querier: &QuerierNode| {
            let c = &querier.watch.membership;
            let view = querier.watch.view.as_ref();
            querier.ready
                && c.settled == c.turn
                && c.members.len() == count
                && view.is_some_and(|v| v.revision == revision && v.leafs.len() == self.leafs.len())
        };
        revision > 0 && self.controllers.iter().all(shows) && up.clone().all(whole)
    }
}

fn start_delay(seed: u64) -> Span {
    seed % cstep::WAKE
}

/// A front's connection to a seat, in one of its lives.
pub fn connection(querier: usize, life: u64) -> u64 {
    ((querier as u64) << 32) | life
}

/// The connection that a seat opens to others, in one of its lives.
pub fn controller_connection(controller: usize, life: u64) -> u64 {
    1 << 63 | (controller as u64) << 32 | life
}
