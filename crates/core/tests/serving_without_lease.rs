//! Tests that a member which continues to serve without a lease has the leaf state that the other
//! members have.

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

/// Time at which no controller has been heard for longer than a lease.
const LEASE_EXPIRED: Tick = BOOT + 5 * SECOND;

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

/// Returns one of two members. It had a lease and knows a leaf; no controller responds any more.
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

/// Returns the gossip reply of `b`, which has the leaf's partition up to `revision`.
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
fn an_attestation_of_a_member_with_newer_leaf_entries_does_not_count() {
    let mut agent = agent();
    let event = answer(LEASE_EXPIRED, &agent, 5);
    agent.step(LEASE_EXPIRED, event);
    expect_that!(agent.proof_expiry(), eq(0));
    // Once this member has the same revision, the next reply of `b` counts.
    agent
        .partitions
        .get_mut(&service_partition(SERVICE))
        .expect("a partition of services")
        .revision = 5;
    let event = answer(LEASE_EXPIRED + ms(250), &agent, 5);
    agent.step(LEASE_EXPIRED + ms(250), event);
    expect_that!(agent.proof_expiry(), gt(LEASE_EXPIRED));
}

/// Returns the kinds of messages that a step sends to other members, in order.
fn message_kinds(commands: &[Command]) -> Vec<&'static str> {
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
fn an_attestation_is_sent_after_the_reports_of_leaving_leafs() {
    let mut agent = agent();
    let report = LeafReport { leaf: LEAF.into(), leaving: true, gone: false, age_ms: 0 };
    let reported = Event::LeafReport { service: SERVICE.into(), report };
    agent.step(LEASE_EXPIRED, reported);
    let gossip = Message::Gossip {
        name: "b".into(),
        controller_contact_age_ms: 5_000,
        ready: true,
        positions: Vec::new(),
        request_sent_at: Some(7),
        echoed_sent_at: None,
        attestation: None,
    };
    // Before the report is due to be sent again.
    let now = LEASE_EXPIRED + ms(10);
    let commands = agent.step(now, Event::FromMember { name: "b".into(), message: gossip });
    expect_that!(message_kinds(&commands), elements_are![eq(&"reports"), eq(&"answer")]);
    let partition: PartitionId = service_partition(SERVICE);
    let is_report_of_partition = |command: &Command| {
        matches!(command, Command::ToMember { message: Message::LeafReports { partition: reported, .. }, .. }
            if *reported == partition)
    };
    expect_that!(commands.iter().any(is_report_of_partition), eq(true));
}
