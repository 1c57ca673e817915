//! Moving voter slots: machines lost permanently, lost disks, several losses at once, and further
//! faults meanwhile.

mod common;

use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::time::{SECOND, ms};
use grebepath_simulator::chaos::at;
use grebepath_simulator::scenario::{Scenario, play, read};
use grebepath_simulator::world::{FaultyVariant, OperatorRequest, World};
use serde_json::{Value, json};

fn build_scenario(
    voter_slots: usize,
    controllers: usize,
    seconds: u64,
    faults: Vec<Value>,
) -> Scenario {
    let val = json!({ "name": "seats", "seconds": seconds, "queriers": 4, "factor": 0.02,
                      "seats": voter_slots, "controllers": controllers, "troubles": faults });
    match read(val.to_string().as_bytes(), &common::load) {
        Ok(s) => s,
        Err(all) => panic!("{}", grebepath_core::diagnostic::lines(&all)),
    }
}

/// Runs with several seeds; each must end with all voter slots voting and without a violation.
fn assert_no_violation(name: &str, s: &Scenario, check: impl Fn(&mut World, u64) + Sync) {
    std::thread::scope(|scope| {
        for seed in 0..4 {
            let check = &check;
            scope.spawn(move || {
                let mut world = play(s, seed, None);
                let recovered =
                    world.until(20 * SECOND, |world| world.settled() && world.all_slots_voting());
                let found = &world.rules.violations;
                let event_log = || world.rules.event_log.join("\n");
                assert!(found.is_empty(), "{name}, {seed}: {found:?}\n{}", event_log());
                assert!(recovered, "{name}, {seed}: not recovered\n{}", state(&world));
                check(&mut world, seed);
            });
        }
    });
}

fn state(world: &World) -> String {
    let mut out = String::new();
    for (i, n) in world.controllers.iter().enumerate() {
        let conditions: Vec<_> =
            n.state.partitions.iter().map(|p| format!("{:?}", p.condition)).collect();
        let table = &n.state.voter_slots.voter_file.voter_set.slots;
        let list: Vec<_> = table.iter().map(|h| format!("{}:{}", h.generation, h.addr)).collect();
        out += &format!("machine {i} up {} slot {} {conditions:?} {list:?}\n", n.up, n.state.slot);
    }
    out + &world.rules.recent_log.iter().cloned().collect::<Vec<_>>().join("\n")
}

