//! The machines of a world, and what is under way between them.

use std::collections::BTreeMap;

use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::membership::node_agent::NodeAgent;
use grebepath_core::protocol::message::{Operation, OperationResult};
use grebepath_core::query::engine::QueryEngine;
use grebepath_core::query::event::OutgoingAttempt;
use grebepath_core::time::{Span, Tick};

use super::World;
use super::events::AttemptKey;
use crate::check::Asked;
use crate::simulated_disk::Disk;

/// A controller's machine.
pub struct ControllerNode {
    pub zone: String,
    pub life: u64,
    pub up: bool,
    pub state: ControllerState,
    pub began: Tick,
    pub disk: Disk,
    pub paused: Tick,
    /// It was asked to stop.
    pub stopping: Option<Stopping>,
}

/// What follows when a controller that was asked to stop has ended.
pub struct Stopping {
    /// When it starts again; never if it was removed.
    pub restart: Option<Span>,
}

/// A querier's machine.
pub struct QuerierNode {
    pub name: String,
    pub zone: String,
    pub life: u64,
    pub up: bool,
    pub watch: NodeAgent,
    pub desks: Vec<QueryEngine>,
    pub(super) wakes: Vec<Tick>,
    pub began: Tick,
    pub ready: bool,
    pub paused: Tick,
    pub(super) polling: bool,
}

/// A dispatch that a leaf works on.
pub(super) struct Run {
    pub(super) key: AttemptKey,
    pub(super) leaf: String,
    pub(super) sending: OutgoingAttempt,
}

/// A call on its way.
pub(super) struct Call {
    pub(super) kind: usize,
    pub(super) asked: Asked,
    pub(super) querier: usize,
    pub(super) life: u64,
    pub(super) began: Tick,
}

/// An operator's request on its way.
pub struct OperatorRequest {
    /// Its request id, if another order had it before: it is sent again.
    pub request: Option<String>,
    pub operation: Operation,
    pub at: Tick,
    pub controller: Option<usize>,
    pub result: Option<OperationResult>,
    /// Zone that it empties or fills.
    pub zone: Option<(String, bool)>,
    /// An object that only this order sets, to look for at the end.
    pub marker: Option<String>,
    /// The revision that the operator read before.
    pub expect: Option<u64>,
}

/// What calls of a kind came to.
#[derive(Default, Clone)]
pub struct CallOutcomes {
    pub full: u64,
    pub partial: u64,
    pub rejected: BTreeMap<String, u64>,
    pub unreachable: u64,
    pub timed_out: u64,
    pub latencies: Vec<u64>,
}

impl World {
    pub(super) fn controller_runs(&self, controller: usize, life: u64) -> bool {
        self.controllers[controller].up && self.controllers[controller].life == life
    }

    pub(super) fn querier_runs(&self, querier: usize, life: u64) -> bool {
        self.queriers[querier].up && self.queriers[querier].life == life
    }
}

/// Whether this machine's controller has a seat.
pub fn has_voter_slot(node: &ControllerNode) -> bool {
    node.state.slot != grebepath_core::voter_set::NOBODY
}
