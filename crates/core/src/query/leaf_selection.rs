//! Leaf selection: chooses the leaf that an attempt is sent to.

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

/// Number of leafs up to which all of them are compared. In a larger pool only two random
/// leafs are: nodes that know little of it must not all choose the same leaf.
const COMPARE_ALL_MAX_LEAFS: usize = 8;

/// Result of a leaf selection.
pub enum Choice {
    Leaf(Arc<LeafInfo>),
    /// Leafs are available, but this thread may send none of them another attempt now.
    NoCapacity,
    /// No leaf is available that has not had an attempt for this shard.
    NoCandidate,
}

/// The version whose leafs are considered.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum VersionChoice {
    /// The version in force.
    InForce,
    /// The version under trial.
    UnderTrial,
}

/// Inputs of a leaf selection.
pub struct SelectionContext<'a> {
    /// Which of a service's versions is considered.
    pub version: VersionChoice,
    pub cluster_view: &'a ClusterView,
    pub quota_share: &'a QuotaShare,
    pub leafs: &'a IndexMap<String, LeafState>,
    pub zone: &'a str,
    pub now: Tick,
}

/// A leaf with free capacity for the attempt.
struct Candidate<'a> {
    info: &'a Arc<LeafInfo>,
    /// Estimated cost of sending the attempt here: the lowest is chosen.
    cost: u64,
    ejected: bool,
    /// Partitioned balancing: the leaf is in the local zone. Load-aware balancing: its
    /// connections are unlimited, or some are assigned to this thread.
    preferred: bool,
}

/// The leafs of a shard's pools that an attempt can be sent to.
#[derive(Default)]
struct Candidates<'a> {
    available: Vec<Candidate<'a>>,
    /// Whether any leaf, with or without free capacity, has not had an attempt for this shard.
    any_open: bool,
    /// Whether some leaf under load-aware balancing is not ejected, and its connections are
    /// unlimited or some are assigned to this thread.
    healthy: bool,
}

impl SelectionContext<'_> {
    /// Chooses a leaf for one shard of a pinned route: the less loaded of two random ones, from
    /// the local zone first if the route prefers it, and never one in `attempted`. Ejected
    /// leafs are used only if no other is available, and only for first attempts: a pool that
    /// is mostly ejected still gets traffic, but no retries.
    pub fn choose(
        &self,
        random: &mut Random,
        route: &Route,
        shard: usize,
        attempted: &[String],
    ) -> Choice {
        let found = self.candidates(route, shard, attempted);
        if found.available.is_empty() {
            return if found.any_open { Choice::NoCapacity } else { Choice::NoCandidate };
        }
        let is_first_attempt = attempted.is_empty();
        for (ejected, preferred) in [(false, true), (false, false), (true, true), (true, false)] {
            if ejected && !is_first_attempt {
                break;
            }
            // A leaf whose connections are assigned to other threads is used only if none of
            // this thread's leafs is healthy, or if a retry finds none of them.
            if !preferred && found.healthy && is_first_attempt {
                return Choice::NoCapacity;
            }
            let set: Vec<_> = found
                .available
                .iter()
                .filter(|f| f.ejected == ejected && f.preferred == preferred)
                .collect();
            if !set.is_empty() {
                return Choice::Leaf(lowest_cost(&set, random, route.serving_mode).clone());
            }
        }
        Choice::NoCandidate
    }
}

