//! What is done with a hollow fleet, and what is read off it.

use grebepath_core::protocol::message::{Operation, OperationResult};
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::time::{MILLI, SECOND, Span, Tick};
use serde_json::json;

use crate::scale_model::cost;
use crate::scale_model::cost::{Cell, Meter, Ways};
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
pub struct Wish {
    /// Length of the calm time that is measured.
    pub calm: Span,
    /// The cost of single changes.
    pub single: bool,
    /// Restarts of a part of the fleet and of all of it.
    pub restarts: bool,
}

/// What one size came to.
pub struct Found {
    pub size: Size,
    /// Time until all were whole after the first start.
    pub start: Option<Span>,
    pub start_sum: Sum,
    pub calm: Calm,
    pub events: Vec<(&'static str, Event)>,
    /// Memory of this process when all were whole (bytes).
    pub resident: u64,
    pub alarms: u64,
}

/// What passed in some time.
#[derive(Clone, Default)]
pub struct Sum {
    pub span: Span,
    pub ways: Ways,
    pub seats: Vec<Meter>,
    pub fronts: Vec<Meter>,
    pub polls: Cell,
    pub probes: u64,
}

/// A calm time, and what is held meanwhile.
pub struct Calm {
    pub sum: Sum,
    /// State of the heaviest querier and controller (bytes).
    pub front_state: usize,
    pub seat_state: usize,
    /// Of these, one copy of what is stored.
    pub stored: usize,
    pub list_bytes: usize,
    /// Processor time for a view of all leafs, made once more (ns).
    pub view_ns: u64,
}

/// One thing that happened, and what it cost.
pub struct Event {
    /// When an operator heard that it is accepted.
    pub told: Option<Span>,
    /// When the last member was there.
    pub last: Option<Span>,
    /// All that passed until then, and what a calm time of that length costs.
    pub sum: Sum,
}

/// Measures one size.
pub fn measure(size: Size, seed: u64, wish: Wish) -> Found {
    let mut w = world::world(size, seed);
    let begin = w.now;
    reset(&mut w);
    let conf = plan::config(size.leafs).to_string().into_bytes();
    operate(&mut w, 1, Operation::Replace(conf));
    let start = world::until(&mut w, PATIENCE, world::whole);
    let start_sum = take(&mut w, begin);
    world::run(&mut w, SETTLE);
    let resident = cost::resident();
    let calm = calm(&mut w, wish.calm);
    let mut events = Vec::new();
    if wish.single {
        events.push(("one configuration change", change(&mut w)));
        events.push(("one leaf coming", leaf_comes(&mut w)));
        events.push(("one member coming", member_comes(&mut w)));
    }
    if wish.restarts {
        let n = w.fronts.len();
        let few: Vec<usize> = (0..n.div_ceil(100)).map(|i| i * 100 % n).collect();
        events.push(("restart of 1%", restart(&mut w, &few, &[])));
        let zone = plan::seat_zone(1);
        let list: Vec<usize> = (0..n).filter(|f| w.fronts[*f].zone == zone).collect();
        events.push(("restart of a zone", restart(&mut w, &list, &[1])));
        let all: Vec<usize> = (0..n).collect();
        let seats: Vec<usize> = (0..w.seats.len()).collect();
        events.push(("restart of all", restart(&mut w, &all, &seats)));
    }
    let alarms = w.alarms.values().sum();
    Found { size, start, start_sum, calm, events, resident, alarms }
}

fn reset(w: &mut World) {
    w.ways.clear();
    w.polls = Cell::default();
    w.probes = 0;
    for n in &mut w.seats {
        n.meter = Meter::default();
    }
    for n in &mut w.fronts {
        n.meter = Meter::default();
    }
}

fn take(w: &mut World, from: Tick) -> Sum {
    let sum = Sum {
        span: w.now - from,
        ways: w.ways.clone(),
        seats: w.seats.iter().map(|n| n.meter).collect(),
        fronts: w.fronts.iter().map(|n| n.meter).collect(),
        polls: w.polls,
        probes: w.probes,
    };
    reset(w);
    sum
}

fn calm(w: &mut World, span: Span) -> Calm {
    reset(w);
    let from = w.now;
    world::run(w, span);
    let sum = take(w, from);
    let front_state = w.fronts.iter().map(|f| weight::watch(&f.watch)).max().unwrap_or(0);
    let seat_state = w.seats.iter().map(|s| weight::core(&s.core)).max().unwrap_or(0);
    let stored = w.seats[0].core.partitions.iter().map(|p| weight::map(&p.committed)).sum();
    let view_ns = w.fronts.first().map_or(0, |f| view(&f.watch));
    Calm { sum, front_state, seat_state, stored, list_bytes: w.list.len(), view_ns }
}

/// What it takes to read all leafs that are held and to make a view of them.
fn view(w: &grebepath_core::membership::node_agent::Watch) -> u64 {
    let mut took = 0;
    cost::timed(&mut took, || {
        let list = w
            .held
            .values()
            .flat_map(|h| grebepath_core::control_plane::endpoints::all(&h.map).into_values());
        ClusterView::new(w.built_revision, w.built.clone(), list.collect())
    });
    took
}

fn operate(w: &mut World, op: u64, deed: Operation) {
    let life = w.seats[0].life;
    let request = format!("order-{op}");
    let event = grebepath_core::control_plane::controller::Event::Operate {
        op,
        request,
        expect: None,
        deed,
    };
    world::push(w, MILLI, ScheduledEvent::SeatTakes { s: 0, life, event: Box::new(event) });
}

/// An operator's change, until the last member obeys it.
fn change(w: &mut World) -> Event {
    reset(w);
    let begin = w.now;
    let op = 1_000;
    let text = json!({ "zones": [{ "name": "mark", "state": "open" }] }).to_string();
    operate(w, op, Operation::Patch(text.into_bytes()));
    let old = world::top(w, 0);
    let obeys = |w: &World| {
        w.fronts
            .iter()
            .filter(|f| f.up)
            .all(|f| f.watch.view.as_ref().is_some_and(|v| v.revision > old))
    };
    let last = world::until(w, PATIENCE, obeys);
    world::until(w, PATIENCE, |w| w.done.contains_key(&op));
    let told = match w.done.get(&op) {
        Some((at, OperationResult::Accepted { .. })) => Some(at - begin),
        _ => None,
    };
    world::run(w, SETTLE);
    Event { told, last, sum: take(w, begin) }
}

/// The platform's list names one more leaf, until the last member holds it.
fn leaf_comes(w: &mut World) -> Event {
    reset(w);
    let begin = w.now;
    let mut new = plan::leaf(w.leafs.len() + plan::LEAFS_A_SHARD * plan::SHARDS, w.size.leafs);
    new.leaf = format!("{}-new", new.service);
    let name = new.leaf.clone();
    w.leafs.push(new);
    w.list = std::rc::Rc::new(plan::list(&w.leafs));
    let holds = |w: &World| {
        w.fronts
            .iter()
            .filter(|f| f.up)
            .all(|f| f.watch.view.as_ref().is_some_and(|v| v.leafs.contains_key(&name)))
    };
    let last = world::until(w, PATIENCE, holds);
    // Its age is told after its first probe.
    world::run(w, SETTLE);
    Event { told: None, last, sum: take(w, begin) }
}

/// One more front, until it has its share and all know it.
fn member_comes(w: &mut World) -> Event {
    reset(w);
    let begin = w.now;
    let f = world::add_front(w);
    world::start_front(w, f);
    let last = world::until(w, PATIENCE, world::whole);
    world::run(w, SETTLE);
    Event { told: None, last, sum: take(w, begin) }
}

/// Fronts and controllers end at once and start again, until all is whole.
fn restart(w: &mut World, fronts: &[usize], seats: &[usize]) -> Event {
    reset(w);
    for f in fronts {
        world::kill_front(w, *f);
        world::push(w, RESTART, ScheduledEvent::StartFront { f: *f });
    }
    for s in seats {
        world::kill_seat(w, *s);
        world::push(w, RESTART, ScheduledEvent::StartSeat { s: *s });
    }
    let begin = w.now;
    world::run(w, RESTART + MILLI);
    let back = world::until(w, PATIENCE, world::whole);
    let last = back.map(|_| w.now - begin);
    world::run(w, SETTLE);
    Event { told: None, last, sum: take(w, begin) }
}
