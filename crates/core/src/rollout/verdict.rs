//! The verdict on a new version, from the evidence of the members that observe it.
//!
//! Every member that sends to both versions is an observer: it compares them on the same route
//! and over the same time, so that a bad link or a slow zone affects both. Observers send their
//! evidence to the leader, which sums it under two bounds. *Bad* needs poor answers reported by
//! several observers and from several leafs, so that a single faulty observer or leaf can't cause
//! it. *Good* needs observers with a majority of the traffic and enough answers on each route. An
//! observer's answers count up to a multiple of the median observer's, so that no single one
//! dominates the rest.
//!
//! An answer is poor if it is bad, or much slower than the median of the old version.

use std::collections::BTreeMap;

use crate::rollout::evidence::{RouteEvidence, SLOW_STEPS, TrialEvidence, VersionEvidence};

/// The result of an assessment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence is not sufficient for either verdict.
    Undecided,
    /// The new version is no worse than the old one on any route.
    Good,
    /// The new version is worse on some route.
    Bad,
}

/// Minimum number of observers with poor answers for a verdict of bad.
const BAD_MIN_OBSERVERS: usize = 3;
/// Minimum number of leafs with poor answers for a verdict of bad, if the version has as many: a
/// single faulty leaf says nothing about its version.
const BAD_MIN_LEAFS: usize = 2;
/// Minimum number of poor answers on a route for a verdict of bad.
const BAD_MIN_POOR_ANSWERS: u32 = 4;
/// Significance level of a verdict of bad: the probability of so many poor answers from a sound
/// version must be below it.
const BAD_SIGNIFICANCE: f64 = 1e-5;
/// Significance level of a verdict of good: the probability of so few poor answers from a bad
/// version must be below it.
const GOOD_SIGNIFICANCE: f64 = 0.04;
/// A sound version may have a fraction of poor answers up to twice that of the old version plus
/// this.
const SOUND_EXCESS: f64 = 0.02;
/// A bad version has a fraction of poor answers of at least that of the old version plus this.
const BAD_EXCESS: f64 = 0.15;
/// An observer's answers count up to this multiple of the median observer's.
const MAX_WEIGHT_FACTOR: u32 = 4;
/// Number of an observer's answers that always count.
const MIN_WEIGHT: u32 = 8;
/// Routes with less than this fraction of the service's traffic need no evidence of their own.
const MINOR_ROUTE: f64 = 0.02;

/// The evidence of all observers of a trial.
pub struct Assessment<'a> {
    /// Evidence of each observer.
    pub evidence: Vec<&'a TrialEvidence>,
    /// Number of members that may be observers.
    pub members: usize,
    /// Number of leafs of the new version.
    pub new_leafs: usize,
}

/// The weighted sum of the answers on a route.
struct RouteTally {
    old_answers: f64,
    old_poor: f64,
    new_answers: u32,
    new_poor: u32,
    /// Number of observers with poor answers of the new version.
    poor_observers: usize,
}

impl RouteTally {
    /// Returns the fraction of poor answers of the old version, smoothed so that it is above zero
    /// even without answers.
    fn old_poor_fraction(&self) -> f64 {
        (self.old_poor + 0.5) / (self.old_answers + 10.0)
    }

    /// Returns whether the new version is worse on this route, with poor answers at
    /// `min_observers` or more.
    fn is_bad(&self, min_observers: usize) -> bool {
        let fraction = (2.0 * self.old_poor_fraction() + SOUND_EXCESS).min(1.0);
        self.new_poor >= BAD_MIN_POOR_ANSWERS
            && self.poor_observers >= min_observers
            && probability_of_at_least(self.new_poor, self.new_answers, fraction) < BAD_SIGNIFICANCE
    }

    /// Returns whether the new version is no worse on this route.
    fn is_good(&self) -> bool {
        let fraction = (self.old_poor_fraction() + BAD_EXCESS).min(1.0);
        probability_of_at_most(self.new_poor, self.new_answers, fraction) < GOOD_SIGNIFICANCE
    }
}

