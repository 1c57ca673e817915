//! Memberships that outlive the controllers that knew of them.

#[path = "common/cluster.rs"]
mod cluster;

use cluster::*;
use googletest::prelude::*;
use grebepath_core::control_plane::controller::ControllerState;
use grebepath_core::identifiers::Term;
use grebepath_core::protocol::membership::{MemberProgress, MembershipId};
use grebepath_core::time::{MILLI, SECOND, ms};

/// What a member that has seen no membership says.
const NONE: MembershipId = MembershipId { term: Term::ZERO, turn: 0 };

/// The membership that a controller tells members.
fn told(cluster: &Cluster, node: usize) -> MembershipId {
    core_of(cluster, node).members.membership.id()
}

fn far(saw: MembershipId) -> MemberProgress {
    MemberProgress {
        seen_membership: saw,
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
        let seen = told(cluster, node);
        for name in ["a", "b"] {
            renew_lease(cluster, node, name, *count, far(seen));
        }
        run(cluster, ms(250));
    }
}

#[googletest::test]
fn a_voter_that_restarts_is_sent_the_membership_again() {
    // Else restarts of all, one after the other, lose what nobody was ever without.
    let (mut cluster, first, other) = cluster_with_leader(3);
    let third = 3 - first - other;
    let mut count = 0;
    renew_both(&mut cluster, first, &mut count);
    let membership = told(&cluster, first);
    expect_that!(membership, gt(NONE));
    for node in [other, third] {
        restart(&mut cluster, node, 70 + node as u64);
        run(&mut cluster, SECOND);
        expect_that!(told(&cluster, node), eq(membership), "controller {node}");
    }
}

#[googletest::test]
fn a_membership_that_one_voter_remembers_survives_restarts_of_all_others_at_once() {
    for size in [3, 5] {
        let (mut cluster, first, other) = cluster_with_leader(size);
        let mut count = 0;
        renew_both(&mut cluster, first, &mut count);
        let membership = told(&cluster, first);
        expect_that!(membership, gt(NONE));
        for node in (0..size).filter(|node| *node != other) {
            restart(&mut cluster, node, 80 + node as u64);
        }
        // The only one that remembers it is reached just after another one was elected.
        isolate(&mut cluster, other);
        run_until(&mut cluster, |cluster| leader(cluster).is_some_and(|node| node != other));
        run(&mut cluster, ms(100));
        cluster.blocked_links.clear();
        run_until(&mut cluster, |cluster| {
            leader(cluster).is_some_and(|node| core_of(cluster, node).members.log.is_inherited())
        });
        let now = leader(&cluster).unwrap();
        expect_that!(told(&cluster, now), ge(membership), "{size} voters");
    }
}

#[googletest::test]
fn what_a_former_process_acknowledged_does_not_confirm_a_membership() {
    let (mut cluster, first, other) = cluster_with_leader(5);
    let mut count = 0;
    renew_both(&mut cluster, first, &mut count);
    let before = told(&cluster, first);
    let rest: Vec<usize> = (0..5).filter(|node| ![first, other].contains(node)).collect();
    for node in &rest {
        isolate(&mut cluster, *node);
    }
    // One voter acknowledges the new membership and restarts.
    count += 1;
    for (name, seen) in [("a", before), ("b", before), ("c", NONE)] {
        renew_lease(&mut cluster, first, name, count, far(seen));
    }
    while core_of(&cluster, other).members.log.proposed.is_none() {
        assert!(cluster.now < 60 * SECOND, "nothing was proposed");
        run(&mut cluster, MILLI / 5);
    }
    run(&mut cluster, ms(5));
    restart(&mut cluster, other, 91);
    run(&mut cluster, ms(250));
    // Another one does so too; it is the second of the three that are needed.
    let (a, b) = (first, rest[0]);
    cluster.blocked_links.retain(|link| *link != (a, b) && *link != (b, a));
    run_until(&mut cluster, |cluster| told(cluster, first) > before);
    let new = told(&cluster, first);
    let holders = (0..5).filter(|node| core_of(&cluster, *node).members.knows(new)).count();
    expect_that!(holders, ge(3));
}

#[googletest::test]
fn a_new_leader_issues_no_membership_before_it_knows_the_former_ones() {
    let (mut cluster, first, _) = cluster_with_leader(3);
    let mut count = 0;
    renew_both(&mut cluster, first, &mut count);
    let seen = told(&cluster, first);
    // Another one leads, and has not heard yet which memberships the others hold.
    isolate(&mut cluster, first);
    while leader(&cluster).is_none_or(|node| node == first) {
        assert!(cluster.now < 60 * SECOND, "nobody else leads");
        run(&mut cluster, MILLI / 10);
    }
    let second = leader(&cluster).unwrap();
    expect_that!(core_of(&cluster, second).members.log.is_inherited(), eq(false));
    isolate(&mut cluster, second);
    let leaving = MemberProgress { leaving: true, ..far(seen) };
    renew_lease(&mut cluster, second, "a", count + 1, leaving);
    run(&mut cluster, ms(20));
    expect_that!(core_of(&cluster, second).members.log.is_inherited(), eq(false));
    expect_that!(core_of(&cluster, second).members.log.proposed.is_none(), eq(true));
}

#[googletest::test]
fn a_membership_that_only_some_members_and_one_voter_know_of_blocks_no_other() {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let third = 3 - first - other;
    let mut count = 0;
    let mut everybody = |cluster: &mut Cluster, node: usize, list: &[(&str, MembershipId)]| {
        count += 1;
        for (name, saw) in list {
            renew_lease(cluster, node, name, count, far(*saw));
        }
    };
    everybody(&mut cluster, first, &[("a", NONE), ("b", NONE)]);
    run(&mut cluster, SECOND);
    let before = told(&cluster, first);
    expect_that!(names(core_of(&cluster, first)), elements_are![eq("a"), eq("b")]);
    everybody(&mut cluster, first, &[("a", before), ("b", before)]);
    run(&mut cluster, ms(100));
    // Another one joins. One voter has the new membership, and hears no more of it.
    everybody(&mut cluster, first, &[("a", before), ("b", before), ("c", NONE)]);
    while core_of(&cluster, other).members.log.proposed.is_none() {
        assert!(cluster.now < 60 * SECOND, "nothing was proposed");
        run(&mut cluster, MILLI / 5);
    }
    isolate(&mut cluster, other);
    run(&mut cluster, ms(300));
    let new = told(&cluster, first);
    expect_that!(new, gt(before));
    // Both who know that it was confirmed lose their memory; `a` has seen it.
    restart(&mut cluster, first, 71);
    restart(&mut cluster, third, 72);
    cluster.blocked_links.clear();
    run_until(&mut cluster, |cluster| leader(cluster).is_some());
    let list = [("a", new), ("b", before), ("c", before), ("d", NONE)];
    for _ in 0..40 {
        let now = leader(&cluster).unwrap_or(first);
        everybody(&mut cluster, now, &list);
        run(&mut cluster, ms(250));
    }
    let now = leader(&cluster).unwrap();
    let members = names(core_of(&cluster, now));
    expect_that!(members, elements_are![eq("a"), eq("b"), eq("c"), eq("d")]);
    expect_that!(told(&cluster, now), gt(new));
}
