//! Concurrent operators on different machines while controllers fail, answers are lost and requests
//! are resent: at once, after hundreds of other changes, after a restart of all controllers and
//! after the leader was replaced.

mod common;
mod operators;

use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::random::Random;
use grebepath_simulator::chaos::at;
use grebepath_simulator::scenario::{ScheduledFault, generated_fault, read};
use grebepath_simulator::world::{self, World};
use operators::{
    Change, Site, advance, answer, check_linearizable, patch, read_back, replacement_of, send,
    send_and_wait, site, tally, until,
};
use serde_json::json;

fn cluster(seed: u64) -> Site {
    site(&common::scenario("orders", 600, 0.01, Vec::new()), seed)
}

/// Starts a cluster with a fourth controller that has no voter slot: a spare.
fn cluster_with_spare(seed: u64) -> Site {
    let value = json!({ "name": "orders", "seconds": 600, "queriers": 7, "factor": 0.01,
        "seats": 3, "controllers": 4 });
    match read(value.to_string().as_bytes(), &common::load) {
        Ok(scenario) => site(&scenario, seed),
        Err(all) => panic!("{}", grebepath_core::diagnostic::lines(&all)),
    }
}

fn inject_fault(site: &mut Site, what: serde_json::Value) {
    let fault: ScheduledFault = generated_fault(&at(0.0, what));
    site.world.apply_fault(&fault);
}

/// All controllers lose power at the same time and restart half a second later.
fn power_loss(site: &mut Site) {
    for machine in 0..site.world.controllers.len() {
        let what = json!({ "do": "kill-seat", "which": machine, "power": true, "for_s": 0.5 });
        inject_fault(site, what);
    }
}

/// Returns the machine whose controller leads the configuration partition.
fn leader(world: &World) -> Option<usize> {
    use grebepath_core::replication::partition::Role;
    let leads = |n: &world::ControllerNode| matches!(&n.state.partitions[0].role, Role::Leader(o) if o.is_serving);
    world.controllers.iter().position(|n| n.up && leads(n))
}

