//! Which voters a querier subscribes to, when it exchanges gossip with its neighbours, and which
//! assignments its position in the membership gives it.

use googletest::prelude::*;
use grebepath_core::consts;
use grebepath_core::control_plane::controller;
use grebepath_core::identifiers::{
    CONFIG, FEED_END, MEMBERSHIP_FEED, PartitionId, Term, VoterSlot,
};
use grebepath_core::membership::feed::SUBSCRIBE_INTERVAL;
use grebepath_core::membership::feed_sources::POSITION_REPORT_TIMEOUT;
use grebepath_core::membership::lease::STARTUP_RETRY_INTERVAL;
use grebepath_core::membership::neighbour_ring::{NEIGHBOURS_EACH_WAY, NeighbourRing, PROBE_KEYS};
use grebepath_core::membership::node_agent::{Command, Event, NodeAgent};
use grebepath_core::protocol::membership::{Member, Membership};
use grebepath_core::protocol::message::{FeedPosition, Message};
use grebepath_core::storage::voter_file::VoterFile;
use grebepath_core::time::{BOOT, Tick, ms};
use grebepath_core::voter_set::{fixed_replica_id, fixed_voter_set};

fn member(n: usize) -> Member {
    let (name, addr) = (format!("m{n}"), format!("10.0.0.{n}:1"));
    Member { name, addr, zone: "a".into(), threads: 1, joined: 1, incarnation: 1 }
}

fn membership(n: usize) -> Membership {
    Membership {
        term: Term(3),
        turn: 1,
        settled: 1,
        revision: 0,
        members: (0..n).map(member).collect(),
    }
}

const DEFAULT_VOTER_SLOTS: usize = consts::DEFAULT_VOTER_SLOTS as usize;

/// Returns a member that has just started and knows the voter set.
fn starting_member() -> NodeAgent {
    let seeds: Vec<String> = (0..DEFAULT_VOTER_SLOTS).map(|n| format!("10.1.0.{n}:1")).collect();
    let mut agent = NodeAgent::new(member(0), BOOT);
    agent.step(BOOT, Event::VoterSet(fixed_voter_set(&seeds)));
    agent.subscribe_at = BOOT;
    agent
}

/// Returns a member that has caught up and has a lease.
fn serving_member() -> NodeAgent {
    let mut agent = NodeAgent::new(member(0), BOOT);
    let seeds: Vec<String> = (0..DEFAULT_VOTER_SLOTS).map(|n| format!("10.1.0.{n}:1")).collect();
    (agent.is_caught_up, agent.lease.granted, agent.lease.renewed_at) = (true, true, BOOT);
    agent.step(BOOT, Event::VoterSet(fixed_voter_set(&seeds)));
    agent
}

/// Returns the slots that a step subscribes to in full, and those that it subscribes to for their
/// positions alone.
fn subscriptions(commands: &[Command]) -> (Vec<VoterSlot>, Vec<VoterSlot>) {
    let (mut full, mut polled) = (Vec::new(), Vec::new());
    for c in commands {
        if let Command::ToVoter { slot, message: Message::Subscribe { positions: places, .. } } = c
        {
            let positions_only = places.iter().all(|p| p.revision == FEED_END);
            if positions_only { polled.push(*slot) } else { full.push(*slot) }
        }
    }
    (full, polled)
}

/// Delivers a voter's report of its position in a partition.
fn report_position(
    agent: &mut NodeAgent,
    now: Tick,
    slot: VoterSlot,
    partition: PartitionId,
    revision: u64,
) {
    let message = Message::FeedPositions {
        positions: vec![FeedPosition { partition, revision }],
        stamp: agent.voter_set_stamp,
    };
    agent.step(now, Event::FromVoter { slot, message });
}

#[gtest]
fn one_voter_feeds_and_the_others_are_polled_for_their_positions() {
    let mut agent = serving_member();
    let (full, polled) = subscriptions(&agent.step(BOOT, Event::Wake));
    expect_that!(full.len(), eq(1));
    expect_that!(polled.len(), eq(DEFAULT_VOTER_SLOTS - 1));
    // The others are polled at every second interval only.
    let (again, none) = subscriptions(&agent.step(BOOT + SUBSCRIBE_INTERVAL, Event::Wake));
    expect_that!(again, eq(&full));
    expect_that!(none, is_empty());
}

