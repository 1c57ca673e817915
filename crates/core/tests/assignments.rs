//! Work that one member does for all goes on while the member that does it stops, and while
//! it is silent.

use googletest::prelude::*;
use grebepath_core::identifiers::Term;
use grebepath_core::membership::neighbour_ring::NeighbourRing;
use grebepath_core::membership::node_agent::{Command, Event, NodeAgent};
use grebepath_core::membership::step::WAKE;
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
/// How long a stopping member is watched: the whole grace of the users' platform.
const GRACE: Span = 6 * SECOND;
/// Longest time between two polls of the list, whoever polls it: half of the 3 s in which
/// a leaving leaf must be known.
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

/// The members in the order in which they would poll the list.
fn by_rank() -> Vec<usize> {
    let membership = membership();
    let rank = |number: &usize| NeighbourRing::new(&membership, &format!("m{number}")).list_rank;
    let mut members: Vec<usize> = (0..MEMBERS).collect();
    members.sort_by_key(rank);
    members
}

/// An agent of the membership with a lease.
fn agent(number: usize) -> NodeAgent {
    let mut agent = NodeAgent::new(member(number), BOOT);
    let update = Message::MembershipUpdate(membership());
    agent.step(BOOT, Event::FromVoter { slot: 0, message: update });
    (agent.is_caught_up, agent.lease.granted) = (true, true);
    agent
}

/// Wakes an agent whose lease is renewed all the time, and tells when it commanded what
/// `is_wanted` looks for.
fn times(agent: &mut NodeAgent, span: Span, is_wanted: fn(&Command) -> bool) -> Vec<Tick> {
    let wakes = (0..span / WAKE).map(|n| BOOT + WAKE * n);
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
    // Guards against a rolling restart that stops holder and successor at once and leaves
    // the list unread until one of them has ended.
    let mut holder = agent(by_rank()[0]);
    holder.step(BOOT, Event::Stop);
    expect_that!(longest_gap(&times(&mut holder, GRACE, is_poll)), le(LONGEST_GAP));
    holder.step(BOOT + GRACE, Event::Drained);
    holder.lease.renewed_at = BOOT + GRACE;
    expect_false!(holder.step(BOOT + 2 * GRACE, Event::Wake).iter().any(is_poll));
}

#[gtest]
fn a_stopping_member_probes_its_leafs_until_it_releases_its_lease() {
    // Guards against leafs that nobody health-checks while their checker stops.
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
    // What was said to a former process does not count.
    substitute(&mut last, BOOT, 7);
    expect_that!(times(&mut last, SECOND, is_poll), is_empty());
    substitute(&mut last, BOOT, 1);
    let polls = times(&mut last, GRACE, is_poll);
    expect_that!(polls.first(), some(le(&(BOOT + WAKE))));
    expect_that!(polls.last(), some(le(&(BOOT + LONGEST_GAP))));
    expect_that!(last.counters.substitute_list_polls, eq(polls.len() as u64));
}
