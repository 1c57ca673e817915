//! Tests that the answer to an operator request relies on committed state and on a majority that
//! was contacted after the request arrived, never on the local state of one controller.

#![allow(clippy::unwrap_used)]

#[path = "common/cluster.rs"]
mod cluster;

use cluster::*;
use googletest::prelude::*;
use grebepath_core::control_plane::step::WAKE_INTERVAL;
use grebepath_core::identifiers::Term;
use grebepath_core::protocol::membership::{MemberProgress, MembershipId};
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::time::{SECOND, ms};
use serde_json::json;

/// Returns a change of a zone that builds on an edition and results in the next one.
fn edition_patch(base_edition: u64, zone: &str) -> Operation {
    let change = json!({ "zones": [{ "name": zone, "state": "open" }],
        "terms": { "after": base_edition, "edition": base_edition + 1 } });
    Operation::Patch(change.to_string().into_bytes())
}

fn is_accepted(result: &OperationResult) -> bool {
    matches!(result, OperationResult::Accepted { .. })
}

#[googletest::test]
fn a_resumed_leader_does_not_reject_by_stale_state() {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let operation = submit(&mut cluster, first, "one", edition_patch(0, "a"));
    assert!(is_accepted(&await_response(&mut cluster, operation)));
    pause(&mut cluster, first, 8 * SECOND);
    run(&mut cluster, 3 * SECOND);
    let operation = submit(&mut cluster, other, "two", edition_patch(1, "b"));
    assert!(is_accepted(&await_response(&mut cluster, operation)));
    run(&mut cluster, 4 * SECOND);
    resume_before_pending(&mut cluster, first);
    assert!(considers_itself_leader(&cluster, first));
    let operation = submit(&mut cluster, first, "three", edition_patch(2, "c"));
    expect_that!(cluster.responses.get(&operation).map(|a| format!("{:?}", a.done)), none());
    let result = await_response(&mut cluster, operation);
    expect_that!(is_accepted(&result), eq(true), "{result:?}");
    expect_that!(response_time(&cluster, operation), lt(ms(1_000)));
}

/// Returns the answer to an operation as text, if there is one yet.
fn answer_so_far(cluster: &Cluster, operation: u64) -> Option<String> {
    cluster.responses.get(&operation).map(|answer| format!("{:?}", answer.done))
}

fn conflict_revision(result: &OperationResult) -> Option<u64> {
    if let OperationResult::Conflict { revision } = result { Some(*revision) } else { None }
}

#[googletest::test]
fn a_conflict_is_reported_only_after_the_conflicting_change_is_committed() {
    let (mut cluster, first, _) = cluster_with_leader(3);
    for node in (0..3).filter(|node| *node != first) {
        stall_disk(&mut cluster, node, true);
    }
    let one = submit(&mut cluster, first, "one", edition_patch(0, "a"));
    let two = submit(&mut cluster, first, "two", edition_patch(0, "b"));
    run(&mut cluster, ms(500));
    expect_that!((answer_so_far(&cluster, one), answer_so_far(&cluster, two)), eq(&(None, None)));
    for node in 0..3 {
        stall_disk(&mut cluster, node, false);
    }
    expect_that!(is_accepted(&await_response(&mut cluster, one)), eq(true));
    expect_that!(conflict_revision(&await_response(&mut cluster, two)), some(eq(1)));
}

#[googletest::test]
fn a_request_in_conflict_with_a_lost_change_is_evaluated_again() {
    let (mut cluster, first, _) = cluster_with_leader(3);
    isolate(&mut cluster, first);
    let one = submit(&mut cluster, first, "one", edition_patch(0, "a"));
    run(&mut cluster, ms(600));
    expect_that!(considers_itself_leader(&cluster, first), eq(true));
    let two = submit(&mut cluster, first, "two", edition_patch(0, "b"));
    run(&mut cluster, ms(4_100));
    expect_that!(answer_so_far(&cluster, two), none());
    // The first request times out before the network partition ends.
    expect_that!(
        await_response(&mut cluster, one),
        matches_pattern!(OperationResult::Unknown { .. })
    );
    cluster.blocked_links.clear();
    let result = await_response(&mut cluster, two);
    expect_that!(is_accepted(&result), eq(true), "{result:?}");
}

