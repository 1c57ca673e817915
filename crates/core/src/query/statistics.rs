//! What the query engine counts.

use indexmap::IndexMap;

use super::request::RejectionReason;
use crate::http_api::leaf::AttemptFailure;

/// What is counted, for metrics and measurements.
#[derive(Clone, Default, Debug)]
pub struct EngineStatistics {
    pub full: u64,
    pub partial: u64,
    pub rejected: IndexMap<RejectionReason, u64>,
    pub failures: IndexMap<AttemptFailure, u64>,
    pub first_attempts: u64,
    pub retries: u64,
    /// Second tries that the fleet's rule did not allow.
    pub retries_denied: u64,
    pub cancelled: u64,
    /// Attempts at versions that are tried, and those of them that failed.
    pub trial_attempts: u64,
    pub trial_failures: u64,
    /// Outcomes by time taken: upper bounds in ms, last one without bound.
    pub latency_buckets: [u64; 12],
    /// Queries, dispatches out and shards waiting for room, now.
    pub queries: u64,
    pub in_flight: u64,
    pub queued: u64,
}

/// Upper bounds of `Counts::took` in milliseconds.
pub const LATENCY_BUCKETS_MS: [u64; 11] = [2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000];
