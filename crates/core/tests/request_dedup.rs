//! Tests of the deduplication table of accepted operator requests, checked against a plain list
//! of all accepted requests.

use googletest::prelude::*;
use grebepath_core::config::stored::{Entry, edition};
use grebepath_core::config::types::ClientLimits;
use grebepath_core::control_plane::request_dedup::{
    Fingerprint, Horizon, LookupResult, RequestBase, fingerprint, horizon, insert, lookup,
    may_be_evicted,
};
use grebepath_core::protocol::replica::EntryMap;
use grebepath_core::random::Random;
use grebepath_core::replication::private_entries::{is_private, public_entries};
use grebepath_core::storage::reader::{StoredReplica, read};
use grebepath_core::storage::record::{ReplicaState, apply_entries};
use grebepath_core::storage::writer;
use prost::Message;

/// Minimum number of requests that the table must keep: two days of 7,200 changes each.
const MIN_REQUESTS_KEPT: u64 = 14_400;
/// Maximum size of the table, well below 1 MiB.
const MAX_TABLE_BYTES: usize = 640 * 1024;
/// Maximum bytes of table entries that one request may add to a change.
const MAX_INSERT_BYTES: usize = 1_024;

/// A request that the model accepted.
#[derive(Clone, Debug)]
struct Request {
    request_id: String,
    is_replacement: bool,
    text: Vec<u8>,
    base: RequestBase,
    revision: u64,
}

fn fingerprint_of(request: &Request) -> Fingerprint {
    fingerprint(&request.request_id, request.is_replacement, &request.text)
}

/// The table in a map of entries, and the list of all requests that were ever accepted.
#[derive(Default)]
struct TableModel {
    map: EntryMap,
    accepted: Vec<Request>,
    edition: u64,
    largest: usize,
    bytes: usize,
}

/// Accepts a random request as the leader does. One in `requests_per_edition` names a new edition.
fn accept(model: &mut TableModel, random: &mut Random, requests_per_edition: u64) {
    let revision = model.accepted.len() as u64 + 1;
    let is_edition_raised = random.below(requests_per_edition) == 0;
    let next = model.edition + 1 + random.below(3);
    let bases = random.below(4);
    let request = Request {
        request_id: format!("request-{revision}-{}", random.below(1 << 40)),
        is_replacement: random.below(2) == 0,
        text: random.below(u64::MAX).to_le_bytes().to_vec(),
        base: RequestBase {
            revision: (bases & 1 == 1).then_some(revision - 1),
            edition: (bases & 2 == 2).then_some(model.edition),
            next_edition: is_edition_raised.then_some(next),
        },
        revision,
    };
    if is_edition_raised {
        model.edition = next;
    }
    let entries = insert(&model.map, &fingerprint_of(&request), revision, model.edition);
    let size = entry_bytes(&entries);
    model.bytes += size;
    model.largest = model.largest.max(size);
    apply_entries(&mut model.map, &entries);
    set_edition(&mut model.map, model.edition);
    model.accepted.push(request);
}

fn set_edition(map: &mut EntryMap, edition: u64) {
    let client_limits = ClientLimits { edition, ..ClientLimits::default() };
    map.insert("terms".into(), client_limits.encode_to_vec());
}

fn entry_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|(key, value)| key.len() + value.as_ref().map_or(0, Vec::len)).sum()
}

fn table_bytes(map: &EntryMap) -> usize {
    map.iter().filter(|(k, _)| is_private(k)).map(|(k, v)| k.len() + v.len()).sum()
}

