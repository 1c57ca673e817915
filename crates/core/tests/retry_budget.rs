//! Tests of the retry budget over many threads, against a count of the attempts in every 10 s
//! window.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::consts::{RETRY_PCT, RETRY_SLACK};
use grebepath_core::query::quota::QuotaShare;
use grebepath_core::query::retry_budget::RetryBudget;
use grebepath_core::random::Random;
use grebepath_core::time::{SECOND, ms};

/// Returns the maximum excess of retries over the allowed fraction in any 10 s, for `threads`
/// threads whose traffic is intermittent and which would retry every attempt.
fn max_excess(seed: u64, threads: usize, slack_of: impl Fn(usize) -> u64) -> i64 {
    let mut random = Random::new(seed);
    let mut budgets: Vec<_> = (0..threads).map(|_| RetryBudget::new(0)).collect();
    for (i, budget) in budgets.iter_mut().enumerate() {
        budget.set_slack(slack_of(i));
    }
    let (mut first_attempts, mut retries) = (Vec::new(), Vec::new());
    let mut busy = true;
    for tick in 0..60_000u64 {
        let now = ms(tick);
        if tick % 1_500 == 0 {
            busy = random.chance(2, 3);
        }
        let i = random.below(threads as u64) as usize;
        if busy && random.chance(1, 2) {
            budgets[i].record_first_attempt(now);
            first_attempts.push(now);
        }
        if budgets[i].try_retry(now) {
            retries.push(now);
        }
    }
    let within = |list: &[u64], at: u64| {
        let end = list.partition_point(|t| *t < at + 10 * SECOND);
        (end - list.partition_point(|t| *t < at)) as i64
    };
    assert!(retries.len() > 1_000, "the budget must allow retries to test its limit");
    (0..50_000u64)
        .step_by(50)
        .map(|t| within(&retries, ms(t)) - within(&first_attempts, ms(t)) * RETRY_PCT as i64 / 100)
        .max()
        .unwrap()
}

#[googletest::test]
fn retries_of_all_threads_stay_within_the_budget_in_any_window() {
    for seed in 0..20 {
        let members: Vec<_> = (0..7).map(|i| (format!("q{i}"), 2)).collect();
        let slack_part = |i: usize| {
            let s = QuotaShare::new(&members, &format!("q{}", i / 2), (i % 2) as u32);
            s.allocation(s.rank(99), RETRY_SLACK)
        };
        let total: u64 = (0..14).map(slack_part).sum();
        expect_that!(total, eq(RETRY_SLACK));
        // A window may begin just after traffic stopped. It then contains the retries for the
        // credit of one burst, here a fifth of 200 ms at 500 a second, and one retry per thread.
        expect_that!(max_excess(seed, 14, slack_part), le(RETRY_SLACK as i64 + 20 + 14));
    }
}

#[googletest::test]
fn the_full_slack_on_every_thread_exceeds_the_budget() {
    let max_excess = (0..5).map(|s| max_excess(s, 14, |_| RETRY_SLACK)).max().unwrap();
    expect_that!(max_excess, gt(RETRY_SLACK as i64 + 20 + 14));
}

#[googletest::test]
fn a_new_budget_has_no_credit() {
    let mut budget = RetryBudget::new(0);
    budget.set_slack(5);
    expect_false!(budget.try_retry(1));
    for i in 0..4 {
        budget.record_first_attempt(i);
    }
    expect_false!(budget.try_retry(5));
    budget.record_first_attempt(6);
    expect_true!(budget.try_retry(7));
    expect_false!(budget.try_retry(8));
}