/// Returns the leaf with the lowest cost in a small set, or the better of two random leafs in
/// a large one.
fn lowest_cost<'a>(
    set: &[&Candidate<'a>],
    random: &mut Random,
    serving_mode: ServingMode,
) -> &'a Arc<LeafInfo> {
    if set.len() <= COMPARE_ALL_MAX_LEAFS && serving_mode != ServingMode::Native {
        // Compares all leafs, from a random start so that ties are broken at random.
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
    /// Returns the leafs of a pool that may get new work, of the version considered.
    fn open_leafs(&self, pool: &'a CompiledPool, index_version: &'a str) -> Vec<&'a Arc<LeafInfo>> {
        match self.version {
            VersionChoice::InForce => self.cluster_view.open_leafs(pool, index_version).collect(),
            VersionChoice::UnderTrial => {
                self.cluster_view.open_trial_leafs(pool, index_version).collect()
            }
        }
    }

    /// Returns the leafs of a shard that have free capacity and are not in `attempted`.
    fn candidates(&self, route: &'a Route, shard: usize, attempted: &[String]) -> Candidates<'a> {
        let mut found = Candidates::default();
        for pool in &route.shards[shard].pools {
            for info in self.open_leafs(pool, &route.index_version) {
                if attempted.contains(&info.leaf) {
                    continue;
                }
                let Some(leaf) = self.leafs.get(&info.leaf) else { continue };
                if leaf.draining {
                    continue;
                }
                found.any_open = true;
                let is_local = route.prefer_local && info.zone() == self.zone;
                let candidate = match pool.balancing {
                    BalancingMode::LoadAware => {
                        if self.is_held_by_slow_start(leaf, info, pool) {
                            continue;
                        }
                        found.healthy |=
                            leaf.connection_limit != Some(0) && leaf.ejected_until <= self.now;
                        self.load_aware_candidate(leaf, info, is_local || !route.prefer_local)
                    }
                    BalancingMode::Partitioned => {
                        self.partitioned_candidate(leaf, info, pool, is_local)
                    }
                };
                found.available.extend(candidate);
            }
        }
        found
    }
}

impl SelectionContext<'_> {
    /// Returns whether a leaf is in slow start and this thread may not send to it now.
    fn is_held_by_slow_start(
        &self,
        leaf: &LeafState,
        info: &LeafInfo,
        pool: &CompiledPool,
    ) -> bool {
        let rate = u64::from(pool.cold_leaf_rate_milli);
        rate > 0
            && leaf.counts_as_cold(info.cold, self.now)
            && !leaf.slow_start_admits(self.quota_share, rate, self.now)
    }

    /// Returns a candidate for a leaf under load-aware balancing, if it has free capacity.
    fn load_aware_candidate<'a>(
        &self,
        leaf: &LeafState,
        info: &'a Arc<LeafInfo>,
        is_local: bool,
    ) -> Option<Candidate<'a>> {
        // A leaf that failed repeatedly gets one attempt at a time.
        let is_on_probation =
            leaf.consecutive_failures >= EJECTION_FAILURE_THRESHOLD && leaf.in_flight > 0;
        if is_on_probation || leaf.in_flight >= leaf.concurrency_limit(info, self.now) {
            return None;
        }
        Some(Candidate {
            info,
            cost: leaf.expected_latency(info, is_local),
            ejected: leaf.ejected_until > self.now,
            preferred: leaf.connection_limit != Some(0),
        })
    }

    /// Returns a candidate for a leaf whose capacity is partitioned among the threads, if this
    /// thread's allocation is not used up.
    fn partitioned_candidate<'a>(
        &self,
        leaf: &LeafState,
        info: &'a Arc<LeafInfo>,
        pool: &CompiledPool,
        is_local: bool,
    ) -> Option<Candidate<'a>> {
        let allocation = self.allocation(leaf, pool);
        (leaf.in_flight < allocation).then(|| Candidate {
            info,
            cost: leaf.load(allocation),
            ejected: leaf.ejected_until > self.now,
            preferred: is_local,
        })
    }

    /// Returns the number of attempts that this thread may have in flight at a leaf.
    pub fn allocation(&self, leaf: &LeafState, pool: &CompiledPool) -> u64 {
        let rank =
            if leaf.is_warm(pool.slow_start, self.now) { leaf.balanced_rank } else { leaf.rank };
        let share = self
            .quota_share
            .allocation(rank, leaf.capacity(pool.leaf_capacity, pool.slow_start, self.now));
        leaf.usable_allocation(share, self.quota_share.own_thread, self.now)
    }
}
