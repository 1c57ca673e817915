//! The learned wait before a second try.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::consts::{
    HEDGE_DELAY_MARGIN, HEDGE_DELAY_MIN, HEDGE_DELAY_PCT, HEDGE_DELAY_TARGET_PCT,
};
use grebepath_core::query::latency_estimate::LatencyEstimate;
use grebepath_core::random::Random;
use grebepath_core::time::{Span, ms};

/// What a wait without its stretch is: the learned mark itself.
fn mark(w: &LatencyEstimate, search: &str) -> Span {
    (w.hedge_delay(search, None).unwrap() - HEDGE_DELAY_MARGIN) * 100 / HEDGE_DELAY_PCT
}

/// A sum of even draws: near to a bell.
fn bell(random: &mut Random, mid: Span) -> Span {
    mid / 2 + (0..8).map(|_| random.below(mid / 8 + 1)).sum::<Span>()
}

/// Few large ones among many small: as an exponential law has them.
fn tail(random: &mut Random, mean: Span) -> Span {
    let even = (1 + random.below(1_000_000)) as f64 / 1_000_001.0;
    (-even.ln() * mean as f64) as Span
}

#[googletest::test]
fn the_estimate_settles_where_about_19_of_20_attempts_lie_below() {
    // Guards against waits that are too short (second tries for nothing) and
    // too long (a leaf that pauses is never overtaken).
    type Law = fn(&mut Random) -> Span;
    let laws: [(&str, Law); 5] = [
        ("even", |l| ms(10) + l.below(ms(40))),
        ("bell", |l| bell(l, ms(30))),
        ("tail", |l| ms(5) + tail(l, ms(20))),
        ("two humps", |l| if l.chance(1, 5) { bell(l, ms(200)) } else { bell(l, ms(20)) }),
        ("slow", |l| ms(900) + tail(l, ms(300))),
    ];
    for (name, law) in laws {
        for seed in 0..5 {
            let mut random = Random::new(seed);
            let mut w = LatencyEstimate::default();
            for _ in 0..3_000 {
                w.record("s", law(&mut random));
            }
            let (mut below, n) = (0u64, 20_000);
            for _ in 0..n {
                let took = law(&mut random);
                below += u64::from(took <= mark(&w, "s"));
                w.record("s", took);
            }
            let share = below * 1_000 / n;
            assert!((930..=970).contains(&share), "{name}, seed {seed}: {share} of 1000 below");
        }
    }
}

#[googletest::test]
fn the_estimate_follows_leafs_that_become_slower_and_faster() {
    let mut random = Random::new(3);
    let mut w = LatencyEstimate::default();
    for _ in 0..500 {
        w.record("s", bell(&mut random, ms(20)));
    }
    let before = mark(&w, "s");
    // Half a hundred dispatches are enough to see that all have become slow.
    for _ in 0..60 {
        w.record("s", bell(&mut random, ms(200)));
    }
    expect_that!(mark(&w, "s"), gt(before * 5));
    for _ in 0..2_000 {
        w.record("s", bell(&mut random, ms(20)));
    }
    expect_that!(mark(&w, "s"), lt(before * 2));
}

#[googletest::test]
fn the_hedge_delay_is_a_share_of_the_target_before_the_first_sample() {
    let mut w = LatencyEstimate::default();
    expect_that!(w.hedge_delay("s", None), none());
    expect_that!(
        w.hedge_delay("s", Some(ms(100))),
        some(eq(ms(100) * HEDGE_DELAY_TARGET_PCT / 100))
    );
    expect_that!(w.hedge_delay("s", Some(1)), some(eq(HEDGE_DELAY_MIN)));
    w.record("s", ms(50));
    // The first dispatch alone says little: nobody is hurried by it.
    expect_that!(w.hedge_delay("s", Some(ms(1))), some(ge(ms(100))));
    expect_that!(w.hedge_delay("other", None), none());
    w.retain(|s| s != "s");
    expect_that!(w.hedge_delay("s", None), none());
}

#[googletest::test]
fn the_hedge_delay_is_never_below_its_minimum() {
    // Guards against second tries within the noise of the machine.
    let mut w = LatencyEstimate::default();
    for _ in 0..10_000 {
        w.record("s", 0);
    }
    expect_that!(w.hedge_delay("s", None), some(ge(HEDGE_DELAY_MIN)));
}
