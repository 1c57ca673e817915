//! Which leaf gets a dispatch.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::route::{CompiledPool, Route};
use crate::config::types::{BalancingMode, ServingMode};
use crate::consts::REST_AFTER;
use crate::query::connection_subset::Peer;
use crate::query::leaf::{Leaf, bears, load, used, warm};
use crate::query::quota::{Share, part};
use crate::query::{observed_load, slow_start};
use crate::random::Random;
use crate::snapshot::cluster_view::ClusterView;
use crate::snapshot::leafs::LeafInfo;
use crate::time::Tick;

/// Leafs up to which all are compared rather than two drawn ones (count):
/// nodes that know little of a large pool must not all see the same best.
const SMALL: usize = 8;

/// What came of choosing.
pub enum Choice {
    Leaf(Arc<LeafInfo>),
    /// Leafs stand, but none has room in our share now.
    Full,
    /// No leaf stands that was not tried before.
    None,
}

/// What a choice depends on.
pub struct Scene<'a> {
    pub view: &'a ClusterView,
    pub share: &'a Share,
    pub leafs: &'a IndexMap<String, Leaf>,
    pub zone: &'a str,
    pub peers: &'a [Peer],
    /// Our own thread among them.
    pub slot: u64,
    pub now: Tick,
}

/// A leaf that could take the dispatch.
struct Candidate<'a> {
    info: &'a Arc<LeafInfo>,
    /// For comparing: the lower, the better.
    cost: u64,
    rested: bool,
    /// Of the local zone, or one whose connections are ours.
    near: bool,
}

/// What the leafs of a shard's pools come to.
#[derive(Default)]
struct Candidates<'a> {
    fit: Vec<Candidate<'a>>,
    /// Whether any leaf stands that was not tried before.
    stand: bool,
    /// Whether a leaf that is steered by what is seen, is ours and stands well.
    healthy: bool,
}

/// Chooses a leaf for one shard of a pinned mapping: the less loaded of two,
/// the local zone first if the plan prefers it, never one in `tried`. Rested
/// leafs serve only when no other stands, and then for first tries alone: if
/// most of a pool looks bad it is used with care, but not beaten.
pub fn choose(s: &Scene, luck: &mut Random, map: &Route, shard: usize, tried: &[String]) -> Choice {
    let found = candidates(s, map, shard, tried);
    if found.fit.is_empty() {
        return if found.stand { Choice::Full } else { Choice::None };
    }
    let first = tried.is_empty();
    for (rested, near) in [(false, true), (false, false), (true, true), (true, false)] {
        if rested && !first {
            break;
        }
        // A leaf that others have the connections of is for need: none of ours stands
        // well, or a second try finds none of ours.
        if !near && found.healthy && first {
            return Choice::Full;
        }
        let set: Vec<_> =
            found.fit.iter().filter(|f| f.rested == rested && f.near == near).collect();
        if !set.is_empty() {
            return Choice::Leaf(best(&set, luck, map.form).clone());
        }
    }
    Choice::None
}

/// The least loaded of a few leafs, or the less loaded of two drawn from many.
fn best<'a>(set: &[&Candidate<'a>], luck: &mut Random, form: ServingMode) -> &'a Arc<LeafInfo> {
    if set.len() <= SMALL && form != ServingMode::Native {
        // So few can all be looked at; chance breaks ties.
        let from = luck.below(set.len() as u64) as usize;
        let all = set[from..].iter().chain(&set[..from]);
        if let Some(best) = all.min_by_key(|f| f.cost) {
            return best.info;
        }
    }
    let one = set[luck.below(set.len() as u64) as usize];
    let two = set[luck.below(set.len() as u64) as usize];
    if two.cost < one.cost { two.info } else { one.info }
}

/// The leafs of a shard that stand, and those of them that have room.
fn candidates<'a>(s: &Scene<'a>, map: &'a Route, shard: usize, tried: &[String]) -> Candidates<'a> {
    let mut found = Candidates::default();
    for pool in &map.shards[shard].pools {
        for info in s.view.open_leafs(pool, &map.cut) {
            if tried.contains(&info.leaf) {
                continue;
            }
            let Some(leaf) = s.leafs.get(&info.leaf) else { continue };
            if leaf.leaving {
                continue;
            }
            found.stand = true;
            let near = map.local && info.zone() == s.zone;
            let candidate = match pool.steer {
                BalancingMode::LoadAware => {
                    if kept_cold(s, leaf, info, pool) {
                        continue;
                    }
                    found.healthy |= leaf.connections != Some(0) && leaf.rest_until <= s.now;
                    by_seen(s, leaf, info, near || !map.local)
                }
                BalancingMode::Partitioned => by_share(s, leaf, info, pool, near),
            };
            found.fit.extend(candidate);
        }
    }
    found
}

/// Whether a leaf is cold and not ours to send to now.
fn kept_cold(s: &Scene, leaf: &Leaf, info: &LeafInfo, pool: &CompiledPool) -> bool {
    let rate = u64::from(pool.cold_rate);
    info.cold
        && rate > 0
        && !(slow_start::keeps(leaf, s.peers, s.slot)
            && slow_start::saved(leaf, rate, s.now) >= 1_000)
}

/// A leaf that is steered by what is seen, if it has room.
fn by_seen<'a>(
    s: &Scene,
    leaf: &Leaf,
    info: &'a Arc<LeafInfo>,
    near: bool,
) -> Option<Candidate<'a>> {
    // One that failed lately is tried with one dispatch at a time.
    let wary = leaf.row >= REST_AFTER && leaf.live > 0;
    if wary || leaf.live >= observed_load::room(leaf, info, s.now) {
        return None;
    }
    Some(Candidate {
        info,
        cost: observed_load::likely(leaf, info, near),
        rested: leaf.rest_until > s.now,
        near: leaf.connections != Some(0),
    })
}

/// A leaf that is divided among the threads, if our part has room.
fn by_share<'a>(
    s: &Scene,
    leaf: &Leaf,
    info: &'a Arc<LeafInfo>,
    pool: &CompiledPool,
    near: bool,
) -> Option<Candidate<'a>> {
    let own = room(s, leaf, pool);
    (leaf.live < own).then(|| Candidate {
        info,
        cost: load(leaf, own),
        rested: leaf.rest_until > s.now,
        near,
    })
}

/// Dispatches that we may have in hand at a leaf.
pub fn room(s: &Scene, leaf: &Leaf, pool: &CompiledPool) -> u64 {
    let rank = if warm(leaf, pool.ramp, s.now) { leaf.dealt } else { leaf.rank };
    let part = part(s.share, rank, bears(leaf, pool.bears, pool.ramp, s.now));
    used(leaf, part, s.share.mine, s.now)
}
