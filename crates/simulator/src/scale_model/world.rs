//! The world of the scale model: virtual time, nodes, and messages.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use grebepath_core::consts;
use grebepath_core::control_plane::controller as st;
use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::control_plane::step as cstep;
use grebepath_core::identifiers::{PartitionId, VoterSlot, partitions};
use grebepath_core::membership::node_agent;
use grebepath_core::membership::node_agent::NodeAgent;
use grebepath_core::membership::step as qstep;
use grebepath_core::protocol::membership::Member;
use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::random::Random;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::storage::voter_file::Start;
use grebepath_core::time::{BOOT, MILLI, Span, Tick, ms};

use crate::connection_id::Opener;
use crate::controller_start::Recovered;
use crate::event_queue::EventQueue;
use crate::scale_model::meter::{Count, Meter, Traffic};
use crate::scale_model::topology;
use crate::scale_model::topology::Size;
use crate::simulated_disk::Disk;

/// What happens, and to whom. A life ends with its process.
pub(super) enum ScheduledEvent {
    ControllerTimer { controller: usize, incarnation: u64 },
    ControllerMessage { controller: usize, incarnation: u64, from: Sender, raw: Raw },
    ControllerEvent { controller: usize, incarnation: u64, event: Box<st::Event> },
    DiskJobDone { controller: usize, incarnation: u64, partition: PartitionId, token: u64 },
    VoterFileDone { controller: usize, incarnation: u64, token: u64 },
    QuerierTimer { querier: usize, incarnation: u64 },
    QuerierMessage { querier: usize, incarnation: u64, from: Sender, raw: Raw },
    QuerierEvent { querier: usize, incarnation: u64, event: Box<node_agent::Event> },
    ListResponse { querier: usize, incarnation: u64 },
    StartQuerier { querier: usize },
    StartController { controller: usize },
}

/// A message's pieces on their way; large ones are shared by all who get them.
pub type Raw = Rc<Vec<Vec<u8>>>;

/// Who sent a message.
#[derive(Clone, Copy)]
pub enum Sender {
    /// The controller of a voter slot, on the connection that it opened.
    VoterSlot(VoterSlot),
    /// A controller, on a connection that was opened to it.
    ConnectedController,
    /// A querier, and in which of its lives.
    Querier(usize, u64),
}

/// A controller.
pub struct ControllerNode {
    /// Its state machine.
    pub state: ControllerState,
    /// Its disk.
    pub disk: Disk,
    /// Whether its process runs.
    pub up: bool,
    /// How often its process was started.
    pub incarnation: u64,
    /// When its process was started.
    pub began: Tick,
    /// What it spent since it was last reset.
    pub meter: Meter,
    /// The last large message that was written: many get the same.
    pub last: Option<Raw>,
}

/// A querier without traffic threads.
pub struct QuerierNode {
    /// How it names itself to other members.
    pub me: Member,
    /// Its zone.
    pub zone: usize,
    /// Its node agent.
    pub node_agent: NodeAgent,
    /// Whether its process runs.
    pub up: bool,
    /// How often its process was started.
    pub incarnation: u64,
    /// When its process was started.
    pub began: Tick,
    /// Whether it says that it is ready.
    pub ready: bool,
    /// Whether an answer of the platform's list is awaited.
    pub polling: bool,
    /// What it spent since it was last reset.
    pub meter: Meter,
}

/// The world.
pub struct World {
    /// The virtual time.
    pub now: Tick,
    /// The size of the fleet.
    pub size: Size,
    queue: EventQueue<ScheduledEvent>,
    /// Draws latencies and seeds.
    pub random: Random,
    /// The controllers, by voter slot.
    pub controllers: Vec<ControllerNode>,
    /// The queriers.
    pub queriers: Vec<QuerierNode>,
    /// Numbers of the queriers by their names.
    pub by_name: HashMap<String, usize>,
    /// All leafs.
    pub leafs: Vec<LeafInfo>,
    /// The platform's list as it is served.
    pub list: Rc<String>,
    /// Messages by link and kind.
    pub traffic: Traffic,
    /// Polls of the list and probes of leafs, which are not our messages.
    pub list_polls: Count,
    /// Probes of leafs (count).
    pub probes: u64,
    /// Outcomes of operators' requests, with their times.
    pub results: BTreeMap<u64, (Tick, OperationResult)>,
    /// Alarms by their texts.
    pub alarms: BTreeMap<String, u64>,
    last: HashMap<(usize, usize), Tick>,
    /// Connections that each controller has seen opened, by its life.
    pub opened: HashSet<(usize, u64, u64)>,
}

/// Queriers that start together come up within this time, as machines do.
const SPREAD: Span = ms(1_000);

/// The world's beginning.
const BEGIN: Tick = ms(1_000);

