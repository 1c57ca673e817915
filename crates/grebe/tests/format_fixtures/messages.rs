//! One message of every variant, and of every variant of the enums inside. No two
//! fields of a message have the same value, and none has its default.

use std::collections::BTreeMap;

use grebe::config::change::Entry;
use grebe::names::PartId;
use grebe::seats::table::{Holding, Table};
use grebe::view::leafs::LeafInfo;
use grebe::wire::msg::{
    Attestation, Cohort, Deed, Done, Life, Map, Member, MembershipId, Memberships, Msg, NO_PROOF,
    Place, Progress, ReplicaState, Who, Word,
};

/// A number that fills all eight bytes, another one for each `n`.
pub fn wide(n: u64) -> u64 {
    0xa1b2_c3d4_e5f6_0000 + n
}

/// A number that fills all four bytes, another one for each `n`.
pub fn narrow(n: u32) -> u32 {
    0x5a4b_3c00 + n
}

fn partition() -> PartId {
    PartId(narrow(255))
}

fn map() -> Map {
    BTreeMap::from([("terms".into(), vec![1, 2, 3]), ("zone/east".into(), vec![0xff, 0x00, 0x80])])
}

fn entries() -> Vec<Entry> {
    vec![("pool/written".into(), Some(vec![9, 8, 7, 6])), ("pool/removed".into(), None)]
}

fn places() -> Vec<Place> {
    let place = |n| Place { part: PartId(narrow(n)), rev: wide(100 + u64::from(n)) };
    vec![place(1), place(2)]
}

fn holding(n: u32) -> Holding {
    Holding {
        generation: narrow(n),
        holder: wide(200 + u64::from(n)),
        addr: format!("10.0.0.{n}:7400"),
        zone: format!("zone-{n}"),
    }
}

/// Three voter slots, one of them vacant.
pub fn table() -> Table {
    Table { seats: vec![holding(1), Holding::default(), holding(2)] }
}

fn member(n: u32) -> Member {
    Member {
        name: format!("querier-{n}"),
        addr: format!("10.0.1.{n}:7500"),
        zone: format!("member-zone-{n}"),
        threads: narrow(n),
        joined: wide(300 + u64::from(n)),
        incarnation: wide(400 + u64::from(n)),
    }
}

fn membership(n: u32) -> Cohort {
    let number = 10 * u64::from(n);
    Cohort {
        epoch: wide(500 + number),
        turn: wide(501 + number),
        settled: wide(502 + number),
        revision: wide(503 + number),
        members: vec![member(n), member(n + 1)],
    }
}

fn membership_id() -> MembershipId {
    MembershipId { term: wide(601), turn: wide(602) }
}

fn ready_progress() -> Progress {
    Progress {
        obeys: wide(701),
        saw: (wide(702), wide(703)),
        knows: wide(704),
        quiet_ms: wide(705),
        ready: true,
        leaving: false,
    }
}

fn leaving_progress() -> Progress {
    Progress {
        obeys: wide(711),
        saw: (wide(712), wide(713)),
        knows: wide(714),
        quiet_ms: wide(715),
        ready: false,
        leaving: true,
    }
}

/// A leaf of which every field says something; another one for each `n`.
pub fn leaf(n: u32, leaving: bool) -> LeafInfo {
    LeafInfo {
        leaf: format!("leaf-{n}"),
        service: format!("service-{n}"),
        addr: format!("10.0.2.{n}:7600"),
        labels: BTreeMap::from([
            ("shard".into(), n.to_string()),
            ("zone".into(), format!("leaf-zone-{n}")),
        ]),
        leaving,
        age_ms: wide(800 + u64::from(n)),
        slots: narrow(n),
        cold: !leaving,
    }
}

fn replica_state() -> ReplicaState {
    ReplicaState {
        part: partition(),
        promised: wide(901),
        epoch: wide(902),
        rev: wide(903),
        map: map(),
    }
}

/// All of them, in the order of the fixture file.
pub fn all() -> Vec<Msg> {
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
    ]
    .concat()
}

