//! The deal of connections under a leaf's limit, over all nodes.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use googletest::prelude::*;
use grebepath_core::query::connection_subset::{ConnectingThread, assigned_connections};
use grebepath_core::random::Random;
use grebepath_core::snapshot::leafs::LeafInfo;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn leaf(i: usize) -> LeafInfo {
    LeafInfo {
        leaf: format!("i-{i}"),
        service: "s".into(),
        addr: format!("127.0.0.1:{}", 1_000 + i),
        labels: [("zone".to_string(), ZONES[i % 3].to_string())].into(),
        leaving: false,
        age_ms: 0,
        slots: 4,
        cold: false,
    }
}

/// Nodes with numbers far apart, in order, in three zones.
fn nodes(n: usize) -> Vec<ConnectingThread> {
    (0..n)
        .map(|i| ConnectingThread { thread_id: i as u64 * 7_919 + 3, zone: ZONES[i % 3].into() })
        .collect()
}

/// Wires by node and leaf, as every node deals them for itself.
fn all(peers: &[ConnectingThread], leafs: &[LeafInfo], limit: u64) -> BTreeMap<(u64, String), u64> {
    let list: Vec<&LeafInfo> = leafs.iter().collect();
    let mut out = BTreeMap::new();
    for p in peers {
        for (l, n) in leafs.iter().zip(assigned_connections(peers, p.thread_id, &list, limit)) {
            out.insert((p.thread_id, l.leaf.clone()), n);
        }
    }
    out
}

fn of_leaf(dealt: &BTreeMap<(u64, String), u64>, leaf: &str) -> u64 {
    dealt.iter().filter(|((_, l), _)| l == leaf).map(|(_, n)| n).sum()
}

fn of_node(dealt: &BTreeMap<(u64, String), u64>, slot: u64) -> u64 {
    dealt.iter().filter(|((s, _), _)| *s == slot).map(|(_, n)| n).sum()
}

/// Wires that stand in one deal and not in the other, whichever has more.
fn moved(a: &BTreeMap<(u64, String), u64>, b: &BTreeMap<(u64, String), u64>) -> u64 {
    let more = |x: &BTreeMap<(u64, String), u64>, y: &BTreeMap<(u64, String), u64>| {
        x.iter().map(|(k, n)| n.saturating_sub(y.get(k).copied().unwrap_or(0))).sum::<u64>()
    };
    more(a, b).max(more(b, a))
}

#[googletest::test]
fn a_leaf_never_gets_more_connections_than_its_limit_less_a_tenth() {
    // Guards against resets by leafs: each is a call that fails.
    let mut random = Random::new(8);
    for _ in 0..300 {
        let peers = nodes(1 + random.below(40) as usize);
        let leafs: Vec<_> = (0..1 + random.below(12) as usize).map(leaf).collect();
        let limit = 1 + random.below(120);
        let dealt = all(&peers, &leafs, limit);
        let most = if limit == 1 { 1 } else { limit - (limit / 10).max(1) };
        for l in &leafs {
            let sum = of_leaf(&dealt, &l.leaf);
            let (n, m) = (peers.len(), leafs.len());
            assert!(sum <= most, "{n} nodes, {m} leafs, limit {limit}: {sum} to {}", l.leaf);
        }
    }
}

#[googletest::test]
fn nodes_get_nearly_the_same_number_of_connections() {
    // Guards against a node that is left without connections, or hoards them.
    let mut random = Random::new(9);
    for _ in 0..200 {
        let peers = nodes(1 + random.below(30) as usize);
        let leafs: Vec<_> = (0..1 + random.below(12) as usize).map(leaf).collect();
        let limit = 2 + random.below(100);
        let dealt = all(&peers, &leafs, limit);
        let each: Vec<u64> = peers.iter().map(|p| of_node(&dealt, p.thread_id)).collect();
        let (low, high) = (each.iter().min().unwrap(), each.iter().max().unwrap());
        let few = dealt.values().sum::<u64>() < peers.len() as u64;
        let (n, m) = (peers.len(), leafs.len());
        assert!(high - low <= 1, "{n} nodes, {m} leafs, limit {limit}: {each:?}");
        assert!(few || *low >= 1, "{n} nodes, {m} leafs, limit {limit}: {each:?}");
    }
}

