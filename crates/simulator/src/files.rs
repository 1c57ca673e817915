//! JSON files that the simulator is given.

use serde_json::Value;

/// Why a file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable { path: String, source: std::io::Error },
    /// The file holds something else than JSON.
    #[error("{path}: {source}")]
    NotJson { path: String, source: serde_json::Error },
}

/// Reads a JSON file.
pub fn read_json(path: &str) -> Result<Value, FileError> {
    let raw = std::fs::read(path)
        .map_err(|source| FileError::Unreadable { path: path.into(), source })?;
    serde_json::from_slice(&raw).map_err(|source| FileError::NotJson { path: path.into(), source })
}