fn greetings() -> Vec<Msg> {
    let whos = [
        Who::Seat { seat: 7, holder: wide(2) },
        Who::Spare { holder: wide(3) },
        Who::Member("querier-1".into()),
    ];
    whos.map(|who| Msg::Hello { who, fleet: wide(1) }).to_vec()
}

fn voter_slots() -> Vec<Msg> {
    vec![
        Msg::Seats { me: wide(1), table: table() },
        Msg::Here { stamp: wide(1) },
        Msg::Apply {
            holder: wide(1),
            addr: "10.0.0.9:7400".into(),
            zone: "east".into(),
            stamp: wide(2),
        },
        Msg::Offer { seat: 7, stamp: wide(1), free: vec![3, 5, 9] },
        Msg::Take { seat: 7, holding: holding(3) },
    ]
}

fn handovers() -> Vec<Msg> {
    vec![
        Msg::HandoverOffer { slot: 7, generation: narrow(1) },
        Msg::HandoverAccept { slot: 8, holding: holding(4) },
        Msg::Handover {
            slot: 9,
            generation: narrow(5),
            table: table(),
            replicas: vec![replica_state()],
            memberships: Memberships {
                current: membership(1),
                others: vec![membership(2), membership(3)],
            },
        },
        Msg::HandoverDone { slot: 10, generation: narrow(6) },
        Msg::LeadershipTransfer { part: partition(), term: wide(1) },
    ]
}

fn recovery() -> Vec<Msg> {
    let status = |life| Msg::ReplicaStatus {
        part: partition(),
        nonce: wide(1),
        life,
        promised: wide(2),
        epoch: wide(3),
        rev: wide(4),
        stamp: wide(5),
    };
    vec![
        Msg::StatusRequest { part: partition(), nonce: wide(1) },
        status(Life::Empty),
        status(Life::Damaged),
        status(Life::Formed),
        Msg::FetchReplica { part: partition(), nonce: wide(2) },
        Msg::ReplicaFetched {
            part: partition(),
            nonce: wide(1),
            promised: wide(2),
            epoch: wide(3),
            rev: wide(4),
            map: map(),
        },
    ]
}

fn elections() -> Vec<Msg> {
    let part = partition();
    vec![
        Msg::PreVoteRequest { part, epoch: wide(1) },
        Msg::PreVoteResponse { part, epoch: wide(1), yes: true, promised: wide(2) },
        Msg::VoteRequest { part, epoch: wide(2) },
        Msg::VoteGranted { part, epoch: wide(1), at_epoch: wide(2), rev: wide(3), stamp: wide(4) },
        Msg::VoteRejected { part, epoch: wide(1), promised: wide(2) },
    ]
}

fn replication() -> Vec<Msg> {
    let part = partition();
    vec![
        Msg::Snapshot { part, epoch: wide(1), rev: wide(2), map: map() },
        Msg::Append { part, epoch: wide(1), rev: wide(2), entries: entries() },
        Msg::AppendAck { part, epoch: wide(1), rev: wide(2), stamp: wide(3) },
        Msg::SnapshotRequest { part, epoch: wide(1) },
        Msg::Heartbeat { part, epoch: wide(1), round: wide(2), done: wide(3), sum: wide(4) },
        Msg::HeartbeatAck {
            part,
            epoch: wide(1),
            round: wide(2),
            rev: wide(3),
            kept: wide(4),
            stamp: wide(5),
        },
    ]
}

fn feed() -> Vec<Msg> {
    let part = partition();
    vec![
        Msg::Follow { places: places(), stamp: wide(1) },
        Msg::News { part, from: Some(wide(1)), rev: wide(2), entries: entries() },
        Msg::News { part, from: None, rev: wide(3), entries: entries() },
        Msg::Reach { places: places(), stamp: wide(2) },
    ]
}

fn members() -> Vec<Msg> {
    vec![
        Msg::Renew { member: member(1), count: wide(1), far: ready_progress() },
        Msg::Renew { member: member(2), count: wide(2), far: leaving_progress() },
        Msg::Tenure {
            name: "querier-1".into(),
            incarnation: wide(1),
            count: wide(2),
            epoch: wide(3),
            rev: wide(4),
            tell_membership: true,
        },
        Msg::Tell(membership(4)),
    ]
}

