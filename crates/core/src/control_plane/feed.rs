//! What is committed, as a numbered feed of a partition.

use crate::protocol::message::Message;
use crate::replication::partition::Partition;
use crate::replication::private_entries::{is_private, public_entries};

/// The update that takes a follower from `place` to what is committed now.
pub fn update_after(p: &Partition, place: u64) -> Option<Message> {
    if place >= p.committed_revision {
        return None;
    }
    let first = p.changes.front().map_or(u64::MAX, |(revision, _)| *revision);
    let revision = p.committed_revision;
    if place > 0 && p.uncommitted_snapshot.is_none() && first <= place + 1 {
        let entries = p
            .changes
            .iter()
            .filter(|(r, _)| *r > place && *r <= revision)
            .flat_map(|(_, entries)| entries.iter().filter(|e| !is_private(&e.0)).cloned())
            .collect();
        return Some(Message::Update { partition: p.id, from: Some(place), revision, entries });
    }
    let entries = public_entries(&p.committed).into_iter().map(|(k, v)| (k, Some(v))).collect();
    Some(Message::Update { partition: p.id, from: None, revision, entries })
}
