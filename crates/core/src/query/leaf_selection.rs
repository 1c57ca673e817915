//! Which leaf gets a dispatch.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::build::{PoolPlan, Route};
use crate::config::types::{Form, Steer};
use crate::consts::REST_AFTER;
use crate::query::connection_subset::ConnectingThread;
use crate::query::leaf::{LeafState, bears, load, used, warm};
use crate::query::quota::{QuotaShare, part};
use crate::query::{observed_load, slow_start};
use crate::random::{Random, below};
use crate::snapshot::cluster_view::{ClusterView, open};
use crate::snapshot::leafs::{LeafInfo, zone};
use crate::time::Tick;

/// Leafs up to which all are compared rather than two drawn ones (count):
/// nodes that know little of a large pool must not all see the same best.
const SMALL: usize = 8;

/// What came of choosing.
pub enum Choice {
    Leaf(Arc<LeafInfo>),
    /// Leafs stand, but none has room in our share now.
    NoCapacity,
    /// No leaf stands that was not tried before.
    NoCandidate,
}

/// What a choice depends on.
pub struct SelectionContext<'a> {
    pub cluster_view: &'a ClusterView,
    pub quota_share: &'a QuotaShare,
    pub leafs: &'a IndexMap<String, LeafState>,
    pub zone: &'a str,
    pub peers: &'a [ConnectingThread],
    /// Our own thread among them.
    pub thread_id: u64,
    pub now: Tick,
}

/// A leaf that could take the dispatch.
struct Candidate<'a> {
    info: &'a Arc<LeafInfo>,
    /// For comparing: the lower, the better.
    cost: u64,
    ejected: bool,
    /// Of the local zone, or one whose connections are ours.
    preferred: bool,
}

/// What the leafs of a shard's pools come to.
#[derive(Default)]
struct Candidates<'a> {
    usable: Vec<Candidate<'a>>,
    /// Whether any leaf stands that was not tried before.
    any_open: bool,
    /// Whether a leaf that is steered by what is seen, is ours and stands well.
    healthy: bool,
}

/// Chooses a leaf for one shard of a pinned mapping: the less loaded of two,
/// the local zone first if the plan prefers it, never one in `tried`. Rested
/// leafs serve only when no other stands, and then for first tries alone: if
/// most of a pool looks bad it is used with care, but not beaten.
pub fn choose(
    s: &SelectionContext,
    luck: &mut Random,
    map: &Route,
    shard: usize,
    tried: &[String],
) -> Choice {
    let found = candidates(s, map, shard, tried);
    if found.usable.is_empty() {
        return if found.any_open { Choice::NoCapacity } else { Choice::NoCandidate };
    }
    let first = tried.is_empty();
    for (rested, near) in [(false, true), (false, false), (true, true), (true, false)] {
        if rested && !first {
            break;
        }
        // A leaf that others have the connections of is for need: none of ours stands
        // well, or a second try finds none of ours.
        if !near && found.healthy && first {
            return Choice::NoCapacity;
        }
        let set: Vec<_> =
            found.usable.iter().filter(|f| f.ejected == rested && f.preferred == near).collect();
        if !set.is_empty() {
            return Choice::Leaf(best(&set, luck, map.form).clone());
        }
    }
    Choice::NoCandidate
}

/// The least loaded of a few leafs, or the less loaded of two drawn from many.
fn best<'a>(set: &[&Candidate<'a>], luck: &mut Random, form: Form) -> &'a Arc<LeafInfo> {
    if set.len() <= SMALL && form != Form::Own {
        // So few can all be looked at; chance breaks ties.
        let from = below(luck, set.len() as u64) as usize;
        let all = set[from..].iter().chain(&set[..from]);
        if let Some(best) = all.min_by_key(|f| f.cost) {
            return best.info;
        }
    }
    let one = set[below(luck, set.len() as u64) as usize];
    let two = set[below(luck, set.len() as u64) as usize];
    if two.cost < one.cost { two.info } else { one.info }
}

/// The leafs of a shard that stand, and those of them that have room.
fn candidates<'a>(
    s: &SelectionContext<'a>,
    map: &'a Route,
    shard: usize,
    tried: &[String],
) -> Candidates<'a> {
    let mut found = Candidates::default();
    for pool in &map.shards[shard].pools {
        for info in open(s.cluster_view, pool, &map.cut) {
            if tried.contains(&info.leaf) {
                continue;
            }
            let Some(leaf) = s.leafs.get(&info.leaf) else { continue };
            if leaf.draining {
                continue;
            }
            found.any_open = true;
            let near = map.local && zone(info) == s.zone;
            let candidate = match pool.steer {
                Steer::Seen => {
                    if kept_cold(s, leaf, info, pool) {
                        continue;
                    }
                    found.healthy |=
                        leaf.connection_limit != Some(0) && leaf.ejected_until <= s.now;
                    by_seen(s, leaf, info, near || !map.local)
                }
                Steer::Share => by_share(s, leaf, info, pool, near),
            };
            found.usable.extend(candidate);
        }
    }
    found
}

/// Whether a leaf is cold and not ours to send to now.
fn kept_cold(s: &SelectionContext, leaf: &LeafState, info: &LeafInfo, pool: &PoolPlan) -> bool {
    let rate = u64::from(pool.cold_rate);
    info.cold
        && rate > 0
        && !(slow_start::keeps(leaf, s.peers, s.thread_id)
            && slow_start::saved(leaf, rate, s.now) >= 1_000)
}

/// A leaf that is steered by what is seen, if it has room.
fn by_seen<'a>(
    s: &SelectionContext,
    leaf: &LeafState,
    info: &'a Arc<LeafInfo>,
    near: bool,
) -> Option<Candidate<'a>> {
    // One that failed lately is tried with one dispatch at a time.
    let wary = leaf.consecutive_failures >= REST_AFTER && leaf.in_flight > 0;
    if wary || leaf.in_flight >= observed_load::room(leaf, info, s.now) {
        return None;
    }
    Some(Candidate {
        info,
        cost: observed_load::likely(leaf, info, near),
        ejected: leaf.ejected_until > s.now,
        preferred: leaf.connection_limit != Some(0),
    })
}

/// A leaf that is divided among the threads, if our part has room.
fn by_share<'a>(
    s: &SelectionContext,
    leaf: &LeafState,
    info: &'a Arc<LeafInfo>,
    pool: &PoolPlan,
    near: bool,
) -> Option<Candidate<'a>> {
    let own = room(s, leaf, pool);
    (leaf.in_flight < own).then(|| Candidate {
        info,
        cost: load(leaf, own),
        ejected: leaf.ejected_until > s.now,
        preferred: near,
    })
}

/// Dispatches that we may have in hand at a leaf.
pub fn room(s: &SelectionContext, leaf: &LeafState, pool: &PoolPlan) -> u64 {
    let rank = if warm(leaf, pool.ramp, s.now) { leaf.balanced_rank } else { leaf.rank };
    let part = part(s.quota_share, rank, bears(leaf, pool.bears, pool.ramp, s.now));
    used(leaf, part, s.quota_share.own_thread, s.now)
}
