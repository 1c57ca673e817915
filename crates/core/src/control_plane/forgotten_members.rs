//! Members that an operator has declared permanently down.
//!
//! Each is stored as an entry of the configuration partition, so it survives a change of
//! leader and a restart of all nodes, like any committed change. The entry names the
//! process (incarnation) that is gone. In every term, this process counts as having left
//! all memberships that name it. A process that starts under the same name counts as any
//! other process.

use std::collections::BTreeMap;

use crate::command::Command;
use crate::config::stored::Entry;
use crate::control_plane::members::{Departure, Members};
use crate::control_plane::rejection::Rejection;
use crate::protocol::membership::Member;
use crate::protocol::operation::OperationResult;
use crate::protocol::replica::EntryMap;
use crate::replication::operations::{ChangeAcceptance, OperationOrigin, PendingAnswer};
use crate::replication::partition::Partition;
use crate::time::Tick;
use crate::voter_set::VoterGroup;

/// Key prefix of the entries. A value is the incarnation and the revision, as text.
const FORGOTTEN_PREFIX: &str = "forgotten/";
/// Maximum number of entries: more members than are permanently down at any one time. If
/// its entry was dropped, a member counts again only for a leader that inherits a
/// membership older than the entry.
const MAX_FORGOTTEN_MEMBERS: usize = 64;

/// A process that is permanently down.
#[derive(Clone, Copy, PartialEq)]
struct Forgotten {
    incarnation: u64,
    /// The revision of the change that added the entry.
    revision: u64,
}

fn entry_key(name: &str) -> String {
    format!("{FORGOTTEN_PREFIX}{name}")
}

fn read_entry(value: &[u8]) -> Option<Forgotten> {
    let (incarnation, revision) = std::str::from_utf8(value).ok()?.split_once(' ')?;
    Some(Forgotten { incarnation: incarnation.parse().ok()?, revision: revision.parse().ok()? })
}

fn write_entry(entry: Forgotten) -> Vec<u8> {
    format!("{} {}", entry.incarnation, entry.revision).into_bytes()
}

/// Returns the forgotten members in the entries of the partition.
fn entries(map: &EntryMap) -> BTreeMap<&str, Forgotten> {
    map.range(FORGOTTEN_PREFIX.to_string()..)
        .map_while(|(key, value)| Some((key.strip_prefix(FORGOTTEN_PREFIX)?, value)))
        .filter_map(|(name, value)| Some((name, read_entry(value)?)))
        .collect()
}

/// Executes an operator's request to forget a member, as the leader.
pub fn forget(
    configuration: &mut Partition,
    members: &Members,
    now: Tick,
    group: VoterGroup,
    origin: OperationOrigin,
    name: &str,
    commands: &mut Vec<Command>,
) {
    let incarnation = members.silent_incarnation(now, name);
    let newest = configuration.state.revision;
    let known = entries(&configuration.state.entries).get(name).map(|entry| entry.incarnation);
    match incarnation {
        Some(incarnation) if known != Some(incarnation) => {
            let entry = Forgotten { incarnation, revision: newest + 1 };
            let entries = changes(&configuration.state.entries, name, entry);
            configuration.propose(now, group, entries, commands);
            let revision = configuration.state.revision;
            configuration.wait_for_change(now, origin, revision, ChangeAcceptance::Committed);
            configuration.complete_operations(now, group, commands);
        }
        // The member is already forgotten.
        None if known.is_none() || members.is_live(now, name) => {
            let why = Rejection::MemberUnknownOrLive.to_string();
            let answer = PendingAnswer::Rejection(OperationResult::Rejected { why });
            configuration.add_pending(now, group, origin, answer, commands);
        }
        _ => {
            configuration.wait_for_repeated_change(
                now,
                origin,
                newest,
                ChangeAcceptance::Committed,
            );
            configuration.request_round(now, group, commands);
            configuration.complete_operations(now, group, commands);
        }
    }
}

/// Proposes to remove the entry of a process that was forgotten but renews its lease.
/// Returns whether there is such an entry. The process gets no lease before the entry is
/// removed, since a new leader that finds the entry counts the process as gone.
pub fn readmit(
    configuration: &mut Partition,
    now: Tick,
    group: VoterGroup,
    member: &Member,
    commands: &mut Vec<Command>,
) -> bool {
    let key = entry_key(&member.name);
    let names = |map: &EntryMap| {
        map.get(&key)
            .and_then(|value| read_entry(value))
            .is_some_and(|entry| entry.incarnation == member.incarnation)
    };
    let is_newest = names(&configuration.state.entries);
    let is_committed = names(&configuration.committed);
    if is_newest {
        configuration.propose(now, group, vec![(key, None)], commands);
    }
    is_newest || is_committed
}

/// Returns the entries that forget a member and drop the oldest forgotten members.
fn changes(map: &EntryMap, name: &str, entry: Forgotten) -> Vec<Entry> {
    let known = entries(map);
    let mut oldest: Vec<(u64, &str)> = known
        .iter()
        .filter(|(other, _)| **other != name)
        .map(|(other, entry)| (entry.revision, *other))
        .collect();
    oldest.sort_unstable();
    let excess = (oldest.len() + 1).saturating_sub(MAX_FORGOTTEN_MEMBERS);
    let dropped = oldest.iter().take(excess).map(|(_, name)| (entry_key(name), None));
    dropped.chain([(entry_key(name), Some(write_entry(entry)))]).collect()
}

/// Marks the members as departed whose forgetting was committed since the last call. A
/// member that has renewed its lease with this node is running, and stays.
pub fn apply(configuration: &Partition, members: &mut Members, now: Tick) {
    let committed_revision = configuration.committed_revision;
    if members.forgotten_revision == committed_revision || members.leadership.is_none() {
        return;
    }
    members.forgotten_revision = committed_revision;
    for (name, entry) in entries(&configuration.committed) {
        let is_running =
            members.last_renewals.get(name).is_some_and(|last_renewal| last_renewal.has_renewed)
                && members.is_live(now, name);
        if !is_running {
            let departure = Departure { incarnation: entry.incarnation, is_self_reported: false };
            members.departed.insert(name.to_string(), departure);
        }
    }
}
