//! A paused querier that resumes while the controllers are unreachable must not use leafs that the
//! other queriers know to be leaving.

mod common;

use grebepath_simulator::scenario::{play, read};
use serde_json::json;

/// Number of seeds.
const SEEDS: u64 = 4;

#[test]
fn a_querier_resumed_without_controllers_uses_no_leaf_known_to_leave() {
    // Found with random faults: seed 31033 of `soak-tight.json`.
    let stop = |which: u64| json!({ "at_s": 9.2, "do": "stop-seat", "for_s": 6.2, "which": which });
    let scenario = json!({
        "name": "waking-member", "deployment": "tight", "seconds": 20, "queriers": 7, "factor": 0.3,
        "troubles": [
            { "at_s": 1.0, "do": "storm", "count": 60, "gap_ms": 250 },
            { "at_s": 3.9, "do": "leafs", "mode": "dark", "ms": 558,
              "service": "mohalla-notices-w48-2" },
            { "at_s": 7.6, "do": "leave-leafs", "count": 2, "service": "mohalla-notices-w48-2" },
            { "at_s": 7.7, "do": "pause-querier", "for_s": 6.4, "which": 5 },
            stop(0),
            stop(1),
            { "at_s": 10.1, "do": "leafs", "mode": "good", "service": "mohalla-notices-w48-2" },
        ]
    });
    let scenario = read(scenario.to_string().as_bytes(), &common::load)
        .unwrap_or_else(|all| panic!("{}", grebepath_core::diagnostic::lines(&all)));
    for seed in 1..=SEEDS {
        let world = play(&scenario, seed, None);
        let violations = &world.rules.violations;
        assert!(violations.is_empty(), "seed {seed}: {:?}", violations.first());
    }
}
