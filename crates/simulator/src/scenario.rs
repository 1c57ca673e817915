//! Scenarios: what a run is made of, read from JSON with all findings, and
//! how each trouble befalls the world.

use std::fmt;

use grebepath_core::diagnostic::{Diagnostic, find};
use grebepath_core::time::{SECOND, ms};
use serde_json::Value;

use crate::mock_backends;
use crate::mock_backends::{Alive, ListMode, Mode, ZONES};
use crate::net::{Node, cut};
use crate::simulated_disk::Health;
use crate::spec::{self, Spec};
use crate::world::{self, DueKey, World};

/// A whole scenario.
#[derive(Clone)]
pub struct Scenario {
    pub name: String,
    pub seconds: u64,
    pub queriers: usize,
    /// Times the spec's rates of calls.
    pub factor: f64,
    pub spec: Spec,
    pub config: Value,
    pub troubles: Vec<Trouble>,
    /// Whether leafs tell their age.
    pub ages: bool,
    pub core: world::Cores,
}

/// One trouble, at its time.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub at_ms: u64,
    pub what: String,
    pub val: Value,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.what, self.val)
    }
}

/// The words for troubles, each with the fields it may have beside `at_s`.
const WORDS: &[(&str, &[&str])] = &[
    ("kill-seat", &["which", "for_s", "power", "lose"]),
    ("stop-seat", &["which", "for_s"]),
    ("kill-querier", &["which", "for_s"]),
    ("stop-querier", &["which", "for_s"]),
    ("restart-all", &["power", "for_s", "down", "lose"]),
    ("start-seat", &["which"]),
    ("add-seat", &["zone"]),
    ("seeds", &["list"]),
    ("pause-seat", &["which", "for_s"]),
    ("pause-querier", &["which", "for_s"]),
    ("disk", &["which", "health", "ms"]),
    ("flip", &["which"]),
    ("cut", &["a", "b", "one_way"]),
    ("heal", &[]),
    ("loss", &["per_mille"]),
    ("slow-net", &["ms"]),
    ("leafs", &["service", "zone", "count", "mode", "ms", "every"]),
    ("weaken-leafs", &["service", "zone", "count", "pct"]),
    ("kill-leafs", &["service", "zone", "count", "vanish"]),
    ("restart-leafs", &["service", "zone", "count"]),
    ("leave-leafs", &["service", "zone", "count"]),
    ("reuse", &["service", "zone", "count", "by"]),
    ("list", &["mode"]),
    ("drain", &["zone"]),
    ("undrain", &["zone"]),
    ("apply", &["config"]),
    ("patch", &["config"]),
    ("grow", &["pools", "bytes"]),
    ("storm", &["count", "gap_ms"]),
    ("race", &["count"]),
    ("add-leafs", &["service", "zone", "count"]),
    ("mend-all", &["factor"]),
    ("load", &["factor"]),
];

