//! What is done with a hollow fleet, and what is read off it.

use grebepath_core::protocol::message::{Operation, OperationResult};
use grebepath_core::time::{MILLI, SECOND, Span, Tick};
use serde_json::json;

use crate::scale_model::cost;
use crate::scale_model::cost::{Cell, Meter, Traffic};
use crate::scale_model::plan;
use crate::scale_model::plan::Size;
use crate::scale_model::weight;
use crate::scale_model::world::{ScheduledEvent, World};

/// Longest time that anything here may take before it is given up.
const PATIENCE: Span = 60 * SECOND;

/// Time that a front needs from its end to its next start.
const RESTART: Span = SECOND;

/// Time after a phase in which its last messages settle.
const SETTLE: Span = 2 * SECOND;

/// What is to be measured.
#[derive(Clone, Copy)]
pub struct Measurements {
    /// Length of the calm time that is measured.
    pub idle: Span,
    /// The cost of single changes.
    pub single: bool,
    /// Restarts of a part of the fleet and of all of it.
    pub restarts: bool,
}

/// What one size came to.
pub struct Findings {
    pub size: Size,
    /// Time until all were whole after the first start.
    pub start: Option<Span>,
    pub start_sum: Totals,
    pub idle: Idle,
    pub events: Vec<(&'static str, Event)>,
    /// Memory of this process when all were whole (bytes).
    pub resident_bytes: u64,
    pub alarms: u64,
}

/// What passed in some time.
#[derive(Clone, Default)]
pub struct Totals {
    pub span: Span,
    pub traffic: Traffic,
    pub controllers: Vec<Meter>,
    pub queriers: Vec<Meter>,
    pub list_polls: Cell,
    pub probes: u64,
}

/// A calm time, and what is held meanwhile.
pub struct Idle {
    pub sum: Totals,
    /// State of the heaviest querier and controller (bytes).
    pub querier_state: usize,
    pub controller_state: usize,
    /// Of these, one copy of what is stored.
    pub stored: usize,
    pub list_bytes: usize,
    /// Processor time for a view of all leafs, made once more (ns).
    pub view_ns: u64,
}

/// One thing that happened, and what it cost.
pub struct Event {
    /// When an operator heard that it is accepted.
    pub accepted: Option<Span>,
    /// When the last member was there.
    pub last: Option<Span>,
    /// All that passed until then, and what a calm time of that length costs.
    pub sum: Totals,
}

impl World {
    fn reset(&mut self) {
        self.traffic.clear();
        self.list_polls = Cell::default();
        self.probes = 0;
        for n in &mut self.controllers {
            n.meter = Meter::default();
        }
        for n in &mut self.queriers {
            n.meter = Meter::default();
        }
    }

    fn take(&mut self, from: Tick) -> Totals {
        let sum = Totals {
            span: self.now - from,
            traffic: self.traffic.clone(),
            controllers: self.controllers.iter().map(|n| n.meter).collect(),
            queriers: self.queriers.iter().map(|n| n.meter).collect(),
            list_polls: self.list_polls,
            probes: self.probes,
        };
        self.reset();
        sum
    }

    fn idle(&mut self, span: Span) -> Idle {
        self.reset();
        let from = self.now;
        self.run(span);
        let sum = self.take(from);
        let querier_state =
            self.queriers.iter().map(|querier| weight::watch(&querier.watch)).max().unwrap_or(0);
        let controller_state = self
            .controllers
            .iter()
            .map(|controller| weight::core(&controller.state))
            .max()
            .unwrap_or(0);
        let stored =
            self.controllers[0].state.partitions.iter().map(|p| weight::map(&p.committed)).sum();
        let view_ns = self.queriers.first().map_or(0, |querier| view(&querier.watch));
        Idle { sum, querier_state, controller_state, stored, list_bytes: self.list.len(), view_ns }
    }

    fn operate(&mut self, op: u64, operation: Operation) {
        let life = self.controllers[0].life;
        let request = format!("order-{op}");
        let event = grebepath_core::control_plane::controller::Event::Operate {
            op,
            request,
            expect: None,
            deed: operation,
        };
        self.push(
            MILLI,
            ScheduledEvent::ControllerEvent { controller: 0, life, event: Box::new(event) },
        );
    }

