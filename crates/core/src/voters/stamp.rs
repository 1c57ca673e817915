//! Voter set stamps of messages that count only between voters with the same voter set.

use crate::protocol::message::Message;

/// Returns the stamp of a message that counts only under equal voter sets.
pub fn stamp_of(message: &Message) -> Option<u64> {
    match message {
        Message::VoteGranted { stamp, .. }
        | Message::AppendAck { stamp, .. }
        | Message::HeartbeatAck { stamp, .. }
        | Message::ReplicaStatus { stamp, .. }
        | Message::MembershipReplicated { stamp, .. }
        | Message::MembershipFetched { stamp, .. }
        | Message::VoterAlive { stamp } => Some(*stamp),
        _ => None,
    }
}

/// Returns the same stamp for modification.
pub fn stamp_of_mut(message: &mut Message) -> Option<&mut u64> {
    match message {
        Message::VoteGranted { stamp, .. }
        | Message::AppendAck { stamp, .. }
        | Message::HeartbeatAck { stamp, .. }
        | Message::ReplicaStatus { stamp, .. }
        | Message::MembershipReplicated { stamp, .. }
        | Message::MembershipFetched { stamp, .. }
        | Message::VoterAlive { stamp } => Some(stamp),
        _ => None,
    }
}