#[gtest]
fn all_voters_feed_a_starting_member_and_are_polled_often() {
    let mut agent = starting_member();
    for (caught_up, granted, interval) in [
        (false, false, STARTUP_RETRY_INTERVAL),
        (false, true, STARTUP_RETRY_INTERVAL),
        (true, false, SUBSCRIBE_INTERVAL),
    ] {
        let now = agent.subscribe_at;
        (agent.is_caught_up, agent.lease.granted, agent.lease.renewed_at) =
            (caught_up, granted, now);
        let (full, polled) = subscriptions(&agent.step(now, Event::Wake));
        expect_that!(full.len(), eq(DEFAULT_VOTER_SLOTS));
        expect_that!(polled, is_empty());
        expect_that!(agent.subscribe_at, eq(now + interval));
    }
}

#[gtest]
fn a_new_holder_of_a_slot_feeds_only_after_it_has_reported_its_position() {
    let mut agent = serving_member();
    let (full, _) = subscriptions(&agent.step(BOOT, Event::Wake));
    let first = full[0];
    let now = BOOT + POSITION_REPORT_TIMEOUT;
    for slot in 0..DEFAULT_VOTER_SLOTS as VoterSlot {
        report_position(&mut agent, now, slot, CONFIG, 0);
    }
    let mut table = agent.voter_set.clone();
    let holder = &mut table.slots[usize::from(first)];
    (holder.generation, holder.replica_id, holder.addr) = (2, 77, "10.1.0.9:1".into());
    agent.step(now, Event::VoterSet(table));
    agent.lease.renewed_at = now;
    let (full, polled) = subscriptions(&agent.step(now, Event::Wake));
    expect_that!(full, not(contains(eq(&first))));
    // All are polled at once: a voter that reports its position may feed.
    expect_that!(polled, contains(eq(&first)));
    // A report under the previous voter set does not count for the new holder.
    let message = Message::FeedPositions { positions: Vec::new(), stamp: 0 };
    agent.step(now, Event::FromVoter { slot: first, message });
    let due = agent.subscribe_at;
    expect_that!(subscriptions(&agent.step(due, Event::Wake)).0, not(contains(eq(&first))));
    report_position(&mut agent, due, first, CONFIG, 0);
    let due = agent.subscribe_at;
    expect_that!(subscriptions(&agent.step(due, Event::Wake)).0, elements_are![eq(&first)]);
}

#[gtest]
fn a_voter_with_a_higher_revision_feeds_too_until_the_member_has_it() {
    let mut agent = serving_member();
    let (full, polled) = subscriptions(&agent.step(BOOT, Event::Wake));
    let (first, other) = (full[0], polled[0]);
    for partition in [CONFIG, MEMBERSHIP_FEED] {
        let now = agent.subscribe_at;
        agent.lease.renewed_at = now;
        report_position(&mut agent, now - ms(100), first, partition, 0);
        report_position(&mut agent, now - ms(100), other, partition, u64::MAX / 4);
        let (full, _) = subscriptions(&agent.step(now, Event::Wake));
        expect_that!(full, unordered_elements_are![eq(&first), eq(&other)]);
        let now = agent.subscribe_at;
        report_position(&mut agent, now - ms(100), first, partition, 0);
        report_position(&mut agent, now - ms(100), other, partition, 0);
        let (full, _) = subscriptions(&agent.step(now, Event::Wake));
        expect_that!(full, elements_are![eq(&first)]);
    }
}

#[gtest]
fn a_subscriber_to_positions_alone_gets_positions_and_nothing_else() {
    let seeds: Vec<String> = (0..DEFAULT_VOTER_SLOTS).map(|n| format!("10.1.0.{n}:1")).collect();
    let voter_file = VoterFile {
        replica_id: fixed_replica_id(0),
        is_original_disk: true,
        voter_set: fixed_voter_set(&seeds),
    };
    let mut c = controller::ControllerState::new(voter_file, (&seeds[0], "a"), Vec::new(), 1, BOOT);
    let stamp = c.voter_slots.stamp;
    c.partitions[0].committed.insert("zone/a".into(), vec![1]);
    (c.partitions[0].committed_revision, c.members.membership) = (5, membership(3));
    let subscribe = |c: &mut controller::ControllerState, revision: u64| {
        let list = [CONFIG, MEMBERSHIP_FEED].into_iter().chain((1..5).map(PartitionId));
        let places = list.map(|partition| FeedPosition { partition, revision }).collect();
        let event = controller::Event::FromConnection {
            connection: 1,
            message: Message::Subscribe { positions: places, stamp },
        };
        let commands = c.step(BOOT, event);
        let count = |f: fn(&Message) -> bool| {
            let is_counted = |k: &&grebepath_core::command::Command| matches!(k, grebepath_core::command::Command::ToConnection { message, .. } if f(message));
            commands.iter().filter(is_counted).count()
        };
        let positions = count(|m| matches!(m, Message::FeedPositions { .. }));
        (
            positions,
            count(|m| matches!(m, Message::Update { .. })),
            count(|m| matches!(m, Message::MembershipUpdate(_))),
        )
    };
    expect_that!(subscribe(&mut c, FEED_END), eq((1, 0, 0)));
    expect_that!(subscribe(&mut c, 0), eq((1, 1, 1)));
    // A subscriber that lost its state subscribes from revision 0 and gets everything again.
    expect_that!(subscribe(&mut c, 0), eq((1, 1, 1)));
    expect_that!(subscribe(&mut c, FEED_END), eq((1, 0, 0)));
}

