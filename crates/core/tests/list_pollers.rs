//! Tests that the leader of the configuration partition names members that poll the platform's
//! list in place of members that stopped renewing.

#[path = "common/cluster.rs"]
mod cluster;

use cluster::*;
use googletest::prelude::*;
use grebepath_core::membership::neighbour_ring::list_pollers;
use grebepath_core::protocol::membership::{MemberProgress, Membership};
use grebepath_core::protocol::message::Message;
use grebepath_core::time::{SECOND, Span, ms};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Interval between two renewals of a member.
const INTERVAL: Span = ms(250);

/// Controllers whose leader has confirmed the membership of all members in `NAMES`.
struct ClusterWithMembers {
    cluster: Cluster,
    leader: usize,
    renewals: u64,
}

impl ClusterWithMembers {
    fn new() -> ClusterWithMembers {
        let (cluster, leader, _) = cluster_with_leader(3);
        let mut members = ClusterWithMembers { cluster, leader, renewals: 0 };
        members.renew_for(5 * SECOND, &NAMES);
        members
    }

    fn membership(&self) -> &Membership {
        &core_of(&self.cluster, self.leader).members.membership
    }

    /// Returns the members in the order in which they are selected to poll the list.
    fn by_rank(&self) -> Vec<String> {
        let mut remaining: Vec<String> = NAMES.map(String::from).to_vec();
        let mut ranked = Vec::new();
        while !remaining.is_empty() {
            let first = list_pollers(self.membership(), |member| remaining.contains(&member.name));
            let name = first[0].name.clone();
            remaining.retain(|other| *other != name);
            ranked.push(name);
        }
        ranked
    }

    /// Lets these members renew for `span`; returns the members that were last named as
    /// substitutes, with their ranks.
    fn renew_for(&mut self, span: Span, names: &[&str]) -> Vec<(String, u32)> {
        for _ in 0..span / INTERVAL {
            self.cluster.to_members.clear();
            self.renewals += 1;
            let seen_membership = self.membership().id();
            for name in names {
                let progress = MemberProgress {
                    seen_membership,
                    ready: true,
                    attestation_age_ms: 60_000,
                    ..MemberProgress::default()
                };
                renew_lease(&mut self.cluster, self.leader, name, self.renewals, progress);
            }
            run(&mut self.cluster, INTERVAL);
        }
        let mut named: Vec<(String, u32)> = self
            .cluster
            .to_members
            .iter()
            .filter_map(|(_, message)| match message {
                Message::SubstituteListPoller { name, rank, .. } => Some((name.clone(), *rank)),
                _ => None,
            })
            .collect();
        named.sort_by_key(|(_, rank)| *rank);
        named
    }
}

#[gtest]
fn no_substitute_is_named_while_all_members_renew() {
    expect_that!(ClusterWithMembers::new().renew_for(2 * SECOND, &NAMES), is_empty());
}

#[gtest]
fn the_next_two_members_substitute_for_those_that_miss_renewals() {
    // Guards against a list that is not polled until the lease of a lost member has expired, 3 s.
    for lost in 1..=4 {
        let mut members = ClusterWithMembers::new();
        let ranked = members.by_rank();
        let remaining: Vec<&str> = ranked[lost..].iter().map(String::as_str).collect();
        let named = members.renew_for(ms(1_500), &remaining);
        let substitutes = [(ranked[lost].clone(), 0), (ranked[lost + 1].clone(), 1)];
        expect_that!(named, container_eq(substitutes), "{lost} lost");
    }
}

#[gtest]
fn no_substitute_is_named_once_a_silent_member_renews_again() {
    let mut members = ClusterWithMembers::new();
    let ranked = members.by_rank();
    let remaining: Vec<&str> = ranked[1..].iter().map(String::as_str).collect();
    expect_that!(members.renew_for(ms(1_500), &remaining), not(is_empty()));
    expect_that!(members.renew_for(SECOND, &NAMES), is_empty());
}

#[gtest]
fn a_newly_elected_leader_names_substitutes() {
    let mut members = ClusterWithMembers::new();
    let ranked = members.by_rank();
    let remaining: Vec<&str> = ranked[2..].iter().map(String::as_str).collect();
    let former = members.leader;
    isolate(&mut members.cluster, former);
    run_until(&mut members.cluster, |cluster| leader(cluster).is_some_and(|node| node != former));
    members.leader = leader(&members.cluster).expect("another controller is the leader");
    let named = members.renew_for(2 * SECOND, &remaining);
    let substitutes = [(ranked[2].clone(), 0), (ranked[3].clone(), 1)];
    expect_that!(named, container_eq(substitutes));
}
