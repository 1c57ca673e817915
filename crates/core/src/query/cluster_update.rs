//! Applies changes of the cluster view, the quota share and the connecting threads.

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
    /// Replaces the cluster view and updates all state derived from it.
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
        self.note_undrained_zones(now, &view);
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

    /// Marks the leafs of zones that are no longer drained: whether they are warm is unknown.
    fn note_undrained_zones(&mut self, now: Tick, view: &ClusterView) {
        let undrained: BTreeSet<&String> = self
            .cluster_view
            .routing_table
            .drained
            .iter()
            .filter(|zone| !view.routing_table.drained.contains(zone.as_str()))
            .collect();
        let affected = view
            .leafs
            .values()
            .filter(|info| undrained.iter().any(|zone| zone.as_str() == info.zone()));
        for info in affected {
            if let Some(leaf) = self.leafs.get_mut(&info.leaf) {
                leaf.note_zone_undrained(now);
            }
        }
    }

    /// Replaces this thread's share of the cluster-wide limits.
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

    /// Recomputes this thread's rank for the leafs of each service with partitioned balancing.
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

    /// Recomputes this thread's connection limit for leafs that limit their connections.
    pub(super) fn assign_connections(&mut self) {
        let view = self.cluster_view.clone();
        let pools = view.routes.values().flat_map(|m| &m.shards).flat_map(|s| &s.pools);
        let mut assigned_services: BTreeSet<&str> = BTreeSet::new();
        for pool in pools.filter(|p| p.connections > 0) {
            if !assigned_services.insert(&pool.service) {
                continue;
            }
            for list in versions_of(&view, &pool.service) {
                self.assign_connections_to(&view, list, u64::from(pool.connections));
            }
        }
    }

    /// Recomputes the connection limits for the leafs of one version of a service.
    fn assign_connections_to(&mut self, view: &ClusterView, list: &[Arc<LeafInfo>], limit: u64) {
        // Leafs in drained zones and leafs that shut down get no new work.
        let open: Vec<&LeafInfo> = list
            .iter()
            .filter(|leaf| !leaf.leaving && !view.routing_table.drained.contains(leaf.zone()))
            .map(|leaf| leaf.as_ref())
            .collect();
        let connections =
            connection_subset::assigned_connections(&self.peers, self.thread_id, &open, limit);
        for (info, n) in open.iter().zip(connections) {
            if let Some(leaf) = self.leafs.get_mut(&info.leaf) {
                // One connection until the other threads are known.
                leaf.connection_limit = Some(if self.peers.is_empty() { 1 } else { n });
            }
        }
    }
}

/// Returns the leafs of a service: of the version in force, then of the version under trial.
fn versions_of<'a>(
    view: &'a ClusterView,
    service: &str,
) -> impl Iterator<Item = &'a [Arc<LeafInfo>]> {
    let in_force = view.services.get(service).map(Vec::as_slice);
    let under_trial = view.trials.get(service).map(|trial| trial.leafs.as_slice());
    in_force.into_iter().chain(under_trial)
}