#[gtest]
fn a_silent_voter_no_longer_feeds() {
    let mut agent = serving_member();
    let (full, polled) = subscriptions(&agent.step(BOOT, Event::Wake));
    let now = BOOT + POSITION_REPORT_TIMEOUT + ms(1);
    agent.lease.renewed_at = now;
    report_position(&mut agent, now - ms(100), polled[0], CONFIG, 0);
    let (next, _) = subscriptions(&agent.step(now, Event::Wake));
    expect_that!(next, elements_are![eq(&polled[0])]);
    expect_that!(full, not(eq(&next)));
    // If all voters are silent, the member subscribes to all of them.
    let later = now + 2 * POSITION_REPORT_TIMEOUT;
    agent.lease.renewed_at = later;
    let (all, _) = subscriptions(&agent.step(later, Event::Wake));
    expect_that!(all.len(), eq(DEFAULT_VOTER_SLOTS));
}

/// Returns the number of gossip requests that a member sends in ten seconds, with or without a
/// renewed lease.
fn gossip_count(has_lease: bool) -> usize {
    let mut agent = NodeAgent::new(member(0), BOOT);
    agent.step(
        BOOT,
        Event::FromVoter { slot: 0, message: Message::MembershipUpdate(membership(9)) },
    );
    agent.lease.granted = has_lease;
    let mut n = 0;
    for i in 0..200 {
        let now = BOOT + ms(50 * i);
        agent.lease.renewed_at = if has_lease { now } else { 0 };
        for c in agent.step(now, Event::Wake) {
            if let Command::ToMember {
                message: Message::Gossip { positions: places, request_sent_at: asked, .. },
                ..
            } = c
            {
                expect_that!(asked, some(eq(now)));
                expect_that!(places, is_empty());
                n += 1;
            }
        }
    }
    n
}

#[gtest]
fn members_gossip_rarely_while_controllers_are_heard_and_often_otherwise() {
    expect_that!(gossip_count(true), eq(8 * 5));
    expect_that!(gossip_count(false), eq(8 * 40));
}

#[gtest]
fn a_gossip_reply_contains_the_members_positions() {
    let mut agent = NodeAgent::new(member(0), BOOT);
    agent.step(
        BOOT,
        Event::FromVoter { slot: 0, message: Message::MembershipUpdate(membership(3)) },
    );
    let message = Message::Gossip {
        name: "m1".into(),
        controller_contact_age_ms: 0,
        ready: true,
        positions: Vec::new(),
        request_sent_at: Some(7),
        echoed_sent_at: None,
        attestation: None,
    };
    let commands = agent.step(BOOT + 1, Event::FromMember { name: "m1".into(), message });
    let answers = commands.iter().filter(|c| {
        matches!(c, Command::ToMember { message: Message::Gossip { positions: places, echoed_sent_at: Some(7), .. }, .. }
            if places.len() == 1 + consts::SERVICE_PARTITIONS as usize)
    });
    expect_that!(answers.count(), eq(1));
}

#[gtest]
fn assignments_have_one_holder_and_neighbours_are_mutual() {
    let all = membership(40);
    let rings: Vec<_> = all.members.iter().map(|m| NeighbourRing::new(&all, &m.name)).collect();
    for key in 0..PROBE_KEYS as usize {
        expect_that!(rings.iter().filter(|r| r.probe_keys[key]).count(), eq(1));
    }
    // Each member has another rank for the list: one is the poller, one is next.
    let mut ranks: Vec<_> = rings.iter().filter_map(|r| r.list_rank).collect();
    ranks.sort_unstable();
    expect_that!(ranks, eq(&(0..40).collect::<Vec<_>>()));
    for (m, r) in all.members.iter().zip(&rings) {
        expect_that!(r.neighbours.len(), eq(2 * NEIGHBOURS_EACH_WAY));
        for name in &r.neighbours {
            let n: usize = name[1..].parse().unwrap();
            expect_that!(rings[n].neighbours, contains(eq(&m.name)));
        }
    }
}
