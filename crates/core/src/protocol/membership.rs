//! What follows from a membership alone: its identity, its order among others, and
//! its place in the feed.

use crate::protocol::message::{Membership, MembershipId};

impl Membership {
    /// The identity of this membership, whatever its settled turn.
    pub fn id(&self) -> MembershipId {
        MembershipId { term: self.term, turn: self.turn }
    }

    /// Whether this state of the membership comes after another.
    pub fn is_newer_than(&self, other: &Membership) -> bool {
        (self.term, self.turn, self.settled) > (other.term, other.turn, other.settled)
    }

    /// This state as one number that only rises, which serves as its revision in the
    /// feed: within a turn it is sent once before all have seen it and once after.
    pub fn feed_revision(&self) -> u64 {
        let is_settled = self.term > 0 && self.settled == self.turn;
        self.term << 32 | self.turn << 1 | u64::from(is_settled)
    }
}
