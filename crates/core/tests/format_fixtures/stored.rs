//! The values that the fixtures of files hold.

use std::collections::BTreeMap;

use grebepath_core::config::types::{
    BalancingMode, ChangeHeader, ClientLimits, Config, PoolConfig, PriorityClass, SearchConfig,
    ServingMode, ZoneConfig,
};
use grebepath_core::control_plane::request_dedup::{Fingerprint, Horizon, fingerprint, insert};
use grebepath_core::digest::digest;
use grebepath_core::identifiers::Term;
use grebepath_core::protocol::replica::EntryMap;
use grebepath_core::snapshot::leafs::{LeafInfo, key};
use grebepath_core::storage::record::{LogRecord, ReplicaState, apply_entries};
use grebepath_core::storage::voter_file::VoterFile;
use nanoserde::SerBin;
use prost::Message;

use super::values::{large_u64, leaf, voter_set};

/// Sequence number of the older slot; the newer one has the next.
pub const OLDER_SEQUENCE: u64 = 6;
/// Sequence number of the newer slot, which the log follows.
pub const NEWER_SEQUENCE: u64 = 7;
/// The term under which all changes of the fixtures were made.
const TERM: Term = Term(0x0102_0304_0506_0708);
/// The current term in the slots, which the replica has voted in.
const VOTED_TERM: Term = Term(TERM.0 + 16);
/// The term of the vote record in the log.
const LATER_VOTED_TERM: Term = Term(TERM.0 + 48);

/// The files of a partition, as values.
pub struct StoredPartition {
    /// The number in the headers of the files.
    pub number: u32,
    /// The state in the older slot.
    pub older: ReplicaState,
    /// The state in the newer slot.
    pub newer: ReplicaState,
    /// The records in the log.
    pub records: Vec<LogRecord>,
}

impl StoredPartition {
    /// Returns the state of the newer slot with all records of the log applied.
    pub fn newest(&self) -> ReplicaState {
        let mut state = self.newer.clone();
        for record in &self.records {
            assert!(state.apply(record), "{record:?} does not follow");
        }
        state
    }
}

fn state(revision: u64, entry_map: &EntryMap) -> ReplicaState {
    ReplicaState {
        current_term: VOTED_TERM,
        written_term: TERM,
        revision,
        entries: entry_map.clone(),
    }
}

// ---- configuration ---------------------------------------------------------

/// Returns a configuration in which no stored field has its default value.
pub fn configuration() -> Config {
    let search = SearchConfig {
        name: "books".into(),
        class: PriorityClass::Urgent as i32,
        timeout_ms: 901,
        quorum: 902,
        attempts: 3,
        plan: "all shards of books".into(),
        host: "books.example".into(),
        path: "/find/".into(),
        serving_mode: ServingMode::Join as i32,
        at_most_once: true,
        latency_target_ms: 903,
        rank: 904,
        record_bytes: 905,
        max_records: 906,
        weights: BTreeMap::from([("one".into(), 907), ("two".into(), 908)]),
        original_json: r#"{"name":"books"}"#.into(),
        list_index: 909,
        required_pools: vec!["main".into(), "spare".into()],
    };
    let pool = PoolConfig {
        name: "main".into(),
        service: "books-leafs".into(),
        selector: "tier = hot".into(),
        labels: BTreeMap::from([("region".into(), "north".into()), ("shard".into(), "1".into())]),
        leaf_capacity: 911,
        slow_start_ms: 912,
        balancing: BalancingMode::LoadAware as i32,
        connections: 913,
        cold_leaf_rate_milli: 914,
        original_json: r#"{"name":"main"}"#.into(),
        list_index: 915,
    };
    let zone = ZoneConfig { name: "east".into(), drained: true };
    Config {
        searches: BTreeMap::from([(search.name.clone(), search)]),
        pools: BTreeMap::from([(pool.name.clone(), pool)]),
        zones: BTreeMap::from([(zone.name.clone(), zone)]),
        client_limits: client_limits(41),
        change_header: ChangeHeader::default(),
        keep_zones: false,
    }
}

