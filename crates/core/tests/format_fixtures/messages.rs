//! One message of every variant, and of every variant of the enums inside. No two fields of a
//! message have the same value, and none has its default value, except for flags, which differ
//! within a pair of messages.

use std::collections::BTreeMap;

use grebepath_core::protocol::membership::{Attestation, MembershipId, Memberships, NO_PROOF};
use grebepath_core::protocol::message::{LeafReport, Message};
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::protocol::peer::PeerIdentity;
use grebepath_core::protocol::replica::ReplicaCondition;
use grebepath_core::rollout::evidence::{RouteEvidence, TrialEvidence, VersionEvidence};
use grebepath_core::rollout::order::RolloutOrder;
use grebepath_core::rollout::record::{
    FormerRollout, Rollout, RolloutPhase, RolloutReason, TrialStep,
};

use super::values::{
    entries, entry_map, feed_positions, large_u32, large_u64, leaf, leaving_progress, member,
    membership, membership_id, partition, ready_progress, replica_state, slot_holder, term,
    voter_set,
};

/// Returns all messages, in the order of the fixture files.
pub fn all() -> Vec<Message> {
    [
        hellos(),
        voter_slots(),
        handovers(),
        recovery(),
        elections(),
        replication(),
        feed(),
        members(),
        memberships(),
        gossip(),
        leafs(),
        operations(),
        operation_results(),
        added(),
        rollouts(),
    ]
    .concat()
}

/// Returns the messages that were added after the first fixture file was written.
fn added() -> Vec<Message> {
    vec![Message::SubstituteListPoller {
        name: "querier-1".into(),
        incarnation: large_u64(1),
        rank: large_u32(2),
    }]
}

fn hellos() -> Vec<Message> {
    let peers = [
        PeerIdentity::Voter { slot: 7, replica_id: large_u64(2) },
        PeerIdentity::Spare { replica_id: large_u64(3) },
        PeerIdentity::Member("querier-1".into()),
    ];
    peers.map(|who| Message::Hello { who, cluster_hash: large_u64(1) }).to_vec()
}

fn voter_slots() -> Vec<Message> {
    vec![
        Message::VoterSetUpdate { replica_id: large_u64(1), voter_set: voter_set() },
        Message::VoterAlive { stamp: large_u64(1) },
        Message::JoinRequest {
            replica_id: large_u64(1),
            addr: "10.0.0.9:7400".into(),
            zone: "east".into(),
            stamp: large_u64(2),
        },
        Message::JoinOffer { slot: 7, stamp: large_u64(1), free: vec![3, 5, 9] },
        Message::SlotTakeover { slot: 7, holder: slot_holder(3) },
    ]
}

fn handovers() -> Vec<Message> {
    vec![
        Message::HandoverOffer { slot: 7, generation: large_u32(1) },
        Message::HandoverAccept { slot: 8, holder: slot_holder(4) },
        Message::Handover {
            slot: 9,
            generation: large_u32(5),
            voter_set: voter_set(),
            replicas: vec![replica_state()],
            memberships: Memberships {
                current: membership(1),
                others: vec![membership(2), membership(3)],
            },
        },
        Message::HandoverDone { slot: 10, generation: large_u32(6) },
        Message::LeadershipTransfer { partition: partition(), term: term(1) },
    ]
}

fn recovery() -> Vec<Message> {
    let status = |condition| Message::ReplicaStatus {
        partition: partition(),
        nonce: large_u64(1),
        condition,
        current_term: term(2),
        written_term: term(3),
        revision: large_u64(4),
        stamp: large_u64(5),
    };
    vec![
        Message::StatusRequest { partition: partition(), nonce: large_u64(1) },
        status(ReplicaCondition::Empty),
        status(ReplicaCondition::Damaged),
        status(ReplicaCondition::Voting),
        Message::FetchReplica { partition: partition(), nonce: large_u64(2) },
        Message::ReplicaFetched {
            partition: partition(),
            nonce: large_u64(1),
            current_term: term(2),
            written_term: term(3),
            revision: large_u64(4),
            entries: entry_map(),
        },
    ]
}

fn elections() -> Vec<Message> {
    let partition = partition();
    vec![
        Message::PreVoteRequest { partition, term: term(1) },
        Message::PreVoteResponse { partition, term: term(1), granted: true, current_term: term(2) },
        Message::VoteRequest { partition, term: term(2) },
        Message::VoteGranted {
            partition,
            term: term(1),
            written_term: term(2),
            revision: large_u64(3),
            stamp: large_u64(4),
        },
        Message::VoteRejected { partition, term: term(1), current_term: term(2) },
    ]
}

