//! The memory of accepted orders, against a plain list of what was accepted.

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

/// What must be remembered at least: two days of 7,200 changes each.
const TWO_DAYS: u64 = 14_400;
/// What the memory may take in all: well below 1 MiB.
const MOST_BYTES: usize = 640 * 1024;
/// What one order may add to a change, but for one in some hundreds.
const MOST_CHANGE_BYTES: usize = 1_024;

/// An order that the model knows.
#[derive(Clone, Debug)]
struct Order {
    request: String,
    whole: bool,
    text: Vec<u8>,
    base: RequestBase,
    revision: u64,
}

fn print(order: &Order) -> Fingerprint {
    fingerprint(&order.request, order.whole, &order.text)
}

/// The memory in a map, and the list of all that was ever accepted.
#[derive(Default)]
struct Model {
    map: EntryMap,
    accepted: Vec<Order>,
    edition: u64,
    largest: usize,
    bytes: usize,
}

/// Accepts an order as the leader does. One in `raising` names a new edition.
fn accept(model: &mut Model, random: &mut Random, raising: u64) {
    let revision = model.accepted.len() as u64 + 1;
    let raises = random.below(raising) == 0;
    let next = model.edition + 1 + random.below(3);
    let bases = random.below(4);
    let order = Order {
        request: format!("request-{revision}-{}", random.below(1 << 40)),
        whole: random.below(2) == 0,
        text: random.below(u64::MAX).to_le_bytes().to_vec(),
        base: RequestBase {
            revision: (bases & 1 == 1).then_some(revision - 1),
            edition: (bases & 2 == 2).then_some(model.edition),
            next_edition: raises.then_some(next),
        },
        revision,
    };
    if raises {
        model.edition = next;
    }
    let entries = insert(&model.map, &print(&order), revision, model.edition);
    let size = entry_bytes(&entries);
    model.bytes += size;
    model.largest = model.largest.max(size);
    apply_entries(&mut model.map, &entries);
    set_edition(&mut model.map, model.edition);
    model.accepted.push(order);
}

fn set_edition(map: &mut EntryMap, edition: u64) {
    let client_limits = ClientLimits { edition, ..ClientLimits::default() };
    map.insert("terms".into(), client_limits.encode_to_vec());
}

fn entry_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|(key, value)| key.len() + value.as_ref().map_or(0, Vec::len)).sum()
}

fn memory_bytes(map: &EntryMap) -> usize {
    map.iter().filter(|(k, _)| is_private(k)).map(|(k, v)| k.len() + v.len()).sum()
}

/// Everything that holds of the memory at any time.
fn check(model: &Model) {
    let newest = model.accepted.len() as u64;
    let gone = horizon(&model.map);
    for order in &model.accepted {
        match lookup(&model.map, &order.request, &print(order)) {
            LookupResult::Accepted { revision } => assert_eq!(revision, order.revision),
            LookupResult::Absent => {
                assert!(order.revision + TWO_DAYS <= newest, "{order:?} forgotten at {newest}");
                assert!(may_be_evicted(&gone, &order.base), "{order:?} would be refused, {gone:?}");
            }
            LookupResult::DifferentText => panic!("{order:?} is taken for another"),
        }
    }
    assert!(memory_bytes(&model.map) < MOST_BYTES, "{} bytes", memory_bytes(&model.map));
    // What is new is judged, never left without an answer.
    let fresh = RequestBase {
        revision: None,
        edition: Some(model.edition),
        next_edition: Some(model.edition + 1),
    };
    assert!(!may_be_evicted(&gone, &fresh));
    let fresh = RequestBase { revision: Some(newest), ..RequestBase::default() };
    assert!(!may_be_evicted(&gone, &fresh));
    // And so is what lost a race within the last two days.
    if let Some(order) = model.accepted.iter().rev().nth(TWO_DAYS as usize) {
        let late = RequestBase { revision: Some(order.revision), ..RequestBase::default() };
        assert!(!may_be_evicted(&gone, &late), "{late:?} {gone:?}");
    }
}

/// Orders that were never accepted are not remembered, and a request id that
/// was used is not taken for another text.
fn check_strangers(model: &Model, random: &mut Random) {
    for _ in 0..200 {
        let at = random.below(model.accepted.len() as u64) as usize;
        let known = &model.accepted[at];
        let stranger = format!("{}-", known.request);
        let print = fingerprint(&stranger, known.whole, &known.text);
        assert_eq!(lookup(&model.map, &stranger, &print), LookupResult::Absent);
        for (whole, text) in [(!known.whole, known.text.clone()), (known.whole, vec![1, 2, 3])] {
            let other = fingerprint(&known.request, whole, &text);
            let told = lookup(&model.map, &known.request, &other);
            let same = lookup(&model.map, &known.request, &self::print(known));
            let want = if same == LookupResult::Absent {
                LookupResult::Absent
            } else {
                LookupResult::DifferentText
            };
            assert_eq!(told, want);
        }
    }
}

