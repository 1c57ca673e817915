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
        quiet_ms: 60_000,
        ready: true,
        ..MemberProgress::default()
    }
}

fn names(core: &ControllerState) -> Vec<String> {
    core.members.membership.members.iter().map(|member| member.name.clone()).collect()
}

#[googletest::test]
fn a_membership_that_only_some_members_and_one_voter_know_of_blocks_no_other() {
    let (mut cluster, first, other) = led(3);
    let third = 3 - first - other;
    let mut count = 0;
    let mut everybody = |cluster: &mut Cluster, node: usize, list: &[(&str, MembershipId)]| {
        count += 1;
        for (name, saw) in list {
            renew(cluster, node, name, count, far(*saw));
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
    cluster.cut.clear();
    until(&mut cluster, |cluster| leader(cluster).is_some());
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
