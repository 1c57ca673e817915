//! Two operators change the same edition through three controllers, and a fault occurs at each
//! step of the write. Whichever requests are sent again, at once or later: at most one of the two
//! texts is accepted, an accepted request is never rejected, and a rejected request is never in
//! force.

mod cluster;
mod races;

use googletest::prelude::*;
use races::cases::{races, races_of};
use races::{Fault, Race, STAGES, Stage, config_change, run_race};

/// Runs all races of a stage and checks that none violates an invariant. Returns the number of
/// races, of accepted first requests, and of leader changes.
fn count_outcomes(stage: Stage) -> (usize, usize, usize) {
    let all = races(stage);
    let (mut first, mut leader_changes) = (0, 0);
    for race in &all {
        let outcome = run_race(race);
        assert!(outcome.violations.is_empty(), "{race:?}: {:#?}", outcome.violations);
        first += usize::from(outcome.first_accepted);
        leader_changes += usize::from(outcome.leader_changed);
    }
    println!(
        "{stage:?}: {} races, first accepted {first}, leader changed {leader_changes}",
        all.len()
    );
    (all.len(), first, leader_changes)
}

/// Checks that either request may win, and that the leader changes in many of the races.
fn check_either_request_may_win(stage: Stage) {
    let (count, first, leader_changes) = count_outcomes(stage);
    assert!(
        first > 0 && first < count && leader_changes > count / 3,
        "{count} {first} {leader_changes}"
    );
}

/// Checks that the first request always wins, as a write on the disks of a majority is never lost.
fn check_first_request_always_wins(stage: Stage) {
    let (count, first, leader_changes) = count_outcomes(stage);
    assert!(first == count && leader_changes > count / 3, "{count} {first} {leader_changes}");
}

#[test]
fn either_request_may_win_if_none_has_reached_the_leader() {
    check_either_request_may_win(Stage::Arrived);
}

#[test]
fn either_request_may_win_if_only_in_the_leaders_memory() {
    check_either_request_may_win(Stage::Appended);
}

#[test]
fn either_request_may_win_if_only_on_the_leaders_disk() {
    check_either_request_may_win(Stage::LeaderSynced);
}

#[test]
fn either_request_may_win_if_only_on_one_followers_disk() {
    check_either_request_may_win(Stage::FollowerSynced);
}

#[test]
fn a_request_on_a_majority_of_disks_wins_before_the_leader_knows() {
    check_first_request_always_wins(Stage::MajoritySynced);
}

#[test]
fn a_request_on_all_disks_wins_before_the_leader_knows() {
    check_first_request_always_wins(Stage::AllSynced);
}

#[test]
fn a_committed_request_wins_while_its_answer_is_in_transit() {
    check_first_request_always_wins(Stage::Committed);
}

#[test]
fn an_answered_request_wins() {
    check_first_request_always_wins(Stage::Answered);
}

#[test]
fn requests_are_consistent_through_two_leader_failures() {
    // Each leader fails during the write of one of the two requests.
    let mut count = 0;
    for stage in STAGES {
        for (number, mut race) in races(stage).into_iter().enumerate() {
            if !matches!(race.fault, Fault::LeaderKilled { .. } | Fault::LeaderIsolated { .. }) {
                continue;
            }
            race.rival_stage = Some(STAGES[(number / 3 + number) % STAGES.len()]);
            let violations = run_race(&race).violations;
            assert!(violations.is_empty(), "{race:?}: {violations:#?}");
            count += 1;
        }
    }
    println!("{count} races");
}

#[test]
fn requests_at_a_paused_leader_are_consistent() {
    // When resumed, it acts as the leader until it receives a message of the next leader.
    for stage in STAGES {
        for race in races_of(stage, &[Fault::LeaderPaused]) {
            let violations = run_race(&race).violations;
            assert!(violations.is_empty(), "{race:?}: {violations:#?}");
        }
    }
}

// ---- injected defects --------------------------------------------------------

/// Returns the violations that are found in races with this change.
fn violations_found(change: impl Fn(&mut Race)) -> String {
    let mut all = String::new();
    for stage in [Stage::MajoritySynced, Stage::Answered] {
        for mut race in races(stage).into_iter().step_by(11) {
            change(&mut race);
            all.push_str(&run_race(&race).violations.join("\n"));
        }
    }
    all
}

#[googletest::test]
fn loss_of_the_deduplication_table_is_detected() {
    let violations = violations_found(|race| race.loses_dedup_state = true);
    expect_that!(violations, contains_substring("accepted and refused"));
}

#[googletest::test]
fn two_requests_accepted_on_one_base_are_detected() {
    let violations = violations_found(|race| {
        race.first = config_change(false, None, 0, "first");
        race.rival = config_change(false, None, 0, "rival");
    });
    expect_that!(violations, contains_substring("both accepted"));
    expect_that!(violations, not(contains_substring("applied twice")));
}

#[googletest::test]
fn a_resent_request_that_is_applied_twice_is_detected() {
    let violations = violations_found(|race| {
        race.first = config_change(false, None, 0, "first");
        race.loses_dedup_state = true;
    });
    expect_that!(violations, contains_substring("first was applied twice"));
}