/// Reads a scenario. `load` fetches a deployment's files by name.
pub fn read(
    text: &[u8],
    load: &dyn Fn(&str) -> Result<Value, String>,
) -> Result<Scenario, Vec<Diagnostic>> {
    let mut all = Vec::new();
    let val: Value = match serde_json::from_slice(text) {
        Ok(val) => val,
        Err(e) => {
            find(&mut all, format!("$:{}:{}", e.line(), e.column()), format!("not JSON: {e}"));
            return Err(all);
        }
    };
    let known = [
        "name",
        "seconds",
        "queriers",
        "factor",
        "deployment",
        "config",
        "troubles",
        "ages",
        "seats",
        "controllers",
    ];
    for key in val.as_object().into_iter().flat_map(|m| m.keys()) {
        if !known.contains(&key.as_str()) {
            find(&mut all, key, format!("unknown field; known are {}", known.join(", ")));
        }
    }
    let name = val["deployment"].as_str().unwrap_or("mohalla");
    let spec = load(&format!("{name}.standins.json")).and_then(|v| spec::parse(&v));
    let config = match val.get("config") {
        Some(conf) => Ok(conf.clone()),
        None => load(&format!("{name}.json")),
    };
    for e in [spec.as_ref().err(), config.as_ref().err()].into_iter().flatten() {
        find(&mut all, "deployment", e.clone());
    }
    let seconds = whole(&val, "seconds", 1, 86_400, &mut all);
    let queriers = whole(&val, "queriers", 1, 200, &mut all) as usize;
    let factor = val["factor"].as_f64().unwrap_or(1.0);
    if !(0.001..=100.0).contains(&factor) {
        find(&mut all, "factor", "expected a number from 0.001 to 100");
    }
    let core = cores(&val, &mut all);
    let listed = val["troubles"].as_array().into_iter().flatten();
    let machines = core.machines + listed.filter(|t| t["do"] == "add-seat").count();
    let mut troubles = Vec::new();
    for (i, t) in val["troubles"].as_array().into_iter().flatten().enumerate() {
        if let Some(t) = trouble(&format!("troubles[{i}]"), t, (queriers, machines), &mut all) {
            troubles.push(t);
        }
    }
    match (spec, config) {
        (Ok(spec), Ok(config)) if all.is_empty() => Ok(Scenario {
            name: val["name"].as_str().unwrap_or("unnamed").to_string(),
            seconds,
            queriers,
            factor,
            spec,
            config,
            troubles,
            ages: val["ages"].as_bool().unwrap_or(true),
            core,
        }),
        _ => Err(all),
    }
}

/// The core: three controllers that are told their seats, unless the scenario
/// says how many seats there are, or how many controllers.
fn cores(val: &Value, all: &mut Vec<Diagnostic>) -> world::Cores {
    if val.get("seats").is_none() && val.get("controllers").is_none() {
        return world::three();
    }
    let seats = whole(val, "seats", 1, 9, all) as usize;
    let machines = whole(val, "controllers", 1, 12, all) as usize;
    if seats.is_multiple_of(2) || machines < seats {
        find(all, "seats", "expected an odd number of seats and a controller for each");
    }
    world::Cores { seats, machines, told: false, seeds: (0..machines.min(3)).collect() }
}

fn whole(val: &Value, key: &str, low: u64, high: u64, all: &mut Vec<Diagnostic>) -> u64 {
    match val[key].as_u64() {
        Some(n) if (low..=high).contains(&n) => n,
        _ => {
            find(all, key, format!("expected a whole number from {low} to {high}"));
            low
        }
    }
}

fn trouble(
    at: &str,
    val: &Value,
    (queriers, seats): (usize, usize),
    all: &mut Vec<Diagnostic>,
) -> Option<Trouble> {
    let before = all.len();
    let what = val["do"].as_str().unwrap_or_default().to_string();
    let Some((_, fields)) = WORDS.iter().find(|w| w.0 == what) else {
        let words: Vec<&str> = WORDS.iter().map(|w| w.0).collect();
        find(all, format!("{at}.do"), format!("expected one of {}", words.join(", ")));
        return None;
    };
    let Some(at_s) = val["at_s"].as_f64().filter(|t| (0.0..=86_400.0).contains(t)) else {
        find(all, format!("{at}.at_s"), "expected a time in seconds");
        return None;
    };
    for key in val.as_object().into_iter().flat_map(|m| m.keys()) {
        if key != "do" && key != "at_s" && !fields.contains(&key.as_str()) {
            find(all, format!("{at}.{key}"), format!("`{what}` has no such field"));
        }
    }
    if fields.contains(&"which") {
        let top = if what.ends_with("querier") { queriers } else { seats };
        if val["which"].as_u64().is_none_or(|n| n as usize >= top) {
            find(all, format!("{at}.which"), format!("expected a number below {top}"));
        }
    }
    if fields.contains(&"mode") && what == "leafs" && mode(val).is_none() {
        find(all, format!("{at}.mode"), "unknown mode of leafs");
    }
    if what == "list" && list_mode(val).is_none() {
        find(all, format!("{at}.mode"), "expected good, empty, garbage, dead or stale");
    }
    if what == "disk" && health(val).is_none() {
        find(all, format!("{at}.health"), "expected good, slow, full or stalled");
    }
    if what == "cut" {
        for side in ["a", "b"] {
            for n in val[side].as_array().into_iter().flatten() {
                if n.as_str().is_none_or(|n| nodes(n, queriers, seats).is_empty()) {
                    find(all, format!("{at}.{side}"), format!("{n} names no machine"));
                }
            }
        }
    }
    (all.len() == before).then(|| Trouble { at_ms: (at_s * 1000.0) as u64, what, val: val.clone() })
}

