//! Who is at the other end of a connection.

use nanoserde::{DeBin, SerBin};

use crate::identifiers::VoterSlot;

/// Who opened a connection. Sent first on each.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum PeerIdentity {
    /// The controller that holds a voter slot. What it says counts only where the
    /// receiver's voter set names it as that slot's holder.
    Voter {
        /// The slot that it holds.
        slot: VoterSlot,
        /// Its replica id.
        replica_id: u64,
    },
    /// A controller that holds no voter slot.
    Spare {
        /// Its replica id.
        replica_id: u64,
    },
    /// A member, by its name.
    Member(String),
}
