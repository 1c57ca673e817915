//! The verdict of the watchers over drawn rollouts: how often it is false either way, and what one
//! watcher that errs alone can bring about.

use googletest::prelude::*;
use grebepath_core::random::Random;
use grebepath_core::rollout::evidence::{AnswerQuality, TrialEvidence};
use grebepath_core::rollout::verdict::{Assessment, Verdict};
use grebepath_core::time::{Span, ms};

/// Rollouts that are drawn of each kind.
const DRAWN: u64 = 10_000;
/// Looks at the votes in one rollout.
const LOOKS: u64 = 24;
/// Routes of the service, with the share of its traffic (percent).
const ROUTES: [(&str, u64); 2] = [("often", 70), ("seldom", 30)];
/// Leafs of the new version.
const LEAFS: u64 = 8;

/// A rollout as it is drawn.
struct DrawnRollout {
    watchers: u64,
    /// Answers of the new version in all.
    tried: u64,
    /// Answers of the old version for each of the new one.
    served_for_each: u64,
    /// Broken answers of any leaf, in thousandths.
    broken: u64,
    /// Slow zones: all answers that some watchers get take so many times as long.
    slow_watchers: u64,
    /// One leaf of the new version that fails half of its requests, as leafs do.
    has_sick_leaf: bool,
    /// Poor answers of the new version beyond that, in thousandths.
    excess: u64,
    /// Whether those are slow; else they are broken.
    is_slow: bool,
    /// Only on the second route.
    on_one_route: bool,
}

fn sound(random: &mut Random) -> DrawnRollout {
    DrawnRollout {
        watchers: 3 + random.below(100),
        tried: 150 + random.below(250),
        served_for_each: 10 + random.below(10),
        broken: random.below(40),
        slow_watchers: random.below(3),
        has_sick_leaf: random.chance(1, 4),
        excess: 0,
        is_slow: false,
        on_one_route: false,
    }
}

fn bad(random: &mut Random) -> DrawnRollout {
    DrawnRollout {
        excess: 250 + random.below(500),
        is_slow: random.chance(1, 3),
        on_one_route: random.chance(1, 3),
        ..sound(random)
    }
}

/// How long an answer takes: 10 to 30 ms, seldom four times as long.
fn latency(random: &mut Random) -> Span {
    let usual = ms(10) + random.below(ms(20));
    if random.chance(2, 100) { usual * 4 } else { usual }
}

struct Watchers {
    rollout: DrawnRollout,
    evidence: Vec<TrialEvidence>,
}

impl Watchers {
    fn new(rollout: DrawnRollout) -> Watchers {
        let evidence = vec![TrialEvidence::default(); rollout.watchers as usize];
        Watchers { rollout, evidence }
    }

    fn answer(&mut self, random: &mut Random, is_new: bool) {
        let rollout = &self.rollout;
        let watcher = random.below(rollout.watchers);
        let (route, _) = ROUTES[usize::from(random.below(100) >= ROUTES[0].1)];
        let leaf = random.below(LEAFS);
        let slow_down = if watcher < rollout.slow_watchers { 4 } else { 1 };
        let is_hit = is_new
            && random.chance(rollout.excess, 1_000)
            && (!rollout.on_one_route || route == ROUTES[1].0);
        let is_sick = is_new && rollout.has_sick_leaf && leaf == 0 && random.chance(1, 2);
        let is_broken = random.chance(rollout.broken, 1_000) || is_sick;
        let quality = match (is_hit, rollout.is_slow) {
            (true, false) => AnswerQuality::Bad,
            (true, true) => AnswerQuality::Good(latency(random) * slow_down * 8),
            (false, _) if is_broken => AnswerQuality::Bad,
            (false, _) => AnswerQuality::Good(latency(random) * slow_down),
        };
        let evidence = &mut self.evidence[watcher as usize];
        let known = evidence.route_mut(route);
        if is_new {
            known.new.record(quality)
        } else {
            known.old.record(quality)
        }
        if is_new && (is_hit || quality == AnswerQuality::Bad) {
            evidence.note_poor_leaf(leaf);
        }
    }

    fn verdict(&self) -> Verdict {
        let vote = Assessment {
            evidence: self.evidence.iter().collect(),
            members: self.evidence.len(),
            new_leafs: LEAFS as usize,
        };
        vote.verdict()
    }

    /// The verdict as the leader comes to it: bad at any look, good only at the last.
    fn judged(mut self, random: &mut Random) -> Verdict {
        for _ in 0..LOOKS {
            for _ in 0..self.rollout.tried / LOOKS {
                self.answer(random, true);
                for _ in 0..self.rollout.served_for_each {
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

/// How many of the drawn rollouts come to each verdict.
#[derive(Debug, Default)]
struct Counts {
    good: u64,
    bad: u64,
    undecided: u64,
}

fn judge_all(draw: impl Fn(&mut Random) -> DrawnRollout) -> Counts {
    let mut counts = Counts::default();
    for seed in 0..DRAWN {
        let mut random = Random::new(seed);
        let watchers = Watchers::new(draw(&mut random));
        match watchers.judged(&mut random) {
            Verdict::Good => counts.good += 1,
            Verdict::Bad => counts.bad += 1,
            Verdict::Undecided => counts.undecided += 1,
        }
    }
    counts
}

#[googletest::test]
fn of_ten_thousand_bad_versions_hardly_one_passes() {
    let counts = judge_all(bad);
    println!("bad versions: {counts:?}");
    expect_that!(counts.good, le(DRAWN / 1_000));
}

#[googletest::test]
fn of_ten_thousand_sound_versions_hardly_one_is_condemned() {
    let counts = judge_all(sound);
    println!("sound versions: {counts:?}");
    expect_that!(counts.bad, le(DRAWN / 1_000));
    expect_that!(counts.good, ge(DRAWN * 8 / 10));
}

/// Watchers of a version, each with the same answers.
fn uniform(watchers: usize, old_good: u32, new_good: u32, new_bad: u32) -> Vec<TrialEvidence> {
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
    vec![evidence; watchers]
}

fn verdict(evidence: &[TrialEvidence]) -> Verdict {
    let members = evidence.len();
    Assessment { evidence: evidence.iter().collect(), members, new_leafs: 8 }.verdict()
}

#[googletest::test]
fn a_watcher_that_errs_alone_condemns_nothing() {
    let mut watchers = uniform(20, 60, 4, 0);
    watchers.extend(uniform(1, 60, 0, 500));
    expect_that!(verdict(&watchers), not(eq(Verdict::Bad)));
}

#[googletest::test]
fn a_watcher_that_praises_alone_saves_no_bad_version() {
    let mut watchers = uniform(20, 60, 2, 2);
    watchers.extend(uniform(1, 60, 1_000_000, 0));
    expect_that!(verdict(&watchers), eq(Verdict::Bad));
}

#[googletest::test]
fn without_most_of_the_traffic_nothing_is_found_good() {
    let mut watchers = uniform(5, 60, 30, 0);
    expect_that!(verdict(&watchers), eq(Verdict::Good));
    watchers.extend(uniform(6, 60, 0, 0));
    expect_that!(verdict(&watchers), eq(Verdict::Undecided));
}

#[googletest::test]
fn a_route_without_answers_of_the_new_version_keeps_it_from_being_found_good() {
    let mut watchers = uniform(5, 60, 30, 0);
    for _ in 0..20 {
        watchers[0].route_mut("other").old.record(AnswerQuality::Good(ms(20)));
    }
    expect_that!(verdict(&watchers), eq(Verdict::Undecided));
}
