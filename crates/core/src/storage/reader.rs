//! Decodes slots and logs into a replica's state. A torn tail of the log is dropped; any other
//! corruption is reported, and the data is not used.

use crate::protocol::message_shapes::{LOG_RECORD, REPLICA_STATE};
use crate::protocol::shape::decode;
use crate::storage::damage::Damage;
use crate::storage::format::{DISK_VERSION, MAX_RECORD_BYTES};
use crate::storage::record::{LogRecord, ReplicaState};
use crate::storage::writer::{
    LOG_HEADER_BYTES, LOG_MAGIC, RECORD_END_MARKER, RECORD_HEADER_BYTES, SLOT_HEADER_BYTES,
    SLOT_MAGIC, record_checksum,
};

/// Maximum distance in record numbers between a corrupted record and an intact one behind it
/// (count). A higher number does not belong to this log.
const MAX_RECORDS_AHEAD: u32 = 1_000_000;

/// Contents of the files of a partition.
#[derive(Debug, PartialEq)]
pub enum StoredReplica {
    /// No write was ever completed.
    Empty,
    /// Corrupted files.
    Damaged(Damage),
    /// The synced state with all later changes.
    Intact {
        /// The newest slot's state, with the log's records applied.
        state: ReplicaState,
        /// Sequence number of the newest slot.
        sequence: u64,
        /// Records in its log (count).
        records: u32,
        /// Length of the log up to its last complete record (bytes).
        log_bytes: u64,
        /// Whether a torn tail of the log was dropped.
        is_torn: bool,
    },
}

/// An intact slot.
struct Slot {
    sequence: u64,
    state: ReplicaState,
}

/// Contents of the two slots.
#[derive(Default)]
struct Slots {
    /// The newest intact slot.
    newest: Option<Slot>,
    /// Whether a slot is incomplete or corrupted.
    has_broken: bool,
    /// The version of a slot that another build wrote, or whose version was corrupted.
    other_version: Option<u16>,
}

/// Reason why a slot is not used.
enum SlotError {
    /// It was written by a build with another format.
    Version(u16),
    /// It is incomplete or corrupted.
    Broken,
}

/// The complete records of a log.
struct Records {
    count: u32,
    bytes: usize,
    is_torn: bool,
}

/// Result of parsing the log at an offset.
enum Parsed {
    /// A complete record, and the offset of its end.
    Record(LogRecord, usize),
    /// An incomplete write.
    Torn,
    /// A record that was complete and has been modified since.
    Corrupted,
}

/// Decodes the files of a partition; each may be missing.
pub fn read(partition: u32, slots: [Option<&[u8]>; 2], log: Option<&[u8]>) -> StoredReplica {
    read_files(partition, slots, log).unwrap_or_else(StoredReplica::Damaged)
}

/// The order of writes determines what counts as corruption. The log of slot `n` is started only
/// after slot `n` is synced, and slot `n + 1` overwrites slot `n - 1` while log `n` still exists.
/// So at any time one intact slot has the sequence number of the log. If the other slot is broken,
/// it is an incomplete write, or it was corrupted after its successor was written; either way it
/// is not needed.
fn read_files(
    partition: u32,
    slots: [Option<&[u8]>; 2],
    log: Option<&[u8]>,
) -> Result<StoredReplica, Damage> {
    if slots[0].is_none() && slots[1].is_none() && log.is_none() {
        return Ok(StoredReplica::Empty);
    }
    let Slots { newest, has_broken, other_version } = read_slots(partition, slots);
    let log_sequence = log_sequence(partition, log)?;
    let is_followed = |slot: &Slot| log_sequence == Some(slot.sequence);
    if let Some(found) = other_version
        && !newest.as_ref().is_some_and(is_followed)
    {
        return Err(Damage::SlotVersion { found });
    }
    let Some(Slot { sequence, state }) = newest else {
        // Not even the first slot was completed, so nothing was ever acknowledged.
        return match log_sequence {
            None => Ok(StoredReplica::Empty),
            Some(_) => Err(Damage::NoSlot),
        };
    };
    match log_sequence {
        Some(log) if log > sequence => Err(Damage::SlotMissing { log, slot: sequence }),
        // A slot write replaces the log by renaming, so the log is never missing.
        None if has_broken || sequence > 1 => Err(Damage::LogMissing),
        Some(same) if same == sequence => with_log(sequence, state, log.unwrap_or_default()),
        // The slot is newer than the log and contains the log's records, or it is the first slot
        // and its log was never started.
        Some(_) | None => {
            Ok(StoredReplica::Intact { state, sequence, records: 0, log_bytes: 0, is_torn: false })
        }
    }
}

/// Returns a slot's state with its log applied.
fn with_log(sequence: u64, mut state: ReplicaState, log: &[u8]) -> Result<StoredReplica, Damage> {
    let Records { count, bytes, is_torn } =
        apply_records(sequence, &log[LOG_HEADER_BYTES..], &mut state)?;
    let log_bytes = (LOG_HEADER_BYTES + bytes) as u64;
    Ok(StoredReplica::Intact { state, sequence, records: count, log_bytes, is_torn })
}

/// Decodes both slots.
fn read_slots(partition: u32, slots: [Option<&[u8]>; 2]) -> Slots {
    let mut found = Slots::default();
    for raw in slots.into_iter().flatten() {
        match read_slot(partition, raw) {
            Ok(slot) if found.newest.as_ref().is_none_or(|n| n.sequence < slot.sequence) => {
                found.newest = Some(slot);
            }
            Ok(_) => {}
            Err(SlotError::Version(version)) => found.other_version = Some(version),
            Err(SlotError::Broken) => found.has_broken = true,
        }
    }
    found
}

