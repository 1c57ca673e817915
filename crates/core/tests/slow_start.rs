//! Tests of the rate of attempts to cold leafs over all nodes, and of the assignment of each cold
//! leaf to one thread.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use grebepath_core::query::leaf::LeafState;
use grebepath_core::query::quota::QuotaShare;
use grebepath_core::random::Random;
use grebepath_core::time::{BOOT, SECOND, Tick, ms};

fn threads(count: usize) -> Vec<u64> {
    (0..count).map(|i| i as u64 * 7_919 + 3).collect()
}

fn share(threads: &[u64], own_thread: u64) -> QuotaShare {
    QuotaShare { threads: threads.to_vec(), own_thread }
}

/// Returns the threads to which a resource is assigned if all threads know the same members.
fn assigned_threads(threads: &[u64], resource: u64) -> Vec<u64> {
    threads
        .iter()
        .copied()
        .filter(|own_thread| share(threads, *own_thread).is_assigned(resource))
        .collect()
}

#[googletest::test]
fn each_cold_leaf_is_assigned_to_one_thread_and_all_threads_get_some() {
    // Guards against two nodes that each use the whole capacity of a cold leaf.
    let all = threads(9);
    let mut assigned_counts: BTreeMap<u64, u64> = BTreeMap::new();
    for i in 0..900 {
        let leaf = LeafState::new(&format!("i-{i}"), BOOT);
        let assigned = assigned_threads(&all, leaf.hash);
        assert_eq!(assigned.len(), 1, "{}", leaf.hash);
        *assigned_counts.entry(assigned[0]).or_default() += 1;
        // When a thread leaves, the leafs of the other threads keep their assignment.
        let rest: Vec<u64> = all.iter().copied().filter(|thread| *thread != all[4]).collect();
        let then = assigned_threads(&rest, leaf.hash);
        assert!(assigned[0] == all[4] || then == assigned);
        // A thread without a share sends nothing.
        assert!(!share(&[], all[0]).is_assigned(leaf.hash));
        assert!(!share(&rest, all[4]).is_assigned(leaf.hash));
    }
    assert!(
        assigned_counts.len() == 9 && assigned_counts.values().all(|n| (60..=140).contains(n)),
        "{assigned_counts:?}"
    );
}

#[googletest::test]
fn a_leaf_counts_as_cold_after_its_zone_is_undrained_until_the_next_list() {
    let mut leaf = LeafState::new("i", BOOT);
    assert!(!leaf.counts_as_cold(false, BOOT));
    leaf.note_zone_undrained(BOOT + SECOND);
    assert!(leaf.counts_as_cold(false, BOOT + 3 * SECOND));
    assert!(!leaf.counts_as_cold(false, BOOT + 5 * SECOND));
    assert!(leaf.counts_as_cold(true, BOOT + 5 * SECOND));
}

#[googletest::test]
fn attempts_to_a_cold_leaf_stay_within_its_capacity_in_any_second() {
    // Guards against leafs that are overloaded while they warm up: the platform tolerates one and a
    // half times the rate plus five attempts.
    for seed in 0..40 {
        let mut random = Random::new(seed);
        // Attempts per thousand seconds, from a very low to a high rate.
        let rate = [200, 1_000, 2_500, 8_000, 60_000][seed as usize % 5];
        let mut leaf = LeafState::new("i", BOOT);
        let mut now = BOOT;
        let mut sent: Vec<Tick> = Vec::new();
        let mut is_sending = true;
        for _ in 0..20_000 {
            now += random.below(ms(4));
            if random.chance(1, 400) {
                is_sending = !is_sending;
            }
            while is_sending && leaf.slow_start_allowance(rate, now) >= 1_000 {
                leaf.spend_slow_start_credit(rate, now);
                sent.push(now);
            }
        }
        for (i, at) in sent.iter().enumerate() {
            let n = sent[i..].iter().take_while(|t| **t < at + SECOND).count() as u64;
            let max_attempts = rate * 3 / 2 / 1_000 + 5;
            assert!(
                n <= max_attempts,
                "seed {seed}, rate {rate}: {n} of {max_attempts} in a second"
            );
        }
        // The rate is used, although there are queries for only half of the time.
        let capacity = rate * (now - BOOT) / SECOND / 1_000;
        assert!(sent.len() as u64 * 5 >= capacity, "seed {seed}: {} of {capacity}", sent.len());
    }
}
