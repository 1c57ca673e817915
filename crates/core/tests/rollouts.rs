//! Tests of rollout orders, which move a service to another version: each is applied once, ends at
//! its term at the latest, and survives failures of controllers.

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
/// Maximum duration of a rollout in these tests.
const TERM: Span = 8 * SECOND;

fn order(target: &str) -> RolloutOrder {
    RolloutOrder { service: SERVICE.into(), target: target.into(), time_limit_ms: TERM / ms(1) }
}

fn start(target: &str) -> Operation {
    Operation::StartRollout(order(target))
}

/// Returns a cluster whose configuration has a pool of the service, its leader and another
/// controller.
fn configured() -> (Cluster, usize, usize) {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let pools = json!([{ "name": "pool", "service": SERVICE, "bears": 1 }]);
    let patch = json!({ "pools": pools }).to_string().into_bytes();
    let operation = submit(&mut cluster, first, "configure", Operation::Patch(patch));
    let reply = await_response(&mut cluster, operation);
    assert!(matches!(reply, OperationResult::Accepted { .. }), "{reply:?}");
    (cluster, first, other)
}

fn result(cluster: &mut Cluster, node: usize, id: &str, operation: Operation) -> OperationResult {
    let number = submit(cluster, node, id, operation);
    await_response(cluster, number)
}

fn accepted(cluster: &mut Cluster, node: usize, id: &str, operation: Operation) -> bool {
    let reply = result(cluster, node, id, operation);
    let OperationResult::Accepted { is_repeat, .. } = reply else { panic!("{reply:?}") };
    is_repeat
}

/// Returns the newest rollout as a controller reports it.
fn rollout(cluster: &mut Cluster, node: usize) -> Rollout {
    let reply = result(cluster, node, "", Operation::ReadRollout(SERVICE.into()));
    let OperationResult::Rollout(Some(rollout)) = reply else { panic!("{reply:?}") };
    rollout
}

#[googletest::test]
fn a_resent_rollout_order_is_acknowledged_by_any_controller() {
    let (mut cluster, first, other) = configured();
    expect_that!(accepted(&mut cluster, first, "one", start("v2")), eq(false));
    expect_that!(accepted(&mut cluster, first, "one", start("v2")), eq(true));
    expect_that!(accepted(&mut cluster, other, "two", start("v2")), eq(true));
    let current = rollout(&mut cluster, other);
    expect_that!(current.state(), eq(RolloutState::InProgress));
    expect_that!(current.target, eq("v2"));
    expect_that!(current.history, is_empty());
}

#[googletest::test]
fn another_version_is_rejected_during_a_rollout() {
    let (mut cluster, first, other) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    let reply = result(&mut cluster, other, "two", start("v3"));
    expect_that!(reply, eq(&OperationResult::RolloutInProgress { target: "v2".into() }));
}

#[googletest::test]
fn orders_with_an_invalid_field_are_rejected_with_its_name() {
    let (mut cluster, first, _) = configured();
    let wrong = [
        (RolloutOrder { service: "unknown".into(), ..order("v2") }, "service"),
        (order(""), "target"),
        (order("v 2"), "target"),
        (RolloutOrder { time_limit_ms: 0, ..order("v2") }, "term"),
        (RolloutOrder { time_limit_ms: u64::MAX, ..order("v2") }, "term"),
    ];
    for (order, field) in wrong {
        let reply = result(&mut cluster, first, field, Operation::StartRollout(order));
        let OperationResult::Invalid(problems) = reply else { panic!("{reply:?}") };
        expect_that!(problems[0].0, eq(field));
    }
    let reply = result(&mut cluster, first, "", Operation::ReadRollout(SERVICE.into()));
    expect_that!(reply, eq(&OperationResult::Rollout(None)));
}

