//! The machines of a world, and the attempts and calls in progress.

use std::collections::BTreeMap;

use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::membership::node_agent::NodeAgent;
use grebepath_core::query::engine::QueryEngine;
use grebepath_core::query::event::OutgoingAttempt;
use grebepath_core::time::{Span, Tick};

use super::World;
use super::events::AttemptKey;
use crate::check::Asked;
use crate::net::{Endpoint, Node};
use crate::simulated_disk::Disk;

/// A controller's machine.
pub struct ControllerNode {
    /// Its zone.
    pub zone: String,
    /// The incarnation of its process: the number of its starts and ends.
    pub incarnation: u64,
    /// Whether its process runs.
    pub up: bool,
    /// Its state machine.
    pub state: ControllerState,
    /// When its process was started.
    pub began: Tick,
    /// Its disk.
    pub disk: Disk,
    /// Until when its process is paused.
    pub paused: Tick,
    /// Set while its process is stopping on request.
    pub stopping: Option<Stopping>,
}

impl ControllerNode {
    /// Whether its controller has a voter slot.
    pub fn has_voter_slot(&self) -> bool {
        self.state.slot != grebepath_core::voter_set::NO_SLOT
    }

    /// Returns the endpoint of its connections, as the controller of this number.
    pub(super) fn endpoint(&self, number: usize) -> Endpoint<'_> {
        Endpoint { node: Node::Controller(number as u8), zone: &self.zone }
    }
}

/// What happens after a controller has ended that was asked to stop.
pub struct Stopping {
    /// Time until it starts again; `None` if it was removed.
    pub restart: Option<Span>,
}

/// A querier's machine.
pub struct QuerierNode {
    /// Its name as a member.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The incarnation of its process: the number of its starts and ends.
    pub incarnation: u64,
    /// Whether its process runs.
    pub up: bool,
    /// Its node agent.
    pub node_agent: NodeAgent,
    /// Its query engines, one per thread.
    pub query_engines: Vec<QueryEngine>,
    pub(super) wake_at: Vec<Tick>,
    /// When its process was started.
    pub began: Tick,
    /// Whether it reports itself ready.
    pub ready: bool,
    /// Until when its process is paused.
    pub paused: Tick,
    pub(super) polling: bool,
}

impl QuerierNode {
    /// Returns the endpoint of its connections, as the querier of this number.
    pub(super) fn endpoint(&self, number: usize) -> Endpoint<'_> {
        Endpoint { node: Node::Querier(number), zone: &self.zone }
    }
}

/// An attempt that a leaf works on.
pub(super) struct Run {
    pub(super) key: AttemptKey,
    pub(super) leaf: String,
    pub(super) outgoing: OutgoingAttempt,
}

/// A request that hasn't reached its leaf yet.
#[derive(Clone, Copy)]
pub(super) struct RequestInFlight {
    /// When it reaches the leaf.
    pub(super) arrives_at: Tick,
    /// Whether its sender closed the connection before the request was sent.
    pub(super) closed: bool,
}

/// A call that is in progress.
pub(super) struct Call {
    pub(super) kind: usize,
    pub(super) caller_query: Asked,
    pub(super) querier: usize,
    pub(super) incarnation: u64,
    pub(super) began: Tick,
}

/// How the calls of a kind ended.
#[derive(Default, Clone)]
pub struct CallOutcomes {
    /// Complete answers.
    pub full: u64,
    /// Partial answers.
    pub partial: u64,
    /// Rejected, by reason.
    pub rejected: BTreeMap<String, u64>,
    /// Calls that found no querier, or whose querier's process ended.
    pub unreachable: u64,
    /// Calls without a response before the deadline.
    pub timed_out: u64,
    /// Latencies of the answers (us).
    pub latencies: Vec<u64>,
}

impl World {
    pub(super) fn controller_runs(&self, controller: usize, incarnation: u64) -> bool {
        self.controllers[controller].up && self.controllers[controller].incarnation == incarnation
    }

    pub(super) fn querier_runs(&self, querier: usize, incarnation: u64) -> bool {
        self.queriers[querier].up && self.queriers[querier].incarnation == incarnation
    }
}
