//! The HTTP interface of another platform: the dialect of its callers, leafs, leaf lists and
//! operators. Its functions convert between bytes and this project's types, and make no decisions.

use bytes::Bytes;
use grebepath_core::diagnostic::Diagnostic;
use grebepath_core::http_api::leaf::LeafReply;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::query::event::OutgoingAttempt;
use grebepath_core::query::forwarded_request::ForwardedRequest;
use grebepath_core::query::request::Outcome;
use grebepath_core::snapshot::leafs::LeafInfo;
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{Request, Response};

/// A platform's HTTP interface. It is a table of functions rather than a trait, since it has no
/// state.
pub struct PlatformApi {
    /// Path of a querier's readiness check.
    pub readiness_path: &'static str,
    /// Parses the head and the body of a caller's request.
    pub read_call: fn(Parts, Vec<u8>) -> ForwardedRequest,
    /// Writes the response to a caller.
    pub write_outcome: fn(Outcome) -> Response<Bytes>,
    /// Writes the request of an attempt to a leaf, or returns `None` if it can't be expressed.
    pub write_attempt: fn(&OutgoingAttempt) -> Option<Request<Full<Bytes>>>,
    /// Parses a leaf's response to an attempt.
    pub read_reply: fn(&OutgoingAttempt, Response<Bytes>) -> LeafReply,
    /// Returns the path of a page of the leaf list by its name, or of the first page.
    pub list_path: fn(Option<&str>) -> String,
    /// Parses a page of the leaf list.
    pub read_list_page: fn(&[u8]) -> Result<LeafListPage, Diagnostic>,
    /// Parses the head and the body of an operator's request.
    pub read_operator_request: fn(&Parts, &[u8]) -> OperatorRequest,
    /// Writes the response to an operator.
    pub write_operation_result: fn(OperationResult) -> Response<Bytes>,
}

/// A page of the leaf list.
pub struct LeafListPage {
    /// The leafs on the page.
    pub leafs: Vec<LeafInfo>,
    /// The entries that are invalid and were skipped.
    pub diagnostics: Vec<Diagnostic>,
    /// The name of the next page.
    pub next_page: Option<String>,
}

/// A parsed request of an operator.
pub enum OperatorRequest {
    /// A valid request.
    Operation {
        /// The requested operation.
        operation: Operation,
        /// The id under which the request may safely be sent again.
        request_id: Option<String>,
    },
    /// A malformed request, with the response to it.
    Malformed(Response<Bytes>),
}
