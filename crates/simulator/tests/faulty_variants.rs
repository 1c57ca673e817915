//! Each checker detects the faulty variant that violates its rule, and reports nothing for the same
//! scenario without the variant.

#![allow(clippy::unwrap_used)]

mod common;

use grebepath_simulator::chaos::at;
use grebepath_simulator::scenario::play;
use grebepath_simulator::world::FaultyVariant;
use serde_json::{Value, json};

/// Runs a case in both deployments, each with a different seed.
fn case(name: &str, rule: u8, variant: FaultyVariant, faults: Vec<Value>) {
    play_case(name, (18, 0.06), rule, variant, faults);
}

fn play_case(
    name: &str,
    (seconds, factor): (u64, f64),
    rule: u8,
    variant: FaultyVariant,
    faults: Vec<Value>,
) {
    for (deployment, seed) in [("mohalla", 7), ("kahurangi", 8)] {
        let faults = faults.iter().map(|t| translate_fault(t, deployment)).collect();
        let mut s = common::scenario(name, seconds, factor, faults);
        let standins = common::load(&format!("{deployment}.standins.json")).unwrap();
        s.spec = grebepath_simulator::spec::parse(&standins).unwrap();
        s.config = common::load(&format!("{deployment}.json")).unwrap();
        let unmodified = play(&s, seed, None);
        let found = &unmodified.rules.violations;
        assert!(found.is_empty(), "{name}, {deployment}, without the variant: {found:?}");
        let bad = play(&s, seed, Some(variant));
        assert!(
            bad.rules.violation_counts.contains_key(&rule),
            "{name}, {deployment}: {variant:?} did not violate rule {rule}, only {:?}",
            bad.rules.violation_counts
        );
        assert!(!bad.rules.event_log.is_empty(), "{name}: the violation has no event log");
    }
}

/// Translates a fault to the service names of the given deployment.
fn translate_fault(fault: &Value, deployment: &str) -> Value {
    let mut text = fault.to_string();
    if deployment == "kahurangi" {
        let names = [
            ("notices", "fleet"),
            ("alerts", "faults"),
            ("archive", "units"),
            ("history", "parts"),
        ];
        for (ours, theirs) in names {
            text = text.replace(&format!("mohalla-{ours}"), &format!("kahurangi-{theirs}"));
        }
    }
    serde_json::from_str(&text).unwrap()
}

fn dark_shard() -> Vec<Value> {
    vec![at(1.0, json!({ "do": "leafs", "service": "mohalla-notices-w48-2", "mode": "dark" }))]
}

#[test]
fn a_claimed_shard_that_did_not_answer_is_detected() {
    case("claim", 1, FaultyVariant::ClaimsAllShards, dark_shard());
    case("twice", 1, FaultyVariant::RepeatsShard, Vec::new());
}

#[test]
fn wrong_index_versions_and_misordered_records_are_detected() {
    case("cut", 2, FaultyVariant::WrongIndexVersion, Vec::new());
    case("order", 4, FaultyVariant::MisordersRecords, Vec::new());
}

#[test]
fn success_below_quorum_is_detected() {
    let two = vec![
        at(1.0, json!({ "do": "leafs", "service": "mohalla-notices-w48-2", "mode": "dark" })),
        at(1.0, json!({ "do": "leafs", "service": "mohalla-notices-w48-1", "mode": "dark" })),
    ];
    case("quorum", 3, FaultyVariant::SucceedsBelowQuorum, two);
}

#[test]
fn a_question_altered_in_transit_is_detected() {
    case("question", 5, FaultyVariant::AltersQuestion, Vec::new());
}

#[test]
fn an_attempt_that_reaches_another_service_is_detected() {
    let reuse = json!({ "do": "reuse", "service": "mohalla-archive-w48-0", "count": 20,
                        "by": "mohalla-history-w48-0" });
    case("reuse", 6, FaultyVariant::NoIdentityCheck, vec![at(2.0, reuse)]);
}

#[test]
fn attempts_to_a_leaf_that_only_a_peer_knows_to_leave_are_detected() {
    let gone = (0..3).map(|i| at(2.0, json!({ "do": "kill-seat", "which": i, "for_s": 16 })));
    let leave = json!({ "do": "leave-leafs", "service": "mohalla-archive-w48-0", "count": 14 });
    case("words", 7, FaultyVariant::NoLeafReports, gone.chain([at(4.0, leave)]).collect());
}

