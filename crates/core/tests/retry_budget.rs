//! The retry rule over many threads, against a count of every 10 s window.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::consts::{RETRY_PCT, RETRY_SLACK};
use grebepath_core::query::quota::QuotaShare;
use grebepath_core::query::retry_budget::RetryBudget;
use grebepath_core::random::Random;
use grebepath_core::time::{SECOND, ms};

/// Most second tries over the allowance in any 10 s, for `n` threads whose
/// traffic comes and goes and who would retry every single dispatch.
fn worst(seed: u64, n: usize, slack_each: impl Fn(usize) -> u64) -> i64 {
    let mut random = Random::new(seed);
    let mut rules: Vec<_> = (0..n).map(|_| RetryBudget::new(0)).collect();
    for (i, r) in rules.iter_mut().enumerate() {
        r.set_slack(slack_each(i));
    }
    let (mut firsts, mut seconds) = (Vec::new(), Vec::new());
    let mut busy = true;
    for tick in 0..60_000u64 {
        let now = ms(tick);
        if tick % 1_500 == 0 {
            busy = random.chance(2, 3);
        }
        let i = random.below(n as u64) as usize;
        if busy && random.chance(1, 2) {
            rules[i].record_first_attempt(now);
            firsts.push(now);
        }
        if rules[i].try_retry(now) {
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
            let s = QuotaShare::new(&members, &format!("q{}", i / 2), (i % 2) as u32);
            s.allocation(s.rank(99), RETRY_SLACK)
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
    let mut r = RetryBudget::new(0);
    r.set_slack(5);
    expect_false!(r.try_retry(1));
    for i in 0..4 {
        r.record_first_attempt(i);
    }
    expect_false!(r.try_retry(5));
    r.record_first_attempt(6);
    expect_true!(r.try_retry(7));
    expect_false!(r.try_retry(8));
}
