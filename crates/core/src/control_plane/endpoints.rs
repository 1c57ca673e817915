//! The leafs of a partition's services: the platform's list merged with what
//! members report of them at first hand.

use std::collections::BTreeMap;

use nanoserde::SerBin;

use crate::command::Command;
use crate::config::stored::Entry;
use crate::consts;
use crate::control_plane::counters::Counters;
use crate::identifiers::service_partition;
use crate::protocol::membership::MembershipId;
use crate::protocol::message::LeafReport;
use crate::replication::leader::Leader;
use crate::replication::partition::Partition;
use crate::rollout::first_version::missing_first_versions;
use crate::snapshot::leafs::{LeafInfo, key, leafs_in};
use crate::time::{MILLI, SECOND, Span, Tick, since};
use crate::voter_set::VoterGroup;

/// A leaf that the list no longer names is taken out after this long; a list
/// that lags or flaps must not empty a pool.
const LEAF_ABSENCE: Span = 5 * SECOND;
/// The same while most of a service's leafs have vanished from the list.
const LEAF_ABSENCE_DOUBTED: Span = 6 * LEAF_ABSENCE;
/// How often the leader of a partition looks which leafs have grown older.
const AGES_INTERVAL: Span = SECOND;

/// Leafs by name.
type Leafs = BTreeMap<String, LeafInfo>;

fn stored_entry(info: &LeafInfo) -> Entry {
    (key(&info.leaf), Some(info.serialize_bin()))
}

/// Changes the partition, unless there is nothing to change.
fn change_if_any(
    partition: &mut Partition,
    now: Tick,
    group: VoterGroup,
    entries: Vec<Entry>,
    commands: &mut Vec<Command>,
) {
    if !entries.is_empty() {
        partition.propose(now, group, entries, commands);
    }
}

/// The holder of the list's duty reports what the list names for this partition.
/// Under a fence below the highest seen it holds that duty no more, and is counted
/// only.
pub fn on_list(
    partition: &mut Partition,
    now: Tick,
    group: VoterGroup,
    fencing_token: MembershipId,
    list: Vec<LeafInfo>,
    counters: &mut Counters,
    commands: &mut Vec<Command>,
) {
    let id = partition.id;
    let known = leafs_in(&partition.state.entries);
    let Some(leader) = partition.leader_mut() else { return };
    if !leader.is_serving {
        return;
    }
    if fencing_token < leader.fencing_token {
        counters.fenced_lists += 1;
        return;
    }
    leader.fencing_token = fencing_token;
    let list: Leafs = list
        .into_iter()
        .filter(|info| service_partition(&info.service) == id)
        .map(|info| (info.leaf.clone(), info))
        .collect();
    let removed = removed_entries(leader, now, &list, &known);
    let unlisted = known.values().filter(|info| !list.contains_key(&info.leaf));
    let all = list.values().chain(unlisted);
    let mut entries = missing_first_versions(&partition.state.entries, all);
    entries.extend(listed_entries(&list, &known));
    entries.extend(removed);
    change_if_any(partition, now, group, entries, commands);
}

/// The entries of the leafs that a list names, where they differ from what is known.
fn listed_entries(list: &Leafs, known: &Leafs) -> Vec<Entry> {
    let mut entries = Vec::new();
    for (name, info) in list {
        let mut info = info.clone();
        let old = known.get(name);
        // The list lags: who once said that it leaves does not come back
        // under the same identity.
        info.leaving |= old.is_some_and(|old| old.leaving);
        info.age_ms = old.map_or(0, |old| old.age_ms);
        if old != Some(&info) {
            entries.push(stored_entry(&info));
        }
    }
    entries
}

/// The entries that remove the known leafs which a list has not named for too long.
fn removed_entries(leader: &mut Leader, now: Tick, list: &Leafs, known: &Leafs) -> Vec<Entry> {
    let mut entries = Vec::new();
    for (name, info) in known {
        if list.contains_key(name) {
            leader.absent_leafs.remove(name);
            continue;
        }
        // A new identity at its address: the old one is surely gone.
        let is_replaced =
            list.values().any(|other| other.addr == info.addr && !known.contains_key(&other.leaf));
        let absent_since = *leader.absent_leafs.entry(name.clone()).or_insert(now);
        let patience =
            if is_doubtful(info, list, known) { LEAF_ABSENCE_DOUBTED } else { LEAF_ABSENCE };
        if is_replaced || since(absent_since, now) >= patience {
            entries.push((key(name), None));
            leader.absent_leafs.remove(name);
        }
    }
    leader.absent_leafs.retain(|name, _| known.contains_key(name));
    entries
}

/// Whether to doubt a list that does not name a leaf: most of its service has
/// vanished from the list.
fn is_doubtful(info: &LeafInfo, list: &Leafs, known: &Leafs) -> bool {
    let count = |leafs: &Leafs| leafs.values().filter(|l| l.service == info.service).count();
    count(list) * 2 < count(known) && !info.leaving
}

/// Time passes, and leafs grow older: not all of them tell their age, and none
/// must be taken for new when all of us start again. What is written is what
/// an identity has surely reached: how old it was when this leader first saw
/// it, and how long ago that was.
pub fn grow(partition: &mut Partition, now: Tick, group: VoterGroup, commands: &mut Vec<Command>) {
    let known = match partition.leader() {
        Some(leader) if leader.is_serving && now >= leader.next_age_write_at => {
            leafs_in(&partition.state.entries)
        }
        _ => return,
    };
    let Some(leader) = partition.leader_mut() else { return };
    leader.next_age_write_at = now + AGES_INTERVAL;
    leader.first_seen.retain(|name, _| known.contains_key(name));
    let mut entries: Vec<Entry> = Vec::new();
    for (name, info) in known {
        let (seen_at, age_then) = *leader.first_seen.entry(name).or_insert((now, info.age_ms));
        let age_ms = age_then + since(seen_at, now) / MILLI;
        if is_worth_telling(&info, age_ms) {
            entries.push(stored_entry(&LeafInfo { age_ms, ..info }));
        }
    }
    change_if_any(partition, now, group, entries, commands);
}

/// Whether a leaf has grown so much older than what is stored that it is written.
fn is_worth_telling(stored: &LeafInfo, age_ms: u64) -> bool {
    stored.age_ms < consts::MAX_REPORTED_LEAF_AGE_MS
        && age_ms
            >= stored.age_ms * consts::LEAF_AGE_REPORT_FACTOR + consts::MIN_REPORTED_LEAF_AGE_MS
}

/// Members report what leafs said of themselves.
pub fn on_reports(
    partition: &mut Partition,
    now: Tick,
    group: VoterGroup,
    reports: Vec<LeafReport>,
    commands: &mut Vec<Command>,
) {
    if !partition.leader().is_some_and(|leader| leader.is_serving) {
        return;
    }
    let known = leafs_in(&partition.state.entries);
    let mut entries: Vec<Entry> = Vec::new();
    for report in reports {
        let Some(info) = known.get(&report.leaf) else { continue };
        // Who is gone stays as one that leaves until the list forgets it:
        // taken out at once, a list that lags would bring it back.
        let new = LeafInfo {
            leaving: info.leaving || report.leaving || report.gone,
            age_ms: info.age_ms.max(report.age_ms),
            ..info.clone()
        };
        if new != *info {
            entries.push(stored_entry(&new));
        }
    }
    change_if_any(partition, now, group, entries, commands);
}