#[test]
fn attempts_to_a_leaving_leaf_or_a_drained_zone_are_detected() {
    let leave =
        at(2.0, json!({ "do": "leave-leafs", "service": "mohalla-notices-w48-0", "count": 2 }));
    case("leave", 7, FaultyVariant::IgnoresLeavingLeafs, vec![leave]);
    case(
        "drain",
        8,
        FaultyVariant::IgnoresDrainedZones,
        vec![at(2.0, json!({ "do": "drain", "zone": "a" }))],
    );
}

#[test]
fn stale_and_reverted_configurations_are_detected() {
    let storm = at(2.0, json!({ "do": "storm", "count": 20, "gap_ms": 100 }));
    case("deaf", 9, FaultyVariant::KeepsStaleSnapshot, vec![storm.clone()]);
    // A restarted querier reaches only a voter that was isolated during the changes.
    let slip = vec![
        at(1.0, json!({ "do": "cut", "a": ["seat0"], "b": ["seats"] })),
        storm,
        at(5.0, json!({ "do": "kill-querier", "which": 3, "for_s": 0.5 })),
        at(5.2, json!({ "do": "cut", "a": ["q3"], "b": ["seat1", "seat2"] })),
        at(9.0, json!({ "do": "heal" })),
    ];
    case("slip", 9, FaultyVariant::RevertsConfiguration, slip);
}

#[test]
fn too_many_retries_are_detected() {
    // Leafs that reject all work are not ejected, because they are not faulty: only the retry
    // budget prevents a retry storm.
    let busy = (0..4)
        .map(|i| {
            let service = format!("mohalla-notices-w48-{i}");
            at(3.0, json!({ "do": "leafs", "service": service, "mode": "unrun" }))
        })
        .collect();
    play_case("retries", (18, 0.5), 10, FaultyVariant::NoRetryBudget, busy);
}

#[test]
fn overloading_new_leafs_is_detected() {
    // Only one newly started leaf of a shard is left.
    let service = "mohalla-notices-w48-0";
    let restart = vec![
        at(2.0, json!({ "do": "kill-leafs", "service": service, "count": 3 })),
        at(2.0, json!({ "do": "restart-leafs", "service": service })),
    ];
    play_case("ramp", (12, 1.0), 11, FaultyVariant::NoAllocation, restart);
}

#[test]
fn a_disk_that_acknowledges_before_sync_is_detected() {
    // All machines lose power during a burst of operator requests, once per seed.
    let mut caught = 0;
    for seed in 0..6 {
        let faults = vec![
            at(1.0, json!({ "do": "storm", "count": 60, "gap_ms": 40 })),
            at(1.0, json!({ "do": "disk", "which": 0, "health": "slow", "ms": 30 })),
            at(1.0, json!({ "do": "disk", "which": 1, "health": "slow", "ms": 30 })),
            at(1.0, json!({ "do": "disk", "which": 2, "health": "slow", "ms": 30 })),
            at(2.5, json!({ "do": "restart-all", "power": true, "for_s": 1.0 })),
        ];
        let s = common::scenario("early", 20, 0.02, faults);
        let unmodified = play(&s, seed, None);
        assert!(
            unmodified.rules.violation_counts.is_empty(),
            "seed {seed}: {:?}",
            unmodified.rules.violations
        );
        let bad = play(&s, seed, Some(FaultyVariant::AcknowledgesBeforeSync));
        caught += u64::from(bad.rules.violation_counts.contains_key(&12));
    }
    assert!(caught > 0, "no early acknowledgement was detected in six runs");
}

#[test]
fn silently_corrupted_disks_are_detected() {
    // Bits flip on all three disks, and about half a minute later all machines lose power.
    let flips =
        (0..18).map(|i| at(5.0 + f64::from(i) / 20.0, json!({ "do": "flip", "which": i % 3 })));
    let power = at(30.0, json!({ "do": "restart-all", "power": true, "for_s": 1.0 }));
    play_case("rot", (50, 0.04), 12, FaultyVariant::NoScrub, flips.chain([power]).collect());
}
