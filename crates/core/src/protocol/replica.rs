//! The contents and the condition of a partition's replica in messages.

use std::collections::BTreeMap;

use nanoserde::{DeBin, SerBin};

use crate::identifiers::{PartitionId, Term};

/// The stored contents of a partition, by key.
pub type EntryMap = BTreeMap<String, Vec<u8>>;

/// The condition of a replica's files, which determines whether it may vote.
#[derive(Clone, Copy, Debug, PartialEq, DeBin, SerBin)]
pub enum ReplicaCondition {
    /// The disk is empty: this is the first start, or the disk was replaced.
    Empty,
    /// The files on disk are damaged and can't be trusted.
    Damaged,
    /// The replica votes and accepts changes.
    Voting,
}

/// The state of a partition's replica, sent with the handover of a voter slot.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub struct HandedOverReplica {
    /// The partition.
    pub partition: PartitionId,
    /// The highest term in which it voted or followed a leader.
    pub current_term: Term,
    /// The term under which `entries` was last written.
    pub written_term: Term,
    /// The revision of `entries`.
    pub revision: u64,
    /// The entries of the replica, committed or not.
    pub entries: EntryMap,
}
