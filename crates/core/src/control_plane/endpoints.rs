//! The leafs of a partition's services: the platform's list merged with the reports of
//! members that send requests to the leafs.

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

/// A leaf that is missing from the list is removed after this time. A list that lags or
/// flaps must not empty a pool.
const LEAF_REMOVAL_DELAY: Span = 5 * SECOND;
/// The same while most of a service's leafs are missing from the list.
const DOUBTFUL_LEAF_REMOVAL_DELAY: Span = 6 * LEAF_REMOVAL_DELAY;
/// How often the leader of a partition checks which stored leaf ages are outdated.
const AGE_CHECK_INTERVAL: Span = SECOND;

/// Leafs by name.
type Leafs = BTreeMap<String, LeafInfo>;

fn stored_entry(info: &LeafInfo) -> Entry {
    (key(&info.leaf), Some(info.serialize_bin()))
}

/// Proposes a change of the partition, unless there are no entries to change.
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

/// Handles the leafs listed for this partition, as reported by the member that is assigned
/// to poll the list. A report with a fencing token below the highest one seen comes from
/// a member that is no longer assigned; it is counted and ignored.
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

/// Returns the entries of the listed leafs that differ from the known ones.
fn listed_entries(list: &Leafs, known: &Leafs) -> Vec<Entry> {
    let mut entries = Vec::new();
    for (name, info) in list {
        let mut info = info.clone();
        let old = known.get(name);
        // The list may lag: a leaf that has once reported that it is leaving does not
        // return under the same identity.
        info.leaving |= old.is_some_and(|old| old.leaving);
        info.age_ms = old.map_or(0, |old| old.age_ms);
        if old != Some(&info) {
            entries.push(stored_entry(&info));
        }
    }
    entries
}

/// Returns the entries that remove the known leafs that have been missing from the list for
/// too long.
fn removed_entries(leader: &mut Leader, now: Tick, list: &Leafs, known: &Leafs) -> Vec<Entry> {
    let mut entries = Vec::new();
    for (name, info) in known {
        if list.contains_key(name) {
            leader.absent_leafs.remove(name);
            continue;
        }
        // A new identity at its address proves that the old one is gone.
        let is_replaced =
            list.values().any(|other| other.addr == info.addr && !known.contains_key(&other.leaf));
        let absent_since = *leader.absent_leafs.entry(name.clone()).or_insert(now);
        let removal_delay = if is_doubtful(info, list, known) {
            DOUBTFUL_LEAF_REMOVAL_DELAY
        } else {
            LEAF_REMOVAL_DELAY
        };
        if is_replaced || since(absent_since, now) >= removal_delay {
            entries.push((key(name), None));
            leader.absent_leafs.remove(name);
        }
    }
    leader.absent_leafs.retain(|name, _| known.contains_key(name));
    entries
}

/// Returns whether a list that does not name a leaf is doubtful, because most leafs of its
/// service are missing from the list.
fn is_doubtful(info: &LeafInfo, list: &Leafs, known: &Leafs) -> bool {
    let count = |leafs: &Leafs| leafs.values().filter(|l| l.service == info.service).count();
    count(list) * 2 < count(known) && !info.leaving
}

/// Updates the stored ages of the leafs. Not all leafs report their age, and none must be
/// treated as new after a restart of all controllers. The stored value is a lower bound:
/// the age at which this leader first saw the identity, plus the time since then.
pub fn update_ages(
    partition: &mut Partition,
    now: Tick,
    group: VoterGroup,
    commands: &mut Vec<Command>,
) {
    let known = match partition.leader() {
        Some(leader) if leader.is_serving && now >= leader.next_age_write_at => {
            leafs_in(&partition.state.entries)
        }
        _ => return,
    };
    let Some(leader) = partition.leader_mut() else { return };
    leader.next_age_write_at = now + AGE_CHECK_INTERVAL;
    leader.first_seen.retain(|name, _| known.contains_key(name));
    let mut entries: Vec<Entry> = Vec::new();
    for (name, info) in known {
        let (seen_at, age_at_first_sight) =
            *leader.first_seen.entry(name).or_insert((now, info.age_ms));
        let age_ms = age_at_first_sight + since(seen_at, now) / MILLI;
        if should_store_age(&info, age_ms) {
            entries.push(stored_entry(&LeafInfo { age_ms, ..info }));
        }
    }
    change_if_any(partition, now, group, entries, commands);
}

/// Returns whether a leaf has become so much older than its stored age that the age is
/// stored again.
fn should_store_age(stored: &LeafInfo, age_ms: u64) -> bool {
    stored.age_ms < consts::MAX_REPORTED_LEAF_AGE_MS
        && age_ms
            >= stored.age_ms * consts::LEAF_AGE_REPORT_FACTOR + consts::MIN_REPORTED_LEAF_AGE_MS
}

/// Handles the reports of members about the state that leafs reported to them.
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
        // A leaf that is gone is kept as leaving until the list no longer names it. If it
        // were removed at once, a list that lags would add it again.
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
