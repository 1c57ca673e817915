//! Runs every scenario of the repository at a fraction of its load. None may violate a rule, and
//! each must show its intended result.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;

use grebepath_core::time::SECOND;
use grebepath_simulator::scenario::{play, read};
use grebepath_simulator::world::World;
use serde_json::json;

/// Fraction of each scenario's load that is used here.
const LOAD_FRACTION: f64 = 0.12;

fn all() -> BTreeMap<String, World> {
    let dir = format!("{}/../../scenarios", env!("CARGO_MANIFEST_DIR"));
    let mut names: Vec<String> = std::fs::read_dir(&dir)
        .unwrap()
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .filter(|n| n.ends_with(".json"))
        .collect();
    names.sort();
    let threads: Vec<_> = (0..8)
        .map(|t| {
            let (names, dir) = (names.clone(), dir.clone());
            std::thread::spawn(move || {
                let mine = names.iter().enumerate().filter(|(i, _)| i % 8 == t);
                mine.map(|(_, n)| run_scenario(&dir, n)).collect::<Vec<_>>()
            })
        })
        .collect();
    threads.into_iter().flat_map(|t| t.join().unwrap()).collect()
}

fn run_scenario(dir: &str, name: &str) -> (String, World) {
    let text = std::fs::read(format!("{dir}/{name}")).unwrap();
    let mut s = match read(&text, &common::load) {
        Ok(s) => s,
        Err(all) => panic!("{name}: {}", grebepath_core::diagnostic::lines(&all)),
    };
    // Overload scenarios, and those whose full load exceeds the leafs' capacity, keep their load.
    let heavy = ["restart-no-age.json", "weak-leafs.json"];
    if !name.starts_with("overload") && !heavy.contains(&name) {
        s.factor *= LOAD_FRACTION;
    }
    let mut world = play(&s, 3, None);
    if !["two-disks-lost"].contains(&s.name.as_str()) {
        let settled = world.until(20 * SECOND, World::settled);
        assert!(settled, "{name}: the cluster has not recovered 20 s after the last fault");
    }
    (name.trim_end_matches(".json").to_string(), world)
}

fn share(world: &World, kind: &str) -> (u64, u64, u64) {
    let t = &world.tallies[kind];
    let all = t.full + t.partial + t.rejected.values().sum::<u64>() + t.unreachable + t.timed_out;
    (t.full, t.partial, all)
}

#[test]
fn no_scenario_violates_a_rule() {
    let worlds = all();
    for (name, world) in &worlds {
        let found: Vec<_> = world.rules.violations.iter().map(|v| &v.text).collect();
        assert!(found.is_empty(), "{name}: {found:?}");
    }
    let get = |name: &str| &worlds[name];
    // Answers stay complete without faults, without controllers, or when one leaf of a shard is
    // unresponsive or lost.
    for name in ["calm", "core-gone", "leaf-dark", "leaf-vanish", "rolling", "disks", "recut"] {
        let (full, _, all) = share(get(name), "browse");
        assert!(full * 1000 >= all * 995, "{name}: {full} of {all} are full");
    }
    // A shard that is down makes answers partial, but doesn't fail them.
    let (full, partial, all) = share(get("shard-down"), "browse");
    assert!(partial > 0 && (full + partial) * 1000 >= all * 995, "{full} {partial} {all}");
    // Under five times the load, goodput stays near capacity and the urgent class is always served.
    let (full, _, all) = share(get("overload"), "alert");
    assert!(full * 100 >= all * 99, "alerts: {full} of {all}");
    let (full, partial, all) = share(get("overload"), "browse");
    assert!((full + partial) * 2 >= all, "browse: {full} {partial} of {all}");
    // Leafs with half of the configured capacity get less load, so that more queries succeed.
    let weak = get("weak-leafs");
    let (full, partial, all) = share(weak, "browse");
    assert!(full * 100 >= all * 75, "weak leafs: {full} {partial} of {all}");
    let attempts_over_capacity: u64 =
        weak.backends.leafs.values().map(|l| l.attempts_over_capacity).sum();
    assert!(
        attempts_over_capacity < 1_500,
        "{attempts_over_capacity} attempts started beyond the leafs' capacity"
    );
    // The loss of two disks raises an alarm, and queries are still served.
    let second = get("two-disks-lost");
    assert!(second.alarms.keys().any(|a| a.contains("two disks are lost")), "{:?}", second.alarms);
    let (full, _, all) = share(second, "browse");
    assert!(full * 100 >= all * 99, "{full} of {all}");
    // A zone is drained even if it has the last leafs of a shard.
    let (full, partial, all) = share(get("last-leafs-drained"), "browse");
    assert!(partial > 0 && (full + partial) * 100 >= all * 99, "{full} {partial} of {all}");
}

#[test]
fn queriers_that_have_not_applied_a_change_are_named_to_the_operator() {
    // The controllers hear all queriers, but no querier receives the change.
    let deaf = json!({ "at_s": 1.0, "do": "cut", "a": ["seats"], "b": ["queriers"],
                       "one_way": true });
    let s = common::scenario(
        "deaf",
        14,
        0.02,
        vec![deaf, json!({ "at_s": 1.2, "do": "storm", "count": 1 })],
    );
    let world = play(&s, 5, None);
    assert!(world.rules.violations.is_empty(), "{:?}", world.rules.violations);
    match &world.operator_requests[1].result {
        Some(grebepath_core::protocol::operation::OperationResult::Unknown { why }) => {
            assert!(why.contains("q0 (obeys 1)") && why.contains("q6 (obeys 1)"), "{why}");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_seed_reproduces_a_run_exactly() {
    let dir = format!("{}/../../scenarios", env!("CARGO_MANIFEST_DIR"));
    let print = |world: &World| grebepath_simulator::report::json(world).to_string();
    let (first, second) = (run_scenario(&dir, "rough.json").1, run_scenario(&dir, "rough.json").1);
    assert_eq!(print(&first), print(&second));
}

#[test]
fn invalid_scenarios_are_reported_with_locations() {
    let text = r#"{"seconds": 0, "queriers": 7, "speed": 2, "troubles": [
        {"at_s": 1, "do": "explode"}, {"do": "heal"},
        {"at_s": 2, "do": "kill-seat", "which": 3}, {"at_s": 2, "do": "heal", "ms": 3},
        {"at_s": 3, "do": "cut", "a": ["q9"], "b": ["all"]}]}"#;
    let all = read(text.as_bytes(), &common::load).err().unwrap();
    let places: Vec<&str> = all.iter().map(|f| f.location.as_str()).collect();
    for want in [
        "seconds",
        "speed",
        "troubles[0].do",
        "troubles[1].at_s",
        "troubles[2].which",
        "troubles[3].ms",
        "troubles[4].a",
    ] {
        assert!(places.contains(&want), "{want} is not among {places:?}");
    }
}
