//! Encodes slots and log records.

use nanoserde::SerBin;

use crate::storage::format::DISK_VERSION;
use crate::storage::record::{LogRecord, ReplicaState};

/// First bytes of a slot.
pub const SLOT_MAGIC: [u8; 6] = *b"GRBslt";
/// First bytes of a log.
pub const LOG_MAGIC: [u8; 6] = *b"GRBlog";
/// Slot header: magic, version u16, partition u32, sequence u64, length u32, checksum u32.
pub const SLOT_HEADER_BYTES: usize = 28;
/// Log header: magic, version u16, partition u32, sequence u64, checksum u32.
pub const LOG_HEADER_BYTES: usize = 24;
/// Record header: length u32, number in the log u32, checksum of the body u32, checksum of these
/// three u32. `RECORD_END_MARKER` follows the body.
pub const RECORD_HEADER_BYTES: usize = 16;
/// Last byte of a record. A torn write leaves the file short or ends in zeros. A record with its
/// end marker and a wrong checksum was complete, and its synced bytes were modified since.
pub const RECORD_END_MARKER: u8 = 0xa5;

/// Encodes a slot: a snapshot of a partition's state with its sequence number.
pub fn slot(partition: u32, sequence: u64, state: &ReplicaState) -> Vec<u8> {
    let body = state.serialize_bin();
    let mut out = header_start(SLOT_MAGIC, partition, sequence);
    out.extend((body.len() as u32).to_le_bytes());
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&out);
    checksum.update(&body);
    out.extend(checksum.finalize().to_le_bytes());
    out.extend(body);
    out
}

/// Encodes the header of a new log, which continues the slot with this sequence number.
pub fn log_header(partition: u32, sequence: u64) -> Vec<u8> {
    let mut out = header_start(LOG_MAGIC, partition, sequence);
    out.extend(crc32fast::hash(&out).to_le_bytes());
    out
}

/// Encodes the `number`-th record of the log of `sequence`. The sequence is part of the checksum,
/// so that the remains of an older log are never read as the tail of this one.
pub fn record(sequence: u64, number: u32, record: &LogRecord) -> Vec<u8> {
    let body = record.serialize_bin();
    let mut out = Vec::with_capacity(RECORD_HEADER_BYTES + body.len() + 1);
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(number.to_le_bytes());
    out.extend(record_checksum(sequence, number, &body).to_le_bytes());
    out.extend(crc32fast::hash(&out).to_le_bytes());
    out.extend(body);
    out.push(RECORD_END_MARKER);
    out
}

/// Returns the checksum of a record.
pub fn record_checksum(sequence: u64, number: u32, body: &[u8]) -> u32 {
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&sequence.to_le_bytes());
    checksum.update(&number.to_le_bytes());
    checksum.update(&(body.len() as u32).to_le_bytes());
    checksum.update(body);
    checksum.finalize()
}

fn header_start(magic: [u8; 6], partition: u32, sequence: u64) -> Vec<u8> {
    let mut out = magic.to_vec();
    out.extend(DISK_VERSION.to_le_bytes());
    out.extend(partition.to_le_bytes());
    out.extend(sequence.to_le_bytes());
    out
}
