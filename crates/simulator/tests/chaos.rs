//! Simulated clusters under random faults: single ones, pairs, and a final one.

#![allow(clippy::unwrap_used)]

mod common;

use grebepath_simulator::chaos::at;
use grebepath_simulator::report;
use grebepath_simulator::scenario::{Scenario, play, read};
use grebepath_simulator::world::{FaultyVariant, World};
use serde_json::json;

/// Number of seeds.
const SEEDS: u64 = 12;

#[test]
fn random_faults_violate_no_rule() {
    let threads: Vec<_> = (0..4)
        .map(|t| {
            std::thread::spawn(move || {
                (0..SEEDS).filter(|s| s % 4 == t).map(run_seed).collect::<Vec<_>>()
            })
        })
        .collect();
    let bad: Vec<String> = threads.into_iter().flat_map(|t| t.join().unwrap()).flatten().collect();
    assert!(bad.is_empty(), "{}", bad.join("\n"));
}

/// Returns a scenario with random faults: one of both deployments, the first with two index
/// versions, or one whose leafs are so small that the limits take effect.
fn build_scenario(seed: u64) -> Scenario {
    let (name, factor) =
        [("recut", 0.05), ("kahurangi", 0.05), ("tight", 0.3)][(seed % 3) as usize];
    let mut s = common::scenario("chaos", 70, factor, Vec::new());
    s.spec =
        grebepath_simulator::spec::parse(&common::load(&format!("{name}.standins.json")).unwrap())
            .unwrap();
    s.config = common::load(&format!("{name}.json")).unwrap();
    s.faults = grebepath_simulator::chaos::chaos(seed, &s);
    s
}

fn run_seed(seed: u64) -> Option<String> {
    let s = build_scenario(seed);
    let mut world = play(&s, seed, None);
    let settled = world.until(grebepath_core::time::SECOND * 20, World::settled);
    if world.rules.violation_counts.is_empty() && settled {
        return None;
    }
    let faults: Vec<String> = s.faults.iter().map(|t| format!("  {} ms {t}", t.at_ms)).collect();
    let event_log = world.rules.event_log.join("\n");
    Some(format!(
        "seed {seed}, settled {settled}\n{}\n{}\n{event_log}",
        report::table(&world),
        faults.join("\n")
    ))
}

/// Seeds of `soak-tight.json` that violated a rule in the past (docs/incidents, commit log).
const REGRESSION_SEEDS: [u64; 8] = [5_020, 5_105, 26_600, 31_003, 31_011, 31_033, 41_275, 42_351];

/// Seeds of `soak-silent.json`, where only the platform's list shows that leafs leave.
const LIST_ONLY_SEEDS: std::ops::Range<u64> = 0..8;

/// Returns the first violation of each of these seeds of a soak scenario, if it has any.
fn first_violations(name: &'static str, seeds: impl IntoIterator<Item = u64>) -> Vec<String> {
    let play_one = move |seed: u64| {
        let path = format!("{}/../../scenarios/{name}.json", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read(path).unwrap();
        let mut scenario = read(&text, &common::load)
            .unwrap_or_else(|all| panic!("{}", grebepath_core::diagnostic::lines(&all)));
        scenario.faults.extend(grebepath_simulator::chaos::chaos(seed, &scenario));
        let world = play(&scenario, seed, None);
        world.rules.violations.first().map(|found| format!("{name}, seed {seed}: {found:?}"))
    };
    let threads: Vec<_> =
        seeds.into_iter().map(|seed| std::thread::spawn(move || play_one(seed))).collect();
    threads.into_iter().filter_map(|thread| thread.join().unwrap()).collect()
}

#[test]
fn regression_seeds_violate_no_rule() {
    assert_eq!(first_violations("soak-tight", REGRESSION_SEEDS), Vec::<String>::new());
}

#[test]
fn leafs_that_leave_silently_get_no_work_under_random_faults() {
    assert_eq!(first_violations("soak-silent", LIST_ONLY_SEEDS), Vec::<String>::new());
}

#[test]
fn a_failing_seed_is_reduced_to_the_failing_fault() {
    let mut s = build_scenario(1);
    let leave = at(
        9.0,
        json!({ "do": "leave-leafs", "service": "kahurangi-fleet-w48-0",
                                "count": 2 }),
    );
    s.faults.push(grebepath_simulator::scenario::generated_fault(&leave));
    s.seconds = 20;
    let fails = |list: &[grebepath_simulator::scenario::ScheduledFault]| {
        let less = Scenario { faults: list.to_vec(), ..s.clone() };
        play(&less, 1, Some(FaultyVariant::IgnoresLeavingLeafs))
            .rules
            .violation_counts
            .contains_key(&7)
    };
    assert!(fails(&s.faults));
    let list = grebepath_simulator::chaos::shrink(&s.faults, fails);
    assert_eq!(list.len(), 1, "{list:?}");
    assert_eq!(list[0].action, "leave-leafs");
}
