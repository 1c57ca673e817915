//! Bytes of slots and logs back to a copy: a torn tail is dropped, any other
//! damage is reported and never read as truth.

use nanoserde::DeBin;

use crate::consts::{DISK_VERSION, RECORD_LIMIT};
use crate::storage::record::{LogRecord, ReplicaState, apply};
use crate::storage::writer::{
    LOG_HEAD, LOG_MARK, RECORD_END, RECORD_HEAD, SLOT_HEAD, SLOT_MARK, record_checksum,
};

/// What a part's folder holds.
#[derive(Debug, PartialEq)]
pub enum StoredReplica {
    Empty,
    /// Can't be trusted; the text says why.
    Damaged(String),
    Intact {
        state: ReplicaState,
        sequence: u64,
        records: u32,
        log_bytes: u64,
        is_torn: bool,
    },
}

/// Why a slot is not used.
enum Bad {
    /// Nothing, or less than a head: a write that never ended.
    Short,
    Version(u16),
    Broken,
}

fn u32_at(raw: &[u8], at: usize) -> u32 {
    let mut b = [0u8; 4];
    b.copy_from_slice(&raw[at..at + 4]);
    u32::from_le_bytes(b)
}

fn u64_at(raw: &[u8], at: usize) -> u64 {
    let mut b = [0u8; 8];
    b.copy_from_slice(&raw[at..at + 8]);
    u64::from_le_bytes(b)
}

fn slot(partition: u32, raw: &[u8]) -> Result<(u64, ReplicaState), Bad> {
    if raw.len() < SLOT_HEAD {
        return Err(Bad::Short);
    }
    if raw[..6] != SLOT_MARK {
        return Err(Bad::Broken);
    }
    let ver = u16::from_le_bytes([raw[6], raw[7]]);
    if ver != DISK_VERSION {
        return Err(Bad::Version(ver));
    }
    let len = u32_at(raw, 20);
    let sum = u32_at(raw, 24);
    if u32_at(raw, 8) != partition || len > RECORD_LIMIT {
        return Err(Bad::Broken);
    }
    let body = raw.get(SLOT_HEAD..SLOT_HEAD + len as usize).ok_or(Bad::Broken)?;
    let mut hash = crc32fast::Hasher::new();
    hash.update(&raw[..24]);
    hash.update(body);
    if hash.finalize() != sum {
        return Err(Bad::Broken);
    }
    let copy = ReplicaState::deserialize_bin(body).map_err(|_| Bad::Broken)?;
    Ok((u64_at(raw, 12), copy))
}

/// Reads a part's folder; each file may be absent.
///
/// How writing goes on decides what is damage. The log of slot `n` is begun
/// only after slot `n` is synced, and slot `n + 1` is written over slot
/// `n - 1` while log `n` still stands. So at any time one good slot has the
/// number of the log, and a broken other slot is a write that never ended.
pub fn read(partition: u32, slots: [Option<&[u8]>; 2], log: Option<&[u8]>) -> StoredReplica {
    if slots[0].is_none() && slots[1].is_none() && log.is_none() {
        return StoredReplica::Empty;
    }
    let mut best: Option<(u64, ReplicaState)> = None;
    let mut newest_broken = false;
    for raw in slots.into_iter().flatten() {
        match slot(partition, raw) {
            Ok(s) => {
                if best.as_ref().is_none_or(|b| b.0 < s.0) {
                    best = Some(s);
                }
            }
            Err(Bad::Version(v)) => {
                return StoredReplica::Damaged(format!(
                    "slot of version {v}, we read {DISK_VERSION}"
                ));
            }
            Err(Bad::Short | Bad::Broken) => newest_broken = true,
        }
    }
    let log_seq = match log {
        None => None,
        Some(raw) if raw.len() < LOG_HEAD => None,
        Some(raw) => {
            let ver = u16::from_le_bytes([raw[6], raw[7]]);
            if raw[..6] == LOG_MARK && ver != DISK_VERSION {
                return StoredReplica::Damaged(format!(
                    "log of version {ver}, we read {DISK_VERSION}"
                ));
            }
            if raw[..6] != LOG_MARK
                || u32_at(raw, 8) != partition
                || crc32fast::hash(&raw[..20]) != u32_at(raw, 20)
            {
                return StoredReplica::Damaged("the log's head is broken".into());
            }
            Some(u64_at(raw, 12))
        }
    };
    let Some((seq, mut copy)) = best else {
        // Not even the first slot was finished: nothing was ever promised.
        return match log_seq {
            None => StoredReplica::Empty,
            Some(_) => StoredReplica::Damaged("a log stands, but no slot can be read".into()),
        };
    };
    match log_seq {
        // The slot is newer than the log: the log's records are within it.
        Some(n) if n < seq => StoredReplica::Intact {
            state: copy,
            sequence: seq,
            records: 0,
            log_bytes: 0,
            is_torn: false,
        },
        Some(n) if n > seq => StoredReplica::Damaged(format!(
            "the log follows slot {n}, the newest that stands is {seq}"
        )),
        None if newest_broken || seq > 1 => {
            // A slot write replaces the log by renaming; it is never absent.
            StoredReplica::Damaged("the log is gone".into())
        }
        None => StoredReplica::Intact {
            state: copy,
            sequence: seq,
            records: 0,
            log_bytes: 0,
            is_torn: false,
        },
        Some(_) => {
            let raw = log.unwrap_or_default();
            match records(seq, &raw[LOG_HEAD..], &mut copy) {
                Err(why) => StoredReplica::Damaged(why),
                Ok((records, len, torn)) => StoredReplica::Intact {
                    state: copy,
                    sequence: seq,
                    records,
                    log_bytes: (LOG_HEAD + len) as u64,
                    is_torn: torn,
                },
            }
        }
    }
}