/// Sends operator requests continuously.
fn storm(count: u64) -> Value {
    at(0.5, json!({ "do": "storm", "count": count, "gap_ms": 150 }))
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

/// Adds a spare in the zone within the first second.
fn spare(zone: &str) -> Value {
    at(0.6, json!({ "do": "add-seat", "zone": zone }))
}

const ZONES: [&str; 3] = ["a", "b", "c"];

#[test]
fn a_spare_takes_the_slot_of_a_lost_machine() {
    for (gone, zone) in ZONES.into_iter().enumerate() {
        let kill = at(4.0, json!({ "do": "kill-seat", "which": gone as u64 }));
        let s = build_scenario(3, 3, 25, vec![storm(120), spare(zone), kill]);
        assert_no_violation("takeover", &s, |world, _| {
            assert_eq!(holder(world, gone as u8), Some(3));
            assert!(accepted(world) > 100, "{} accepted", accepted(world));
        });
    }
}

#[test]
fn no_zone_gains_a_majority_of_the_voter_slots() {
    let kill = at(4.0, json!({ "do": "kill-seat", "which": 1 }));
    let s = build_scenario(3, 3, 20, vec![storm(60), spare("a"), kill]);
    let world = play(&s, 5, None);
    assert!(world.rules.violations.is_empty(), "{:?}", world.rules.violations);
    assert_eq!(
        (holder(&world, 1), world.controllers[3].state.slot),
        (None, grebepath_core::voter_set::NO_SLOT)
    );
}

#[test]
fn a_previous_slot_holder_returns_as_a_spare_and_takes_the_next_slot() {
    for power in [false, true] {
        let s = build_scenario(
            3,
            3,
            35,
            vec![
                storm(200),
                spare("b"),
                at(4.0, json!({ "do": "kill-seat", "which": 1, "power": power })),
                at(14.0, json!({ "do": "start-seat", "which": 1 })),
                at(20.0, json!({ "do": "kill-seat", "which": 3, "power": power })),
            ],
        );
        assert_no_violation("returns", &s, |world, _| assert_eq!(holder(world, 1), Some(1)));
    }
}

#[test]
fn an_isolated_voter_loses_its_slot_whichever_partitions_it_leads() {
    for (cut, zone) in ZONES.into_iter().enumerate() {
        let s = build_scenario(
            3,
            3,
            30,
            vec![
                storm(160),
                spare(zone),
                at(4.0, json!({ "do": "cut", "a": [format!("seat{cut}")], "b": ["all"] })),
                at(15.0, json!({ "do": "heal" })),
            ],
        );
        assert_no_violation("cut off", &s, |world, _| {
            assert_eq!(holder(world, cut as u8), Some(3));
            // The previous holder is a spare now, with another identity.
            assert_eq!(world.controllers[cut].state.slot, grebepath_core::voter_set::NO_SLOT);
        });
    }
}

#[test]
fn a_voter_unreachable_from_one_peer_keeps_its_slot() {
    let s = build_scenario(
        3,
        4,
        25,
        vec![
            storm(100),
            at(3.0, json!({ "do": "cut", "a": ["seat0"], "b": ["seat1"] })),
            at(15.0, json!({ "do": "heal" })),
        ],
    );
    assert_no_violation("half cut", &s, |world, _| assert_eq!(holder(world, 3), None));
    for n in [0, 1, 2] {
        let paused =
            vec![storm(100), at(3.0, json!({ "do": "pause-seat", "which": n, "for_s": 2 }))];
        assert_no_violation("paused", &build_scenario(3, 4, 20, paused), |world, _| {
            assert_eq!(holder(world, n), Some(n.into()))
        });
    }
}

#[test]
fn two_spares_never_take_the_same_voter_slot() {
    let kill = |t: f64, n: u64| at(t, json!({ "do": "kill-seat", "which": n }));
    let many = || vec![storm(160), spare("a"), spare("a"), spare("a")];
    let mut list = many();
    list.push(kill(4.0, 0));
    assert_no_violation("two spares", &build_scenario(3, 3, 20, list), |world, _| {
        assert_eq!((3..6).filter(|n| world.controllers[*n].has_voter_slot()).count(), 1);
    });
    // The spares that apply for the slot are killed at different times.
    for t in [6.4, 6.6, 6.8, 7.0, 7.2] {
        let mut list = many();
        list.extend([kill(4.0, 0), kill(t, 3), kill(t + 0.3, 4)]);
        assert_no_violation("dying spares", &build_scenario(3, 3, 30, list), |world, _| {
            assert_eq!(holder(world, 0), Some(5));
        });
    }
}

#[test]
fn a_disk_lost_right_after_an_acknowledgement_loses_no_change() {
    for n in 0..3u64 {
        let lost = json!({ "do": "kill-seat", "which": n, "for_s": 1.0, "lose": true });
        let s = build_scenario(3, 3, 20, vec![storm(60), at(6.02, lost)]);
        assert_no_violation("lost disk", &s, |world, _| {
            assert_eq!(holder(world, n as u8), Some(n as usize))
        });
        let all = json!({ "do": "restart-all", "power": true, "lose": n });
        assert_no_violation(
            "lost disk, all off",
            &build_scenario(3, 3, 20, vec![storm(60), at(4.02, all)]),
            |_, _| {},
        );
    }
}

#[test]
fn five_voters_tolerate_two_lost_disks_during_a_full_restart() {
    for lose in [[0, 1], [1, 4], [3, 4], [0, 2]] {
        for power in [false, true] {
            let all = json!({ "do": "restart-all", "power": power, "lose": lose });
            let s = build_scenario(5, 6, 25, vec![storm(80), at(5.02, all)]);
            assert_no_violation("two of five", &s, |world, _| assert!(accepted(world) > 20));
        }
    }
}

#[test]
fn two_of_five_machines_are_replaced_under_operator_requests() {
    let kill = |t: f64, n: u64| at(t, json!({ "do": "kill-seat", "which": n }));
    let s = build_scenario(5, 7, 30, vec![storm(180), kill(3.0, 0), kill(3.3, 3)]);
    assert_no_violation("two gone", &s, |world, _| {
        assert!(accepted(world) > 120, "{}", accepted(world))
    });
}

#[test]
fn all_machines_are_replaced_one_after_another() {
    let mut list = vec![storm(380)];
    for n in 0..3 {
        let t = 3.0 + 15.0 * f64::from(n);
        let zone = ["a", "b", "c"][n as usize];
        list.push(at(t, json!({ "do": "kill-seat", "which": n, "lose": true })));
        let seeds: Vec<i32> = (0..3).map(|k| if k <= n { k + 3 } else { k }).collect();
        list.push(at(t + 1.0, json!({ "do": "seeds", "list": seeds })));
        list.push(at(t + 1.0, json!({ "do": "add-seat", "zone": zone })));
        // A querier that starts later knows only the new seed addresses.
        list.push(at(t + 8.0, json!({ "do": "kill-querier", "which": n, "for_s": 1 })));
    }
    list.push(at(52.0, json!({ "do": "restart-all", "power": true })));
    assert_no_violation("exchanged", &build_scenario(3, 3, 70, list), |world, _| {
        for k in 0..3 {
            assert_eq!(holder(world, k), Some(usize::from(k) + 3));
        }
    });
}

#[test]
fn five_voter_slots_bootstrap_from_three_seeds() {
    for controllers in [5, 6, 8] {
        assert_no_violation(
            "first boot",
            &build_scenario(5, controllers, 15, vec![storm(40)]),
            |world, _| {
                assert!(accepted(world) >= 40);
            },
        );
    }
}

#[test]
fn operators_are_served_by_controllers_without_a_voter_slot() {
    let s = build_scenario(3, 5, 12, Vec::new());
    assert_no_violation("spare's operators", &s, |world, _| {
        let ask = |world: &mut World, spare: usize| {
            let n = world.operator_requests.len();
            let mut order = OperatorRequest::marked(n);
            order.controller = Some(spare);
            let id = world.submit(0, order);
            world.until(6 * SECOND, |world| world.operator_requests[id].result.is_some());
            matches!(world.operator_requests[id].result, Some(OperationResult::Accepted { .. }))
        };
        let spares: Vec<usize> = (0..5)
            .filter(|n| world.controllers[*n].state.slot == grebepath_core::voter_set::NO_SLOT)
            .collect();
        assert_eq!(spares.len(), 2);
        for spare in &spares {
            assert!(ask(world, *spare));
        }
        // After the loss of the leader, the spare finds the next one or takes the slot itself.
        let owner = world.controllers.iter().position(|n| {
            matches!(
                n.state.partitions[0].role,
                grebepath_core::replication::partition::Role::Leader(_)
            )
        });
        world.kill_controller(owner.unwrap(), false);
        for spare in spares {
            assert!(ask(world, spare));
        }
        world.run(ms(100));
    });
}

#[test]
fn a_slot_takeover_takes_less_than_six_seconds() {
    for (gone, zone) in ZONES.into_iter().enumerate() {
        let mut world = play(&build_scenario(3, 3, 3, vec![spare(zone)]), gone as u64, None);
        assert!(world.until(5 * SECOND, World::all_slots_voting));
        let at = world.now;
        world.kill_controller(gone, true);
        // `all_slots_voting` holds only once the slot has moved.
        assert!(world.until(20 * SECOND, |world| holder(world, gone as u8) == Some(3)));
        assert!(world.until(20 * SECOND, World::all_slots_voting));
        let took = world.now - at;
        println!("slot {gone} moved in {} ms", took / 1000);
        assert!(took < 6 * SECOND, "{took}");
    }
}

/// Returns a scenario in which voters that can't reach each other use different voter sets: one
/// still counts a holder that the others have replaced.
fn split(a: usize, old: usize, both: usize) -> Scenario {
    let name = |n: usize| format!("seat{n}");
    let cut = |a: Vec<String>, b: Vec<String>| at(4.0, json!({ "do": "cut", "a": a, "b": b }));
    build_scenario(
        5,
        5,
        25,
        vec![
            storm(130),
            spare(ZONES[old]),
            cut(vec![name(a), name(old)], vec![name(3), name(4), name(5)]),
            cut(vec![name(old)], vec![name(both)]),
            at(16.0, json!({ "do": "heal" })),
        ],
    )
}

#[test]
fn votes_counted_under_different_voter_sets_are_detected() {
    let cases = [(0, 1, 2), (0, 2, 1), (1, 0, 2), (1, 2, 0), (2, 0, 1), (2, 1, 0)];
    let caught = std::sync::atomic::AtomicU64::new(0);
    // The leaders are elected at random, so each case is run with several seeds.
    std::thread::scope(|scope| {
        for thread in 0..8 {
            let caught = &caught;
            scope.spawn(move || {
                for seed in (0..96u64).filter(|seed| seed % 8 == thread) {
                    let (a, old, both) = cases[seed as usize % cases.len()];
                    let s = split(a, old, both);
                    let world = play(&s, seed, None);
                    assert!(
                        world.rules.violations.is_empty(),
                        "without the variant: {:?}",
                        world.rules.violations
                    );
                    assert_eq!(holder(&world, old as u8), Some(5), "{}", state(&world));
                    let bad = play(&s, seed, Some(FaultyVariant::IgnoresOtherVoterSets));
                    let seen = u64::from(!bad.rules.violation_counts.is_empty());
                    caught.fetch_add(seen, std::sync::atomic::Ordering::Relaxed);
                }
            });
        }
    });
    let caught = caught.into_inner();
    println!("detected in {caught} of 96 runs");
    assert!(caught > 0, "the faulty variant was not detected");
}

#[test]
fn a_vote_of_a_voter_that_lost_its_disk_is_detected() {
    let kill = |t: f64, n: u64, more: Value| {
        let mut val = json!({ "do": "kill-seat", "which": n });
        val.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
        at(t, val)
    };
    let faults = vec![
        kill(1.0, 1, json!({ "for_s": 5.0 })),
        at(2.0, json!({ "do": "storm", "count": 20, "gap_ms": 100 })),
        kill(5.5, 0, json!({ "for_s": 12.0 })),
        kill(5.5, 2, json!({ "for_s": 0.5, "lose": true })),
    ];
    let s = common::scenario("amnesia", 25, 0.02, faults);
    let unmodified = play(&s, 3, None);
    assert!(unmodified.rules.violations.is_empty(), "{:?}", unmodified.rules.violations);
    let bad = play(&s, 3, Some(FaultyVariant::VotesAfterDiskLoss));
    assert!(bad.rules.violation_counts.contains_key(&12), "{:?}", bad.rules.violation_counts);
}

#[test]
fn random_faults_violate_no_rule_while_slots_move() {
    std::thread::scope(|scope| {
        for t in 0..4 {
            scope.spawn(move || {
                for seed in (0..12u64).filter(|n| n % 4 == t) {
                    let (voter_slots, controllers) =
                        [(3, 4), (5, 6), (3, 3), (5, 5)][seed as usize % 4];
                    let mut s = build_scenario(voter_slots, controllers, 70, Vec::new());
                    s.faults = grebepath_simulator::chaos::chaos(seed, &s);
                    let mut world = play(&s, seed, None);
                    let recovered = world.until(20 * SECOND, World::settled);
                    let found = &world.rules.violations;
                    let list: Vec<String> =
                        s.faults.iter().map(|t| format!("{} {t}", t.at_ms)).collect();
                    assert!(
                        found.is_empty() && recovered,
                        "seed {seed}, recovered {recovered}: {found:?}\n{}\n{}\n{}",
                        list.join("\n"),
                        world.rules.event_log.join("\n"),
                        state(&world)
                    );
                }
            });
        }
    });
}
