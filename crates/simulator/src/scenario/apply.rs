//! Applies the steps of a scenario to the world.

use grebepath_core::random::Random;
use grebepath_core::time::{SECOND, Span, ms};
use serde_json::Value;

use super::ScheduledFault;
use super::values::{MachineCounts, disk_health, leaf_mode, list_mode};
use crate::mock_backends;
use crate::mock_backends::{ListMode, Mode, ProcessState};
use crate::net::Node;
use crate::simulated_disk::Health;
use crate::world::{FollowUp, OperatorRequest, World};

/// Duration of a pause whose scenario gives none.
const DEFAULT_PAUSE: Span = 5 * SECOND;

impl World {
    /// Applies a fault or another action of a scenario.
    pub fn apply_fault(&mut self, fault: &ScheduledFault) {
        self.note_disturbance(fault);
        let parameters = &fault.parameters;
        let duration = parameters["for_s"].as_f64().map(|seconds| (seconds * SECOND as f64) as u64);
        match fault.action.as_str() {
            "kill-seat" | "stop-seat" | "start-seat" | "pause-seat" | "disk" | "flip"
            | "hold-seat" => {
                self.apply_to_controller(fault, duration);
            }
            "kill-querier" | "stop-querier" | "pause-querier" => {
                self.apply_to_querier(fault, duration);
            }
            "cut" | "heal" | "loss" | "slow-net" => self.apply_to_net(fault),
            "drain" | "undrain" | "apply" | "patch" | "grow" | "storm" | "race"
            | "orders-without-id" => {
                self.apply_by_operator(fault);
            }
            "restart-all" => self.restart_all(parameters, duration),
            "add-seat" => {
                self.add_controller(parameters["zone"].as_str());
            }
            "seeds" => {
                let list = parameters["list"].as_array().into_iter().flatten();
                self.control_plane.seeds =
                    list.filter_map(|n| Some(n.as_u64()? as usize)).collect();
            }
            "list" => self.backends.list_mode = list_mode(parameters).unwrap_or(ListMode::Good),
            "add-leafs" => self.add_leafs(parameters),
            "rollout" => self.add_rollout(parameters),
            "mend-all" => self.end_all_faults(parameters["factor"].as_f64().unwrap_or(self.factor)),
            "load" => self.factor = parameters["factor"].as_f64().unwrap_or(1.0),
            _ => self.apply_to_leafs(fault),
        }
    }