fn replication() -> Vec<Message> {
    let partition = partition();
    vec![
        Message::Snapshot {
            partition,
            term: term(1),
            revision: large_u64(2),
            entries: entry_map(),
        },
        Message::Append { partition, term: term(1), revision: large_u64(2), entries: entries() },
        Message::AppendAck {
            partition,
            term: term(1),
            revision: large_u64(2),
            stamp: large_u64(3),
        },
        Message::SnapshotRequest { partition, term: term(1) },
        Message::Heartbeat {
            partition,
            term: term(1),
            round: large_u64(2),
            committed: large_u64(3),
            checksum: large_u64(4),
        },
        Message::HeartbeatAck {
            partition,
            term: term(1),
            round: large_u64(2),
            revision: large_u64(3),
            synced: large_u64(4),
            stamp: large_u64(5),
        },
    ]
}

fn feed() -> Vec<Message> {
    let partition = partition();
    vec![
        Message::Subscribe { positions: feed_positions(), stamp: large_u64(1) },
        Message::Update {
            partition,
            from: Some(large_u64(1)),
            revision: large_u64(2),
            entries: entries(),
        },
        Message::Update { partition, from: None, revision: large_u64(3), entries: entries() },
        Message::FeedPositions { positions: feed_positions(), stamp: large_u64(2) },
    ]
}

fn members() -> Vec<Message> {
    vec![
        Message::RenewLease { member: member(1), number: large_u64(1), progress: ready_progress() },
        Message::RenewLease {
            member: member(2),
            number: large_u64(2),
            progress: leaving_progress(),
        },
        Message::LeaseGranted {
            name: "querier-1".into(),
            incarnation: large_u64(1),
            number: large_u64(2),
            term: term(3),
            revision: large_u64(4),
            wants_membership: true,
        },
        Message::MembershipUpdate(membership(4)),
    ]
}

fn memberships() -> Vec<Message> {
    vec![
        Message::ReplicateMembership {
            term: term(1),
            current: membership(1),
            confirmed: true,
            older: vec![membership(2), membership(3)],
        },
        Message::MembershipReplicated {
            term: term(1),
            id: membership_id(),
            settled: large_u64(2),
            confirmed: true,
            stamp: large_u64(3),
        },
        Message::FetchMembership { term: term(1) },
        Message::MembershipFetched {
            term: term(1),
            current: membership(1),
            others: vec![membership(2)],
            stamp: large_u64(2),
        },
    ]
}

fn gossip() -> Vec<Message> {
    let attestation = Attestation {
        membership: membership_id(),
        known_revision: large_u64(1),
        ages: vec![0x1234, 0x5678, NO_PROOF],
    };
    let gossip = |asked, echo, attestation| Message::Gossip {
        name: "querier-1".into(),
        controller_contact_age_ms: large_u64(2),
        ready: true,
        positions: feed_positions(),
        request_sent_at: asked,
        echoed_sent_at: echo,
        attestation,
    };
    vec![
        gossip(Some(large_u64(3)), Some(large_u64(4)), Some(attestation)),
        gossip(Some(large_u64(5)), None, None),
        gossip(None, Some(large_u64(6)), None),
    ]
}

fn leafs() -> Vec<Message> {
    let leaving =
        LeafReport { leaf: "leaf-1".into(), leaving: true, gone: false, age_ms: large_u64(1) };
    let gone =
        LeafReport { leaf: "leaf-2".into(), leaving: false, gone: true, age_ms: large_u64(2) };
    vec![
        Message::LeafList {
            partition: partition(),
            fencing_token: MembershipId { term: term(1), turn: large_u64(2) },
            leafs: vec![leaf(1, true), leaf(2, false)],
        },
        Message::LeafReports { partition: partition(), reports: vec![leaving, gone] },
    ]
}

fn operations() -> Vec<Message> {
    let operate = |expected_revision, operation| Message::OperationRequest {
        op: large_u64(1),
        attempt: large_u64(2),
        term: term(3),
        request: "request-1".into(),
        expected_revision,
        operation,
    };
    vec![
        operate(Some(large_u64(4)), Operation::Replace(b"whole configuration".to_vec())),
        operate(None, Operation::Patch(b"changes of it".to_vec())),
        operate(Some(large_u64(5)), Operation::Read),
        operate(Some(large_u64(6)), Operation::Status),
        operate(Some(large_u64(7)), Operation::ForgetMember("querier-2".into())),
    ]
}

