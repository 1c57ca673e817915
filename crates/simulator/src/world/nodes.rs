//! The machines of a world, and what is under way between them.

use std::collections::BTreeMap;

use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::membership::node_agent::Watch;
use grebepath_core::protocol::message::{Operation, OperationResult};
use grebepath_core::query::engine::{QueryEngine, Sending};
use grebepath_core::time::{Span, Tick};

use super::World;
use super::events::RunKey;
use crate::check::Asked;
use crate::simulated_disk::Disk;

/// A controller's machine.
pub struct ControllerNode {
    pub zone: String,
    pub life: u64,
    pub up: bool,
    pub core: ControllerState,
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
    pub watch: Watch,
    pub desks: Vec<QueryEngine>,
    pub(super) wakes: Vec<Tick>,
    pub began: Tick,
    pub ready: bool,
    pub paused: Tick,
    pub(super) polling: bool,
}

/// A dispatch that a leaf works on.
pub(super) struct Run {
    pub(super) key: RunKey,
    pub(super) leaf: String,
    pub(super) sending: Sending,
}

/// A call on its way.
pub(super) struct Call {
    pub(super) kind: usize,
    pub(super) asked: Asked,
    pub(super) q: usize,
    pub(super) life: u64,
    pub(super) began: Tick,
}

/// An operator's request on its way.
pub struct Order {
    /// Its request id, if another order had it before: it is sent again.
    pub request: Option<String>,
    pub deed: Operation,
    pub at: Tick,
    pub seat: Option<usize>,
    pub done: Option<OperationResult>,
    /// Zone that it empties or fills.
    pub zone: Option<(String, bool)>,
    /// An object that only this order sets, to look for at the end.
    pub mark: Option<String>,
    /// The revision that the operator read before.
    pub expect: Option<u64>,
}

/// What calls of a kind came to.
#[derive(Default, Clone)]
pub struct Tally {
    pub full: u64,
    pub partial: u64,
    pub bounced: BTreeMap<String, u64>,
    pub unreachable: u64,
    pub late: u64,
    pub waits: Vec<u64>,
}

pub(super) fn alive(w: &World, s: usize, life: u64) -> bool {
    w.seats[s].up && w.seats[s].life == life
}

pub(super) fn live(w: &World, q: usize, life: u64) -> bool {
    w.queriers[q].up && w.queriers[q].life == life
}

/// Whether this machine's controller has a seat.
pub fn seated(n: &ControllerNode) -> bool {
    n.core.slot != grebepath_core::voter_set::NOBODY
}
