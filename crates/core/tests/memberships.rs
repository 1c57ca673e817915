//! Tests that memberships survive restarts and elections of the controllers that store them only
//! in memory.

#[path = "common/cluster.rs"]
mod cluster;

use cluster::*;
use googletest::prelude::*;
use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::identifiers::Term;
use grebepath_core::protocol::membership::{MemberProgress, MembershipId};
use grebepath_core::time::{MILLI, SECOND, ms};

/// The id that a member reports which has seen no membership.
const NONE: MembershipId = MembershipId { term: Term::ZERO, turn: 0 };

/// Returns the id of the membership that a controller sends to members.
fn current_membership(cluster: &Cluster, node: usize) -> MembershipId {
    core_of(cluster, node).members.membership.id()
}

fn progress(seen: MembershipId) -> MemberProgress {
    MemberProgress {
        seen_membership: seen,
        attestation_age_ms: 60_000,
        ready: true,
        ..MemberProgress::default()
    }
}

fn names(core: &ControllerState) -> Vec<String> {
    core.members.membership.members.iter().map(|member| member.name.clone()).collect()
}

/// Lets `a` and `b` renew with a controller eight times in two seconds.
fn renew_both(cluster: &mut Cluster, node: usize, count: &mut u64) {
    for _ in 0..8 {
        *count += 1;
        let seen = current_membership(cluster, node);
        for name in ["a", "b"] {
            renew_lease(cluster, node, name, *count, progress(seen));
        }
        run(cluster, ms(250));
    }
}

#[googletest::test]
fn a_restarted_voter_receives_the_membership_again() {
    // Otherwise a rolling restart of all voters would lose the membership.
    let (mut cluster, first, other) = cluster_with_leader(3);
    let third = 3 - first - other;
    let mut count = 0;
    renew_both(&mut cluster, first, &mut count);
    let membership = current_membership(&cluster, first);
    expect_that!(membership, gt(NONE));
    for node in [other, third] {
        restart(&mut cluster, node, 70 + node as u64);
        run(&mut cluster, SECOND);
        expect_that!(current_membership(&cluster, node), eq(membership), "controller {node}");
    }
}

#[googletest::test]
fn a_membership_known_to_one_voter_survives_simultaneous_restarts_of_the_others() {
    for size in [3, 5] {
        let (mut cluster, first, other) = cluster_with_leader(size);
        let mut count = 0;
        renew_both(&mut cluster, first, &mut count);
        let membership = current_membership(&cluster, first);
        expect_that!(membership, gt(NONE));
        for node in (0..size).filter(|node| *node != other) {
            restart(&mut cluster, node, 80 + node as u64);
        }
        // The only voter that knows it becomes reachable just after another one was elected.
        isolate(&mut cluster, other);
        run_until(&mut cluster, |cluster| leader(cluster).is_some_and(|node| node != other));
        run(&mut cluster, ms(100));
        cluster.blocked_links.clear();
        run_until(&mut cluster, |cluster| {
            leader(cluster).is_some_and(|node| core_of(cluster, node).members.log.is_inherited())
        });
        let now = leader(&cluster).unwrap();
        expect_that!(current_membership(&cluster, now), ge(membership), "{size} voters");
    }
}

#[googletest::test]
fn acknowledgements_before_a_restart_do_not_confirm_a_membership() {
    let (mut cluster, first, other) = cluster_with_leader(5);
    let mut count = 0;
    renew_both(&mut cluster, first, &mut count);
    let before = current_membership(&cluster, first);
    let rest: Vec<usize> = (0..5).filter(|node| ![first, other].contains(node)).collect();
    for node in &rest {
        isolate(&mut cluster, *node);
    }
    // One voter acknowledges the new membership and restarts.
    count += 1;
    for (name, seen) in [("a", before), ("b", before), ("c", NONE)] {
        renew_lease(&mut cluster, first, name, count, progress(seen));
    }
    while core_of(&cluster, other).members.log.proposed.is_none() {
        assert!(cluster.now < 60 * SECOND, "nothing was proposed");
        run(&mut cluster, MILLI / 5);
    }
    run(&mut cluster, ms(5));
    restart(&mut cluster, other, 91);
    run(&mut cluster, ms(250));
    // Another voter acknowledges it too: the second of the three that are needed.
    let (a, b) = (first, rest[0]);
    cluster.blocked_links.retain(|link| *link != (a, b) && *link != (b, a));
    run_until(&mut cluster, |cluster| current_membership(cluster, first) > before);
    let new = current_membership(&cluster, first);
    let voters_that_know =
        (0..5).filter(|node| core_of(&cluster, *node).members.knows(new)).count();
    expect_that!(voters_that_know, ge(3));
}

