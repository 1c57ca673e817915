//! The leader of the configuration names who polls the platform's list in place of members
//! that have gone silent.

#[path = "common/cluster.rs"]
mod cluster;

use cluster::*;
use googletest::prelude::*;
use grebepath_core::membership::neighbour_ring::list_pollers;
use grebepath_core::protocol::membership::{MemberProgress, Membership};
use grebepath_core::protocol::message::Message;
use grebepath_core::time::{SECOND, Span, ms};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// How often the members of these tests renew.
const INTERVAL: Span = ms(250);

/// Controllers whose leader knows the members, all settled.
struct Fleet {
    cluster: Cluster,
    leader: usize,
    renewals: u64,
}

impl Fleet {
    fn new() -> Fleet {
        let (cluster, leader, _) = cluster_with_leader(3);
        let mut fleet = Fleet { cluster, leader, renewals: 0 };
        fleet.renew_for(5 * SECOND, &NAMES);
        fleet
    }

    fn membership(&self) -> &Membership {
        &core_of(&self.cluster, self.leader).members.membership
    }

    /// The members in the order in which they would poll the list.
    fn by_rank(&self) -> Vec<String> {
        let mut left: Vec<String> = NAMES.map(String::from).to_vec();
        let mut ranked = Vec::new();
        while !left.is_empty() {
            let first = list_pollers(self.membership(), |member| left.contains(&member.name));
            let name = first[0].name.clone();
            left.retain(|other| *other != name);
            ranked.push(name);
        }
        ranked
    }

    /// These members renew for a time; gives who was last told to poll, with the rank.
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
        let mut told: Vec<(String, u32)> = self
            .cluster
            .to_members
            .iter()
            .filter_map(|(_, message)| match message {
                Message::SubstituteListPoller { name, rank, .. } => Some((name.clone(), *rank)),
                _ => None,
            })
            .collect();
        told.sort_by_key(|(_, rank)| *rank);
        told
    }
}

#[gtest]
fn while_all_renew_nobody_polls_in_place_of_others() {
    expect_that!(Fleet::new().renew_for(2 * SECOND, &NAMES), is_empty());
}

#[gtest]
fn the_next_two_poll_once_those_before_them_miss_renewals() {
    // Guards against a list that is unread until the lease of a lost reader has run out, 3 s.
    for lost in 1..=4 {
        let mut fleet = Fleet::new();
        let ranked = fleet.by_rank();
        let left: Vec<&str> = ranked[lost..].iter().map(String::as_str).collect();
        let told = fleet.renew_for(ms(1_500), &left);
        let next = [(ranked[lost].clone(), 0), (ranked[lost + 1].clone(), 1)];
        expect_that!(told, container_eq(next), "{lost} lost");
    }
}

#[gtest]
fn one_that_renews_again_polls_as_before() {
    let mut fleet = Fleet::new();
    let ranked = fleet.by_rank();
    let left: Vec<&str> = ranked[1..].iter().map(String::as_str).collect();
    expect_that!(fleet.renew_for(ms(1_500), &left), not(is_empty()));
    expect_that!(fleet.renew_for(SECOND, &NAMES), is_empty());
}

#[gtest]
fn a_leader_that_was_just_elected_names_substitutes_too() {
    let mut fleet = Fleet::new();
    let ranked = fleet.by_rank();
    let left: Vec<&str> = ranked[2..].iter().map(String::as_str).collect();
    let former = fleet.leader;
    isolate(&mut fleet.cluster, former);
    run_until(&mut fleet.cluster, |cluster| leader(cluster).is_some_and(|node| node != former));
    fleet.leader = leader(&fleet.cluster).expect("another one leads");
    let told = fleet.renew_for(2 * SECOND, &left);
    let next = [(ranked[2].clone(), 0), (ranked[3].clone(), 1)];
    expect_that!(told, container_eq(next));
}
