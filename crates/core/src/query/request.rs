//! Requests to the query engine and their outcomes.

use std::fmt;

use serde_json::Value;

use crate::query::forwarded_request::{ForwardedReply, MergedReply};
use crate::time::Span;

/// A caller's search request, parsed and validated.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    pub route: String,
    pub question: Value,
    pub key: Option<String>,
    pub record_limit: u32,
    /// How long the caller waits.
    pub timeout: Span,
}

/// A record of a search answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub id: String,
    pub score: f64,
    pub shard: String,
    pub data: Value,
}

/// A complete or partial answer: every shard in `shards` answered this query.
///
/// Invariants: `shards` has no duplicates; `shards.len() + missing` is the number of planned
/// shards; `records` are the best records of these shards, sorted.
#[derive(Clone, Debug)]
pub struct SearchAnswer {
    pub query: String,
    pub route: String,
    pub index_version: String,
    pub revision: u64,
    pub shards: Vec<String>,
    pub missing: usize,
    pub records: Vec<Record>,
}

/// Why a call was rejected.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub enum RejectionReason {
    InvalidRequest,
    MissingKey,
    UnknownRoute,
    TooLarge,
    /// This node has reached its limit of open queries for the priority class.
    ConcurrencyLimit,
    /// No leaf had free capacity in time.
    NoCapacity,
    /// A required shard has no leaf that may be used.
    NoLeaf,
    /// Too many shards failed and no more attempts were allowed.
    BelowQuorum,
    /// The time budget ran out before a quorum of shards answered.
    DeadlineExceeded,
    ShuttingDown,
    Isolated,
    NoSnapshot,
}

impl fmt::Display for RejectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectionReason::InvalidRequest => "bad-call",
            RejectionReason::MissingKey => "no-key",
            RejectionReason::UnknownRoute => "no-mapping",
            RejectionReason::TooLarge => "too-large",
            RejectionReason::ConcurrencyLimit => "crowded",
            RejectionReason::NoCapacity => "no-room",
            RejectionReason::NoLeaf => "no-leafs",
            RejectionReason::BelowQuorum => "below-quorum",
            RejectionReason::DeadlineExceeded => "out-of-time",
            RejectionReason::ShuttingDown => "stopping",
            RejectionReason::Isolated => "cut-off",
            RejectionReason::NoSnapshot => "no-view",
        })
    }
}

/// The rejection of a call, with a machine-readable reason and a text.
#[derive(Clone, Debug)]
pub struct Rejection {
    pub reason: RejectionReason,
    pub text: String,
    pub query: Option<String>,
    /// Seconds after which the caller may retry, if a retry can help.
    pub retry_after_seconds: Option<u64>,
    /// Time after which the caller of a forwarded call may retry, for protocols that can express
    /// it exactly.
    pub retry_after: Option<Span>,
    /// A leaf has executed the call, or may have.
    pub executed: bool,
}

impl Rejection {
    pub fn new(reason: RejectionReason, text: impl Into<String>) -> Rejection {
        Rejection {
            reason,
            text: text.into(),
            query: None,
            retry_after_seconds: None,
            retry_after: None,
            executed: false,
        }
    }
}

/// The outcome of a call.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(SearchAnswer),
    Rejected(Rejection),
    /// One leaf's reply to a forwarded call.
    Forwarded(ForwardedReply),
    /// The merged results of several shards for a forwarded call.
    Merged(MergedReply),
}
