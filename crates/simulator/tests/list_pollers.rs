//! The platform's list is still polled when queriers that poll it stop, are paused or are lost: a
//! leaf whose leaving only the list shows gets no new work after 3 s.

#![allow(clippy::unwrap_used)]

mod common;

use grebepath_simulator::rules::Violation;
use grebepath_simulator::scenario::{Scenario, play, read};
use grebepath_simulator::world::{FaultyVariant, World};
use serde_json::{Value, json};

/// Queriers of the cluster (count).
const QUERIERS: u64 = 6;
/// Time for which a stopping querier still accepts calls (ms): longer than the maximum time until a
/// leaving leaf must be noticed.
const DRAIN_NOTICE_MS: u64 = 4_000;
/// Time of the first fault (s).
const FAULT_AT: f64 = 4.0;
/// Delays of the faults in the runs of a case (s): spread over the interval between two polls of
/// the list by any querier.
const DELAYS: [f64; 6] = [0.0, 0.35, 0.7, 1.05, 1.4, 1.75];
/// Lag of the list (s).
const LIST_LAG: f64 = 1.5;
/// How long before the first of several queriers is lost the list shows that leafs leave (s): long
/// enough that most polls of its poller come before the loss. `SHOWN_BEFORE_STOP` is the same for
/// the first stop.
const SHOWN_BEFORE_LOSS: f64 = 0.5;
const SHOWN_BEFORE_STOP: f64 = 0.1;
/// Interval between two stops (s).
const STOP_GAP: f64 = 0.3;

/// Returns a scenario in which leafs of all three zones leave, since each querier prefers the leafs
/// of its zone.
fn scenario(shown_before: f64, delay: f64, faults: &[Value]) -> Scenario {
    let mut all = faults.to_vec();
    all.push(json!({ "at_s": FAULT_AT - shown_before - LIST_LAG, "do": "leave-leafs", "count": 3,
                     "service": "mohalla-notices-w48-1" }));
    for fault in &mut all {
        fault["at_s"] = json!(fault["at_s"].as_f64().unwrap() + delay);
    }
    let scenario = json!({ "name": "list-pollers", "seconds": 12, "queriers": QUERIERS,
                           "factor": 0.1, "tells_leaving": false,
                           "drain_notice_ms": DRAIN_NOTICE_MS, "troubles": all });
    read(scenario.to_string().as_bytes(), &common::load)
        .unwrap_or_else(|all| panic!("{}", grebepath_core::diagnostic::lines(&all)))
}

/// Returns the violations of rule 13 in a run; other violations fail the test.
fn violations(scenario: &Scenario, variant: Option<FaultyVariant>) -> Vec<Violation> {
    let world: World = play(scenario, 5, variant);
    let other = world.rules.violation_counts.keys().find(|rule| **rule != 13);
    assert_eq!(other, None, "{:?}", world.rules.violations);
    world.rules.violations
}

/// Runs cases on several threads and returns those in which a leaving leaf got new work.
fn violating_runs(
    shown_before: f64,
    cases: &[Vec<Value>],
    variant: Option<FaultyVariant>,
) -> Vec<String> {
    let plays: Vec<Scenario> = cases
        .iter()
        .flat_map(|faults| DELAYS.map(|delay| scenario(shown_before, delay, faults)))
        .collect();
    let threads = std::thread::available_parallelism().unwrap().get();
    std::thread::scope(|scope| {
        let parts: Vec<_> = plays
            .chunks(plays.len().div_ceil(threads))
            .map(|part| {
                scope.spawn(move || {
                    let found = part.iter().filter_map(|play| {
                        let first = violations(play, variant).into_iter().next()?;
                        Some(format!("{}: {:?}", first.text, play.faults))
                    });
                    found.collect::<Vec<String>>()
                })
            })
            .collect();
        parts.into_iter().flat_map(|part| part.join().unwrap()).collect()
    })
}

fn fault(at_s: f64, action: &str, which: u64, for_s: f64) -> Value {
    json!({ "at_s": at_s, "do": action, "which": which, "for_s": for_s })
}

/// Returns all ordered pairs of queriers.
fn pairs() -> impl Iterator<Item = (u64, u64)> {
    let all = (0..QUERIERS).flat_map(|one| (0..QUERIERS).map(move |other| (one, other)));
    all.filter(|(one, other)| one != other)
}

/// Returns all combinations of three lost queriers out of six.
fn losses_of_half() -> Vec<Vec<Value>> {
    let chosen = |set: u64| (0..QUERIERS).filter(move |which| set >> which & 1 == 1);
    (0..1u64 << QUERIERS)
        .filter(|set| set.count_ones() == 3)
        .map(|set| chosen(set).map(|which| fault(FAULT_AT, "kill-querier", which, 6.0)).collect())
        .collect()
}

#[test]
fn half_of_the_queriers_are_lost_at_once() {
    // Guards against a list that nobody polls until the lease of a lost poller has expired.
    let cases = losses_of_half();
    assert_eq!(violating_runs(SHOWN_BEFORE_LOSS, &cases, None), Vec::<String>::new());
    let caught =
        violating_runs(SHOWN_BEFORE_LOSS, &cases, Some(FaultyVariant::NoSubstituteListPollers));
    assert!(!caught.is_empty(), "the variant without substitute pollers was not detected");
}

#[test]
fn half_of_the_queriers_are_paused_at_once() {
    let mut cases = losses_of_half();
    for pause in cases.iter_mut().flatten() {
        pause["do"] = json!("pause-querier");
    }
    assert_eq!(violating_runs(SHOWN_BEFORE_LOSS, &cases, None), Vec::<String>::new());
}

#[test]
fn all_queriers_but_one_stop_one_after_another() {
    // Guards against a list that nobody polls while its pollers stop.
    let cases: Vec<Vec<Value>> = pairs()
        .map(|(first, second)| {
            let rest = (0..QUERIERS).filter(|which| ![first, second].contains(which));
            let order = [first, second].into_iter().chain(rest).take(QUERIERS as usize - 1);
            let stop = |(which, turn)| {
                fault(FAULT_AT + STOP_GAP * f64::from(turn), "stop-querier", which, 8.0)
            };
            order.zip(0..).map(stop).collect()
        })
        .collect();
    assert_eq!(violating_runs(SHOWN_BEFORE_STOP, &cases, None), Vec::<String>::new());
}

#[test]
fn one_querier_stops_while_another_is_paused() {
    let cases: Vec<Vec<Value>> = pairs()
        .map(|(stops, still)| {
            vec![
                fault(FAULT_AT, "stop-querier", stops, 8.0),
                fault(FAULT_AT, "pause-querier", still, 5.0),
            ]
        })
        .collect();
    assert_eq!(violating_runs(SHOWN_BEFORE_STOP, &cases, None), Vec::<String>::new());
}