/// A trouble that a generator made, which is well formed.
pub fn drawn(val: &Value) -> Trouble {
    Trouble {
        at_ms: (val["at_s"].as_f64().unwrap_or(0.0) * 1000.0) as u64,
        what: val["do"].as_str().unwrap_or_default().to_string(),
        val: val.clone(),
    }
}

/// The machines that a word names.
fn nodes(word: &str, queriers: usize, machines: usize) -> Vec<Node> {
    let seats = (0..machines as u8).map(Node::Controller);
    let all = (0..queriers).map(Node::Querier);
    match word {
        "list" => vec![Node::List],
        "seats" => seats.collect(),
        "queriers" => all.collect(),
        "all" => seats.chain(all).chain([Node::List]).collect(),
        _ => {
            if let Some(zone) = word.strip_prefix("zone-") {
                let Some(z) = ZONES.iter().position(|n| *n == zone) else { return Vec::new() };
                let own = (0..queriers).filter(|q| q % 3 == z).map(Node::Querier);
                return seats.skip(z).step_by(ZONES.len()).chain(own).collect();
            }
            if let Some(n) = word.strip_prefix("seat").and_then(|n| n.parse::<u8>().ok()) {
                let known = usize::from(n) < machines;
                return if known { vec![Node::Controller(n)] } else { Vec::new() };
            }
            match word.strip_prefix('q').and_then(|n| n.parse::<usize>().ok()) {
                Some(n) if n < queriers => vec![Node::Querier(n)],
                _ => Vec::new(),
            }
        }
    }
}

fn mode(val: &Value) -> Option<Mode> {
    let span = ms(val["ms"].as_u64().unwrap_or(200));
    Some(match val["mode"].as_str()? {
        "good" => Mode::Good,
        "slow" => Mode::Slow(span),
        "dark" => Mode::Dark,
        "pauses" => Mode::Pauses { every: ms(val["every"].as_u64().unwrap_or(3_000)), pause: span },
        "garbage" => Mode::Garbage,
        "disorder" => Mode::Disorder,
        "no-postmark" => Mode::NoPostmark,
        "two-postmarks" => Mode::TwoPostmarks,
        "stale-postmark" => Mode::StalePostmark,
        "wrong-cut" => Mode::WrongCut,
        "unrun" => Mode::Unrun,
        _ => return None,
    })
}

fn list_mode(val: &Value) -> Option<ListMode> {
    Some(match val["mode"].as_str()? {
        "good" => ListMode::Good,
        "empty" => ListMode::Empty,
        "garbage" => ListMode::Garbage,
        "dead" => ListMode::Dead,
        "stale" => ListMode::Stale,
        _ => return None,
    })
}

fn health(val: &Value) -> Option<Health> {
    Some(match val["health"].as_str()? {
        "good" => Health::Good,
        "slow" => Health::Slow(ms(val["ms"].as_u64().unwrap_or(100))),
        "full" => Health::Full,
        "stalled" => Health::Stalled,
        _ => return None,
    })
}

fn matching(w: &World, val: &Value) -> Vec<String> {
    let fits = |key: &str, has: &str| val[key].as_str().is_none_or(|want| want == has);
    let mut list: Vec<String> = w
        .backs
        .leafs
        .values()
        .filter(|l| {
            l.alive == Alive::Up && fits("service", &l.service.name) && fits("zone", &l.zone)
        })
        .map(|l| l.name.clone())
        .collect();
    if let Some(n) = val["count"].as_u64() {
        list.truncate(n as usize);
    }
    list
}

