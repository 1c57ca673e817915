//! The state of one traffic thread: its queries, attempts and leafs.

use std::sync::Arc;

use indexmap::IndexMap;

use super::attempt::Attempt;
use super::cancellation::{AbandonedAttempts, ClosingSlots};
use super::connection_subset::ConnectingThread;
use super::latency_estimate::LatencyEstimate;
use super::leaf::LeafState;
use super::planned_query::Query;
use super::quota::QuotaShare;
use super::retry_after::LoadPressure;
use super::retry_budget::RetryBudget;
use super::service_retry_budget::{RetryRate, ServiceRetryBudget};
use super::statistics::EngineStatistics;
use super::trials::Trials;
use crate::random::Random;
use crate::snapshot::cluster_view::ClusterView;
use crate::time::Tick;

/// Which calls are taken.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ServingState {
    /// No view is held yet.
    NoSnapshot,
    Serving,
    /// This node is cut off alone.
    Isolated,
    /// This process is going down; what is in hand is finished.
    ShuttingDown,
}

/// The owner of one traffic thread's queries.
///
/// Invariants: every dispatch in `dispatches` belongs to a query in `queries`
/// and stands in exactly one slot's `outs`; a leaf's `live` equals the number
/// of dispatches to it.
pub struct QueryEngine {
    pub name: String,
    pub zone: String,
    pub serving_state: ServingState,
    pub cluster_view: Arc<ClusterView>,
    /// Until when we may act on the view; later we neither take calls nor
    /// send dispatches.
    pub lease_valid_until: Tick,
    pub quota_share: QuotaShare,
    /// Our own stable number among the threads of all nodes.
    pub thread_id: u64,
    pub queries: IndexMap<u64, Query>,
    pub attempts: IndexMap<u64, Attempt>,
    /// Attempts of `attempts` whose reply nobody waits for.
    pub abandoned: AbandonedAttempts,
    /// Slots of leafs whose attempts were cancelled a moment ago.
    pub closing: ClosingSlots,
    pub leafs: IndexMap<String, LeafState>,
    pub retry_budget: RetryBudget,
    /// Second tries of calls that are handed over, by service.
    pub service_retry_budget: ServiceRetryBudget,
    /// All nodes that open connections to leafs, in order.
    pub peers: Vec<ConnectingThread>,
    pub latency_estimate: LatencyEstimate,
    /// Versions that are tried, by service.
    pub trials: Trials,
    pub load_pressure: LoadPressure,
    pub random: Random,
    pub statistics: EngineStatistics,
    pub next_query: u64,
    pub next_attempt: u64,
}

impl QueryEngine {
    /// A desk without a view. `name` must be unique to this life of the process.
    pub fn new(name: &str, zone: &str, seed: u64, now: Tick) -> QueryEngine {
        QueryEngine {
            name: name.to_string(),
            zone: zone.to_string(),
            serving_state: ServingState::NoSnapshot,
            cluster_view: Arc::new(ClusterView::default()),
            lease_valid_until: 0,
            quota_share: QuotaShare::default(),
            thread_id: 0,
            queries: IndexMap::new(),
            attempts: IndexMap::new(),
            abandoned: AbandonedAttempts::default(),
            closing: ClosingSlots::default(),
            leafs: IndexMap::new(),
            retry_budget: RetryBudget::new(now),
            service_retry_budget: ServiceRetryBudget::new(RetryRate::standard()),
            peers: Vec::new(),
            latency_estimate: LatencyEstimate::default(),
            trials: Trials::default(),
            load_pressure: LoadPressure::default(),
            random: Random::new(seed),
            statistics: EngineStatistics::default(),
            next_query: 0,
            next_attempt: 0,
        }
    }

    /// The counts with the gauges of this moment.
    pub fn current_statistics(&self) -> EngineStatistics {
        let mut out = self.statistics.clone();
        out.queries = self.queries.len() as u64;
        out.in_flight = self.attempts.len() as u64;
        out.queued = self.queries.values().map(|q| q.queued_shards() as u64).sum();
        out
    }
}
