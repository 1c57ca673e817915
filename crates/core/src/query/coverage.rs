//! The coverage check: which planned shard a reply stands for, if any.

use crate::config::route::Route;
use crate::snapshot::cluster_view::ClusterView;

/// The shard that a reply of `leaf` served. The leaf's service is taken from
/// the platform's list; a leaf the list has since dropped keeps the service
/// under which it was sent the query. The pinned mapping names the service
/// as a shard, or it stands for none.
pub fn served(view: &ClusterView, mapping: &Route, leaf: &str, sent_as: &str) -> Option<usize> {
    let service = view.leafs.get(leaf).map_or(sent_as, |l| l.service.as_str());
    if service != sent_as {
        return None;
    }
    mapping.shards.iter().position(|s| s.pools.iter().any(|p| p.service == service))
}