/// A trouble befalls the world.
pub fn befall(w: &mut World, t: &Trouble) {
    let val = &t.val;
    let which = val["which"].as_u64().unwrap_or(0) as usize;
    let lasts = val["for_s"].as_f64().map(|s| (s * SECOND as f64) as u64);
    match t.what.as_str() {
        "kill-seat" => {
            world::kill_seat(w, which, val["power"].as_bool().unwrap_or(false));
            if val["lose"].as_bool().unwrap_or(false) {
                crate::simulated_disk::lose(&mut w.seats[which].disk);
                w.lost_disks += 1;
            }
            if let Some(span) = lasts {
                world::later(w, span, DueKey::StartSeat(which));
            }
        }
        "stop-seat" => world::stop_seat(w, which, lasts),
        "start-seat" if !w.seats[which].up => world::start_seat(w, which),
        "start-seat" => {}
        "add-seat" => {
            world::add_seat(w, val["zone"].as_str());
        }
        "seeds" => {
            let list = val["list"].as_array().into_iter().flatten();
            w.core.seeds = list.filter_map(|n| Some(n.as_u64()? as usize)).collect();
        }
        "kill-querier" => {
            world::kill_querier(w, which);
            if let Some(span) = lasts {
                world::later(w, span, DueKey::StartQuerier(which));
            }
        }
        "stop-querier" => {
            world::stop_querier(w, which);
            // It drains, ends, and is started again.
            if let Some(span) = lasts {
                world::later(w, span, DueKey::StartQuerier(which));
            }
        }
        "restart-all" => restart_all(w, val, lasts),
        "pause-seat" => w.seats[which].paused = w.now + lasts.unwrap_or(5 * SECOND),
        "pause-querier" => w.queriers[which].paused = w.now + lasts.unwrap_or(5 * SECOND),
        "disk" => {
            if let Some(health) = health(val) {
                world::disk_health(w, which, health);
            }
        }
        "flip" => {
            let mut luck = grebepath_core::random::Random::new(w.luck.next_u64());
            crate::simulated_disk::flip(&mut w.seats[which].disk, &mut luck);
        }
        "cut" => cuts(w, val),
        "heal" => {
            w.net.cuts.clear();
            w.net.loss = 0;
            w.net.slow = 0;
        }
        "loss" => w.net.loss = val["per_mille"].as_u64().unwrap_or(10),
        "slow-net" => w.net.slow = ms(val["ms"].as_u64().unwrap_or(20)),
        "list" => w.backs.list_mode = list_mode(val).unwrap_or(ListMode::Good),
        "drain" => order_zone(w, val, true),
        "undrain" => order_zone(w, val, false),
        "apply" => {
            world::order(w, 0, world::whole(&val["config"]));
        }
        "patch" => {
            world::order(w, 0, world::patch(&val["config"]));
        }
        "grow" => {
            let pools = val["pools"].as_u64().unwrap_or(500);
            let bytes = val["bytes"].as_u64().unwrap_or(2_000) as usize;
            world::order(w, 0, world::grown(pools, bytes));
        }
        "storm" => {
            let left = val["count"].as_u64().unwrap_or(50).max(1);
            let gap = ms(val["gap_ms"].as_u64().unwrap_or(20));
            world::later(w, 0, DueKey::Storm { left, gap });
        }
        "race" => world::race(w, val["count"].as_u64().unwrap_or(8)),
        "add-leafs" => add_leafs(w, val),
        "mend-all" => mend_all(w, val["factor"].as_f64().unwrap_or(w.factor)),
        "load" => w.factor = val["factor"].as_f64().unwrap_or(1.0),
        _ => leafs(w, t),
    }
}

