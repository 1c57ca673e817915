//! What goes wrong with files.

use std::fmt;
use std::fs::TryLockError;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use grebepath_core::storage::damage::Damage;
use thiserror::Error;

/// Why a file could not be read or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The system refused it.
    #[error("can't {operation} {}: {source}", path.display())]
    Io {
        /// What was tried.
        operation: FileOperation,
        /// With which file or folder.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// Nothing can be appended before the next snapshot is written.
    #[error("no log is open since the last trouble")]
    NoLog,
    /// The data folder belongs to another process.
    #[error("another process uses this data folder: {0}")]
    Locked(#[source] TryLockError),
}

impl StorageError {
    /// Whether the disk has no room: the same may go well later.
    pub fn is_out_of_space(&self) -> bool {
        matches!(self, StorageError::Io { source, .. } if is_out_of_space(source))
    }
}

/// Whether an error says that a disk has no room, or that a limit on files is reached.
pub fn is_out_of_space(error: &std::io::Error) -> bool {
    let kinds = [ErrorKind::StorageFull, ErrorKind::QuotaExceeded, ErrorKind::FileTooLarge];
    kinds.contains(&error.kind())
}

/// What is done with a file or a folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// A file is read.
    Read,
    /// A file is made.
    Create,
    /// A file is opened to be written.
    Open,
    /// Bytes are written.
    Write,
    /// A file, or the names in a folder, are made to last.
    Sync,
    /// A file gets another name.
    Rename,
    /// A folder is made.
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

/// Says which operation on which file a system's error belongs to.
pub(super) trait WithFile<T> {
    /// The result, with the operation and the file in its error.
    fn with_file(self, operation: FileOperation, path: &Path) -> Result<T, StorageError>;
}

impl<T> WithFile<T> for std::io::Result<T> {
    fn with_file(self, operation: FileOperation, path: &Path) -> Result<T, StorageError> {
        self.map_err(|source| StorageError::Io { operation, path: path.to_path_buf(), source })
    }
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
