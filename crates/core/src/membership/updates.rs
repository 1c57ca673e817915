//! Following the feed, and making views of it.

use std::sync::Arc;

use crate::config::build::{Route, Shard};
use crate::config::{build, change};
use crate::consts;
use crate::identifiers::{CONFIG, PartitionId, partitions};
use crate::membership::node_agent::{Command, NodeAgent};
use crate::protocol::message::{FeedPosition, Message};
use crate::snapshot::cluster_view::{ClusterView, open, view};
use crate::snapshot::leafs::LeafInfo;
use crate::snapshot::leafs::leafs_in;
use crate::storage::record::put;
use crate::time::{Tick, since};
use crate::voter_set::majority;

/// Takes news of one part. News that does not reach beyond what we hold, or
/// that would leave a gap, changes nothing.
pub fn take(
    w: &mut NodeAgent,
    partition: PartitionId,
    from: Option<u64>,
    revision: u64,
    entries: &[change::Entry],
    out: &mut Vec<Command>,
) -> bool {
    let Some(held) = w.partitions.get_mut(&partition) else { return false };
    if revision <= held.revision || from.is_some_and(|f| f > held.revision) {
        return false;
    }
    if from.is_none() {
        held.entries.clear();
    }
    put(&mut held.entries, entries);
    held.revision = revision;
    w.view_is_stale = true;
    w.reports_unchecked = true;
    w.counters.updates += 1;
    if partition == CONFIG {
        w.known_revision = w.known_revision.max(revision);
        match change::config(&held.entries).map_err(|text| vec![text]).and_then(|c| {
            build::build(&c).map_err(|all| all.iter().map(|f| f.to_string()).collect())
        }) {
            Ok(built) => {
                w.configuration = Arc::new(built);
                w.configuration_revision = revision;
            }
            Err(all) => out.push(Command::Alarm(format!(
                "configuration {revision} can't be obeyed, {} stays: {}",
                w.configuration_revision,
                all.join("; ")
            ))),
        }
    }
    true
}

/// News for another member that stands at `places`.
pub fn hand_on(w: &NodeAgent, list: &[FeedPosition]) -> Vec<Message> {
    list.iter()
        .filter_map(|place| {
            let held = w.partitions.get(&place.partition)?;
            if held.revision <= place.revision {
                return None;
            }
            let entries = held.entries.iter().map(|(k, v)| (k.clone(), Some(v.clone()))).collect();
            Some(Message::Update {
                partition: place.partition,
                from: None,
                revision: held.revision,
                entries,
            })
        })
        .collect()
}

/// Whether our first view can't be older than one that we, in a former life,
/// or others obey. An accepted configuration is synced by a majority of the
/// seats: of those that speak, all have it but as many as a majority leaves out.
/// With the core silent, a ready member's view serves.
pub fn settle_start(w: &mut NodeAgent, now: Tick) {
    if w.is_caught_up {
        return;
    }
    if w.configuration_revision == 0 {
        return;
    }
    let peer = since(w.started_at, now) > consts::START_PATIENCE
        && w.peers
            .values()
            .any(|p| p.ready && p.positions.iter().all(|pl| pl.revision <= ours(w, pl.partition)));
    w.is_caught_up =
        peer || partitions().all(|partition| ours(w, partition) >= least(w, partition));
}

/// The revision that we obey or hold of a part.
fn ours(w: &NodeAgent, partition: PartitionId) -> u64 {
    if partition == CONFIG {
        w.configuration_revision
    } else {
        w.partitions.get(&partition).map_or(0, |h| h.revision)
    }
}

/// The revision of a part below which we might miss something accepted.
fn least(w: &NodeAgent, partition: PartitionId) -> u64 {
    let mut said: Vec<u64> = w
        .voter_positions
        .iter()
        .flatten()
        .filter(|p| p.partition == partition)
        .map(|p| p.revision)
        .collect();
    said.sort_unstable();
    let lacking =
        w.voter_set.slots.len() - majority(w.voter_set.slots.len()).min(w.voter_set.slots.len());
    said.get(lacking).copied().unwrap_or(u64::MAX)
}

/// Gives out a new view if what we hold has changed.
pub fn publish(w: &mut NodeAgent, now: Tick, out: &mut Vec<Command>) {
    let moved = w.view.as_ref().is_none_or(|v| v.revision != w.configuration_revision);
    if !w.is_caught_up || !w.view_is_stale || (!moved && now < w.publish_at) {
        return;
    }
    w.view_is_stale = false;
    w.publish_at = now + consts::VIEW_GAP;
    let list = partitions()
        .filter(|p| *p != CONFIG)
        .filter_map(|p| w.partitions.get(&p))
        .flat_map(|h| leafs_in(&h.entries).into_values())
        .filter_map(|info| overlaid(w, info))
        .collect();
    let new = Arc::new(view(w.configuration_revision, w.configuration.clone(), list));
    let good = new.mappings.values().filter(|m| serves(&new, m)).count();
    if good > 0 {
        w.serving_some_since.get_or_insert(now);
        w.has_served |= good == new.mappings.len();
    }
    if new.leafs.values().any(|l| l.age_ms == 0) {
        // Nobody knows yet what these bear: ask soon.
        w.probe_at = w.probe_at.min(now + consts::PROBE_SOON);
    }
    if w.view.as_ref().is_none_or(|v| v.revision < new.revision) {
        // Operators wait to hear that we obey.
        w.lease.renew_at = 0;
    }
    w.view = Some(new.clone());
    w.counters.views += 1;
    out.push(Command::ClusterView(new));
}

/// A leaf with what we heard of it and the feed does not show yet.
fn overlaid(w: &NodeAgent, mut info: LeafInfo) -> Option<LeafInfo> {
    if let Some(heard) = w.leaf_reports.get(&info.leaf) {
        if heard.report.gone {
            return None;
        }
        info.leaving |= heard.report.leaving;
        info.age_ms = info.age_ms.max(heard.report.age_ms);
    }
    Some(info)
}

/// Whether a mapping has leafs for its quorum.
fn serves(view: &ClusterView, map: &Route) -> bool {
    let has = |s: &&Shard| s.pools.iter().any(|p| open(view, p, &map.cut).next().is_some());
    map.shards.iter().filter(has).count() >= build::needed(map.quorum, map.shards.len())
}
