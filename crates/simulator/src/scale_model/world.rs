//! The simulated cluster of the scale model: virtual time, nodes and messages.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use grebepath_core::consts;
use grebepath_core::control_plane::controller as controller_events;
use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::control_plane::step as control_plane_step;
use grebepath_core::identifiers::{PartitionId, VoterSlot, partitions};
use grebepath_core::membership::node_agent;
use grebepath_core::membership::node_agent::NodeAgent;
use grebepath_core::membership::step as membership_step;
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

/// An event and its recipient. `incarnation` identifies the recipient's process: an event for a
/// former process is dropped.
pub(super) enum ScheduledEvent {
    ControllerTimer { controller: usize, incarnation: u64 },
    ControllerMessage { controller: usize, incarnation: u64, from: Sender, raw: Raw },
    ControllerEvent { controller: usize, incarnation: u64, event: Box<controller_events::Event> },
    DiskJobDone { controller: usize, incarnation: u64, partition: PartitionId, token: u64 },
    VoterFileDone { controller: usize, incarnation: u64, token: u64 },
    QuerierTimer { querier: usize, incarnation: u64 },
    QuerierMessage { querier: usize, incarnation: u64, from: Sender, raw: Raw },
    QuerierEvent { querier: usize, incarnation: u64, event: Box<node_agent::Event> },
    ListResponse { querier: usize, incarnation: u64 },
    StartQuerier { querier: usize },
    StartController { controller: usize },
}

/// The encoded frames of a message; large messages are shared by all recipients.
pub type Raw = Rc<Vec<Vec<u8>>>;

/// The sender of a message.
#[derive(Clone, Copy)]
pub enum Sender {
    /// The controller of a voter slot, on the connection that it opened.
    VoterSlot(VoterSlot),
    /// A controller, on a connection that was opened to it.
    ConnectedController,
    /// A querier, with the number of its process.
    Querier(usize, u64),
}

/// A simulated controller.
pub struct ControllerNode {
    /// Its state machine.
    pub state: ControllerState,
    /// Its disk.
    pub disk: Disk,
    /// Whether its process is running.
    pub up: bool,
    /// Number of starts of its process.
    pub incarnation: u64,
    /// When its process was started.
    pub started: Tick,
    /// Its costs since the last reset.
    pub meter: Meter,
    /// The last large message that it encoded, shared when the next one is equal.
    pub last: Option<Raw>,
}

/// A simulated querier without threads for queries.
pub struct QuerierNode {
    /// Its entry in the membership.
    pub me: Member,
    /// Its zone.
    pub zone: usize,
    /// Its node agent.
    pub node_agent: NodeAgent,
    /// Whether its process is running.
    pub up: bool,
    /// Number of starts of its process.
    pub incarnation: u64,
    /// When its process was started.
    pub started: Tick,
    /// Whether it reports that it is ready.
    pub ready: bool,
    /// Whether a poll of the platform's list is in flight.
    pub polling: bool,
    /// Its costs since the last reset.
    pub meter: Meter,
}

/// The simulated cluster.
pub struct World {
    /// The virtual time.
    pub now: Tick,
    /// The size of the cluster.
    pub size: Size,
    queue: EventQueue<ScheduledEvent>,
    /// Draws latencies and seeds.
    pub random: Random,
    /// The controllers, by voter slot.
    pub controllers: Vec<ControllerNode>,
    /// The queriers.
    pub queriers: Vec<QuerierNode>,
    /// Indices of the queriers by name.
    pub by_name: HashMap<String, usize>,
    /// All leafs.
    pub leafs: Vec<LeafInfo>,
    /// The platform's leaf list as it is served.
    pub list: Rc<String>,
    /// Messages by link and kind.
    pub traffic: Traffic,
    /// Polls of the platform's list, which are not counted in `traffic`.
    pub list_polls: Count,
    /// Probes of leafs (count), which are not counted in `traffic`.
    pub probes: u64,
    /// Results of operator requests, with the times at which they arrived.
    pub results: BTreeMap<u64, (Tick, OperationResult)>,
    /// Number of alarms by text.
    pub alarms: BTreeMap<String, u64>,
    last: HashMap<(usize, usize), Tick>,
    /// Connections opened to controllers, as (controller, its process, connection).
    pub opened: HashSet<(usize, u64, u64)>,
}

/// Interval over which the first starts of the queriers are spread, as with real machines.
const START_SPREAD: Span = ms(1_000);

/// Start time of the simulation.
const START_TIME: Tick = ms(1_000);

