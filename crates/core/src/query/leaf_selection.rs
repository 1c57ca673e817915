//! Which leaf gets a dispatch.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::route::{CompiledPool, Route};
use crate::config::types::{BalancingMode, ServingMode};
use crate::consts::EJECTION_FAILURE_THRESHOLD;
use crate::query::leaf::LeafState;
use crate::query::quota::QuotaShare;
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
    NoCapacity,
    /// No leaf stands that was not tried before.
    NoCandidate,
}

/// The version whose leafs a choice is made from.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum VersionChoice {
    /// The version in force.
    InForce,
    /// The one that is tried.
    Tried,
}

/// What a choice depends on.
pub struct SelectionContext<'a> {
    /// Which of a service's versions are chosen from.
    pub version: VersionChoice,
    pub cluster_view: &'a ClusterView,
    pub quota_share: &'a QuotaShare,
    pub leafs: &'a IndexMap<String, LeafState>,
    pub zone: &'a str,
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

impl SelectionContext<'_> {
    /// Chooses a leaf for one shard of a pinned mapping: the less loaded of two,
    /// the local zone first if the plan prefers it, never one in `tried`. Rested
    /// leafs serve only when no other stands, and then for first tries alone: if
    /// most of a pool looks bad it is used with care, but not beaten.
    pub fn choose(
        &self,
        random: &mut Random,
        route: &Route,
        shard: usize,
        tried: &[String],
    ) -> Choice {
        let found = self.candidates(route, shard, tried);
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
            let set: Vec<_> = found
                .usable
                .iter()
                .filter(|f| f.ejected == rested && f.preferred == near)
                .collect();
            if !set.is_empty() {
                return Choice::Leaf(best(&set, random, route.serving_mode).clone());
            }
        }
        Choice::NoCandidate
    }
}

/// The least loaded of a few leafs, or the less loaded of two drawn from many.
fn best<'a>(
    set: &[&Candidate<'a>],
    random: &mut Random,
    serving_mode: ServingMode,
) -> &'a Arc<LeafInfo> {
    if set.len() <= SMALL && serving_mode != ServingMode::Native {
        // So few can all be looked at; chance breaks ties.
        let from = random.below(set.len() as u64) as usize;
        let all = set[from..].iter().chain(&set[..from]);
        if let Some(best) = all.min_by_key(|f| f.cost) {
            return best.info;
        }
    }
    let one = set[random.below(set.len() as u64) as usize];
    let two = set[random.below(set.len() as u64) as usize];
    if two.cost < one.cost { two.info } else { one.info }
}

impl<'a> SelectionContext<'a> {
    fn open_leafs(&self, pool: &'a CompiledPool, index_version: &'a str) -> Vec<&'a Arc<LeafInfo>> {
        match self.version {
            VersionChoice::InForce => self.cluster_view.open_leafs(pool, index_version).collect(),
            VersionChoice::Tried => {
                self.cluster_view.open_trial_leafs(pool, index_version).collect()
            }
        }
    }

    /// The leafs of a shard that stand, and those of them that have room.
    fn candidates(&self, route: &'a Route, shard: usize, tried: &[String]) -> Candidates<'a> {
        let mut found = Candidates::default();
        for pool in &route.shards[shard].pools {
            for info in self.open_leafs(pool, &route.index_version) {
                if tried.contains(&info.leaf) {
                    continue;
                }
                let Some(leaf) = self.leafs.get(&info.leaf) else { continue };
                if leaf.draining {
                    continue;
                }
                found.any_open = true;
                let near = route.prefer_local && info.zone() == self.zone;
                let candidate = match pool.balancing {
                    BalancingMode::LoadAware => {
                        if self.is_held_cold(leaf, info, pool) {
                            continue;
                        }
                        found.healthy |=
                            leaf.connection_limit != Some(0) && leaf.ejected_until <= self.now;
                        self.by_observed_load(leaf, info, near || !route.prefer_local)
                    }
                    BalancingMode::Partitioned => self.by_allocation(leaf, info, pool, near),
                };
                found.usable.extend(candidate);
            }
        }
        found
    }
}

impl SelectionContext<'_> {
    /// Whether a leaf is cold and not ours to send to now.
    fn is_held_cold(&self, leaf: &LeafState, info: &LeafInfo, pool: &CompiledPool) -> bool {
        let rate = u64::from(pool.cold_rate);
        rate > 0
            && leaf.counts_as_cold(info.cold, self.now)
            && !leaf.slow_start_admits(self.quota_share, rate, self.now)
    }

    /// A leaf that is steered by what is seen, if it has room.
    fn by_observed_load<'a>(
        &self,
        leaf: &LeafState,
        info: &'a Arc<LeafInfo>,
        near: bool,
    ) -> Option<Candidate<'a>> {
        // One that failed lately is tried with one dispatch at a time.
        let wary = leaf.consecutive_failures >= EJECTION_FAILURE_THRESHOLD && leaf.in_flight > 0;
        if wary || leaf.in_flight >= leaf.concurrency_limit(info, self.now) {
            return None;
        }
        Some(Candidate {
            info,
            cost: leaf.expected_latency(info, near),
            ejected: leaf.ejected_until > self.now,
            preferred: leaf.connection_limit != Some(0),
        })
    }

    /// A leaf that is divided among the threads, if our part has room.
    fn by_allocation<'a>(
        &self,
        leaf: &LeafState,
        info: &'a Arc<LeafInfo>,
        pool: &CompiledPool,
        near: bool,
    ) -> Option<Candidate<'a>> {
        let own = self.allocation(leaf, pool);
        (leaf.in_flight < own).then(|| Candidate {
            info,
            cost: leaf.load(own),
            ejected: leaf.ejected_until > self.now,
            preferred: near,
        })
    }

    /// Dispatches that we may have in hand at a leaf.
    pub fn allocation(&self, leaf: &LeafState, pool: &CompiledPool) -> u64 {
        let rank =
            if leaf.is_warm(pool.slow_start, self.now) { leaf.balanced_rank } else { leaf.rank };
        let part = self
            .quota_share
            .allocation(rank, leaf.capacity(pool.leaf_capacity, pool.slow_start, self.now));
        leaf.usable_allocation(part, self.quota_share.own_thread, self.now)
    }
}
