//! What is asked of the owner of queries, and what comes of it.

use std::fmt;

use serde_json::Value;

use crate::query::forwarded_request::{Joined, Passed};
use crate::time::Span;

/// A caller's question, read and checked for form.
#[derive(Clone, Debug)]
pub struct Ask {
    pub mapping: String,
    pub question: Value,
    pub key: Option<String>,
    pub limit: u32,
    /// The time the caller will wait.
    pub budget: Span,
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
pub struct Full {
    pub query: String,
    pub mapping: String,
    pub cut: String,
    pub revision: u64,
    pub shards: Vec<String>,
    pub missing: usize,
    pub records: Vec<Record>,
}

/// Why a call was bounced.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub enum Reason {
    BadCall,
    NoKey,
    NoMapping,
    TooLarge,
    /// This node works on all it may for this class.
    Crowded,
    /// No leaf had room in time.
    NoRoom,
    /// No leaf at all is known for a needed shard.
    NoLeafs,
    /// Dispatches failed and no more tries were allowed.
    BelowQuorum,
    /// The budget ran out below quorum.
    OutOfTime,
    Stopping,
    CutOff,
    NoView,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::BadCall => "bad-call",
            Reason::NoKey => "no-key",
            Reason::NoMapping => "no-mapping",
            Reason::TooLarge => "too-large",
            Reason::Crowded => "crowded",
            Reason::NoRoom => "no-room",
            Reason::NoLeafs => "no-leafs",
            Reason::BelowQuorum => "below-quorum",
            Reason::OutOfTime => "out-of-time",
            Reason::Stopping => "stopping",
            Reason::CutOff => "cut-off",
            Reason::NoView => "no-view",
        })
    }
}

/// A call that is turned away, with a reason for machines and one for people.
#[derive(Clone, Debug)]
pub struct Rejection {
    pub reason: Reason,
    pub text: String,
    pub query: Option<String>,
    /// Seconds after which the caller may ask again, where that helps.
    pub again_s: Option<u64>,
    /// The same, exactly, for those who can tell it so.
    pub again: Option<Span>,
    /// A leaf has worked on the call, or may have.
    pub ran: bool,
}

impl Rejection {
    pub fn new(reason: Reason, text: impl Into<String>) -> Rejection {
        Rejection { reason, text: text.into(), query: None, again_s: None, again: None, ran: false }
    }
}

/// The end of a call.
#[derive(Clone, Debug)]
pub enum Outcome {
    Full(Full),
    Rejection(Rejection),
    /// Of a call that was handed over: one leaf's answer.
    Passed(Passed),
    /// Of a call that was handed over: the parts of several shards.
    Joined(Joined),
}
