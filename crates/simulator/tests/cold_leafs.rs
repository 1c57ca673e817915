//! The rate limit of leafs in slow start holds across the cluster while its membership changes.

#![allow(clippy::unwrap_used)]

mod common;

use grebepath_simulator::scenario::{Scenario, play, read};
use grebepath_simulator::world::FaultyVariant;
use proptest::prelude::{Strategy, any, prop_assert};
use proptest::{collection, prop_oneof, proptest};
use serde_json::{Value, json};

/// Queriers of the cluster (count).
const QUERIERS: u64 = 5;
/// Interval in which faults occur (ms).
const FAULTS_MS: u64 = 10_000;

fn scenario(faults: Vec<Value>) -> Scenario {
    let scenario = json!({ "name": "cold-leafs", "seconds": FAULTS_MS / 1_000 + 4,
                           "queriers": QUERIERS, "factor": 0.05, "troubles": faults });
    read(scenario.to_string().as_bytes(), &common::load)
        .unwrap_or_else(|all| panic!("{}", grebepath_core::diagnostic::lines(&all)))
}

/// Generates a fault of a querier, a controller or the network between them.
fn fault() -> impl Strategy<Value = Value> {
    let at = (0..FAULTS_MS).prop_map(|ms| ms as f64 / 1e3);
    let span = (1..40u64).prop_map(|tenths| tenths as f64 / 10.0);
    let what = prop_oneof![
        (0..QUERIERS).prop_map(|which| json!({ "do": "kill-querier", "which": which })),
        (0..QUERIERS).prop_map(|which| json!({ "do": "stop-querier", "which": which })),
        (0..QUERIERS).prop_map(|which| json!({ "do": "pause-querier", "which": which })),
        (0..3u64).prop_map(|which| json!({ "do": "kill-seat", "which": which })),
        (0..3u64).prop_map(|which| json!({ "do": "pause-seat", "which": which })),
        (0..QUERIERS).prop_map(|which| {
            json!({ "do": "cut", "a": [format!("q{which}")], "b": ["seat0", "seat1", "seat2"] })
        }),
        (0..QUERIERS, 0..QUERIERS).prop_map(|(a, b)| {
            json!({ "do": "cut", "a": [format!("q{a}")], "b": [format!("q{b}")] })
        }),
        any::<bool>().prop_map(|_| json!({ "do": "heal" })),
    ];
    (at, span, what).prop_map(|(at, span, mut fault)| {
        fault["at_s"] = json!(at);
        let lasts = fault["do"] != "cut" && fault["do"] != "heal";
        if lasts {
            fault["for_s"] = json!(span);
        }
        fault
    })
}

/// Returns the violations of the rate limit.
fn violations(faults: &[Value], seed: u64, variant: Option<FaultyVariant>) -> Vec<String> {
    let world = play(&scenario(faults.to_vec()), seed, variant);
    let of_rate = world.rules.violations.iter().filter(|found| found.text.contains("cold"));
    of_rate.map(|found| format!("{found:?}")).collect()
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..Default::default()
    })]

    #[test]
    fn no_second_exceeds_the_rate_of_a_cold_leaf(
        faults in collection::vec(fault(), 1..12),
        seed in 1..1_000u64,
    ) {
        let found = violations(&faults, seed, None);
        prop_assert!(found.is_empty(), "{found:?}");
    }
}

/// Restarts a querier after its lease has expired, just after another one was isolated, which keeps
/// serving under its lease.
fn restart_one_while_another_is_isolated(returns: u64, isolated: u64) -> Vec<Value> {
    let others: Vec<String> = (0..QUERIERS).map(|q| format!("q{q}")).collect();
    let controllers: Vec<String> = (0..3).map(|controller| format!("seat{controller}")).collect();
    let all: Vec<String> = others.into_iter().chain(controllers).collect();
    vec![
        json!({ "do": "kill-querier", "at_s": 1.0, "which": returns, "for_s": 6.0 }),
        json!({ "do": "cut", "at_s": 6.9, "a": [format!("q{isolated}")], "b": all }),
    ]
}

#[test]
fn unsettled_members_that_warm_leafs_up_are_detected() {
    let mut caught = 0;
    for returns in 0..QUERIERS {
        for isolated in (0..QUERIERS).filter(|which| *which != returns) {
            let faults = restart_one_while_another_is_isolated(returns, isolated);
            assert!(violations(&faults, 1, None).is_empty());
            let variant = Some(FaultyVariant::WarmsUpByUnsettledMembers);
            caught += usize::from(!violations(&faults, 1, variant).is_empty());
        }
    }
    assert!(caught > 0);
}