#[googletest::test]
fn every_order_of_two_days_is_remembered_and_older_ones_are_never_refused() {
    for (seed, raising) in [(1, 1), (2, 2), (3, 50)] {
        let mut random = Random::new(seed);
        let mut model = Model::default();
        for count in 1..=45_000u64 {
            accept(&mut model, &mut random, raising);
            if count.is_power_of_two() || count % 9_000 == 0 || (16_380..16_390).contains(&count) {
                check(&model);
                check_strangers(&model, &mut random);
            }
        }
        expect_that!(horizon(&model.map).revision, ge(45_000 - 20_000));
        expect_that!(model.largest, lt(MOST_CHANGE_BYTES));
        expect_that!(model.bytes / 45_000, lt(256), "bytes of a change in the mean");
    }
}

#[googletest::test]
fn nothing_is_forgotten_before_the_memory_is_full() {
    let mut random = Random::new(4);
    let mut model = Model::default();
    for _ in 0..TWO_DAYS {
        accept(&mut model, &mut random, 1);
    }
    expect_that!(horizon(&model.map), eq(Horizon::default()));
    let anything = RequestBase::default();
    expect_that!(may_be_evicted(&horizon(&model.map), &anything), eq(false));
}

#[googletest::test]
fn the_memory_stays_bounded_when_orders_crowd_in_few_buckets_and_move_on() {
    // Request ids that were sought out: the digests of each group begin alike.
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
                let order = fingerprint(id, true, &round.to_le_bytes());
                let entries = insert(&map, &order, revision, revision);
                apply_entries(&mut map, &entries);
            }
        }
        expect_that!(memory_bytes(&map), lt(MOST_BYTES), "phase {phase}");
    }
}

#[googletest::test]
fn the_memory_is_no_part_of_what_queriers_and_operators_get() {
    let mut random = Random::new(5);
    let mut model = Model::default();
    for _ in 0..2_000 {
        accept(&mut model, &mut random, 1);
    }
    model.map.insert("zone/a".into(), vec![1]);
    let rest = public_entries(&model.map);
    expect_that!(rest.keys().collect::<Vec<_>>(), elements_are![eq(&"terms"), eq(&"zone/a")]);
}

#[googletest::test]
fn what_a_horizon_says_of_each_kind_of_base() {
    let gone = Horizon { revision: 100, edition: 50 };
    let base = |revision, edition, next_edition| RequestBase { revision, edition, next_edition };
    for (base, want) in [
        (base(Some(99), None, None), true),
        (base(Some(100), None, None), false),
        (base(None, Some(50), None), true),
        (base(None, Some(51), None), false),
        // It made an edition that is newer than all that are forgotten.
        (base(None, Some(50), Some(51)), false),
        (base(None, Some(49), Some(50)), true),
        (base(None, None, Some(50)), true),
        (base(None, None, Some(51)), false),
        (base(Some(99), Some(51), None), false),
        // No order goes back to where it began.
        (base(None, Some(40), Some(40)), false),
        (base(None, Some(40), Some(7)), false),
        (base(None, None, None), true),
    ] {
        expect_that!(may_be_evicted(&gone, &base), eq(want), "{base:?}");
        expect_that!(may_be_evicted(&Horizon::default(), &base), eq(false));
    }
}

// ---- states of the older form ----------------------------------------------

fn older_value(whole: bool, text: &[u8], revision: u64) -> Vec<u8> {
    let digest = grebepath_core::digest::digest(&[&[u8::from(whole)], text].concat());
    format!("{digest} {revision}").into_bytes()
}

/// A map as versions before this memory left it, with orders up to `newest`.
fn older_map(count: u64, newest: u64) -> EntryMap {
    let mut map = EntryMap::new();
    for revision in newest + 1 - count..=newest {
        let value = older_value(false, &revision.to_le_bytes(), revision);
        map.insert(format!("request/r-{revision}"), value);
    }
    set_edition(&mut map, newest);
    map
}

fn older_order(revision: u64) -> (String, Fingerprint) {
    let request = format!("r-{revision}");
    let print = fingerprint(&request, false, &revision.to_le_bytes());
    (request, print)
}

