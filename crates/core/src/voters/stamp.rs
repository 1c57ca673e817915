//! Stamps of messages that count only between voters that hold the same voter set.

use crate::protocol::message::Message;

/// The stamp of a message that counts only under equal voter sets.
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

/// The same, to be set.
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
