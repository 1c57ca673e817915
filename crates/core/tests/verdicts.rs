//! Tests of the verdict over random rollouts: how often it is a false positive or a false negative,
//! and whether a single faulty observer can change it.

use googletest::prelude::*;
use grebepath_core::random::Random;
use grebepath_core::rollout::evidence::{AnswerQuality, TrialEvidence};
use grebepath_core::rollout::verdict::{Assessment, Verdict};
use grebepath_core::time::{Span, ms};

/// Number of simulated rollouts of each kind.
const ROLLOUTS: u64 = 10_000;
/// Number of assessments in one rollout.
const ASSESSMENTS: u64 = 24;
/// Routes of the service, with their share of its traffic (percent).
const ROUTES: [(&str, u64); 2] = [("often", 70), ("seldom", 30)];
/// Number of leafs of the new version.
const LEAFS: u64 = 8;

/// The parameters of a simulated rollout.
struct SimulatedRollout {
    observers: u64,
    /// Total number of answers of the new version.
    new_answers: u64,
    /// Number of answers of the old version for each of the new one.
    old_answers_per_new: u64,
    /// Bad answers of any leaf, for each thousand.
    broken_per_thousand: u64,
    /// Number of observers in slow zones: all their answers take four times as long.
    slow_observers: u64,
    /// Whether one leaf of the new version fails half of its requests, which says nothing about the
    /// version.
    has_faulty_leaf: bool,
    /// Additional poor answers of the new version, for each thousand.
    excess_per_thousand: u64,
    /// Whether the additional poor answers are slow; otherwise they are bad.
    is_slow: bool,
    /// Whether the additional poor answers occur only on the second route.
    on_one_route: bool,
}

fn sound(random: &mut Random) -> SimulatedRollout {
    SimulatedRollout {
        observers: 3 + random.below(100),
        new_answers: 150 + random.below(250),
        old_answers_per_new: 10 + random.below(10),
        broken_per_thousand: random.below(40),
        slow_observers: random.below(3),
        has_faulty_leaf: random.chance(1, 4),
        excess_per_thousand: 0,
        is_slow: false,
        on_one_route: false,
    }
}

fn bad(random: &mut Random) -> SimulatedRollout {
    SimulatedRollout {
        excess_per_thousand: 250 + random.below(500),
        is_slow: random.chance(1, 3),
        on_one_route: random.chance(1, 3),
        ..sound(random)
    }
}

/// Returns a random latency: 10 to 30 ms, rarely four times as long.
fn latency(random: &mut Random) -> Span {
    let usual = ms(10) + random.below(ms(20));
    if random.chance(2, 100) { usual * 4 } else { usual }
}

struct Observers {
    rollout: SimulatedRollout,
    evidence: Vec<TrialEvidence>,
}

impl Observers {
    fn new(rollout: SimulatedRollout) -> Observers {
        let evidence = vec![TrialEvidence::default(); rollout.observers as usize];
        Observers { rollout, evidence }
    }

    fn answer(&mut self, random: &mut Random, is_new: bool) {
        let rollout = &self.rollout;
        let observer = random.below(rollout.observers);
        let (route, _) = ROUTES[usize::from(random.below(100) >= ROUTES[0].1)];
        let leaf = random.below(LEAFS);
        let latency_factor = if observer < rollout.slow_observers { 4 } else { 1 };
        let is_excess = is_new
            && random.chance(rollout.excess_per_thousand, 1_000)
            && (!rollout.on_one_route || route == ROUTES[1].0);
        let is_leaf_fault = is_new && rollout.has_faulty_leaf && leaf == 0 && random.chance(1, 2);
        let is_broken = random.chance(rollout.broken_per_thousand, 1_000) || is_leaf_fault;
        let quality = match (is_excess, rollout.is_slow) {
            (true, false) => AnswerQuality::Bad,
            (true, true) => AnswerQuality::Good(latency(random) * latency_factor * 8),
            (false, _) if is_broken => AnswerQuality::Bad,
            (false, _) => AnswerQuality::Good(latency(random) * latency_factor),
        };
        let evidence = &mut self.evidence[observer as usize];
        let route_evidence = evidence.route_mut(route);
        if is_new {
            route_evidence.new.record(quality)
        } else {
            route_evidence.old.record(quality)
        }
        if is_new && (is_excess || quality == AnswerQuality::Bad) {
            evidence.note_poor_leaf(leaf);
        }
    }

