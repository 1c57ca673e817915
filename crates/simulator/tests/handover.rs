//! Graceful stops of controllers combined with further losses. A voter hands its slot and its state
//! over to a spare before it exits, so that after one more loss a majority still holds everything.

mod common;

use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::time::{SECOND, ms};
use grebepath_simulator::chaos::at;
use grebepath_simulator::scenario::{Scenario, play, read};
use grebepath_simulator::world::{FaultyVariant, World};
use serde_json::{Value, json};

/// Delays between the stop request and a second loss (ms).
const MOMENTS: [u64; 14] = [0, 5, 20, 40, 60, 80, 100, 130, 160, 200, 300, 400, 700, 1_500];

fn build_scenario(
    voter_slots: usize,
    controllers: usize,
    seconds: u64,
    faults: Vec<Value>,
) -> Scenario {
    let val = json!({ "name": "handover", "seconds": seconds, "queriers": 4, "factor": 0.02,
                      "seats": voter_slots, "controllers": controllers, "troubles": faults });
    read(val.to_string().as_bytes(), &common::load)
        .unwrap_or_else(|all| panic!("{}", grebepath_core::diagnostic::lines(&all)))
}

/// Sends operator requests continuously.
fn storm(count: u64) -> Value {
    at(0.5, json!({ "do": "storm", "count": count, "gap_ms": 40 }))
}

fn stop(which: u64) -> Value {
    at(4.0, json!({ "do": "stop-seat", "which": which }))
}

/// Runs a scenario and waits until the cluster has recovered; also returns whether it has.
fn run_and_recover(
    scenario: &Scenario,
    seed: u64,
    faulty_variant: Option<FaultyVariant>,
) -> (World, bool) {
    let mut world = play(scenario, seed, faulty_variant);
    let recovered = world.until(20 * SECOND, |world| world.settled() && world.all_slots_voting());
    (world, recovered)
}

fn assert_no_violation(name: &str, scenario: &Scenario, seed: u64) -> World {
    let (world, recovered) = run_and_recover(scenario, seed, None);
    let event_log = || world.rules.event_log.join("\n");
    assert!(
        world.rules.violations.is_empty(),
        "{name}, {seed}: {:?}\n{}",
        world.rules.violations,
        event_log()
    );
    assert!(recovered, "{name}, {seed}: not recovered\n{}", event_log());
    world
}

/// Returns the machine that holds a voter slot.
fn holder(world: &World, slot: u8) -> Option<usize> {
    world.controllers.iter().position(|n| n.up && n.state.slot == slot)
}

fn accepted(world: &World) -> usize {
    world
        .operator_requests
        .iter()
        .filter(|o| matches!(o.result, Some(OperationResult::Accepted { .. })))
        .count()
}

/// Runs each case on a thread.
fn each<T: Sync>(cases: &[T], body: impl Fn(usize, &T) + Sync) {
    std::thread::scope(|scope| {
        for (number, case) in cases.iter().enumerate() {
            let body = &body;
            scope.spawn(move || body(number, case));
        }
    });
}

#[test]
fn a_stopping_voter_hands_its_slot_to_a_spare_before_it_exits() {
    // Machine 3 is the spare; the voter in the same zone stops.
    let scenario = build_scenario(3, 4, 5, vec![storm(100), stop(0)]);
    each(&[1u64, 2, 3, 4], |_, seed| {
        let mut world = play(&scenario, *seed, None);
        assert!(world.rules.violations.is_empty(), "{:?}", world.rules.violations);
        let event_log = world.rules.event_log.join("\n");
        assert_eq!(holder(&world, 0), Some(3), "{event_log}");
        assert!(!world.controllers[0].up, "still running\n{event_log}");
        assert!(world.until(ms(1), World::all_slots_voting), "{event_log}");
    });
}

#[test]
fn a_second_disk_lost_at_any_moment_of_a_departure_loses_nothing() {
    let mut cases = Vec::new();
    for leaving in 0..3u64 {
        for other in (0..3u64).filter(|n| *n != leaving) {
            cases.extend(MOMENTS.map(|after| (leaving, other, after)));
        }
    }
    each(&cases, |number, (leaving, other, after)| {
        let lost = json!({ "do": "kill-seat", "which": other, "for_s": 1.0, "lose": true });
        let lost = at(4.0 + *after as f64 / 1_000.0, lost);
        // There is a spare in each zone, so that any voter has a successor.
        let scenario = build_scenario(3, 6, 14, vec![storm(120), stop(*leaving), lost]);
        let name = format!("{leaving} leaves, {other} lost after {after} ms");
        let world = assert_no_violation(&name, &scenario, number as u64);
        assert!(accepted(&world) > 100, "{name}: {} accepted", accepted(&world));
    });
}

#[test]
fn a_successor_lost_at_any_moment_of_a_departure_loses_nothing() {
    each(&MOMENTS, |number, after| {
        let lost = json!({ "do": "kill-seat", "which": 3, "lose": true });
        let lost = at(4.0 + *after as f64 / 1_000.0, lost);
        let scenario = build_scenario(3, 7, 16, vec![storm(120), stop(0), lost]);
        let world = assert_no_violation(
            &format!("the successor lost after {after} ms"),
            &scenario,
            number as u64,
        );
        // Another spare of the same zone holds the slot at the end.
        assert_eq!(holder(&world, 0), Some(6), "{after}");
    });
}

