//! Orders that are sent again: an order that was accepted is acknowledged
//! again, however many others were accepted in between, or left without a
//! clear answer; it is never refused.

mod cluster;
mod common;

use cluster::{
    Cluster, call, call_and_wait, cluster, leader, read_configuration, restart_all, run_until,
};
use common::{SingleController, single_controller, submit};
use googletest::prelude::*;
use grebepath_core::control_plane::request_dedup::{fingerprint, horizon, insert};
use grebepath_core::identifiers::CONFIG;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::storage::reader::{StoredReplica, read};
use grebepath_core::storage::record::{ReplicaState, apply_entries};
use grebepath_core::time::SECOND;
use serde_json::{Value, json};

/// A change of one zone with these terms.
fn operation(terms: Value) -> Operation {
    let change = json!({ "zones": [{ "name": "z", "state": "open" }], "terms": terms });
    Operation::Patch(change.to_string().into_bytes())
}

/// A change that builds on edition `base` and names the next one.
fn order(base: u64) -> Operation {
    operation(json!({ "after": base, "edition": base + 1 }))
}

/// Sends the order on edition `base` under its own request id.
fn send(controller: &mut SingleController, base: u64) -> OperationResult {
    submit(controller, &format!("order-{base}"), order(base))
}

#[googletest::test]
fn an_order_sent_again_after_many_others_is_acknowledged_again() {
    for others in [600, 2_000] {
        let mut controller = single_controller();
        for base in 0..=others {
            let done = send(&mut controller, base);
            expect_that!(done, matches_pattern!(OperationResult::Accepted { .. }), "order {base}");
        }
        let again = send(&mut controller, 0);
        expect_that!(
            again,
            matches_pattern!(OperationResult::Accepted {
                revision: eq(&1),
                is_repeat: eq(&true),
                ..
            }),
            "the first order, sent again after {others} others"
        );
    }
}

/// Orders accepted before the tests below, each on the edition before it.
const ACCEPTED: u64 = 20_000;

/// Three controllers that have accepted so many orders, and the horizon.
fn long_running() -> (Cluster, u64) {
    let mut c = cluster(3);
    let first = call_and_wait(&mut c, 0, "order-0", None, order(0));
    assert!(matches!(first, Some(OperationResult::Accepted { revision: 1, .. })), "{first:?}");
    assert!(run_until(&mut c, SECOND, |c| (0..3).all(|n| cluster::synced_revision(c, n) == 1)));
    let mut copy = c.nodes[0].disk.synced[&CONFIG].clone();
    for base in 1..ACCEPTED {
        let Operation::Patch(text) = order(base) else { unreachable!() };
        let print = fingerprint(&format!("order-{base}"), false, &text);
        let entries = insert(&copy.entries, &print, base + 1, base + 1);
        apply_entries(&mut copy.entries, &entries);
    }
    let client_limits =
        grebepath_core::config::types::ClientLimits { edition: ACCEPTED, ..Default::default() };
    copy.entries.insert("terms".into(), prost::Message::encode_to_vec(&client_limits));
    copy.revision = ACCEPTED;
    for node in &mut c.nodes {
        let promised = node.disk.synced[&CONFIG].current_term;
        node.disk.synced.insert(CONFIG, ReplicaState { current_term: promised, ..copy.clone() });
    }
    restart_all(&mut c, true);
    let horizon = horizon(&copy.entries).revision;
    assert!(horizon > 2_000 && horizon < ACCEPTED - 16_000, "{horizon}");
    (c, horizon)
}

/// The answer through each controller in turn; it must not take long.
fn everywhere(
    c: &mut Cluster,
    request: &str,
    expect: Option<u64>,
    operation: &Operation,
) -> Vec<OperationResult> {
    let mut out = Vec::new();
    for node in 0..3 {
        let op = call(c, node, request, expect, operation.clone());
        let answered = run_until(c, SECOND, |c| c.answered.contains_key(&op));
        assert!(answered, "{request} at {node} is not answered within a second");
        out.push(c.answered[&op].clone());
    }
    out
}

