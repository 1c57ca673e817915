//! What is committed, committed to followers as a numbered feed.

use crate::command::{Command, ConnectionId};
use crate::consts;
use crate::control_plane::controller::ControllerState;
use crate::control_plane::order_memory::{is_memory, without_memory};
use crate::identifiers::{COHORT, PartitionId};
use crate::protocol::message::{EntryMap, FeedPosition, Message};
use crate::replication::partition::Partition;
use crate::storage::record::put;

/// Shows everything up to the committed revision `done` that we have.
pub fn show(p: &mut Partition, done: u64) {
    if p.seed.as_ref().is_some_and(|(revision, _)| *revision <= done)
        && let Some((revision, map)) = p.seed.take()
        && revision > p.committed_revision
    {
        p.committed = map;
        p.committed_revision = revision;
    }
    if p.seed.is_none() {
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
    if p.copy.revision == revision && p.copy.map == *map {
        return;
    }
    p.changes.clear();
    p.seed = Some((revision, map.clone()));
}

/// The news that takes a follower from `place` to what is committed now.
pub fn news(p: &Partition, place: u64) -> Option<Message> {
    if place >= p.committed_revision {
        return None;
    }
    let first = p.changes.front().map_or(u64::MAX, |(revision, _)| *revision);
    let revision = p.committed_revision;
    if place > 0 && p.seed.is_none() && first <= place + 1 {
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

/// Brings every follower up to what is committed, if that has changed. Each is
/// sent a thing once; one that lost it says where it stands in its next
/// `Follow`.
pub fn push(core: &mut ControllerState, out: &mut Vec<Command>) {
    let told = core.members.membership.feed_revision();
    let heads: Vec<u64> =
        core.partitions.iter().map(|p| p.committed_revision).chain([told]).collect();
    if heads == core.pushed {
        return;
    }
    core.pushed = heads;
    let connections: Vec<ConnectionId> = core.followers.keys().copied().collect();
    for connection in connections {
        bring(core, connection, out);
    }
}

/// Brings one follower up to what is committed.
fn bring(core: &mut ControllerState, connection: ConnectionId, out: &mut Vec<Command>) {
    let Some(places) = core.followers.get_mut(&connection) else { return };
    let told = core.members.membership.feed_revision();
    if let Some(at) = places.get_mut(&COHORT)
        && *at < told
    {
        *at = told;
        let message = Message::MembershipUpdate(core.members.membership.clone());
        out.push(Command::ToConnection { connection, message });
    }
    for p in &core.partitions {
        let place = places.entry(p.id).or_insert(0);
        if let Some(message) = news(p, *place) {
            *place = p.committed_revision;
            core.counts.news += 1;
            out.push(Command::ToConnection { connection, message });
        }
    }
}

/// A follower says where it stands.
pub fn follow(
    core: &mut ControllerState,
    connection: ConnectionId,
    list: Vec<FeedPosition>,
    stamp: u64,
    out: &mut Vec<Command>,
) {
    if stamp != core.seating.stamp {
        crate::voters::voter_slots::tell(core, connection, out);
    }
    let known = core.followers.entry(connection).or_default();
    for place in list {
        known.insert(place.partition, place.revision);
    }
    let stamp = core.seating.stamp;
    let able = core.partitions.iter().filter(|p| crate::replication::partition::able(p));
    let mut places: Vec<FeedPosition> =
        able.map(|p| FeedPosition { partition: p.id, revision: p.copy.revision }).collect();
    places.push(FeedPosition {
        partition: COHORT,
        revision: core.members.membership.feed_revision(),
    });
    out.push(Command::ToConnection {
        connection,
        message: Message::FeedPositions { places, stamp },
    });
    bring(core, connection, out);
}

/// The committed revision of a part at this seat.
pub fn committed(core: &ControllerState, partition: PartitionId) -> u64 {
    core.partitions.iter().find(|p| p.id == partition).map_or(0, |p| p.committed_revision)
}