#[googletest::test]
fn a_rollout_without_a_verdict_is_returned_within_its_term_and_stays_so() {
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
fn a_rollout_does_not_end_while_a_member_may_apply_an_older_state() {
    let (mut cluster, first, _) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    let before = core_of(&cluster, first).partitions[0].committed_revision;
    let (mut renewals, mut held) = (0, 0);
    let has_left_trial =
        |cluster: &mut Cluster| rollout(cluster, first).phase() != RolloutPhase::Trial;
    for _ in 0..2 * TERM / ms(250) {
        renewals += 1;
        let applied_revision = before;
        let known_revision = core_of(&cluster, first).partitions[0].committed_revision;
        let progress = grebepath_core::protocol::membership::MemberProgress {
            applied_revision,
            known_revision,
            attestation_age_ms: 60_000,
            ready: true,
            ..Default::default()
        };
        renew_lease(&mut cluster, first, "m", renewals, progress);
        run(&mut cluster, ms(250));
        held += u64::from(has_left_trial(&mut cluster));
        if rollout(&mut cluster, first).phase() == RolloutPhase::Returned {
            break;
        }
    }
    // The member never applies a newer state: the rollout ends only when the member's lease can no
    // longer refer to an older one.
    expect_that!(held, ge(3 * SECOND / ms(250)));
    expect_that!(rollout(&mut cluster, first).phase(), eq(RolloutPhase::Returned));
}

#[googletest::test]
fn a_duplicate_order_within_the_term_does_not_restart_the_rollout() {
    let (mut cluster, first, other) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    run_until(&mut cluster, |cluster| {
        let entries = &core_of(cluster, first).partitions[0].committed;
        let current_rollout =
            grebepath_core::rollout::record::rollout_of(entries, SERVICE).unwrap();
        current_rollout.phase() == RolloutPhase::Returned
    });
    let ended = rollout(&mut cluster, other);
    expect_that!(accepted(&mut cluster, other, "copy", start("v2")), eq(true));
    expect_that!(rollout(&mut cluster, other), eq(&ended));
    run(&mut cluster, 2 * TERM);
    expect_that!(accepted(&mut cluster, other, "new", start("v2")), eq(false));
    expect_that!(rollout(&mut cluster, other).history.len(), eq(1));
}

#[googletest::test]
fn a_delayed_order_does_not_undo_later_operations() {
    // Guards against a delayed order that starts the trial of a version again.
    let (mut cluster, first, other) = configured();
    let base = core_of(&cluster, other).partitions[0].committed_revision;
    delay_messages(&mut cluster, other, first, 4 * SECOND);
    let held = submit_conditional(&mut cluster, other, "held", base, start("v2"));
    accepted(&mut cluster, first, "one", start("v2"));
    accepted(&mut cluster, first, "abort", Operation::AbortRollout(SERVICE.into()));
    run(&mut cluster, 6 * SECOND);
    let reply = await_response(&mut cluster, held);
    expect_that!(reply, matches_pattern!(OperationResult::Conflict { .. }));
    expect_that!(rollout(&mut cluster, first).phase(), eq(RolloutPhase::Returned));
}

#[googletest::test]
fn unrelated_changes_do_not_reject_an_order_on_an_older_revision() {
    let (mut cluster, first, other) = configured();
    let base = core_of(&cluster, first).partitions[0].committed_revision;
    let zone = json!({ "zones": [{ "name": "a", "state": "drained" }] }).to_string().into_bytes();
    accepted(&mut cluster, other, "drain", Operation::Patch(zone));
    let number = submit_conditional(&mut cluster, other, "late", base, start("v2"));
    let reply = await_response(&mut cluster, number);
    expect_that!(reply, matches_pattern!(OperationResult::Accepted { .. }));
}

#[googletest::test]
fn an_aborted_rollout_is_returned_and_may_be_ordered_again() {
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
fn a_rollout_continues_under_the_next_leader_with_its_elapsed_time() {
    let (mut cluster, first, other) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    run(&mut cluster, TERM / 2);
    isolate(&mut cluster, first);
    run(&mut cluster, TERM / 2);
    let current = rollout(&mut cluster, other);
    expect_that!(current.phase(), eq(RolloutPhase::Returned));
    expect_that!(
        current.leader_term,
        lt(core_of(&cluster, other).partitions[0].state.written_term.0)
    );
}

#[googletest::test]
fn rollouts_survive_restarts_of_all_controllers_and_a_lost_disk() {
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
fn replacing_the_configuration_keeps_rollouts() {
    let (mut cluster, first, _) = configured();
    accepted(&mut cluster, first, "one", start("v2"));
    let before = rollout(&mut cluster, first);
    let replacement = json!({ "searches": [], "pools": [], "zones": [] }).to_string().into_bytes();
    accepted(&mut cluster, first, "replace", Operation::Replace(replacement));
    expect_that!(rollout(&mut cluster, first), eq(&before));
}