#[googletest::test]
fn beyond_the_memory_there_is_no_clear_answer_and_within_it_always_one() {
    let (mut c, horizon) = long_running();
    for base in [horizon, horizon + 1, 10_000, ACCEPTED - 1] {
        let done = everywhere(&mut c, &format!("order-{base}"), None, &order(base));
        let revision = base + 1;
        let same = matches_pattern!(OperationResult::Accepted {
            revision: eq(&revision),
            is_repeat: eq(&true),
            ..
        });
        expect_that!(done, each(same));
    }
    // A rival of an order that is remembered has lost the race, clearly.
    for base in [horizon, 10_000, ACCEPTED - 1] {
        let done = everywhere(&mut c, &format!("rival-{base}"), None, &order(base));
        expect_that!(
            done,
            each(matches_pattern!(OperationResult::Conflict { revision: eq(&ACCEPTED) }))
        );
    }
    // What may be forgotten gets no clear answer, and at once.
    for base in [0, 1, 500, horizon - 1] {
        let done = everywhere(&mut c, &format!("rival-{base}"), None, &order(base));
        let unclear = matches_pattern!(OperationResult::Forgotten {
            revision: eq(&horizon),
            edition: eq(&horizon)
        });
        expect_that!(done, each(unclear), "{base}");
    }
    // What can never have been accepted is refused, however old its base.
    let wrong = operation(json!({ "after": 5, "edition": 5 }));
    let done = everywhere(&mut c, "wrong", None, &wrong);
    expect_that!(done, each(matches_pattern!(OperationResult::Conflict { .. })));
    let unreadable = Operation::Patch(b"{".to_vec());
    let done = everywhere(&mut c, "unreadable", None, &unreadable);
    expect_that!(done, each(matches_pattern!(OperationResult::Invalid(_))));
}

#[googletest::test]
fn orders_that_name_a_revision_or_only_their_own_edition() {
    let (mut c, horizon) = long_running();
    let plain = operation(json!({}));
    for (expect, clear) in [(1, false), (horizon - 1, false), (horizon, true), (15_000, true)] {
        let done = everywhere(&mut c, &format!("expects-{expect}"), Some(expect), &plain);
        if clear {
            expect_that!(
                done,
                each(matches_pattern!(OperationResult::Conflict { revision: eq(&ACCEPTED) }))
            );
        } else {
            expect_that!(
                done,
                each(matches_pattern!(OperationResult::Forgotten { .. })),
                "{expect}"
            );
        }
    }
    for (edition, clear) in [(1, false), (horizon, false), (horizon + 1, true), (ACCEPTED, true)] {
        let names = operation(json!({ "edition": edition }));
        let done = everywhere(&mut c, &format!("names-{edition}"), None, &names);
        if clear {
            expect_that!(done, each(matches_pattern!(OperationResult::Invalid(_))), "{edition}");
        } else {
            expect_that!(
                done,
                each(matches_pattern!(OperationResult::Forgotten { .. })),
                "{edition}"
            );
        }
    }
    // The newest revision and edition are judged as ever.
    let done = call_and_wait(
        &mut c,
        1,
        "next",
        Some(ACCEPTED),
        operation(json!({ "edition": ACCEPTED + 7 })),
    );
    expect_that!(
        done,
        some(matches_pattern!(OperationResult::Accepted { is_repeat: eq(&false), .. }))
    );
    // An order that names nothing is known by its request id as long as that is
    // remembered.
    let first = call_and_wait(&mut c, 0, "plain", None, plain.clone());
    expect_that!(
        first,
        some(matches_pattern!(OperationResult::Accepted { is_repeat: eq(&false), .. }))
    );
    restart_all(&mut c, true);
    let done = everywhere(&mut c, "plain", None, &plain);
    let same = matches_pattern!(OperationResult::Accepted {
        revision: eq(&(ACCEPTED + 2)),
        is_repeat: eq(&true),
        ..
    });
    expect_that!(done, each(same));
}

/// Controllers that start on files which an older build wrote: five orders.
fn upgraded() -> Cluster {
    let slot = include_bytes!("fixtures/orders-older-form.slot");
    let log = include_bytes!("fixtures/orders-older-form.log");
    let StoredReplica::Intact { state: copy, .. } = read(0, [None, Some(slot)], Some(log)) else {
        unreachable!()
    };
    let mut c = cluster(3);
    for node in &mut c.nodes {
        let promised = node.disk.synced[&CONFIG].current_term.max(copy.current_term);
        node.disk.synced.insert(CONFIG, ReplicaState { current_term: promised, ..copy.clone() });
    }
    restart_all(&mut c, true);
    c
}

