//! Fatal errors of the controller.

use std::path::PathBuf;

use grebepath_runtime::disk::error::{StorageError, is_out_of_space};
use thiserror::Error;

/// Why the controller could not start or had to exit.
#[derive(Debug, Error)]
pub enum ControllerError {
    /// The controller's files can't be read or written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A port can't be bound, a thread can't be spawned, or the file with the folder's slot can't
    /// be written.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The data folder is assigned to another voter slot.
    #[error("the data folder {} belongs to seat {found}, not {expected}", folder.display())]
    FolderOfAnotherSlot {
        /// The data folder.
        folder: PathBuf,
        /// The slot recorded in the folder.
        found: String,
        /// The slot in the settings.
        expected: u8,
    },
    /// The disk thread or the operators' thread panicked.
    #[error("a thread failed")]
    ThreadFailed,
}

impl ControllerError {
    /// Whether the disk is full. The operation may succeed later.
    pub fn is_out_of_space(&self) -> bool {
        match self {
            ControllerError::Storage(error) => error.is_out_of_space(),
            ControllerError::Io(error) => is_out_of_space(error),
            _ => false,
        }
    }
}
