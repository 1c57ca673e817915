//! Recovers a controller's state from its simulated disk at its start, as the daemon does.

use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::identifiers::PartitionId;
use grebepath_core::protocol::replica::ReplicaCondition;
use grebepath_core::storage::reader::StoredReplica;
use grebepath_core::storage::record::ReplicaState;
use grebepath_core::storage::voter_file;
use grebepath_core::storage::voter_file::{Start, VoterFile};
use grebepath_core::time::BOOT;

use crate::simulated_disk::{Disk, DiskError};

/// The state that was recovered from a disk.
pub struct Recovered {
    voter_file: VoterFile,
    replicas: Vec<(PartitionId, ReplicaCondition, ReplicaState, u64)>,
    /// Whether the disk was empty.
    pub was_empty: bool,
    /// The reasons why files are damaged.
    pub damage: Vec<String>,
}

impl Recovered {
    /// Reads the disk and writes the voter file of this start.
    pub fn read(disk: &mut Disk, start: &Start, seed: u64) -> Recovered {
        let was_empty = disk.is_empty();
        let (voter_file, clear) = voter_file::begin(disk.read_voter_file(), start, was_empty, seed);
        disk.put_voter_file(&voter_file, clear);
        let mut damage = Vec::new();
        let mut replicas = Vec::new();
        for (partition, found) in disk.start() {
            let (condition, state) = match found {
                StoredReplica::Empty => (ReplicaCondition::Empty, ReplicaState::default()),
                StoredReplica::Damaged(why) => {
                    damage.push(why.to_string());
                    (ReplicaCondition::Damaged, ReplicaState::default())
                }
                StoredReplica::Intact { state, .. } => (ReplicaCondition::Voting, state),
            };
            replicas.push((partition, condition, state, 0));
        }
        Recovered { voter_file, replicas, was_empty, damage }
    }

    /// Makes replicas without files vote immediately, which only a faulty variant does.
    pub fn vote_without_files(&mut self) {
        for (_, condition, _, _) in &mut self.replicas {
            if *condition == ReplicaCondition::Empty {
                *condition = ReplicaCondition::Voting;
            }
        }
    }

    /// Creates the controller's state machine from the recovered state.
    pub fn into_state(self, address: &str, zone: &str, seed: u64) -> ControllerState {
        ControllerState::new(self.voter_file, (address, zone), self.replicas, seed, BOOT)
    }
}

/// Returns the controller event for the result of a partition's write.
pub fn disk_event(partition: PartitionId, token: u64, result: Result<(), DiskError>) -> Event {
    match result {
        Ok(()) => Event::Synced { partition, token },
        Err(error) => Event::DiskFailed { partition, why: error.to_string() },
    }
}

/// Returns the controller event for the result of a voter file write.
pub fn voter_file_event(token: u64, result: Result<(), DiskError>) -> Event {
    match result {
        Ok(()) => Event::VoterFileWritten { token },
        Err(error) => Event::VoterFileFailed { why: error.to_string() },
    }
}
