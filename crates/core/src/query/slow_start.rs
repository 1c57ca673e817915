//! Cold leafs bear so many dispatches a second from all nodes together: a hard
//! sum, kept by giving each cold leaf to one keeper, who sends it no more than
//! that. All others send it nothing while it is cold. Nodes that disagree for a
//! moment on who there is are what the rule's slack is for.

use crate::consts;
use crate::digest::pair;
use crate::query::connection_subset::Peer;
use crate::query::leaf::Leaf;
use crate::time::{SECOND, Tick, since};

/// Whether the thread `mine` is the keeper of a leaf. With nobody else known
/// nobody is: a whole fleet that has just started must not send it everything.
pub fn keeps(leaf: &Leaf, peers: &[Peer], mine: u64) -> bool {
    let best = peers.iter().max_by_key(|p| (pair(leaf.thing, p.slot), p.slot));
    best.is_some_and(|p| p.slot == mine)
}

/// What the keeper has saved up for a cold leaf by now, in thousandths.
pub fn saved(leaf: &Leaf, rate: u64, now: Tick) -> u64 {
    let earned = since(leaf.cold_at, now) * rate / SECOND;
    (leaf.cold_saved + earned).min(rate.clamp(1_000, consts::COLD_BURST))
}

/// A dispatch goes to a cold leaf.
pub fn spend(leaf: &mut Leaf, rate: u64, now: Tick) {
    leaf.cold_saved = saved(leaf, rate, now).saturating_sub(1_000);
    leaf.cold_at = now;
}