#[googletest::test]
fn orders_that_an_older_build_accepted_are_acknowledged_after_the_upgrade() {
    let mut c = upgraded();
    // Before the first new order, after it, and after all have lost power.
    for round in 0..3 {
        for base in 1..5 {
            let done = everywhere(&mut c, &format!("order-{base}"), None, &order(base));
            let revision = base + 1;
            let same = matches_pattern!(OperationResult::Accepted {
                revision: eq(&revision),
                is_repeat: eq(&true),
                ..
            });
            expect_that!(done, each(same), "round {round}");
            let done = everywhere(&mut c, &format!("rival-{base}"), None, &order(base - 1));
            expect_that!(
                done,
                each(matches_pattern!(OperationResult::Conflict { .. })),
                "round {round}"
            );
        }
        if round == 0 {
            let done = call_and_wait(&mut c, 1, "new", None, order(5));
            expect_that!(
                done,
                some(matches_pattern!(OperationResult::Accepted { revision: eq(&6), .. }))
            );
        } else {
            restart_all(&mut c, true);
        }
    }
}

#[googletest::test]
fn a_request_id_that_was_used_for_another_text_is_refused_everywhere() {
    let mut c = cluster(3);
    let done = call_and_wait(&mut c, 0, "id", None, order(0));
    expect_that!(done, some(matches_pattern!(OperationResult::Accepted { .. })));
    let whole = Operation::Replace(match order(0) {
        Operation::Patch(text) => text,
        _ => unreachable!(),
    });
    for _ in 0..2 {
        for other in [order(1), whole.clone(), operation(json!({}))] {
            let done = everywhere(&mut c, "id", None, &other);
            expect_that!(done, each(matches_pattern!(OperationResult::Invalid(_))));
        }
        let done = everywhere(&mut c, "id", None, &order(0));
        expect_that!(
            done,
            each(matches_pattern!(OperationResult::Accepted { revision: eq(&1), .. }))
        );
        let leads = leader(&c).unwrap();
        cluster::kill(&mut c, leads, true);
        assert!(run_until(&mut c, 5 * SECOND, |c| leader(c).is_some_and(|now| now != leads)));
        cluster::start(&mut c, leads, false);
        cluster::run_for(&mut c, SECOND);
    }
    // At one moment through two controllers: one text wins, the other is refused.
    let texts = [order(1), operation(json!({ "after": 1, "edition": 9 }))];
    let [a, b] = [0, 1].map(|node: usize| call(&mut c, node, "new", None, texts[node].clone()));
    assert!(run_until(&mut c, 5 * SECOND, |c| [a, b].iter().all(|op| c.answered.contains_key(op))));
    let mut answered = [c.answered[&a].clone(), c.answered[&b].clone()];
    answered.sort_by_key(|done| !matches!(done, OperationResult::Accepted { .. }));
    expect_that!(answered[0], matches_pattern!(OperationResult::Accepted { revision: eq(&2), .. }));
    expect_that!(answered[1], matches_pattern!(OperationResult::Invalid(_)));
    let edition = read_configuration(&mut c, 2).map(|conf| conf.client_limits.edition);
    expect_that!(edition, some(any!(eq(2), eq(9))));
}

#[googletest::test]
fn duplicates_in_flight_at_all_controllers_are_one_order() {
    let mut c = cluster(3);
    for base in 0..20 {
        let request = format!("order-{base}");
        let calls: Vec<u64> = (0..6)
            .map(|n| call(&mut c, (base as usize + n) % 3, &request, None, order(base)))
            .collect();
        assert!(run_until(&mut c, 5 * SECOND, |c| calls
            .iter()
            .all(|op| c.answered.contains_key(op))));
        for op in calls {
            let revision = base + 1;
            let same = matches_pattern!(OperationResult::Accepted { revision: eq(&revision), .. });
            expect_that!(c.answered[&op], same);
        }
    }
}
