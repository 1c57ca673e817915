//! Singleton assignments, such as polling the leaf list, continue while the assigned member is
//! stopping, and are taken over while it is silent.

use googletest::prelude::*;
use grebepath_core::identifiers::Term;
use grebepath_core::membership::neighbour_ring::NeighbourRing;
use grebepath_core::membership::node_agent::{Command, Event, NodeAgent};
use grebepath_core::membership::step::WAKE_INTERVAL;
use grebepath_core::protocol::membership::{Member, Membership};
use grebepath_core::protocol::message::Message;
use grebepath_core::routing_language::selector::Labels;
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::time::{BOOT, SECOND, Span, Tick, ms};

/// Members of the membership (count).
const MEMBERS: usize = 6;
/// Leafs that are health-checked (count): enough for each member to check some.
const LEAFS: usize = 64;
/// How long a stopping member is observed: the platform's full grace period.
const GRACE: Span = 6 * SECOND;
/// Longest permitted time between two polls of the list: half of the 3 s within which a leaving
/// leaf must be known.
const LONGEST_GAP: Span = ms(1_500);

fn member(number: usize) -> Member {
    Member {
        name: format!("m{number}"),
        addr: format!("10.0.0.{number}:1"),
        zone: "a".into(),
        threads: 1,
        joined: 1,
        incarnation: 1,
    }
}

fn membership() -> Membership {
    let members = (0..MEMBERS).map(member).collect();
    Membership { term: Term(3), turn: 1, settled: 1, revision: 0, members }
}

fn leaf(number: usize) -> LeafInfo {
    LeafInfo {
        leaf: format!("leaf-{number}"),
        service: "notices".into(),
        addr: format!("10.1.0.{number}:1"),
        labels: Labels::default(),
        leaving: false,
        age_ms: 0,
        slots: 0,
        cold: false,
    }
}

/// Returns the members by their rank as list pollers.
fn by_rank() -> Vec<usize> {
    let membership = membership();
    let rank = |number: &usize| NeighbourRing::new(&membership, &format!("m{number}")).list_rank;
    let mut members: Vec<usize> = (0..MEMBERS).collect();
    members.sort_by_key(rank);
    members
}

/// Returns the agent of a member that has a lease.
fn agent(number: usize) -> NodeAgent {
    let mut agent = NodeAgent::new(member(number), BOOT);
    let update = Message::MembershipUpdate(membership());
    agent.step(BOOT, Event::FromVoter { slot: 0, message: update });
    (agent.is_caught_up, agent.lease.granted) = (true, true);
    agent
}

/// Wakes an agent whose lease is renewed continuously, and returns the times at which it issued
/// a command that `is_wanted` accepts.
fn times(agent: &mut NodeAgent, span: Span, is_wanted: fn(&Command) -> bool) -> Vec<Tick> {
    let wakes = (0..span / WAKE_INTERVAL).map(|n| BOOT + WAKE_INTERVAL * n);
    let mut found = Vec::new();
    for now in wakes {
        agent.lease.renewed_at = now;
        if agent.step(now, Event::Wake).iter().any(is_wanted) {
            found.push(now);
        }
    }
    found
}

fn is_poll(command: &Command) -> bool {
    matches!(command, Command::PollLeafList)
}

fn is_probe(command: &Command) -> bool {
    matches!(command, Command::ProbeLeafs(_))
}

fn longest_gap(times: &[Tick]) -> Span {
    times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(Span::MAX)
}

#[gtest]
fn a_stopping_list_poller_polls_until_it_releases_its_lease() {
    // Guards against a list that is unread during a rolling restart: the poller and its
    // successor stop at the same time, and neither polls until one of them has ended.
    let mut holder = agent(by_rank()[0]);
    holder.step(BOOT, Event::Stop);
    expect_that!(longest_gap(&times(&mut holder, GRACE, is_poll)), le(LONGEST_GAP));
    holder.step(BOOT + GRACE, Event::Drained);
    holder.lease.renewed_at = BOOT + GRACE;
    expect_false!(holder.step(BOOT + 2 * GRACE, Event::Wake).iter().any(is_poll));
}

#[gtest]
fn a_stopping_member_probes_its_leafs_until_it_releases_its_lease() {
    // Guards against leafs that no member health-checks while their checker is stopping.
    let mut checked_by = 0;
    for number in 0..MEMBERS {
        let mut stopping = agent(number);
        let leafs = (0..LEAFS).map(|n| (format!("leaf-{n}"), leaf(n).into())).collect();
        stopping.view = Some(ClusterView { leafs, ..ClusterView::default() }.into());
        stopping.step(BOOT, Event::Stop);
        let checks = times(&mut stopping, GRACE, is_probe);
        checked_by += usize::from(longest_gap(&checks) <= LONGEST_GAP);
    }
    expect_that!(checked_by, eq(MEMBERS));
}

fn substitute(agent: &mut NodeAgent, now: Tick, incarnation: u64) {
    let name = agent.member.name.clone();
    let message = Message::SubstituteListPoller { name, incarnation, rank: 0 };
    agent.step(now, Event::FromVoter { slot: 0, message });
}

#[gtest]
fn a_member_polls_the_list_while_the_leader_names_it_as_substitute() {
    let mut last = agent(by_rank()[MEMBERS - 1]);
    expect_that!(times(&mut last, SECOND, is_poll), is_empty());
    // A message to an earlier process of the member is ignored.
    substitute(&mut last, BOOT, 7);
    expect_that!(times(&mut last, SECOND, is_poll), is_empty());
    substitute(&mut last, BOOT, 1);
    let polls = times(&mut last, GRACE, is_poll);
    expect_that!(polls.first(), some(le(&(BOOT + WAKE_INTERVAL))));
    expect_that!(polls.last(), some(le(&(BOOT + LONGEST_GAP))));
    expect_that!(last.counters.substitute_list_polls, eq(polls.len() as u64));
}
