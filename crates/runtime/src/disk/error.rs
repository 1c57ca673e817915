//! Errors of file operations.

use std::fmt;
use std::fs::TryLockError;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use grebepath_core::storage::damage::Damage;
use thiserror::Error;

/// Why a file could not be read or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The operating system reported an error.
    #[error("can't {operation} {}: {source}", path.display())]
    Io {
        /// The operation that failed.
        operation: FileOperation,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The log is closed. Nothing can be appended before the next snapshot is written.
    #[error("no log is open since the last trouble")]
    NoLog,
    /// Another process holds the lock of the data folder.
    #[error("another process uses this data folder: {0}")]
    Locked(#[source] TryLockError),
}

impl StorageError {
    /// Whether the disk is full. The operation may succeed later.
    pub fn is_out_of_space(&self) -> bool {
        matches!(self, StorageError::Io { source, .. } if is_out_of_space(source))
    }
}

/// Whether an error says that a disk is full, or that a quota or a limit on file sizes is reached.
pub fn is_out_of_space(error: &std::io::Error) -> bool {
    let kinds = [ErrorKind::StorageFull, ErrorKind::QuotaExceeded, ErrorKind::FileTooLarge];
    kinds.contains(&error.kind())
}

/// An operation on a file or a folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// Reads a file.
    Read,
    /// Creates a file.
    Create,
    /// Opens a file for writing.
    Open,
    /// Writes bytes.
    Write,
    /// Makes a file, or the names in a folder, durable.
    Sync,
    /// Renames a file.
    Rename,
    /// Creates a folder.
    CreateFolder,
}

impl fmt::Display for FileOperation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            FileOperation::Read => "read",
            FileOperation::Create => "create",
            FileOperation::Open => "open",
            FileOperation::Write => "write",
            FileOperation::Sync => "sync",
            FileOperation::Rename => "rename",
            FileOperation::CreateFolder => "create the folder",
        })
    }
}

/// Adds the operation and the file to an error of the operating system.
pub(super) trait WithFile<T> {
    /// Returns the result with the operation and the file in its error.
    fn with_file(self, operation: FileOperation, path: &Path) -> Result<T, StorageError>;
}

impl<T> WithFile<T> for std::io::Result<T> {
    fn with_file(self, operation: FileOperation, path: &Path) -> Result<T, StorageError> {
        self.map_err(|source| StorageError::Io { operation, path: path.to_path_buf(), source })
    }
}

/// Why a scrub found that files differ from the data that was written and synced.
#[derive(Debug, Error)]
pub enum ScrubError {
    /// The files can't be read.
    #[error(transparent)]
    Unreadable(#[from] StorageError),
    /// The files are intact, but lack the last writes.
    #[error("the last writes are missing")]
    Outdated,
    /// There are no files.
    #[error("the files are missing")]
    Missing,
    /// The files are corrupted.
    #[error(transparent)]
    Damaged(#[from] Damage),
}
