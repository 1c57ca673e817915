//! Why the controller ends other than when it is asked to.

use std::path::PathBuf;

use grebepath_runtime::disk::error::{StorageError, is_out_of_space};
use thiserror::Error;

/// Why the controller could not start or go on.
#[derive(Debug, Error)]
pub enum ControllerError {
    /// Its files can't be read or written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A port or a thread can't be had, or a file of the settings' check.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The data folder was used for another voter slot.
    #[error("the data folder {} belongs to seat {found}, not {expected}", folder.display())]
    FolderOfAnotherSlot {
        /// The data folder.
        folder: PathBuf,
        /// The slot it belongs to, as its file says.
        found: String,
        /// The slot that the settings name.
        expected: u8,
    },
    /// The disk's or the operators' thread panicked.
    #[error("a thread failed")]
    ThreadFailed,
}

impl ControllerError {
    /// Whether the disk has no room: the same may go well later.
    pub fn is_out_of_space(&self) -> bool {
        match self {
            ControllerError::Storage(error) => error.is_out_of_space(),
            ControllerError::Io(error) => is_out_of_space(error),
            _ => false,
        }
    }
}
