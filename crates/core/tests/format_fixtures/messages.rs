//! One message of every variant, and of every variant of the enums inside. No two
//! fields of a message have the same value, and none has its default, but for the
//! flags of pairs that differ in them.

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
    entries, holding, leaf, leaving_progress, map, member, membership, membership_id, narrow,
    partition, places, ready_progress, replica_state, table, term, wide,
};

/// All of them, in the order of the fixture files.
pub fn all() -> Vec<Message> {
    [
        greetings(),
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

/// Those that were added after the first fixture file was written.
fn added() -> Vec<Message> {
    vec![Message::SubstituteListPoller {
        name: "querier-1".into(),
        incarnation: wide(1),
        rank: narrow(2),
    }]
}

fn greetings() -> Vec<Message> {
    let whos = [
        PeerIdentity::Voter { slot: 7, replica_id: wide(2) },
        PeerIdentity::Spare { replica_id: wide(3) },
        PeerIdentity::Member("querier-1".into()),
    ];
    whos.map(|who| Message::Hello { who, cluster_hash: wide(1) }).to_vec()
}

fn voter_slots() -> Vec<Message> {
    vec![
        Message::VoterSetUpdate { replica_id: wide(1), voter_set: table() },
        Message::VoterAlive { stamp: wide(1) },
        Message::JoinRequest {
            replica_id: wide(1),
            addr: "10.0.0.9:7400".into(),
            zone: "east".into(),
            stamp: wide(2),
        },
        Message::JoinOffer { slot: 7, stamp: wide(1), free: vec![3, 5, 9] },
        Message::SlotTakeover { slot: 7, holder: holding(3) },
    ]
}

fn handovers() -> Vec<Message> {
    vec![
        Message::HandoverOffer { slot: 7, generation: narrow(1) },
        Message::HandoverAccept { slot: 8, holder: holding(4) },
        Message::Handover {
            slot: 9,
            generation: narrow(5),
            voter_set: table(),
            replicas: vec![replica_state()],
            memberships: Memberships {
                current: membership(1),
                others: vec![membership(2), membership(3)],
            },
        },
        Message::HandoverDone { slot: 10, generation: narrow(6) },
        Message::LeadershipTransfer { partition: partition(), term: term(1) },
    ]
}

fn recovery() -> Vec<Message> {
    let status = |life| Message::ReplicaStatus {
        partition: partition(),
        nonce: wide(1),
        condition: life,
        current_term: term(2),
        written_term: term(3),
        revision: wide(4),
        stamp: wide(5),
    };
    vec![
        Message::StatusRequest { partition: partition(), nonce: wide(1) },
        status(ReplicaCondition::Empty),
        status(ReplicaCondition::Damaged),
        status(ReplicaCondition::Voting),
        Message::FetchReplica { partition: partition(), nonce: wide(2) },
        Message::ReplicaFetched {
            partition: partition(),
            nonce: wide(1),
            current_term: term(2),
            written_term: term(3),
            revision: wide(4),
            entries: map(),
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
            revision: wide(3),
            stamp: wide(4),
        },
        Message::VoteRejected { partition, term: term(1), current_term: term(2) },
    ]
}

fn replication() -> Vec<Message> {
    let partition = partition();
    vec![
        Message::Snapshot { partition, term: term(1), revision: wide(2), entries: map() },
        Message::Append { partition, term: term(1), revision: wide(2), entries: entries() },
        Message::AppendAck { partition, term: term(1), revision: wide(2), stamp: wide(3) },
        Message::SnapshotRequest { partition, term: term(1) },
        Message::Heartbeat {
            partition,
            term: term(1),
            round: wide(2),
            committed: wide(3),
            checksum: wide(4),
        },
        Message::HeartbeatAck {
            partition,
            term: term(1),
            round: wide(2),
            revision: wide(3),
            synced: wide(4),
            stamp: wide(5),
        },
    ]
}

fn feed() -> Vec<Message> {
    let partition = partition();
    vec![
        Message::Subscribe { positions: places(), stamp: wide(1) },
        Message::Update { partition, from: Some(wide(1)), revision: wide(2), entries: entries() },
        Message::Update { partition, from: None, revision: wide(3), entries: entries() },
        Message::FeedPositions { positions: places(), stamp: wide(2) },
    ]
}

fn members() -> Vec<Message> {
    vec![
        Message::RenewLease { member: member(1), number: wide(1), progress: ready_progress() },
        Message::RenewLease { member: member(2), number: wide(2), progress: leaving_progress() },
        Message::LeaseGranted {
            name: "querier-1".into(),
            incarnation: wide(1),
            number: wide(2),
            term: term(3),
            revision: wide(4),
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
            settled: wide(2),
            confirmed: true,
            stamp: wide(3),
        },
        Message::FetchMembership { term: term(1) },
        Message::MembershipFetched {
            term: term(1),
            current: membership(1),
            others: vec![membership(2)],
            stamp: wide(2),
        },
    ]
}

fn gossip() -> Vec<Message> {
    let attestation = Attestation {
        membership: membership_id(),
        known_revision: wide(1),
        ages: vec![0x1234, 0x5678, NO_PROOF],
    };
    let gossip = |asked, echo, attestation| Message::Gossip {
        name: "querier-1".into(),
        controller_contact_age_ms: wide(2),
        ready: true,
        positions: places(),
        request_sent_at: asked,
        echoed_sent_at: echo,
        attestation,
    };
    vec![
        gossip(Some(wide(3)), Some(wide(4)), Some(attestation)),
        gossip(Some(wide(5)), None, None),
        gossip(None, Some(wide(6)), None),
    ]
}

fn leafs() -> Vec<Message> {
    let leaving = LeafReport { leaf: "leaf-1".into(), leaving: true, gone: false, age_ms: wide(1) };
    let gone = LeafReport { leaf: "leaf-2".into(), leaving: false, gone: true, age_ms: wide(2) };
    vec![
        Message::LeafList {
            partition: partition(),
            fencing_token: MembershipId { term: term(1), turn: wide(2) },
            leafs: vec![leaf(1, true), leaf(2, false)],
        },
        Message::LeafReports { partition: partition(), reports: vec![leaving, gone] },
    ]
}

fn operations() -> Vec<Message> {
    let operate = |expect, deed| Message::OperationRequest {
        op: wide(1),
        attempt: wide(2),
        term: term(3),
        request: "request-1".into(),
        expected_revision: expect,
        operation: deed,
    };
    vec![
        operate(Some(wide(4)), Operation::Replace(b"whole configuration".to_vec())),
        operate(None, Operation::Patch(b"changes of it".to_vec())),
        operate(Some(wide(5)), Operation::Read),
        operate(Some(wide(6)), Operation::Status),
        operate(Some(wide(7)), Operation::ForgetMember("querier-2".into())),
    ]
}

fn operation_results() -> Vec<Message> {
    let results = [
        OperationResult::Accepted { revision: wide(3), replicas: narrow(1), is_repeat: true },
        OperationResult::Configuration { revision: wide(3), entries: map() },
        OperationResult::Status {
            membership: membership(1),
            progress: vec![
                ("querier-1".into(), wide(3), ready_progress()),
                ("querier-2".into(), wide(4), leaving_progress()),
            ],
        },
        OperationResult::Invalid(vec![
            ("searches[0]".into(), "no such pool".into()),
            ("pools[1]".into(), "no such service".into()),
        ]),
        OperationResult::Conflict { revision: wide(3) },
        OperationResult::Rejected { why: "not now".into() },
        OperationResult::Unknown { why: "no majority answered".into() },
        OperationResult::Forgotten { revision: wide(3), edition: wide(4) },
    ];
    results
        .map(|done| Message::OperationResponse { op: wide(1), attempt: wide(2), result: done })
        .to_vec()
}

/// What came with rollouts: operations, their results, and the votes of members.
fn rollouts() -> Vec<Message> {
    let request = |operation| Message::OperationRequest {
        op: wide(1),
        attempt: wide(2),
        term: term(3),
        request: "request-1".into(),
        expected_revision: Some(wide(4)),
        operation,
    };
    let response = |result| Message::OperationResponse { op: wide(1), attempt: wide(2), result };
    let order =
        RolloutOrder { service: "service-1".into(), target: "v2".into(), time_limit_ms: wide(5) };
    vec![
        request(Operation::StartRollout(order)),
        request(Operation::AbortRollout("service-1".into())),
        request(Operation::ReadRollout("service-1".into())),
        response(OperationResult::Rollout(None)),
        response(OperationResult::Rollout(Some(rollout()))),
        response(OperationResult::RolloutInProgress { target: "v2".into() }),
        Message::RolloutVote {
            name: "querier-1".into(),
            incarnation: wide(1),
            evidence: vec![evidence()],
        },
    ]
}

fn rollout() -> Rollout {
    Rollout {
        service: "service-1".into(),
        target: "v2".into(),
        time_limit_ms: wide(1),
        phase: RolloutPhase::Forward as i32,
        elapsed_ms: wide(2),
        ordered_revision: wide(3),
        leader_term: wide(4),
        phase_revision: wide(5),
        delivered_version: "v1".into(),
        reason: RolloutReason::FoundGood as i32,
        history: vec![FormerRollout {
            target: "v0".into(),
            ordered_revision: wide(6),
            phase: RolloutPhase::Returned as i32,
            reason: RolloutReason::NoVerdict as i32,
            elapsed_ms: wide(7),
        }],
        step: TrialStep::Watch as i32,
    }
}

fn evidence() -> TrialEvidence {
    let seen = |good| VersionEvidence {
        good,
        bad: narrow(1),
        rejected: narrow(2),
        latencies: vec![narrow(3), narrow(4)],
    };
    TrialEvidence {
        service: "service-1".into(),
        ordered_revision: wide(1),
        routes: vec![RouteEvidence {
            route: "browse".into(),
            old: seen(narrow(5)),
            new: seen(narrow(6)),
        }],
        poor_leafs: vec![wide(2)],
    }
}

/// The message that the fixture of one piece holds.
pub fn small() -> Message {
    Message::Heartbeat {
        partition: partition(),
        term: term(1),
        round: wide(2),
        committed: wide(3),
        checksum: wide(4),
    }
}

/// The byte of which the large message consists but for its beginning.
pub const FILLER: u8 = 0x5a;
/// How many of them there are: more than two pieces.
pub const FILLER_COUNT: usize = 150_000;

/// A message of three pieces. Its last field is the long one.
pub fn large() -> Message {
    let map = BTreeMap::from([("filler".into(), vec![FILLER; FILLER_COUNT])]);
    Message::Snapshot { partition: partition(), term: term(1), revision: wide(2), entries: map }
}
