//! The values that messages and files consist of. No two fields of a value are equal, and none
//! has its default value, except for flags, which differ within a pair of values.

use std::collections::BTreeMap;

use grebepath_core::config::stored::Entry;
use grebepath_core::identifiers::{PartitionId, Term};
use grebepath_core::protocol::membership::{Member, MemberProgress, Membership, MembershipId};
use grebepath_core::protocol::message::FeedPosition;
use grebepath_core::protocol::replica::{EntryMap, HandedOverReplica};
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::voter_set::{SlotHolder, VoterSet};

/// Returns a number that uses all eight bytes, a different one for each `n`.
pub fn large_u64(n: u64) -> u64 {
    0xa1b2_c3d4_e5f6_0000 + n
}

/// Returns a term that uses all eight bytes, a different one for each `n`.
pub fn term(n: u64) -> Term {
    Term(large_u64(n))
}

/// Returns a number that uses all four bytes, a different one for each `n`.
pub fn large_u32(n: u32) -> u32 {
    0x5a4b_3c00 + n
}

pub fn partition() -> PartitionId {
    PartitionId(large_u32(255))
}

pub fn entry_map() -> EntryMap {
    BTreeMap::from([("terms".into(), vec![1, 2, 3]), ("zone/east".into(), vec![0xff, 0x00, 0x80])])
}

pub fn entries() -> Vec<Entry> {
    vec![("pool/written".into(), Some(vec![9, 8, 7, 6])), ("pool/removed".into(), None)]
}

pub fn feed_positions() -> Vec<FeedPosition> {
    let place = |n| FeedPosition {
        partition: PartitionId(large_u32(n)),
        revision: large_u64(100 + u64::from(n)),
    };
    vec![place(1), place(2)]
}

pub fn slot_holder(n: u32) -> SlotHolder {
    SlotHolder {
        generation: large_u32(n),
        replica_id: large_u64(200 + u64::from(n)),
        addr: format!("10.0.0.{n}:7400"),
        zone: format!("zone-{n}"),
    }
}

/// Returns three voter slots, one of which is vacant.
pub fn voter_set() -> VoterSet {
    VoterSet { slots: vec![slot_holder(1), SlotHolder::default(), slot_holder(2)] }
}

pub fn member(n: u32) -> Member {
    Member {
        name: format!("querier-{n}"),
        addr: format!("10.0.1.{n}:7500"),
        zone: format!("member-zone-{n}"),
        threads: large_u32(n),
        joined: large_u64(300 + u64::from(n)),
        incarnation: large_u64(400 + u64::from(n)),
    }
}

pub fn membership(n: u32) -> Membership {
    let number = 10 * u64::from(n);
    Membership {
        term: term(500 + number),
        turn: large_u64(501 + number),
        settled: large_u64(502 + number),
        revision: large_u64(503 + number),
        members: vec![member(n), member(n + 1)],
    }
}

pub fn membership_id() -> MembershipId {
    MembershipId { term: term(601), turn: large_u64(602) }
}

pub fn ready_progress() -> MemberProgress {
    MemberProgress {
        applied_revision: large_u64(701),
        seen_membership: MembershipId { term: term(702), turn: large_u64(703) },
        known_revision: large_u64(704),
        attestation_age_ms: large_u64(705),
        ready: true,
        leaving: false,
    }
}

pub fn leaving_progress() -> MemberProgress {
    MemberProgress {
        applied_revision: large_u64(711),
        seen_membership: MembershipId { term: term(712), turn: large_u64(713) },
        known_revision: large_u64(714),
        attestation_age_ms: large_u64(715),
        ready: false,
        leaving: true,
    }
}

/// Returns a leaf without default values except for flags, a different one for each `n`.
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
        age_ms: large_u64(800 + u64::from(n)),
        slots: large_u32(n),
        cold: !leaving,
    }
}

pub fn replica_state() -> HandedOverReplica {
    HandedOverReplica {
        partition: partition(),
        current_term: term(901),
        written_term: term(902),
        revision: large_u64(903),
        entries: entry_map(),
    }
}