fn read_slot(partition: u32, raw: &[u8]) -> Result<Slot, SlotError> {
    if raw.len() < SLOT_HEADER_BYTES || raw[..6] != SLOT_MAGIC {
        return Err(SlotError::Broken);
    }
    let version = u16::from_le_bytes([raw[6], raw[7]]);
    if version != DISK_VERSION {
        return Err(SlotError::Version(version));
    }
    let (length, checksum) = (u32_at(raw, 20), u32_at(raw, 24));
    if u32_at(raw, 8) != partition || length > MAX_RECORD_BYTES {
        return Err(SlotError::Broken);
    }
    let body =
        raw.get(SLOT_HEADER_BYTES..SLOT_HEADER_BYTES + length as usize).ok_or(SlotError::Broken)?;
    let mut hash = crc32fast::Hasher::new();
    hash.update(&raw[..24]);
    hash.update(body);
    if hash.finalize() != checksum {
        return Err(SlotError::Broken);
    }
    let state: ReplicaState = decode(&REPLICA_STATE, body).map_err(|_| SlotError::Broken)?;
    Ok(Slot { sequence: u64_at(raw, 12), state })
}

/// Returns the sequence number of the slot that a log continues, if the log was started.
fn log_sequence(partition: u32, log: Option<&[u8]>) -> Result<Option<u64>, Damage> {
    let Some(raw) = log.filter(|raw| raw.len() >= LOG_HEADER_BYTES) else { return Ok(None) };
    let found = u16::from_le_bytes([raw[6], raw[7]]);
    let has_magic = raw[..6] == LOG_MAGIC;
    if has_magic && found != DISK_VERSION {
        return Err(Damage::LogVersion { found });
    }
    let is_intact = crc32fast::hash(&raw[..20]) == u32_at(raw, 20);
    if !has_magic || u32_at(raw, 8) != partition || !is_intact {
        return Err(Damage::LogHeader);
    }
    Ok(Some(u64_at(raw, 12)))
}

/// Applies the records of a log, up to a torn tail.
fn apply_records(sequence: u64, raw: &[u8], state: &mut ReplicaState) -> Result<Records, Damage> {
    let (mut bytes, mut number) = (0, 0u32);
    while bytes < raw.len() {
        let (record, end) = match parse_record(sequence, number, raw, bytes) {
            Parsed::Record(record, end) => (record, end),
            Parsed::Corrupted => return Err(Damage::RecordChanged { number }),
            // Torn, unless a complete record of this log follows.
            Parsed::Torn if has_later_record(sequence, number, raw, bytes + 1) => {
                return Err(Damage::RecordBroken { number });
            }
            Parsed::Torn => return Ok(Records { count: number, bytes, is_torn: true }),
        };
        if !state.apply(&record) {
            return Err(Damage::RecordOutOfOrder { number });
        }
        bytes = end;
        number += 1;
    }
    Ok(Records { count: number, bytes, is_torn: false })
}

fn parse_record(sequence: u64, number: u32, raw: &[u8], at: usize) -> Parsed {
    if raw.len() < at + RECORD_HEADER_BYTES {
        return Parsed::Torn;
    }
    let head = &raw[at..at + RECORD_HEADER_BYTES];
    if crc32fast::hash(&head[..12]) != u32_at(head, 12) || u32_at(head, 4) != number {
        // A torn write leaves zeros after the written part; a complete record ends in its end
        // marker.
        let is_torn = raw.last() == Some(&0);
        return if is_torn { Parsed::Torn } else { Parsed::Corrupted };
    }
    let length = u32_at(head, 0);
    let end = at + RECORD_HEADER_BYTES + length as usize;
    if length > MAX_RECORD_BYTES || end >= raw.len() || raw[end] == 0 {
        return Parsed::Torn;
    }
    let body = &raw[at + RECORD_HEADER_BYTES..end];
    if raw[end] != RECORD_END_MARKER || record_checksum(sequence, number, body) != u32_at(head, 8) {
        return Parsed::Corrupted;
    }
    match decode::<LogRecord>(&LOG_RECORD, body) {
        Ok(record) => Parsed::Record(record, end + 1),
        Err(_) => Parsed::Corrupted,
    }
}

/// Returns whether an intact record with a higher number than `number` starts at or after `from`.
fn has_later_record(sequence: u64, number: u32, raw: &[u8], from: usize) -> bool {
    let is_later = |at: usize| {
        let later = u32_at(raw, at + 4);
        later > number
            && later - number < MAX_RECORDS_AHEAD
            && matches!(parse_record(sequence, later, raw, at), Parsed::Record(..))
    };
    (from..raw.len().saturating_sub(RECORD_HEADER_BYTES)).any(is_later)
}

fn u32_at(raw: &[u8], at: usize) -> u32 {
    let mut bytes = [0u8; 4];
    bytes.copy_from_slice(&raw[at..at + 4]);
    u32::from_le_bytes(bytes)
}

fn u64_at(raw: &[u8], at: usize) -> u64 {
    let mut bytes = [0u8; 8];
    bytes.copy_from_slice(&raw[at..at + 8]);
    u64::from_le_bytes(bytes)
}
