//! Routes of a validated configuration: the shards of each search, and the pools of leafs that
//! hold them.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::types::{BalancingMode, ClientLimits, PriorityClass, ServingMode};
use crate::routing_language::compile::FanOut;
use crate::routing_language::selector::Selector;
use crate::time::Span;

/// The label with the index version that a pool or a leaf holds.
pub const INDEX_VERSION_LABEL: &str = "cut";

/// A compiled search.
///
/// Invariants: `shards` is not empty, and its names are sorted and unique; all its pools hold
/// the index version `index_version`; no service belongs to two shards.
#[derive(Clone, PartialEq, Debug)]
pub struct Route {
    /// The search's name.
    pub name: String,
    /// How urgent its queries are.
    pub priority_class: PriorityClass,
    /// Time within which callers get an answer or a rejection.
    pub timeout: Span,
    /// Required share of the planned shards, in thousandths.
    pub quorum: u32,
    /// Maximum number of attempts for one shard of one query.
    pub attempts: u32,
    /// The index version that all its pools hold; empty if they name none.
    pub index_version: String,
    /// Which shards a query is planned for.
    pub fan_out: FanOut,
    /// Share of the remaining time after which an unanswered attempt is hedged, in percent.
    pub hedge_after_pct: u64,
    /// Share of the timeout after which a quorum of the shards suffices, in percent.
    pub quorum_after_pct: u64,
    /// Whether leafs in the querier's zone are preferred.
    pub prefer_local: bool,
    /// The shards, sorted by name.
    pub shards: Vec<RouteShard>,
    /// Host of the calls that are routed here; empty if the search is called by name.
    pub host: String,
    /// Path prefix of these calls; empty if the search is called by name.
    pub path: String,
    /// How calls are forwarded and answers are composed.
    pub serving_mode: ServingMode,
    /// Whether a call must not be executed more than once.
    pub at_most_once: bool,
    /// Latency target: a later answer is worth less.
    pub latency_target: Option<Span>,
    /// Priority among searches of one class, the lowest first.
    pub rank_in_class: u32,
    /// Size of one record where answers are merged by bytes.
    pub record_bytes: usize,
    /// Maximum number of records of a merged answer.
    pub max_records: usize,
    /// Weight of each shard, in the order of `shards`.
    pub weights: Vec<u64>,
}

impl Route {
    /// Returns how many of `planned` shards form the quorum, at least one.
    pub fn required_shards(&self, planned: usize) -> usize {
        (planned * self.quorum as usize).div_ceil(1000).clamp(1, planned.max(1))
    }
}

/// A shard of a route and the pools that hold it.
#[derive(Clone, PartialEq, Debug)]
pub struct RouteShard {
    /// The shard's name: the value of the plan's shard label.
    pub name: String,
    /// The pools that hold it, sorted by name.
    pub pools: Vec<CompiledPool>,
}

/// A pool with its compiled selector.
#[derive(Clone, PartialEq, Debug)]
pub struct CompiledPool {
    /// The pool's name.
    pub name: String,
    /// The service that its leafs belong to.
    pub service: String,
    /// Selects among the service's leafs by their labels.
    pub selector: Selector,
    /// Concurrent attempts that a warm leaf accepts from all nodes together.
    pub leaf_capacity: u32,
    /// Time after which a newly started leaf has its full capacity.
    pub slow_start: Span,
    /// How attempts are distributed over the leafs.
    pub balancing: BalancingMode,
    /// Maximum number of connections to a leaf from all nodes; zero if not set.
    pub connections: u32,
    /// Attempts per second that a cold leaf accepts, in thousandths.
    pub cold_leaf_rate_milli: u32,
}

/// A validated configuration.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct RoutingTable {
    /// The routes, by the name of their search.
    pub routes: IndexMap<String, Route>,
    /// Zones whose leafs receive no new attempts.
    pub drained: BTreeSet<String>,
    /// Client limits and the edition.
    pub client_limits: ClientLimits,
}
