//! One attempt: a request for a planned shard that was sent to a leaf.

use std::sync::Arc;

use crate::config::route::Route;
use crate::time::Tick;

/// One attempt of a query's planned shard at a leaf.
pub struct Attempt {
    pub query: u64,
    pub shard: usize,
    pub leaf: String,
    pub service: String,
    /// The route pinned by its query.
    pub route: Arc<Route>,
    pub id: String,
    pub sent_at: Tick,
    /// The attempt belongs to a request that is forwarded unchanged.
    pub forwarded: bool,
    /// The request may run at most once, so the attempt is never cancelled.
    pub at_most_once: bool,
    /// Its reply is no longer needed.
    pub is_abandoned: bool,
    /// A later attempt was answered first. This has already been counted as a failure of the
    /// leaf.
    pub is_overtaken: bool,
}
