//! Orders to move a service to another version: taken once, ended for good, at their term at the
//! latest, and kept through losses.

#![allow(clippy::unwrap_used)]

#[path = "common/cluster.rs"]
mod cluster;

use cluster::*;
use googletest::prelude::*;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::rollout::order::RolloutOrder;
use grebepath_core::rollout::record::{Rollout, RolloutPhase, RolloutReason, RolloutState};
use grebepath_core::time::{SECOND, Span, ms};
use serde_json::json;

const SERVICE: &str = "leafs";
/// Term of the rollouts of these tests.
const TERM: Span = 8 * SECOND;

fn order(target: &str) -> RolloutOrder {
    RolloutOrder { service: SERVICE.into(), target: target.into(), term_ms: TERM / ms(1) }
}

fn start(target: &str) -> Operation {
    Operation::StartRollout(order(target))
}

/// A cluster whose configuration has a pool of the service; its leader and another controller.
fn configured() -> (Cluster, usize, usize) {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let pools = json!([{ "name": "pool", "service": SERVICE, "bears": 1 }]);
    let patch = json!({ "pools": pools }).to_string().into_bytes();
    let operation = submit(&mut cluster, first, "configure", Operation::Patch(patch));
    let done = await_response(&mut cluster, operation);
    assert!(matches!(done, OperationResult::Accepted { .. }), "{done:?}");
    (cluster, first, other)
}

fn result(cluster: &mut Cluster, node: usize, id: &str, operation: Operation) -> OperationResult {
    let number = submit(cluster, node, id, operation);
    await_response(cluster, number)
}

fn accepted(cluster: &mut Cluster, node: usize, id: &str, operation: Operation) -> bool {
    let done = result(cluster, node, id, operation);
    let OperationResult::Accepted { is_repeat, .. } = done else { panic!("{done:?}") };
    is_repeat
}

/// The newest rollout, as a controller answers.
fn rollout(cluster: &mut Cluster, node: usize) -> Rollout {
    let done = result(cluster, node, "", Operation::ReadRollout(SERVICE.into()));
    let OperationResult::Rollout(Some(rollout)) = done else { panic!("{done:?}") };
    rollout
}

#[googletest::test]
fn a_rollout_ordered_again_is_acknowledged_again_through_any_controller() {
    let (mut cluster, first, other) = configured();
    expect_that!(accepted(&mut cluster, first, "one", start("v2")), eq(false));
    expect_that!(accepted(&mut cluster, first, "one", start("v2")), eq(true));
    expect_that!(accepted(&mut cluster, other, "two", start("v2")), eq(true));
    let told = rollout(&mut cluster, other);
    expect_that!(told.state(), eq(RolloutState::InProgress));
    expect_that!(told.target, eq("v2"));
    expect_that!(told.history, is_empty());
}

#[googletest::test]
fn another_version_is_refused_while_one_is_rolled_out() {
    let (mut cluster, first, other) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    let done = result(&mut cluster, other, "two", start("v3"));
    expect_that!(done, eq(&OperationResult::RolloutInProgress { target: "v2".into() }));
}

#[googletest::test]
fn orders_with_a_wrong_field_are_refused_by_its_name() {
    let (mut cluster, first, _) = configured();
    let wrong = [
        (RolloutOrder { service: "unknown".into(), ..order("v2") }, "service"),
        (order(""), "target"),
        (order("v 2"), "target"),
        (RolloutOrder { term_ms: 0, ..order("v2") }, "term"),
        (RolloutOrder { term_ms: u64::MAX, ..order("v2") }, "term"),
    ];
    for (order, place) in wrong {
        let done = result(&mut cluster, first, place, Operation::StartRollout(order));
        let OperationResult::Invalid(problems) = done else { panic!("{done:?}") };
        expect_that!(problems[0].0, eq(place));
    }
    let done = result(&mut cluster, first, "", Operation::ReadRollout(SERVICE.into()));
    expect_that!(done, eq(&OperationResult::Rollout(None)));
}

#[googletest::test]
fn what_has_no_verdict_is_returned_within_its_term_and_stays_so() {
    let (mut cluster, first, other) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    run(&mut cluster, TERM - ms(200));
    let ended = rollout(&mut cluster, other);
    expect_that!(ended.phase(), eq(RolloutPhase::Returned));
    expect_that!(ended.reason(), eq(RolloutReason::NoVerdict));
    run(&mut cluster, 2 * TERM);
    expect_that!(rollout(&mut cluster, other), eq(&ended));
}

#[googletest::test]
fn a_rollout_is_not_ended_while_a_member_may_go_by_what_was_before() {
    let (mut cluster, first, _) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    let before = core_of(&cluster, first).partitions[0].committed_revision;
    let (mut renewals, mut held) = (0, 0);
    let is_turned = |cluster: &mut Cluster| rollout(cluster, first).phase() != RolloutPhase::Trial;
    for _ in 0..2 * TERM / ms(250) {
        renewals += 1;
        let applied_revision = before;
        let known_revision = core_of(&cluster, first).partitions[0].committed_revision;
        let far = grebepath_core::protocol::membership::MemberProgress {
            applied_revision,
            known_revision,
            attestation_age_ms: 60_000,
            ready: true,
            ..Default::default()
        };
        renew_lease(&mut cluster, first, "m", renewals, far);
        run(&mut cluster, ms(250));
        held += u64::from(is_turned(&mut cluster));
        if rollout(&mut cluster, first).phase() == RolloutPhase::Returned {
            break;
        }
    }
    // The member never obeys: the end waits until its lease can't name anything older.
    expect_that!(held, ge(3 * SECOND / ms(250)));
    expect_that!(rollout(&mut cluster, first).phase(), eq(RolloutPhase::Returned));
}

