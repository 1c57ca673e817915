//! Tests of operator requests that are sent again: an accepted request is acknowledged again,
//! however many others were accepted in between, or gets no definite answer; it is never rejected.

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

/// Returns a change of one zone with these terms.
fn zone_patch(terms: Value) -> Operation {
    let change = json!({ "zones": [{ "name": "z", "state": "open" }], "terms": terms });
    Operation::Patch(change.to_string().into_bytes())
}

/// Returns a change that builds on edition `base` and results in the next one.
fn edition_patch(base: u64) -> Operation {
    zone_patch(json!({ "after": base, "edition": base + 1 }))
}

/// Sends the request on edition `base` under a request id that is derived from it.
fn send(controller: &mut SingleController, base: u64) -> OperationResult {
    submit(controller, &format!("order-{base}"), edition_patch(base))
}

#[googletest::test]
fn a_request_resent_after_many_others_is_acknowledged_again() {
    for others in [600, 2_000] {
        let mut controller = single_controller();
        for base in 0..=others {
            let result = send(&mut controller, base);
            expect_that!(
                result,
                matches_pattern!(OperationResult::Accepted { .. }),
                "request {base}"
            );
        }
        let again = send(&mut controller, 0);
        expect_that!(
            again,
            matches_pattern!(OperationResult::Accepted {
                revision: eq(&1),
                is_repeat: eq(&true),
                ..
            }),
            "the first request, sent again after {others} others"
        );
    }
}

/// Number of requests accepted before the tests below, each on the edition of the previous one.
const ACCEPTED: u64 = 20_000;

/// Returns three controllers that have accepted this number of requests, and the revision of the
/// horizon.
fn cluster_with_evicted_requests() -> (Cluster, u64) {
    let mut controllers = cluster(3);
    let first = call_and_wait(&mut controllers, 0, "order-0", None, edition_patch(0));
    assert!(matches!(first, Some(OperationResult::Accepted { revision: 1, .. })), "{first:?}");
    assert!(run_until(&mut controllers, SECOND, |controllers| (0..3)
        .all(|n| cluster::synced_revision(controllers, n) == 1)));
    let mut copy = controllers.nodes[0].disk.synced[&CONFIG].clone();
    for base in 1..ACCEPTED {
        let Operation::Patch(text) = edition_patch(base) else { unreachable!() };
        let request_fingerprint = fingerprint(&format!("order-{base}"), false, &text);
        let entries = insert(&copy.entries, &request_fingerprint, base + 1, base + 1);
        apply_entries(&mut copy.entries, &entries);
    }
    let client_limits =
        grebepath_core::config::types::ClientLimits { edition: ACCEPTED, ..Default::default() };
    copy.entries.insert("terms".into(), prost::Message::encode_to_vec(&client_limits));
    copy.revision = ACCEPTED;
    for node in &mut controllers.nodes {
        let node_term = node.disk.synced[&CONFIG].current_term;
        node.disk.synced.insert(CONFIG, ReplicaState { current_term: node_term, ..copy.clone() });
    }
    restart_all(&mut controllers, true);
    let horizon = horizon(&copy.entries).revision;
    assert!(horizon > 2_000 && horizon < ACCEPTED - 16_000, "{horizon}");
    (controllers, horizon)
}

/// Returns the answers to a request through each controller, sent one after the other. Each must
/// arrive within a second.
fn call_all_controllers(
    controllers: &mut Cluster,
    request: &str,
    expect: Option<u64>,
    operation: &Operation,
) -> Vec<OperationResult> {
    let mut out = Vec::new();
    for node in 0..3 {
        let op = call(controllers, node, request, expect, operation.clone());
        let is_answered =
            run_until(controllers, SECOND, |controllers| controllers.answered.contains_key(&op));
        assert!(is_answered, "{request} at {node} is not answered within a second");
        out.push(controllers.answered[&op].clone());
    }
    out
}