    /// Applies a fault to one controller's machine.
    fn apply_to_controller(&mut self, fault: &ScheduledFault, duration: Option<Span>) {
        let parameters = &fault.parameters;
        let which = parameters["which"].as_u64().unwrap_or(0) as usize;
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
            "pause-seat" => {
                self.controllers[which].paused = self.now + duration.unwrap_or(DEFAULT_PAUSE);
            }
            "hold-seat" => {
                let until = self.now + duration.unwrap_or(DEFAULT_PAUSE);
                let from = Node::Controller(which as u8);
                for to in 0..self.controllers.len() {
                    self.net.hold(from, Node::Controller(to as u8), until);
                }
            }
            "disk" => {
                if let Some(health) = disk_health(parameters) {
                    self.set_disk_health(which, health);
                }
            }
            "flip" => {
                let mut random = Random::new(self.random.next_u64());
                self.controllers[which].disk.flip_bit(&mut random);
            }
            _ => {}
        }
    }

    /// Applies a fault to one querier.
    fn apply_to_querier(&mut self, fault: &ScheduledFault, duration: Option<Span>) {
        let which = fault.parameters["which"].as_u64().unwrap_or(0) as usize;
        match fault.action.as_str() {
            "pause-querier" => {
                self.queriers[which].paused = self.now + duration.unwrap_or(DEFAULT_PAUSE);
                return;
            }
            "stop-querier" => self.stop_querier(which),
            _ => self.kill_querier(which),
        }
        // A querier that was asked to stop drains and ends before this.
        if let Some(span) = duration {
            self.later(span, FollowUp::StartQuerier(which));
        }
    }

    /// Applies a fault to the network, or ends all network faults.
    fn apply_to_net(&mut self, fault: &ScheduledFault) {
        let parameters = &fault.parameters;
        match fault.action.as_str() {
            "cut" => self.partition_network(parameters),
            "loss" => self.net.loss_per_mille = parameters["per_mille"].as_u64().unwrap_or(10),
            "slow-net" => self.net.extra_latency = ms(parameters["ms"].as_u64().unwrap_or(20)),
            _ => self.net.heal(),
        }
    }

    /// Submits an operator's request.
    fn apply_by_operator(&mut self, fault: &ScheduledFault) {
        let parameters = &fault.parameters;
        let zone = parameters["zone"].as_str().unwrap_or("a");
        match fault.action.as_str() {
            "drain" => {
                self.submit(0, OperatorRequest::drain(zone));
            }
            "undrain" => {
                self.submit(0, OperatorRequest::undrain(zone));
            }
            "apply" => {
                self.submit(0, OperatorRequest::replace(&parameters["config"]));
            }
            "patch" => {
                self.submit(0, OperatorRequest::patch(&parameters["config"]));
            }
            "grow" => {
                let pools = parameters["pools"].as_u64().unwrap_or(500);
                let bytes = parameters["bytes"].as_u64().unwrap_or(2_000) as usize;
                self.submit(0, OperatorRequest::add_pools(pools, bytes));
            }
            "orders-without-id" => {
                let orders = parameters["count"].as_u64().unwrap_or(8).max(1);
                self.add_zone_operator(zone, orders);
            }
            "storm" => {
                let left = parameters["count"].as_u64().unwrap_or(50).max(1);
                let gap = ms(parameters["gap_ms"].as_u64().unwrap_or(20));
                self.later(0, FollowUp::RequestStorm { left, gap });
            }
            _ => self.submit_racing_requests(parameters["count"].as_u64().unwrap_or(8)),
        }
    }

    /// Kills and restarts all processes; the controller `down` stays down, and those
    /// named by `lose` restart with empty disks.
    fn restart_all(&mut self, parameters: &Value, duration: Option<u64>) {
        let power = parameters["power"].as_bool().unwrap_or(false);
        let controller_index = |key: &str| {
            parameters[key].as_u64().map(|n| n as usize).filter(|n| *n < self.controllers.len())
        };
        let down = controller_index("down");
        let one = parameters["lose"].as_u64();
        let more = parameters["lose"].as_array().into_iter().flatten().filter_map(Value::as_u64);
        let lose: Vec<usize> = one.into_iter().chain(more).map(|n| n as usize).collect();
        let running: Vec<usize> = (0..self.controllers.len())
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
        // Controllers that were down before are not restarted.
        for controller in running.into_iter().filter(|controller| Some(*controller) != down) {
            self.later(span, FollowUp::StartController(controller));
        }
        for querier in 0..self.queriers.len() {
            self.later(span, FollowUp::StartQuerier(querier));
        }
        self.expect_recovery(span);
    }

    /// Starts leafs for a service on new machines.
    fn add_leafs(&mut self, parameters: &Value) {
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
            let addr = self.backends.unused_address();
            self.backends.start_leaf(service.clone(), &zone, addr, now);
        }
        self.backends.list_changed(now);
    }

    /// Ends all faults: from now on the cluster has 12 s to recover.
    fn end_all_faults(&mut self, factor: f64) {
        self.net.heal();
        self.backends.list_mode = ListMode::Good;
        self.factor = factor;
        for leaf in self.backends.leafs.values_mut() {
            (leaf.mode, leaf.capacity_pct) = (Mode::Good, 100);
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
            self.submit(0, OperatorRequest::undrain(zone));
        }
        self.expect_recovery(0);
    }

    /// Expects the cluster to recover within 12 s after `span`.
    fn expect_recovery(&mut self, span: u64) {
        let at = self.age() + span;
        self.rules.pending_restarts.push(crate::rules::RestartCheck { at, ..Default::default() });
        // The change is submitted after 6 s: a timeout of the operator ends within the 12 s.
        let restart = self.rules.pending_restarts.len() - 1;
        self.later(span + 6 * SECOND, FollowUp::ChangeAfterRestart { restart });
    }

    fn partition_network(&mut self, parameters: &Value) {
        let machine_counts =
            MachineCounts { controllers: self.controllers.len(), queriers: self.queriers.len() };
        let side = |key: &str| -> Vec<Node> {
            parameters[key]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(Value::as_str)
                .flat_map(|word| machine_counts.nodes_named(word))
                .collect()
        };
        let (a, b) = (side("a"), side("b"));
        for from in &a {
            for to in b.iter().filter(|to| !a.contains(to)) {
                if parameters["one_way"].as_bool().unwrap_or(false) {
                    self.net.blocked.insert((*from, *to));
                } else {
                    self.net.partition(*from, *to);
                }
            }
        }
    }

    fn apply_to_leafs(&mut self, fault: &ScheduledFault) {
        let now = self.now;
        for name in self.selected_leafs(&fault.parameters) {
            let Some(leaf) = self.backends.leafs.get_mut(&name) else { continue };
            match fault.action.as_str() {
                "leafs" => leaf.mode = leaf_mode(&fault.parameters).unwrap_or(Mode::Good),
                "leave-leafs" => leaf.leaving = true,
                "weaken-leafs" => {
                    leaf.capacity_pct =
                        fault.parameters["pct"].as_u64().unwrap_or(50).clamp(1, 100) as u32;
                }
                "kill-leafs" => {
                    let vanish = fault.parameters["vanish"].as_bool().unwrap_or(false);
                    self.kill_leaf(
                        &name,
                        if vanish { ProcessState::Vanished } else { ProcessState::Down },
                    );
                }
                "restart-leafs" | "reuse" => {
                    let (mut service, zone, addr) =
                        (leaf.service.clone(), leaf.zone.clone(), leaf.addr.clone());
                    self.kill_leaf(&name, ProcessState::Down);
                    if fault.action == "reuse" {
                        let by = fault.parameters["by"].as_str().unwrap_or("stranger");
                        // A leaf of a known service has the capacity of that service.
                        let known =
                            self.backends.leafs.values().find(|leaf| leaf.service.name == by);
                        service = known.map_or(service, |leaf| leaf.service.clone());
                        service.name = by.to_string();
                    }
                    self.backends.start_leaf(service, &zone, addr, now);
                }
                _ => {}
            }
        }
        self.backends.list_changed(now);
    }

    fn selected_leafs(&self, parameters: &Value) -> Vec<String> {
        let fits = |key: &str, has: &str| parameters[key].as_str().is_none_or(|want| want == has);
        let mut list: Vec<String> = self
            .backends
            .leafs
            .values()
            .filter(|leaf| {
                leaf.process_state == ProcessState::Up
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
