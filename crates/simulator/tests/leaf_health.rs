//! Recovering leafs, and leafs behind a slow network. Guards against failures that random faults of
//! `soak-tight.json` found.

mod common;

use grebepath_simulator::scenario::{play, read};
use grebepath_simulator::world::World;
use serde_json::{Value, json};

/// Number of seeds per scenario.
const SEEDS: u64 = 3;

fn play_tight(seconds: u64, faults: Value, seed: u64) -> World {
    let scenario = json!({ "name": "leaf-health", "deployment": "tight", "seconds": seconds,
                           "queriers": 7, "factor": 0.3, "troubles": faults });
    let scenario = read(scenario.to_string().as_bytes(), &common::load)
        .unwrap_or_else(|all| panic!("{}", grebepath_core::diagnostic::lines(&all)));
    play(&scenario, seed, None)
}

fn assert_sound(seconds: u64, faults: &Value) {
    for seed in 1..=SEEDS {
        let world = play_tight(seconds, faults.clone(), seed);
        let violations = &world.rules.violations;
        assert!(violations.is_empty(), "seed {seed}: {:?}", violations.first());
    }
}

#[test]
fn new_leafs_tolerate_a_network_slower_than_their_work() {
    // A leaf receives the cancellation of an attempt after the request, not before it.
    let faults = json!([
        { "at_s": 3.5, "do": "restart-leafs", "service": "mohalla-notices-w48-1" },
        { "at_s": 9.5, "do": "slow-net", "ms": 62 },
    ]);
    assert_sound(30, &faults);
}

#[test]
fn leafs_that_rejected_everything_serve_fully_after_twelve_seconds() {
    let faults = json!([
        { "at_s": 27.4, "do": "leafs", "mode": "unrun", "ms": 286, "zone": "a" },
        { "at_s": 44.0, "do": "mend-all", "factor": 0.3 },
    ]);
    assert_sound(60, &faults);
}