#[test]
fn a_power_loss_of_all_others_at_any_moment_of_a_departure_loses_nothing() {
    each(&MOMENTS, |number, after| {
        let from = 4.0 + *after as f64 / 1_000.0;
        let mut faults = vec![storm(120), stop(0)];
        for which in 1..4u64 {
            let kill = json!({ "do": "kill-seat", "which": which, "for_s": 0.8, "power": true });
            faults.push(at(from, kill));
        }
        let scenario = build_scenario(3, 4, 16, faults);
        assert_no_violation(&format!("no power after {after} ms"), &scenario, number as u64);
    });
}

#[test]
fn two_of_five_voters_leave_and_two_are_lost() {
    each(&MOMENTS, |number, after| {
        let lose = |which: u64, for_s: f64| {
            let kill = json!({ "do": "kill-seat", "which": which, "for_s": for_s, "lose": true });
            at(4.0 + *after as f64 / 1_000.0, kill)
        };
        let faults = vec![storm(120), stop(0), stop(3), lose(1, 1.0), lose(2, 1.3)];
        let scenario = build_scenario(5, 10, 16, faults);
        assert_no_violation(&format!("five voters, after {after} ms"), &scenario, number as u64);
    });
}

#[test]
fn a_paused_voter_whose_slot_was_taken_over_hands_nothing_over() {
    // The voter resumes after a spare took its slot, and processes the stop request first.
    each(&[2.6, 2.9, 3.0, 3.1, 3.2, 3.3, 3.4, 3.6, 4.0, 5.0], |number, pause| {
        let paused = json!({ "do": "pause-seat", "which": 0, "for_s": pause });
        let stops = at(2.0 + pause + 0.001, json!({ "do": "stop-seat", "which": 0 }));
        let faults = vec![storm(160), at(2.0, paused), stops];
        let scenario = build_scenario(3, 7, 14, faults);
        assert_no_violation(&format!("paused for {pause} s"), &scenario, number as u64);
    });
}

#[test]
fn rolling_restarts_move_the_slots_and_every_request_is_accepted() {
    // The spares of each zone take the slots, and later hand them back.
    let mut faults = vec![storm(300)];
    for which in 0..6u64 {
        let stop = json!({ "do": "stop-seat", "which": which, "for_s": 0.5 });
        faults.push(at(2.0 + which as f64 * 2.0, stop));
    }
    let scenario = build_scenario(3, 6, 18, faults);
    each(&[1u64, 2, 3, 4], |_, seed| {
        let world = assert_no_violation("restarts in turn", &scenario, *seed);
        let event_log = || world.rules.recent_log.iter().cloned().collect::<Vec<_>>().join("\n");
        for slot in 0..3 {
            assert_eq!(holder(&world, slot), Some(usize::from(slot)), "{}", event_log());
        }
        // One request may be in flight to each process that exits.
        let unanswered = world.operator_requests.iter().filter(|o| o.result.is_none()).count();
        assert!(unanswered <= 6, "{unanswered} without an answer\n{}", event_log());
        assert_eq!(accepted(&world) + unanswered, world.operator_requests.len(), "{}", event_log());
    });
}

#[test]
fn two_voters_leaving_together_never_hand_over_to_the_same_spare() {
    // The only spare could take either slot.
    let stop = |which: u64| at(2.0, json!({ "do": "stop-seat", "which": which, "for_s": 1.0 }));
    for leaving in [[0, 1], [0, 3], [1, 3], [1, 4]] {
        let scenario =
            build_scenario(5, 6, 12, vec![storm(120), stop(leaving[0]), stop(leaving[1])]);
        each(&[1u64, 2, 3, 4], |_, seed| {
            let world = assert_no_violation("two leave, one spare", &scenario, *seed);
            let given =
                world.alarms.keys().filter(|text| text.contains("given to another")).count();
            assert_eq!(given, 0, "{leaving:?}, {seed}: {:?}", world.alarms);
        });
    }
}

// ---- faulty variants ---------------------------------------------------------

#[test]
fn a_voter_that_exits_before_its_successor_holds_the_data_is_detected() {
    // This is the behaviour without handover of voter slots.
    let caught = std::sync::atomic::AtomicUsize::new(0);
    each(&MOMENTS, |number, after| {
        let lost = json!({ "do": "kill-seat", "which": 1, "for_s": 1.0, "lose": true });
        let lost = at(4.0 + *after as f64 / 1_000.0, lost);
        let scenario = build_scenario(3, 6, 14, vec![storm(120), stop(0), lost]);
        let (world, recovered) =
            run_and_recover(&scenario, number as u64, Some(FaultyVariant::StopsBeforeHandover));
        if !recovered || !world.rules.violations.is_empty() {
            caught.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        }
    });
    let caught = caught.into_inner();
    println!("{caught} of {} runs failed", MOMENTS.len());
    assert!(caught > MOMENTS.len() / 2, "{caught} of {}", MOMENTS.len());
}
