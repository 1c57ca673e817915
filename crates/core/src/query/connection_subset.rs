//! Wires to leafs under a limit of the leaf: a hard sum over all nodes, kept
//! by dealing out without a word between them.
//!
//! Every node computes the same deal from the same members and leafs: members
//! in the order of their numbers take their most preferred leafs, those of
//! their own zone first, as long as a leaf has connections left. Preference is by
//! rendezvous and a leaf's connections are bounded, so that a member or a leaf that
//! comes or goes moves little. Views that differ for a moment are what the part
//! of the limit is for that is not dealt out; a leaf resets what is too much,
//! and such a dispatch has not arrived.

use crate::digest::{hash, pair};
use crate::snapshot::leafs::LeafInfo;

/// One node that takes part.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The stable number of its traffic thread.
    pub slot: u64,
    pub zone: String,
}

/// Wires of a leaf that are dealt out: a tenth stays free, and one at least.
fn dealt(limit: u64) -> u64 {
    (limit - (limit / 10).max(1).min(limit - 1)).max(1)
}

/// The connections that each of the `leafs` of one service may have from the node
/// `mine`; zero where it should have none.
pub fn deal(peers: &[Peer], mine: u64, leafs: &[&LeafInfo], limit: u64) -> Vec<u64> {
    let here = peers.iter().position(|p| p.slot == mine);
    let (Some(here), false) = (here, leafs.is_empty() || limit == 0) else {
        return vec![0; leafs.len()];
    };
    let each = dealt(limit);
    let n = leafs.len() as u64;
    // Whole rounds first: what everyone has from every leaf needs no deal.
    let whole = each / peers.len() as u64;
    let mut left = vec![each - whole * peers.len() as u64; leafs.len()];
    let quota = (left.iter().sum::<u64>() / peers.len() as u64).min(n).max(u64::from(whole == 0));
    let things: Vec<u64> = leafs.iter().map(|l| hash(&l.leaf)).collect();
    let mut out = vec![whole; leafs.len()];
    for (i, peer) in peers.iter().enumerate().take(here + 1) {
        let mut order: Vec<usize> = (0..leafs.len()).collect();
        order.sort_unstable_by_key(|k| {
            (leafs[*k].zone() != peer.zone, std::cmp::Reverse(pair(things[*k], peer.slot)))
        });
        let mut got = 0;
        // Who comes late finds few leafs with connections left, and takes more of
        // each: there is a quota for everyone.
        while got < quota && left.iter().any(|n| *n > 0) {
            for k in &order {
                if got < quota && left[*k] > 0 {
                    left[*k] -= 1;
                    got += 1;
                    out[*k] += u64::from(i == here);
                }
            }
        }
    }
    out
}
