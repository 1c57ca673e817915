//! What replicas of a partition say of their contents.

use std::collections::BTreeMap;

use nanoserde::{DeBin, SerBin};

use crate::identifiers::{PartitionId, Term};

/// The stored contents of a partition, by key.
pub type EntryMap = BTreeMap<String, Vec<u8>>;

/// What a replica's files allow it to do.
#[derive(Clone, Copy, Debug, PartialEq, DeBin, SerBin)]
pub enum ReplicaCondition {
    /// Nothing is on its disk: this is the first start, or the disk was replaced.
    Empty,
    /// What is on its disk can't be trusted.
    Damaged,
    /// It votes and accepts changes.
    Voting,
}

/// What one replica of a partition holds, as a voter that leaves hands it over.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub struct HandedOverReplica {
    /// The partition.
    pub partition: PartitionId,
    /// The highest term in which it voted or followed a leader.
    pub current_term: Term,
    /// Term under which `entries` was last written.
    pub written_term: Term,
    /// Revision of `entries`.
    pub revision: u64,
    /// The contents, committed or not.
    pub entries: EntryMap,
}