/// Applies the records of a log; gives their count, their length and whether
/// a torn tail was dropped.
fn records(seq: u64, raw: &[u8], copy: &mut ReplicaState) -> Result<(u32, usize, bool), String> {
    let (mut at, mut num) = (0, 0u32);
    while at < raw.len() {
        let (rec, end) = match one(seq, num, raw, at) {
            Parsed::Record(rec, end) => (rec, end),
            Parsed::Flipped => return Err(format!("record {num} of the log was changed")),
            // Torn, unless a whole record of this log stands behind it.
            Parsed::Torn if later(seq, num, raw, at + 1) => {
                return Err(format!("record {num} of the log is broken amid good ones"));
            }
            Parsed::Torn => return Ok((num, at, true)),
        };
        if !apply(copy, &rec) {
            return Err(format!("record {num} of the log does not follow the one before"));
        }
        at = end;
        num += 1;
    }
    Ok((num, at, false))
}

/// What stands at a place of the log.
enum Parsed {
    Record(LogRecord, usize),
    Torn,
    Flipped,
}

fn one(seq: u64, num: u32, raw: &[u8], at: usize) -> Parsed {
    if raw.len() < at + RECORD_HEAD {
        return Parsed::Torn;
    }
    let head = &raw[at..at + RECORD_HEAD];
    if crc32fast::hash(&head[..12]) != u32_at(head, 12) || u32_at(head, 4) != num {
        // A torn write leaves zeros behind what it reached; a whole record
        // would end in its mark.
        let torn = raw.last() == Some(&0);
        return if torn { Parsed::Torn } else { Parsed::Flipped };
    }
    let len = u32_at(head, 0);
    let end = at + RECORD_HEAD + len as usize;
    if len > RECORD_LIMIT || end >= raw.len() || raw[end] == 0 {
        return Parsed::Torn;
    }
    let body = &raw[at + RECORD_HEAD..end];
    if raw[end] != RECORD_END || record_checksum(seq, num, body) != u32_at(head, 8) {
        return Parsed::Flipped;
    }
    match LogRecord::deserialize_bin(body) {
        Ok(rec) => Parsed::Record(rec, end + 1),
        Err(_) => Parsed::Flipped,
    }
}

/// Whether a good record with a higher number than `num` begins at or after
/// `from`.
fn later(seq: u64, num: u32, raw: &[u8], from: usize) -> bool {
    (from..raw.len().saturating_sub(RECORD_HEAD)).any(|at| {
        let n = u32_at(raw, at + 4);
        n > num && n - num < 1_000_000 && matches!(one(seq, n, raw, at), Parsed::Record(..))
    })
}
