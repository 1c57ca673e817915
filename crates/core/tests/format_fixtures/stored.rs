//! What the fixtures of files hold.

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

use super::values::{leaf, table, wide};

/// Sequence number of the older slot; the newer one has the next.
pub const OLDER_SEQUENCE: u64 = 6;
/// Sequence number of the newer slot, which the log follows.
pub const NEWER_SEQUENCE: u64 = 7;
/// The term under which all changes of the fixtures were made.
const TERM: Term = Term(0x0102_0304_0506_0708);
/// What is promised in the slots.
const PROMISED: Term = Term(TERM.0 + 16);
/// What the record of a promise in the log promises.
const PROMISED_LATER: Term = Term(TERM.0 + 48);

/// The files of a partition, as values.
pub struct StoredPartition {
    /// The number in the heads of the files.
    pub number: u32,
    /// What the older slot holds.
    pub older: ReplicaState,
    /// What the newer slot holds.
    pub newer: ReplicaState,
    /// What the log holds.
    pub records: Vec<LogRecord>,
}

impl StoredPartition {
    /// The newer slot with all records of the log.
    pub fn newest(&self) -> ReplicaState {
        let mut copy = self.newer.clone();
        for record in &self.records {
            assert!(copy.apply(record), "{record:?} does not follow");
        }
        copy
    }
}

fn copy(revision: u64, map: &EntryMap) -> ReplicaState {
    ReplicaState { current_term: PROMISED, written_term: TERM, revision, entries: map.clone() }
}

// ---- configuration ---------------------------------------------------------

/// A configuration of which every stored field says something.
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

/// Terms of which every field says something.
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

fn set_edition(map: &mut EntryMap, edition: u64) {
    map.insert("terms".into(), client_limits(edition).encode_to_vec());
}

/// The member that was forgotten, and its process.
pub const FORGOTTEN_NAME: &str = "querier-2";
pub const FORGOTTEN_INCARNATION: u64 = 0xa1b2_c3d4_e5f6_0718;
const FORGOTTEN_REVISION: u64 = 19_999;

/// Key and value of the entry of a member that was forgotten.
pub fn forgotten_entry(name: &str, incarnation: u64, revision: u64) -> (String, Vec<u8>) {
    (format!("forgotten/{name}"), format!("{incarnation} {revision}").into_bytes())
}

// ---- orders ----------------------------------------------------------------

/// An order that was accepted.
pub struct AcceptedOrder {
    pub request: String,
    /// It set a whole configuration.
    pub whole: bool,
    pub text: Vec<u8>,
    pub revision: u64,
    /// The edition that stood after it.
    edition: u64,
}

impl AcceptedOrder {
    pub fn fingerprint(&self) -> Fingerprint {
        fingerprint(&self.request, self.whole, &self.text)
    }
}

fn order(request: &str, whole: bool, revision: u64, edition: u64) -> AcceptedOrder {
    let text = format!("text of {request}").into_bytes();
    AcceptedOrder { request: request.into(), whole, text, revision, edition }
}

/// The orders of the newer form. `order-14` and `order-220` lie in one bucket, and
/// the third is so late that the first one's mark becomes the horizon.
pub fn orders() -> [AcceptedOrder; 4] {
    [
        order("order-118", true, 20_000, 41),
        order("order-14", false, 30_000, 42),
        order("order-7", true, 36_400, 43),
        order("order-220", false, 36_401, 44),
    ]
}

/// The horizon of these orders.
pub const HORIZON: Horizon = Horizon { revision: 20_000, edition: 41 };

fn accept(map: &mut EntryMap, order: &AcceptedOrder) {
    let changes = insert(map, &order.fingerprint(), order.revision, order.edition);
    apply_entries(map, &changes);
    set_edition(map, order.edition);
}

/// The configuration's partition: configuration, a forgotten member, and the
/// memory of orders in its newer form.
pub fn configuration_partition() -> StoredPartition {
    let [first, second, third, fourth] = orders();
    let mut map = configuration().to_entries();
    map.extend([forgotten_entry(FORGOTTEN_NAME, FORGOTTEN_INCARNATION, FORGOTTEN_REVISION)]);
    accept(&mut map, &first);
    accept(&mut map, &second);
    let older = copy(second.revision, &map);
    accept(&mut map, &third);
    let newer = copy(third.revision, &map);
    let mut changed = insert(&map, &fourth.fingerprint(), fourth.revision, fourth.edition);
    changed.push(("terms".into(), Some(client_limits(fourth.edition).encode_to_vec())));
    let removed = vec![("zone/east".into(), None), ("zone/west".into(), Some(zone_west()))];
    let records = vec![
        LogRecord::Change { term: TERM, revision: fourth.revision, entries: changed },
        LogRecord::Vote { term: PROMISED_LATER },
        LogRecord::Change { term: TERM, revision: fourth.revision + 1, entries: removed },
    ];
    StoredPartition { number: 0, older, newer, records }
}

