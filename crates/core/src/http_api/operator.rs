//! What operators send to a controller and get back.

use serde_json::{Value, json};

use crate::diagnostic::Diagnostic;

/// Header with the id under which a request may safely be sent again.
pub const REQUEST_ID: &str = "request-id";
/// Header with the revision that the operator expects to change.
pub const EXPECT_REVISION: &str = "expect-revision";
/// Path of the configuration.
pub const CONFIG: &str = "/v1/config";
/// Path of the status.
pub const STATUS: &str = "/v1/status";

/// What came of a request that changes the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Operated {
    /// Synced by a majority; `copies` tells by how many replicas so far.
    Accepted { revision: u64, copies: u32, again: bool },
    /// Found wrong as a whole; nothing was applied.
    Wrong(Vec<Diagnostic>),
    /// The revision has moved on from the expected one.
    Moved { revision: u64 },
    /// Certainly not applied; safe to send again.
    Bounced { why: String },
    /// May or may not be applied; ask again under the same request id.
    Unknown { why: String },
}

/// Status and body for an outcome.
pub fn write(op: &Operated) -> (u16, Value) {
    match op {
        Operated::Accepted { revision, copies, again } => {
            (200, json!({ "revision": revision, "copies": copies, "again": again }))
        }
        Operated::Wrong(all) => (422, json!({ "error": "wrong", "findings": findings(all) })),
        Operated::Moved { revision } => {
            (412, json!({ "error": "revision-moved", "revision": revision }))
        }
        Operated::Bounced { why } => (503, json!({ "error": "not-applied", "text": why })),
        Operated::Unknown { why } => (504, json!({ "error": "unknown", "text": why })),
    }
}

/// Why there is no clear answer to an order on a base so old that what was
/// accepted on it may be forgotten.
pub fn forgotten(revision: u64, edition: u64) -> String {
    format!(
        "orders on a base up to revision {revision} or edition {edition} are no longer \
         remembered: read the configuration to see whether this one was accepted"
    )
}

/// Findings as JSON.
pub fn findings(all: &[Diagnostic]) -> Vec<Value> {
    all.iter().map(|f| json!({ "place": f.place, "text": f.text() })).collect()
}