    /// An operator's change, until the last member obeys it.
    fn change(&mut self) -> Event {
        self.reset();
        let begin = self.now;
        let op = 1_000;
        let text = json!({ "zones": [{ "name": "mark", "state": "open" }] }).to_string();
        self.operate(op, Operation::Patch(text.into_bytes()));
        let old = self.committed_revision_of(0);
        let obeys = |world: &World| {
            world
                .queriers
                .iter()
                .filter(|querier| querier.up)
                .all(|querier| querier.watch.view.as_ref().is_some_and(|v| v.revision > old))
        };
        let last = self.until(PATIENCE, obeys);
        self.until(PATIENCE, |world| world.results.contains_key(&op));
        let accepted = match self.results.get(&op) {
            Some((at, OperationResult::Accepted { .. })) => Some(at - begin),
            _ => None,
        };
        self.run(SETTLE);
        Event { accepted, last, sum: self.take(begin) }
    }

    /// The platform's list names one more leaf, until the last member holds it.
    fn leaf_comes(&mut self) -> Event {
        self.reset();
        let begin = self.now;
        let mut new =
            plan::leaf(self.leafs.len() + plan::LEAFS_A_SHARD * plan::SHARDS, self.size.leafs);
        new.leaf = format!("{}-new", new.service);
        let name = new.leaf.clone();
        self.leafs.push(new);
        self.list = std::rc::Rc::new(plan::list(&self.leafs));
        let holds = |world: &World| {
            world.queriers.iter().filter(|querier| querier.up).all(|querier| {
                querier.watch.view.as_ref().is_some_and(|v| v.leafs.contains_key(&name))
            })
        };
        let last = self.until(PATIENCE, holds);
        // Its age is told after its first probe.
        self.run(SETTLE);
        Event { accepted: None, last, sum: self.take(begin) }
    }

    /// One more front, until it has its share and all know it.
    fn member_comes(&mut self) -> Event {
        self.reset();
        let begin = self.now;
        let querier = self.add_querier();
        self.start_querier(querier);
        let last = self.until(PATIENCE, World::whole);
        self.run(SETTLE);
        Event { accepted: None, last, sum: self.take(begin) }
    }

    /// Fronts and controllers end at once and start again, until all is whole.
    fn restart(&mut self, queriers: &[usize], seats: &[usize]) -> Event {
        self.reset();
        for querier in queriers {
            self.kill_querier(*querier);
            self.push(RESTART, ScheduledEvent::StartQuerier { querier: *querier });
        }
        for controller in seats {
            self.kill_controller(*controller);
            self.push(RESTART, ScheduledEvent::StartController { controller: *controller });
        }
        let begin = self.now;
        self.run(RESTART + MILLI);
        let back = self.until(PATIENCE, World::whole);
        let last = back.map(|_| self.now - begin);
        self.run(SETTLE);
        Event { accepted: None, last, sum: self.take(begin) }
    }
}

/// Measures one size.
pub fn measure(size: Size, seed: u64, wish: Measurements) -> Findings {
    let mut world = World::new(size, seed);
    let begin = world.now;
    world.reset();
    let conf = plan::config(size.leafs).to_string().into_bytes();
    world.operate(1, Operation::Replace(conf));
    let start = world.until(PATIENCE, World::whole);
    let start_sum = world.take(begin);
    world.run(SETTLE);
    let resident_bytes = cost::resident_bytes();
    let idle = world.idle(wish.idle);
    let mut events = Vec::new();
    if wish.single {
        events.push(("one configuration change", world.change()));
        events.push(("one leaf coming", world.leaf_comes()));
        events.push(("one member coming", world.member_comes()));
    }
    if wish.restarts {
        let n = world.queriers.len();
        let few: Vec<usize> = (0..n.div_ceil(100)).map(|i| i * 100 % n).collect();
        events.push(("restart of 1%", world.restart(&few, &[])));
        let zone = plan::controller_zone(1);
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

/// What it takes to read all leafs that are held and to make a view of them.
fn view(world: &grebepath_core::membership::node_agent::NodeAgent) -> u64 {
    let mut took = 0;
    cost::timed(&mut took, || {
        let list = world
            .partitions
            .values()
            .flat_map(|h| grebepath_core::snapshot::leafs::leafs_in(&h.entries).into_values());
        grebepath_core::snapshot::cluster_view::view(
            world.configuration_revision,
            world.configuration.clone(),
            list.collect(),
        )
    });
    took
}