#[googletest::test]
fn a_copy_of_an_order_that_comes_within_the_term_does_not_start_it_again() {
    let (mut cluster, first, other) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    run_until(&mut cluster, |cluster| {
        let entries = &core_of(cluster, first).partitions[0].committed;
        let stands = grebepath_core::rollout::record::rollout_of(entries, SERVICE).unwrap();
        stands.phase() == RolloutPhase::Returned
    });
    let ended = rollout(&mut cluster, other);
    expect_that!(accepted(&mut cluster, other, "copy", start("v2")), eq(true));
    expect_that!(rollout(&mut cluster, other), eq(&ended));
    run(&mut cluster, 2 * TERM);
    expect_that!(accepted(&mut cluster, other, "new", start("v2")), eq(false));
    expect_that!(rollout(&mut cluster, other).history.len(), eq(1));
}

#[googletest::test]
fn an_order_held_between_controllers_does_not_undo_what_came_after_it() {
    // Guards against a version that is tried again by an order which arrives late.
    let (mut cluster, first, other) = configured();
    let base = core_of(&cluster, other).partitions[0].committed_revision;
    delay_messages(&mut cluster, other, first, 4 * SECOND);
    let held = submit_conditional(&mut cluster, other, "held", base, start("v2"));
    accepted(&mut cluster, first, "one", start("v2"));
    accepted(&mut cluster, first, "abort", Operation::AbortRollout(SERVICE.into()));
    run(&mut cluster, 6 * SECOND);
    let done = await_response(&mut cluster, held);
    expect_that!(done, matches_pattern!(OperationResult::Conflict { .. }));
    expect_that!(rollout(&mut cluster, first).phase(), eq(RolloutPhase::Returned));
}

#[googletest::test]
fn other_changes_do_not_refuse_an_order_on_an_older_revision() {
    let (mut cluster, first, other) = configured();
    let base = core_of(&cluster, first).partitions[0].committed_revision;
    let zone = json!({ "zones": [{ "name": "a", "state": "drained" }] }).to_string().into_bytes();
    accepted(&mut cluster, other, "drain", Operation::Patch(zone));
    let number = submit_conditional(&mut cluster, other, "late", base, start("v2"));
    let done = await_response(&mut cluster, number);
    expect_that!(done, matches_pattern!(OperationResult::Accepted { .. }));
}

#[googletest::test]
fn an_aborted_rollout_goes_back_and_may_be_ordered_again() {
    let (mut cluster, first, other) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    accepted(&mut cluster, other, "abort", Operation::AbortRollout(SERVICE.into()));
    run(&mut cluster, SECOND);
    let ended = rollout(&mut cluster, first);
    expect_that!(ended.phase(), eq(RolloutPhase::Returned));
    expect_that!(ended.reason(), eq(RolloutReason::Aborted));
    expect_that!(accepted(&mut cluster, first, "again", start("v2")), eq(false));
    expect_that!(rollout(&mut cluster, first).state(), eq(RolloutState::InProgress));
}

#[googletest::test]
fn a_rollout_goes_on_under_the_next_leader_with_the_time_that_has_passed() {
    let (mut cluster, first, other) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    run(&mut cluster, TERM / 2);
    isolate(&mut cluster, first);
    run(&mut cluster, TERM / 2);
    let told = rollout(&mut cluster, other);
    expect_that!(told.phase(), eq(RolloutPhase::Returned));
    expect_that!(told.leader_term, lt(core_of(&cluster, other).partitions[0].state.written_term.0));
}

#[googletest::test]
fn rollouts_last_through_restarts_of_all_and_a_lost_disk() {
    let (mut cluster, first, other) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    accepted(&mut cluster, other, "abort", Operation::AbortRollout(SERVICE.into()));
    run(&mut cluster, SECOND);
    accepted(&mut cluster, first, "again", start("v3"));
    let before = rollout(&mut cluster, first);
    restart_on_empty_disk(&mut cluster, first, 7);
    for node in (0..3).filter(|node| *node != first) {
        restart(&mut cluster, node, 8 + node as u64);
    }
    run_until(&mut cluster, |cluster| leader(cluster).is_some());
    let after = rollout(&mut cluster, other);
    expect_that!(after.target, eq("v3"));
    expect_that!(after.ordered_revision, eq(before.ordered_revision));
    expect_that!(after.history, eq(&before.history));
}

#[googletest::test]
fn a_whole_configuration_leaves_rollouts_as_they_are() {
    let (mut cluster, first, _) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    let before = rollout(&mut cluster, first);
    let whole = json!({ "searches": [], "pools": [], "zones": [] }).to_string().into_bytes();
    accepted(&mut cluster, first, "replace", Operation::Replace(whole));
    expect_that!(rollout(&mut cluster, first), eq(&before));
}
