//! The data folder: its lock, the voter file, and durable reads and writes.

use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::Path;

use grebepath_core::storage::voter_file;
use grebepath_core::storage::voter_file::VoterFile;

use super::error::{FileOperation, StorageError, WithFile};

/// The file with the controller's identity and the voter set that it knows.
const VOTER_FILE: &str = "seats";

/// Locks the data folder for this process until the returned file is dropped. Creates the folder if
/// it is missing.
pub fn lock(data: &Path) -> Result<File, StorageError> {
    fs::create_dir_all(data).with_file(FileOperation::CreateFolder, data)?;
    let path = data.join("lock");
    let opened = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let file = opened.with_file(FileOperation::Create, &path)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(e) => Err(StorageError::Locked(e)),
    }
}

/// Reads the voter file. A damaged file is treated as missing.
pub fn read_voter_file(data: &Path) -> Result<Option<VoterFile>, StorageError> {
    let raw = read_if_present(&data.join(VOTER_FILE))?;
    Ok(raw.and_then(|raw| voter_file::read(&raw)))
}

/// Replaces the voter file atomically: writes and syncs a new file, then renames it over the old
/// one.
pub fn write_voter_file(data: &Path, file: &VoterFile) -> Result<(), StorageError> {
    let new = data.join(format!("{VOTER_FILE}.new"));
    write_synced(&new, &voter_file::write(file))?;
    fs::rename(&new, data.join(VOTER_FILE)).with_file(FileOperation::Rename, &new)?;
    sync_folder(data)
}

/// Reads a file, or returns `None` if it does not exist.
pub(super) fn read_if_present(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        read => read.map(Some).with_file(FileOperation::Read, path),
    }
}

/// Writes and syncs a file. It is durable once its folder is synced too.
pub(super) fn write_synced(path: &Path, raw: &[u8]) -> Result<(), StorageError> {
    let mut file = File::create(path).with_file(FileOperation::Create, path)?;
    file.write_all(raw).with_file(FileOperation::Write, path)?;
    file.sync_all().with_file(FileOperation::Sync, path)
}

/// Syncs a folder, which makes added and removed names durable.
pub(super) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let opened = File::open(folder).with_file(FileOperation::Open, folder)?;
    opened.sync_all().with_file(FileOperation::Sync, folder)
}
