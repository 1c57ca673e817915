//! Runs the scenarios of the scale model and measures their cost.

use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::time::{MILLI, SECOND, Span, Tick};
use serde_json::json;

use crate::scale_model::memory;
use crate::scale_model::meter;
use crate::scale_model::meter::{Count, Meter, Traffic};
use crate::scale_model::topology;
use crate::scale_model::topology::Size;
use crate::scale_model::world::{ScheduledEvent, World};

/// Timeout for each awaited condition.
const TIMEOUT: Span = 60 * SECOND;

/// Time between the end of a process and its next start.
const RESTART_DELAY: Span = SECOND;

/// Time after a phase in which its last messages arrive.
const SETTLE_TIME: Span = 2 * SECOND;

/// Selects what to measure.
#[derive(Clone, Copy)]
pub struct Measurements {
    /// Length of the idle time that is measured.
    pub idle: Span,
    /// The cost of single changes.
    pub single: bool,
    /// The cost of restarting parts of the cluster and all of it.
    pub restarts: bool,
}

/// Results for one size.
pub struct Findings {
    /// The size that was measured.
    pub size: Size,
    /// Time until all nodes were up after the first start.
    pub start: Option<Span>,
    /// Totals of the first start.
    pub start_sum: Totals,
    /// Totals of the idle time.
    pub idle: Idle,
    /// Single events and their costs.
    pub events: Vec<(&'static str, Event)>,
    /// Memory of this process when all nodes were up (bytes).
    pub resident_bytes: u64,
    /// Number of alarms in the whole run.
    pub alarms: u64,
}

/// Totals of an interval.
#[derive(Clone, Default)]
pub struct Totals {
    /// Length of the interval.
    pub span: Span,
    /// Messages by link and kind.
    pub traffic: Traffic,
    /// Costs of each controller.
    pub controllers: Vec<Meter>,
    /// Costs of each querier.
    pub queriers: Vec<Meter>,
    /// Polls of the platform's list.
    pub list_polls: Count,
    /// Probes of leafs.
    pub probes: u64,
}

/// Totals of an idle interval, and the size of the state.
pub struct Idle {
    /// Totals of the interval.
    pub sum: Totals,
    /// Largest state of a querier (bytes).
    pub querier_state: usize,
    /// Largest state of a controller (bytes).
    pub controller_state: usize,
    /// Size of one copy of the committed state (bytes).
    pub stored: usize,
    /// Size of the platform's leaf list (bytes).
    pub list_bytes: usize,
    /// CPU time to rebuild the view of all leafs (ns).
    pub view_ns: u64,
}

/// An event and its cost.
pub struct Event {
    /// Time until the operator received the acceptance.
    pub accepted: Option<Span>,
    /// Time until the last member had converged.
    pub last: Option<Span>,
    /// Totals until then, including the settling time.
    pub sum: Totals,
}

impl World {
    fn reset_meters(&mut self) {
        self.traffic.clear();
        self.list_polls = Count::default();
        self.probes = 0;
        for n in &mut self.controllers {
            n.meter = Meter::default();
        }
        for n in &mut self.queriers {
            n.meter = Meter::default();
        }
    }

    fn take_totals(&mut self, from: Tick) -> Totals {
        let sum = Totals {
            span: self.now - from,
            traffic: self.traffic.clone(),
            controllers: self.controllers.iter().map(|n| n.meter).collect(),
            queriers: self.queriers.iter().map(|n| n.meter).collect(),
            list_polls: self.list_polls,
            probes: self.probes,
        };
        self.reset_meters();
        sum
    }

    fn idle(&mut self, span: Span) -> Idle {
        self.reset_meters();
        let from = self.now;
        self.run(span);
        let sum = self.take_totals(from);
        let querier_state = self
            .queriers
            .iter()
            .map(|querier| memory::node_agent_bytes(&querier.node_agent))
            .max()
            .unwrap_or(0);
        let controller_state = self
            .controllers
            .iter()
            .map(|controller| memory::controller_bytes(&controller.state))
            .max()
            .unwrap_or(0);
        let stored = self.controllers[0]
            .state
            .partitions
            .iter()
            .map(|p| memory::entry_map_bytes(&p.committed))
            .sum();
        let view_ns =
            self.queriers.first().map_or(0, |querier| view_rebuild_ns(&querier.node_agent));
        Idle { sum, querier_state, controller_state, stored, list_bytes: self.list.len(), view_ns }
    }

    fn operate(&mut self, op: u64, operation: Operation) {
        let incarnation = self.controllers[0].incarnation;
        let request = format!("order-{op}");
        let event = grebepath_core::control_plane::controller::Event::Operate {
            op,
            request,
            expected_revision: None,
            operation,
        };
        self.push(
            MILLI,
            ScheduledEvent::ControllerEvent { controller: 0, incarnation, event: Box::new(event) },
        );
    }

