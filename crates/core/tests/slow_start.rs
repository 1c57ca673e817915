//! The rate of cold leafs over all nodes, and who keeps each of them.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use grebepath_core::query::connection_subset::ConnectingThread;
use grebepath_core::query::leaf::LeafState;
use grebepath_core::random::Random;
use grebepath_core::time::{BOOT, SECOND, Tick, ms};

fn nodes(n: usize) -> Vec<ConnectingThread> {
    (0..n).map(|i| ConnectingThread { thread_id: i as u64 * 7_919 + 3, zone: "z".into() }).collect()
}

#[googletest::test]
fn each_cold_leaf_has_one_keeper_and_all_nodes_keep_some() {
    // Guards against two nodes that each send a cold leaf all it bears.
    let peers = nodes(9);
    let mut kept: BTreeMap<u64, u64> = BTreeMap::new();
    for i in 0..900 {
        let l = LeafState::new(&format!("i-{i}"), BOOT);
        let who: Vec<u64> = peers
            .iter()
            .filter(|p| l.is_warmed_up_by(&peers, p.thread_id))
            .map(|p| p.thread_id)
            .collect();
        assert_eq!(who.len(), 1, "{}", l.hash);
        *kept.entry(who[0]).or_default() += 1;
        // Nobody else's leaf changes hands when a node goes.
        let rest: Vec<ConnectingThread> =
            peers.iter().filter(|p| p.thread_id != peers[4].thread_id).cloned().collect();
        let then = rest.iter().find(|p| l.is_warmed_up_by(&rest, p.thread_id)).unwrap();
        assert!(who[0] == peers[4].thread_id || then.thread_id == who[0]);
        // Before anyone else is known, nobody sends.
        assert!(!l.is_warmed_up_by(&[], peers[0].thread_id));
    }
    assert!(kept.len() == 9 && kept.values().all(|n| (60..=140).contains(n)), "{kept:?}");
}

#[googletest::test]
fn no_second_has_more_dispatches_to_a_cold_leaf_than_it_bears() {
    // Guards against leafs that fall over while they warm up: the platform
    // bears half as much again, and five more.
    for seed in 0..40 {
        let mut luck = Random::new(seed);
        // Thousandths of a dispatch a second, from very few to many.
        let rate = [200, 1_000, 2_500, 8_000, 60_000][seed as usize % 5];
        let mut l = LeafState::new("i", BOOT);
        let mut now = BOOT;
        let mut sent: Vec<Tick> = Vec::new();
        let mut eager = true;
        for _ in 0..20_000 {
            now += luck.below(ms(4));
            if luck.chance(1, 400) {
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
