//! Loads a controller's state from disk at startup.

use std::fs::File;

use grebepath_core::identifiers::{PartitionId, partitions};
use grebepath_core::protocol::replica::ReplicaCondition;
use grebepath_core::storage::reader::StoredReplica;
use grebepath_core::storage::record::ReplicaState;
use grebepath_core::storage::voter_file::{VoterFile, begin};
use grebepath_runtime::clock::nonce;
use grebepath_runtime::disk::data_folder;
use grebepath_runtime::disk::error::StorageError;
use grebepath_runtime::disk::partition_store::{PartitionStore, is_blank};
use tracing::warn;

use crate::FoundReplica;
use crate::error::ControllerError;
use crate::settings::Settings;

/// The content of the data folder at startup.
pub struct Disk {
    /// The identity of this controller and the voter set that it knows, as stored on disk.
    pub voter_file: VoterFile,
    /// The partitions' files, indexed by partition number.
    pub stores: Vec<PartitionStore>,
    /// The partitions as read from disk.
    pub replicas: Vec<FoundReplica>,
    /// Partitions whose first snapshot could not be written, with the error.
    pub failed: Vec<(PartitionId, String)>,
}

/// The data folder, locked by this process until this value is dropped.
pub struct OpenDisk {
    /// The lock that keeps other processes from using the folder.
    pub lock: File,
    /// The content of the folder.
    pub disk: Disk,
}

/// Locks and reads the data folder.
pub fn open(settings: &Settings) -> Result<OpenDisk, ControllerError> {
    let lock = data_folder::lock(&settings.data)?;
    settings.claim_data_folder()?;
    let disk = read_disk(settings)?;
    Ok(OpenDisk { lock, disk })
}

/// Reads all files and determines the controller's identity.
fn read_disk(settings: &Settings) -> Result<Disk, StorageError> {
    let data = &settings.data;
    let known = data_folder::read_voter_file(data)?;
    let nonce = nonce();
    let blank = partitions().all(|partition| is_blank(data, partition));
    let (voter_file, set_aside) = begin(known, &settings.start(), blank, nonce);
    let mut opened = Vec::new();
    for partition in partitions() {
        let (mut store, mut found) = PartitionStore::open(data, partition)?;
        if set_aside {
            warn!(part = %partition, "the files belong to a voter slot of another controller; set aside");
            store.set_aside()?;
            found = StoredReplica::Empty;
        }
        opened.push((partition, store, found));
    }
    // The identity must be durable before the controller sends any message under it.
    data_folder::write_voter_file(data, &voter_file)?;
    let (stores, replicas, failed) = (Vec::new(), Vec::new(), Vec::new());
    let mut disk = Disk { voter_file, stores, replicas, failed };
    for (partition, mut store, found) in opened {
        let (condition, state) = prepare_replica(&mut store, partition, found, &mut disk.failed);
        disk.replicas.push((partition, condition, state, 0));
        disk.stores.push(store);
    }
    Ok(disk)
}

/// Returns the initial condition and state of a partition. For a partition with state, writes a
/// snapshot, so that records can be appended after it.
fn prepare_replica(
    store: &mut PartitionStore,
    partition: PartitionId,
    found: StoredReplica,
    failed: &mut Vec<(PartitionId, String)>,
) -> (ReplicaCondition, ReplicaState) {
    match found {
        StoredReplica::Empty => (ReplicaCondition::Empty, ReplicaState::default()),
        StoredReplica::Damaged(why) => {
            warn!(part = %partition, why = why.to_string(), "the files are damaged and set aside; recovering from the other replicas");
            (ReplicaCondition::Damaged, ReplicaState::default())
        }
        StoredReplica::Intact { state, is_torn: torn, .. } => {
            if torn {
                warn!(part = %partition, "a torn tail of the log was dropped");
            }
            if let Err(error) = store.write_snapshot(&state) {
                failed.push((partition, error.to_string()));
            }
            (ReplicaCondition::Voting, state)
        }
    }
}
