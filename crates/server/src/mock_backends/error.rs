//! Errors of the mock back ends and callers.

use grebepath_runtime::http::client::HttpError;
use grebepath_simulator::spec::SpecError;
use thiserror::Error;

/// Why the program failed.
#[derive(Debug, Error)]
pub enum MockBackendsError {
    /// The spec of the back ends and callers is invalid or could not be read.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// A socket could not be bound.
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    /// A caller's task panicked or was cancelled.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// The request for the leafs' log could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The request for the leafs' log got no response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The leafs' log is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Answers violated a rule or did not match the leafs' log.
    #[error("answers violated the rules; see `first` in the report")]
    InvalidAnswers,
}
