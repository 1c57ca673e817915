//! The quota of second tries over all nodes, against a count of every window.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::query::service_retry_budget::{RetryRate, ServiceRetryBudget};
use grebepath_core::random::Random;

/// What came of one run: calls and second tries, each by its time in ms.
struct Seen {
    firsts: Vec<u64>,
    seconds: Vec<u64>,
}

/// A node as it starts anew: nothing saved, and one of `n`.
fn fresh(rate: RetryRate, n: usize) -> ServiceRetryBudget {
    let mut q = ServiceRetryBudget::new(rate);
    q.set_thread_count(n as u64);
    q
}

/// Nodes that would try every call again, under traffic that comes and goes;
/// `restarts` of a thousand steps start a node anew.
fn run(seed: u64, n: usize, rate: RetryRate, restarts: u64) -> Seen {
    let mut random = Random::new(seed);
    let mut nodes: Vec<ServiceRetryBudget> = (0..n).map(|_| fresh(rate, n)).collect();
    let mut seen = Seen { firsts: Vec::new(), seconds: Vec::new() };
    let (mut busy, mut hungry) = (true, true);
    for now in 0..60_000u64 {
        if now % 700 == 0 {
            busy = random.chance(2, 3);
            // Times in which nobody tries again, so that all is saved up.
            hungry = random.chance(1, 2);
        }
        if random.chance(restarts, 1_000) {
            let i = random.below(n as u64) as usize;
            nodes[i] = fresh(rate, n);
        }
        // Clients are not spread evenly over the nodes.
        let i = random.below(n as u64).min(random.below(n as u64)) as usize;
        if busy {
            nodes[i].record_first_attempt("s");
            seen.firsts.push(now);
        }
        for node in nodes.iter_mut().filter(|_| hungry) {
            while node.try_retry("s") {
                seen.seconds.push(now);
            }
        }
    }
    seen
}

fn within(list: &[u64], from: u64, to: u64) -> u64 {
    (list.partition_point(|t| *t < to) - list.partition_point(|t| *t < from)) as u64
}

/// The most second tries over the rule, in thousandths, in any window of `len`.
fn over(seen: &Seen, rate: RetryRate, len: u64) -> i64 {
    (0..60_000)
        .step_by(23)
        .map(|at| {
            let seconds = within(&seen.seconds, at, at + len) as i64 * 1_000;
            let firsts = within(&seen.firsts, at, at + len) as i64;
            seconds - firsts * rate.per_thousand as i64 - rate.cluster_slack as i64 * 1_000
        })
        .max()
        .unwrap_or(0)
}

#[googletest::test]
fn no_window_has_more_second_tries_than_share_and_slack_allow() {
    // Guards against bursts: what was saved up is spent together with what is
    // earned, on all nodes at once, and a node that restarts saves anew.
    let rates = [(200, 52), (100, 40), (400, 12), (50, 90)];
    for (k, (share, slack)) in rates.into_iter().enumerate() {
        let rate = RetryRate { per_thousand: share, cluster_slack: slack };
        for n in [1usize, 3, 8] {
            for restarts in [0, 1, 20] {
                let seen = run(k as u64 * 100 + n as u64, n, rate, restarts);
                for len in [1, 100, 1_000, 10_000, 30_000] {
                    let over = over(&seen, rate, len);
                    assert!(
                        over <= 0,
                        "{rate:?} {n} nodes, {restarts}: over by {over} in {len} ms"
                    );
                }
            }
        }
    }
}

#[googletest::test]
fn with_more_nodes_than_slack_no_more_than_one_try_each_goes_beyond_it() {
    // A part of the slack below one try could never be spent, so each node may
    // save one. This bounds what that costs a fleet larger than its slack.
    let rate = RetryRate { per_thousand: 200, cluster_slack: 20 };
    for n in [19u64, 40, 80] {
        let seen = run(n, n as usize, rate, 1);
        for len in [1, 1_000, 10_000] {
            let over = over(&seen, rate, len);
            let most = n.saturating_sub(rate.cluster_slack) as i64 * 1_000;
            println!("{n} nodes: {over} thousandths over the rule in some {len} ms");
            assert!(over <= most, "{n} nodes: over by {over} of {most} in {len} ms");
        }
    }
}

#[googletest::test]
fn most_of_what_the_rule_allows_can_be_spent() {
    // Guards against a quota that keeps the rule by allowing nothing.
    let rate = RetryRate { per_thousand: 200, cluster_slack: 52 };
    let seen = run(5, 6, rate, 0);
    let allowed = seen.firsts.len() as u64 * rate.per_thousand / 1_000;
    // Half of the time nobody tries again, and little is saved over it.
    expect_that!(seen.seconds.len() as u64 * 100, ge(allowed * 40));
}

#[googletest::test]
fn a_node_that_just_started_has_nothing_to_spend() {
    // Guards against restarts as a source of second tries.
    let rate = RetryRate { per_thousand: 200, cluster_slack: 1_000 };
    let mut q = fresh(rate, 1);
    expect_that!(q.try_retry("s"), eq(false));
    q.record_first_attempt("s");
    expect_that!(q.try_retry("s"), eq(false));
    for _ in 0..5 {
        q.record_first_attempt("s");
    }
    expect_that!(q.try_retry("s"), eq(true));
    expect_that!(q.try_retry("s"), eq(false));
}

#[googletest::test]
fn services_save_and_spend_apart() {
    let mut q = fresh(RetryRate { per_thousand: 1_000, cluster_slack: 100 }, 1);
    for _ in 0..10 {
        q.record_first_attempt("a");
    }
    expect_that!(q.try_retry("b"), eq(false));
    expect_that!(q.try_retry("a"), eq(true));
    q.retain(|s| s != "a");
    expect_that!(q.try_retry("a"), eq(false), "a service that is forgotten saves anew");
}

#[googletest::test]
fn a_larger_fleet_and_a_stricter_rule_take_back_what_was_saved() {
    // Guards against nodes that hold on to a part of the slack which others
    // have by now.
    let spend = |q: &mut ServiceRetryBudget| (0..1_000).filter(|_| q.try_retry("s")).count();
    let rich = || {
        let mut q = fresh(RetryRate { per_thousand: 1_000, cluster_slack: 100 }, 1);
        for _ in 0..1_000 {
            q.record_first_attempt("s");
        }
        q
    };
    expect_that!(spend(&mut rich()), eq(95));
    let mut q = rich();
    q.set_thread_count(10);
    expect_that!(spend(&mut q), eq(9));
    let mut q = rich();
    // Without a place in the membership nobody knows what others spend.
    q.set_thread_count(0);
    expect_that!(spend(&mut q), eq(1));
    let mut q = rich();
    q.set_rate(RetryRate { per_thousand: 10, cluster_slack: 20 }, 2);
    expect_that!(spend(&mut q), eq(9));
    // A share of nothing earns nothing.
    let mut q = fresh(RetryRate { per_thousand: 0, cluster_slack: 50 }, 1);
    for _ in 0..100 {
        q.record_first_attempt("s");
    }
    expect_that!(spend(&mut q), eq(0));
}