fn revision(done: Option<OperationResult>) -> u64 {
    match done {
        Some(OperationResult::Accepted { revision, .. }) => revision,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Sends `count` changes of one zone from other operators, several of them concurrently.
fn send_other_changes(site: &mut Site, count: u64) {
    let first = site.world.operator_requests.len();
    for number in 0..count {
        let mut change = patch("busy", None);
        change.request = format!("other-{first}-{number}");
        send(site, (number % 3) as usize, &change, false);
        advance(site, 20);
    }
    advance(site, 1_000);
}

#[test]
fn a_request_is_acknowledged_again_after_hundreds_of_others_and_every_restart() {
    for (count, seed) in [(600, 1), (2_000, 2)] {
        let mut site = cluster(seed);
        // Two requests whose first answers are lost, and a conflicting request to the second.
        let operator_requests = [
            patch("first-of-two", Some((1, 2))),
            replacement_of(&site, "second-of-two", Some((2, 3))),
        ];
        let rival = patch("rival", Some((2, 3)));
        let mut revisions = Vec::new();
        for operator_request in &operator_requests {
            send(&mut site, 0, operator_request, true);
            advance(&mut site, 500);
            revisions.push(revision(send_and_wait(&mut site, 1, operator_request)));
        }
        assert!(matches!(
            send_and_wait(&mut site, 2, &rival),
            Some(OperationResult::Conflict { .. })
        ));
        send_other_changes(&mut site, count);
        let again = |site: &mut Site, when: &str| {
            for machine in 0..3 {
                for (operator_request, want) in operator_requests.iter().zip(&revisions) {
                    let done = send_and_wait(site, machine, operator_request);
                    assert_eq!(revision(done), *want, "{when}, machine {machine}");
                }
                let done = send_and_wait(site, machine, &rival);
                assert!(matches!(done, Some(OperationResult::Conflict { .. })), "{when}: {done:?}");
            }
        };
        again(&mut site, "after other changes");
        power_loss(&mut site);
        advance(&mut site, 8_000);
        again(&mut site, "after a power loss");
        let gone = leader(&site.world).expect("a leader");
        inject_fault(
            &mut site,
            json!({ "do": "kill-seat", "which": gone, "lose": true, "for_s": 4 }),
        );
        advance(&mut site, 12_000);
        again(&mut site, "after the leader was replaced by one with an empty disk");
        let accepted = tally(&site)["accepted"];
        assert!(accepted as u64 > count, "{:?}", tally(&site));
        check_linearizable(&site).unwrap_or_else(|why| panic!("{count}: {why}"));
    }
}

/// Two operators repeatedly change the same edition through random machines while controllers fail.
fn run_race(seed: u64, rounds: u64) -> Site {
    let mut site = if seed.is_multiple_of(2) { cluster(seed) } else { cluster_with_spare(seed) };
    let machines = site.world.controllers.len() as u64;
    let mut random = Random::new(seed);
    let mut edition = 1;
    for round in 0..rounds {
        let next = edition + 1 + random.below(3);
        let zone = |who: &str| format!("{who}-{}", round % 5);
        let pair: [Change; 2] = std::array::from_fn(|who| {
            let number = if random.chance(1, 2) { next } else { next + 1 };
            let base = Some((edition, number));
            let zone = zone(["left", "right"][who]);
            match random.below(3) {
                0 => replacement_of(&site, &zone, base),
                _ => patch(&zone, base),
            }
        });
        if random.chance(1, 3) {
            fault(&mut site, random.below(6), seed + round);
        }
        for _ in 0..3 {
            for operator_request in &pair {
                let machine = random.below(machines) as usize;
                let lost = random.chance(1, 3);
                send(&mut site, machine, operator_request, lost);
                advance(&mut site, random.below(3) * 40);
            }
        }
        advance(&mut site, 400 + random.below(2_000));
        if random.chance(1, 2) {
            inject_fault(&mut site, json!({ "do": "heal" }));
        }
        // The next round builds on the edition that is read, whichever operator created it.
        let machine = random.below(machines) as usize;
        if let Some((_, stands)) = read_back(&mut site, machine) {
            edition = stands;
        }
    }
    site
}

fn fault(site: &mut Site, kind: u64, seed: u64) {
    let leader_machine = leader(&site.world).unwrap_or(0);
    let other = (leader_machine + 1 + (seed % 2) as usize) % site.world.controllers.len();
    let what = match kind {
        0 => json!({ "do": "kill-seat", "which": leader_machine, "for_s": 1.5, "power": true }),
        1 => json!({ "do": "kill-seat", "which": other, "for_s": 2.0, "power": true }),
        2 => return power_loss(site),
        3 => json!({ "do": "cut", "a": [format!("seat{leader_machine}")], "b": ["seats"] }),
        4 => json!({ "do": "loss", "per_mille": 200 }),
        _ => json!({ "do": "heal" }),
    };
    inject_fault(site, what);
}

#[test]
fn concurrent_operators_see_one_register_while_controllers_fail() {
    std::thread::scope(|scope| {
        for seed in 0..6 {
            scope.spawn(move || {
                let mut site = run_race(seed, 60);
                inject_fault(&mut site, json!({ "do": "heal" }));
                advance(&mut site, 12_000);
                let read = read_back(&mut site, 0);
                assert!(read.is_some(), "seed {seed}: the configuration can't be read");
                check_linearizable(&site).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
                let tally = tally(&site);
                println!("seed {seed}: {tally:?}");
                assert!(tally["accepted"] > 40 && tally["moved"] > 40, "{tally:?}");
            });
        }
    });
}

#[test]
fn an_accepted_request_is_not_reported_unapplied_while_members_are_silent() {
    let mut site = cluster(3);
    let operator_request = patch("first-of-two", Some((1, 2)));
    let want = revision(send_and_wait(&mut site, 0, &operator_request));
    inject_fault(&mut site, json!({ "do": "cut", "a": ["seats"], "b": ["queriers"] }));
    advance(&mut site, 4_000);
    let done = send_and_wait(&mut site, 1, &operator_request);
    assert!(
        matches!(done, Some(OperationResult::Unknown { .. } | OperationResult::Accepted { .. })),
        "{done:?}"
    );
    // A new request is committed, but not acknowledged until the members have applied it.
    let fresh = patch("other", Some((2, 3)));
    let done = send_and_wait(&mut site, 1, &fresh);
    assert!(matches!(done, Some(OperationResult::Unknown { .. })), "{done:?}");
    inject_fault(&mut site, json!({ "do": "heal" }));
    advance(&mut site, 5_000);
    assert_eq!(revision(send_and_wait(&mut site, 2, &operator_request)), want);
    assert!(revision(send_and_wait(&mut site, 2, &fresh)) > want);
    check_linearizable(&site).unwrap();
}

// ---- injected errors ---------------------------------------------------------

/// Removes the records of processed requests from every controller.
fn remove_request_records(site: &mut Site) {
    for node in &mut site.world.controllers {
        node.state.partitions[0].state.entries.retain(|key, _| !key.starts_with("order/"));
    }
}

#[test]
fn lost_records_of_requests_are_detected() {
    let mut site = cluster(4);
    let operator_request = patch("first-of-two", Some((1, 2)));
    revision(send_and_wait(&mut site, 0, &operator_request));
    advance(&mut site, 100);
    remove_request_records(&mut site);
    send_and_wait(&mut site, 1, &operator_request);
    let why = check_linearizable(&site).unwrap_err();
    assert!(why.contains("resent unchanged, and refused"), "{why}");
}

#[test]
fn two_requests_accepted_on_one_edition_are_detected() {
    let mut site = cluster(5);
    let before = site.world.controllers[0].state.partitions[0].state.entries["terms"].clone();
    revision(send_and_wait(&mut site, 0, &patch("first-of-two", Some((1, 2)))));
    for node in &mut site.world.controllers {
        node.state.partitions[0].state.entries.insert("terms".into(), before.clone());
    }
    revision(send_and_wait(&mut site, 1, &patch("other", Some((1, 2)))));
    let why = check_linearizable(&site).unwrap_err();
    assert!(why.contains("edition"), "{why}");
}

#[test]
fn a_resent_request_that_is_applied_twice_is_detected() {
    let mut site = cluster(6);
    let operator_request = patch("first-of-two", None);
    let call = send(&mut site, 0, &operator_request, false);
    assert!(until(&mut site, 5, |s| answer(s, call).is_some()));
    remove_request_records(&mut site);
    send_and_wait(&mut site, 1, &operator_request);
    let why = check_linearizable(&site).unwrap_err();
    assert!(why.contains("and again as"), "{why}");
}
