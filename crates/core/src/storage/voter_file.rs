//! What a controller keeps on disk beside the partitions: who it is, and the voter set.

use nanoserde::{DeBin, SerBin};

use crate::identifiers::VoterSlot;
use crate::protocol::message_shapes::VOTER_FILE;
use crate::protocol::shape::decode;
use crate::storage::format::{DISK_VERSION, RECORD_LIMIT};
use crate::voter_set::{
    VoterSet, fixed_replica_id, fixed_voter_set, initial_replica_id, initial_voter_set, merge,
    slot_of,
};

/// First bytes of the file.
const MARK: &[u8; 6] = b"GRBrol";
/// Bytes before the body: mark, version u16, length u32, checksum u32.
const HEAD: usize = 16;

/// A controller's identity and what it knows of the voter slots.
///
/// Invariant: `me` is on disk before anybody hears it.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct VoterFile {
    /// Our replica id.
    pub me: u64,
    /// This disk was there, empty, when the fleet first began.
    pub first: bool,
    /// The newest voter set that we know.
    pub table: VoterSet,
}

/// The bytes of the file.
pub fn write(roll: &VoterFile) -> Vec<u8> {
    let body = roll.serialize_bin();
    let mut out = Vec::with_capacity(HEAD + body.len());
    out.extend(MARK);
    out.extend(DISK_VERSION.to_le_bytes());
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
    out
}

/// Reads the file; anything that does not fit counts as no file at all.
pub fn read(raw: &[u8]) -> Option<VoterFile> {
    let (head, body) = raw.split_at_checked(HEAD)?;
    let num = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let fits = head[..6] == MARK[..]
        && head[6..8] == DISK_VERSION.to_le_bytes()
        && num(8) as usize == body.len()
        && num(8) <= RECORD_LIMIT
        && num(12) == crc32fast::hash(body);
    let roll = fits.then(|| decode::<VoterFile>(&VOTER_FILE, body).ok()).flatten()?;
    (roll.me != 0 && roll.table.slots.len() <= usize::from(crate::consts::MAX_VOTER_SLOTS))
        .then_some(roll)
}

/// What a controller is told of the voter slots at its start.
pub struct Start {
    /// Its slot, where an operator assigns the slots.
    pub slot: Option<VoterSlot>,
    /// Whether this is the fleet's first start of all.
    pub first: bool,
    /// Addresses of the controllers with which the fleet begins.
    pub seeds: Vec<String>,
    /// How many voter slots a fleet begins with.
    pub size: usize,
    /// Where others reach it.
    pub addr: String,
}

/// Who a controller is at its start, by what it is told and what it found on
/// its disk, and whether the partitions found there must be set aside. `bare`: there
/// are none. The file must be on disk before anything else is done.
pub fn begin(found: Option<VoterFile>, p: &Start, bare: bool, nonce: u64) -> (VoterFile, bool) {
    let fresh = |table: VoterSet| (VoterFile { me: nonce | 1, first: false, table }, !bare);
    match (found, p.slot) {
        (found, Some(slot)) => {
            let told = fixed_voter_set(&p.seeds);
            let me = found.as_ref().map_or(fixed_replica_id(slot), |r| r.me);
            let table = found.and_then(|r| merge(&told, &r.table)).unwrap_or(told);
            match slot_of(&table, me) {
                Some(_) => (VoterFile { me, first: me == fixed_replica_id(slot), table }, false),
                // It was given to another while we were down.
                None => fresh(table),
            }
        }
        (Some(roll), None) if slot_of(&roll.table, roll.me).is_some() => (roll, false),
        // Never more than an applicant: the id stays, one may be granted to it.
        (Some(roll), None) if bare => (roll, false),
        (Some(roll), None) => fresh(roll.table),
        (None, None) if p.first && bare && p.seeds.contains(&p.addr) => {
            let table = initial_voter_set(&p.seeds, p.size);
            (VoterFile { me: initial_replica_id(&p.addr), first: true, table }, false)
        }
        (None, None) => fresh(VoterSet::default()),
    }
}