    /// Submits a configuration change and waits until the last member has applied it.
    fn change_configuration(&mut self) -> Event {
        self.reset_meters();
        let begin = self.now;
        let op = 1_000;
        let text = json!({ "zones": [{ "name": "mark", "state": "open" }] }).to_string();
        self.operate(op, Operation::Patch(text.into_bytes()));
        let old = self.committed_revision_of(0);
        let applied =
            |world: &World| {
                world.queriers.iter().filter(|querier| querier.up).all(|querier| {
                    querier.node_agent.view.as_ref().is_some_and(|v| v.revision > old)
                })
            };
        let last = self.until(TIMEOUT, applied);
        self.until(TIMEOUT, |world| world.results.contains_key(&op));
        let accepted = match self.results.get(&op) {
            Some((at, OperationResult::Accepted { .. })) => Some(at - begin),
            _ => None,
        };
        self.run(SETTLE_TIME);
        Event { accepted, last, sum: self.take_totals(begin) }
    }

    /// Adds a leaf to the platform's list and waits until the last member knows it.
    fn add_leaf(&mut self) -> Event {
        self.reset_meters();
        let begin = self.now;
        let mut new = topology::leaf(
            self.leafs.len() + topology::LEAFS_PER_SHARD * topology::MAX_SHARDS,
            self.size.leafs,
        );
        new.leaf = format!("{}-new", new.service);
        let name = new.leaf.clone();
        self.leafs.push(new);
        self.list = std::rc::Rc::new(topology::list(&self.leafs));
        let knows_leaf = |world: &World| {
            world.queriers.iter().filter(|querier| querier.up).all(|querier| {
                querier.node_agent.view.as_ref().is_some_and(|v| v.leafs.contains_key(&name))
            })
        };
        let last = self.until(TIMEOUT, knows_leaf);
        // Its age is known after its first probe.
        self.run(SETTLE_TIME);
        Event { accepted: None, last, sum: self.take_totals(begin) }
    }

    /// Adds a querier and waits until it has its allocation and all members know it.
    fn add_member(&mut self) -> Event {
        self.reset_meters();
        let begin = self.now;
        let querier = self.add_querier();
        self.start_querier(querier);
        let last = self.until(TIMEOUT, World::converged);
        self.run(SETTLE_TIME);
        Event { accepted: None, last, sum: self.take_totals(begin) }
    }

    /// Kills queriers and controllers at the same time, restarts them and waits until all are up.
    fn restart(&mut self, queriers: &[usize], controllers: &[usize]) -> Event {
        self.reset_meters();
        for querier in queriers {
            self.kill_querier(*querier);
            self.push(RESTART_DELAY, ScheduledEvent::StartQuerier { querier: *querier });
        }
        for controller in controllers {
            self.kill_controller(*controller);
            self.push(RESTART_DELAY, ScheduledEvent::StartController { controller: *controller });
        }
        let begin = self.now;
        self.run(RESTART_DELAY + MILLI);
        let back = self.until(TIMEOUT, World::converged);
        let last = back.map(|_| self.now - begin);
        self.run(SETTLE_TIME);
        Event { accepted: None, last, sum: self.take_totals(begin) }
    }
}

/// Measures one size.
pub fn measure(size: Size, seed: u64, measurements: Measurements) -> Findings {
    let mut world = World::new(size, seed);
    let begin = world.now;
    world.reset_meters();
    let conf = topology::config(size.leafs).to_string().into_bytes();
    world.operate(1, Operation::Replace(conf));
    let start = world.until(TIMEOUT, World::converged);
    let start_sum = world.take_totals(begin);
    world.run(SETTLE_TIME);
    let resident_bytes = meter::resident_bytes();
    let idle = world.idle(measurements.idle);
    let mut events = Vec::new();
    if measurements.single {
        events.push(("one configuration change", world.change_configuration()));
        events.push(("one leaf coming", world.add_leaf()));
        events.push(("one member coming", world.add_member()));
    }
    if measurements.restarts {
        let n = world.queriers.len();
        let one_percent: Vec<usize> = (0..n.div_ceil(100)).map(|i| i * 100 % n).collect();
        events.push(("restart of 1%", world.restart(&one_percent, &[])));
        let zone = topology::controller_zone(1);
        let list: Vec<usize> =
            (0..n).filter(|querier| world.queriers[*querier].zone == zone).collect();
        events.push(("restart of a zone", world.restart(&list, &[1])));
        let all: Vec<usize> = (0..n).collect();
        let controllers: Vec<usize> = (0..world.controllers.len()).collect();
        events.push(("restart of all", world.restart(&all, &controllers)));
    }
    let alarms = world.alarms.values().sum();
    Findings { size, start, start_sum, idle, events, resident_bytes, alarms }
}

/// Returns the CPU time to decode all leafs that a querier holds and to build a view of them (ns).
fn view_rebuild_ns(node_agent: &grebepath_core::membership::node_agent::NodeAgent) -> u64 {
    let mut took = 0;
    meter::timed(&mut took, || {
        let list = node_agent
            .partitions
            .values()
            .flat_map(|h| grebepath_core::snapshot::leafs::leafs_in(&h.entries).into_values());
        ClusterView::new(
            node_agent.configuration_revision,
            node_agent.configuration.clone(),
            list.collect(),
        )
    });
    took
}
