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
mod controller_commands;
mod controller_disks;
mod controllers;
mod discovery;
mod events;
mod faulty_variant;
mod injected_faults;
mod leafs;
mod node_agents;
mod nodes;
mod operators;
mod queriers;
mod query_engines;
mod status;
mod time_loop;

pub use build::{ControlPlaneSetup, address, three_voters};
pub use events::FollowUp;
use events::{AttemptKey, QueryEngineId, ScheduledEvent};
pub use faulty_variant::FaultyVariant;
pub use injected_faults::{FAULTS, Fault, FaultInjection, InjectedFault};
use nodes::{Call, Run};
pub use nodes::{
    CallOutcomes, ControllerNode, OperatorRequest, QuerierNode, Stopping, has_voter_slot,
};
pub use operators::{drain, grown, marked, patch, whole};

/// The world.
pub struct World {
    pub now: Tick,
    queue: BTreeMap<(Tick, u64), ScheduledEvent>,
    next: u64,
    pub random: Random,
    pub net: Net,
    /// The controllers' machines, with a seat or without.
    pub controllers: Vec<ControllerNode>,
    pub control_plane: ControlPlaneSetup,
    /// Wires on which something came: (seat's machine, its life, connection).
    opened_connections: BTreeSet<(usize, u64, u64)>,
    pub queriers: Vec<QuerierNode>,
    pub backends: MockBackends,
    pub call_kinds: Vec<Kind>,
    pub factor: f64,
    ready_queriers: Vec<usize>,
    runs: BTreeMap<u64, Run>,
    runs_by_attempt: BTreeMap<AttemptKey, u64>,
    /// Who was found at the other end of each connection to a leaf.
    connections: BTreeMap<(QueryEngineId, String), String>,
    calls: BTreeMap<u64, Call>,
    pub operator_requests: Vec<OperatorRequest>,
    pub rules: Rules,
    pub tallies: BTreeMap<String, CallOutcomes>,
    pub faulty_variant: Option<FaultyVariant>,
    /// Set from a scenario: run when their time comes.
    pub faults: Vec<crate::scenario::ScheduledFault>,
    /// No more calls from here on.
    pub calls_end_at: Tick,
    /// Callers call any querier that runs, ready or not.
    pub ignore_readiness: bool,
    /// When the outcome of each order was told.
    pub acknowledged_at: BTreeMap<usize, Tick>,
    pub alarms: BTreeMap<String, u64>,
    /// Seats whose disks were lost, for the report.
    pub lost_disks: u64,
    pub events: u64,
    /// Faults at numbered events of the controllers.
    pub injected: FaultInjection,
}

/// Threads of each querier.
pub const THREADS: u32 = 1;

/// The world begins here, so that ages of warm leafs fit below.
const BEGIN: Tick = ms(4_000_000);
