//! Which leaf gets a dispatch.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::route::{PoolPlan, Route};
use crate::config::types::{Form, Steer};
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

/// Chooses a leaf for one shard of a pinned mapping: the less loaded of two,
/// the local zone first if the plan prefers it, never one in `tried`. Rested
/// leafs serve only when no other stands, and then for first tries alone: if
/// most of a pool looks bad it is used with care, but not beaten.
pub fn choose(s: &Scene, luck: &mut Random, map: &Route, shard: usize, tried: &[String]) -> Choice {
    let mut fit: Vec<(&Arc<LeafInfo>, u64, bool, bool)> = Vec::new();
    let mut stand = false;
    // Whether a leaf that is steered by what is seen, is ours and stands well.
    let mut healthy = false;
    for pool in &map.shards[shard].pools {
        for info in s.view.open_leafs(pool, &map.cut) {
            if tried.contains(&info.leaf) {
                continue;
            }
            let Some(leaf) = s.leafs.get(&info.leaf) else { continue };
            if leaf.leaving {
                continue;
            }
            stand = true;
            let rested = leaf.rest_until > s.now;
            let near = map.local && info.zone() == s.zone;
            if pool.steer == Steer::Seen {
                let rate = u64::from(pool.cold_rate);
                if info.cold
                    && rate > 0
                    && !(slow_start::keeps(leaf, s.peers, s.slot)
                        && slow_start::saved(leaf, rate, s.now) >= 1_000)
                {
                    continue;
                }
                let ours = leaf.connections != Some(0);
                healthy |= ours && !rested;
                // One that failed lately is tried with one dispatch at a time.
                let wary = leaf.row >= REST_AFTER && leaf.live > 0;
                if wary || leaf.live >= observed_load::room(leaf, info, s.now) {
                    continue;
                }
                fit.push((
                    info,
                    observed_load::likely(leaf, info, near || !map.local),
                    rested,
                    ours,
                ));
                continue;
            }
            let own = room(s, leaf, pool);
            if leaf.live >= own {
                continue;
            }
            fit.push((info, load(leaf, own), rested, near));
        }
    }
    if fit.is_empty() {
        return if stand { Choice::Full } else { Choice::None };
    }
    let first = tried.is_empty();
    for (rested, near) in [(false, true), (false, false), (true, true), (true, false)] {
        if rested && !first {
            break;
        }
        // A leaf that others have the connections of is for need: none of ours stands
        // well, or a second try finds none of ours.
        if !near && healthy && first {
            return Choice::Full;
        }
        let set: Vec<_> = fit.iter().filter(|f| f.2 == rested && f.3 == near).collect();
        if set.is_empty() {
            continue;
        }
        let few = set.len() <= SMALL && map.form != Form::Own;
        if few {
            // So few can all be looked at; chance breaks ties.
            let from = luck.below(set.len() as u64) as usize;
            let all = set[from..].iter().chain(&set[..from]);
            if let Some(best) = all.min_by_key(|f| f.1) {
                return Choice::Leaf(best.0.clone());
            }
        }
        let one = set[luck.below(set.len() as u64) as usize];
        let two = set[luck.below(set.len() as u64) as usize];
        return Choice::Leaf(if two.1 < one.1 { two.0 } else { one.0 }.clone());
    }
    Choice::None
}

/// Dispatches that we may have in hand at a leaf.
pub fn room(s: &Scene, leaf: &Leaf, pool: &PoolPlan) -> u64 {
    let rank = if warm(leaf, pool.ramp, s.now) { leaf.dealt } else { leaf.rank };
    let part = part(s.share, rank, bears(leaf, pool.bears, pool.ramp, s.now));
    used(leaf, part, s.share.mine, s.now)
}