#[googletest::test]
fn an_isolated_leader_gives_no_definite_answer() {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let one = submit(&mut cluster, first, "one", edition_patch(0, "a"));
    assert!(is_accepted(&await_response(&mut cluster, one)));
    isolate(&mut cluster, first);
    let operations = [
        ("one", edition_patch(0, "a")),
        ("one", edition_patch(0, "other")),
        ("two", edition_patch(0, "b")),
        ("three", Operation::Patch(b"{\"pools\": [{}]}".to_vec())),
        ("", Operation::Read),
        ("", Operation::Status),
        ("", Operation::ForgetMember("nobody".into())),
    ];
    let operations: Vec<u64> = operations
        .into_iter()
        .map(|(id, requested)| submit(&mut cluster, first, id, requested))
        .collect();
    run(&mut cluster, 4 * SECOND);
    for operation in &operations {
        expect_that!(answer_so_far(&cluster, *operation), none());
    }
    // The final answers report neither a conflict nor an acceptance.
    for operation in &operations {
        let result = await_response(&mut cluster, *operation);
        let is_indefinite =
            matches!(result, OperationResult::Rejected { .. } | OperationResult::Unknown { .. });
        expect_that!(is_indefinite, eq(true), "{result:?}");
    }
    let operation = submit(&mut cluster, other, "two", edition_patch(1, "b"));
    expect_that!(is_accepted(&await_response(&mut cluster, operation)), eq(true));
}

#[googletest::test]
fn an_answer_to_a_former_process_is_ignored_after_a_restart() {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let one = submit(&mut cluster, first, "one", edition_patch(0, "a"));
    assert!(is_accepted(&await_response(&mut cluster, one)));
    pause(&mut cluster, first, ms(500));
    submit_with_number(&mut cluster, other, 77, "late", edition_patch(0, "b"));
    run(&mut cluster, ms(100));
    // The new process numbers its operations from the same start as the old one.
    restart_on_empty_disk(&mut cluster, other, 99);
    run(&mut cluster, ms(100));
    submit_with_number(&mut cluster, other, 77, "", Operation::Read);
    let result = await_response(&mut cluster, 77);
    expect_that!(result, matches_pattern!(OperationResult::Configuration { .. }));
}

#[googletest::test]
fn a_late_rejection_by_a_former_leader_is_ignored() {
    let (mut cluster, first, _) = cluster_with_leader(3);
    let one = submit(&mut cluster, first, "one", edition_patch(0, "a"));
    assert!(is_accepted(&await_response(&mut cluster, one)));
    let others: Vec<usize> = (0..3).filter(|node| *node != first).collect();
    // Just after a wake event, so that the request is the first event that the leader processes
    // when it resumes.
    run_until(&mut cluster, |cluster| (cluster.now - ms(first as u64)) % WAKE_INTERVAL == ms(1));
    // The leader appends a change that is never replicated.
    isolate(&mut cluster, first);
    submit(&mut cluster, first, "two", edition_patch(1, "b"));
    cluster.blocked_links.clear();
    pause(&mut cluster, first, 3 * SECOND);
    // The request waits at the former leader, and at the next one, which is slower.
    let third = others[0];
    let three = submit(&mut cluster, third, "three", edition_patch(1, "c"));
    run_until(&mut cluster, |cluster| leader(cluster).is_some_and(|node| node != first));
    let second = leader(&cluster).unwrap();
    expect_that!(second, eq(others[1]));
    pause(&mut cluster, second, 2 * SECOND);
    let result = await_response(&mut cluster, three);
    expect_that!(is_accepted(&result), eq(true), "{result:?}");
}

