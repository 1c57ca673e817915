//! Why the stand-ins can't do what they are asked to, or what their callers found.

use grebepath_runtime::http::client::HttpError;
use grebepath_simulator::spec::SpecError;
use thiserror::Error;

/// Why the program ends without success.
#[derive(Debug, Error)]
pub enum MockBackendsError {
    /// The file of the back ends and callers can't be used.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// A socket can't be had.
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    /// A task of the callers ended early.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// The request for the leafs' log can't be written.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The leafs' log was not answered.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The leafs' log is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Answers were not what leafs ran.
    #[error("answers broke their promises; see `first`")]
    InvalidAnswers,
}
