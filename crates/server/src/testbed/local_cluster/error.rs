//! Errors of a local cluster.

use std::path::PathBuf;

use grebepath_runtime::http::client::HttpError;
use serde_json::Value;
use thiserror::Error;

/// Why a cluster did not start, or an operation on it failed.
#[derive(Debug, Error)]
pub enum LocalClusterError {
    /// A file could not be read or written, or a program could not be started.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// Another I/O operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A process ended before it printed its ready line.
    #[error("{process} did not start: {log}")]
    NotUp {
        /// Name of the process.
        process: String,
        /// Content of its log file.
        log: String,
    },
    /// The process is not running.
    #[error("{process} is not running")]
    NotRunning {
        /// Name of the process.
        process: String,
    },
    /// A signal could not be sent.
    #[error("sending signal {signal} failed")]
    Signal {
        /// Name of the signal.
        signal: String,
    },
    /// Not enough free ports were found.
    #[error("not enough free ports")]
    NoPorts,
    /// The process has no such flag on its command line.
    #[error("the command line has no {flag}")]
    NoFlag {
        /// Name of the flag.
        flag: &'static str,
    },
    /// A request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// A request got no response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// No controller answered.
    #[error("no controller answered")]
    NoController,
    /// A controller answered with an error status.
    #[error("status {code}: {body}")]
    Status {
        /// Status of the response.
        code: u16,
        /// Body of the response.
        body: Value,
    },
    /// A controller's response to a change contains no revision.
    #[error("the response contains no revision")]
    NoRevision,
    /// A control command to the mock back ends, or a status request, was rejected.
    #[error("{0}")]
    Rejected(Value),
}
