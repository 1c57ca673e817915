//! Applies the steps of a scenario to the world.

use grebepath_core::time::{SECOND, ms};
use serde_json::Value;

use super::Trouble;
use super::values::{health, list_mode, mode, nodes};
use crate::mock_backends;
use crate::mock_backends::{Alive, ListMode, Mode};
use crate::net::{Node, cut};
use crate::simulated_disk::Health;
use crate::world::{self, DueKey, World};

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
            let mut luck = grebepath_core::random::luck(grebepath_core::random::draw(&mut w.luck));
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
pub(super) fn restart_all(w: &mut World, val: &Value, lasts: Option<u64>) {
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
pub(super) fn add_leafs(w: &mut World, val: &Value) {
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
pub(super) fn mend_all(w: &mut World, factor: f64) {
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
pub(super) fn expect_back(w: &mut World, span: u64) {
    let at = world::age(w) + span;
    w.rules.restarts.push(crate::rules::Restart { at, ..Default::default() });
    // The operator's patience is less than what is left of the 12 s.
    let restart = w.rules.restarts.len() - 1;
    world::later(w, span + 6 * SECOND, DueKey::Proof { restart });
}

pub(super) fn cuts(w: &mut World, val: &Value) {
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

pub(super) fn order_zone(w: &mut World, val: &Value, on: bool) {
    let zone = val["zone"].as_str().unwrap_or("a").to_string();
    world::order(w, 0, world::drain(&zone, on));
}

pub(super) fn leafs(w: &mut World, t: &Trouble) {
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

pub(super) fn matching(w: &World, val: &Value) -> Vec<String> {
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