/// Returns client limits in which no field has its default value.
pub fn client_limits(edition: u64) -> ClientLimits {
    ClientLimits {
        edition,
        head_max: 921,
        body_max: 922,
        head_wait_ms: 923,
        idle_ms: 924,
        original_json: r#"{"terms":{}}"#.into(),
    }
}

fn set_edition(entry_map: &mut EntryMap, edition: u64) {
    entry_map.insert("terms".into(), client_limits(edition).encode_to_vec());
}

/// The name and the incarnation of the member that was forgotten.
pub const FORGOTTEN_NAME: &str = "querier-2";
pub const FORGOTTEN_INCARNATION: u64 = 0xa1b2_c3d4_e5f6_0718;
const FORGOTTEN_REVISION: u64 = 19_999;

/// Returns the key and the value of the entry of a forgotten member.
pub fn forgotten_entry(name: &str, incarnation: u64, revision: u64) -> (String, Vec<u8>) {
    (format!("forgotten/{name}"), format!("{incarnation} {revision}").into_bytes())
}

// ---- accepted requests ----------------------------------------------------------------

/// A configuration change that was accepted.
pub struct AcceptedChange {
    pub request: String,
    /// Whether it replaced the whole configuration.
    pub is_replacement: bool,
    pub text: Vec<u8>,
    pub revision: u64,
    /// The edition that it created.
    edition: u64,
}

impl AcceptedChange {
    pub fn fingerprint(&self) -> Fingerprint {
        fingerprint(&self.request, self.is_replacement, &self.text)
    }
}

fn change(request: &str, is_replacement: bool, revision: u64, edition: u64) -> AcceptedChange {
    let text = format!("text of {request}").into_bytes();
    AcceptedChange { request: request.into(), is_replacement, text, revision, edition }
}

/// Returns the accepted changes in the newer format. `change-14` and `change-220` are in the same
/// bucket, and the third is so late that the position of the first becomes the horizon.
pub fn accepted_changes() -> [AcceptedChange; 4] {
    [
        change("order-118", true, 20_000, 41),
        change("order-14", false, 30_000, 42),
        change("order-7", true, 36_400, 43),
        change("order-220", false, 36_401, 44),
    ]
}

/// The horizon after these changes.
pub const HORIZON: Horizon = Horizon { revision: 20_000, edition: 41 };

fn accept(entry_map: &mut EntryMap, change: &AcceptedChange) {
    let changes = insert(entry_map, &change.fingerprint(), change.revision, change.edition);
    apply_entries(entry_map, &changes);
    set_edition(entry_map, change.edition);
}

/// Returns the configuration's partition: the configuration, a forgotten member, and the memory
/// of accepted changes in its newer format.
pub fn configuration_partition() -> StoredPartition {
    let [first, second, third, fourth] = accepted_changes();
    let mut entry_map = configuration().to_entries();
    entry_map.extend([forgotten_entry(FORGOTTEN_NAME, FORGOTTEN_INCARNATION, FORGOTTEN_REVISION)]);
    accept(&mut entry_map, &first);
    accept(&mut entry_map, &second);
    let older = state(second.revision, &entry_map);
    accept(&mut entry_map, &third);
    let newer = state(third.revision, &entry_map);
    let mut changed = insert(&entry_map, &fourth.fingerprint(), fourth.revision, fourth.edition);
    changed.push(("terms".into(), Some(client_limits(fourth.edition).encode_to_vec())));
    let removed = vec![("zone/east".into(), None), ("zone/west".into(), Some(zone_west()))];
    let records = vec![
        LogRecord::Change { term: TERM, revision: fourth.revision, entries: changed },
        LogRecord::Vote { term: LATER_VOTED_TERM },
        LogRecord::Change { term: TERM, revision: fourth.revision + 1, entries: removed },
    ];
    StoredPartition { number: 0, older, newer, records }
}

fn zone_west() -> Vec<u8> {
    ZoneConfig { name: "west".into(), drained: true }.encode_to_vec()
}

