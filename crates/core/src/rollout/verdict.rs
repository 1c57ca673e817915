//! The verdict on a new version, from what its watchers have seen.
//!
//! Every member that sends to both versions watches: it compares them at itself, on the same
//! route and over the same time, so that a bad link or a slow zone shows in both. Its vote is the
//! evidence itself, which the leader adds up under two bounds. *Bad* needs poor answers from
//! several watchers and leafs, so that one that errs or lies alone condemns nothing. *Good* needs
//! watchers with most of the traffic, and enough answers on each route; a watcher's answers count
//! at most as a multiple of what watchers usually have, so that one alone can't outvote the rest.

use std::collections::BTreeMap;

use crate::rollout::evidence::{RouteEvidence, SLOW_STEPS, TrialEvidence, VersionEvidence};

/// What the evidence comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Neither is shown.
    Undecided,
    /// It is no worse than the old version, on each route.
    Good,
    /// It is worse on some route.
    Bad,
}

/// Watchers with poor answers that it takes to condemn a version (count).
const WATCHERS_TO_CONDEMN: usize = 3;
/// Leafs with poor answers that it takes, of a version with so many (count): a single sick leaf
/// is none of the version's.
const LEAFS_TO_CONDEMN: usize = 2;
/// Poor answers that it takes (count).
const POOR_TO_CONDEMN: u32 = 4;
/// How improbable the poor answers of a sound version must be for it to be condemned.
const CONDEMNING_CHANCE: f64 = 1e-5;
/// How improbable the answers of a bad version must be for it to pass.
const PASSING_CHANCE: f64 = 0.04;
/// Part of poor answers that a sound version may have beyond twice that of the old one.
const SOUND_EXCESS: f64 = 0.02;
/// Part of poor answers that a bad version has at least, beyond that of the old one.
const BAD_EXCESS: f64 = 0.15;
/// A watcher's answers count up to this many times what the median watcher has.
const WEIGHT_LIMIT: u32 = 4;
/// Answers of a watcher that count in any case (count).
const WEIGHT_FLOOR: u32 = 8;
/// Routes with less of the service's traffic than this part need no evidence of their own.
const MINOR_ROUTE: f64 = 0.02;

/// A vote of the watchers.
pub struct Assessment<'a> {
    /// What each watcher has seen.
    pub evidence: Vec<&'a TrialEvidence>,
    /// Members that may watch (count).
    pub members: usize,
    /// Leafs of the new version (count).
    pub new_leafs: usize,
}

/// The answers on a route, weighed and added up.
struct RouteTally {
    old_answers: f64,
    old_poor: f64,
    new_answers: u32,
    new_poor: u32,
    /// Watchers with poor answers of the new version (count).
    accusers: usize,
}

impl RouteTally {
    /// Part of poor answers of the old version, above zero however few it has given.
    fn old_poor_part(&self) -> f64 {
        (self.old_poor + 0.5) / (self.old_answers + 10.0)
    }

    fn is_condemned(&self, watchers: usize) -> bool {
        let part = (2.0 * self.old_poor_part() + SOUND_EXCESS).min(1.0);
        self.new_poor >= POOR_TO_CONDEMN
            && self.accusers >= watchers
            && chance_of_at_least(self.new_poor, self.new_answers, part) < CONDEMNING_CHANCE
    }

    fn passes(&self) -> bool {
        let part = (self.old_poor_part() + BAD_EXCESS).min(1.0);
        chance_of_at_most(self.new_poor, self.new_answers, part) < PASSING_CHANCE
    }
}

