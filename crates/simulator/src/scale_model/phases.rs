//! What is done with a hollow fleet, and what is read off it.

use grebepath_core::protocol::message::{Operation, OperationResult};
use grebepath_core::time::{MILLI, SECOND, Span, Tick};
use serde_json::json;

use crate::scale_model::cost;
use crate::scale_model::cost::{Cell, Meter, Traffic};
use crate::scale_model::plan;
use crate::scale_model::plan::Size;
use crate::scale_model::weight;
use crate::scale_model::world;
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

/// Measures one size.
pub fn measure(size: Size, seed: u64, wish: Measurements) -> Findings {
    let mut world = world::world(size, seed);
    let begin = world.now;
    reset(&mut world);
    let conf = plan::config(size.leafs).to_string().into_bytes();
    operate(&mut world, 1, Operation::Replace(conf));
    let start = world::until(&mut world, PATIENCE, world::whole);
    let start_sum = take(&mut world, begin);
    world::run(&mut world, SETTLE);
    let resident_bytes = cost::resident_bytes();
    let idle = idle(&mut world, wish.idle);
    let mut events = Vec::new();
    if wish.single {
        events.push(("one configuration change", change(&mut world)));
        events.push(("one leaf coming", leaf_comes(&mut world)));
        events.push(("one member coming", member_comes(&mut world)));
    }
    if wish.restarts {
        let n = world.queriers.len();
        let few: Vec<usize> = (0..n.div_ceil(100)).map(|i| i * 100 % n).collect();
        events.push(("restart of 1%", restart(&mut world, &few, &[])));
        let zone = plan::controller_zone(1);
        let list: Vec<usize> =
            (0..n).filter(|querier| world.queriers[*querier].zone == zone).collect();
        events.push(("restart of a zone", restart(&mut world, &list, &[1])));
        let all: Vec<usize> = (0..n).collect();
        let controllers: Vec<usize> = (0..world.controllers.len()).collect();
        events.push(("restart of all", restart(&mut world, &all, &controllers)));
    }
    let alarms = world.alarms.values().sum();
    Findings { size, start, start_sum, idle, events, resident_bytes, alarms }
}

fn reset(world: &mut World) {
    world.traffic.clear();
    world.list_polls = Cell::default();
    world.probes = 0;
    for n in &mut world.controllers {
        n.meter = Meter::default();
    }
    for n in &mut world.queriers {
        n.meter = Meter::default();
    }
}

fn take(world: &mut World, from: Tick) -> Totals {
    let sum = Totals {
        span: world.now - from,
        traffic: world.traffic.clone(),
        controllers: world.controllers.iter().map(|n| n.meter).collect(),
        queriers: world.queriers.iter().map(|n| n.meter).collect(),
        list_polls: world.list_polls,
        probes: world.probes,
    };
    reset(world);
    sum
}

fn idle(world: &mut World, span: Span) -> Idle {
    reset(world);
    let from = world.now;
    world::run(world, span);
    let sum = take(world, from);
    let querier_state =
        world.queriers.iter().map(|querier| weight::watch(&querier.watch)).max().unwrap_or(0);
    let controller_state = world
        .controllers
        .iter()
        .map(|controller| weight::core(&controller.state))
        .max()
        .unwrap_or(0);
    let stored =
        world.controllers[0].state.partitions.iter().map(|p| weight::map(&p.committed)).sum();
    let view_ns = world.queriers.first().map_or(0, |querier| view(&querier.watch));
    Idle { sum, querier_state, controller_state, stored, list_bytes: world.list.len(), view_ns }
}

/// What it takes to read all leafs that are held and to make a view of them.
fn view(world: &grebepath_core::membership::node_agent::Watch) -> u64 {
    let mut took = 0;
    cost::timed(&mut took, || {
        let list = world
            .held
            .values()
            .flat_map(|h| grebepath_core::control_plane::endpoints::all(&h.map).into_values());
        grebepath_core::snapshot::cluster_view::view(
            world.built_revision,
            world.built.clone(),
            list.collect(),
        )
    });
    took
}

fn operate(world: &mut World, op: u64, operation: Operation) {
    let life = world.controllers[0].life;
    let request = format!("order-{op}");
    let event = grebepath_core::control_plane::controller::Event::Operate {
        op,
        request,
        expect: None,
        deed: operation,
    };
    world::push(
        world,
        MILLI,
        ScheduledEvent::ControllerEvent { controller: 0, life, event: Box::new(event) },
    );
}

/// An operator's change, until the last member obeys it.
fn change(world: &mut World) -> Event {
    reset(world);
    let begin = world.now;
    let op = 1_000;
    let text = json!({ "zones": [{ "name": "mark", "state": "open" }] }).to_string();
    operate(world, op, Operation::Patch(text.into_bytes()));
    let old = world::committed_revision_of(world, 0);
    let obeys = |world: &World| {
        world
            .queriers
            .iter()
            .filter(|querier| querier.up)
            .all(|querier| querier.watch.view.as_ref().is_some_and(|v| v.revision > old))
    };
    let last = world::until(world, PATIENCE, obeys);
    world::until(world, PATIENCE, |world| world.results.contains_key(&op));
    let accepted = match world.results.get(&op) {
        Some((at, OperationResult::Accepted { .. })) => Some(at - begin),
        _ => None,
    };
    world::run(world, SETTLE);
    Event { accepted, last, sum: take(world, begin) }
}

/// The platform's list names one more leaf, until the last member holds it.
fn leaf_comes(world: &mut World) -> Event {
    reset(world);
    let begin = world.now;
    let mut new =
        plan::leaf(world.leafs.len() + plan::LEAFS_A_SHARD * plan::SHARDS, world.size.leafs);
    new.leaf = format!("{}-new", new.service);
    let name = new.leaf.clone();
    world.leafs.push(new);
    world.list = std::rc::Rc::new(plan::list(&world.leafs));
    let holds =
        |world: &World| {
            world.queriers.iter().filter(|querier| querier.up).all(|querier| {
                querier.watch.view.as_ref().is_some_and(|v| v.leafs.contains_key(&name))
            })
        };
    let last = world::until(world, PATIENCE, holds);
    // Its age is told after its first probe.
    world::run(world, SETTLE);
    Event { accepted: None, last, sum: take(world, begin) }
}

/// One more front, until it has its share and all know it.
fn member_comes(world: &mut World) -> Event {
    reset(world);
    let begin = world.now;
    let querier = world::add_querier(world);
    world::start_querier(world, querier);
    let last = world::until(world, PATIENCE, world::whole);
    world::run(world, SETTLE);
    Event { accepted: None, last, sum: take(world, begin) }
}

/// Fronts and controllers end at once and start again, until all is whole.
fn restart(world: &mut World, queriers: &[usize], seats: &[usize]) -> Event {
    reset(world);
    for querier in queriers {
        world::kill_querier(world, *querier);
        world::push(world, RESTART, ScheduledEvent::StartQuerier { querier: *querier });
    }
    for controller in seats {
        world::kill_controller(world, *controller);
        world::push(world, RESTART, ScheduledEvent::StartController { controller: *controller });
    }
    let begin = world.now;
    world::run(world, RESTART + MILLI);
    let back = world::until(world, PATIENCE, world::whole);
    let last = back.map(|_| world.now - begin);
    world::run(world, SETTLE);
    Event { accepted: None, last, sum: take(world, begin) }
}
