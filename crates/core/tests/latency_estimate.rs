//! The learned delay before a hedge.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::consts::{
    HEDGE_DELAY_MARGIN, HEDGE_DELAY_MIN, HEDGE_DELAY_PCT, HEDGE_DELAY_TARGET_PCT,
};
use grebepath_core::query::latency_estimate::LatencyEstimate;
use grebepath_core::random::Random;
use grebepath_core::time::{Span, ms};

/// Returns the estimate itself, which is the hedge delay without its margin and its factor.
fn estimate(latency: &LatencyEstimate, search: &str) -> Span {
    (latency.hedge_delay(search, None).unwrap() - HEDGE_DELAY_MARGIN) * 100 / HEDGE_DELAY_PCT
}

/// Draws from a bell-shaped distribution, as a sum of uniform draws.
fn bell(random: &mut Random, mid: Span) -> Span {
    mid / 2 + (0..8).map(|_| random.below(mid / 8 + 1)).sum::<Span>()
}

/// Draws from an exponential distribution.
fn tail(random: &mut Random, mean: Span) -> Span {
    let uniform = (1 + random.below(1_000_000)) as f64 / 1_000_001.0;
    (-uniform.ln() * mean as f64) as Span
}

#[googletest::test]
fn the_estimate_settles_where_about_19_of_20_attempts_lie_below() {
    // Guards against delays that are too short, which cause needless hedges, and too long, so
    // that a paused leaf is never hedged.
    type Distribution = fn(&mut Random) -> Span;
    let distributions: [(&str, Distribution); 5] = [
        ("even", |l| ms(10) + l.below(ms(40))),
        ("bell", |l| bell(l, ms(30))),
        ("tail", |l| ms(5) + tail(l, ms(20))),
        ("two humps", |l| if l.chance(1, 5) { bell(l, ms(200)) } else { bell(l, ms(20)) }),
        ("slow", |l| ms(900) + tail(l, ms(300))),
    ];
    for (name, distribution) in distributions {
        for seed in 0..5 {
            let mut random = Random::new(seed);
            let mut latency = LatencyEstimate::default();
            for _ in 0..3_000 {
                latency.record("s", distribution(&mut random));
            }
            let (mut below, n) = (0u64, 20_000);
            for _ in 0..n {
                let took = distribution(&mut random);
                below += u64::from(took <= estimate(&latency, "s"));
                latency.record("s", took);
            }
            let share = below * 1_000 / n;
            assert!((930..=970).contains(&share), "{name}, seed {seed}: {share} of 1000 below");
        }
    }
}

#[googletest::test]
fn the_estimate_follows_leafs_that_become_slower_and_faster() {
    let mut random = Random::new(3);
    let mut latency = LatencyEstimate::default();
    for _ in 0..500 {
        latency.record("s", bell(&mut random, ms(20)));
    }
    let before = estimate(&latency, "s");
    // 60 attempts are enough to learn that all leafs have become slow.
    for _ in 0..60 {
        latency.record("s", bell(&mut random, ms(200)));
    }
    expect_that!(estimate(&latency, "s"), gt(before * 5));
    for _ in 0..2_000 {
        latency.record("s", bell(&mut random, ms(20)));
    }
    expect_that!(estimate(&latency, "s"), lt(before * 2));
}

#[googletest::test]
fn the_hedge_delay_is_a_share_of_the_target_before_the_first_sample() {
    let mut latency = LatencyEstimate::default();
    expect_that!(latency.hedge_delay("s", None), none());
    expect_that!(
        latency.hedge_delay("s", Some(ms(100))),
        some(eq(ms(100) * HEDGE_DELAY_TARGET_PCT / 100))
    );
    expect_that!(latency.hedge_delay("s", Some(1)), some(eq(HEDGE_DELAY_MIN)));
    latency.record("s", ms(50));
    // The first sample alone says little, so it does not shorten the delay.
    expect_that!(latency.hedge_delay("s", Some(ms(1))), some(ge(ms(100))));
    expect_that!(latency.hedge_delay("other", None), none());
    latency.retain(|s| s != "s");
    expect_that!(latency.hedge_delay("s", None), none());
}

#[googletest::test]
fn the_hedge_delay_is_never_below_its_minimum() {
    // Guards against hedges within the noise of the machine.
    let mut latency = LatencyEstimate::default();
    for _ in 0..10_000 {
        latency.record("s", 0);
    }
    expect_that!(latency.hedge_delay("s", None), some(ge(HEDGE_DELAY_MIN)));
}
