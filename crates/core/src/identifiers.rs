//! Identifiers of partitions, voter slots, terms and revisions.

use std::fmt;

/// A partition of the replicated state: 0 holds the configuration, the others hold the leafs of
/// services.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, nanoserde::DeBin, nanoserde::SerBin,
)]
pub struct PartitionId(pub u32);

/// The partition of the configuration.
pub const CONFIG: PartitionId = PartitionId(0);

/// Represents the membership in a list of feed positions, as if it were a partition.
pub const MEMBERSHIP_FEED: PartitionId = PartitionId(u32::MAX);
/// A feed position after all revisions. A subscriber with this position is sent the positions of
/// the controller but no updates.
pub const FEED_END: u64 = u64::MAX;

impl fmt::Display for PartitionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => write!(f, "config"),
            n => write!(f, "services-{n}"),
        }
    }
}

impl fmt::Debug for PartitionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// Returns the partition that holds a service's leafs.
pub fn service_partition(service: &str) -> PartitionId {
    let n = u64::from(crate::consts::SERVICE_PARTITIONS);
    PartitionId(1 + (crate::digest::hash(service) % n) as u32)
}

/// Returns all partitions, that of the configuration first.
pub fn partitions() -> impl Iterator<Item = PartitionId> {
    (0..=crate::consts::SERVICE_PARTITIONS).map(PartitionId)
}

/// A voter slot: an index into the voter set.
pub type VoterSlot = u8;

/// The term of a partition's leader. Each term belongs to one voter slot, and a higher term
/// supersedes a lower one. Zero means that there has been no leader yet.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    nanoserde::DeBin,
    nanoserde::SerBin,
)]
pub struct Term(pub u64);

impl Term {
    /// The term before the first leader.
    pub const ZERO: Term = Term(0);

    /// Difference between two consecutive terms of one voter slot. Above the maximum number of
    /// slots, and independent of the actual number, so that a term always belongs to the same
    /// slot.
    pub const STRIDE: u64 = 16;

    /// Returns the next term above this one that belongs to `slot`.
    pub fn next_for(self, slot: VoterSlot) -> Term {
        Term((self.0 / Term::STRIDE + 1) * Term::STRIDE + u64::from(slot))
    }

    /// Returns the term as a number, for JSON and metrics.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The last written position of a partition's replica. Positions are ordered by term, then by
/// revision, as the last log entries are compared in Raft.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    nanoserde::DeBin,
    nanoserde::SerBin,
)]
pub struct Position {
    /// The term under which the replica was last written.
    pub term: Term,
    /// The newest revision of the replica.
    pub revision: u64,
}
