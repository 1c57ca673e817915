//! An operator's order as the listener read it.

use grebepath_core::config::types::{ChangeHeader, Config, Patch};
use grebepath_core::protocol::operation::Operation;

use crate::confirmation::Confirmation;

/// An operator's order, or a question.
pub struct OperationRequest {
    /// The id that it brought.
    pub request_id: Option<String>,
    /// The revision that it says it builds on.
    pub expected_revision: Option<u64>,
    /// What is asked.
    pub operation: Operation,
}

impl OperationRequest {
    /// A request that needs no id.
    pub fn without_id(operation: Operation) -> OperationRequest {
        OperationRequest { request_id: None, expected_revision: None, operation }
    }

    /// Whether nothing tells a copy of it that comes late from a new order: it is a change,
    /// brings no id, and names no revision or edition. What can't be read needs
    /// no confirmation, since it is not carried out.
    pub fn needs_confirmation(&self) -> bool {
        if self.request_id.is_some() || self.expected_revision.is_some() {
            return false;
        }
        change_header(&self.operation)
            .is_some_and(|header| header.after.is_none() && header.edition.is_none())
    }

    /// The same under an id of its own, if it is a change and brought none.
    pub fn with_id(mut self) -> OperationRequest {
        if self.operation.is_change() {
            self.request_id.get_or_insert_with(new_request_id);
        }
        self
    }

    /// The same, as its sender confirmed it.
    pub fn confirmed_by(mut self, confirmation: &Confirmation) -> OperationRequest {
        self.request_id = Some(confirmation.request_id.clone());
        self.expected_revision = Some(confirmation.revision);
        self
    }
}

/// What a change says of itself, if it can be read.
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

/// An id for an order that brought none.
pub fn new_request_id() -> String {
    let [first, second] = [grebepath_runtime::clock::nonce(), grebepath_runtime::clock::nonce()];
    format!("auto-{first:016x}-{second:016x}")
}
