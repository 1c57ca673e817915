//! Counters and gauges of the query engine.

use indexmap::IndexMap;

use super::request::RejectionReason;
use crate::http_api::leaf::AttemptFailure;

/// Counters and gauges, for metrics and measurements.
#[derive(Clone, Default, Debug)]
pub struct EngineStatistics {
    pub full: u64,
    pub partial: u64,
    pub rejected: IndexMap<RejectionReason, u64>,
    pub failures: IndexMap<AttemptFailure, u64>,
    pub first_attempts: u64,
    pub retries: u64,
    /// Retries and hedges that the retry budget did not allow.
    pub retries_denied: u64,
    pub cancelled: u64,
    /// Attempts to versions under trial, and those of them that failed.
    pub trial_attempts: u64,
    pub trial_failures: u64,
    /// Outcomes by latency: upper bounds in ms, the last bucket without one.
    pub latency_buckets: [u64; 12],
    /// Current open queries, attempts in flight and shards that wait for free capacity.
    pub queries: u64,
    pub in_flight: u64,
    pub queued: u64,
}

/// Upper bounds of `EngineStatistics::latency_buckets` in milliseconds.
pub const LATENCY_BUCKETS_MS: [u64; 11] = [2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000];
