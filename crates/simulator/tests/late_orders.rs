//! Delayed operator requests without request ids: connections delay them while the operator retries
//! at other controllers, controllers are paused, and connections between controllers are delayed. A
//! request that its sender has abandoned never undoes a later acknowledged one.

#![allow(clippy::unwrap_used)]

mod common;

use googletest::prelude::*;
use grebepath_simulator::scenario::{Scenario, play, read};
use grebepath_simulator::world::{FaultyVariant, World};

/// Seeds of the runs without a faulty variant.
const SEEDS: std::ops::Range<u64> = 1..9;
/// Seeds for which the faulty variant is detected.
const VARIANT_SEEDS: std::ops::Range<u64> = 1..4;
/// The rule under test.
const RULE: u8 = 14;

fn scenario() -> Scenario {
    let path = format!("{}/../../scenarios/late-orders.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read(path).unwrap();
    read(&text, &common::load)
        .unwrap_or_else(|all| panic!("{}", grebepath_core::diagnostic::lines(&all)))
}

/// Returns the number of operators whose last request was acknowledged and therefore checked.
fn checked_operators(world: &World) -> usize {
    world.rules.operator_zones.values().filter(|sender| sender.acknowledged.is_some()).count()
}

#[googletest::test]
fn an_abandoned_request_is_not_applied_later() {
    for seed in SEEDS {
        let world = play(&scenario(), seed, None);
        expect_that!(
            world.rules.violation_counts,
            is_empty(),
            "{seed}: {:?}",
            world.rules.violations
        );
        expect_that!(
            checked_operators(&world),
            eq(2),
            "seed {seed}: both operators reach their last request"
        );
    }
}

#[googletest::test]
fn requests_with_generated_ids_are_detected() {
    for seed in VARIANT_SEEDS {
        let world = play(&scenario(), seed, Some(FaultyVariant::MakesUpRequestIds));
        let found = world.rules.violation_counts.get(&RULE).copied();
        expect_that!(found, some(ge(1)), "seed {seed}");
    }
}
