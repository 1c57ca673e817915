//! The state of one traffic thread: its queries, attempts and leafs.

use std::sync::Arc;

use indexmap::IndexMap;

use super::attempt::Dispatch;
use super::connection_subset::Peer;
use super::latency_estimate::LatencyEstimate;
use super::leaf::Leaf;
use super::planned_query::{Query, wanting};
use super::quota::Share;
use super::retry::LoadPressure;
use super::retry_budget::Rule;
use super::service_retry_budget::ServiceRetryBudget;
use super::statistics::Counts;
use crate::random::Random;
use crate::snapshot::cluster_view::ClusterView;
use crate::time::Tick;

/// Which calls are taken.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Door {
    /// No view is held yet.
    Shut,
    Open,
    /// This node is cut off alone.
    CutOff,
    /// This process is going down; what is in hand is finished.
    Stopping,
}

/// The owner of one traffic thread's queries.
///
/// Invariants: every dispatch in `dispatches` belongs to a query in `queries`
/// and stands in exactly one slot's `outs`; a leaf's `live` equals the number
/// of dispatches to it.
pub struct QueryEngine {
    pub name: String,
    pub zone: String,
    pub door: Door,
    pub view: Arc<ClusterView>,
    /// Until when we may act on the view; later we neither take calls nor
    /// send dispatches.
    pub grip: Tick,
    pub share: Share,
    /// Our own stable number among the threads of all nodes.
    pub slot: u64,
    pub queries: IndexMap<u64, Query>,
    pub dispatches: IndexMap<u64, Dispatch>,
    pub leafs: IndexMap<String, Leaf>,
    pub rule: Rule,
    /// Second tries of calls that are handed over, by service.
    pub quota: ServiceRetryBudget,
    /// All nodes that open connections to leafs, in order.
    pub peers: Vec<Peer>,
    pub waits: LatencyEstimate,
    pub strain: LoadPressure,
    pub luck: Random,
    pub counts: Counts,
    pub next_query: u64,
    pub next_dispatch: u64,
}

/// A desk without a view. `name` must be unique to this life of the process.
pub fn desk(name: &str, zone: &str, seed: u64, now: Tick) -> QueryEngine {
    QueryEngine {
        name: name.to_string(),
        zone: zone.to_string(),
        door: Door::Shut,
        view: Arc::new(ClusterView::default()),
        grip: 0,
        share: Share::default(),
        slot: 0,
        queries: IndexMap::new(),
        dispatches: IndexMap::new(),
        leafs: IndexMap::new(),
        rule: crate::query::retry_budget::rule(now),
        quota: crate::query::service_retry_budget::quota(crate::query::service_retry_budget::own()),
        peers: Vec::new(),
        waits: LatencyEstimate::default(),
        strain: LoadPressure::default(),
        luck: crate::random::Random::new(seed),
        counts: Counts::default(),
        next_query: 0,
        next_dispatch: 0,
    }
}

/// The counts with the gauges of this moment.
pub fn counts(desk: &QueryEngine) -> Counts {
    let mut out = desk.counts.clone();
    out.queries = desk.queries.len() as u64;
    out.out = desk.dispatches.len() as u64;
    out.wanting = desk.queries.values().map(|q| wanting(q) as u64).sum();
    out
}