#[googletest::test]
fn orders_of_the_older_form_are_known_and_carried_over_by_the_next_order() {
    for (count, newest, lost) in [(3, 3, 0), (511, 511, 0), (512, 512, 0), (512, 9_000, 8_488)] {
        let mut map = older_map(count, newest);
        let known = |map: &EntryMap| {
            for revision in newest + 1 - count..=newest {
                let (request, print) = older_order(revision);
                expect_that!(
                    lookup(map, &request, &print),
                    eq(LookupResult::Accepted { revision })
                );
                let other = fingerprint(&request, true, &revision.to_le_bytes());
                expect_that!(lookup(map, &request, &other), eq(LookupResult::DifferentText));
            }
        };
        known(&map);
        let before = horizon(&map);
        expect_that!(before.revision, eq(lost));
        let order = fingerprint("new", true, b"x");
        let entries = insert(&map, &order, newest + 1, newest + 1);
        apply_entries(&mut map, &entries);
        set_edition(&mut map, newest + 1);
        known(&map);
        expect_that!(
            lookup(&map, "new", &order),
            eq(LookupResult::Accepted { revision: newest + 1 })
        );
        expect_that!(map.keys().any(|key| key.starts_with("request/")), eq(false));
        // What was unclear before stays so, what was clear stays clear.
        expect_that!(horizon(&map), eq(before));
        let stale =
            RequestBase { edition: Some(0), next_edition: Some(1), ..RequestBase::default() };
        expect_that!(may_be_evicted(&before, &stale), eq(lost > 0));
        let fresh = RequestBase { edition: Some(newest), next_edition: Some(newest + 1), ..stale };
        expect_that!(may_be_evicted(&before, &fresh), eq(false));
    }
}

#[googletest::test]
fn orders_of_both_forms_are_known_together() {
    // A build of before led for a while and left entries of its own.
    let mut map = EntryMap::new();
    for revision in 1..=20_000u64 {
        let order = fingerprint(&format!("n-{revision}"), false, b"");
        let entries = insert(&map, &order, revision, revision);
        apply_entries(&mut map, &entries);
    }
    set_edition(&mut map, 20_000);
    let before = horizon(&map);
    map.insert("request/r-20001".into(), older_value(false, &20_001u64.to_le_bytes(), 20_001));
    let (request, print) = older_order(20_001);
    for revision in 20_002..20_005u64 {
        let known = lookup(&map, &request, &print);
        expect_that!(known, eq(LookupResult::Accepted { revision: 20_001 }));
        let order = fingerprint(&format!("n-{revision}"), false, b"");
        let entries = insert(&map, &order, revision, revision);
        apply_entries(&mut map, &entries);
        expect_that!(horizon(&map), eq(before));
        for old in [before.revision + 1, 20_000] {
            let order = fingerprint(&format!("n-{old}"), false, b"");
            let known = lookup(&map, &format!("n-{old}"), &order);
            expect_that!(known, eq(LookupResult::Accepted { revision: old }));
        }
    }
}

#[googletest::test]
fn unreadable_entries_of_the_older_form_are_no_orders() {
    let mut map = EntryMap::new();
    for (request, value) in [
        ("a", &b""[..]),
        ("b", b"0123 5"),
        ("c", b"zz75acfc99f67aa2a1a22a408d863821 1"),
        ("d", b"3875acfc99f67aa2a1a22a408d863821 x"),
        ("e", "ä875acfc99f67aa2a1a22a408d86382 1".as_bytes()),
    ] {
        map.insert(format!("request/{request}"), value.to_vec());
        let known = lookup(&map, request, &fingerprint(request, true, b""));
        expect_that!(known, eq(LookupResult::Absent));
    }
    let entries = insert(&map, &fingerprint("new", true, b""), 7, 1);
    apply_entries(&mut map, &entries);
    expect_that!(map.len(), eq(2), "{:?}", map.keys());
}

/// The files of a controller that an older build wrote: five orders, of which
/// the first set a whole configuration.
fn older_files() -> ReplicaState {
    let slot = include_bytes!("fixtures/orders-older-form.slot");
    let log = include_bytes!("fixtures/orders-older-form.log");
    match read(0, [None, Some(slot)], Some(log)) {
        StoredReplica::Intact { state: copy, records: 5, .. } => copy,
        other => panic!("{other:?}"),
    }
}

#[googletest::test]
fn files_of_an_older_build_are_read_and_their_orders_known() {
    let mut copy = older_files();
    expect_that!((copy.revision, edition(&copy.entries)), eq((5, 5)));
    let text = |n: u64| {
        let zone = r#""zones":[{"name":"z","state":"open"}]"#;
        format!(r#"{{"terms":{{"after":{n},"edition":{}}},{zone}}}"#, n + 1)
    };
    let known = |map: &EntryMap| {
        for n in 1..5 {
            let order = fingerprint(&format!("order-{n}"), false, text(n).as_bytes());
            let told = lookup(map, &format!("order-{n}"), &order);
            expect_that!(told, eq(LookupResult::Accepted { revision: n + 1 }));
        }
    };
    known(&copy.entries);
    let entries = insert(&copy.entries, &fingerprint("new", false, b"x"), 6, 6);
    apply_entries(&mut copy.entries, &entries);
    copy.revision = 6;
    // And back through files of this build.
    let (slot, log) = (writer::slot(0, 2, &copy), writer::log_header(0, 2));
    match read(0, [Some(&slot), None], Some(&log)) {
        StoredReplica::Intact { state: again, .. } => expect_that!(again, eq(&copy)),
        other => panic!("{other:?}"),
    }
    known(&copy.entries);
}
