//! Building a world: its controllers, queriers and leafs, all just being started.

use std::collections::{BTreeMap, BTreeSet};

use grebepath_core::membership::node_agent as wat;
use grebepath_core::protocol::message::Member;
use grebepath_core::random::luck;
use grebepath_core::time::{Tick, ms};

use super::controllers::add_seat;
use super::deviations::Deviations;
use super::events::{ScheduledEvent, push};
use super::nodes::QuerierNode;
use super::queriers::start_querier;
use super::{BEGIN, THREADS, World};
use crate::mock_backends;
use crate::mock_backends::ZONES;
use crate::net::Net;
use crate::rules::Rules;
use crate::spec::Spec;

/// How the core is set up.
#[derive(Clone, Debug)]
pub struct Cores {
    pub seats: usize,
    /// Machines that begin; those beyond `seats` are spares.
    pub machines: usize,
    /// Controllers are told their seats; else they find them.
    pub told: bool,
    /// The machines that a start is told of.
    pub seeds: Vec<usize>,
}

/// The core of most scenarios: three machines that know their seats.
pub fn three() -> Cores {
    Cores { seats: 3, machines: 3, told: true, seeds: vec![0, 1, 2] }
}

/// Where a controller's machine is reached.
pub fn address(s: usize) -> String {
    format!("127.1.0.{}:8000", s + 1)
}

/// The machine at an address.
pub(super) fn machine(w: &World, addr: &str) -> Option<usize> {
    (0..w.seats.len()).find(|s| address(*s) == addr)
}

/// A fleet that is just being started.
pub fn world(spec: &Spec, core: Cores, queriers: usize, seed: u64) -> World {
    let mut w = World {
        now: BEGIN,
        haps: BTreeMap::new(),
        next: 0,
        luck: luck(seed),
        net: Net::default(),
        seats: Vec::new(),
        core,
        opened: BTreeSet::new(),
        queriers: Vec::new(),
        backs: mock_backends::backs(spec, BEGIN),
        kinds: spec.kinds.clone(),
        factor: 1.0,
        platform: Vec::new(),
        runs: BTreeMap::new(),
        by_key: BTreeMap::new(),
        connections: BTreeMap::new(),
        calls: BTreeMap::new(),
        orders: Vec::new(),
        rules: Rules::default(),
        tally: BTreeMap::new(),
        broken: None,
        troubles: Vec::new(),
        calls_end: Tick::MAX,
        any_querier: false,
        told_at: BTreeMap::new(),
        alarms: BTreeMap::new(),
        lost_disks: 0,
        deviations: Deviations::default(),
        events: 0,
    };
    for _ in 0..w.core.machines {
        add_seat(&mut w, None);
    }
    for q in 0..queriers {
        let zone = ZONES[q % ZONES.len()].to_string();
        let name = format!("q{q}");
        let watch = wat::watch(member(&name, &zone, q, 0), 1);
        w.queriers.push(QuerierNode {
            name,
            zone,
            life: 0,
            up: false,
            watch,
            desks: Vec::new(),
            wakes: Vec::new(),
            began: 0,
            ready: false,
            paused: 0,
            polling: false,
        });
        start_querier(&mut w, q);
    }
    push(&mut w, ms(500), ScheduledEvent::Platform);
    w
}

pub(super) fn member(name: &str, zone: &str, q: usize, incarnation: u64) -> Member {
    let addr = format!("127.2.0.{}:9000", q + 1);
    Member { name: name.into(), addr, zone: zone.into(), threads: THREADS, joined: 0, incarnation }
}
