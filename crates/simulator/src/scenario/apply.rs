//! Applies the steps of a scenario to the world.

use grebepath_core::time::{SECOND, ms};
use serde_json::Value;

use super::ScheduledFault;
use super::values::{disk_health, leaf_mode, list_mode, named_nodes};
use crate::mock_backends;
use crate::mock_backends::{Alive, ListMode, Mode};
use crate::net::Node;
use crate::simulated_disk::Health;
use crate::world::{self, FollowUp, World};

impl World {
    /// A trouble befalls the world.
    pub fn apply_fault(&mut self, fault: &ScheduledFault) {
        let parameters = &fault.parameters;
        let which = parameters["which"].as_u64().unwrap_or(0) as usize;
        let duration = parameters["for_s"].as_f64().map(|seconds| (seconds * SECOND as f64) as u64);
        match fault.action.as_str() {
            "kill-seat" => {
                self.kill_controller(which, parameters["power"].as_bool().unwrap_or(false));
                if parameters["lose"].as_bool().unwrap_or(false) {
                    self.controllers[which].disk.replace();
                    self.lost_disks += 1;
                }
                if let Some(span) = duration {
                    self.later(span, FollowUp::StartController(which));
                }
            }
            "stop-seat" => self.stop_controller(which, duration),
            "start-seat" if !self.controllers[which].up => self.start_controller(which),
            "start-seat" => {}
            "add-seat" => {
                self.add_controller(parameters["zone"].as_str());
            }
            "seeds" => {
                let list = parameters["list"].as_array().into_iter().flatten();
                self.control_plane.seeds =
                    list.filter_map(|n| Some(n.as_u64()? as usize)).collect();
            }
            "kill-querier" => {
                self.kill_querier(which);
                if let Some(span) = duration {
                    self.later(span, FollowUp::StartQuerier(which));
                }
            }
            "stop-querier" => {
                self.stop_querier(which);
                // It drains, ends, and is started again.
                if let Some(span) = duration {
                    self.later(span, FollowUp::StartQuerier(which));
                }
            }
            "restart-all" => self.restart_all(parameters, duration),
            "pause-seat" => {
                self.controllers[which].paused = self.now + duration.unwrap_or(5 * SECOND)
            }
            "pause-querier" => {
                self.queriers[which].paused = self.now + duration.unwrap_or(5 * SECOND)
            }
            "disk" => {
                if let Some(health) = disk_health(parameters) {
                    self.set_disk_health(which, health);
                }
            }
            "flip" => {
                let mut random = grebepath_core::random::Random::new(self.random.next_u64());
                self.controllers[which].disk.flip_bit(&mut random);
            }
            "cut" => self.partition_network(parameters),
            "heal" => {
                self.net.cuts.clear();
                self.net.loss = 0;
                self.net.slow = 0;
            }
            "loss" => self.net.loss = parameters["per_mille"].as_u64().unwrap_or(10),
            "slow-net" => self.net.slow = ms(parameters["ms"].as_u64().unwrap_or(20)),
            "list" => self.backends.list_mode = list_mode(parameters).unwrap_or(ListMode::Good),
            "drain" => self.request_zone_state(parameters, true),
            "undrain" => self.request_zone_state(parameters, false),
            "apply" => {
                self.submit(0, world::whole(&parameters["config"]));
            }
            "patch" => {
                self.submit(0, world::patch(&parameters["config"]));
            }
            "grow" => {
                let pools = parameters["pools"].as_u64().unwrap_or(500);
                let bytes = parameters["bytes"].as_u64().unwrap_or(2_000) as usize;
                self.submit(0, world::grown(pools, bytes));
            }
            "storm" => {
                let left = parameters["count"].as_u64().unwrap_or(50).max(1);
                let gap = ms(parameters["gap_ms"].as_u64().unwrap_or(20));
                self.later(0, FollowUp::RequestStorm { left, gap });
            }
            "race" => self.race(parameters["count"].as_u64().unwrap_or(8)),
            "add-leafs" => self.add_leafs(parameters),
            "mend-all" => self.end_all_faults(parameters["factor"].as_f64().unwrap_or(self.factor)),
            "load" => self.factor = parameters["factor"].as_f64().unwrap_or(1.0),
            _ => self.apply_to_leafs(fault),
        }
    }

    /// Everything ends and starts again; the seat `down` stays down, and those
    /// named by `lose` come back with empty disks.
    pub(super) fn restart_all(&mut self, parameters: &Value, duration: Option<u64>) {
        let power = parameters["power"].as_bool().unwrap_or(false);
        let seat = |key: &str| {
            parameters[key].as_u64().map(|n| n as usize).filter(|n| *n < self.controllers.len())
        };
        let down = seat("down");
        let one = parameters["lose"].as_u64();
        let more = parameters["lose"].as_array().into_iter().flatten().filter_map(Value::as_u64);
        let lose: Vec<usize> = one.into_iter().chain(more).map(|n| n as usize).collect();
        let alive: Vec<usize> = (0..self.controllers.len())
            .filter(|controller| self.controllers[*controller].up)
            .collect();
        for controller in 0..self.controllers.len() {
            self.kill_controller(controller, power);
        }
        for querier in 0..self.queriers.len() {
            self.kill_querier(querier);
        }
        for controller in lose {
            if let Some(n) = self.controllers.get_mut(controller) {
                n.disk.replace();
                self.lost_disks += 1;
            }
        }
        let span = duration.unwrap_or(SECOND);
        // Who is gone for good does not come back.
        for controller in alive.into_iter().filter(|controller| Some(*controller) != down) {
            self.later(span, FollowUp::StartController(controller));
        }
        for querier in 0..self.queriers.len() {
            self.later(span, FollowUp::StartQuerier(querier));
        }
        self.expect_recovery(span);
    }

