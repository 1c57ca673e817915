//! Members that an operator has declared down for good.
//!
//! That is kept as an entry of the configuration's partition and so survives a
//! change of leader and a restart of all, as any committed change does. An entry
//! names the process (incarnation) that is gone: under each term it is counted as
//! having left every membership that names it, and a process that starts again
//! under the same name counts as any other.

use std::collections::BTreeMap;

use crate::command::Command;
use crate::config::stored::Entry;
use crate::control_plane::controller::ControllerState;
use crate::control_plane::members;
use crate::control_plane::members::Gone;
use crate::protocol::message::{EntryMap, Member, OperationResult};
use crate::replication::leader;
use crate::replication::leader::change;
use crate::replication::partition::OperationOrigin;
use crate::replication::pending_operations;
use crate::replication::pending_operations::PendingAnswer;
use crate::time::Tick;
use crate::voters::voter_slots::here;

/// Key prefix of the entries: incarnation and revision, as text.
const FORGOTTEN: &str = "forgotten/";
/// Entries that are kept (count): more members than are down for good at one
/// time. Without its entry a member is counted again only by a leader that
/// inherits a membership older than the entry.
const FORGOTTEN_KEPT: usize = 64;

/// A process that is down for good.
#[derive(Clone, Copy, PartialEq)]
struct Forgotten {
    incarnation: u64,
    /// The revision of the change that forgot it.
    revision: u64,
}

fn read_entry(value: &[u8]) -> Option<Forgotten> {
    let (incarnation, revision) = std::str::from_utf8(value).ok()?.split_once(' ')?;
    Some(Forgotten { incarnation: incarnation.parse().ok()?, revision: revision.parse().ok()? })
}

fn write_entry(entry: Forgotten) -> Vec<u8> {
    format!("{} {}", entry.incarnation, entry.revision).into_bytes()
}

/// The forgotten members of a state of the partition.
fn entries(map: &EntryMap) -> BTreeMap<&str, Forgotten> {
    map.range(FORGOTTEN.to_string()..)
        .map_while(|(key, value)| Some((key.strip_prefix(FORGOTTEN)?, value)))
        .filter_map(|(name, value)| Some((name, read_entry(value)?)))
        .collect()
}

/// An operator declares a member down for good, at the leader.
pub fn forget(
    core: &mut ControllerState,
    now: Tick,
    from: OperationOrigin,
    name: &str,
    out: &mut Vec<Command>,
) {
    members::begin_reign(core, now);
    let group = here(core);
    let incarnation = members::silent_incarnation(&core.members, now, name);
    let p = &mut core.partitions[0];
    let known = entries(&p.copy.map).get(name).map(|entry| entry.incarnation);
    match incarnation {
        Some(incarnation) if known != Some(incarnation) => {
            let entry = Forgotten { incarnation, revision: p.copy.revision + 1 };
            let entries = changes(&p.copy.map, name, entry);
            change(p, now, group, entries, out);
            leader::wait(p, now, from, p.copy.revision, false);
            leader::settle(p, now, group, out);
        }
        // It is forgotten already.
        None if known.is_none() || members::is_live(&core.members, now, name) => {
            let why = "no such member, or it still renews its tenure".to_string();
            let answer = PendingAnswer::Refusal(OperationResult::Rejected { why });
            pending_operations::add(p, now, group, from, answer, out);
        }
        _ => {
            leader::wait_again(p, now, from, p.copy.revision, false);
            crate::replication::heartbeat_rounds::request(p, now, group, out);
            leader::settle(p, now, group, out);
        }
    }
}

/// A process that was forgotten renews after all. It gets no lease before its
/// entry is gone: a leader that finds the entry counts the process as gone.
pub fn readmit(
    core: &mut ControllerState,
    now: Tick,
    member: &Member,
    out: &mut Vec<Command>,
) -> bool {
    let group = here(core);
    let p = &mut core.partitions[0];
    let key = format!("{FORGOTTEN}{}", member.name);
    let names = |map: &EntryMap| {
        map.get(&key)
            .and_then(|value| read_entry(value))
            .is_some_and(|entry| entry.incarnation == member.incarnation)
    };
    let (newest, committed) = (names(&p.copy.map), names(&p.committed));
    if newest {
        change(p, now, group, vec![(key, None)], out);
    }
    newest || committed
}

/// The change that forgets a member, and drops the oldest entries.
fn changes(map: &EntryMap, name: &str, entry: Forgotten) -> Vec<Entry> {
    let known = entries(map);
    let mut oldest: Vec<(u64, &str)> = known
        .iter()
        .filter(|(other, _)| **other != name)
        .map(|(other, entry)| (entry.revision, *other))
        .collect();
    oldest.sort_unstable();
    let over = (oldest.len() + 1).saturating_sub(FORGOTTEN_KEPT);
    let key = |name: &str| format!("{FORGOTTEN}{name}");
    let dropped = oldest.iter().take(over).map(|(_, name)| (key(name), None));
    dropped.chain([(key(name), Some(write_entry(entry)))]).collect()
}

/// Notes the members whose forgetting has been committed since the last look.
/// Who has renewed with us is alive after all, and stays.
pub fn apply(core: &mut ControllerState, now: Tick) {
    let committed = &core.partitions[0];
    let members = &mut core.members;
    if members.forgotten_at == committed.committed_revision || members.reign.is_none() {
        return;
    }
    members.forgotten_at = committed.committed_revision;
    for (name, entry) in entries(&committed.committed) {
        let alive = members.heard.get(name).is_some_and(|heard| heard.spoke)
            && members::is_live(members, now, name);
        if !alive {
            let gone = Gone { incarnation: entry.incarnation, stopped: false };
            members.gone.insert(name.to_string(), gone);
        }
    }
}
