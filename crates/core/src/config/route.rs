//! What a checked configuration says of routes: which shards each search has,
//! and which pools of leafs hold them.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::types::{BalancingMode, ClientLimits, PriorityClass, ServingMode};
use crate::routing_language::compile::FanOut;
use crate::routing_language::selector::Selector;
use crate::time::Span;

/// The label that tells which version of the index a pool or a leaf holds.
pub const INDEX_VERSION_LABEL: &str = "cut";

/// A search, ready to serve.
///
/// Invariants: `shards` is not empty, its names are in order and each stands
/// once; all its pools hold the index version `index_version`; no service stands under
/// two shards.
#[derive(Clone, PartialEq, Debug)]
pub struct Route {
    /// The search's name.
    pub name: String,
    /// How urgent its queries are.
    pub class: PriorityClass,
    /// Time within which callers get an outcome.
    pub timeout: Span,
    /// Required share of the planned shards, in thousandths.
    pub quorum: u32,
    /// Most dispatches for one shard of one query.
    pub attempts: u32,
    /// The version of the index that all its pools hold; empty if they name none.
    pub index_version: String,
    /// Which shards a query is planned for.
    pub fan_out: FanOut,
    /// Share of the time left that a dispatch may use before a retry, in percent.
    pub hedge_after_pct: u64,
    /// Share of the promise after which a quorum is enough, in percent.
    pub quorum_after_pct: u64,
    /// Leafs of the querier's own zone come first.
    pub prefer_local: bool,
    /// The shards, in the order of their names.
    pub shards: Vec<RouteShard>,
    /// Host by which calls come here; empty if by name.
    pub host: String,
    /// Path that such calls begin with; empty if by name.
    pub path: String,
    /// How calls and answers are treated.
    pub serving_mode: ServingMode,
    /// A call may run at most once.
    pub at_most_once: bool,
    /// Time within which an answer has its full value.
    pub target: Option<Span>,
    /// Order among searches of one class, the lowest first.
    pub rank: u32,
    /// Bytes of one record where answers are joined by bytes.
    pub record_bytes: usize,
    /// Most records of a joined answer.
    pub max_records: usize,
    /// Weight of each shard, in their order.
    pub weights: Vec<u64>,
}

impl Route {
    /// How many of `planned` shards make the quorum: at least one.
    pub fn required_shards(&self, planned: usize) -> usize {
        (planned * self.quorum as usize).div_ceil(1000).clamp(1, planned.max(1))
    }
}

/// A shard of a route and the pools that hold it.
#[derive(Clone, PartialEq, Debug)]
pub struct RouteShard {
    /// The shard's name: a value of the label that the plan shards by.
    pub name: String,
    /// The pools that hold it, in the order of their names.
    pub pools: Vec<CompiledPool>,
}

/// A pool, ready to choose leafs from.
#[derive(Clone, PartialEq, Debug)]
pub struct CompiledPool {
    /// The pool's name.
    pub name: String,
    /// The service whose leafs it takes.
    pub service: String,
    /// Chooses among the service's leafs by their labels.
    pub selector: Selector,
    /// Dispatches that a warm leaf bears at once, over all nodes.
    pub leaf_capacity: u32,
    /// Time that a fresh leaf takes to bear all of that.
    pub slow_start: Span,
    /// How dispatches are spread over the leafs.
    pub balancing: BalancingMode,
    /// Most connections that a leaf takes from all nodes; zero if not said.
    pub connections: u32,
    /// Thousandths of a dispatch that a cold leaf bears a second.
    pub cold_rate: u32,
}

/// A checked configuration.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct RoutingTable {
    /// The routes by their searches' names.
    pub routes: IndexMap<String, Route>,
    /// Zones whose leafs get no new work.
    pub drained: BTreeSet<String>,
    /// Limits for clients, and the edition.
    pub client_limits: ClientLimits,
}