/// Everything ends and starts again; the seat `down` stays down, and those
/// named by `lose` come back with empty disks.
fn restart_all(w: &mut World, val: &Value, lasts: Option<u64>) {
    let power = val["power"].as_bool().unwrap_or(false);
    let seat = |key: &str| val[key].as_u64().map(|n| n as usize).filter(|n| *n < w.seats.len());
    let down = seat("down");
    let one = val["lose"].as_u64();
    let more = val["lose"].as_array().into_iter().flatten().filter_map(Value::as_u64);
    let lose: Vec<usize> = one.into_iter().chain(more).map(|n| n as usize).collect();
    let alive: Vec<usize> = (0..w.seats.len()).filter(|s| w.seats[*s].up).collect();
    for s in 0..w.seats.len() {
        world::kill_seat(w, s, power);
    }
    for q in 0..w.queriers.len() {
        world::kill_querier(w, q);
    }
    for s in lose {
        if let Some(n) = w.seats.get_mut(s) {
            crate::simulated_disk::lose(&mut n.disk);
            w.lost_disks += 1;
        }
    }
    let span = lasts.unwrap_or(SECOND);
    // Who is gone for good does not come back.
    for s in alive.into_iter().filter(|s| Some(*s) != down) {
        world::later(w, span, DueKey::StartSeat(s));
    }
    for q in 0..w.queriers.len() {
        world::later(w, span, DueKey::StartQuerier(q));
    }
    expect_back(w, span);
}

/// New leafs on new machines for a service.
fn add_leafs(w: &mut World, val: &Value) {
    let now = w.now;
    let name = val["service"].as_str().unwrap_or_default();
    let Some(service) = w.backs.leafs.values().map(|l| &l.service).find(|s| s.name == name) else {
        return;
    };
    let service = service.clone();
    for i in 0..val["count"].as_u64().unwrap_or(1) as usize {
        let zone = val["zone"].as_str().unwrap_or(mock_backends::ZONES[i % 3]).to_string();
        let addr = mock_backends::address(&w.backs);
        mock_backends::begin(&mut w.backs, service.clone(), &zone, addr, now);
    }
    mock_backends::changed(&mut w.backs, now);
}

/// All troubles end: from now on the fleet has 12 s to be whole again.
fn mend_all(w: &mut World, factor: f64) {
    w.net.cuts.clear();
    (w.net.loss, w.net.slow) = (0, 0);
    w.backs.list_mode = ListMode::Good;
    w.factor = factor;
    for l in w.backs.leafs.values_mut() {
        (l.mode, l.strength) = (Mode::Good, 100);
    }
    for s in 0..w.seats.len() {
        world::disk_health(w, s, Health::Good);
        w.seats[s].paused = w.seats[s].paused.min(w.now);
        if !w.seats[s].up {
            world::start_seat(w, s);
        }
    }
    for q in 0..w.queriers.len() {
        w.queriers[q].paused = w.queriers[q].paused.min(w.now);
        if !w.queriers[q].up {
            world::start_querier(w, q);
        }
    }
    for zone in mock_backends::ZONES {
        world::order(w, 0, world::drain(zone, false));
    }
    expect_back(w, 0);
}

/// After `span` service has 12 s to be back.
fn expect_back(w: &mut World, span: u64) {
    let at = world::age(w) + span;
    w.rules.restarts.push(crate::rules::Restart { at, ..Default::default() });
    // The operator's patience is less than what is left of the 12 s.
    let restart = w.rules.restarts.len() - 1;
    world::later(w, span + 6 * SECOND, DueKey::Proof { restart });
}

fn cuts(w: &mut World, val: &Value) {
    let (n, seats) = (w.queriers.len(), w.seats.len());
    let side = |key: &str| -> Vec<Node> {
        val[key]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|v| v.as_str())
            .flat_map(|word| nodes(word, n, seats))
            .collect()
    };
    let (a, b) = (side("a"), side("b"));
    for x in &a {
        for y in b.iter().filter(|y| !a.contains(y)) {
            if val["one_way"].as_bool().unwrap_or(false) {
                w.net.cuts.insert((*x, *y));
            } else {
                cut(&mut w.net, *x, *y);
            }
        }
    }
}

