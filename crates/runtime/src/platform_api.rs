//! How a platform of another kind speaks: to our listeners, to leafs, of its list and
//! as an operator. Names and formats only, as plain functions from bytes to our types
//! and back; an implementation decides nothing.

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

/// A platform's HTTP interface. A table of functions rather than a trait, since it has
/// no state.
pub struct PlatformApi {
    /// Path under which a querier is asked whether it is ready.
    pub readiness_path: &'static str,
    /// A caller's request, from its head and body.
    pub read_call: fn(Parts, Vec<u8>) -> ForwardedRequest,
    /// The response to a caller.
    pub write_outcome: fn(Outcome) -> Response<Bytes>,
    /// An attempt's request to a leaf; nothing if it can't be written.
    pub write_attempt: fn(&OutgoingAttempt) -> Option<Request<Full<Bytes>>>,
    /// A leaf's response to an attempt.
    pub read_reply: fn(&OutgoingAttempt, Response<Bytes>) -> LeafReply,
    /// Path of the leaf list's first page, or of the page of that name.
    pub list_path: fn(Option<&str>) -> String,
    /// One page of the leaf list.
    pub read_list_page: fn(&[u8]) -> Result<LeafListPage, Diagnostic>,
    /// An operator's request, from its head and body.
    pub read_operator_request: fn(&Parts, &[u8]) -> OperatorRequest,
    /// The response to an operator.
    pub write_operation_result: fn(OperationResult) -> Response<Bytes>,
}

/// One page of a list of leafs.
pub struct LeafListPage {
    /// The leafs that the page names.
    pub leafs: Vec<LeafInfo>,
    /// Single entries that can't be used.
    pub diagnostics: Vec<Diagnostic>,
    /// The name of the page after this one.
    pub next_page: Option<String>,
}

/// What an operator's request asks.
pub enum OperatorRequest {
    /// An operation.
    Operation {
        /// What to do.
        operation: Operation,
        /// The id under which it may safely be sent again.
        request_id: Option<String>,
    },
    /// It can't be read; this is the response.
    Malformed(Response<Bytes>),
}
