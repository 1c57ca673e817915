//! Tests of the retry budget per service over all nodes, against a count of the retries in every
//! window.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::query::service_retry_budget::{RetryRate, ServiceRetryBudget};
use grebepath_core::random::Random;

/// The calls and retries of one run, each with its time (ms).
struct Traffic {
    first_attempts: Vec<u64>,
    retries: Vec<u64>,
}

/// Returns the budget of a node that has just started, one of `node_count`: it has no credit.
fn new_budget(rate: RetryRate, node_count: usize) -> ServiceRetryBudget {
    let mut budget = ServiceRetryBudget::new(rate);
    budget.set_thread_count(node_count as u64);
    budget
}

/// Simulates nodes that would retry every call, under intermittent traffic. In `restarts` of a
/// thousand steps a node restarts.
fn run(seed: u64, node_count: usize, rate: RetryRate, restarts: u64) -> Traffic {
    let mut random = Random::new(seed);
    let mut nodes: Vec<ServiceRetryBudget> =
        (0..node_count).map(|_| new_budget(rate, node_count)).collect();
    let mut traffic = Traffic { first_attempts: Vec::new(), retries: Vec::new() };
    let (mut is_busy, mut is_retrying) = (true, true);
    for now in 0..60_000u64 {
        if now % 700 == 0 {
            is_busy = random.chance(2, 3);
            // There are periods without retries, in which the nodes save the maximum credit.
            is_retrying = random.chance(1, 2);
        }
        if random.chance(restarts, 1_000) {
            let i = random.below(node_count as u64) as usize;
            nodes[i] = new_budget(rate, node_count);
        }
        // Clients are not spread evenly over the nodes.
        let i = random.below(node_count as u64).min(random.below(node_count as u64)) as usize;
        if is_busy {
            nodes[i].record_first_attempt("s");
            traffic.first_attempts.push(now);
        }
        for node in nodes.iter_mut().filter(|_| is_retrying) {
            while node.try_retry("s") {
                traffic.retries.push(now);
            }
        }
    }
    traffic
}

fn count_between(list: &[u64], from: u64, to: u64) -> u64 {
    (list.partition_point(|t| *t < to) - list.partition_point(|t| *t < from)) as u64
}

/// Returns the maximum excess of retries over the limit, in thousandths of a retry, in any window
/// of `len` ms.
fn excess(traffic: &Traffic, rate: RetryRate, len: u64) -> i64 {
    (0..60_000)
        .step_by(23)
        .map(|at| {
            let retries = count_between(&traffic.retries, at, at + len) as i64 * 1_000;
            let first_attempts = count_between(&traffic.first_attempts, at, at + len) as i64;
            retries - first_attempts * rate.per_thousand as i64 - rate.cluster_slack as i64 * 1_000
        })
        .max()
        .unwrap_or(0)
}

#[googletest::test]
fn retries_stay_within_share_and_slack_in_any_window() {
    // Guards against bursts: all nodes may spend saved and earned credit at the same time, and a
    // restarted node saves credit again.
    let rates = [(200, 52), (100, 40), (400, 12), (50, 90)];
    for (k, (share, slack)) in rates.into_iter().enumerate() {
        let rate = RetryRate { per_thousand: share, cluster_slack: slack };
        for node_count in [1usize, 3, 8] {
            for restarts in [0, 1, 20] {
                let traffic = run(k as u64 * 100 + node_count as u64, node_count, rate, restarts);
                for len in [1, 100, 1_000, 10_000, 30_000] {
                    let excess = excess(&traffic, rate, len);
                    assert!(
                        excess <= 0,
                        "{rate:?} {node_count} nodes, {restarts}: over by {excess} in {len} ms"
                    );
                }
            }
        }
    }
}

#[googletest::test]
fn with_more_nodes_than_slack_each_exceeds_it_by_at_most_one_retry() {
    // A part of the slack below one retry could never be spent, so each node may save one. This
    // bounds the excess in a cluster with more nodes than slack.
    let rate = RetryRate { per_thousand: 200, cluster_slack: 20 };
    for node_count in [19u64, 40, 80] {
        let traffic = run(node_count, node_count as usize, rate, 1);
        for len in [1, 1_000, 10_000] {
            let excess = excess(&traffic, rate, len);
            let max_excess = node_count.saturating_sub(rate.cluster_slack) as i64 * 1_000;
            println!("{node_count} nodes: {excess} thousandths over the limit in some {len} ms");
            assert!(
                excess <= max_excess,
                "{node_count} nodes: over by {excess} of {max_excess} in {len} ms"
            );
        }
    }
}

#[googletest::test]
fn most_of_the_allowed_retries_can_be_sent() {
    // Guards against a budget that keeps the limit by allowing no retries.
    let rate = RetryRate { per_thousand: 200, cluster_slack: 52 };
    let traffic = run(5, 6, rate, 0);
    let allowed = traffic.first_attempts.len() as u64 * rate.per_thousand / 1_000;
    // For half of the time no node retries, and little credit is saved over such a period.
    expect_that!(traffic.retries.len() as u64 * 100, ge(allowed * 40));
}

#[googletest::test]
fn a_new_node_has_no_credit() {
    // Guards against restarts that allow additional retries.
    let rate = RetryRate { per_thousand: 200, cluster_slack: 1_000 };
    let mut budget = new_budget(rate, 1);
    expect_that!(budget.try_retry("s"), eq(false));
    budget.record_first_attempt("s");
    expect_that!(budget.try_retry("s"), eq(false));
    for _ in 0..5 {
        budget.record_first_attempt("s");
    }
    expect_that!(budget.try_retry("s"), eq(true));
    expect_that!(budget.try_retry("s"), eq(false));
}

#[googletest::test]
fn services_have_separate_credits() {
    let mut budget = new_budget(RetryRate { per_thousand: 1_000, cluster_slack: 100 }, 1);
    for _ in 0..10 {
        budget.record_first_attempt("a");
    }
    expect_that!(budget.try_retry("b"), eq(false));
    expect_that!(budget.try_retry("a"), eq(true));
    budget.retain(|s| s != "a");
    expect_that!(budget.try_retry("a"), eq(false), "the credit of a removed service is lost");
}

#[googletest::test]
fn credit_shrinks_with_a_larger_cluster_or_a_lower_rate() {
    // Guards against nodes that keep a part of the slack that has been assigned to others.
    let spend_all =
        |budget: &mut ServiceRetryBudget| (0..1_000).filter(|_| budget.try_retry("s")).count();
    let budget_at_limit = || {
        let mut budget = new_budget(RetryRate { per_thousand: 1_000, cluster_slack: 100 }, 1);
        for _ in 0..1_000 {
            budget.record_first_attempt("s");
        }
        budget
    };
    expect_that!(spend_all(&mut budget_at_limit()), eq(95));
    let mut budget = budget_at_limit();
    budget.set_thread_count(10);
    expect_that!(spend_all(&mut budget), eq(9));
    let mut budget = budget_at_limit();
    // Outside the membership the number of nodes that share the slack is unknown.
    budget.set_thread_count(0);
    expect_that!(spend_all(&mut budget), eq(1));
    let mut budget = budget_at_limit();
    budget.set_rate(RetryRate { per_thousand: 10, cluster_slack: 20 }, 2);
    expect_that!(spend_all(&mut budget), eq(9));
    // A rate of zero earns no credit.
    let mut budget = new_budget(RetryRate { per_thousand: 0, cluster_slack: 50 }, 1);
    for _ in 0..100 {
        budget.record_first_attempt("s");
    }
    expect_that!(spend_all(&mut budget), eq(0));
}