#[googletest::test]
fn a_new_leader_proposes_no_membership_before_it_knows_the_earlier_ones() {
    let (mut cluster, first, _) = cluster_with_leader(3);
    let mut count = 0;
    renew_both(&mut cluster, first, &mut count);
    let seen = current_membership(&cluster, first);
    // Another voter is elected and has not received the memberships that the others know yet.
    isolate(&mut cluster, first);
    while leader(&cluster).is_none_or(|node| node == first) {
        assert!(cluster.now < 60 * SECOND, "no other leader was elected");
        run(&mut cluster, MILLI / 10);
    }
    let second = leader(&cluster).unwrap();
    expect_that!(core_of(&cluster, second).members.log.is_inherited(), eq(false));
    isolate(&mut cluster, second);
    let leaving = MemberProgress { leaving: true, ..progress(seen) };
    renew_lease(&mut cluster, second, "a", count + 1, leaving);
    run(&mut cluster, ms(20));
    expect_that!(core_of(&cluster, second).members.log.is_inherited(), eq(false));
    expect_that!(core_of(&cluster, second).members.log.proposed.is_none(), eq(true));
}

#[googletest::test]
fn a_membership_known_to_one_voter_and_some_members_blocks_no_later_one() {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let third = 3 - first - other;
    let mut count = 0;
    let mut renew_all = |cluster: &mut Cluster, node: usize, list: &[(&str, MembershipId)]| {
        count += 1;
        for (name, seen) in list {
            renew_lease(cluster, node, name, count, progress(*seen));
        }
    };
    renew_all(&mut cluster, first, &[("a", NONE), ("b", NONE)]);
    run(&mut cluster, SECOND);
    let before = current_membership(&cluster, first);
    expect_that!(names(core_of(&cluster, first)), elements_are![eq("a"), eq("b")]);
    renew_all(&mut cluster, first, &[("a", before), ("b", before)]);
    run(&mut cluster, ms(100));
    // Another member joins. One voter receives the new membership, but not that it is confirmed.
    renew_all(&mut cluster, first, &[("a", before), ("b", before), ("c", NONE)]);
    while core_of(&cluster, other).members.log.proposed.is_none() {
        assert!(cluster.now < 60 * SECOND, "nothing was proposed");
        run(&mut cluster, MILLI / 5);
    }
    isolate(&mut cluster, other);
    run(&mut cluster, ms(300));
    let new = current_membership(&cluster, first);
    expect_that!(new, gt(before));
    // Both voters that know that it was confirmed restart and lose it; `a` has seen it.
    restart(&mut cluster, first, 71);
    restart(&mut cluster, third, 72);
    cluster.blocked_links.clear();
    run_until(&mut cluster, |cluster| leader(cluster).is_some());
    let list = [("a", new), ("b", before), ("c", before), ("d", NONE)];
    for _ in 0..40 {
        let now = leader(&cluster).unwrap_or(first);
        renew_all(&mut cluster, now, &list);
        run(&mut cluster, ms(250));
    }
    let now = leader(&cluster).unwrap();
    let members = names(core_of(&cluster, now));
    expect_that!(members, elements_are![eq("a"), eq("b"), eq("c"), eq("d")]);
    expect_that!(current_membership(&cluster, now), gt(new));
}
