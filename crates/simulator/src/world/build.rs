//! Builds a world: its controllers, queriers and leafs at their first start.

use std::collections::{BTreeMap, BTreeSet};

use grebepath_core::membership::node_agent;
use grebepath_core::protocol::membership::Member;
use grebepath_core::random::Random;
use grebepath_core::time::{Tick, ms};

use super::events::ScheduledEvent;
use super::injected_faults::FaultInjection;
use super::nodes::QuerierNode;
use super::{BEGIN, THREADS, World};
use crate::event_queue::EventQueue;
use crate::mock_backends::{MockBackends, ZONES};
use crate::net::Net;
use crate::rules::Rules;
use crate::spec::Spec;

/// How the control plane is set up.
#[derive(Clone, Debug)]
pub struct ControlPlaneSetup {
    /// Voter slots (count).
    pub voter_slots: usize,
    /// Machines at the start; those beyond the voter slots are spares.
    pub machines: usize,
    /// Whether voter slots are assigned to controllers; otherwise they claim free ones.
    pub slots_assigned: bool,
    /// The machines that a starting controller connects to.
    pub seeds: Vec<usize>,
}

impl World {
    /// Creates a cluster whose processes are all starting for the first time.
    pub fn new(spec: &Spec, control_plane: ControlPlaneSetup, queriers: usize, seed: u64) -> Self {
        let mut world = Self {
            now: BEGIN,
            queue: EventQueue::default(),
            random: Random::new(seed),
            net: Net::default(),
            controllers: Vec::new(),
            control_plane,
            opened_connections: BTreeSet::new(),
            queriers: Vec::new(),
            backends: MockBackends::new(spec, BEGIN),
            call_kinds: spec.kinds.clone(),
            factor: 1.0,
            ready_queriers: Vec::new(),
            runs: BTreeMap::new(),
            runs_by_attempt: BTreeMap::new(),
            requests_in_flight: BTreeMap::new(),
            connections: BTreeMap::new(),
            calls: BTreeMap::new(),
            operator_requests: Vec::new(),
            rules: Rules::default(),
            tallies: BTreeMap::new(),
            drain_notice: None,
            faulty_variant: None,
            slow_start_leafs: Default::default(),
            zone_operators: Vec::new(),
            rollout_operators: Vec::new(),
            membership_memory: Default::default(),
            disturbances: Default::default(),
            faults: Vec::new(),
            calls_end_at: Tick::MAX,
            ignore_readiness: false,
            acknowledged_at: BTreeMap::new(),
            alarms: BTreeMap::new(),
            lost_disks: 0,
            injected: FaultInjection::default(),
            events: 0,
        };
        for _ in 0..world.control_plane.machines {
            world.add_controller(None);
        }
        for querier in 0..queriers {
            let zone = ZONES[querier % ZONES.len()].to_string();
            let name = format!("q{querier}");
            let node_agent = node_agent::NodeAgent::new(member(&name, &zone, querier, 0), 1);
            world.queriers.push(QuerierNode {
                name,
                zone,
                incarnation: 0,
                up: false,
                node_agent,
                query_engines: Vec::new(),
                wake_at: Vec::new(),
                began: 0,
                ready: false,
                paused: 0,
                polling: false,
            });
            world.start_querier(querier);
        }
        world.push(ms(500), ScheduledEvent::ReadinessPoll);
        world
    }

    /// Returns the number of the controller's machine at an address.
    pub(super) fn machine(&self, addr: &str) -> Option<usize> {
        (0..self.controllers.len()).find(|controller| address(*controller) == addr)
    }
}

/// Returns the control plane of most scenarios: three machines with assigned voter slots.
pub fn three_voters() -> ControlPlaneSetup {
    ControlPlaneSetup { voter_slots: 3, machines: 3, slots_assigned: true, seeds: vec![0, 1, 2] }
}

/// Returns the address of a controller's machine.
pub fn address(controller: usize) -> String {
    format!("127.1.0.{}:8000", controller + 1)
}

pub(super) fn member(name: &str, zone: &str, querier: usize, incarnation: u64) -> Member {
    let addr = format!("127.2.0.{}:9000", querier + 1);
    Member { name: name.into(), addr, zone: zone.into(), threads: THREADS, joined: 0, incarnation }
}
