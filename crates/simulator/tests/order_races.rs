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
    Change, Site, answer, ask, judged, pass, patch, read_back, send, site, tally, until, whole_of,
};
use serde_json::json;

fn fleet(seed: u64) -> Site {
    site(&common::scenario("orders", 600, 0.01, Vec::new()), seed)
}

/// Starts a cluster with a fourth controller that has no voter slot: a spare.
fn fleet_with_spare(seed: u64) -> Site {
    let value = json!({ "name": "orders", "seconds": 600, "queriers": 7, "factor": 0.01,
        "seats": 3, "controllers": 4 });
    match read(value.to_string().as_bytes(), &common::load) {
        Ok(scenario) => site(&scenario, seed),
        Err(all) => panic!("{}", grebepath_core::diagnostic::lines(&all)),
    }
}

fn strike(site: &mut Site, what: serde_json::Value) {
    let fault: ScheduledFault = generated_fault(&at(0.0, what));
    site.world.apply_fault(&fault);
}

/// All controllers lose power at the same time and restart half a second later.
fn power_loss(site: &mut Site) {
    for machine in 0..site.world.controllers.len() {
        let what = json!({ "do": "kill-seat", "which": machine, "power": true, "for_s": 0.5 });
        strike(site, what);
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
fn others(site: &mut Site, count: u64) {
    let first = site.world.operator_requests.len();
    for number in 0..count {
        let mut change = patch("busy", None);
        change.request = format!("other-{first}-{number}");
        send(site, (number % 3) as usize, &change, false);
        pass(site, 20);
    }
    pass(site, 1_000);
}

#[test]
fn a_request_is_acknowledged_again_after_hundreds_of_others_and_every_restart() {
    for (count, seed) in [(600, 1), (2_000, 2)] {
        let mut site = fleet(seed);
        // Two requests whose first answers are lost, and a conflicting request to the second.
        let orders =
            [patch("first-of-two", Some((1, 2))), whole_of(&site, "second-of-two", Some((2, 3)))];
        let rival = patch("rival", Some((2, 3)));
        let mut revisions = Vec::new();
        for order in &orders {
            send(&mut site, 0, order, true);
            pass(&mut site, 500);
            revisions.push(revision(ask(&mut site, 1, order)));
        }
        assert!(matches!(ask(&mut site, 2, &rival), Some(OperationResult::Conflict { .. })));
        others(&mut site, count);
        let again = |site: &mut Site, when: &str| {
            for machine in 0..3 {
                for (order, want) in orders.iter().zip(&revisions) {
                    let done = ask(site, machine, order);
                    assert_eq!(revision(done), *want, "{when}, machine {machine}");
                }
                let done = ask(site, machine, &rival);
                assert!(matches!(done, Some(OperationResult::Conflict { .. })), "{when}: {done:?}");
            }
        };
        again(&mut site, "after other changes");
        power_loss(&mut site);
        pass(&mut site, 8_000);
        again(&mut site, "after a power loss");
        let gone = leader(&site.world).expect("a leader");
        strike(&mut site, json!({ "do": "kill-seat", "which": gone, "lose": true, "for_s": 4 }));
        pass(&mut site, 12_000);
        again(&mut site, "after the leader was replaced by one with an empty disk");
        let accepted = tally(&site)["accepted"];
        assert!(accepted as u64 > count, "{:?}", tally(&site));
        judged(&site).unwrap_or_else(|why| panic!("{count}: {why}"));
    }
}

/// Two operators repeatedly change the same edition through random machines while controllers fail.
fn race(seed: u64, rounds: u64) -> Site {
    let mut site = if seed.is_multiple_of(2) { fleet(seed) } else { fleet_with_spare(seed) };
    let machines = site.world.controllers.len() as u64;
    let mut random = Random::new(seed);
    let mut edition = 1;
    for round in 0..rounds {
        let next = edition + 1 + random.below(3);
        let mark = |who: &str| format!("{who}-{}", round % 5);
        let pair: [Change; 2] = std::array::from_fn(|who| {
            let number = if random.chance(1, 2) { next } else { next + 1 };
            let base = Some((edition, number));
            let mark = mark(["left", "right"][who]);
            match random.below(3) {
                0 => whole_of(&site, &mark, base),
                _ => patch(&mark, base),
            }
        });
        if random.chance(1, 3) {
            fault(&mut site, random.below(6), seed + round);
        }
        for _ in 0..3 {
            for order in &pair {
                let machine = random.below(machines) as usize;
                let lost = random.chance(1, 3);
                send(&mut site, machine, order, lost);
                pass(&mut site, random.below(3) * 40);
            }
        }
        pass(&mut site, 400 + random.below(2_000));
        if random.chance(1, 2) {
            strike(&mut site, json!({ "do": "heal" }));
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
    let leads = leader(&site.world).unwrap_or(0);
    let other = (leads + 1 + (seed % 2) as usize) % site.world.controllers.len();
    let what = match kind {
        0 => json!({ "do": "kill-seat", "which": leads, "for_s": 1.5, "power": true }),
        1 => json!({ "do": "kill-seat", "which": other, "for_s": 2.0, "power": true }),
        2 => return power_loss(site),
        3 => json!({ "do": "cut", "a": [format!("seat{leads}")], "b": ["seats"] }),
        4 => json!({ "do": "loss", "per_mille": 200 }),
        _ => json!({ "do": "heal" }),
    };
    strike(site, what);
}

#[test]
fn concurrent_operators_see_one_register_while_controllers_fail() {
    std::thread::scope(|scope| {
        for seed in 0..6 {
            scope.spawn(move || {
                let mut site = race(seed, 60);
                strike(&mut site, json!({ "do": "heal" }));
                pass(&mut site, 12_000);
                let read = read_back(&mut site, 0);
                assert!(read.is_some(), "seed {seed}: the configuration can't be read");
                judged(&site).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
                let tally = tally(&site);
                println!("seed {seed}: {tally:?}");
                assert!(tally["accepted"] > 40 && tally["moved"] > 40, "{tally:?}");
            });
        }
    });
}

#[test]
fn an_accepted_request_is_not_reported_unapplied_while_members_are_silent() {
    let mut site = fleet(3);
    let order = patch("first-of-two", Some((1, 2)));
    let want = revision(ask(&mut site, 0, &order));
    strike(&mut site, json!({ "do": "cut", "a": ["seats"], "b": ["queriers"] }));
    pass(&mut site, 4_000);
    let done = ask(&mut site, 1, &order);
    assert!(
        matches!(done, Some(OperationResult::Unknown { .. } | OperationResult::Accepted { .. })),
        "{done:?}"
    );
    // A new request is committed, but not acknowledged until the members have applied it.
    let fresh = patch("other", Some((2, 3)));
    let done = ask(&mut site, 1, &fresh);
    assert!(matches!(done, Some(OperationResult::Unknown { .. })), "{done:?}");
    strike(&mut site, json!({ "do": "heal" }));
    pass(&mut site, 5_000);
    assert_eq!(revision(ask(&mut site, 2, &order)), want);
    assert!(revision(ask(&mut site, 2, &fresh)) > want);
    judged(&site).unwrap();
}

// ---- injected errors ---------------------------------------------------------

/// Removes the records of processed requests from every controller.
fn forget(site: &mut Site) {
    for node in &mut site.world.controllers {
        node.state.partitions[0].state.entries.retain(|key, _| !key.starts_with("order/"));
    }
}

#[test]
fn lost_records_of_requests_are_detected() {
    let mut site = fleet(4);
    let order = patch("first-of-two", Some((1, 2)));
    revision(ask(&mut site, 0, &order));
    pass(&mut site, 100);
    forget(&mut site);
    ask(&mut site, 1, &order);
    let why = judged(&site).unwrap_err();
    assert!(why.contains("resent unchanged, and refused"), "{why}");
}

#[test]
fn two_requests_accepted_on_one_edition_are_detected() {
    let mut site = fleet(5);
    let before = site.world.controllers[0].state.partitions[0].state.entries["terms"].clone();
    revision(ask(&mut site, 0, &patch("first-of-two", Some((1, 2)))));
    for node in &mut site.world.controllers {
        node.state.partitions[0].state.entries.insert("terms".into(), before.clone());
    }
    revision(ask(&mut site, 1, &patch("other", Some((1, 2)))));
    let why = judged(&site).unwrap_err();
    assert!(why.contains("edition"), "{why}");
}

#[test]
fn a_resent_request_that_is_applied_twice_is_detected() {
    let mut site = fleet(6);
    let order = patch("first-of-two", None);
    let call = send(&mut site, 0, &order, false);
    assert!(until(&mut site, 5, |s| answer(s, call).is_some()));
    forget(&mut site);
    ask(&mut site, 1, &order);
    let why = judged(&site).unwrap_err();
    assert!(why.contains("and again as"), "{why}");
}
