//! Rollouts in a simulated cluster: healthy versions are delivered and faulty ones rolled back,
//! also under other faults, and the checkers detect deliberately faulty variants.

#![allow(clippy::unwrap_used)]

mod common;

use grebepath_simulator::chaos::at;
use grebepath_simulator::rollout_rules::ReportedEnd;
use grebepath_simulator::scenario::play;
use grebepath_simulator::world::{FaultyVariant, World};
use serde_json::{Value, json};

/// A service that two searches use; it serves one shard of four.
const SERVICE: &str = "mohalla-notices-w48-1";
/// When rollouts are ordered (s).
const ORDERED_AT: f64 = 4.0;

/// Runs a rollout of 12 s together with other faults.
fn run_rollout(
    fault: Value,
    others: Vec<Value>,
    seed: u64,
    variant: Option<FaultyVariant>,
) -> World {
    let mut rollout = json!({ "do": "rollout", "service": SERVICE, "over_s": 12.0 });
    rollout.as_object_mut().unwrap().extend(fault.as_object().unwrap().clone());
    let mut faults = vec![at(ORDERED_AT, rollout)];
    faults.extend(others);
    let scenario = common::scenario("rollout", 24, 0.6, faults);
    play(&scenario, seed, variant)
}

/// Returns the end that was reported to the operator.
fn end(world: &World) -> Option<ReportedEnd> {
    world.rules.rollouts.ends()[SERVICE][0]
}

fn assert_ends(fault: Value, others: Vec<Value>, seed: u64, expected: ReportedEnd) {
    let world = run_rollout(fault.clone(), others, seed, None);
    let found = &world.rules.violations;
    assert!(found.is_empty(), "{fault}, seed {seed}: {found:?}");
    assert_eq!(end(&world), Some(expected), "{fault}, seed {seed}");
}

#[test]
fn a_healthy_version_is_delivered() {
    for seed in 1..4 {
        assert_ends(json!({}), Vec::new(), seed, ReportedEnd::Delivered);
    }
}

#[test]
fn faulty_versions_of_every_kind_are_rolled_back() {
    let faults = [
        json!({ "how": "errors" }),
        json!({ "how": "late" }),
        json!({ "how": "slow" }),
        json!({ "how": "under-load", "load": 2, "per_mille": 900 }),
        json!({ "how": "one-search" }),
    ];
    for (seed, fault) in (1..).zip(faults) {
        assert_ends(fault, Vec::new(), seed, ReportedEnd::Returned);
    }
}

/// Isolates a member just before a healthy version takes over. The member keeps applying the
/// previous state until its lease expires.
fn isolated_member_at_takeover() -> Vec<Value> {
    vec![at(ORDERED_AT + 8.9, json!({ "do": "cut", "a": ["q1"], "b": ["all"] }))]
}

#[test]
fn an_end_is_reported_only_when_no_member_applies_the_previous_state() {
    for seed in 1..4 {
        assert_ends(json!({}), isolated_member_at_takeover(), seed, ReportedEnd::Delivered);
    }
}

fn assert_caught(variant: FaultyVariant, rule: u8, fault: &Value, others: &[Value]) {
    for seed in 1..4 {
        let world = run_rollout(fault.clone(), others.to_vec(), seed, Some(variant));
        let counts = &world.rules.violation_counts;
        assert!(counts.contains_key(&rule), "{variant:?}, seed {seed}: only {counts:?}");
    }
}

#[test]
fn attempts_to_versions_that_are_not_in_force_are_detected() {
    assert_caught(FaultyVariant::IgnoresVersions, 15, &json!({}), &[]);
    let isolated = isolated_member_at_takeover();
    assert_caught(FaultyVariant::TellsEndsEarly, 15, &json!({}), &isolated);
}

#[test]
fn excessive_exposure_is_detected() {
    let late = json!({ "how": "late", "after_ms": 6_000 });
    assert_caught(FaultyVariant::NoExposureLimit, 16, &late, &[]);
}

#[test]
fn a_faulty_version_that_stays_in_use_is_detected() {
    assert_caught(FaultyVariant::NeverReturns, 17, &json!({ "how": "errors" }), &[]);
}

#[test]
fn a_rollout_end_that_is_not_final_is_detected() {
    assert_caught(FaultyVariant::AnswersOldRollouts, 18, &json!({ "how": "errors" }), &[]);
}
