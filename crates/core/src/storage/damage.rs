//! What makes the files of a partition untrustworthy.

use thiserror::Error;

use crate::storage::format::DISK_VERSION;

/// Why the files of a partition can't be trusted: what was found, and where.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Damage {
    /// A slot was written by a build with another format.
    #[error("slot of version {found}, we read {DISK_VERSION}")]
    SlotVersion {
        /// The version in its head.
        found: u16,
    },
    /// The log was written by a build with another format.
    #[error("log of version {found}, we read {DISK_VERSION}")]
    LogVersion {
        /// The version in its head.
        found: u16,
    },
    /// The log's mark, partition or checksum is wrong.
    #[error("the log's head is broken")]
    LogHeader,
    /// The log needs a slot, and none is whole.
    #[error("a log stands, but no slot can be read")]
    NoSlot,
    /// The slot that the log follows is not there.
    #[error("the log follows slot {log}, the newest that stands is {slot}")]
    SlotMissing {
        /// Sequence number in the log's head.
        log: u64,
        /// Sequence number of the newest slot that is whole.
        slot: u64,
    },
    /// A log was there once: a slot replaces it by renaming, so it is never absent.
    #[error("the log is gone")]
    LogMissing,
    /// A record was whole once and has been changed since.
    #[error("record {number} of the log was changed")]
    RecordChanged {
        /// Its place in the log, from zero.
        number: u32,
    },
    /// A record is broken, and whole ones stand behind it: no torn write leaves that.
    #[error("record {number} of the log is broken amid good ones")]
    RecordBroken {
        /// Its place in the log, from zero.
        number: u32,
    },
    /// A record is whole and does not continue the state before it.
    #[error("record {number} of the log does not follow the one before")]
    RecordOutOfOrder {
        /// Its place in the log, from zero.
        number: u32,
    },
    /// They were damaged at an earlier start, and no snapshot was written since.
    #[error("its files were damaged and set aside earlier")]
    SetAside,
}
