//! The view that traffic threads serve by. It is never changed, only replaced.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::route::{CompiledPool, INDEX_VERSION_LABEL, Route, RoutingTable};
use crate::rollout::trial::Trial;
use crate::snapshot::leafs::LeafInfo;

/// Everything a query needs to know.
///
/// Invariant: `routing_table` was made from the configuration of `revision`, and no
/// later view of the same process has a lower revision.
#[derive(Clone, Default)]
pub struct ClusterView {
    /// Revision of the configuration that `routing_table` was made from.
    pub revision: u64,
    /// The checked configuration.
    pub routing_table: Arc<RoutingTable>,
    /// Routes by name, each pinned by the queries that use it.
    pub routes: IndexMap<String, Arc<Route>>,
    /// Routes by host in lower case, those with the longest path first.
    pub hosts: IndexMap<String, Vec<Arc<Route>>>,
    /// Leafs by service, in the order in which they were listed.
    pub services: IndexMap<String, Vec<Arc<LeafInfo>>>,
    /// Versions that are tried, by service; their leafs are not among `services`.
    pub trials: IndexMap<String, Trial>,
    /// Leafs by identity, those that are tried included.
    pub leafs: IndexMap<String, Arc<LeafInfo>>,
}

impl ClusterView {
    /// A view of the configuration of `revision` and of these leafs.
    pub fn new(revision: u64, routing_table: Arc<RoutingTable>, leafs: Vec<LeafInfo>) -> Self {
        let routes: IndexMap<_, _> = routing_table
            .mappings
            .iter()
            .map(|(name, route)| (name.clone(), Arc::new(route.clone())))
            .collect();
        let hosts = routes_by_host(&routes);
        let mut view =
            ClusterView { revision, routing_table, routes, hosts, ..ClusterView::default() };
        for leaf in leafs {
            let leaf = Arc::new(leaf);
            view.services.entry(leaf.service.clone()).or_default().push(leaf.clone());
            view.leafs.insert(leaf.leaf.clone(), leaf);
        }
        view
    }

    /// The same with versions that are tried.
    pub fn with_trials(mut self, trials: Vec<Trial>) -> Self {
        for trial in trials {
            let leafs = trial.leafs.iter().map(|leaf| (leaf.leaf.clone(), leaf.clone()));
            self.leafs.extend(leafs);
            self.trials.insert(trial.service.clone(), trial);
        }
        self
    }

    /// The route of a call: of its host's, the one with the longest path that
    /// begins the call's. The host may name a port.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let bare = host.rsplit_once(':').map_or(host.as_str(), |(name, _)| name);
        let routes = self.hosts.get(&host).or_else(|| self.hosts.get(bare))?;
        routes.iter().find(|route| path.starts_with(&route.path))
    }

    /// The leafs of a pool that may get new work under this view: chosen by the
    /// pool, of the index version, not leaving, in no drained zone.
    pub fn open_leafs<'a>(
        &'a self,
        pool: &'a CompiledPool,
        cut: &'a str,
    ) -> impl Iterator<Item = &'a Arc<LeafInfo>> {
        let leafs = self.services.get(&pool.service).map_or(&[][..], Vec::as_slice);
        leafs.iter().filter(move |leaf| self.is_open(leaf, pool, cut))
    }

    /// The leafs of a pool's service whose version is tried, and that may get new work.
    pub fn open_trial_leafs<'a>(
        &'a self,
        pool: &'a CompiledPool,
        cut: &'a str,
    ) -> impl Iterator<Item = &'a Arc<LeafInfo>> {
        let leafs = self.trials.get(&pool.service).map_or(&[][..], |trial| &trial.leafs);
        leafs.iter().filter(move |leaf| self.is_open(leaf, pool, cut))
    }

    fn is_open(&self, leaf: &LeafInfo, pool: &CompiledPool, cut: &str) -> bool {
        !leaf.leaving
            && !self.routing_table.drained.contains(leaf.zone())
            && leaf.labels.get(INDEX_VERSION_LABEL).is_none_or(|version| version == cut)
            && pool.sel.matches(&leaf.labels)
    }
}

fn routes_by_host(routes: &IndexMap<String, Arc<Route>>) -> IndexMap<String, Vec<Arc<Route>>> {
    let mut hosts: IndexMap<String, Vec<Arc<Route>>> = IndexMap::new();
    for route in routes.values().filter(|route| !route.host.is_empty()) {
        hosts.entry(route.host.to_ascii_lowercase()).or_default().push(route.clone());
    }
    for list in hosts.values_mut() {
        list.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
    }
    hosts
}
