//! The assignment of the connections under a leaf's limit to all nodes.

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

/// Returns nodes in three zones, in the order of their thread ids, which are far apart.
fn nodes(n: usize) -> Vec<ConnectingThread> {
    (0..n)
        .map(|i| ConnectingThread { thread_id: i as u64 * 7_919 + 3, zone: ZONES[i % 3].into() })
        .collect()
}

/// Returns the connections by node and leaf, as each node computes its own.
fn assign(
    peers: &[ConnectingThread],
    leafs: &[LeafInfo],
    limit: u64,
) -> BTreeMap<(u64, String), u64> {
    let list: Vec<&LeafInfo> = leafs.iter().collect();
    let mut out = BTreeMap::new();
    for p in peers {
        for (l, n) in leafs.iter().zip(assigned_connections(peers, p.thread_id, &list, limit)) {
            out.insert((p.thread_id, l.leaf.clone()), n);
        }
    }
    out
}

fn of_leaf(assigned: &BTreeMap<(u64, String), u64>, leaf: &str) -> u64 {
    assigned.iter().filter(|((_, l), _)| l == leaf).map(|(_, n)| n).sum()
}

fn of_node(assigned: &BTreeMap<(u64, String), u64>, thread_id: u64) -> u64 {
    assigned.iter().filter(|((s, _), _)| *s == thread_id).map(|(_, n)| n).sum()
}

/// Returns the number of connections that are in one assignment and not in the other, for the
/// direction with more of them.
fn moved(a: &BTreeMap<(u64, String), u64>, b: &BTreeMap<(u64, String), u64>) -> u64 {
    let surplus = |x: &BTreeMap<(u64, String), u64>, y: &BTreeMap<(u64, String), u64>| {
        x.iter().map(|(k, n)| n.saturating_sub(y.get(k).copied().unwrap_or(0))).sum::<u64>()
    };
    surplus(a, b).max(surplus(b, a))
}

#[googletest::test]
fn a_leaf_never_gets_more_connections_than_its_limit_less_a_tenth() {
    // Guards against connections that a leaf resets over its limit: each reset fails a request.
    let mut random = Random::new(8);
    for _ in 0..300 {
        let peers = nodes(1 + random.below(40) as usize);
        let leafs: Vec<_> = (0..1 + random.below(12) as usize).map(leaf).collect();
        let limit = 1 + random.below(120);
        let assigned = assign(&peers, &leafs, limit);
        let most = if limit == 1 { 1 } else { limit - (limit / 10).max(1) };
        for l in &leafs {
            let sum = of_leaf(&assigned, &l.leaf);
            let (n, m) = (peers.len(), leafs.len());
            assert!(sum <= most, "{n} nodes, {m} leafs, limit {limit}: {sum} to {}", l.leaf);
        }
    }
}

#[googletest::test]
fn nodes_get_nearly_the_same_number_of_connections() {
    // Guards against a node that has no connections, or too many.
    let mut random = Random::new(9);
    for _ in 0..200 {
        let peers = nodes(1 + random.below(30) as usize);
        let leafs: Vec<_> = (0..1 + random.below(12) as usize).map(leaf).collect();
        let limit = 2 + random.below(100);
        let assigned = assign(&peers, &leafs, limit);
        let each: Vec<u64> = peers.iter().map(|p| of_node(&assigned, p.thread_id)).collect();
        let (low, high) = (each.iter().min().unwrap(), each.iter().max().unwrap());
        let fewer_than_nodes = assigned.values().sum::<u64>() < peers.len() as u64;
        let (n, m) = (peers.len(), leafs.len());
        assert!(high - low <= 1, "{n} nodes, {m} leafs, limit {limit}: {each:?}");
        assert!(fewer_than_nodes || *low >= 1, "{n} nodes, {m} leafs, limit {limit}: {each:?}");
    }
}

#[googletest::test]
fn most_of_the_available_connections_are_assigned() {
    // Guards against an assignment that uses only a small part of the limit.
    let mut random = Random::new(10);
    for _ in 0..200 {
        let peers = nodes(1 + random.below(30) as usize);
        let leafs: Vec<_> = (0..1 + random.below(12) as usize).map(leaf).collect();
        let limit = 10 + random.below(100);
        let assigned = assign(&peers, &leafs, limit).values().sum::<u64>();
        let available = (limit - limit / 10) * leafs.len() as u64;
        let (n, m) = (peers.len() as u64, leafs.len());
        // Less than one connection for each node is left over by rounding.
        assert!(
            assigned + n > available,
            "{n} nodes, {m} leafs, limit {limit}: {assigned} of {available}"
        );
    }
}