/// Checks the invariants of the table that hold at any time.
fn check_table(model: &TableModel) {
    let newest_revision = model.accepted.len() as u64;
    let evicted = horizon(&model.map);
    for request in &model.accepted {
        match lookup(&model.map, &request.request_id, &fingerprint_of(request)) {
            LookupResult::Accepted { revision } => assert_eq!(revision, request.revision),
            LookupResult::Absent => {
                assert!(
                    request.revision + MIN_REQUESTS_KEPT <= newest_revision,
                    "{request:?} evicted at {newest_revision}"
                );
                assert!(
                    may_be_evicted(&evicted, &request.base),
                    "{request:?} would be refused, {evicted:?}"
                );
            }
            LookupResult::DifferentText => panic!("{request:?} is mistaken for another request"),
        }
    }
    assert!(table_bytes(&model.map) < MAX_TABLE_BYTES, "{} bytes", table_bytes(&model.map));
    // A request on the newest state always gets a definite result.
    let fresh = RequestBase {
        revision: None,
        edition: Some(model.edition),
        next_edition: Some(model.edition + 1),
    };
    assert!(!may_be_evicted(&evicted, &fresh));
    let fresh = RequestBase { revision: Some(newest_revision), ..RequestBase::default() };
    assert!(!may_be_evicted(&evicted, &fresh));
    // So does a request that lost a race within the last two days.
    if let Some(request) = model.accepted.iter().rev().nth(MIN_REQUESTS_KEPT as usize) {
        let late = RequestBase { revision: Some(request.revision), ..RequestBase::default() };
        assert!(!may_be_evicted(&evicted, &late), "{late:?} {evicted:?}");
    }
}

/// Checks that requests that were never accepted are not found, and that a used request id with
/// another text is reported as such.
fn check_unknown_requests(model: &TableModel, random: &mut Random) {
    for _ in 0..200 {
        let at = random.below(model.accepted.len() as u64) as usize;
        let known = &model.accepted[at];
        let unknown_id = format!("{}-", known.request_id);
        let request_fingerprint = fingerprint(&unknown_id, known.is_replacement, &known.text);
        assert_eq!(lookup(&model.map, &unknown_id, &request_fingerprint), LookupResult::Absent);
        for (is_replacement, text) in
            [(!known.is_replacement, known.text.clone()), (known.is_replacement, vec![1, 2, 3])]
        {
            let other = fingerprint(&known.request_id, is_replacement, &text);
            let result = lookup(&model.map, &known.request_id, &other);
            let result_of_known =
                lookup(&model.map, &known.request_id, &self::fingerprint_of(known));
            let expected = if result_of_known == LookupResult::Absent {
                LookupResult::Absent
            } else {
                LookupResult::DifferentText
            };
            assert_eq!(result, expected);
        }
    }
}

#[googletest::test]
fn requests_of_two_days_are_kept_and_evicted_ones_are_never_refused() {
    for (seed, requests_per_edition) in [(1, 1), (2, 2), (3, 50)] {
        let mut random = Random::new(seed);
        let mut model = TableModel::default();
        for count in 1..=45_000u64 {
            accept(&mut model, &mut random, requests_per_edition);
            if count.is_power_of_two() || count % 9_000 == 0 || (16_380..16_390).contains(&count) {
                check_table(&model);
                check_unknown_requests(&model, &mut random);
            }
        }
        expect_that!(horizon(&model.map).revision, ge(45_000 - 20_000));
        expect_that!(model.largest, lt(MAX_INSERT_BYTES));
        expect_that!(model.bytes / 45_000, lt(256), "mean bytes of a change");
    }
}

#[googletest::test]
fn nothing_is_evicted_before_the_table_is_full() {
    let mut random = Random::new(4);
    let mut model = TableModel::default();
    for _ in 0..MIN_REQUESTS_KEPT {
        accept(&mut model, &mut random, 1);
    }
    expect_that!(horizon(&model.map), eq(Horizon::default()));
    let anything = RequestBase::default();
    expect_that!(may_be_evicted(&horizon(&model.map), &anything), eq(false));
}

#[googletest::test]
fn table_size_is_bounded_when_requests_hit_few_buckets() {
    // Request ids selected so that the digests of each group have the same first bits.
    let group = |id: &String| {
        let first = grebepath_core::digest::digest_bytes(id.as_bytes());
        u16::from_le_bytes([first[0], first[1]]) % 4_096 / 64
    };
    let ids: Vec<String> = (0..50_000).map(|n| format!("id-{n}")).collect();
    let (mut map, mut revision) = (EntryMap::new(), 0u64);
    for phase in 0..4 {
        let alike: Vec<&String> = ids.iter().filter(|id| group(id) == phase).collect();
        for round in 0..18_000 / alike.len() as u64 + 1 {
            for id in &alike {
                revision += 1;
                let request = fingerprint(id, true, &round.to_le_bytes());
                let entries = insert(&map, &request, revision, revision);
                apply_entries(&mut map, &entries);
            }
        }
        expect_that!(table_bytes(&map), lt(MAX_TABLE_BYTES), "phase {phase}");
    }
}