#[googletest::test]
fn most_of_the_available_connections_are_assigned() {
    // Guards against a deal that keeps the limit by using little of it.
    let mut random = Random::new(10);
    for _ in 0..200 {
        let peers = nodes(1 + random.below(30) as usize);
        let leafs: Vec<_> = (0..1 + random.below(12) as usize).map(leaf).collect();
        let limit = 10 + random.below(100);
        let dealt = all(&peers, &leafs, limit).values().sum::<u64>();
        let there = (limit - limit / 10) * leafs.len() as u64;
        let (n, m) = (peers.len() as u64, leafs.len());
        // Whole connections only: less than one for each node stays over.
        assert!(dealt + n > there, "{n} nodes, {m} leafs, limit {limit}: {dealt} of {there}");
    }
}

#[googletest::test]
fn a_nodes_few_connections_go_to_its_own_zone_first() {
    // Guards against traffic between zones for no reason.
    let peers = nodes(12);
    let leafs: Vec<_> = (0..12).map(leaf).collect();
    let dealt = all(&peers, &leafs, 5);
    let near = |p: &ConnectingThread, l: &LeafInfo| l.labels["zone"] == p.zone;
    let (mut home, mut total) = (0, 0);
    for p in &peers {
        for l in &leafs {
            let n = dealt[&(p.thread_id, l.leaf.clone())];
            total += n;
            home += if near(p, l) { n } else { 0 };
        }
    }
    expect_that!(total, eq(48));
    expect_that!(home, eq(48), "each zone has as many wires as its nodes want");
}

#[googletest::test]
fn many_nodes_share_few_connections_and_few_nodes_get_many() {
    let leafs: Vec<_> = (0..3).map(leaf).collect();
    // 60 nodes and 3 leafs with 9 connections each: 27 nodes have one.
    let dealt = all(&nodes(60), &leafs, 10);
    expect_that!(dealt.values().sum::<u64>(), eq(27));
    expect_that!(dealt.values().max().copied(), some(eq(1)));
    // Two nodes have half of each leaf.
    let dealt = all(&nodes(2), &leafs, 20);
    expect_that!(dealt.values().all(|n| *n == 9), eq(true));
    // One connection in all is dealt to one node.
    let dealt = all(&nodes(5), &leafs[..1], 1);
    expect_that!(dealt.values().sum::<u64>(), eq(1));
    // Who is not among the nodes, or knows of no limit, has none.
    let list: Vec<&LeafInfo> = leafs.iter().collect();
    expect_that!(assigned_connections(&nodes(5), 1, &list, 10), each(eq(&0)));
    expect_that!(assigned_connections(&nodes(5), 3, &list, 0), each(eq(&0)));
    expect_that!(assigned_connections(&nodes(5), 3, &[], 10).len(), eq(0));
}

#[googletest::test]
fn removing_a_node_moves_a_bounded_share_of_the_connections() {
    // Guards against storms of new connections when one machine ends.
    let leafs: Vec<_> = (0..12).map(leaf).collect();
    let mut worst = 0;
    for limit in [10u64, 40, 60, 82] {
        let peers = nodes(12);
        let before = all(&peers, &leafs, limit);
        let total = before.values().sum::<u64>();
        for gone in 0..peers.len() {
            let mut rest = peers.clone();
            let slot = rest.remove(gone).thread_id;
            let after = all(&rest, &leafs, limit);
            let mut left = before.clone();
            left.retain(|(s, _), _| *s != slot);
            let share = moved(&left, &after) * 100 / total;
            worst = worst.max(share);
        }
    }
    println!("wires moved by a node that goes: at most {worst} %");
    assert!(worst <= MOVED_BY_NODE_PCT, "{worst} %");
}

#[googletest::test]
fn removing_a_leaf_moves_a_bounded_share_of_the_connections() {
    let peers = nodes(12);
    let mut worst = 0;
    for limit in [10u64, 40, 60, 82] {
        let leafs: Vec<_> = (0..12).map(leaf).collect();
        let before = all(&peers, &leafs, limit);
        let total = before.values().sum::<u64>();
        for gone in 0..leafs.len() {
            let mut rest = leafs.clone();
            let name = rest.remove(gone).leaf;
            let after = all(&peers, &rest, limit);
            let mut left = before.clone();
            left.retain(|(_, l), _| *l != name);
            worst = worst.max(moved(&left, &after) * 100 / total);
        }
    }
    println!("wires moved by a leaf that goes: at most {worst} %");
    assert!(worst <= MOVED_BY_LEAF_PCT, "{worst} %");
}

/// Shares of all connections that one node or one leaf less may move.
const MOVED_BY_NODE_PCT: u64 = 15;
const MOVED_BY_LEAF_PCT: u64 = 15;