fn operation_results() -> Vec<Message> {
    let results = [
        OperationResult::Accepted {
            revision: large_u64(3),
            replicas: large_u32(1),
            is_repeat: true,
        },
        OperationResult::Configuration { revision: large_u64(3), entries: entry_map() },
        OperationResult::Status {
            membership: membership(1),
            progress: vec![
                ("querier-1".into(), large_u64(3), ready_progress()),
                ("querier-2".into(), large_u64(4), leaving_progress()),
            ],
        },
        OperationResult::Invalid(vec![
            ("searches[0]".into(), "no such pool".into()),
            ("pools[1]".into(), "no such service".into()),
        ]),
        OperationResult::Conflict { revision: large_u64(3) },
        OperationResult::Rejected { why: "not now".into() },
        OperationResult::Unknown { why: "no majority answered".into() },
        OperationResult::Forgotten { revision: large_u64(3), edition: large_u64(4) },
    ];
    results
        .map(|done| Message::OperationResponse {
            op: large_u64(1),
            attempt: large_u64(2),
            result: done,
        })
        .to_vec()
}

/// Returns the messages that were added with rollouts: operations, their results, and the votes
/// of members.
fn rollouts() -> Vec<Message> {
    let request = |operation| Message::OperationRequest {
        op: large_u64(1),
        attempt: large_u64(2),
        term: term(3),
        request: "request-1".into(),
        expected_revision: Some(large_u64(4)),
        operation,
    };
    let response =
        |result| Message::OperationResponse { op: large_u64(1), attempt: large_u64(2), result };
    let order = RolloutOrder {
        service: "service-1".into(),
        target: "v2".into(),
        time_limit_ms: large_u64(5),
    };
    vec![
        request(Operation::StartRollout(order)),
        request(Operation::AbortRollout("service-1".into())),
        request(Operation::ReadRollout("service-1".into())),
        response(OperationResult::Rollout(None)),
        response(OperationResult::Rollout(Some(rollout()))),
        response(OperationResult::RolloutInProgress { target: "v2".into() }),
        Message::RolloutVote {
            name: "querier-1".into(),
            incarnation: large_u64(1),
            evidence: vec![evidence()],
        },
    ]
}

fn rollout() -> Rollout {
    Rollout {
        service: "service-1".into(),
        target: "v2".into(),
        time_limit_ms: large_u64(1),
        phase: RolloutPhase::Forward as i32,
        elapsed_ms: large_u64(2),
        ordered_revision: large_u64(3),
        leader_term: large_u64(4),
        phase_revision: large_u64(5),
        delivered_version: "v1".into(),
        reason: RolloutReason::FoundGood as i32,
        history: vec![FormerRollout {
            target: "v0".into(),
            ordered_revision: large_u64(6),
            phase: RolloutPhase::Returned as i32,
            reason: RolloutReason::NoVerdict as i32,
            elapsed_ms: large_u64(7),
        }],
        step: TrialStep::Watch as i32,
    }
}

fn evidence() -> TrialEvidence {
    let seen = |good| VersionEvidence {
        good,
        bad: large_u32(1),
        rejected: large_u32(2),
        latencies: vec![large_u32(3), large_u32(4)],
    };
    TrialEvidence {
        service: "service-1".into(),
        ordered_revision: large_u64(1),
        routes: vec![RouteEvidence {
            route: "browse".into(),
            old: seen(large_u32(5)),
            new: seen(large_u32(6)),
        }],
        poor_leafs: vec![large_u64(2)],
    }
}

/// Returns the message in the fixture that has one frame.
pub fn small() -> Message {
    Message::Heartbeat {
        partition: partition(),
        term: term(1),
        round: large_u64(2),
        committed: large_u64(3),
        checksum: large_u64(4),
    }
}

/// The byte of which the large message consists, except for its beginning.
pub const FILLER: u8 = 0x5a;
/// Number of filler bytes: more than two frames.
pub const FILLER_COUNT: usize = 150_000;

/// Returns a message of three frames. Its last field is the long one.
pub fn large() -> Message {
    let entry_map = BTreeMap::from([("filler".into(), vec![FILLER; FILLER_COUNT])]);
    Message::Snapshot {
        partition: partition(),
        term: term(1),
        revision: large_u64(2),
        entries: entry_map,
    }
}