#[googletest::test]
fn table_is_not_among_the_public_entries() {
    let mut random = Random::new(5);
    let mut model = TableModel::default();
    for _ in 0..2_000 {
        accept(&mut model, &mut random, 1);
    }
    model.map.insert("zone/a".into(), vec![1]);
    let public = public_entries(&model.map);
    expect_that!(public.keys().collect::<Vec<_>>(), elements_are![eq(&"terms"), eq(&"zone/a")]);
}

#[googletest::test]
fn horizon_covers_each_kind_of_request_base() {
    let evicted = Horizon { revision: 100, edition: 50 };
    let base = |revision, edition, next_edition| RequestBase { revision, edition, next_edition };
    for (base, expected) in [
        (base(Some(99), None, None), true),
        (base(Some(100), None, None), false),
        (base(None, Some(50), None), true),
        (base(None, Some(51), None), false),
        // It results in an edition that is newer than those of all evicted requests.
        (base(None, Some(50), Some(51)), false),
        (base(None, Some(49), Some(50)), true),
        (base(None, None, Some(50)), true),
        (base(None, None, Some(51)), false),
        (base(Some(99), Some(51), None), false),
        // No accepted request results in the edition that it builds on or in a lower one.
        (base(None, Some(40), Some(40)), false),
        (base(None, Some(40), Some(7)), false),
        (base(None, None, None), true),
    ] {
        expect_that!(may_be_evicted(&evicted, &base), eq(expected), "{base:?}");
        expect_that!(may_be_evicted(&Horizon::default(), &base), eq(false));
    }
}

// ---- states in the older format --------------------------------------------

fn legacy_value(is_replacement: bool, text: &[u8], revision: u64) -> Vec<u8> {
    let digest = grebepath_core::digest::digest(&[&[u8::from(is_replacement)], text].concat());
    format!("{digest} {revision}").into_bytes()
}

/// Entries in the older format, with `count` requests up to `newest_revision`.
fn legacy_map(count: u64, newest_revision: u64) -> EntryMap {
    let mut map = EntryMap::new();
    for revision in newest_revision + 1 - count..=newest_revision {
        let value = legacy_value(false, &revision.to_le_bytes(), revision);
        map.insert(format!("request/r-{revision}"), value);
    }
    set_edition(&mut map, newest_revision);
    map
}

fn legacy_request(revision: u64) -> (String, Fingerprint) {
    let request_id = format!("r-{revision}");
    let request_fingerprint = fingerprint(&request_id, false, &revision.to_le_bytes());
    (request_id, request_fingerprint)
}

#[googletest::test]
fn requests_in_the_older_format_are_found_and_migrated_by_the_next_request() {
    for (count, newest_revision, lost) in
        [(3, 3, 0), (511, 511, 0), (512, 512, 0), (512, 9_000, 8_488)]
    {
        let mut map = legacy_map(count, newest_revision);
        let check_known = |map: &EntryMap| {
            for revision in newest_revision + 1 - count..=newest_revision {
                let (request_id, request_fingerprint) = legacy_request(revision);
                expect_that!(
                    lookup(map, &request_id, &request_fingerprint),
                    eq(LookupResult::Accepted { revision })
                );
                let other = fingerprint(&request_id, true, &revision.to_le_bytes());
                expect_that!(lookup(map, &request_id, &other), eq(LookupResult::DifferentText));
            }
        };
        check_known(&map);
        let before = horizon(&map);
        expect_that!(before.revision, eq(lost));
        let request = fingerprint("new", true, b"x");
        let entries = insert(&map, &request, newest_revision + 1, newest_revision + 1);
        apply_entries(&mut map, &entries);
        set_edition(&mut map, newest_revision + 1);
        check_known(&map);
        expect_that!(
            lookup(&map, "new", &request),
            eq(LookupResult::Accepted { revision: newest_revision + 1 })
        );
        expect_that!(map.keys().any(|key| key.starts_with("request/")), eq(false));
        // The migration does not change for which requests there is a definite result.
        expect_that!(horizon(&map), eq(before));
        let stale =
            RequestBase { edition: Some(0), next_edition: Some(1), ..RequestBase::default() };
        expect_that!(may_be_evicted(&before, &stale), eq(lost > 0));
        let fresh = RequestBase {
            edition: Some(newest_revision),
            next_edition: Some(newest_revision + 1),
            ..stale
        };
        expect_that!(may_be_evicted(&before, &fresh), eq(false));
    }
}

