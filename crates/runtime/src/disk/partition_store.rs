//! The files of one partition: two slots to which snapshots are written alternately, and the log of
//! records after the newer snapshot.

use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

use grebepath_core::identifiers::PartitionId;
use grebepath_core::storage::damage::Damage;
use grebepath_core::storage::reader::{StoredReplica, read};
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::writer;

use super::data_folder::{read_if_present, sync_folder, write_synced};
use super::error::{FileOperation, ScrubError, StorageError, WithFile};

/// The files of a partition, in the order of the reader's parameters.
const FILES: [&str; 3] = ["slot-0", "slot-1", "log"];

/// The files of one partition.
///
/// Invariant: `log` is the open log after snapshot number `sequence`. It is `None` before the first
/// snapshot and after a failure, until a new snapshot is written.
pub struct PartitionStore {
    folder: PathBuf,
    partition: PartitionId,
    /// Number of the newest snapshot, or zero if there is none.
    sequence: u64,
    log: Option<File>,
    /// Number of records in the log.
    records: u32,
}

impl PartitionStore {
    /// Reads a partition's folder, and creates it if it is missing. Moves damaged files to a
    /// subfolder.
    pub fn open(
        data: &Path,
        partition: PartitionId,
    ) -> Result<(PartitionStore, StoredReplica), StorageError> {
        let folder = folder_of(data, partition);
        if !folder.exists() {
            fs::create_dir_all(&folder).with_file(FileOperation::CreateFolder, &folder)?;
            sync_folder(data)?;
        }
        let mut found = read_files(partition, |name| read_if_present(&folder.join(name)))?;
        if found == StoredReplica::Empty && folder.join("damaged-0").exists() {
            // The files were set aside at an earlier start, and no snapshot was written since.
            found = StoredReplica::Damaged(Damage::SetAside);
        }
        let sequence = match &found {
            StoredReplica::Intact { sequence: seq, .. } => *seq,
            StoredReplica::Empty => 0,
            StoredReplica::Damaged(_) => {
                // The damaged files are kept for a later analysis.
                set_aside(&folder)?;
                0
            }
        };
        // Records can be appended only after this incarnation has written a snapshot.
        Ok((PartitionStore { folder, partition, sequence, log: None, records: 0 }, found))
    }

    /// Whether a record can be appended.
    pub fn can_append(&self) -> bool {
        self.log.is_some()
    }

    /// Appends a record. It is durable only after [`PartitionStore::sync`].
    pub fn append(&mut self, record: &LogRecord) -> Result<(), StorageError> {
        let Some(log) = &mut self.log else { return Err(StorageError::NoLog) };
        let raw = writer::record(self.sequence, self.records, record);
        let written = log.write_all(&raw).with_file(FileOperation::Write, &self.log_path());
        if written.is_err() {
            self.log = None;
            return written;
        }
        self.records += 1;
        Ok(())
    }

    /// Syncs the appended records.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        let Some(log) = &self.log else { return Err(StorageError::NoLog) };
        let synced = log.sync_data().with_file(FileOperation::Sync, &self.log_path());
        if synced.is_err() {
            // It is unknown which of the bytes the kernel has written, so nothing may be appended
            // to this log.
            self.log = None;
        }
        synced
    }

    /// Writes a snapshot into the older slot and starts a new log.
    pub fn write_snapshot(&mut self, state: &ReplicaState) -> Result<(), StorageError> {
        self.log = None;
        let sequence = self.sequence + 1;
        let slot = self.folder.join(format!("slot-{}", sequence % 2));
        write_synced(&slot, &writer::slot(self.partition.0, sequence, state))?;
        sync_folder(&self.folder)?;
        let new = self.folder.join("log.new");
        let log = self.log_path();
        write_synced(&new, &writer::log_header(self.partition.0, sequence))?;
        fs::rename(&new, &log).with_file(FileOperation::Rename, &new)?;
        sync_folder(&self.folder)?;
        let opened = OpenOptions::new().append(true).open(&log);
        self.log = Some(opened.with_file(FileOperation::Open, &log)?);
        self.sequence = sequence;
        self.records = 0;
        Ok(())
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Reads the files again, bypassing the page cache where the system allows it, and compares
    /// them with the data that was written.
    pub fn scrub(&self) -> Result<(), ScrubError> {
        // After a failure and before the first snapshot, the content of the files is undefined.
        if self.log.is_none() {
            return Ok(());
        }
        match read_files(self.partition, |name| read_uncached(&self.folder.join(name)))? {
            StoredReplica::Intact { sequence: seq, records, is_torn: torn, .. }
                if (seq, records, torn) == (self.sequence, self.records, false) =>
            {
                Ok(())
            }
            StoredReplica::Intact { .. } => Err(ScrubError::Outdated),
            StoredReplica::Empty => Err(ScrubError::Missing),
            StoredReplica::Damaged(why) => Err(ScrubError::Damaged(why)),
        }
    }

    /// Moves the files of an earlier incarnation to a subfolder, where they are not read any more.
    pub fn set_aside(&mut self) -> Result<(), StorageError> {
        self.log = None;
        set_aside(&self.folder)?;
        (self.sequence, self.records) = (0, 0);
        Ok(())
    }
}

/// Whether a partition has no files.
pub fn is_blank(data: &Path, partition: PartitionId) -> bool {
    let folder = folder_of(data, partition);
    !FILES.iter().any(|name| folder.join(name).exists())
}

fn folder_of(data: &Path, partition: PartitionId) -> PathBuf {
    data.join(format!("part-{}", partition.0))
}

/// Decodes the partition's files, each of which `read_file` reads.
fn read_files(
    partition: PartitionId,
    read_file: impl Fn(&str) -> Result<Option<Vec<u8>>, StorageError>,
) -> Result<StoredReplica, StorageError> {
    let [zero, one, log] = FILES;
    let (zero, one, log) = (read_file(zero)?, read_file(one)?, read_file(log)?);
    Ok(read(partition.0, [zero.as_deref(), one.as_deref()], log.as_deref()))
}

/// Reads a file from the disk rather than from the page cache, or returns `None` if it does not
/// exist.
fn read_uncached(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    let mut file = match File::open(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        opened => opened.with_file(FileOperation::Read, path)?,
    };
    // Cached pages would hide corruption on the disk.
    let _ = rustix::fs::fadvise(&file, 0, None, rustix::fs::Advice::DontNeed);
    let mut raw = Vec::new();
    file.read_to_end(&mut raw).with_file(FileOperation::Read, path)?;
    Ok(Some(raw))
}

/// Moves a partition's files into a new subfolder.
fn set_aside(folder: &Path) -> Result<(), StorageError> {
    let mut number = 0;
    let mut target = folder.join("damaged-0");
    while target.exists() {
        number += 1;
        target = folder.join(format!("damaged-{number}"));
    }
    if !FILES.iter().any(|name| folder.join(name).exists()) {
        return Ok(());
    }
    fs::create_dir(&target).with_file(FileOperation::CreateFolder, &target)?;
    sync_folder(folder)?;
    for name in FILES {
        if folder.join(name).exists() {
            let file = folder.join(name);
            fs::rename(&file, target.join(name)).with_file(FileOperation::Rename, &file)?;
        }
    }
    sync_folder(&target)?;
    sync_folder(folder)
}
