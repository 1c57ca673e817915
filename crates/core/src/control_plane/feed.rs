//! The committed changes of a partition, as a feed numbered by revisions.

use crate::protocol::message::Message;
use crate::replication::partition::Partition;
use crate::replication::private_entries::{is_private, public_entries};

/// Returns the update that takes a subscriber from revision `position` to the committed
/// revision.
pub fn update_after(partition: &Partition, position: u64) -> Option<Message> {
    if position >= partition.committed_revision {
        return None;
    }
    let first = partition.changes.front().map_or(u64::MAX, |(revision, _)| *revision);
    let revision = partition.committed_revision;
    if position > 0 && partition.uncommitted_snapshot.is_none() && first <= position + 1 {
        let entries = partition
            .changes
            .iter()
            .filter(|(changed_at, _)| *changed_at > position && *changed_at <= revision)
            .flat_map(|(_, entries)| entries.iter().filter(|(key, _)| !is_private(key)).cloned())
            .collect();
        return Some(Message::Update {
            partition: partition.id,
            from: Some(position),
            revision,
            entries,
        });
    }
    let entries = public_entries(&partition.committed)
        .into_iter()
        .map(|(key, value)| (key, Some(value)))
        .collect();
    Some(Message::Update { partition: partition.id, from: None, revision, entries })
}
