//! The coverage check: which shard of a route a reply covers, if any.

use crate::config::route::Route;
use crate::snapshot::cluster_view::ClusterView;

/// Returns the shard of the pinned `route` that a reply of `leaf` covers, if any. The leaf's
/// service is taken from the platform's list. A leaf that has been removed from the list since
/// keeps the service `sent_as` under which the attempt was sent.
pub fn covered_shard(
    view: &ClusterView,
    route: &Route,
    leaf: &str,
    sent_as: &str,
) -> Option<usize> {
    let service = view.leafs.get(leaf).map_or(sent_as, |l| l.service.as_str());
    if service != sent_as {
        return None;
    }
    route.shards.iter().position(|s| s.pools.iter().any(|p| p.service == service))
}