#[googletest::test]
fn a_nodes_few_connections_go_to_its_own_zone_first() {
    // Guards against needless traffic between zones.
    let peers = nodes(12);
    let leafs: Vec<_> = (0..12).map(leaf).collect();
    let assigned = assign(&peers, &leafs, 5);
    let is_same_zone = |p: &ConnectingThread, l: &LeafInfo| l.labels["zone"] == p.zone;
    let (mut in_zone, mut total) = (0, 0);
    for p in &peers {
        for l in &leafs {
            let n = assigned[&(p.thread_id, l.leaf.clone())];
            total += n;
            in_zone += if is_same_zone(p, l) { n } else { 0 };
        }
    }
    expect_that!(total, eq(48));
    expect_that!(in_zone, eq(48), "each zone has enough connections for its nodes");
}

#[googletest::test]
fn many_nodes_share_few_connections_and_few_nodes_get_many() {
    let leafs: Vec<_> = (0..3).map(leaf).collect();
    // 60 nodes and 3 leafs with 9 connections each: 27 nodes have one connection.
    let assigned = assign(&nodes(60), &leafs, 10);
    expect_that!(assigned.values().sum::<u64>(), eq(27));
    expect_that!(assigned.values().max().copied(), some(eq(1)));
    // Each of two nodes has half of each leaf's connections.
    let assigned = assign(&nodes(2), &leafs, 20);
    expect_that!(assigned.values().all(|n| *n == 9), eq(true));
    // A single connection is assigned to one node.
    let assigned = assign(&nodes(5), &leafs[..1], 1);
    expect_that!(assigned.values().sum::<u64>(), eq(1));
    // A node that is not in the list, or that knows no limit, has no connections.
    let list: Vec<&LeafInfo> = leafs.iter().collect();
    expect_that!(assigned_connections(&nodes(5), 1, &list, 10), each(eq(&0)));
    expect_that!(assigned_connections(&nodes(5), 3, &list, 0), each(eq(&0)));
    expect_that!(assigned_connections(&nodes(5), 3, &[], 10).len(), eq(0));
}

#[googletest::test]
fn removing_a_node_moves_a_bounded_share_of_the_connections() {
    // Guards against a storm of new connections when one machine stops.
    let leafs: Vec<_> = (0..12).map(leaf).collect();
    let mut worst = 0;
    for limit in [10u64, 40, 60, 82] {
        let peers = nodes(12);
        let before = assign(&peers, &leafs, limit);
        let total = before.values().sum::<u64>();
        for removed in 0..peers.len() {
            let mut remaining = peers.clone();
            let thread_id = remaining.remove(removed).thread_id;
            let after = assign(&remaining, &leafs, limit);
            let mut left = before.clone();
            left.retain(|(s, _), _| *s != thread_id);
            let share = moved(&left, &after) * 100 / total;
            worst = worst.max(share);
        }
    }
    println!("connections moved by the removal of a node: at most {worst} %");
    assert!(worst <= MOVED_BY_NODE_PCT, "{worst} %");
}

#[googletest::test]
fn removing_a_leaf_moves_a_bounded_share_of_the_connections() {
    let peers = nodes(12);
    let mut worst = 0;
    for limit in [10u64, 40, 60, 82] {
        let leafs: Vec<_> = (0..12).map(leaf).collect();
        let before = assign(&peers, &leafs, limit);
        let total = before.values().sum::<u64>();
        for removed in 0..leafs.len() {
            let mut remaining = leafs.clone();
            let name = remaining.remove(removed).leaf;
            let after = assign(&peers, &remaining, limit);
            let mut left = before.clone();
            left.retain(|(_, l), _| *l != name);
            worst = worst.max(moved(&left, &after) * 100 / total);
        }
    }
    println!("connections moved by the removal of a leaf: at most {worst} %");
    assert!(worst <= MOVED_BY_LEAF_PCT, "{worst} %");
}

/// Maximum share of all connections that the removal of one node or one leaf may move.
const MOVED_BY_NODE_PCT: u64 = 15;
const MOVED_BY_LEAF_PCT: u64 = 15;
