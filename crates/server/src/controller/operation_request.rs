//! An operator's request, as parsed by the listener.

use grebepath_core::config::types::{ChangeHeader, Config, Patch};
use grebepath_core::protocol::operation::Operation;

use crate::confirmation::Confirmation;

/// An operator's request, which is a change or a query.
pub struct OperationRequest {
    /// The id in the request.
    pub request_id: Option<String>,
    /// The revision that the request says it is based on.
    pub expected_revision: Option<u64>,
    /// The requested operation.
    pub operation: Operation,
}

impl OperationRequest {
    /// Creates a request that needs neither an id nor an expected revision.
    pub fn without_id(operation: Operation) -> OperationRequest {
        OperationRequest { request_id: None, expected_revision: None, operation }
    }

    /// Whether a delayed copy of this request can't be told from a new request: it is a change
    /// without an id, a revision or an edition. A malformed request needs no confirmation, since it
    /// is not executed.
    pub fn needs_confirmation(&self) -> bool {
        if self.request_id.is_some() || self.expected_revision.is_some() {
            return false;
        }
        change_header(&self.operation)
            .is_some_and(|header| header.after.is_none() && header.edition.is_none())
    }

    /// Adds a generated id if this is a change without an id.
    pub fn with_id(mut self) -> OperationRequest {
        if self.operation.is_change() {
            self.request_id.get_or_insert_with(new_request_id);
        }
        self
    }

    /// Adds the id and the revision with which the sender confirmed the request.
    pub fn confirmed_by(mut self, confirmation: &Confirmation) -> OperationRequest {
        self.request_id = Some(confirmation.request_id.clone());
        self.expected_revision = Some(confirmation.revision);
        self
    }
}

/// Returns the header of a change, if it can be parsed.
fn change_header(operation: &Operation) -> Option<ChangeHeader> {
    match operation {
        Operation::Replace(text) => Config::from_json(text).ok().map(|config| config.change_header),
        Operation::Patch(text) => Patch::from_json(text).ok().map(|patch| patch.set.change_header),
        Operation::StartRollout(_) | Operation::AbortRollout(_) => Some(ChangeHeader::default()),
        Operation::Read
        | Operation::Status
        | Operation::ForgetMember(_)
        | Operation::ReadRollout(_) => None,
    }
}

/// Generates an id for a request without one.
pub fn new_request_id() -> String {
    let [first, second] = [grebepath_runtime::clock::nonce(), grebepath_runtime::clock::nonce()];
    format!("auto-{first:016x}-{second:016x}")
}
