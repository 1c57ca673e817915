//! The view that traffic threads serve by. It is never changed, only replaced.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::build::{Built, CUT, PoolPlan, Route};
use crate::routing_language::selector::fits;
use crate::snapshot::leafs::{LeafInfo, zone};

/// Everything a query needs to know.
///
/// Invariant: `built` was made from the configuration of `revision`, and no
/// later view of the same process has a lower revision.
#[derive(Clone, Default)]
pub struct ClusterView {
    pub revision: u64,
    pub built: Arc<Built>,
    /// Mappings by name, each pinned by the queries that use it.
    pub mappings: IndexMap<String, Arc<Route>>,
    /// Mappings by host, those with the longest path first.
    pub hosts: IndexMap<String, Vec<Arc<Route>>>,
    pub services: IndexMap<String, Vec<Arc<LeafInfo>>>,
    pub leafs: IndexMap<String, Arc<LeafInfo>>,
}

/// A view from its sources.
pub fn view(revision: u64, built: Arc<Built>, leafs: Vec<LeafInfo>) -> ClusterView {
    let mappings: IndexMap<_, _> =
        built.mappings.iter().map(|(n, m)| (n.clone(), Arc::new(m.clone()))).collect();
    let mut hosts: IndexMap<String, Vec<Arc<Route>>> = IndexMap::new();
    for map in mappings.values().filter(|m| !m.host.is_empty()) {
        hosts.entry(map.host.to_ascii_lowercase()).or_default().push(map.clone());
    }
    for list in hosts.values_mut() {
        list.sort_by_key(|m| std::cmp::Reverse(m.path.len()));
    }
    let mut out = ClusterView { revision, built, mappings, hosts, ..ClusterView::default() };
    for leaf in leafs {
        let leaf = Arc::new(leaf);
        out.services.entry(leaf.service.clone()).or_default().push(leaf.clone());
        out.leafs.insert(leaf.leaf.clone(), leaf);
    }
    out
}

/// The mapping of a call: of its host's, the longest path that begins its own.
pub fn found<'a>(view: &'a ClusterView, host: &str, path: &str) -> Option<&'a Arc<Route>> {
    let host = host.to_ascii_lowercase();
    let bare = host.rsplit_once(':').map_or(host.as_str(), |(name, _)| name);
    let list = view.hosts.get(&host).or_else(|| view.hosts.get(bare))?;
    list.iter().find(|m| path.starts_with(&m.path))
}

/// The leafs of a pool that may get new work under this view: chosen by the
/// pool, of the mapping's cut, not leaving, in no emptied zone.
pub fn open<'a>(
    view: &'a ClusterView,
    pool: &'a PoolPlan,
    cut: &'a str,
) -> impl Iterator<Item = &'a Arc<LeafInfo>> {
    let list = view.services.get(&pool.service).map_or(&[][..], Vec::as_slice);
    list.iter().filter(move |l| {
        !l.leaving
            && !view.built.drained.contains(zone(l))
            && l.labels.get(CUT).is_none_or(|c| c == cut)
            && fits(&pool.sel, &l.labels)
    })
}
