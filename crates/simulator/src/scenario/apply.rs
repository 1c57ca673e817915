//! Applies the steps of a scenario to the world.

use grebepath_core::time::{SECOND, ms};
use serde_json::Value;

use super::ScheduledFault;
use super::values::{disk_health, leaf_mode, list_mode, named_nodes};
use crate::mock_backends;
use crate::mock_backends::{Alive, ListMode, Mode};
use crate::net::{Node, cut};
use crate::simulated_disk::Health;
use crate::world::{self, FollowUp, World};

/// A trouble befalls the world.
pub fn apply_fault(world: &mut World, fault: &ScheduledFault) {
    let parameters = &fault.parameters;
    let which = parameters["which"].as_u64().unwrap_or(0) as usize;
    let duration = parameters["for_s"].as_f64().map(|seconds| (seconds * SECOND as f64) as u64);
    match fault.action.as_str() {
        "kill-seat" => {
            world::kill_controller(world, which, parameters["power"].as_bool().unwrap_or(false));
            if parameters["lose"].as_bool().unwrap_or(false) {
                crate::simulated_disk::lose(&mut world.controllers[which].disk);
                world.lost_disks += 1;
            }
            if let Some(span) = duration {
                world::later(world, span, FollowUp::StartController(which));
            }
        }
        "stop-seat" => world::stop_controller(world, which, duration),
        "start-seat" if !world.controllers[which].up => world::start_controller(world, which),
        "start-seat" => {}
        "add-seat" => {
            world::add_controller(world, parameters["zone"].as_str());
        }
        "seeds" => {
            let list = parameters["list"].as_array().into_iter().flatten();
            world.control_plane.seeds = list.filter_map(|n| Some(n.as_u64()? as usize)).collect();
        }
        "kill-querier" => {
            world::kill_querier(world, which);
            if let Some(span) = duration {
                world::later(world, span, FollowUp::StartQuerier(which));
            }
        }
        "stop-querier" => {
            world::stop_querier(world, which);
            // It drains, ends, and is started again.
            if let Some(span) = duration {
                world::later(world, span, FollowUp::StartQuerier(which));
            }
        }
        "restart-all" => restart_all(world, parameters, duration),
        "pause-seat" => {
            world.controllers[which].paused = world.now + duration.unwrap_or(5 * SECOND)
        }
        "pause-querier" => {
            world.queriers[which].paused = world.now + duration.unwrap_or(5 * SECOND)
        }
        "disk" => {
            if let Some(health) = disk_health(parameters) {
                world::set_disk_health(world, which, health);
            }
        }
        "flip" => {
            let mut random =
                grebepath_core::random::luck(grebepath_core::random::draw(&mut world.random));
            crate::simulated_disk::flip(&mut world.controllers[which].disk, &mut random);
        }
        "cut" => partition_network(world, parameters),
        "heal" => {
            world.net.cuts.clear();
            world.net.loss = 0;
            world.net.slow = 0;
        }
        "loss" => world.net.loss = parameters["per_mille"].as_u64().unwrap_or(10),
        "slow-net" => world.net.slow = ms(parameters["ms"].as_u64().unwrap_or(20)),
        "list" => world.backends.list_mode = list_mode(parameters).unwrap_or(ListMode::Good),
        "drain" => request_zone_state(world, parameters, true),
        "undrain" => request_zone_state(world, parameters, false),
        "apply" => {
            world::submit(world, 0, world::whole(&parameters["config"]));
        }
        "patch" => {
            world::submit(world, 0, world::patch(&parameters["config"]));
        }
        "grow" => {
            let pools = parameters["pools"].as_u64().unwrap_or(500);
            let bytes = parameters["bytes"].as_u64().unwrap_or(2_000) as usize;
            world::submit(world, 0, world::grown(pools, bytes));
        }
        "storm" => {
            let left = parameters["count"].as_u64().unwrap_or(50).max(1);
            let gap = ms(parameters["gap_ms"].as_u64().unwrap_or(20));
            world::later(world, 0, FollowUp::RequestStorm { left, gap });
        }
        "race" => world::race(world, parameters["count"].as_u64().unwrap_or(8)),
        "add-leafs" => add_leafs(world, parameters),
        "mend-all" => end_all_faults(world, parameters["factor"].as_f64().unwrap_or(world.factor)),
        "load" => world.factor = parameters["factor"].as_f64().unwrap_or(1.0),
        _ => apply_to_leafs(world, fault),
    }
}

/// Everything ends and starts again; the seat `down` stays down, and those
/// named by `lose` come back with empty disks.
pub(super) fn restart_all(world: &mut World, parameters: &Value, duration: Option<u64>) {
    let power = parameters["power"].as_bool().unwrap_or(false);
    let seat = |key: &str| {
        parameters[key].as_u64().map(|n| n as usize).filter(|n| *n < world.controllers.len())
    };
    let down = seat("down");
    let one = parameters["lose"].as_u64();
    let more = parameters["lose"].as_array().into_iter().flatten().filter_map(Value::as_u64);
    let lose: Vec<usize> = one.into_iter().chain(more).map(|n| n as usize).collect();
    let alive: Vec<usize> = (0..world.controllers.len())
        .filter(|controller| world.controllers[*controller].up)
        .collect();
    for controller in 0..world.controllers.len() {
        world::kill_controller(world, controller, power);
    }
    for querier in 0..world.queriers.len() {
        world::kill_querier(world, querier);
    }
    for controller in lose {
        if let Some(n) = world.controllers.get_mut(controller) {
            crate::simulated_disk::lose(&mut n.disk);
            world.lost_disks += 1;
        }
    }
    let span = duration.unwrap_or(SECOND);
    // Who is gone for good does not come back.
    for controller in alive.into_iter().filter(|controller| Some(*controller) != down) {
        world::later(world, span, FollowUp::StartController(controller));
    }
    for querier in 0..world.queriers.len() {
        world::later(world, span, FollowUp::StartQuerier(querier));
    }
    expect_recovery(world, span);
}