impl Assessment<'_> {
    /// The verdict.
    pub fn verdict(&self) -> Verdict {
        let tallies = self.tallies();
        let watchers = WATCHERS_TO_CONDEMN.min(self.members.max(1));
        if self.accused_leafs() >= LEAFS_TO_CONDEMN.min(self.new_leafs.max(1))
            && tallies.values().any(|tally| tally.is_condemned(watchers))
        {
            return Verdict::Bad;
        }
        let served: f64 = tallies.values().map(|tally| tally.old_answers).sum();
        let needed = tallies.values().filter(|tally| tally.old_answers > MINOR_ROUTE * served);
        let is_proved = served > 0.0 && needed.into_iter().all(RouteTally::passes);
        if is_proved && self.has_majority() { Verdict::Good } else { Verdict::Undecided }
    }

    /// Whether those who have tried the new version have most of the traffic.
    fn has_majority(&self) -> bool {
        let served = |watcher: &&&TrialEvidence| u64::from(watcher.served());
        let all: u64 = self.evidence.iter().map(|watcher| served(&watcher)).sum();
        let tried = self.evidence.iter().filter(|watcher| watcher.tried() > 0);
        2 * tried.map(|watcher| served(&watcher)).sum::<u64>() > all
    }

    /// Leafs of the new version that some watcher names (count).
    fn accused_leafs(&self) -> usize {
        let mut leafs: Vec<u64> =
            self.evidence.iter().flat_map(|watcher| &watcher.poor_leafs).copied().collect();
        leafs.sort_unstable();
        leafs.dedup();
        leafs.len()
    }

    /// The most answers that count of one watcher.
    fn weight_limit(&self) -> u32 {
        let mut tried: Vec<u32> =
            self.evidence.iter().map(|watcher| watcher.tried()).filter(|n| *n > 0).collect();
        tried.sort_unstable();
        let median = tried.get(tried.len() / 2).copied().unwrap_or(0);
        median.saturating_mul(WEIGHT_LIMIT).max(WEIGHT_FLOOR)
    }

    fn tallies(&self) -> BTreeMap<&str, RouteTally> {
        let limit = self.weight_limit();
        let mut by_route: BTreeMap<&str, Vec<&RouteEvidence>> = BTreeMap::new();
        for route in self.evidence.iter().flat_map(|watcher| &watcher.routes) {
            by_route.entry(&route.route).or_default().push(route);
        }
        by_route.into_iter().map(|(route, seen)| (route, tally(&seen, limit))).collect()
    }
}

/// Adds up what watchers have seen on a route.
fn tally(seen: &[&RouteEvidence], limit: u32) -> RouteTally {
    let mut old = VersionEvidence::default();
    for route in seen {
        old.add(&route.old);
    }
    let slow_from = old.median_bucket().map_or(usize::MAX, |median| median + SLOW_STEPS + 1);
    let poor = |version: &VersionEvidence| version.bad + version.from_bucket(slow_from);
    let mut tally = RouteTally {
        old_answers: f64::from(old.answered()),
        old_poor: f64::from(poor(&old)),
        new_answers: 0,
        new_poor: 0,
        accusers: 0,
    };
    for route in seen {
        let (answers, poor) = (route.new.answered(), poor(&route.new));
        let counted = answers.min(limit);
        let counted_poor = if answers > counted {
            (u64::from(poor) * u64::from(counted)).div_ceil(u64::from(answers)) as u32
        } else {
            poor
        };
        tally.new_answers += counted;
        tally.new_poor += counted_poor;
        tally.accusers += usize::from(poor > 0);
    }
    tally
}

/// Chance of `count` or more among `of`, each with the same chance.
fn chance_of_at_least(count: u32, of: u32, each: f64) -> f64 {
    if count == 0 {
        return 1.0;
    }
    (1.0 - chance_of_at_most(count - 1, of, each)).max(0.0)
}

/// Chance of `count` or fewer among `of`, each with the same chance.
fn chance_of_at_most(count: u32, of: u32, each: f64) -> f64 {
    if count >= of || each <= 0.0 {
        return 1.0;
    }
    if each >= 1.0 {
        return 0.0;
    }
    let odds = (each / (1.0 - each)).ln();
    let mut log_term = f64::from(of) * (1.0 - each).ln();
    let mut sum = log_term.exp();
    for n in 1..=count {
        log_term += (f64::from(of - n + 1) / f64::from(n)).ln() + odds;
        sum += log_term.exp();
    }
    sum.min(1.0)
}