/// Three members join, and two of them stop renewing: without renewals of a majority the leader
/// keeps them all.
fn with_silent_members(cluster: &mut Cluster, leader: usize) {
    let progress = |turn| MemberProgress {
        applied_revision: 0,
        seen_membership: MembershipId { term: Term::ZERO, turn },
        ..Default::default()
    };
    for name in ["q1", "q2", "q3"] {
        renew_lease(cluster, leader, name, 1, progress(0));
    }
    run(cluster, ms(400));
    for count in 0..16 {
        renew_lease(cluster, leader, "q1", 2 + count, progress(0));
        run(cluster, ms(250));
    }
}

fn members(cluster: &Cluster, node: usize) -> Vec<String> {
    let list = &core_of(cluster, node).members.membership.members;
    list.iter().map(|member| member.name.clone()).collect()
}

#[googletest::test]
fn a_forgotten_member_stays_forgotten_under_the_next_leader() {
    let (mut cluster, first, _) = cluster_with_leader(3);
    with_silent_members(&mut cluster, first);
    assert_that!(members(&cluster, first), elements_are![eq("q1"), eq("q2"), eq("q3")]);
    let forget = submit(&mut cluster, first, "", Operation::ForgetMember("q3".into()));
    let result = await_response(&mut cluster, forget);
    expect_that!(is_accepted(&result), eq(true), "{result:?}");
    // The next membership, which a majority of the voters has, does not contain it.
    run(&mut cluster, ms(100));
    expect_that!(members(&cluster, first), elements_are![eq("q1"), eq("q2")]);
    isolate(&mut cluster, first);
    run_until(&mut cluster, |cluster| leader(cluster).is_some_and(|node| node != first));
    let next = leader(&cluster).unwrap();
    run(&mut cluster, ms(200));
    expect_that!(members(&cluster, next), elements_are![eq("q1"), eq("q2")]);
    // The member is forgotten already; the request is a repetition and not rejected.
    let again = submit(&mut cluster, next, "", Operation::ForgetMember("q3".into()));
    let result = await_response(&mut cluster, again);
    expect_that!(result, matches_pattern!(OperationResult::Accepted { is_repeat: eq(&true), .. }));
}

#[googletest::test]
fn a_forgotten_member_that_renews_is_a_member_again() {
    let (mut cluster, first, _) = cluster_with_leader(3);
    with_silent_members(&mut cluster, first);
    let forget = submit(&mut cluster, first, "", Operation::ForgetMember("q3".into()));
    assert!(is_accepted(&await_response(&mut cluster, forget)));
    // Its first renewal removes the entry, the second makes it a member.
    for count in [50, 51] {
        renew_lease(&mut cluster, first, "q3", count, Default::default());
        run(&mut cluster, ms(200));
    }
    expect_that!(members(&cluster, first), contains(eq("q3")));
    isolate(&mut cluster, first);
    run_until(&mut cluster, |cluster| leader(cluster).is_some_and(|node| node != first));
    let next = leader(&cluster).unwrap();
    run(&mut cluster, ms(200));
    expect_that!(members(&cluster, next), contains(eq("q3")));
}

#[googletest::test]
fn an_isolated_leader_forgets_no_member() {
    let (mut cluster, first, _) = cluster_with_leader(3);
    with_silent_members(&mut cluster, first);
    isolate(&mut cluster, first);
    let forget = submit(&mut cluster, first, "", Operation::ForgetMember("q3".into()));
    expect_that!(answer_so_far(&cluster, forget), none());
    expect_that!(members(&cluster, first), elements_are![eq("q1"), eq("q2"), eq("q3")]);
    let result = await_response(&mut cluster, forget);
    expect_that!(result, matches_pattern!(OperationResult::Unknown { .. }));
    expect_that!(members(&cluster, first), contains(eq("q3")));
}

