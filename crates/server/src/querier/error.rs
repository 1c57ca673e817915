//! Why the querier ends other than when it is asked to.

use thiserror::Error;

/// Why the querier could not start or go on.
#[derive(Debug, Error)]
pub enum QuerierError {
    /// A port or a thread can't be had.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A traffic thread panicked.
    #[error("a thread failed")]
    ThreadFailed,
}
