//! What goes wrong with a local cluster.

use std::path::PathBuf;

use grebepath_runtime::http::client::HttpError;
use serde_json::Value;
use thiserror::Error;

/// Why a cluster did not come up, or did not do as it was asked.
#[derive(Debug, Error)]
pub enum LocalClusterError {
    /// A file or program can't be used.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The system refused something else.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A process ended before it said that it is up.
    #[error("{process} did not come up: {log}")]
    NotUp {
        /// Its name.
        process: String,
        /// What it logged.
        log: String,
    },
    /// A process that is asked for is not running.
    #[error("{process} is not running")]
    NotRunning {
        /// Its name.
        process: String,
    },
    /// A signal could not be sent.
    #[error("kill -{signal} failed")]
    Signal {
        /// Its name.
        signal: String,
    },
    /// There are not as many free ports as are needed.
    #[error("no free ports")]
    NoPorts,
    /// A process was started without this flag.
    #[error("no {flag}")]
    NoFlag {
        /// The flag.
        flag: &'static str,
    },
    /// A request can't be written.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// A request brought no response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// No controller is up.
    #[error("no controller is up")]
    NoController,
    /// A controller answers otherwise than asked.
    #[error("status {code}: {body}")]
    Status {
        /// The response's status.
        code: u16,
        /// Its body.
        body: Value,
    },
    /// A controller does not say which revision a change has.
    #[error("no revision")]
    NoRevision,
    /// An order to the mock backends, or a status request, was rejected.
    #[error("{0}")]
    Rejected(Value),
}
