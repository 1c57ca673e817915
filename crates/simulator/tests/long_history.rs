//! Hundreds of changes on the real file formats while voters leave and return: logs are rotated,
//! snapshot transfers are interrupted, and disks fill up, stall, corrupt data and lose power. At
//! the end every voter holds all accepted changes.

#![allow(clippy::unwrap_used)]

mod common;

use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::time::SECOND;
use grebepath_simulator::chaos::at;
use grebepath_simulator::scenario::{Scenario, play, read};
use grebepath_simulator::world::World;
use serde_json::{Value, json};

fn build_scenario(seconds: u64, more: Vec<Value>) -> Scenario {
    let mut faults = vec![
        at(0.2, json!({ "do": "grow", "pools": 12, "bytes": 6_000 })),
        at(0.5, json!({ "do": "storm", "count": 700, "gap_ms": 30 })),
    ];
    faults.extend(more);
    let val = json!({ "name": "long-history", "seconds": seconds, "queriers": 4, "factor": 0.02,
                      "seats": 3, "controllers": 3, "troubles": faults });
    read(val.to_string().as_bytes(), &common::load)
        .unwrap_or_else(|all| panic!("{}", grebepath_core::diagnostic::lines(&all)))
}

fn accepted(world: &World) -> usize {
    world
        .operator_requests
        .iter()
        .filter(|o| matches!(o.result, Some(OperationResult::Accepted { .. })))
        .count()
}

/// Runs with several seeds; each must end recovered and with the same state on all voters.
fn assert_no_violation(name: &str, scenario: &Scenario) {
    std::thread::scope(|scope| {
        for seed in 0..4 {
            scope.spawn(move || {
                let mut world = play(scenario, seed, None);
                let recovered =
                    world.until(20 * SECOND, |world| world.settled() && world.all_slots_voting());
                let recent_log =
                    || world.rules.recent_log.iter().cloned().collect::<Vec<_>>().join("\n");
                assert!(
                    world.rules.violations.is_empty(),
                    "{name}, {seed}: {:?}",
                    world.rules.violations
                );
                assert!(recovered, "{name}, {seed}: not recovered\n{}", recent_log());
                assert!(accepted(&world) > 400, "{name}, {seed}: {} accepted", accepted(&world));
                // The last changes may still be replicating.
                let same = world.until(5 * SECOND, |world| {
                    let copy = |s: usize| &world.controllers[s].state.partitions[0].state;
                    (1..3).all(|s| copy(s) == copy(0))
                });
                assert!(same, "{name}, {seed}: the replicas differ");
            });
        }
    });
}

fn kill(which: u64, from: f64, more: Value) -> Value {
    let mut val = json!({ "do": "kill-seat", "which": which });
    for (key, value) in more.as_object().unwrap() {
        val[key] = value.clone();
    }
    at(from, val)
}

#[test]
fn a_voter_that_missed_hundreds_of_changes_catches_up() {
    for which in 0..3u64 {
        let down = kill(which, 1.0, json!({ "for_s": 16.0, "power": true }));
        assert_no_violation("down", &build_scenario(24, vec![down]));
        let lost = kill(which, 1.0, json!({ "for_s": 16.0, "lose": true }));
        assert_no_violation("disk lost", &build_scenario(24, vec![lost]));
    }
}

#[test]
fn a_transfer_interrupted_by_power_losses_completes() {
    for which in 0..3u64 {
        let mut faults = vec![kill(which, 1.0, json!({ "for_s": 12.0, "lose": true }))];
        for (number, wait) in [0.01, 0.05, 0.2, 0.7, 1.2, 1.25].into_iter().enumerate() {
            let from = 13.0 + number as f64 * 1.4 + wait;
            faults.push(kill(which, from, json!({ "for_s": 0.1, "power": true })));
        }
        assert_no_violation("transfer cut", &build_scenario(26, faults));
    }
}

#[test]
fn a_transfer_survives_a_full_stalled_or_corrupted_disk() {
    for health in ["full", "stalled", "slow"] {
        let faults = vec![
            kill(1, 1.0, json!({ "for_s": 12.0, "power": true })),
            at(13.01, json!({ "do": "disk", "which": 1, "health": health, "ms": 80 })),
            at(17.0, json!({ "do": "disk", "which": 1, "health": "good" })),
        ];
        assert_no_violation(health, &build_scenario(26, faults));
    }
    let rot = vec![
        kill(2, 1.0, json!({ "for_s": 12.0 })),
        at(12.9, json!({ "do": "flip", "which": 2 })),
        at(15.0, json!({ "do": "flip", "which": 0 })),
    ];
    assert_no_violation("rot", &build_scenario(28, rot));
}

#[test]
fn a_returned_voter_leads_right_after_its_return() {
    // The leader and then the other voter are killed while the returned voter catches up.
    for wait in [0.05, 0.2, 0.5, 1.0, 2.0] {
        let faults = vec![
            kill(0, 1.0, json!({ "for_s": 12.0 })),
            kill(1, 13.0 + wait, json!({ "for_s": 3.0, "power": true })),
            kill(2, 18.0 + wait, json!({ "for_s": 3.0, "power": true })),
        ];
        assert_no_violation("leads after returning", &build_scenario(28, faults));
    }
}
