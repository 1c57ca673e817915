//! Following the feed, and making views of it.

use std::sync::Arc;

use crate::config::build::{Mapping, Shard};
use crate::config::{build, change};
use crate::consts;
use crate::control_plane::endpoints;
use crate::identifiers::{CONFIG, PartId, parts};
use crate::membership::node_agent::{Command, Watch};
use crate::protocol::message::{Msg, Place};
use crate::snapshot::cluster_view::{View, open, view};
use crate::snapshot::leafs::LeafInfo;
use crate::storage::record::put;
use crate::time::{Tick, since};
use crate::voters::voter_set::majority;

/// Takes news of one part. News that does not reach beyond what we hold, or
/// that would leave a gap, changes nothing.
pub fn take(
    w: &mut Watch,
    part: PartId,
    from: Option<u64>,
    rev: u64,
    entries: &[change::Entry],
    out: &mut Vec<Command>,
) -> bool {
    let Some(held) = w.held.get_mut(&part) else { return false };
    if rev <= held.rev || from.is_some_and(|f| f > held.rev) {
        return false;
    }
    if from.is_none() {
        held.map.clear();
    }
    put(&mut held.map, entries);
    held.rev = rev;
    w.stale = true;
    w.unsorted = true;
    w.counts.news += 1;
    if part == CONFIG {
        w.knows = w.knows.max(rev);
        match change::config(&held.map).map_err(|text| vec![text]).and_then(|c| {
            build::build(&c).map_err(|all| all.iter().map(|f| f.to_string()).collect())
        }) {
            Ok(built) => {
                w.built = Arc::new(built);
                w.built_rev = rev;
            }
            Err(all) => out.push(Command::Alarm(format!(
                "configuration {rev} can't be obeyed, {} stays: {}",
                w.built_rev,
                all.join("; ")
            ))),
        }
    }
    true
}

/// News for another member that stands at `places`.
pub fn hand_on(w: &Watch, list: &[Place]) -> Vec<Msg> {
    list.iter()
        .filter_map(|place| {
            let held = w.held.get(&place.part)?;
            if held.rev <= place.rev {
                return None;
            }
            let entries = held.map.iter().map(|(k, v)| (k.clone(), Some(v.clone()))).collect();
            Some(Msg::News { part: place.part, from: None, rev: held.rev, entries })
        })
        .collect()
}

/// Whether our first view can't be older than one that we, in a former life,
/// or others obey. An accepted configuration is synced by a majority of the
/// seats: of those that speak, all have it but as many as a majority leaves out.
/// With the core silent, a ready member's view serves.
pub fn settle_start(w: &mut Watch, now: Tick) {
    if w.sure {
        return;
    }
    if w.built_rev == 0 {
        return;
    }
    let peer = since(w.began, now) > consts::START_PATIENCE
        && w.peers
            .values()
            .any(|p| p.ready && p.places.iter().all(|pl| pl.rev <= ours(w, pl.part)));
    w.sure = peer || parts().all(|part| ours(w, part) >= least(w, part));
}

/// The revision that we obey or hold of a part.
fn ours(w: &Watch, part: PartId) -> u64 {
    if part == CONFIG { w.built_rev } else { w.held.get(&part).map_or(0, |h| h.rev) }
}

/// The revision of a part below which we might miss something accepted.
fn least(w: &Watch, part: PartId) -> u64 {
    let mut said: Vec<u64> =
        w.reach.iter().flatten().filter(|p| p.part == part).map(|p| p.rev).collect();
    said.sort_unstable();
    let lacking = w.table.seats.len() - majority(w.table.seats.len()).min(w.table.seats.len());
    said.get(lacking).copied().unwrap_or(u64::MAX)
}

/// Gives out a new view if what we hold has changed.
pub fn publish(w: &mut Watch, now: Tick, out: &mut Vec<Command>) {
    let moved = w.view.as_ref().is_none_or(|v| v.revision != w.built_rev);
    if !w.sure || !w.stale || (!moved && now < w.publish_at) {
        return;
    }
    w.stale = false;
    w.publish_at = now + consts::VIEW_GAP;
    let list = parts()
        .filter(|p| *p != CONFIG)
        .filter_map(|p| w.held.get(&p))
        .flat_map(|h| endpoints::all(&h.map).into_values())
        .filter_map(|info| overlaid(w, info))
        .collect();
    let new = Arc::new(view(w.built_rev, w.built.clone(), list));
    let good = new.mappings.values().filter(|m| serves(&new, m)).count();
    if good > 0 {
        w.serves_some.get_or_insert(now);
        w.served |= good == new.mappings.len();
    }
    if new.leafs.values().any(|l| l.age_ms == 0) {
        // Nobody knows yet what these bear: ask soon.
        w.probe_at = w.probe_at.min(now + consts::PROBE_SOON);
    }
    if w.view.as_ref().is_none_or(|v| v.revision < new.revision) {
        // Operators wait to hear that we obey.
        w.tenure.renew_at = 0;
    }
    w.view = Some(new.clone());
    w.counts.views += 1;
    out.push(Command::View(new));
}

/// A leaf with what we heard of it and the feed does not show yet.
fn overlaid(w: &Watch, mut info: LeafInfo) -> Option<LeafInfo> {
    if let Some(heard) = w.words.get(&info.leaf) {
        if heard.word.gone {
            return None;
        }
        info.leaving |= heard.word.leaving;
        info.age_ms = info.age_ms.max(heard.word.age_ms);
    }
    Some(info)
}

/// Whether a mapping has leafs for its quorum.
fn serves(view: &View, map: &Mapping) -> bool {
    let has = |s: &&Shard| s.pools.iter().any(|p| open(view, p, &map.cut).next().is_some());
    map.shards.iter().filter(has).count() >= build::needed(map.quorum, map.shards.len())
}
