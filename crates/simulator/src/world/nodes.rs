//! The machines of a world, and what is in progress between them.

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
    /// The zone in which it stands.
    pub zone: String,
    /// How often its process was started or ended.
    pub life: u64,
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
    /// It was asked to stop.
    pub stopping: Option<Stopping>,
}

impl ControllerNode {
    /// Whether its controller has a voter slot.
    pub fn has_voter_slot(&self) -> bool {
        self.state.slot != grebepath_core::voter_set::NO_SLOT
    }

    /// The end of its connections, as the controller of this number.
    pub(super) fn endpoint(&self, number: usize) -> Endpoint<'_> {
        Endpoint { node: Node::Controller(number as u8), zone: &self.zone }
    }
}

/// What follows when a controller that was asked to stop has ended.
pub struct Stopping {
    /// When it starts again; never if it was removed.
    pub restart: Option<Span>,
}

/// A querier's machine.
pub struct QuerierNode {
    /// Its name as a member.
    pub name: String,
    /// The zone in which it stands.
    pub zone: String,
    /// How often its process was started or ended.
    pub life: u64,
    /// Whether its process runs.
    pub up: bool,
    /// Its node agent.
    pub node_agent: NodeAgent,
    /// Its query engines, one a thread.
    pub query_engines: Vec<QueryEngine>,
    pub(super) wake_at: Vec<Tick>,
    /// When its process was started.
    pub began: Tick,
    /// Whether it says that it is ready.
    pub ready: bool,
    /// Until when its process is paused.
    pub paused: Tick,
    pub(super) polling: bool,
}

impl QuerierNode {
    /// The end of its connections, as the querier of this number.
    pub(super) fn endpoint(&self, number: usize) -> Endpoint<'_> {
        Endpoint { node: Node::Querier(number), zone: &self.zone }
    }
}

/// An attempt that a leaf works on.
pub(super) struct Run {
    pub(super) key: AttemptKey,
    pub(super) leaf: String,
    pub(super) sending: OutgoingAttempt,
}

/// A request on its way to a leaf.
#[derive(Clone, Copy)]
pub(super) struct RequestUnderWay {
    /// When it reaches the leaf.
    pub(super) arrives_at: Tick,
    /// Its sender has closed the connection before it could be sent.
    pub(super) closed: bool,
}

/// A call that is in progress.
pub(super) struct Call {
    pub(super) kind: usize,
    pub(super) asked: Asked,
    pub(super) querier: usize,
    pub(super) life: u64,
    pub(super) began: Tick,
}

/// How the calls of a kind ended.
#[derive(Default, Clone)]
pub struct CallOutcomes {
    /// Answered in full.
    pub full: u64,
    /// Answered in part.
    pub partial: u64,
    /// Rejected, by reason.
    pub rejected: BTreeMap<String, u64>,
    /// Calls that found no querier, or whose querier ended.
    pub unreachable: u64,
    /// Not answered before the deadline.
    pub timed_out: u64,
    /// Times to the answers (us).
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
