//! Identifiers that travel through the whole system.

use std::fmt;

/// A partition of the state: 0 is the configuration, the others hold services.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, nanoserde::DeBin, nanoserde::SerBin,
)]
pub struct PartitionId(pub u32);

/// The partition that holds the operators' configuration.
pub const CONFIG: PartitionId = PartitionId(0);

/// Stands for the membership in a list of feed positions, as if it were a partition.
pub const MEMBERSHIP_FEED: PartitionId = PartitionId(u32::MAX);
/// A position beyond all others: who subscribes from it is sent how far we are, and no
/// updates.
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

/// The partition that holds a service's leafs.
pub fn service_partition(service: &str) -> PartitionId {
    let n = u64::from(crate::consts::SERVICE_PARTITIONS);
    PartitionId(1 + (crate::digest::hash(service) % n) as u32)
}

/// Every partition of the state.
pub fn partitions() -> impl Iterator<Item = PartitionId> {
    (0..=crate::consts::SERVICE_PARTITIONS).map(PartitionId)
}

/// A voter slot: an index into the voter set.
pub type VoterSlot = u8;

/// The term of a leader of a partition. Each term belongs to one voter slot alone, and
/// a higher one wins over a lower one. Zero: no leader yet.
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
    /// Before every term that a leader ever has.
    pub const ZERO: Term = Term(0);

    /// Distance between two terms of one voter slot (count): above the most slots, and
    /// the same for any number of them, so that a term is one slot's for ever.
    pub const STRIDE: u64 = 16;

    /// The next term above this one that only `slot` uses.
    pub fn next_for(self, slot: VoterSlot) -> Term {
        Term((self.0 / Term::STRIDE + 1) * Term::STRIDE + u64::from(slot))
    }

    /// The bare number, for JSON and metrics.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// How new a replica of a partition is: the term under which it was last written, then
/// the revision that it has reached.
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
    /// The term under which it was last written.
    pub term: Term,
    /// The revision that it has reached.
    pub revision: u64,
}
