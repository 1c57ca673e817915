//! How another world speaks to our doors, to leafs, of its list and as an
//! operator: names and formats, as plain functions from bytes to our types and
//! back. Whoever brings a dialect decides nothing with it.

use bytes::Bytes;
use grebepath_core::http_api::leaf::LeafReply;
use grebepath_core::protocol::message::{Operation, OperationResult};
use grebepath_core::query::event::OutgoingAttempt;
use grebepath_core::query::forwarded_request::ForwardedRequest;
use grebepath_core::query::request::Outcome;
use grebepath_core::routing_language::diagnostic::Diagnostic;
use grebepath_core::snapshot::leafs::LeafInfo;
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{Request, Response};

/// A manner of speaking.
pub struct Dialect {
    /// Path under which a querier is asked whether it is ready.
    pub ready: &'static str,
    /// A call, from its head and body.
    pub call: fn(Parts, Vec<u8>) -> ForwardedRequest,
    /// What the caller is told.
    pub told: fn(Outcome) -> Response<Bytes>,
    /// A dispatch towards a leaf; nothing if it can't be written.
    pub work: fn(&OutgoingAttempt) -> Option<Request<Full<Bytes>>>,
    /// What a leaf sent back to it.
    pub reply: fn(&OutgoingAttempt, Response<Bytes>) -> LeafReply,
    /// Path of the list's first page, or of a further one.
    pub list: fn(Option<&str>) -> String,
    /// One page of the list.
    pub page: fn(&[u8]) -> Result<Page, Diagnostic>,
    /// An operator's order.
    pub order: fn(&Parts, &[u8]) -> Order,
    /// What the operator is told of it.
    pub done: fn(OperationResult) -> Response<Bytes>,
}

/// One page of a list of leafs.
pub struct Page {
    pub leafs: Vec<LeafInfo>,
    /// Single entries that can't be used.
    pub findings: Vec<Diagnostic>,
    /// The name of the page after this one.
    pub next: Option<String>,
}

/// What an operator's call asks.
pub enum Order {
    /// A deed, and the id under which it may safely come again.
    Operation { deed: Operation, request: Option<String> },
    /// It can't be read; this is what to say.
    Wrong(Response<Bytes>),
}
