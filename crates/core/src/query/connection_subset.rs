//! Subsetting of connections to leafs that limit their number of connections. The limit applies
//! to the sum over all nodes and is kept without communication between them.
//!
//! Every node computes the same assignment from the same threads and leafs: threads, in the
//! order of their ids, take connections to their most preferred leafs, those in their own zone
//! first, as long as a leaf has connections left. Preference is by rendezvous hashing and a
//! leaf's connections are bounded, so that a thread or leaf that joins or leaves moves few
//! connections. Part of the limit is not assigned, as a reserve for nodes whose views differ
//! for a short time. A leaf resets connections above its limit; attempts on these have not
//! arrived.

use crate::digest::{hash, hash_pair};
use crate::snapshot::leafs::LeafInfo;

/// A traffic thread that opens connections to leafs.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectingThread {
    /// Stable number of the thread among the threads of all nodes.
    pub thread_id: u64,
    pub zone: String,
}

/// Returns how many connections of a leaf are assigned: a tenth, at least one, is kept in
/// reserve.
fn assignable_connections(limit: u64) -> u64 {
    (limit - (limit / 10).max(1).min(limit - 1)).max(1)
}

/// Returns how many connections the thread `own_thread` may open to each of the `leafs` of one
/// service, out of `limit` connections per leaf.
pub fn assigned_connections(
    peers: &[ConnectingThread],
    own_thread: u64,
    leafs: &[&LeafInfo],
    limit: u64,
) -> Vec<u64> {
    let own_index = peers.iter().position(|p| p.thread_id == own_thread);
    let (Some(own_index), false) = (own_index, leafs.is_empty() || limit == 0) else {
        return vec![0; leafs.len()];
    };
    let per_leaf = assignable_connections(limit);
    let n = leafs.len() as u64;
    // Connections that every thread gets to every leaf.
    let base = per_leaf / peers.len() as u64;
    let mut remaining = vec![per_leaf - base * peers.len() as u64; leafs.len()];
    let quota =
        (remaining.iter().sum::<u64>() / peers.len() as u64).min(n).max(u64::from(base == 0));
    let leaf_hashes: Vec<u64> = leafs.iter().map(|l| hash(&l.leaf)).collect();
    let mut connections = vec![base; leafs.len()];
    for (i, peer) in peers.iter().enumerate().take(own_index + 1) {
        let mut order: Vec<usize> = (0..leafs.len()).collect();
        order.sort_unstable_by_key(|k| {
            (
                leafs[*k].zone() != peer.zone,
                std::cmp::Reverse(hash_pair(leaf_hashes[*k], peer.thread_id)),
            )
        });
        let mut assigned = 0;
        // The last threads find few leafs with connections left and take more than one
        // connection to each, up to the same quota.
        while assigned < quota && remaining.iter().any(|n| *n > 0) {
            for k in &order {
                if assigned < quota && remaining[*k] > 0 {
                    remaining[*k] -= 1;
                    assigned += 1;
                    connections[*k] += u64::from(i == own_index);
                }
            }
        }
    }
    connections
}
