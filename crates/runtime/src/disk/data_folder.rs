//! The data folder as a whole: its lock, the voter file, and reads and writes that
//! last.

use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::Path;

use grebepath_core::storage::voter_file;
use grebepath_core::storage::voter_file::VoterFile;

use super::error::{FileOperation, StorageError, WithFile};

/// The file that holds who this controller is and the voter set it knows.
const VOTER_FILE: &str = "seats";

/// Takes the data folder for this process alone, as long as the file lives; makes it
/// if it is not there.
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

/// Reads the voter file; a damaged one counts as none.
pub fn read_voter_file(data: &Path) -> Result<Option<VoterFile>, StorageError> {
    let raw = read_if_present(&data.join(VOTER_FILE))?;
    Ok(raw.and_then(|raw| voter_file::read(&raw)))
}

/// Keeps the voter file: written beside the old one, synced, renamed over it.
pub fn write_voter_file(data: &Path, file: &VoterFile) -> Result<(), StorageError> {
    let new = data.join(format!("{VOTER_FILE}.new"));
    write_synced(&new, &voter_file::write(file))?;
    fs::rename(&new, data.join(VOTER_FILE)).with_file(FileOperation::Rename, &new)?;
    sync_folder(data)
}

/// A file's bytes, or nothing if there is no such file.
pub(super) fn read_if_present(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        read => read.map(Some).with_file(FileOperation::Read, path),
    }
}

/// Writes a file that lasts once its folder is synced too.
pub(super) fn write_synced(path: &Path, raw: &[u8]) -> Result<(), StorageError> {
    let mut file = File::create(path).with_file(FileOperation::Create, path)?;
    file.write_all(raw).with_file(FileOperation::Write, path)?;
    file.sync_all().with_file(FileOperation::Sync, path)
}

/// Makes names that were added to a folder or removed from it last.
pub(super) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let opened = File::open(folder).with_file(FileOperation::Open, folder)?;
    opened.sync_all().with_file(FileOperation::Sync, folder)
}
