//! The file with a controller's identity and the voter set, stored beside the partitions.

use nanoserde::{DeBin, SerBin};

use crate::identifiers::VoterSlot;
use crate::protocol::message_shapes::VOTER_FILE;
use crate::protocol::shape::decode;
use crate::storage::format::{DISK_VERSION, MAX_RECORD_BYTES};
use crate::voter_set::{
    VoterSet, fixed_replica_id, fixed_voter_set, initial_replica_id, initial_voter_set, merge,
    slot_of,
};

/// First bytes of the file.
const MAGIC: &[u8; 6] = b"GRBrol";
/// Bytes before the body: magic, version u16, length u32, checksum u32.
const HEADER_BYTES: usize = 16;

/// A controller's identity and its latest voter set.
///
/// Invariant: `replica_id` is on disk before it is sent to any peer.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct VoterFile {
    /// This node's replica id.
    pub replica_id: u64,
    /// Whether this disk existed, empty, when the cluster was first started.
    pub is_original_disk: bool,
    /// The newest known voter set.
    pub voter_set: VoterSet,
}

/// Encodes the file.
pub fn write(file: &VoterFile) -> Vec<u8> {
    let body = file.serialize_bin();
    let mut out = Vec::with_capacity(HEADER_BYTES + body.len());
    out.extend(MAGIC);
    out.extend(DISK_VERSION.to_le_bytes());
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
    out
}

/// Decodes the file; an invalid file is treated as missing.
pub fn read(raw: &[u8]) -> Option<VoterFile> {
    let (header, body) = raw.split_at_checked(HEADER_BYTES)?;
    let num = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    let is_valid = header[..6] == MAGIC[..]
        && header[6..8] == DISK_VERSION.to_le_bytes()
        && num(8) as usize == body.len()
        && num(8) <= MAX_RECORD_BYTES
        && num(12) == crc32fast::hash(body);
    let file = is_valid.then(|| decode::<VoterFile>(&VOTER_FILE, body).ok()).flatten()?;
    (file.replica_id != 0
        && file.voter_set.slots.len() <= usize::from(crate::consts::MAX_VOTER_SLOTS))
    .then_some(file)
}

/// Settings of the voter slots at a controller's start.
pub struct Start {
    /// Its slot, if the operator assigns the slots.
    pub slot: Option<VoterSlot>,
    /// Whether this is the first start of the cluster.
    pub is_first_start: bool,
    /// Addresses of the controllers with which the cluster is created.
    pub seeds: Vec<String>,
    /// Number of voter slots with which the cluster is created.
    pub size: usize,
    /// Address under which peers reach this controller.
    pub addr: String,
}

/// Determines a controller's identity at its start, from its settings and the file found on its
/// disk, and whether the partitions found there must be set aside. The returned file must be on
/// disk before anything else is done.
pub fn begin(
    found: Option<VoterFile>,
    start: &Start,
    has_no_partitions: bool,
    nonce: u64,
) -> (VoterFile, bool) {
    let fresh = |voter_set: VoterSet| {
        (
            VoterFile { replica_id: nonce | 1, is_original_disk: false, voter_set },
            !has_no_partitions,
        )
    };
    match (found, start.slot) {
        (found, Some(slot)) => {
            let assigned = fixed_voter_set(&start.seeds);
            let replica_id = found.as_ref().map_or(fixed_replica_id(slot), |file| file.replica_id);
            let voter_set =
                found.and_then(|file| merge(&assigned, &file.voter_set)).unwrap_or(assigned);
            match slot_of(&voter_set, replica_id) {
                Some(_) => (
                    VoterFile {
                        replica_id,
                        is_original_disk: replica_id == fixed_replica_id(slot),
                        voter_set,
                    },
                    false,
                ),
                // The slot was assigned to another controller while this node was down.
                None => fresh(voter_set),
            }
        }
        (Some(file), None) if slot_of(&file.voter_set, file.replica_id).is_some() => (file, false),
        // It never held a slot. The id is kept, since a slot may be granted to it.
        (Some(file), None) if has_no_partitions => (file, false),
        (Some(file), None) => fresh(file.voter_set),
        (None, None)
            if start.is_first_start && has_no_partitions && start.seeds.contains(&start.addr) =>
        {
            let voter_set = initial_voter_set(&start.seeds, start.size);
            (
                VoterFile {
                    replica_id: initial_replica_id(&start.addr),
                    is_original_disk: true,
                    voter_set,
                },
                false,
            )
        }
        (None, None) => fresh(VoterSet::default()),
    }
}
