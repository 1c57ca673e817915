//! Tests that the requests to a version under trial, summed over all nodes, stay below their share
//! and slack, whichever nodes restart and whenever the surge begins.

use googletest::prelude::*;
use grebepath_core::random::Random;
use grebepath_core::rollout::evidence::AnswerQuality;
use grebepath_core::rollout::record::TrialStep;
use grebepath_core::rollout::trial::{ExposureLimit, Trial, TrialState};
use grebepath_core::time::ms;

const LIMIT: ExposureLimit = ExposureLimit { per_thousand: 100, slack: 50, max_bad_answers: 3 };

fn trial(seen_from_start: bool) -> Trial {
    Trial {
        service: "s".into(),
        ordered_revision: 7,
        step: TrialStep::Steady,
        leafs: Vec::new(),
        is_in_force: false,
        seen_from_start,
    }
}

fn new_state(threads: u64, seen_from_start: bool, random: &mut Random) -> TrialState {
    TrialState::new(&trial(seen_from_start), LIMIT, threads, random.below(1_000))
}

#[googletest::test]
fn total_exposure_stays_within_the_limit_through_restarts() {
    let mut total_trial_requests = 0;
    for seed in 0..200 {
        let mut random = Random::new(seed);
        let threads = 1 + random.below(400);
        let mut nodes: Vec<TrialState> =
            (0..threads).map(|_| new_state(threads, true, &mut random)).collect();
        let (mut answers, mut trial_requests) = (0, 0);
        let surge = random.below(10_000)..10_000;
        for at in 0..10_000 {
            let step = if surge.contains(&at) { TrialStep::Surge } else { TrialStep::Steady };
            let node = random.below(threads) as usize;
            if random.chance(1, 200) {
                nodes[node] = new_state(threads, false, &mut random);
            }
            answers += 1;
            nodes[node].earn();
            if nodes[node].can_spend(step) {
                nodes[node].spend(step);
                trial_requests += 1;
            }
            assert!(
                trial_requests <= answers / 10 + 50,
                "seed {seed}: {trial_requests} of {answers}"
            );
        }
        total_trial_requests += trial_requests;
    }
    // Guards against nodes that keep the limit by sending hardly any requests.
    expect_that!(total_trial_requests, gt(200 * 10_000 / 50));
}

#[googletest::test]
fn saved_credit_is_spent_only_in_the_surge() {
    let mut random = Random::new(1);
    let mut node = new_state(1, false, &mut random);
    for _ in 0..1_000 {
        node.earn();
    }
    let spend_all = |node: &mut TrialState, step| {
        let mut spent = 0;
        while node.can_spend(step) {
            node.spend(step);
            spent += 1;
        }
        spent
    };
    expect_that!(spend_all(&mut node, TrialStep::Steady), eq(1));
    expect_that!(spend_all(&mut node, TrialStep::Surge), gt(40));
    expect_that!(spend_all(&mut node, TrialStep::Watch), eq(0));
}

#[googletest::test]
fn a_thread_stops_sending_after_bad_answers() {
    let mut random = Random::new(1);
    let mut node = new_state(1, false, &mut random);
    for _ in 0..1_000 {
        node.earn();
    }
    for leaf in 0..3 {
        expect_that!(node.can_spend(TrialStep::Surge), eq(true));
        node.record("r", leaf, true, AnswerQuality::Bad);
    }
    expect_that!(node.can_spend(TrialStep::Surge), eq(false));
}

#[googletest::test]
fn a_slow_answer_of_the_new_version_marks_its_leaf_as_poor() {
    let mut random = Random::new(1);
    let mut node = new_state(1, false, &mut random);
    for _ in 0..20 {
        node.record("r", 1, false, AnswerQuality::Good(ms(20)));
    }
    node.record("r", 2, true, AnswerQuality::Good(ms(30)));
    expect_that!(node.evidence.poor_leafs.is_empty(), eq(true));
    node.record("r", 3, true, AnswerQuality::Good(ms(200)));
    expect_that!(node.evidence.poor_leafs.len(), eq(1));
}
