//! The values of which messages and files are made. No two fields of a value are
//! alike, and none has its default, but for the flags of pairs that differ in them.

use std::collections::BTreeMap;

use grebepath_core::config::stored::Entry;
use grebepath_core::identifiers::{PartitionId, Term};
use grebepath_core::protocol::membership::{Member, MemberProgress, Membership, MembershipId};
use grebepath_core::protocol::message::FeedPosition;
use grebepath_core::protocol::replica::{EntryMap, HandedOverReplica};
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::voter_set::{SlotHolder, VoterSet};

/// A number that fills all eight bytes, another one for each `n`.
pub fn wide(n: u64) -> u64 {
    0xa1b2_c3d4_e5f6_0000 + n
}

/// A term that fills all eight bytes, another one for each `n`.
pub fn term(n: u64) -> Term {
    Term(wide(n))
}

/// A number that fills all four bytes, another one for each `n`.
pub fn narrow(n: u32) -> u32 {
    0x5a4b_3c00 + n
}

pub fn partition() -> PartitionId {
    PartitionId(narrow(255))
}

pub fn map() -> EntryMap {
    BTreeMap::from([("terms".into(), vec![1, 2, 3]), ("zone/east".into(), vec![0xff, 0x00, 0x80])])
}

pub fn entries() -> Vec<Entry> {
    vec![("pool/written".into(), Some(vec![9, 8, 7, 6])), ("pool/removed".into(), None)]
}

pub fn places() -> Vec<FeedPosition> {
    let place =
        |n| FeedPosition { partition: PartitionId(narrow(n)), revision: wide(100 + u64::from(n)) };
    vec![place(1), place(2)]
}

pub fn holding(n: u32) -> SlotHolder {
    SlotHolder {
        generation: narrow(n),
        replica_id: wide(200 + u64::from(n)),
        addr: format!("10.0.0.{n}:7400"),
        zone: format!("zone-{n}"),
    }
}

/// Three voter slots, one of them vacant.
pub fn table() -> VoterSet {
    VoterSet { slots: vec![holding(1), SlotHolder::default(), holding(2)] }
}

pub fn member(n: u32) -> Member {
    Member {
        name: format!("querier-{n}"),
        addr: format!("10.0.1.{n}:7500"),
        zone: format!("member-zone-{n}"),
        threads: narrow(n),
        joined: wide(300 + u64::from(n)),
        incarnation: wide(400 + u64::from(n)),
    }
}

pub fn membership(n: u32) -> Membership {
    let number = 10 * u64::from(n);
    Membership {
        term: term(500 + number),
        turn: wide(501 + number),
        settled: wide(502 + number),
        revision: wide(503 + number),
        members: vec![member(n), member(n + 1)],
    }
}

pub fn membership_id() -> MembershipId {
    MembershipId { term: term(601), turn: wide(602) }
}

pub fn ready_progress() -> MemberProgress {
    MemberProgress {
        applied_revision: wide(701),
        seen_membership: MembershipId { term: term(702), turn: wide(703) },
        known_revision: wide(704),
        attestation_age_ms: wide(705),
        ready: true,
        leaving: false,
    }
}

pub fn leaving_progress() -> MemberProgress {
    MemberProgress {
        applied_revision: wide(711),
        seen_membership: MembershipId { term: term(712), turn: wide(713) },
        known_revision: wide(714),
        attestation_age_ms: wide(715),
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

pub fn replica_state() -> HandedOverReplica {
    HandedOverReplica {
        partition: partition(),
        current_term: term(901),
        written_term: term(902),
        revision: wide(903),
        entries: map(),
    }
}
