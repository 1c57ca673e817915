//! The cluster view that traffic threads use. It is immutable and replaced as a whole.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::route::{CompiledPool, INDEX_VERSION_LABEL, Route, RoutingTable};
use crate::rollout::trial::Trial;
use crate::snapshot::leafs::LeafInfo;

/// A snapshot of the configuration and the leafs.
///
/// Invariant: `routing_table` was built from the configuration of `revision`, and no later view of
/// the same process has a lower revision.
#[derive(Clone, Default)]
pub struct ClusterView {
    /// Revision of the configuration that `routing_table` was built from.
    pub revision: u64,
    /// The validated and compiled configuration.
    pub routing_table: Arc<RoutingTable>,
    /// Routes by name. Queries pin the route that they use.
    pub routes: IndexMap<String, Arc<Route>>,
    /// Routes by lower-case host, those with the longest path first.
    pub hosts: IndexMap<String, Vec<Arc<Route>>>,
    /// Leafs of the versions in force by service, in the order of the list.
    pub services: IndexMap<String, Vec<Arc<LeafInfo>>>,
    /// Trials by service; their leafs are not in `services`.
    pub trials: IndexMap<String, Trial>,
    /// Leafs by identity, including those of versions under trial.
    pub leafs: IndexMap<String, Arc<LeafInfo>>,
}

impl ClusterView {
    /// Returns a view of the configuration of `revision` and of these leafs.
    pub fn new(revision: u64, routing_table: Arc<RoutingTable>, leafs: Vec<LeafInfo>) -> Self {
        let routes: IndexMap<_, _> = routing_table
            .routes
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

    /// Returns the view with these trials added.
    pub fn with_trials(mut self, trials: Vec<Trial>) -> Self {
        for trial in trials {
            let leafs = trial.leafs.iter().map(|leaf| (leaf.leaf.clone(), leaf.clone()));
            self.leafs.extend(leafs);
            self.trials.insert(trial.service.clone(), trial);
        }
        self
    }

    /// Returns the route of a call: the one of its host with the longest path that is a prefix of
    /// the call's path. The host may include a port.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let without_port = host.rsplit_once(':').map_or(host.as_str(), |(name, _)| name);
        let routes = self.hosts.get(&host).or_else(|| self.hosts.get(without_port))?;
        routes.iter().find(|route| path.starts_with(&route.path))
    }

    /// Returns the leafs of a pool that may get new work: those that match the pool's selector and
    /// the index version, don't shut down and are not in a drained zone.
    pub fn open_leafs<'a>(
        &'a self,
        pool: &'a CompiledPool,
        index_version: &'a str,
    ) -> impl Iterator<Item = &'a Arc<LeafInfo>> {
        let leafs = self.services.get(&pool.service).map_or(&[][..], Vec::as_slice);
        leafs.iter().filter(move |leaf| self.is_open(leaf, pool, index_version))
    }

    /// Returns the leafs of a pool that may get new work, of the version under trial.
    pub fn open_trial_leafs<'a>(
        &'a self,
        pool: &'a CompiledPool,
        index_version: &'a str,
    ) -> impl Iterator<Item = &'a Arc<LeafInfo>> {
        let leafs = self.trials.get(&pool.service).map_or(&[][..], |trial| &trial.leafs);
        leafs.iter().filter(move |leaf| self.is_open(leaf, pool, index_version))
    }

    /// Returns whether a leaf of a pool's service may get new work.
    fn is_open(&self, leaf: &LeafInfo, pool: &CompiledPool, index_version: &str) -> bool {
        !leaf.leaving
            && !self.routing_table.drained.contains(leaf.zone())
            && leaf.labels.get(INDEX_VERSION_LABEL).is_none_or(|version| version == index_version)
            && pool.selector.matches(&leaf.labels)
    }
}

/// Returns the routes that have a host, by lower-case host, the longest path first.
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