// ---- accepted requests, older format ----------------------------------------------

/// Revision of the first change in the older format.
const FIRST_LEGACY_REVISION: u64 = 9_001;
/// Number of changes that the older format keeps.
const LEGACY_CHANGES_KEPT: u64 = 512;
/// The edition in the slots; the log creates the next one.
const LEGACY_EDITION: u64 = 77;

/// Returns the changes that the older format holds after the log.
pub fn legacy_changes() -> Vec<AcceptedChange> {
    let first = FIRST_LEGACY_REVISION + 1;
    (first..first + LEGACY_CHANGES_KEPT).map(legacy_change).collect()
}

/// Returns the change that a record of the log removes.
pub fn dropped_legacy_change() -> AcceptedChange {
    legacy_change(FIRST_LEGACY_REVISION)
}

/// The horizon of these changes: below the oldest one, at the current edition.
pub const LEGACY_HORIZON: Horizon =
    Horizon { revision: FIRST_LEGACY_REVISION, edition: LEGACY_EDITION + 1 };

fn legacy_change(revision: u64) -> AcceptedChange {
    change(&format!("r-{revision}"), revision.is_multiple_of(2), revision, LEGACY_EDITION)
}

fn legacy_entry(change: &AcceptedChange) -> (String, Vec<u8>) {
    let text = digest(&[&[u8::from(change.is_replacement)], &change.text[..]].concat());
    (format!("request/{}", change.request), format!("{text} {}", change.revision).into_bytes())
}

/// Returns the configuration's partition with the memory of accepted changes in its older format.
pub fn legacy_configuration_partition() -> StoredPartition {
    let mut entry_map = configuration().to_entries();
    set_edition(&mut entry_map, LEGACY_EDITION);
    let older = state(FIRST_LEGACY_REVISION - 1, &entry_map);
    let last = FIRST_LEGACY_REVISION + LEGACY_CHANGES_KEPT - 1;
    let accepted_changes = (FIRST_LEGACY_REVISION..=last).map(legacy_change);
    entry_map.extend(accepted_changes.map(|change| legacy_entry(&change)));
    let newer = state(last, &entry_map);
    let (key, value) = legacy_entry(&legacy_change(last + 1));
    let changed = vec![
        (legacy_entry(&dropped_legacy_change()).0, None),
        (key, Some(value)),
        ("terms".into(), Some(client_limits(LEGACY_EDITION + 1).encode_to_vec())),
    ];
    let records = vec![
        LogRecord::Vote { term: LATER_VOTED_TERM },
        LogRecord::Change { term: TERM, revision: last + 1, entries: changed },
    ];
    StoredPartition { number: 0, older, newer, records }
}

// ---- leafs -----------------------------------------------------------------

/// Returns the leafs after the log.
pub fn leafs() -> [LeafInfo; 2] {
    [leaf(2, false), leaf(3, true)]
}

fn leaf_entry(leaf: &LeafInfo) -> (String, Vec<u8>) {
    (key(&leaf.leaf), leaf.serialize_bin())
}

/// Returns a partition of services.
pub fn services_partition() -> StoredPartition {
    let [second, third] = leafs();
    let older = state(large_u64(1), &BTreeMap::from([leaf_entry(&leaf(1, false))]));
    let newer_map = [leaf_entry(&leaf(1, true)), leaf_entry(&second)];
    let newer = state(large_u64(2), &BTreeMap::from(newer_map));
    let (third_key, third_value) = leaf_entry(&third);
    let changed = vec![(key("leaf-1"), None), (third_key, Some(third_value))];
    let records = vec![
        LogRecord::Change { term: TERM, revision: large_u64(3), entries: changed },
        LogRecord::Vote { term: LATER_VOTED_TERM },
    ];
    StoredPartition { number: 3, older, newer, records }
}

// ---- voter file ------------------------------------------------------------

/// Returns the contents of the voter file.
pub fn voter_file() -> VoterFile {
    VoterFile { replica_id: large_u64(201), is_original_disk: true, voter_set: voter_set() }
}