impl World {
    /// A fleet that is just being started.
    pub fn new(size: Size, seed: u64) -> Self {
        let mut world = World {
            now: BEGIN,
            size,
            queue: EventQueue::default(),
            random: Random::new(seed),
            controllers: Vec::new(),
            queriers: Vec::new(),
            by_name: HashMap::new(),
            leafs: (0..size.leafs).map(|node| topology::leaf(node, size.leafs)).collect(),
            list: Rc::default(),
            traffic: Traffic::new(),
            list_polls: Count::default(),
            probes: 0,
            results: BTreeMap::new(),
            alarms: BTreeMap::new(),
            last: HashMap::new(),
            opened: HashSet::new(),
        };
        world.list = Rc::new(topology::list(&world.leafs));
        for controller in 0..consts::DEFAULT_VOTER_SLOTS as usize {
            world.controllers.push(ControllerNode {
                state: ControllerState::new(Default::default(), ("", ""), Vec::new(), 0, BOOT),
                disk: Disk::new(partitions().count()),
                up: false,
                incarnation: 0,
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

    /// A machine for one more querier, which is down.
    pub fn add_querier(&mut self) -> usize {
        let querier = self.queriers.len();
        let zone = topology::zone(querier);
        let name = format!("front-{}-{querier:04}", topology::name(zone));
        let addr = format!("10.200.{}.{}:9000", querier >> 8, querier & 255);
        let me = Member {
            name: name.clone(),
            addr,
            zone: topology::name(zone),
            threads: 1,
            joined: 0,
            incarnation: 0,
        };
        self.by_name.insert(name, querier);
        let node_agent = node_agent::NodeAgent::new(me.clone(), BOOT);
        let meter = Meter::default();
        let node = QuerierNode {
            me,
            zone,
            node_agent,
            up: false,
            incarnation: 0,
            began: 0,
            ready: false,
            polling: false,
            meter,
        };
        self.queriers.push(node);
        querier
    }

    /// Starts a querier, which knows nothing.
    pub fn start_querier(&mut self, querier: usize) {
        let node = &mut self.queriers[querier];
        node.incarnation += 1;
        (node.up, node.ready, node.polling, node.began) = (true, false, false, self.now);
        node.me.incarnation = node.incarnation;
        node.node_agent = node_agent::NodeAgent::new(node.me.clone(), BOOT);
        let incarnation = node.incarnation;
        let after = self.random.below(qstep::WAKE_INTERVAL);
        self.push(after, ScheduledEvent::QuerierTimer { querier, incarnation });
    }

    /// Ends a querier at once.
    pub fn kill_querier(&mut self, querier: usize) {
        let incarnation = self.queriers[querier].incarnation;
        let node = &mut self.queriers[querier];
        (node.up, node.ready) = (false, false);
        node.node_agent = node_agent::NodeAgent::new(node.me.clone(), BOOT);
        let connection = Opener::Querier { number: querier, incarnation }.connection();
        for controller in 0..self.controllers.len() {
            let event = Box::new(st::Event::ConnectionClosed { connection });
            let incarnation = self.controllers[controller].incarnation;
            self.push(ms(2), ScheduledEvent::ControllerEvent { controller, incarnation, event });
        }
    }

    /// Starts a controller on its disk.
    pub fn start_controller(&mut self, controller: usize) {
        let seed = self.random.next_u64();
        let start = Start {
            slot: Some(controller as VoterSlot),
            is_first_start: self.now == BEGIN,
            seeds: (0..consts::DEFAULT_VOTER_SLOTS as usize)
                .map(topology::controller_address)
                .collect(),
            size: consts::DEFAULT_VOTER_SLOTS as usize,
            addr: topology::controller_address(controller),
        };
        let disk = &mut self.controllers[controller].disk;
        let recovered = Recovered::read(disk, &start, seed);
        let node = &mut self.controllers[controller];
        node.incarnation += 1;
        (node.up, node.began) = (true, self.now);
        let zone = topology::name(topology::controller_zone(controller as VoterSlot));
        node.state = recovered.into_state(&start.addr, &zone, seed);
        let incarnation = node.incarnation;
        self.push(start_delay(seed), ScheduledEvent::ControllerTimer { controller, incarnation });
    }

    /// Ends a controller at once; its system writes what it was given.
    pub fn kill_controller(&mut self, controller: usize) {
        let node = &mut self.controllers[controller];
        node.up = false;
        node.disk.finish_all();
    }

    /// Lets something happen after a while.
    pub(super) fn push(&mut self, after: Span, event: ScheduledEvent) {
        let at = self.now + after;
        self.push_at(at, event);
    }

    /// Lets something happen at a time.
    pub(super) fn push_at(&mut self, at: Tick, event: ScheduledEvent) {
        self.queue.push(at, event);
    }

    /// When a message sent now arrives: those of one connection keep their order.
    pub fn arrival(&mut self, from: (usize, usize), to: (usize, usize)) -> Tick {
        let at = self.now + topology::way(from.1, to.1, &mut self.random);
        let last = self.last.entry((from.0, to.0)).or_insert(0);
        *last = at.max(*last + 1);
        *last
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some((at, event)) = self.queue.pop_until(end) {
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

    /// The newest committed revision of a partition.
    pub fn committed_revision_of(&self, part: usize) -> u64 {
        self.controllers
            .iter()
            .filter(|controller| controller.up)
            .map(|controller| controller.state.partitions[part].committed_revision)
            .max()
            .unwrap_or(0)
    }

    /// Whether every querier that is up serves by the newest configuration, knows every
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
            let c = &querier.node_agent.membership;
            let view = querier.node_agent.view.as_ref();
            querier.ready
                && c.settled == c.turn
                && c.members.len() == count
                && view.is_some_and(|v| v.revision == revision && v.leafs.len() == self.leafs.len())
        };
        revision > 0 && self.controllers.iter().all(shows) && up.clone().all(whole)
    }
}

fn start_delay(seed: u64) -> Span {
    seed % cstep::WAKE_INTERVAL
}
