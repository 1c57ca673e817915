//! The rate of cold leafs over all nodes, and who keeps each of them.

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

/// The threads that hold a thing if all go by the same members.
fn holders(threads: &[u64], thing: u64) -> Vec<u64> {
    threads.iter().copied().filter(|own| share(threads, *own).is_assigned(thing)).collect()
}

#[googletest::test]
fn each_cold_leaf_has_one_thread_that_warms_it_up_and_all_threads_have_some() {
    // Guards against two nodes that each send a cold leaf all it bears.
    let all = threads(9);
    let mut held: BTreeMap<u64, u64> = BTreeMap::new();
    for i in 0..900 {
        let leaf = LeafState::new(&format!("i-{i}"), BOOT);
        let holder = holders(&all, leaf.hash);
        assert_eq!(holder.len(), 1, "{}", leaf.hash);
        *held.entry(holder[0]).or_default() += 1;
        // Nobody else's leaf changes hands when a node goes.
        let rest: Vec<u64> = all.iter().copied().filter(|thread| *thread != all[4]).collect();
        let then = holders(&rest, leaf.hash);
        assert!(holder[0] == all[4] || then == holder);
        // A thread without a share sends nothing.
        assert!(!share(&[], all[0]).is_assigned(leaf.hash));
        assert!(!share(&rest, all[4]).is_assigned(leaf.hash));
    }
    assert!(held.len() == 9 && held.values().all(|n| (60..=140).contains(n)), "{held:?}");
}

#[googletest::test]
fn a_leaf_of_a_zone_that_is_taken_back_counts_as_cold_until_the_list_can_tell() {
    let mut leaf = LeafState::new("i", BOOT);
    assert!(!leaf.counts_as_cold(false, BOOT));
    leaf.note_zone_undrained(BOOT + SECOND);
    assert!(leaf.counts_as_cold(false, BOOT + 3 * SECOND));
    assert!(!leaf.counts_as_cold(false, BOOT + 5 * SECOND));
    assert!(leaf.counts_as_cold(true, BOOT + 5 * SECOND));
}

#[googletest::test]
fn no_second_has_more_dispatches_to_a_cold_leaf_than_it_bears() {
    // Guards against leafs that fall over while they warm up: the platform
    // bears half as much again, and five more.
    for seed in 0..40 {
        let mut random = Random::new(seed);
        // Thousandths of a dispatch a second, from very few to many.
        let rate = [200, 1_000, 2_500, 8_000, 60_000][seed as usize % 5];
        let mut l = LeafState::new("i", BOOT);
        let mut now = BOOT;
        let mut sent: Vec<Tick> = Vec::new();
        let mut eager = true;
        for _ in 0..20_000 {
            now += random.below(ms(4));
            if random.chance(1, 400) {
                eager = !eager;
            }
            while eager && l.slow_start_allowance(rate, now) >= 1_000 {
                l.spend_slow_start_credit(rate, now);
                sent.push(now);
            }
        }
        for (i, at) in sent.iter().enumerate() {
            let n = sent[i..].iter().take_while(|t| **t < at + SECOND).count() as u64;
            let most = rate * 3 / 2 / 1_000 + 5;
            assert!(n <= most, "seed {seed}, rate {rate}: {n} of {most} in a second");
        }
        // And it is used, though there is work for half of the time only.
        let bears = rate * (now - BOOT) / SECOND / 1_000;
        assert!(sent.len() as u64 * 5 >= bears, "seed {seed}: {} of {bears}", sent.len());
    }
}