impl Assessment<'_> {
    /// Returns the verdict that the evidence supports.
    pub fn verdict(&self) -> Verdict {
        let tallies = self.tallies();
        let min_observers = BAD_MIN_OBSERVERS.min(self.members.max(1));
        if self.poor_leafs() >= BAD_MIN_LEAFS.min(self.new_leafs.max(1))
            && tallies.values().any(|tally| tally.is_bad(min_observers))
        {
            return Verdict::Bad;
        }
        let old_answers: f64 = tallies.values().map(|tally| tally.old_answers).sum();
        let major_routes =
            tallies.values().filter(|tally| tally.old_answers > MINOR_ROUTE * old_answers);
        let are_routes_good =
            old_answers > 0.0 && major_routes.into_iter().all(RouteTally::is_good);
        if are_routes_good && self.has_majority() { Verdict::Good } else { Verdict::Undecided }
    }

    /// Returns whether the observers with answers of the new version have a majority of the
    /// traffic.
    fn has_majority(&self) -> bool {
        let old_answers = |observer: &&&TrialEvidence| u64::from(observer.old_answers());
        let total: u64 = self.evidence.iter().map(|observer| old_answers(&observer)).sum();
        let with_new = self.evidence.iter().filter(|observer| observer.new_answers() > 0);
        2 * with_new.map(|observer| old_answers(&observer)).sum::<u64>() > total
    }

    /// Returns the number of leafs of the new version that any observer reports as poor.
    fn poor_leafs(&self) -> usize {
        let mut leafs: Vec<u64> =
            self.evidence.iter().flat_map(|observer| &observer.poor_leafs).copied().collect();
        leafs.sort_unstable();
        leafs.dedup();
        leafs.len()
    }

    /// Returns the maximum number of answers that count for one observer.
    fn weight_limit(&self) -> u32 {
        let mut counts: Vec<u32> = self
            .evidence
            .iter()
            .map(|observer| observer.new_answers())
            .filter(|n| *n > 0)
            .collect();
        counts.sort_unstable();
        let median = counts.get(counts.len() / 2).copied().unwrap_or(0);
        median.saturating_mul(MAX_WEIGHT_FACTOR).max(MIN_WEIGHT)
    }

    /// Returns the tally of each route.
    fn tallies(&self) -> BTreeMap<&str, RouteTally> {
        let limit = self.weight_limit();
        let mut by_route: BTreeMap<&str, Vec<&RouteEvidence>> = BTreeMap::new();
        for route in self.evidence.iter().flat_map(|observer| &observer.routes) {
            by_route.entry(&route.route).or_default().push(route);
        }
        by_route.into_iter().map(|(route, evidence)| (route, tally(&evidence, limit))).collect()
    }
}

/// Sums the evidence of all observers on a route; at most `limit` answers of the new version
/// count for each observer.
fn tally(evidence: &[&RouteEvidence], limit: u32) -> RouteTally {
    let mut old = VersionEvidence::default();
    for route in evidence {
        old.add(&route.old);
    }
    let slow_from = old.median_bucket().map_or(usize::MAX, |median| median + SLOW_STEPS + 1);
    let poor = |version: &VersionEvidence| version.bad + version.from_bucket(slow_from);
    let mut tally = RouteTally {
        old_answers: f64::from(old.answered()),
        old_poor: f64::from(poor(&old)),
        new_answers: 0,
        new_poor: 0,
        poor_observers: 0,
    };
    for route in evidence {
        let (answers, poor) = (route.new.answered(), poor(&route.new));
        let counted = answers.min(limit);
        let counted_poor = if answers > counted {
            (u64::from(poor) * u64::from(counted)).div_ceil(u64::from(answers)) as u32
        } else {
            poor
        };
        tally.new_answers += counted;
        tally.new_poor += counted_poor;
        tally.poor_observers += usize::from(poor > 0);
    }
    tally
}

/// Returns the probability of `count` or more successes in `of` trials, each with probability
/// `each` (binomial distribution).
fn probability_of_at_least(count: u32, of: u32, each: f64) -> f64 {
    if count == 0 {
        return 1.0;
    }
    (1.0 - probability_of_at_most(count - 1, of, each)).max(0.0)
}

/// Returns the probability of `count` or fewer successes in `of` trials, each with probability
/// `each` (binomial distribution).
fn probability_of_at_most(count: u32, of: u32, each: f64) -> f64 {
    if count >= of || each <= 0.0 {
        return 1.0;
    }
    if each >= 1.0 {
        return 0.0;
    }
    let log_odds = (each / (1.0 - each)).ln();
    let mut log_term = f64::from(of) * (1.0 - each).ln();
    let mut sum = log_term.exp();
    for n in 1..=count {
        log_term += (f64::from(of - n + 1) / f64::from(n)).ln() + log_odds;
        sum += log_term.exp();
    }
    sum.min(1.0)
}
