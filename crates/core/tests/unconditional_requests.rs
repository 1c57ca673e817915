//! Tests of operator requests without a request id and without a base. A delayed copy of such a
//! request can't be distinguished from a new one, so no controller applies it. The response names
//! the current revision; a request on that revision is rejected, however late it arrives, once
//! another one was accepted.

#![allow(clippy::unwrap_used)]

#[path = "common/cluster.rs"]
mod cluster;

use cluster::*;
use googletest::prelude::*;
use grebepath_core::config::types::Config;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::time::{SECOND, Span};
use serde_json::json;

/// Delay of the messages on a connection between controllers.
const DELAY: Span = 4 * SECOND;

fn zone(state: &str) -> Operation {
    let change = json!({ "zones": [{ "name": "a", "state": state }] });
    Operation::Patch(change.to_string().into_bytes())
}

/// Returns the current revision, as a controller reports it in response to a request without a
/// base.
fn reported_revision(cluster: &mut Cluster, node: usize) -> u64 {
    let operation = submit(cluster, node, "", zone("open"));
    match await_response(cluster, operation) {
        OperationResult::Conflict { revision } => revision,
        other => panic!("{other:?}"),
    }
}

fn accept(cluster: &mut Cluster, node: usize, id: &str, state: &str) {
    let operation = submit(cluster, node, id, zone(state));
    let result = await_response(cluster, operation);
    assert!(matches!(result, OperationResult::Accepted { .. }), "{result:?}");
}

/// Returns whether the zone is drained in the committed state of a controller.
fn is_drained(cluster: &Cluster, node: usize) -> bool {
    let configuration = Config::from_entries(&core_of(cluster, node).partitions[0].committed);
    configuration.unwrap().zones.get("a").is_some_and(|zone| zone.drained)
}

#[googletest::test]
fn a_request_without_id_and_base_is_never_applied() {
    let (mut cluster, first, other) = cluster_with_leader(3);
    accept(&mut cluster, first, "drain", "drained");
    run(&mut cluster, SECOND);
    let committed = core_of(&cluster, first).partitions[0].committed_revision;
    for node in [first, other] {
        expect_that!(reported_revision(&mut cluster, node), eq(committed), "{node}");
    }
    run(&mut cluster, SECOND);
    expect_that!(is_drained(&cluster, first), eq(true));
}

#[googletest::test]
fn a_request_on_the_reported_revision_is_applied_once() {
    let (mut cluster, first, other) = cluster_with_leader(3);
    accept(&mut cluster, first, "drain", "drained");
    run(&mut cluster, SECOND);
    let base = reported_revision(&mut cluster, other);
    for is_repeat in [false, true] {
        let confirmed = submit_conditional(&mut cluster, other, "confirmed", base, zone("open"));
        let result = await_response(&mut cluster, confirmed);
        let OperationResult::Accepted { is_repeat: repeated, .. } = result else {
            panic!("{result:?}");
        };
        expect_that!(repeated, eq(is_repeat));
    }
    expect_that!(is_drained(&cluster, first), eq(false));
}

/// What distinguishes a delayed copy of a request from a new one.
enum RequestIdentity {
    /// The revision that was reported to the sender.
    Revision,
    /// Only a request id that the controller generated for it.
    GeneratedId,
}

/// Delays a request on a connection between controllers while its sender sends two others through
/// another controller. Returns whether the zone is drained, as the last of them demands, and the
/// result of the delayed request.
fn delay_a_request(identity: RequestIdentity) -> (bool, OperationResult) {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let third = 3 - first - other;
    accept(&mut cluster, first, "drain", "drained");
    run(&mut cluster, SECOND);
    let base = reported_revision(&mut cluster, other);
    delay_messages(&mut cluster, other, first, DELAY);
    let held = match identity {
        RequestIdentity::Revision => {
            submit_conditional(&mut cluster, other, "held", base, zone("open"))
        }
        RequestIdentity::GeneratedId => submit(&mut cluster, other, "held", zone("open")),
    };
    run(&mut cluster, SECOND);
    accept(&mut cluster, third, "open", "open");
    accept(&mut cluster, third, "drain again", "drained");
    run(&mut cluster, DELAY);
    assert!(considers_itself_leader(&cluster, first), "the leader must not change");
    let result = await_response(&mut cluster, held);
    (is_drained(&cluster, first), result)
}

#[googletest::test]
fn a_delayed_request_is_rejected_after_later_ones() {
    // Guards against a drained zone that is opened by a delayed request in the same term.
    let (ends_drained, result) = delay_a_request(RequestIdentity::Revision);
    expect_that!(ends_drained, eq(true));
    expect_that!(result, matches_pattern!(OperationResult::Conflict { .. }));
}

#[googletest::test]
fn the_same_request_under_a_generated_id_is_applied_late() {
    // The listener once generated ids in this way; shows that the test above can fail.
    let (ends_drained, _) = delay_a_request(RequestIdentity::GeneratedId);
    expect_that!(ends_drained, eq(false));
}
