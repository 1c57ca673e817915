//! A member that serves on without a lease goes by what the others know of leafs.

use googletest::prelude::*;
use grebepath_core::identifiers::{PartitionId, Term, service_partition};
use grebepath_core::membership::node_agent::{Command, Event, NodeAgent};
use grebepath_core::protocol::membership::{Attestation, Member, Membership, NO_PROOF};
use grebepath_core::protocol::message::{FeedPosition, LeafReport, Message};
use grebepath_core::snapshot::leafs::{LeafInfo, key};
use grebepath_core::time::{BOOT, SECOND, Tick, ms};
use nanoserde::SerBin;

const SERVICE: &str = "notices-1";
const LEAF: &str = "notices-1.7";

/// The time at which the controllers have been silent for longer than a lease.
const LAPSED: Tick = BOOT + 5 * SECOND;

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        addr: name.into(),
        zone: "a".into(),
        threads: 1,
        joined: 1,
        incarnation: 1,
    }
}

/// A member of two that had a lease and knows a leaf. The controllers are silent.
fn agent() -> NodeAgent {
    let mut agent = NodeAgent::new(member("a"), BOOT);
    let membership = Membership {
        term: Term(3),
        turn: 1,
        settled: 1,
        revision: 0,
        members: vec![member("a"), member("b")],
    };
    agent.step(BOOT, Event::FromVoter { slot: 0, message: Message::MembershipUpdate(membership) });
    (agent.lease.granted, agent.lease.renewed_at) = (true, BOOT);
    let info = LeafInfo {
        leaf: LEAF.into(),
        service: SERVICE.into(),
        addr: "10.0.0.9:80".into(),
        labels: Default::default(),
        leaving: false,
        age_ms: 1,
        slots: 2,
        cold: false,
    };
    let partition =
        agent.partitions.get_mut(&service_partition(SERVICE)).expect("a partition of services");
    partition.revision = 4;
    partition.entries.insert(key(LEAF), info.serialize_bin());
    agent
}

/// The answer of `b`, which holds the leaf's partition up to `revision`.
fn answer(now: Tick, agent: &NodeAgent, revision: u64) -> Event {
    let positions = vec![FeedPosition { partition: service_partition(SERVICE), revision }];
    let attestation = Attestation {
        membership: agent.membership.id(),
        known_revision: 0,
        ages: vec![NO_PROOF, 0],
    };
    let message = Message::Gossip {
        name: "b".into(),
        controller_contact_age_ms: 5_000,
        ready: true,
        positions,
        request_sent_at: None,
        echoed_sent_at: Some(now),
        attestation: Some(attestation),
    };
    Event::FromMember { name: "b".into(), message }
}

#[gtest]
fn a_proof_of_a_member_that_knows_more_of_the_leafs_does_not_count() {
    let mut agent = agent();
    let event = answer(LAPSED, &agent, 5);
    agent.step(LAPSED, event);
    expect_that!(agent.proof_expiry(), eq(0));
    // Once we have what it has, its next answer counts.
    agent
        .partitions
        .get_mut(&service_partition(SERVICE))
        .expect("a partition of services")
        .revision = 5;
    let event = answer(LAPSED + ms(250), &agent, 5);
    agent.step(LAPSED + ms(250), event);
    expect_that!(agent.proof_expiry(), gt(LAPSED));
}

/// What a step tells other members: the kinds of messages, in order.
fn told(commands: &[Command]) -> Vec<&'static str> {
    let kind = |message: &Message| match message {
        Message::LeafReports { .. } => Some("reports"),
        Message::Gossip { echoed_sent_at: Some(_), .. } => Some("answer"),
        _ => None,
    };
    let messages = commands.iter().filter_map(|command| match command {
        Command::ToMember { message, .. } => Some(message),
        _ => None,
    });
    messages.filter_map(kind).collect()
}

#[gtest]
fn an_attestation_comes_behind_the_reports_of_leafs_that_leave() {
    let mut agent = agent();
    let report = LeafReport { leaf: LEAF.into(), leaving: true, gone: false, age_ms: 0 };
    let reported = Event::LeafReport { service: SERVICE.into(), report };
    agent.step(LAPSED, reported);
    let question = Message::Gossip {
        name: "b".into(),
        controller_contact_age_ms: 5_000,
        ready: true,
        positions: Vec::new(),
        request_sent_at: Some(7),
        echoed_sent_at: None,
        attestation: None,
    };
    // Well before the report is due to be sent again.
    let now = LAPSED + ms(10);
    let commands = agent.step(now, Event::FromMember { name: "b".into(), message: question });
    expect_that!(told(&commands), elements_are![eq(&"reports"), eq(&"answer")]);
    let partition: PartitionId = service_partition(SERVICE);
    let is_told = |command: &Command| {
        matches!(command, Command::ToMember { message: Message::LeafReports { partition: told, .. }, .. }
            if *told == partition)
    };
    expect_that!(commands.iter().any(is_told), eq(true));
}
