//! Estimates the size of the control state by walking it, since the project has no allocator of its
//! own. Lengths are exact; the allocator's overhead is estimated with the constants below. The
//! process's resident memory serves as a cross-check of the sum.

use grebepath_core::config::route::RoutingTable;
use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::membership::node_agent::NodeAgent;
use grebepath_core::protocol::membership::{Member, Membership};
use grebepath_core::protocol::replica::EntryMap;
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::snapshot::leafs::LeafInfo;

/// Allocator overhead of a block (bytes).
const BLOCK_OVERHEAD_BYTES: usize = 16;
/// Overhead of a `String` or `Vec` (bytes).
const TEXT_OVERHEAD_BYTES: usize = 24 + BLOCK_OVERHEAD_BYTES;
/// Overhead of a B-tree entry (bytes): nodes are about 70% full.
const TREE_ENTRY_OVERHEAD_BYTES: usize = 12;
/// Overhead of an index map entry beside key and value (bytes): hash, index, spare capacity.
const INDEX_ENTRY_OVERHEAD_BYTES: usize = 24;
/// Reference counts of an `Arc` and its block (bytes).
const ARC_OVERHEAD_BYTES: usize = 16 + BLOCK_OVERHEAD_BYTES;

fn text(s: &str) -> usize {
    TEXT_OVERHEAD_BYTES + s.len()
}

/// Returns the size of a partition's contents (bytes).
pub fn entry_map_bytes(m: &EntryMap) -> usize {
    m.iter().map(|(k, v)| text(k) + TEXT_OVERHEAD_BYTES + v.len() + TREE_ENTRY_OVERHEAD_BYTES).sum()
}

fn leaf(l: &LeafInfo) -> usize {
    let labels: usize = l.labels.iter().map(|(k, v)| text(k) + text(v)).sum();
    // The first node of a B-tree has capacity for eleven entries, however few it holds.
    let node = 11 * 48 + BLOCK_OVERHEAD_BYTES;
    std::mem::size_of::<LeafInfo>()
        + l.leaf.len()
        + l.service.len()
        + l.addr.len()
        + 3 * BLOCK_OVERHEAD_BYTES
        + labels
        + node
        + ARC_OVERHEAD_BYTES
}

fn routing_table(b: &RoutingTable) -> usize {
    let pool = |p: &grebepath_core::config::route::CompiledPool| {
        std::mem::size_of_val(p) + p.name.len() + p.service.len() + 3 * BLOCK_OVERHEAD_BYTES
    };
    let shard = |s: &grebepath_core::config::route::RouteShard| {
        text(&s.name) + TEXT_OVERHEAD_BYTES + s.pools.iter().map(pool).sum::<usize>()
    };
    b.routes.values().map(|m| m.shards.iter().map(shard).sum::<usize>()).sum()
}

fn view(v: &ClusterView) -> usize {
    let leafs: usize = v
        .leafs
        .values()
        .map(|l| leaf(l) + text(&l.leaf) + 8 + INDEX_ENTRY_OVERHEAD_BYTES + 8)
        .sum();
    let services: usize =
        v.services.keys().map(|s| text(s) + TEXT_OVERHEAD_BYTES + INDEX_ENTRY_OVERHEAD_BYTES).sum();
    // The routes are held by the compiled configuration and once more by name.
    leafs + services + 2 * routing_table(&v.routing_table)
}

fn member(m: &Member) -> usize {
    std::mem::size_of_val(m) + m.name.len() + m.addr.len() + m.zone.len() + 3 * BLOCK_OVERHEAD_BYTES
}

fn membership(c: &Membership) -> usize {
    c.members.iter().map(member).sum()
}

/// Returns the size of a querier's control state (bytes).
pub fn node_agent_bytes(w: &NodeAgent) -> usize {
    let held: usize = w.partitions.values().map(|h| entry_map_bytes(&h.entries)).sum();
    let shared: usize = w.quota_members.iter().map(|m| text(&m.name) + 8).sum();
    let committed = w.view.as_ref().map_or(0, |v| view(v));
    held + shared + membership(&w.membership) + committed
}

/// Returns the size of a controller's state (bytes).
pub fn controller_bytes(c: &ControllerState) -> usize {
    let entries = |list: &Vec<grebepath_core::config::stored::Entry>| -> usize {
        list.iter()
            .map(|(k, v)| text(k) + TEXT_OVERHEAD_BYTES + v.as_ref().map_or(0, Vec::len))
            .sum()
    };
    let parts: usize = c
        .partitions
        .iter()
        .map(|p| {
            let feed: usize = p.changes.iter().map(|(_, list)| entries(list)).sum();
            let seed = p.uncommitted_snapshot.as_ref().map_or(0, |(_, m)| entry_map_bytes(m));
            entry_map_bytes(&p.state.entries) + entry_map_bytes(&p.committed) + feed + seed
        })
        .sum();
    let renewals: usize =
        c.members.last_renewals.values().map(|h| 2 * member(&h.member) + 80).sum();
    let connections: usize =
        c.members.connections.keys().map(|n| text(n) + 8 + INDEX_ENTRY_OVERHEAD_BYTES).sum();
    let subscriptions: usize =
        c.subscribers.values().map(|f| 200 + 16 * f.len() + INDEX_ENTRY_OVERHEAD_BYTES).sum();
    parts + renewals + connections + subscriptions + membership(&c.members.membership)
}
