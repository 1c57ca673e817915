//! Errors that end the querier.

use thiserror::Error;

/// An error that prevents the querier from starting or running.
#[derive(Debug, Error)]
pub enum QuerierError {
    /// A socket could not be bound or a thread could not be started.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A traffic thread panicked.
    #[error("a thread failed")]
    ThreadFailed,
}
