//! Errors that make the files of a partition unusable.

use thiserror::Error;

use crate::storage::format::DISK_VERSION;

/// Corruption or loss found in the files of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Damage {
    /// A slot was written by a build with another format.
    #[error("slot has format version {found}, this build reads {DISK_VERSION}")]
    SlotVersion {
        /// The version in its header.
        found: u16,
    },
    /// The log was written by a build with another format.
    #[error("log has format version {found}, this build reads {DISK_VERSION}")]
    LogVersion {
        /// The version in its header.
        found: u16,
    },
    /// The log header has a wrong magic number, partition or checksum.
    #[error("the log header is corrupted")]
    LogHeader,
    /// The log continues a slot, and no slot is intact.
    #[error("there is a log, but no slot can be read")]
    NoSlot,
    /// The slot that the log continues is missing.
    #[error("the log continues slot {log}, the newest slot is {slot}")]
    SlotMissing {
        /// Sequence number in the log header.
        log: u64,
        /// Sequence number of the newest intact slot.
        slot: u64,
    },
    /// The log is missing. A new slot replaces the log by renaming, so a log that was once
    /// written always exists.
    #[error("the log is missing")]
    LogMissing,
    /// A record was complete and has been modified since.
    #[error("record {number} of the log was modified")]
    RecordChanged {
        /// Its index in the log, from zero.
        number: u32,
    },
    /// A record is corrupted, and intact ones follow it, which a torn write can't cause.
    #[error("record {number} of the log is corrupted, and intact records follow it")]
    RecordBroken {
        /// Its index in the log, from zero.
        number: u32,
    },
    /// A record is intact but does not continue the state before it.
    #[error("record {number} of the log does not follow the previous record")]
    RecordOutOfOrder {
        /// Its index in the log, from zero.
        number: u32,
    },
    /// The files were corrupted at an earlier start, and no snapshot was written since.
    #[error("its files were corrupted and set aside earlier")]
    SetAside,
}
