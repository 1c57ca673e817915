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
pub enum OperatorOutcome {
    /// Synced by a majority; `copies` tells by how many replicas so far.
    Accepted { revision: u64, replicas: u32, repeated: bool },
    /// Found wrong as a whole; nothing was applied.
    Invalid(Vec<Diagnostic>),
    /// The revision has moved on from the expected one.
    RevisionMoved { revision: u64 },
    /// Certainly not applied; safe to send again.
    Rejected { reason: String },
    /// May or may not be applied; ask again under the same request id.
    Unknown { reason: String },
}

/// Status and body for an outcome.
pub fn write(op: &OperatorOutcome) -> (u16, Value) {
    match op {
        OperatorOutcome::Accepted { revision, replicas: copies, repeated: again } => {
            (200, json!({ "revision": revision, "copies": copies, "again": again }))
        }
        OperatorOutcome::Invalid(all) => {
            (422, json!({ "error": "wrong", "findings": findings(all) }))
        }
        OperatorOutcome::RevisionMoved { revision } => {
            (412, json!({ "error": "revision-moved", "revision": revision }))
        }
        OperatorOutcome::Rejected { reason: why } => {
            (503, json!({ "error": "not-applied", "text": why }))
        }
        OperatorOutcome::Unknown { reason: why } => {
            (504, json!({ "error": "unknown", "text": why }))
        }
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
    all.iter().map(|f| json!({ "place": f.location, "text": f.text() })).collect()
}
