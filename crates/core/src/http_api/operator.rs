//! Operator requests to a controller and their responses.

use serde_json::{Value, json};

use crate::diagnostic::Diagnostic;

/// Header with the idempotency id under which a request may safely be sent again.
pub const REQUEST_ID: &str = "request-id";
/// Header with the revision that the change is based on.
pub const EXPECT_REVISION: &str = "expect-revision";
/// Path of the configuration.
pub const CONFIG: &str = "/v1/config";
/// Path of the status.
pub const STATUS: &str = "/v1/status";

/// Result of a request that changes the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorOutcome {
    /// Synced by a majority; `replicas` is the number of replicas that have synced it so far.
    Accepted { revision: u64, replicas: u32, repeated: bool },
    /// Invalid; nothing was applied.
    Invalid(Vec<Diagnostic>),
    /// The current revision differs from the expected one.
    RevisionMoved { revision: u64 },
    /// Certainly not applied; safe to send again.
    Rejected { reason: String },
    /// May or may not be applied; send it again with the same request id.
    Unknown { reason: String },
}

/// Returns the HTTP status and body for an outcome.
pub fn write(op: &OperatorOutcome) -> (u16, Value) {
    match op {
        OperatorOutcome::Accepted { revision, replicas, repeated } => {
            (200, json!({ "revision": revision, "copies": replicas, "again": repeated }))
        }
        OperatorOutcome::Invalid(all) => {
            (422, json!({ "error": "wrong", "findings": findings(all) }))
        }
        OperatorOutcome::RevisionMoved { revision } => {
            (412, json!({ "error": "revision-moved", "revision": revision }))
        }
        OperatorOutcome::Rejected { reason } => {
            (503, json!({ "error": "not-applied", "text": reason }))
        }
        OperatorOutcome::Unknown { reason } => (504, json!({ "error": "unknown", "text": reason })),
    }
}

/// Returns the message for a request with a base so old that the requests accepted on it may no
/// longer be remembered.
pub fn forgotten(revision: u64, edition: u64) -> String {
    format!(
        "orders on a base up to revision {revision} or edition {edition} are no longer \
         remembered: read the configuration to see whether this one was accepted"
    )
}

/// Formats diagnostics as JSON findings.
pub fn findings(all: &[Diagnostic]) -> Vec<Value> {
    all.iter().map(|f| json!({ "place": f.location, "text": f.text() })).collect()
}
