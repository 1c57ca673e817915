//! Bytes of slots and of log records.

use nanoserde::SerBin;

use crate::consts::DISK_VERSION;
use crate::storage::record::{LogRecord, ReplicaState};

/// First bytes of a slot.
pub const SLOT_MARK: [u8; 6] = *b"GRBslt";
/// First bytes of a log.
pub const LOG_MARK: [u8; 6] = *b"GRBlog";
/// Slot: mark, version u16, part u32, sequence u64, length u32, checksum u32.
pub const SLOT_HEAD: usize = 28;
/// Log: mark, version u16, part u32, sequence u64, checksum u32.
pub const LOG_HEAD: usize = 24;
/// Record: length u32, its place in the log u32, checksum of the body u32,
/// checksum of these three u32; behind the body stands `RECORD_END`.
pub const RECORD_HEAD: usize = 16;
/// Last byte of a record. A write that was torn leaves the file short or
/// ends in zeros; a record that has its end and a wrong checksum was whole
/// once, and what was synced has been changed since.
pub const RECORD_END: u8 = 0xa5;

/// A whole slot file.
pub fn slot(partition: u32, seq: u64, copy: &ReplicaState) -> Vec<u8> {
    let body = copy.serialize_bin();
    let mut out = start(SLOT_MARK, partition, seq);
    out.extend((body.len() as u32).to_le_bytes());
    let mut sum = crc32fast::Hasher::new();
    sum.update(&out);
    sum.update(&body);
    out.extend(sum.finalize().to_le_bytes());
    out.extend(body);
    out
}

/// The head of a new log that follows the slot `seq`.
pub fn log_head(partition: u32, seq: u64) -> Vec<u8> {
    let mut out = start(LOG_MARK, partition, seq);
    out.extend(crc32fast::hash(&out).to_le_bytes());
    out
}

/// One record of the log of `seq`, the `num`-th. The sequence is part of the
/// checksum, so that leftovers of an older log are never read as its tail.
pub fn record(seq: u64, num: u32, record: &LogRecord) -> Vec<u8> {
    let body = record.serialize_bin();
    let mut out = Vec::with_capacity(RECORD_HEAD + body.len() + 1);
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(num.to_le_bytes());
    out.extend(record_checksum(seq, num, &body).to_le_bytes());
    out.extend(crc32fast::hash(&out).to_le_bytes());
    out.extend(body);
    out.push(RECORD_END);
    out
}

/// Checksum of a record.
pub fn record_checksum(seq: u64, num: u32, body: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&seq.to_le_bytes());
    sum.update(&num.to_le_bytes());
    sum.update(&(body.len() as u32).to_le_bytes());
    sum.update(body);
    sum.finalize()
}

fn start(mark: [u8; 6], partition: u32, seq: u64) -> Vec<u8> {
    let mut out = mark.to_vec();
    out.extend(DISK_VERSION.to_le_bytes());
    out.extend(partition.to_le_bytes());
    out.extend(seq.to_le_bytes());
    out
}
