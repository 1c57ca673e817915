//! What changes when the snapshot, the membership or its threads change.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::connection_subset;
use super::engine::{QueryEngine, ServingState};
use super::leaf::LeafState;
use super::quota::QuotaShare;
use crate::config::route::CompiledPool;
use crate::config::types::BalancingMode;
use crate::consts;
use crate::digest::hash;
use crate::snapshot::cluster_view::ClusterView;
use crate::snapshot::leafs::LeafInfo;
use crate::time::Tick;

impl QueryEngine {
    /// Takes a new snapshot over.
    pub(super) fn replace_view(&mut self, now: Tick, view: Arc<ClusterView>) {
        for (name, info) in &view.leafs {
            if !self.leafs.contains_key(name) {
                let mut new = LeafState::new(name, now);
                new.rank = self.quota_share.rank(new.hash);
                self.leafs.insert(name.clone(), new);
            }
            if let Some(leaf) = self.leafs.get_mut(name) {
                leaf.note_minimum_age(info.age_ms, now);
            }
        }
        self.note_zones_taken_back(now, &view);
        self.leafs.retain(|name, leaf| leaf.in_flight > 0 || view.leafs.contains_key(name));
        self.service_retry_budget.retain(|s| view.services.contains_key(s));
        self.latency_estimate.retain(|s| view.routes.contains_key(s));
        let same = self.cluster_view.services == view.services
            && self.cluster_view.trials == view.trials
            && self.cluster_view.revision == view.revision;
        self.cluster_view = view;
        self.begin_trials();
        if !same {
            self.assign_ranks();
            self.assign_connections();
        }
        if self.serving_state == ServingState::NoSnapshot {
            self.serving_state = ServingState::Serving;
        }
    }

    /// Notes the leafs of zones that were drained and are not any more.
    fn note_zones_taken_back(&mut self, now: Tick, view: &ClusterView) {
        let taken_back: BTreeSet<&String> = self
            .cluster_view
            .built
            .drained
            .iter()
            .filter(|zone| !view.built.drained.contains(zone.as_str()))
            .collect();
        let stood = view
            .leafs
            .values()
            .filter(|info| taken_back.iter().any(|zone| zone.as_str() == info.zone()));
        for info in stood {
            if let Some(leaf) = self.leafs.get_mut(&info.leaf) {
                leaf.note_zone_taken_back(now);
            }
        }
    }

    /// Takes a new share of what the fleet may do over.
    pub(super) fn replace_quota_share(&mut self, new: QuotaShare) {
        self.quota_share = new;
        for leaf in self.leafs.values_mut() {
            leaf.rank = self.quota_share.rank(leaf.hash);
        }
        self.assign_ranks();
        self.service_retry_budget.set_thread_count(self.quota_share.threads.len() as u64);
        let rank = self.quota_share.rank(hash("retry-slack"));
        self.retry_budget.set_slack(self.quota_share.allocation(rank, consts::RETRY_SLACK));
    }

    /// Deals the leafs of each service out to the threads of the membership.
    pub(super) fn assign_ranks(&mut self) {
        let view = self.cluster_view.clone();
        for route in view.routes.values() {
            let shared = |p: &&CompiledPool| p.balancing == BalancingMode::Partitioned;
            for pool in route.shards.iter().flat_map(|s| &s.pools).filter(shared) {
                for list in versions_of(&view, &pool.service) {
                    let totals = vec![u64::from(pool.leaf_capacity); list.len()];
                    let ranks = self.quota_share.balanced_ranks(hash(&pool.service), &totals);
                    for (info, rank) in list.iter().zip(ranks) {
                        if let Some(leaf) = self.leafs.get_mut(&info.leaf) {
                            leaf.balanced_rank = rank;
                        }
                    }
                }
            }
        }
    }

    /// Deals out the connections to leafs that take few.
    pub(super) fn assign_connections(&mut self) {
        let view = self.cluster_view.clone();
        let pools = view.routes.values().flat_map(|m| &m.shards).flat_map(|s| &s.pools);
        let mut done: BTreeSet<&str> = BTreeSet::new();
        for pool in pools.filter(|p| p.connections > 0) {
            if !done.insert(&pool.service) {
                continue;
            }
            for list in versions_of(&view, &pool.service) {
                self.assign_connections_to(&view, list, u64::from(pool.connections));
            }
        }
    }

    /// Deals out the connections to the leafs of one version of a service.
    fn assign_connections_to(&mut self, view: &ClusterView, list: &[Arc<LeafInfo>], limit: u64) {
        // Leafs of emptied zones and those that leave have no new work.
        let stand: Vec<&LeafInfo> = list
            .iter()
            .filter(|leaf| !leaf.leaving && !view.built.drained.contains(leaf.zone()))
            .map(|leaf| leaf.as_ref())
            .collect();
        let connections = connection_subset::deal(&self.peers, self.thread_id, &stand, limit);
        for (info, n) in stand.iter().zip(connections) {
            if let Some(leaf) = self.leafs.get_mut(&info.leaf) {
                // Before we know of anyone else, one connection at a time.
                leaf.connection_limit = Some(if self.peers.is_empty() { 1 } else { n });
            }
        }
    }
}

/// The leafs of a service: those in force, and those that are tried.
fn versions_of<'a>(
    view: &'a ClusterView,
    service: &str,
) -> impl Iterator<Item = &'a [Arc<LeafInfo>]> {
    let in_force = view.services.get(service).map(Vec::as_slice);
    let tried = view.trials.get(service).map(|trial| trial.leafs.as_slice());
    in_force.into_iter().chain(tried)
}