    /// New leafs on new machines for a service.
    pub(super) fn add_leafs(&mut self, parameters: &Value) {
        let now = self.now;
        let name = parameters["service"].as_str().unwrap_or_default();
        let Some(service) = self
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
            let zone =
                parameters["zone"].as_str().unwrap_or(mock_backends::ZONES[i % 3]).to_string();
            let addr = self.backends.address();
            self.backends.begin(service.clone(), &zone, addr, now);
        }
        self.backends.changed(now);
    }

    /// All troubles end: from now on the fleet has 12 s to be whole again.
    pub(super) fn end_all_faults(&mut self, factor: f64) {
        self.net.cuts.clear();
        (self.net.loss, self.net.slow) = (0, 0);
        self.backends.list_mode = ListMode::Good;
        self.factor = factor;
        for leaf in self.backends.leafs.values_mut() {
            (leaf.mode, leaf.strength) = (Mode::Good, 100);
        }
        for controller in 0..self.controllers.len() {
            self.set_disk_health(controller, Health::Good);
            self.controllers[controller].paused = self.controllers[controller].paused.min(self.now);
            if !self.controllers[controller].up {
                self.start_controller(controller);
            }
        }
        for querier in 0..self.queriers.len() {
            self.queriers[querier].paused = self.queriers[querier].paused.min(self.now);
            if !self.queriers[querier].up {
                self.start_querier(querier);
            }
        }
        for zone in mock_backends::ZONES {
            self.submit(0, world::drain(zone, false));
        }
        self.expect_recovery(0);
    }

    /// After `span` service has 12 s to be back.
    pub(super) fn expect_recovery(&mut self, span: u64) {
        let at = self.age() + span;
        self.rules.restarts.push(crate::rules::Restart { at, ..Default::default() });
        // The operator's patience is less than what is left of the 12 s.
        let restart = self.rules.restarts.len() - 1;
        self.later(span + 6 * SECOND, FollowUp::ChangeAfterRestart { restart });
    }

    pub(super) fn partition_network(&mut self, parameters: &Value) {
        let (n, seats) = (self.queriers.len(), self.controllers.len());
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
                    self.net.cuts.insert((*x, *y));
                } else {
                    self.net.cut(*x, *y);
                }
            }
        }
    }

    pub(super) fn request_zone_state(&mut self, parameters: &Value, on: bool) {
        let zone = parameters["zone"].as_str().unwrap_or("a").to_string();
        self.submit(0, world::drain(&zone, on));
    }

    pub(super) fn apply_to_leafs(&mut self, fault: &ScheduledFault) {
        let now = self.now;
        for name in self.selected_leafs(&fault.parameters) {
            let Some(leaf) = self.backends.leafs.get_mut(&name) else { continue };
            match fault.action.as_str() {
                "leafs" => leaf.mode = leaf_mode(&fault.parameters).unwrap_or(Mode::Good),
                "leave-leafs" => leaf.leaving = true,
                "weaken-leafs" => {
                    leaf.strength =
                        fault.parameters["pct"].as_u64().unwrap_or(50).clamp(1, 100) as u32;
                }
                "kill-leafs" => {
                    let vanish = fault.parameters["vanish"].as_bool().unwrap_or(false);
                    self.kill_leaf(&name, if vanish { Alive::Vanished } else { Alive::Down });
                }
                "restart-leafs" | "reuse" => {
                    let (mut service, zone, addr) =
                        (leaf.service.clone(), leaf.zone.clone(), leaf.addr.clone());
                    self.kill_leaf(&name, Alive::Down);
                    if fault.action == "reuse" {
                        let by = fault.parameters["by"].as_str().unwrap_or("stranger");
                        // A leaf of a service that we know bears what that bears.
                        let known =
                            self.backends.leafs.values().find(|leaf| leaf.service.name == by);
                        service = known.map_or(service, |leaf| leaf.service.clone());
                        service.name = by.to_string();
                    }
                    self.backends.begin(service, &zone, addr, now);
                }
                _ => {}
            }
        }
        self.backends.changed(now);
    }

    pub(super) fn selected_leafs(&self, parameters: &Value) -> Vec<String> {
        let fits = |key: &str, has: &str| parameters[key].as_str().is_none_or(|want| want == has);
        let mut list: Vec<String> = self
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
}
