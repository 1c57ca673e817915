//! What is asked of the owner of queries, and what comes of it.

use std::fmt;

use serde_json::Value;

use crate::query::forwarded_request::{ForwardedReply, MergedReply};
use crate::time::Span;

/// A caller's question, read and checked for form.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    pub route: String,
    pub question: Value,
    pub key: Option<String>,
    pub record_limit: u32,
    /// The time the caller will wait.
    pub timeout: Span,
}

/// A record of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub id: String,
    pub score: f64,
    pub shard: String,
    pub data: Value,
}

/// A success: every shard in `shards` truly answered this query.
///
/// Invariants: names in `shards` stand once; `shards.len() + missing` is the
/// number of planned shards; `records` are the best of those shards, in order.
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

/// Why a call was bounced.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub enum RejectionReason {
    InvalidRequest,
    MissingKey,
    UnknownRoute,
    TooLarge,
    /// This node works on all it may for this class.
    ConcurrencyLimit,
    /// No leaf had room in time.
    NoCapacity,
    /// No leaf at all is known for a needed shard.
    NoLeaf,
    /// Dispatches failed and no more tries were allowed.
    BelowQuorum,
    /// The budget ran out below quorum.
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

/// A call that is turned away, with a reason for machines and one for people.
#[derive(Clone, Debug)]
pub struct Rejection {
    pub reason: RejectionReason,
    pub text: String,
    pub query: Option<String>,
    /// Seconds after which the caller may ask again, where that helps.
    pub retry_after_seconds: Option<u64>,
    /// The same, exactly, for those who can tell it so.
    pub retry_after: Option<Span>,
    /// A leaf has worked on the call, or may have.
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

/// The end of a call.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(SearchAnswer),
    Rejected(Rejection),
    /// Of a call that was handed over: one leaf's answer.
    Forwarded(ForwardedReply),
    /// Of a call that was handed over: the parts of several shards.
    Merged(MergedReply),
}
