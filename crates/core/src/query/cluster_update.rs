//! What changes when the snapshot, the membership or its threads change.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::engine::{Door, QueryEngine};
use super::leaf::leaf;
use super::quota::Share;
use super::{connection_subset, latency_estimate, leaf, quota, retry_budget, service_retry_budget};
use crate::config::route::CompiledPool;
use crate::config::types::BalancingMode;
use crate::consts;
use crate::digest::hash;
use crate::snapshot::cluster_view::ClusterView;
use crate::snapshot::leafs::LeafInfo;
use crate::time::Tick;

/// Takes a new snapshot over.
pub(super) fn view_changed(d: &mut QueryEngine, now: Tick, view: Arc<ClusterView>) {
    for (name, info) in &view.leafs {
        if !d.leafs.contains_key(name) {
            let mut new = leaf(name, now);
            new.rank = quota::rank(&d.share, new.thing);
            d.leafs.insert(name.clone(), new);
        }
        if let Some(l) = d.leafs.get_mut(name) {
            leaf::at_least(l, info.age_ms, now);
        }
    }
    d.leafs.retain(|name, l| l.live > 0 || view.leafs.contains_key(name));
    service_retry_budget::keep(&mut d.quota, |s| view.services.contains_key(s));
    latency_estimate::keep(&mut d.waits, |s| view.mappings.contains_key(s));
    let same = d.view.services == view.services && d.view.revision == view.revision;
    d.view = view;
    if !same {
        deal(d);
        wired(d);
    }
    if d.door == Door::Shut {
        d.door = Door::Open;
    }
}

/// Takes a new share of what the fleet may do over.
pub(super) fn share_changed(d: &mut QueryEngine, new: Share) {
    d.share = new;
    for leaf in d.leafs.values_mut() {
        leaf.rank = quota::rank(&d.share, leaf.thing);
    }
    deal(d);
    service_retry_budget::among(&mut d.quota, d.share.slots.len() as u64);
    let rank = quota::rank(&d.share, hash("retry-slack"));
    retry_budget::slack(&mut d.rule, quota::part(&d.share, rank, consts::RETRY_SLACK));
}

/// Deals the leafs of each service out to the threads of the membership.
pub(super) fn deal(d: &mut QueryEngine) {
    let view = d.view.clone();
    for map in view.mappings.values() {
        let shared = |p: &&CompiledPool| p.steer == BalancingMode::Partitioned;
        for pool in map.shards.iter().flat_map(|s| &s.pools).filter(shared) {
            let Some(list) = view.services.get(&pool.service) else { continue };
            let totals = vec![u64::from(pool.bears); list.len()];
            let ranks = quota::deal(&d.share, hash(&pool.service), &totals);
            for (info, rank) in list.iter().zip(ranks) {
                if let Some(l) = d.leafs.get_mut(&info.leaf) {
                    l.dealt = rank;
                }
            }
        }
    }
}

/// Deals out the connections to leafs that take few.
pub(super) fn wired(d: &mut QueryEngine) {
    let view = d.view.clone();
    let pools = view.mappings.values().flat_map(|m| &m.shards).flat_map(|s| &s.pools);
    let mut done: BTreeSet<&str> = BTreeSet::new();
    for pool in pools.filter(|p| p.connections > 0) {
        let Some(list) = view.services.get(&pool.service) else { continue };
        if !done.insert(&pool.service) {
            continue;
        }
        // Leafs of emptied zones and those that leave have no new work.
        let stand: Vec<&LeafInfo> = list
            .iter()
            .filter(|l| !l.leaving && !view.built.drained.contains(l.zone()))
            .map(|l| l.as_ref())
            .collect();
        let mine = d.slot;
        let connections =
            connection_subset::deal(&d.peers, mine, &stand, u64::from(pool.connections));
        for (info, n) in stand.iter().zip(connections) {
            if let Some(l) = d.leafs.get_mut(&info.leaf) {
                // Before we know of anyone else, one connection at a time.
                l.connections = Some(if d.peers.is_empty() { 1 } else { n });
            }
        }
    }
}