impl World {
    /// Creates a cluster in which controllers are started and queriers are about to start.
    pub fn new(size: Size, seed: u64) -> Self {
        let mut world = World {
            now: START_TIME,
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
                started: 0,
                meter: Meter::default(),
                last: None,
            });
            world.start_controller(controller);
        }
        for querier in 0..size.members {
            world.add_querier();
            let after = world.random.below(START_SPREAD);
            world.push(after, ScheduledEvent::StartQuerier { querier });
        }
        world
    }

    /// Adds a machine for a querier, which is down.
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
            started: 0,
            ready: false,
            polling: false,
            meter,
        };
        self.queriers.push(node);
        querier
    }

    /// Starts a querier without any state.
    pub fn start_querier(&mut self, querier: usize) {
        let node = &mut self.queriers[querier];
        node.incarnation += 1;
        (node.up, node.ready, node.polling, node.started) = (true, false, false, self.now);
        node.me.incarnation = node.incarnation;
        node.node_agent = node_agent::NodeAgent::new(node.me.clone(), BOOT);
        let incarnation = node.incarnation;
        let after = self.random.below(membership_step::WAKE_INTERVAL);
        self.push(after, ScheduledEvent::QuerierTimer { querier, incarnation });
    }

    /// Kills a querier.
    pub fn kill_querier(&mut self, querier: usize) {
        let incarnation = self.queriers[querier].incarnation;
        let node = &mut self.queriers[querier];
        (node.up, node.ready) = (false, false);
        node.node_agent = node_agent::NodeAgent::new(node.me.clone(), BOOT);
        let connection = Opener::Querier { number: querier, incarnation }.connection();
        for controller in 0..self.controllers.len() {
            let event = Box::new(controller_events::Event::ConnectionClosed { connection });
            let incarnation = self.controllers[controller].incarnation;
            self.push(ms(2), ScheduledEvent::ControllerEvent { controller, incarnation, event });
        }
    }

    /// Starts a controller with the contents of its disk.
    pub fn start_controller(&mut self, controller: usize) {
        let seed = self.random.next_u64();
        let start = Start {
            slot: Some(controller as VoterSlot),
            is_first_start: self.now == START_TIME,
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
        (node.up, node.started) = (true, self.now);
        let zone = topology::name(topology::controller_zone(controller as VoterSlot));
        node.state = recovered.into_state(&start.addr, &zone, seed);
        let incarnation = node.incarnation;
        self.push(start_delay(seed), ScheduledEvent::ControllerTimer { controller, incarnation });
    }

    /// Kills a controller; its operating system completes the submitted disk writes.
    pub fn kill_controller(&mut self, controller: usize) {
        let node = &mut self.controllers[controller];
        node.up = false;
        node.disk.finish_all();
    }

    /// Schedules an event after `after`.
    pub(super) fn push(&mut self, after: Span, event: ScheduledEvent) {
        let at = self.now + after;
        self.push_at(at, event);
    }

    /// Schedules an event at `at`.
    pub(super) fn push_at(&mut self, at: Tick, event: ScheduledEvent) {
        self.queue.push(at, event);
    }

    /// Returns when a message sent now arrives; messages of one connection keep their order.
    pub fn arrival(&mut self, from: (usize, usize), to: (usize, usize)) -> Tick {
        let at = self.now + topology::one_way_latency(from.1, to.1, &mut self.random);
        let last = self.last.entry((from.0, to.0)).or_insert(0);
        *last = at.max(*last + 1);
        *last
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    /// Advances the time until `done`, at most by `span`. Returns the time it took, or `None` on
    /// timeout.
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

    /// Returns the newest committed revision of a partition.
    pub fn committed_revision_of(&self, part: usize) -> u64 {
        self.controllers
            .iter()
            .filter(|controller| controller.up)
            .map(|controller| controller.state.partitions[part].committed_revision)
            .max()
            .unwrap_or(0)
    }

    /// Returns whether every running querier uses the newest configuration, knows every leaf, is
    /// ready and has a settled position in the same membership, and every controller has the same
    /// configuration and leafs. Updates of leaf ages may still be in flight.
    pub fn converged(&self) -> bool {
        let up = self.queriers.iter().filter(|querier| querier.up);
        let (revision, count) = (self.committed_revision_of(0), up.clone().count());
        let shows = |controller: &ControllerNode| {
            let leafs: usize =
                controller.state.partitions[1..].iter().map(|p| p.committed.len()).sum();
            controller.up
                && controller.state.partitions[0].committed_revision == revision
                && leafs == self.leafs.len()
        };
        let converged = |querier: &QuerierNode| {
            let c = &querier.node_agent.membership;
            let view = querier.node_agent.view.as_ref();
            querier.ready
                && c.settled == c.turn
                && c.members.len() == count
                && view.is_some_and(|v| v.revision == revision && v.leafs.len() == self.leafs.len())
        };
        revision > 0 && self.controllers.iter().all(shows) && up.clone().all(converged)
    }
}

fn start_delay(seed: u64) -> Span {
    seed % control_plane_step::WAKE_INTERVAL
}
