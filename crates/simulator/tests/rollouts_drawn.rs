//! Rollouts of random versions under random faults: no version gets requests that it must not get,
//! and the end of a rollout is final.

mod common;

use grebepath_simulator::chaos::at;
use grebepath_simulator::scenario::play;
use proptest::prelude::{Strategy, any, prop_assert};
use proptest::{collection, prop_oneof, proptest};
use serde_json::{Value, json};

/// Queriers of the cluster (count), as in `common::scenario`.
const QUERIERS: u64 = 7;
/// Services that are rolled out, each with a search that uses it.
const SERVICES: [(&str, &str); 2] =
    [("mohalla-notices-w48-1", "browse"), ("mohalla-alerts-w48-0", "alert")];
/// Rules that rollouts may break.
const ROLLOUT_RULES: [u8; 4] = [15, 16, 17, 18];

/// Generates a fault of a querier, a controller or the network between them.
fn fault() -> impl Strategy<Value = Value> {
    let when = (20..160u64).prop_map(|tenths| tenths as f64 / 10.0);
    let span = (1..50u64).prop_map(|tenths| tenths as f64 / 10.0);
    let what = prop_oneof![
        (0..QUERIERS).prop_map(|which| json!({ "do": "kill-querier", "which": which })),
        (0..QUERIERS).prop_map(|which| json!({ "do": "stop-querier", "which": which })),
        (0..QUERIERS).prop_map(|which| json!({ "do": "pause-querier", "which": which })),
        (0..3u64, any::<bool>()).prop_map(
            |(which, power)| json!({ "do": "kill-seat", "which": which, "power": power })
        ),
        (0..3u64).prop_map(|which| json!({ "do": "pause-seat", "which": which })),
        (0..QUERIERS, any::<bool>()).prop_map(|(which, one_way)| {
            json!({ "do": "cut", "a": [format!("q{which}")], "b": ["all"], "one_way": one_way })
        }),
        (0..3u64).prop_map(|which| {
            json!({ "do": "cut", "a": [format!("seat{which}")], "b": ["seats"] })
        }),
        any::<bool>().prop_map(|_| json!({ "do": "heal" })),
    ];
    (when, span, what).prop_map(|(when, span, mut fault)| {
        let lasts = fault["do"] != "cut" && fault["do"] != "heal";
        if lasts {
            fault["for_s"] = json!(span);
        }
        at(when, fault)
    })
}

/// Generates a rollout of a healthy or a faulty version.
fn rollout() -> impl Strategy<Value = Value> {
    let how = prop_oneof![
        any::<bool>().prop_map(|_| json!({})),
        (250..900u64).prop_map(|part| json!({ "how": "errors", "per_mille": part })),
        (250..900u64, 1..5u64).prop_map(
            |(part, s)| json!({ "how": "late", "per_mille": part, "after_ms": s * 1_000 })
        ),
        (250..900u64).prop_map(|part| json!({ "how": "slow", "per_mille": part })),
        (400..900u64).prop_map(|part| json!({ "how": "one-search", "per_mille": part })),
    ];
    (0..SERVICES.len(), 20..60u64, 10..16u64, how).prop_map(|(service, tenths, over_s, how)| {
        let (service, search) = SERVICES[service];
        let mut rollout = json!({ "do": "rollout", "service": service, "over_s": over_s });
        // A version that fails only for a search that never uses it counts as healthy.
        if how["how"] == "one-search" {
            rollout["search"] = json!(search);
        }
        if let (Some(rollout), Some(how)) = (rollout.as_object_mut(), how.as_object()) {
            rollout.extend(how.clone());
        }
        at(tenths as f64 / 10.0, rollout)
    })
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 16,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        ..Default::default()
    })]

    #[test]
    fn no_version_gets_forbidden_requests_and_ends_are_final(
        rollout in rollout(),
        faults in collection::vec(fault(), 0..8),
        seed in 1..1_000u64,
    ) {
        let mut all_faults = vec![rollout];
        all_faults.extend(faults);
        let world = play(&common::scenario("rollouts", 26, 0.5, all_faults), seed, None);
        let violations: Vec<_> = world.rules.violations.iter()
            .filter(|found| ROLLOUT_RULES.contains(&found.rule)).collect();
        prop_assert!(violations.is_empty(), "{violations:?}");
    }
}
