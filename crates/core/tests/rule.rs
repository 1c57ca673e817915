//! The retry rule over many threads, against a count of every 10 s window.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::consts::{RETRY_PCT, RETRY_SLACK};
use grebepath_core::query::{quota, retry_budget};
use grebepath_core::random::Random;
use grebepath_core::time::{SECOND, ms};

/// Most second tries over the allowance in any 10 s, for `n` threads whose
/// traffic comes and goes and who would retry every single dispatch.
fn worst(seed: u64, n: usize, slack_each: impl Fn(usize) -> u64) -> i64 {
    let mut luck = Random::new(seed);
    let mut rules: Vec<_> = (0..n).map(|_| retry_budget::rule(0)).collect();
    for (i, r) in rules.iter_mut().enumerate() {
        retry_budget::slack(r, slack_each(i));
    }
    let (mut firsts, mut seconds) = (Vec::new(), Vec::new());
    let mut busy = true;
    for tick in 0..60_000u64 {
        let now = ms(tick);
        if tick % 1_500 == 0 {
            busy = luck.chance(2, 3);
        }
        let i = luck.below(n as u64) as usize;
        if busy && luck.chance(1, 2) {
            retry_budget::first(&mut rules[i], now);
            firsts.push(now);
        }
        if retry_budget::second(&mut rules[i], now) {
            seconds.push(now);
        }
    }
    let within = |list: &[u64], at: u64| {
        let end = list.partition_point(|t| *t < at + 10 * SECOND);
        (end - list.partition_point(|t| *t < at)) as i64
    };
    assert!(seconds.len() > 1_000, "the rule must allow something to be worth a check");
    (0..50_000u64)
        .step_by(50)
        .map(|t| within(&seconds, ms(t)) - within(&firsts, ms(t)) * RETRY_PCT as i64 / 100)
        .max()
        .unwrap()
}

#[googletest::test]
fn the_fleet_stays_within_the_rule_in_any_window() {
    for seed in 0..20 {
        let members: Vec<_> = (0..7).map(|i| (format!("q{i}"), 2)).collect();
        let partition = |i: usize| {
            let s = quota::share(&members, &format!("q{}", i / 2), (i % 2) as u32);
            quota::part(&s, quota::rank(&s, 99), RETRY_SLACK)
        };
        let total: u64 = (0..14).map(partition).sum();
        expect_that!(total, eq(RETRY_SLACK));
        // A window may lie just behind traffic that stopped: one burst's
        // credit, here a fifth of 200 ms at 500 a second, and one try a thread.
        expect_that!(worst(seed, 14, partition), le(RETRY_SLACK as i64 + 20 + 14));
    }
}

#[googletest::test]
fn slack_taken_whole_by_every_thread_is_caught() {
    let worst = (0..5).map(|s| worst(s, 14, |_| RETRY_SLACK)).max().unwrap();
    expect_that!(worst, gt(RETRY_SLACK as i64 + 20 + 14));
}

#[googletest::test]
fn a_restart_brings_no_credit() {
    let mut r = retry_budget::rule(0);
    retry_budget::slack(&mut r, 5);
    expect_false!(retry_budget::second(&mut r, 1));
    for i in 0..4 {
        retry_budget::first(&mut r, i);
    }
    expect_false!(retry_budget::second(&mut r, 5));
    retry_budget::first(&mut r, 6);
    expect_true!(retry_budget::second(&mut r, 7));
    expect_false!(retry_budget::second(&mut r, 8));
}