fn zone_west() -> Vec<u8> {
    ZoneConfig { name: "west".into(), drained: true }.encode_to_vec()
}

// ---- orders of the older form ----------------------------------------------

/// Revision of the first order of the older form.
const FIRST_LEGACY_REVISION: u64 = 9_001;
/// Orders that the older form remembers (count).
const LEGACY_ORDERS_KEPT: u64 = 512;
/// The edition that stands in the slots, and the next one in the log.
const LEGACY_EDITION: u64 = 77;

/// The orders that the older form remembers after the log.
pub fn legacy_orders() -> Vec<AcceptedOrder> {
    let first = FIRST_LEGACY_REVISION + 1;
    (first..first + LEGACY_ORDERS_KEPT).map(legacy_order).collect()
}

/// The order that the log makes forgotten.
pub fn dropped_legacy_order() -> AcceptedOrder {
    legacy_order(FIRST_LEGACY_REVISION)
}

/// The horizon of these orders: below the oldest, at the edition that stands.
pub const LEGACY_HORIZON: Horizon =
    Horizon { revision: FIRST_LEGACY_REVISION, edition: LEGACY_EDITION + 1 };

fn legacy_order(revision: u64) -> AcceptedOrder {
    order(&format!("r-{revision}"), revision.is_multiple_of(2), revision, LEGACY_EDITION)
}

fn legacy_entry(order: &AcceptedOrder) -> (String, Vec<u8>) {
    let text = digest(&[&[u8::from(order.whole)], &order.text[..]].concat());
    (format!("request/{}", order.request), format!("{text} {}", order.revision).into_bytes())
}

/// The configuration's partition with the memory of orders in its older form.
pub fn legacy_configuration_partition() -> StoredPartition {
    let mut map = configuration().to_entries();
    set_edition(&mut map, LEGACY_EDITION);
    let older = copy(FIRST_LEGACY_REVISION - 1, &map);
    let last = FIRST_LEGACY_REVISION + LEGACY_ORDERS_KEPT - 1;
    let orders = (FIRST_LEGACY_REVISION..=last).map(legacy_order);
    map.extend(orders.map(|order| legacy_entry(&order)));
    let newer = copy(last, &map);
    let (key, value) = legacy_entry(&legacy_order(last + 1));
    let changed = vec![
        (legacy_entry(&dropped_legacy_order()).0, None),
        (key, Some(value)),
        ("terms".into(), Some(client_limits(LEGACY_EDITION + 1).encode_to_vec())),
    ];
    let records = vec![
        LogRecord::Vote { term: PROMISED_LATER },
        LogRecord::Change { term: TERM, revision: last + 1, entries: changed },
    ];
    StoredPartition { number: 0, older, newer, records }
}

// ---- leafs -----------------------------------------------------------------

/// The leafs that stand after the log.
pub fn leafs() -> [LeafInfo; 2] {
    [leaf(2, false), leaf(3, true)]
}

fn leaf_entry(leaf: &LeafInfo) -> (String, Vec<u8>) {
    (key(&leaf.leaf), leaf.serialize_bin())
}

/// A partition of services.
pub fn services_partition() -> StoredPartition {
    let [second, third] = leafs();
    let older = copy(wide(1), &BTreeMap::from([leaf_entry(&leaf(1, false))]));
    let newer_map = [leaf_entry(&leaf(1, true)), leaf_entry(&second)];
    let newer = copy(wide(2), &BTreeMap::from(newer_map));
    let (third_key, third_value) = leaf_entry(&third);
    let changed = vec![(key("leaf-1"), None), (third_key, Some(third_value))];
    let records = vec![
        LogRecord::Change { term: TERM, revision: wide(3), entries: changed },
        LogRecord::Vote { term: PROMISED_LATER },
    ];
    StoredPartition { number: 3, older, newer, records }
}

// ---- voter file ------------------------------------------------------------

/// What the voter file holds.
pub fn voter_file() -> VoterFile {
    VoterFile { replica_id: wide(201), is_original_disk: true, voter_set: table() }
}
