//! One attempt: a planned shard's question on its way to a leaf.

use std::sync::Arc;

use crate::config::route::Route;
use crate::time::Tick;

/// One dispatch: tied to a query, a planned shard and a leaf.
pub struct Attempt {
    pub query: u64,
    pub shard: usize,
    pub leaf: String,
    pub service: String,
    /// The route of its query.
    pub route: Arc<Route>,
    pub id: String,
    pub sent_at: Tick,
    /// It belongs to a request that is forwarded unchanged.
    pub forwarded: bool,
    /// It may run once only, so that the leaf is left to finish it.
    pub at_most_once: bool,
    /// Nobody waits for its reply any more.
    pub is_abandoned: bool,
    /// It was overtaken by a later attempt, which already counts against its leaf.
    pub is_overtaken: bool,
}
