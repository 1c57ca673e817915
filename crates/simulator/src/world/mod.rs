//! The world: nodes, virtual time, and what passes between them.

use std::collections::{BTreeMap, BTreeSet};

use grebepath_core::random::Random;
use grebepath_core::time::{Tick, ms};

use crate::mock_backends::MockBackends;
use crate::net::Net;
use crate::rules::Rules;
use crate::spec::Kind;

mod build;
mod callers;
mod controllers;
mod deviations;
mod events;
mod faulty_variant;
mod leafs;
mod nodes;
mod operators;
mod queriers;
mod status;
mod time_loop;

pub use build::{Cores, address, three, world};
pub use callers::begin_calls;
pub use controllers::{add_seat, disk_health, kill_seat, start_seat, stop_seat};
pub use deviations::{Deviation, Deviations, FAULTS, Fault};
pub use events::{DueKey, later, plan};
use events::{RunKey, ScheduledEvent};
pub use faulty_variant::Broken;
pub use leafs::kill_leaf;
use nodes::{Call, Run};
pub use nodes::{ControllerNode, Order, QuerierNode, Stopping, Tally, seated};
pub use operators::{committed, drain, drained, finish, grown, marked, order, patch, race, whole};
pub use queriers::{kill_querier, start_querier, stop_querier};
pub use status::{age, seated_up, seats_whole, settled, since_begin};
pub use time_loop::{run, until};

/// The world.
pub struct World {
    pub now: Tick,
    haps: BTreeMap<(Tick, u64), ScheduledEvent>,
    next: u64,
    pub luck: Random,
    pub net: Net,
    /// The controllers' machines, with a seat or without.
    pub seats: Vec<ControllerNode>,
    pub core: Cores,
    /// Wires on which something came: (seat's machine, its life, connection).
    opened: BTreeSet<(usize, u64, u64)>,
    pub queriers: Vec<QuerierNode>,
    pub backs: MockBackends,
    pub kinds: Vec<Kind>,
    pub factor: f64,
    platform: Vec<usize>,
    runs: BTreeMap<u64, Run>,
    by_key: BTreeMap<RunKey, u64>,
    /// Who was found at the other end of each connection to a leaf.
    connections: BTreeMap<(usize, u64, usize, String), String>,
    calls: BTreeMap<u64, Call>,
    pub orders: Vec<Order>,
    pub rules: Rules,
    pub tally: BTreeMap<String, Tally>,
    pub broken: Option<Broken>,
    /// Set from a scenario: run when their time comes.
    pub troubles: Vec<crate::scenario::Trouble>,
    /// No more calls from here on.
    pub calls_end: Tick,
    /// Callers call any querier that runs, ready or not.
    pub any_querier: bool,
    /// When the outcome of each order was told.
    pub told_at: BTreeMap<usize, Tick>,
    pub alarms: BTreeMap<String, u64>,
    /// Seats whose disks were lost, for the report.
    pub lost_disks: u64,
    pub events: u64,
    /// Faults at numbered events of the controllers.
    pub deviations: Deviations,
}

/// Threads of each querier.
pub const THREADS: u32 = 1;

/// The world begins here, so that ages of warm leafs fit below.
const BEGIN: Tick = ms(4_000_000);
