//! What is committed, as a numbered feed of a partition.

use crate::consts;
use crate::control_plane::order_memory::{is_memory, without_memory};
use crate::protocol::message::{EntryMap, Message};
use crate::replication::partition::Partition;
use crate::storage::record::put;

/// Shows everything up to the committed revision `done` that we have.
pub fn show(p: &mut Partition, done: u64) {
    if p.uncommitted_snapshot.as_ref().is_some_and(|(revision, _)| *revision <= done)
        && let Some((revision, map)) = p.uncommitted_snapshot.take()
        && revision > p.committed_revision
    {
        p.committed = map;
        p.committed_revision = revision;
    }
    if p.uncommitted_snapshot.is_none() {
        for (revision, entries) in &p.changes {
            if *revision == p.committed_revision + 1 && *revision <= done {
                put(&mut p.committed, entries);
                p.committed_revision = *revision;
            }
        }
    }
    while p.changes.len() > consts::FEED_KEPT
        && p.changes.front().is_some_and(|(revision, _)| *revision <= p.committed_revision)
    {
        p.changes.pop_front();
    }
}

/// Takes over a copy whose way here is not known.
pub fn reseed(p: &mut Partition, revision: u64, map: &EntryMap) {
    // A leader that re-writes what we have already tells us nothing new.
    if p.state.revision == revision && p.state.entries == *map {
        return;
    }
    p.changes.clear();
    p.uncommitted_snapshot = Some((revision, map.clone()));
}

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
            .flat_map(|(_, entries)| entries.iter().filter(|e| !is_memory(&e.0)).cloned())
            .collect();
        return Some(Message::Update { partition: p.id, from: Some(place), revision, entries });
    }
    let entries = without_memory(&p.committed).into_iter().map(|(k, v)| (k, Some(v))).collect();
    Some(Message::Update { partition: p.id, from: None, revision, entries })
}
