//! Reads the simulator's JSON input files.

use serde_json::Value;

/// Why a file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why it can't be read.
        source: std::io::Error,
    },
    /// The file isn't valid JSON.
    #[error("{path}: {source}")]
    NotJson {
        /// The file.
        path: String,
        /// The position and kind of the JSON error.
        source: serde_json::Error,
    },
}

/// Reads a JSON file.
pub fn read_json(path: &str) -> Result<Value, FileError> {
    let raw = std::fs::read(path)
        .map_err(|source| FileError::Unreadable { path: path.into(), source })?;
    serde_json::from_slice(&raw).map_err(|source| FileError::NotJson { path: path.into(), source })
}