#[googletest::test]
fn answers_are_definite_within_the_horizon_and_indefinite_beyond_it() {
    let (mut controllers, horizon) = cluster_with_evicted_requests();
    for base in [horizon, horizon + 1, 10_000, ACCEPTED - 1] {
        let result = call_all_controllers(
            &mut controllers,
            &format!("order-{base}"),
            None,
            &edition_patch(base),
        );
        let revision = base + 1;
        let is_acknowledged = matches_pattern!(OperationResult::Accepted {
            revision: eq(&revision),
            is_repeat: eq(&true),
            ..
        });
        expect_that!(result, each(is_acknowledged));
    }
    // A rival of a request that is in the table gets a definite rejection.
    for base in [horizon, 10_000, ACCEPTED - 1] {
        let result = call_all_controllers(
            &mut controllers,
            &format!("rival-{base}"),
            None,
            &edition_patch(base),
        );
        expect_that!(
            result,
            each(matches_pattern!(OperationResult::Conflict { revision: eq(&ACCEPTED) }))
        );
    }
    // A request that may have been evicted is answered at once, without a definite result.
    for base in [0, 1, 500, horizon - 1] {
        let result = call_all_controllers(
            &mut controllers,
            &format!("rival-{base}"),
            None,
            &edition_patch(base),
        );
        let is_indefinite = matches_pattern!(OperationResult::Forgotten {
            revision: eq(&horizon),
            edition: eq(&horizon)
        });
        expect_that!(result, each(is_indefinite), "{base}");
    }
    // A request that can never have been accepted is rejected, however old its base is.
    let unchanged_edition = zone_patch(json!({ "after": 5, "edition": 5 }));
    let result = call_all_controllers(&mut controllers, "wrong", None, &unchanged_edition);
    expect_that!(result, each(matches_pattern!(OperationResult::Conflict { .. })));
    let unreadable = Operation::Patch(b"{".to_vec());
    let result = call_all_controllers(&mut controllers, "unreadable", None, &unreadable);
    expect_that!(result, each(matches_pattern!(OperationResult::Invalid(_))));
}

#[googletest::test]
fn requests_that_name_a_revision_or_only_a_new_edition_are_judged_by_the_horizon() {
    let (mut controllers, horizon) = cluster_with_evicted_requests();
    let plain = zone_patch(json!({}));
    for (expect, is_definite) in [(1, false), (horizon - 1, false), (horizon, true), (15_000, true)]
    {
        let result = call_all_controllers(
            &mut controllers,
            &format!("expects-{expect}"),
            Some(expect),
            &plain,
        );
        if is_definite {
            expect_that!(
                result,
                each(matches_pattern!(OperationResult::Conflict { revision: eq(&ACCEPTED) }))
            );
        } else {
            expect_that!(
                result,
                each(matches_pattern!(OperationResult::Forgotten { .. })),
                "{expect}"
            );
        }
    }
    for (edition, is_definite) in
        [(1, false), (horizon, false), (horizon + 1, true), (ACCEPTED, true)]
    {
        let names = zone_patch(json!({ "edition": edition }));
        let result =
            call_all_controllers(&mut controllers, &format!("names-{edition}"), None, &names);
        if is_definite {
            expect_that!(result, each(matches_pattern!(OperationResult::Invalid(_))), "{edition}");
        } else {
            expect_that!(
                result,
                each(matches_pattern!(OperationResult::Forgotten { .. })),
                "{edition}"
            );
        }
    }
    // A request on the newest revision and edition is accepted.
    let result = call_and_wait(
        &mut controllers,
        1,
        "next",
        Some(ACCEPTED),
        zone_patch(json!({ "edition": ACCEPTED + 7 })),
    );
    expect_that!(
        result,
        some(matches_pattern!(OperationResult::Accepted { is_repeat: eq(&false), .. }))
    );
    // A request without revision and edition is recognized by its request id as long as that is in
    // the table.
    let first = call_and_wait(&mut controllers, 0, "plain", None, plain.clone());
    expect_that!(
        first,
        some(matches_pattern!(OperationResult::Accepted { is_repeat: eq(&false), .. }))
    );
    restart_all(&mut controllers, true);
    let result = call_all_controllers(&mut controllers, "plain", None, &plain);
    let is_acknowledged = matches_pattern!(OperationResult::Accepted {
        revision: eq(&(ACCEPTED + 2)),
        is_repeat: eq(&true),
        ..
    });
    expect_that!(result, each(is_acknowledged));
}

/// Returns controllers that start from files which an older build wrote, with five requests.
fn upgraded_cluster() -> Cluster {
    let slot = include_bytes!("fixtures/orders-older-form.slot");
    let log = include_bytes!("fixtures/orders-older-form.log");
    let StoredReplica::Intact { state: copy, .. } = read(0, [None, Some(slot)], Some(log)) else {
        unreachable!()
    };
    let mut controllers = cluster(3);
    for node in &mut controllers.nodes {
        let node_term = node.disk.synced[&CONFIG].current_term.max(copy.current_term);
        node.disk.synced.insert(CONFIG, ReplicaState { current_term: node_term, ..copy.clone() });
    }
    restart_all(&mut controllers, true);
    controllers
}