#[googletest::test]
fn requests_in_both_formats_are_found_together() {
    // An older build was the leader for some time and added entries in the older format.
    let mut map = EntryMap::new();
    for revision in 1..=20_000u64 {
        let request = fingerprint(&format!("n-{revision}"), false, b"");
        let entries = insert(&map, &request, revision, revision);
        apply_entries(&mut map, &entries);
    }
    set_edition(&mut map, 20_000);
    let before = horizon(&map);
    map.insert("request/r-20001".into(), legacy_value(false, &20_001u64.to_le_bytes(), 20_001));
    let (request_id, request_fingerprint) = legacy_request(20_001);
    for revision in 20_002..20_005u64 {
        let found = lookup(&map, &request_id, &request_fingerprint);
        expect_that!(found, eq(LookupResult::Accepted { revision: 20_001 }));
        let request = fingerprint(&format!("n-{revision}"), false, b"");
        let entries = insert(&map, &request, revision, revision);
        apply_entries(&mut map, &entries);
        expect_that!(horizon(&map), eq(before));
        for old in [before.revision + 1, 20_000] {
            let request = fingerprint(&format!("n-{old}"), false, b"");
            let found = lookup(&map, &format!("n-{old}"), &request);
            expect_that!(found, eq(LookupResult::Accepted { revision: old }));
        }
    }
}

#[googletest::test]
fn unreadable_entries_of_the_older_format_are_ignored() {
    let mut map = EntryMap::new();
    for (request_id, value) in [
        ("a", &b""[..]),
        ("b", b"0123 5"),
        ("c", b"zz75acfc99f67aa2a1a22a408d863821 1"),
        ("d", b"3875acfc99f67aa2a1a22a408d863821 x"),
        ("e", "ä875acfc99f67aa2a1a22a408d86382 1".as_bytes()),
    ] {
        map.insert(format!("request/{request_id}"), value.to_vec());
        let found = lookup(&map, request_id, &fingerprint(request_id, true, b""));
        expect_that!(found, eq(LookupResult::Absent));
    }
    let entries = insert(&map, &fingerprint("new", true, b""), 7, 1);
    apply_entries(&mut map, &entries);
    expect_that!(map.len(), eq(2), "{:?}", map.keys());
}

/// The state in a controller's files that an older build wrote: five requests, of which the first
/// replaced the whole configuration.
fn legacy_files() -> ReplicaState {
    let slot = include_bytes!("fixtures/orders-older-form.slot");
    let log = include_bytes!("fixtures/orders-older-form.log");
    match read(0, [None, Some(slot)], Some(log)) {
        StoredReplica::Intact { state: copy, records: 5, .. } => copy,
        other => panic!("{other:?}"),
    }
}

#[googletest::test]
fn requests_in_files_of_an_older_build_are_found() {
    let mut copy = legacy_files();
    expect_that!((copy.revision, edition(&copy.entries)), eq((5, 5)));
    let text = |n: u64| {
        let zone = r#""zones":[{"name":"z","state":"open"}]"#;
        format!(r#"{{"terms":{{"after":{n},"edition":{}}},{zone}}}"#, n + 1)
    };
    let check_known = |map: &EntryMap| {
        for n in 1..5 {
            let request = fingerprint(&format!("order-{n}"), false, text(n).as_bytes());
            let result = lookup(map, &format!("order-{n}"), &request);
            expect_that!(result, eq(LookupResult::Accepted { revision: n + 1 }));
        }
    };
    check_known(&copy.entries);
    let entries = insert(&copy.entries, &fingerprint("new", false, b"x"), 6, 6);
    apply_entries(&mut copy.entries, &entries);
    copy.revision = 6;
    // The migrated state is also read back from files that this build writes.
    let (slot, log) = (writer::slot(0, 2, &copy), writer::log_header(0, 2));
    match read(0, [Some(&slot), None], Some(&log)) {
        StoredReplica::Intact { state: again, .. } => expect_that!(again, eq(&copy)),
        other => panic!("{other:?}"),
    }
    check_known(&copy.entries);
}