    fn verdict(&self) -> Verdict {
        let assessment = Assessment {
            evidence: self.evidence.iter().collect(),
            members: self.evidence.len(),
            new_leafs: LEAFS as usize,
        };
        assessment.verdict()
    }

    /// Returns the verdict of the leader: bad as of any assessment, good only as of the last.
    fn final_verdict(mut self, random: &mut Random) -> Verdict {
        for _ in 0..ASSESSMENTS {
            for _ in 0..self.rollout.new_answers / ASSESSMENTS {
                self.answer(random, true);
                for _ in 0..self.rollout.old_answers_per_new {
                    self.answer(random, false);
                }
            }
            if self.verdict() == Verdict::Bad {
                return Verdict::Bad;
            }
        }
        self.verdict()
    }
}

/// Number of simulated rollouts with each verdict.
#[derive(Debug, Default)]
struct Counts {
    good: u64,
    bad: u64,
    undecided: u64,
}

fn count_verdicts(draw: impl Fn(&mut Random) -> SimulatedRollout) -> Counts {
    let mut counts = Counts::default();
    for seed in 0..ROLLOUTS {
        let mut random = Random::new(seed);
        let observers = Observers::new(draw(&mut random));
        match observers.final_verdict(&mut random) {
            Verdict::Good => counts.good += 1,
            Verdict::Bad => counts.bad += 1,
            Verdict::Undecided => counts.undecided += 1,
        }
    }
    counts
}

#[googletest::test]
fn at_most_one_bad_version_in_a_thousand_is_found_good() {
    let counts = count_verdicts(bad);
    println!("bad versions: {counts:?}");
    expect_that!(counts.good, le(ROLLOUTS / 1_000));
}

#[googletest::test]
fn at_most_one_sound_version_in_a_thousand_is_found_bad() {
    let counts = count_verdicts(sound);
    println!("sound versions: {counts:?}");
    expect_that!(counts.bad, le(ROLLOUTS / 1_000));
    expect_that!(counts.good, ge(ROLLOUTS * 8 / 10));
}

/// Returns the evidence of observers that all got the same answers.
fn uniform(observers: usize, old_good: u32, new_good: u32, new_bad: u32) -> Vec<TrialEvidence> {
    let mut evidence = TrialEvidence::default();
    for _ in 0..old_good {
        evidence.route_mut("r").old.record(AnswerQuality::Good(ms(20)));
    }
    for _ in 0..new_good {
        evidence.route_mut("r").new.record(AnswerQuality::Good(ms(20)));
    }
    for leaf in 0..new_bad {
        evidence.route_mut("r").new.record(AnswerQuality::Bad);
        evidence.note_poor_leaf(u64::from(leaf));
    }
    vec![evidence; observers]
}

fn verdict(evidence: &[TrialEvidence]) -> Verdict {
    let members = evidence.len();
    Assessment { evidence: evidence.iter().collect(), members, new_leafs: 8 }.verdict()
}

#[googletest::test]
fn a_single_faulty_observer_cannot_cause_a_verdict_of_bad() {
    let mut observers = uniform(20, 60, 4, 0);
    observers.extend(uniform(1, 60, 0, 500));
    expect_that!(verdict(&observers), not(eq(Verdict::Bad)));
}

#[googletest::test]
fn a_single_faulty_observer_cannot_prevent_a_verdict_of_bad() {
    let mut observers = uniform(20, 60, 2, 2);
    observers.extend(uniform(1, 60, 1_000_000, 0));
    expect_that!(verdict(&observers), eq(Verdict::Bad));
}

#[googletest::test]
fn a_verdict_of_good_needs_observers_of_most_of_the_traffic() {
    let mut observers = uniform(5, 60, 30, 0);
    expect_that!(verdict(&observers), eq(Verdict::Good));
    observers.extend(uniform(6, 60, 0, 0));
    expect_that!(verdict(&observers), eq(Verdict::Undecided));
}

#[googletest::test]
fn a_verdict_of_good_needs_answers_on_each_route() {
    let mut observers = uniform(5, 60, 30, 0);
    for _ in 0..20 {
        observers[0].route_mut("other").old.record(AnswerQuality::Good(ms(20)));
    }
    expect_that!(verdict(&observers), eq(Verdict::Undecided));
}
