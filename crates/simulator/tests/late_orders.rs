//! Operators without ids, whose connections hold what they send while they go on to other
//! controllers; controllers that stand still or whose own connections hold their messages. An
//! order whose sender has gone on never undoes a later one that was acknowledged.

#![allow(clippy::unwrap_used)]

mod common;

use googletest::prelude::*;
use grebepath_simulator::scenario::{Scenario, play, read};
use grebepath_simulator::world::{FaultyVariant, World};

/// Seeds of which each is played.
const SEEDS: std::ops::Range<u64> = 1..9;
/// Seeds in which the variant is caught.
const VARIANT_SEEDS: std::ops::Range<u64> = 1..4;
/// The rule that is judged.
const RULE: u8 = 14;

fn scenario() -> Scenario {
    let path = format!("{}/../../scenarios/late-orders.json", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read(path).unwrap();
    read(&text, &common::load)
        .unwrap_or_else(|all| panic!("{}", grebepath_core::diagnostic::lines(&all)))
}

/// Operators' last orders that were acknowledged (count): so many were judged at the end.
fn judged(world: &World) -> usize {
    world.rules.operator_zones.values().filter(|sender| sender.acknowledged.is_some()).count()
}

#[googletest::test]
fn an_order_whose_sender_has_gone_on_is_not_carried_out_later() {
    for seed in SEEDS {
        let world = play(&scenario(), seed, None);
        expect_that!(
            world.rules.violation_counts,
            is_empty(),
            "{seed}: {:?}",
            world.rules.violations
        );
        expect_that!(judged(&world), eq(2), "seed {seed}: both operators come to their last order");
    }
}

#[googletest::test]
fn orders_under_ids_that_are_made_up_for_them_are_caught() {
    for seed in VARIANT_SEEDS {
        let world = play(&scenario(), seed, Some(FaultyVariant::MakesUpRequestIds));
        let found = world.rules.violation_counts.get(&RULE).copied();
        expect_that!(found, some(ge(1)), "seed {seed}");
    }
}