fn order_zone(w: &mut World, val: &Value, on: bool) {
    let zone = val["zone"].as_str().unwrap_or("a").to_string();
    world::order(w, 0, world::drain(&zone, on));
}

fn leafs(w: &mut World, t: &Trouble) {
    let now = w.now;
    for name in matching(w, &t.val) {
        let Some(l) = w.backs.leafs.get_mut(&name) else { continue };
        match t.what.as_str() {
            "leafs" => l.mode = mode(&t.val).unwrap_or(Mode::Good),
            "leave-leafs" => l.leaving = true,
            "weaken-leafs" => {
                l.strength = t.val["pct"].as_u64().unwrap_or(50).clamp(1, 100) as u32;
            }
            "kill-leafs" => {
                let vanish = t.val["vanish"].as_bool().unwrap_or(false);
                world::kill_leaf(w, &name, if vanish { Alive::Vanished } else { Alive::Down });
            }
            "restart-leafs" | "reuse" => {
                let (mut service, zone, addr) = (l.service.clone(), l.zone.clone(), l.addr.clone());
                world::kill_leaf(w, &name, Alive::Down);
                if t.what == "reuse" {
                    let by = t.val["by"].as_str().unwrap_or("stranger");
                    // A leaf of a service that we know bears what that bears.
                    let known = w.backs.leafs.values().find(|l| l.service.name == by);
                    service = known.map_or(service, |l| l.service.clone());
                    service.name = by.to_string();
                }
                mock_backends::begin(&mut w.backs, service, &zone, addr, now);
            }
            _ => {}
        }
    }
    mock_backends::changed(&mut w.backs, now);
}

/// Runs a scenario to its end.
pub fn play(s: &Scenario, seed: u64, broken: Option<world::Broken>) -> World {
    play_weighed(s, seed, broken, false)
}

/// `play`, with messages weighed from the moment the fleet has come up.
pub fn play_weighed(s: &Scenario, seed: u64, broken: Option<world::Broken>, weigh: bool) -> World {
    let mut w = come_up(s, seed, broken);
    w.net.weights = weigh.then(Default::default);
    play_on(&mut w, s);
    w
}

/// `play`, with faults at numbered events of the controllers. Their window is
/// given in time of the scenario.
pub fn play_deviating(
    s: &Scenario,
    seed: u64,
    broken: Option<world::Broken>,
    deviations: world::Deviations,
) -> World {
    let mut w = come_up(s, seed, broken);
    let began = world::since_begin(&w);
    let (from, to) = deviations.window;
    w.deviations = world::Deviations { window: (began + from, began + to), ..deviations };
    play_on(&mut w, s);
    w
}

/// `play_deviating`, with the hash of all messages kept from the moment the fleet
/// has come up.
pub fn play_traced(s: &Scenario, seed: u64, deviations: world::Deviations) -> World {
    let mut w = come_up(s, seed, None);
    w.net.trace = Some(0);
    let began = world::since_begin(&w);
    let (from, to) = deviations.window;
    w.deviations = world::Deviations { window: (began + from, began + to), ..deviations };
    play_on(&mut w, s);
    w
}

/// A fleet that has come up, before anything happens.
fn come_up(s: &Scenario, seed: u64, broken: Option<world::Broken>) -> World {
    let mut w = world::world(&s.spec, s.core.clone(), s.queriers, seed);
    w.broken = broken;
    w.backs.ages = s.ages;
    world::order(&mut w, ms(200), world::whole(&s.config));
    world::until(&mut w, 20 * SECOND, |w| {
        world::settled(w) && !w.orders.is_empty() && w.orders[0].done.is_some()
    });
    world::run(&mut w, 2 * SECOND);
    w
}

/// Lets the scenario happen to a fleet that has come up.
fn play_on(w: &mut World, s: &Scenario) {
    let troubles = s.troubles.clone();
    world::plan(w, troubles);
    world::begin_calls(w, s.factor);
    world::run(w, s.seconds * SECOND);
    w.calls_end = w.now;
    world::run(w, 3 * SECOND);
    world::finish(w);
}
