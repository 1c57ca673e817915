//! What the query engine counts.

use indexmap::IndexMap;

use super::request::Reason;
use crate::http_api::leaf::Trouble;

/// What is counted, for metrics and measurements.
#[derive(Clone, Default, Debug)]
pub struct Counts {
    pub full: u64,
    pub partial: u64,
    pub bounced: IndexMap<Reason, u64>,
    pub trouble: IndexMap<Trouble, u64>,
    pub firsts: u64,
    pub seconds: u64,
    /// Second tries that the fleet's rule did not allow.
    pub denied: u64,
    pub dropped: u64,
    /// Outcomes by time taken: upper bounds in ms, last one without bound.
    pub took: [u64; 12],
    /// Queries, dispatches out and shards waiting for room, now.
    pub queries: u64,
    pub out: u64,
    pub wanting: u64,
}

/// Upper bounds of `Counts::took` in milliseconds.
pub const TOOK_MS: [u64; 11] = [2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000];
