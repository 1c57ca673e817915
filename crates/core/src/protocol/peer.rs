//! The identity of the peer that opened a connection.

use nanoserde::{DeBin, SerBin};

use crate::identifiers::VoterSlot;

/// The identity of the process that opened a connection, sent first on each connection.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum PeerIdentity {
    /// A controller that holds a voter slot. Its messages are accepted only if the receiver's
    /// voter set names it as the holder of that slot.
    Voter {
        /// The slot that the controller holds.
        slot: VoterSlot,
        /// The replica id of the controller.
        replica_id: u64,
    },
    /// A controller that holds no voter slot.
    Spare {
        /// The replica id of the controller.
        replica_id: u64,
    },
    /// A member, identified by its name.
    Member(String),
}