#[googletest::test]
fn requests_accepted_by_an_older_build_are_acknowledged_after_the_upgrade() {
    let mut controllers = upgraded_cluster();
    // Before the first new request, after it, and after a power loss of all controllers.
    for round in 0..3 {
        for base in 1..5 {
            let result = call_all_controllers(
                &mut controllers,
                &format!("order-{base}"),
                None,
                &edition_patch(base),
            );
            let revision = base + 1;
            let is_acknowledged = matches_pattern!(OperationResult::Accepted {
                revision: eq(&revision),
                is_repeat: eq(&true),
                ..
            });
            expect_that!(result, each(is_acknowledged), "round {round}");
            let result = call_all_controllers(
                &mut controllers,
                &format!("rival-{base}"),
                None,
                &edition_patch(base - 1),
            );
            expect_that!(
                result,
                each(matches_pattern!(OperationResult::Conflict { .. })),
                "round {round}"
            );
        }
        if round == 0 {
            let result = call_and_wait(&mut controllers, 1, "new", None, edition_patch(5));
            expect_that!(
                result,
                some(matches_pattern!(OperationResult::Accepted { revision: eq(&6), .. }))
            );
        } else {
            restart_all(&mut controllers, true);
        }
    }
}

#[googletest::test]
fn a_request_id_used_for_another_text_is_rejected_by_all_controllers() {
    let mut controllers = cluster(3);
    let result = call_and_wait(&mut controllers, 0, "id", None, edition_patch(0));
    expect_that!(result, some(matches_pattern!(OperationResult::Accepted { .. })));
    let replacement = Operation::Replace(match edition_patch(0) {
        Operation::Patch(text) => text,
        _ => unreachable!(),
    });
    for _ in 0..2 {
        for other in [edition_patch(1), replacement.clone(), zone_patch(json!({}))] {
            let result = call_all_controllers(&mut controllers, "id", None, &other);
            expect_that!(result, each(matches_pattern!(OperationResult::Invalid(_))));
        }
        let result = call_all_controllers(&mut controllers, "id", None, &edition_patch(0));
        expect_that!(
            result,
            each(matches_pattern!(OperationResult::Accepted { revision: eq(&1), .. }))
        );
        let old_leader = leader(&controllers).unwrap();
        cluster::kill(&mut controllers, old_leader, true);
        assert!(run_until(&mut controllers, 5 * SECOND, |controllers| leader(controllers)
            .is_some_and(|now| now != old_leader)));
        cluster::start(&mut controllers, old_leader, false);
        cluster::run_for(&mut controllers, SECOND);
    }
    // Sent at the same time through two controllers: one text wins, the other is rejected.
    let texts = [edition_patch(1), zone_patch(json!({ "after": 1, "edition": 9 }))];
    let [a, b] =
        [0, 1].map(|node: usize| call(&mut controllers, node, "new", None, texts[node].clone()));
    assert!(run_until(&mut controllers, 5 * SECOND, |controllers| [a, b]
        .iter()
        .all(|op| controllers.answered.contains_key(op))));
    let mut results = [controllers.answered[&a].clone(), controllers.answered[&b].clone()];
    results.sort_by_key(|result| !matches!(result, OperationResult::Accepted { .. }));
    expect_that!(results[0], matches_pattern!(OperationResult::Accepted { revision: eq(&2), .. }));
    expect_that!(results[1], matches_pattern!(OperationResult::Invalid(_)));
    let edition =
        read_configuration(&mut controllers, 2).map(|config| config.client_limits.edition);
    expect_that!(edition, some(any!(eq(2), eq(9))));
}

#[googletest::test]
fn concurrent_duplicates_at_all_controllers_are_accepted_once() {
    let mut controllers = cluster(3);
    for base in 0..20 {
        let request = format!("order-{base}");
        let calls: Vec<u64> = (0..6)
            .map(|n| {
                call(&mut controllers, (base as usize + n) % 3, &request, None, edition_patch(base))
            })
            .collect();
        assert!(run_until(&mut controllers, 5 * SECOND, |controllers| calls
            .iter()
            .all(|op| controllers.answered.contains_key(op))));
        for op in calls {
            let revision = base + 1;
            let is_acknowledged =
                matches_pattern!(OperationResult::Accepted { revision: eq(&revision), .. });
            expect_that!(controllers.answered[&op], is_acknowledged);
        }
    }
}