#[googletest::test]
fn the_number_of_forgotten_entries_is_bounded() {
    let (mut cluster, leader, _) = cluster_with_leader(1);
    let names: Vec<String> = (0..100).map(|n| format!("q{n:03}")).collect();
    for name in &names {
        renew_lease(&mut cluster, leader, name, 1, Default::default());
    }
    run(&mut cluster, 4 * SECOND);
    for name in &names[1..] {
        renew_lease(&mut cluster, leader, &names[0], 2, Default::default());
        let forget = submit(&mut cluster, leader, "", Operation::ForgetMember(name.clone()));
        let result = await_response(&mut cluster, forget);
        expect_that!(is_accepted(&result), eq(true), "{name}: {result:?}");
        if members(&cluster, leader).len() <= 2 {
            break;
        }
    }
    let map = &core_of(&cluster, leader).partitions[0].state.entries;
    let kept = map.keys().filter(|key| key.starts_with("forgotten/")).count();
    expect_that!(kept, eq(64));
}

/// Returns for how long (ms) an isolated leader still considers itself the leader after another
/// one does, with these clock rates; negative if it steps down before.
fn overlap_ms(isolated_clock_percent: u64, other_clocks_percent: u64, phase: u64) -> i64 {
    let (mut cluster, first, _) = cluster_with_leader(3);
    for node in 0..3 {
        set_clock_rate(
            &mut cluster,
            node,
            if node == first { isolated_clock_percent } else { other_clocks_percent },
        );
    }
    run(&mut cluster, SECOND + ms(phase));
    isolate(&mut cluster, first);
    let (mut stopped_at, mut other_leads_at) = (None, None);
    run_until(&mut cluster, |cluster| {
        !considers_itself_leader(cluster, first) || leader(cluster) != Some(first)
    });
    while stopped_at.is_none() || other_leads_at.is_none() {
        if !considers_itself_leader(&cluster, first) {
            stopped_at = stopped_at.or(Some(cluster.now));
        }
        if (0..3).any(|node| node != first && considers_itself_leader(&cluster, node)) {
            other_leads_at = other_leads_at.or(Some(cluster.now));
        }
        run(&mut cluster, ms(1));
    }
    (stopped_at.unwrap() as i64 - other_leads_at.unwrap() as i64) / 1_000
}

#[googletest::test]
fn overlap_of_two_leaders_is_bounded_by_their_clock_rates() {
    let max_overlap = |cut_off: u64, others: u64| {
        (0..200).step_by(7).map(|phase| overlap_ms(cut_off, others, phase)).max().unwrap()
    };
    let (equal, small, large) = (max_overlap(100, 100), max_overlap(98, 102), max_overlap(75, 125));
    println!("overlap: equal {equal} ms, 2% each {small} ms, 25% each {large} ms");
    // See docs/topics/control-safety.md: the isolated leader steps down 0.95 s of its clock after
    // its last acknowledged heartbeat; the others wait 1.0 s of theirs after they received it.
    expect_that!(equal, lt(0));
    expect_that!(small, lt(0));
    expect_that!(large, lt(470));
}

#[googletest::test]
fn a_leader_with_a_slow_clock_rejects_nothing_while_another_leads() {
    for phase in (0..200).step_by(20) {
        let (mut cluster, first, other) = cluster_with_leader(3);
        for node in 0..3 {
            set_clock_rate(&mut cluster, node, if node == first { 75 } else { 125 });
        }
        let one = submit(&mut cluster, first, "one", edition_patch(0, "a"));
        assert!(is_accepted(&await_response(&mut cluster, one)));
        run(&mut cluster, SECOND + ms(phase));
        isolate(&mut cluster, first);
        run_until(&mut cluster, |cluster| leader(cluster) != Some(first));
        let two = submit(&mut cluster, other, "two", edition_patch(1, "b"));
        let three = submit(&mut cluster, first, "three", edition_patch(2, "c"));
        let read = submit(&mut cluster, first, "", Operation::Read);
        assert!(is_accepted(&await_response(&mut cluster, two)));
        run(&mut cluster, ms(1_500));
        expect_that!(
            (answer_so_far(&cluster, three), answer_so_far(&cluster, read)),
            eq(&(None, None))
        );
        cluster.blocked_links.clear();
        let result = await_response(&mut cluster, three);
        expect_that!(is_accepted(&result), eq(true), "{result:?}");
    }
}
