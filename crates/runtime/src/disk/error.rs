//! What goes wrong with files.

use std::fs::TryLockError;

use grebepath_core::storage::damage::Damage;
use thiserror::Error;

/// Why a file could not be read or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The system refused it.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Nothing can be appended before the next snapshot is written.
    #[error("no log is open since the last trouble")]
    NoLog,
    /// The data folder belongs to another process.
    #[error("another process uses this data folder: {0}")]
    Locked(#[source] TryLockError),
}

/// What a scrub found wrong with files that were written and synced.
#[derive(Debug, Error)]
pub enum ScrubError {
    /// They can't be read.
    #[error(transparent)]
    Unreadable(#[from] StorageError),
    /// They are sound, and older than what was written.
    #[error("what was written last is not there")]
    Outdated,
    /// There are none.
    #[error("the files are gone")]
    Missing,
    /// They are not what was written.
    #[error(transparent)]
    Damaged(#[from] Damage),
}