fn memberships() -> Vec<Msg> {
    vec![
        Msg::ReplicateMembership {
            term: wide(1),
            current: membership(1),
            confirmed: true,
            older: vec![membership(2), membership(3)],
        },
        Msg::MembershipReplicated {
            term: wide(1),
            id: membership_id(),
            settled: wide(2),
            confirmed: true,
            stamp: wide(3),
        },
        Msg::FetchMembership { term: wide(1) },
        Msg::MembershipFetched {
            term: wide(1),
            current: membership(1),
            others: vec![membership(2)],
            stamp: wide(2),
        },
    ]
}

fn gossip() -> Vec<Msg> {
    let attestation = Attestation {
        membership: membership_id(),
        knows: wide(1),
        ages: vec![0x1234, 0x5678, NO_PROOF],
    };
    let gossip = |asked, echo, attestation| Msg::Gossip {
        name: "querier-1".into(),
        core_age_ms: wide(2),
        ready: true,
        places: places(),
        asked,
        echo,
        attestation,
    };
    vec![
        gossip(Some(wide(3)), Some(wide(4)), Some(attestation)),
        gossip(Some(wide(5)), None, None),
        gossip(None, Some(wide(6)), None),
    ]
}

fn leafs() -> Vec<Msg> {
    let leaving = Word { leaf: "leaf-1".into(), leaving: true, gone: false, age_ms: wide(1) };
    let gone = Word { leaf: "leaf-2".into(), leaving: false, gone: true, age_ms: wide(2) };
    vec![
        Msg::Listed {
            part: partition(),
            fence: (wide(1), wide(2)),
            leafs: vec![leaf(1, true), leaf(2, false)],
        },
        Msg::Words { part: partition(), words: vec![leaving, gone] },
    ]
}

fn operations() -> Vec<Msg> {
    let operate = |expect, deed| Msg::Operate {
        op: wide(1),
        attempt: wide(2),
        term: wide(3),
        request: "request-1".into(),
        expect,
        deed,
    };
    vec![
        operate(Some(wide(4)), Deed::Whole(b"whole configuration".to_vec())),
        operate(None, Deed::Patch(b"changes of it".to_vec())),
        operate(Some(wide(5)), Deed::Read),
        operate(Some(wide(6)), Deed::Status),
        operate(Some(wide(7)), Deed::Forget("querier-2".into())),
    ]
}

fn operation_results() -> Vec<Msg> {
    let results = [
        Done::Accepted { revision: wide(3), copies: narrow(1), again: true },
        Done::Config { revision: wide(3), map: map() },
        Done::Status {
            cohort: membership(1),
            far: vec![
                ("querier-1".into(), wide(3), ready_progress()),
                ("querier-2".into(), wide(4), leaving_progress()),
            ],
        },
        Done::Wrong(vec![
            ("searches[0]".into(), "no such pool".into()),
            ("pools[1]".into(), "no such service".into()),
        ]),
        Done::Moved { revision: wide(3) },
        Done::Bounced { why: "not now".into() },
        Done::Unknown { why: "no majority answered".into() },
        Done::Forgotten { revision: wide(3), edition: wide(4) },
    ];
    results.map(|done| Msg::Operated { op: wide(1), attempt: wide(2), done }).to_vec()
}

/// The message that the fixture of one piece holds.
pub fn small() -> Msg {
    Msg::Heartbeat {
        part: partition(),
        epoch: wide(1),
        round: wide(2),
        done: wide(3),
        sum: wide(4),
    }
}

/// The byte of which the large message consists but for its beginning.
pub const FILLER: u8 = 0x5a;
/// How many of them there are: more than two pieces.
pub const FILLER_COUNT: usize = 150_000;

/// A message of three pieces. Its last field is the long one.
pub fn large() -> Msg {
    let map = BTreeMap::from([("filler".into(), vec![FILLER; FILLER_COUNT])]);
    Msg::Snapshot { part: partition(), epoch: wide(1), rev: wide(2), map }
}
