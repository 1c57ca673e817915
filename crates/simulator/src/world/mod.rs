//! The simulated world: nodes, virtual time, and the messages between nodes.

use std::collections::{BTreeMap, BTreeSet};

use grebepath_core::random::Random;
use grebepath_core::time::{Span, Tick, ms};

use crate::event_queue::EventQueue;
use crate::mock_backends::MockBackends;
use crate::net::Net;
use crate::rules::Rules;
use crate::spec::Kind;

mod build;
mod callers;
mod control_plane_contact;
mod controller_commands;
mod controller_disks;
mod controllers;
mod discovery;
mod events;
mod faulty_variant;
mod injected_faults;
mod leafs;
mod membership_memory;
mod node_agents;
mod nodes;
mod operator_request;
mod operators;
mod queriers;
mod query_engines;
mod rollouts;
mod slow_start_leafs;
mod status;
mod time_loop;
mod zone_operators;

pub use build::{ControlPlaneSetup, address, three_voters};
pub use events::FollowUp;
use events::{AttemptKey, QueryEngineId, ScheduledEvent};
pub use faulty_variant::FaultyVariant;
pub use injected_faults::{FAULTS, Fault, FaultInjection, InjectedFault};
use nodes::{Call, RequestInFlight, Run};
pub use nodes::{CallOutcomes, ControllerNode, QuerierNode, Stopping};
pub use operator_request::{OperatorRequest, ZoneChange};

/// A simulated cluster with its platform, leafs, callers and operators.
pub struct World {
    /// The virtual time.
    pub now: Tick,
    queue: EventQueue<ScheduledEvent>,
    /// The source of all random draws.
    pub random: Random,
    /// The network between the processes of the cluster.
    pub net: Net,
    /// The controllers' machines, with or without a voter slot.
    pub controllers: Vec<ControllerNode>,
    /// How the control plane is set up.
    pub control_plane: ControlPlaneSetup,
    /// Connections that were announced: (controller, its incarnation, connection).
    opened_connections: BTreeSet<(usize, u64, u64)>,
    /// The queriers' machines.
    pub queriers: Vec<QuerierNode>,
    /// The leafs and the platform's list.
    pub backends: MockBackends,
    /// The kinds of calls.
    pub call_kinds: Vec<Kind>,
    /// Multiplies the rates of calls.
    pub factor: f64,
    ready_queriers: Vec<usize>,
    runs: BTreeMap<u64, Run>,
    runs_by_attempt: BTreeMap<AttemptKey, u64>,
    /// Attempts whose request hasn't reached a leaf's process yet.
    requests_in_flight: BTreeMap<AttemptKey, RequestInFlight>,
    /// The leaf that the identity check found on each connection.
    connections: BTreeMap<(QueryEngineId, String), String>,
    calls: BTreeMap<u64, Call>,
    /// All operators' requests.
    pub operator_requests: Vec<OperatorRequest>,
    /// Operators that send requests without ids.
    zone_operators: Vec<zone_operators::ZoneOperator>,
    /// Operators that move services to other versions.
    rollout_operators: Vec<rollouts::RolloutOperator>,
    /// The checkers.
    pub rules: Rules,
    /// How calls ended, by search.
    pub tallies: BTreeMap<String, CallOutcomes>,
    /// The fault that the cluster has on purpose.
    pub faulty_variant: Option<FaultyVariant>,
    slow_start_leafs: slow_start_leafs::SlowStartLeafs,
    membership_memory: membership_memory::MembershipMemory,
    disturbances: control_plane_contact::Disturbances,
    /// The faults of the scenario, each applied at its time.
    pub faults: Vec<crate::scenario::ScheduledFault>,
    /// Time from which on no calls are started.
    pub calls_end_at: Tick,
    /// Time from a querier's stop request until it rejects calls; the querier's default if unset.
    pub drain_notice: Option<Span>,
    /// Whether callers use queriers that run but aren't ready.
    pub ignore_readiness: bool,
    /// When each request was acknowledged.
    pub acknowledged_at: BTreeMap<usize, Tick>,
    /// Alarms by their texts.
    pub alarms: BTreeMap<String, u64>,
    /// Lost disks (count), for the report.
    pub lost_disks: u64,
    /// Handled events (count).
    pub events: u64,
    /// Faults at numbered events of the controllers.
    pub injected: FaultInjection,
}

/// Threads of each querier.
pub const THREADS: u32 = 1;

/// Start of virtual time: large enough that the start times of warm leafs, which lie before it,
/// are positive.
const BEGIN: Tick = ms(4_000_000);