/// New leafs on new machines for a service.
pub(super) fn add_leafs(world: &mut World, parameters: &Value) {
    let now = world.now;
    let name = parameters["service"].as_str().unwrap_or_default();
    let Some(service) = world
        .backends
        .leafs
        .values()
        .map(|leaf| &leaf.service)
        .find(|service| service.name == name)
    else {
        return;
    };
    let service = service.clone();
    for i in 0..parameters["count"].as_u64().unwrap_or(1) as usize {
        let zone = parameters["zone"].as_str().unwrap_or(mock_backends::ZONES[i % 3]).to_string();
        let addr = mock_backends::address(&world.backends);
        mock_backends::begin(&mut world.backends, service.clone(), &zone, addr, now);
    }
    mock_backends::changed(&mut world.backends, now);
}

/// All troubles end: from now on the fleet has 12 s to be whole again.
pub(super) fn end_all_faults(world: &mut World, factor: f64) {
    world.net.cuts.clear();
    (world.net.loss, world.net.slow) = (0, 0);
    world.backends.list_mode = ListMode::Good;
    world.factor = factor;
    for leaf in world.backends.leafs.values_mut() {
        (leaf.mode, leaf.strength) = (Mode::Good, 100);
    }
    for controller in 0..world.controllers.len() {
        world::set_disk_health(world, controller, Health::Good);
        world.controllers[controller].paused = world.controllers[controller].paused.min(world.now);
        if !world.controllers[controller].up {
            world::start_controller(world, controller);
        }
    }
    for querier in 0..world.queriers.len() {
        world.queriers[querier].paused = world.queriers[querier].paused.min(world.now);
        if !world.queriers[querier].up {
            world::start_querier(world, querier);
        }
    }
    for zone in mock_backends::ZONES {
        world::submit(world, 0, world::drain(zone, false));
    }
    expect_recovery(world, 0);
}

/// After `span` service has 12 s to be back.
pub(super) fn expect_recovery(world: &mut World, span: u64) {
    let at = world::age(world) + span;
    world.rules.restarts.push(crate::rules::Restart { at, ..Default::default() });
    // The operator's patience is less than what is left of the 12 s.
    let restart = world.rules.restarts.len() - 1;
    world::later(world, span + 6 * SECOND, FollowUp::ChangeAfterRestart { restart });
}

pub(super) fn partition_network(world: &mut World, parameters: &Value) {
    let (n, seats) = (world.queriers.len(), world.controllers.len());
    let side = |key: &str| -> Vec<Node> {
        parameters[key]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|v| v.as_str())
            .flat_map(|word| named_nodes(word, n, seats))
            .collect()
    };
    let (a, b) = (side("a"), side("b"));
    for x in &a {
        for y in b.iter().filter(|y| !a.contains(y)) {
            if parameters["one_way"].as_bool().unwrap_or(false) {
                world.net.cuts.insert((*x, *y));
            } else {
                cut(&mut world.net, *x, *y);
            }
        }
    }
}

pub(super) fn request_zone_state(world: &mut World, parameters: &Value, on: bool) {
    let zone = parameters["zone"].as_str().unwrap_or("a").to_string();
    world::submit(world, 0, world::drain(&zone, on));
}

pub(super) fn apply_to_leafs(world: &mut World, fault: &ScheduledFault) {
    let now = world.now;
    for name in selected_leafs(world, &fault.parameters) {
        let Some(leaf) = world.backends.leafs.get_mut(&name) else { continue };
        match fault.action.as_str() {
            "leafs" => leaf.mode = leaf_mode(&fault.parameters).unwrap_or(Mode::Good),
            "leave-leafs" => leaf.leaving = true,
            "weaken-leafs" => {
                leaf.strength = fault.parameters["pct"].as_u64().unwrap_or(50).clamp(1, 100) as u32;
            }
            "kill-leafs" => {
                let vanish = fault.parameters["vanish"].as_bool().unwrap_or(false);
                world::kill_leaf(world, &name, if vanish { Alive::Vanished } else { Alive::Down });
            }
            "restart-leafs" | "reuse" => {
                let (mut service, zone, addr) =
                    (leaf.service.clone(), leaf.zone.clone(), leaf.addr.clone());
                world::kill_leaf(world, &name, Alive::Down);
                if fault.action == "reuse" {
                    let by = fault.parameters["by"].as_str().unwrap_or("stranger");
                    // A leaf of a service that we know bears what that bears.
                    let known = world.backends.leafs.values().find(|leaf| leaf.service.name == by);
                    service = known.map_or(service, |leaf| leaf.service.clone());
                    service.name = by.to_string();
                }
                mock_backends::begin(&mut world.backends, service, &zone, addr, now);
            }
            _ => {}
        }
    }
    mock_backends::changed(&mut world.backends, now);
}

pub(super) fn selected_leafs(world: &World, parameters: &Value) -> Vec<String> {
    let fits = |key: &str, has: &str| parameters[key].as_str().is_none_or(|want| want == has);
    let mut list: Vec<String> = world
        .backends
        .leafs
        .values()
        .filter(|leaf| {
            leaf.alive == Alive::Up
                && fits("service", &leaf.service.name)
                && fits("zone", &leaf.zone)
        })
        .map(|leaf| leaf.name.clone())
        .collect();
    if let Some(n) = parameters["count"].as_u64() {
        list.truncate(n as usize);
    }
    list
}
