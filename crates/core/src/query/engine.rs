//! The state of the query engine: queries, attempts and leafs of one traffic thread.

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

/// Whether this node accepts calls, and if not, why.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ServingState {
    /// No cluster view has been received yet.
    NoSnapshot,
    Serving,
    /// This node is isolated by a network partition.
    Isolated,
    /// This process is shutting down: it finishes open queries and accepts no new ones.
    ShuttingDown,
}

/// The query engine of one traffic thread. It is a state machine without I/O.
///
/// Invariants: an attempt that is not abandoned and whose query is still open is listed in
/// `in_flight` of exactly one shard of that query. A leaf's `in_flight` equals the number of its
/// entries in `attempts` and `closing`.
pub struct QueryEngine {
    pub name: String,
    pub zone: String,
    pub serving_state: ServingState,
    pub cluster_view: Arc<ClusterView>,
    /// End of the lease on the view. After it this node accepts no calls and sends no
    /// attempts.
    pub lease_valid_until: Tick,
    pub quota_share: QuotaShare,
    /// Stable number of this thread among the threads of all nodes.
    pub thread_id: u64,
    pub queries: IndexMap<u64, Query>,
    pub attempts: IndexMap<u64, Attempt>,
    /// Forwarded attempts in `attempts` whose reply is no longer needed.
    pub abandoned: AbandonedAttempts,
    /// Leaf slots of recently cancelled attempts that are not free yet.
    pub closing: ClosingSlots,
    pub leafs: IndexMap<String, LeafState>,
    pub retry_budget: RetryBudget,
    /// Retries and hedges of forwarded calls, by service.
    pub service_retry_budget: ServiceRetryBudget,
    /// Traffic threads of all nodes that open connections to leafs, sorted by thread id.
    pub peers: Vec<ConnectingThread>,
    pub latency_estimate: LatencyEstimate,
    /// Versions under trial, by service.
    pub trials: Trials,
    pub load_pressure: LoadPressure,
    pub random: Random,
    pub statistics: EngineStatistics,
    pub next_query: u64,
    pub next_attempt: u64,
}

impl QueryEngine {
    /// Returns a query engine without a cluster view. `name` must be unique to this
    /// incarnation of the process.
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

    /// Returns the counters, with the gauges set to their current values.
    pub fn current_statistics(&self) -> EngineStatistics {
        let mut out = self.statistics.clone();
        out.queries = self.queries.len() as u64;
        out.in_flight = self.attempts.len() as u64;
        out.queued = self.queries.values().map(|q| q.queued_shards() as u64).sum();
        out
    }
}
