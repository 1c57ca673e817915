//! The formats of files and messages stay as they are: what an earlier build wrote
//! is read by this one as the same value, and this one writes the same bytes.
//!
//! The files under `fixtures/formats/` were written once, with the formats of
//! commit 9bec00c, from the values in `format_fixtures/`. They are never written
//! again: where a test here fails, the code has changed a format that running
//! processes and their disks still use. Messages that were added since stand in
//! `messages-added.bodies`, each appended when it was added. A format that changes on purpose gets a
//! version number of its own and fixtures beside these.

mod cluster;
#[path = "format_fixtures/messages.rs"]
mod messages;
#[path = "format_fixtures/stored.rs"]
mod stored;
#[path = "format_fixtures/values.rs"]
mod values;

use std::collections::BTreeSet;
use std::fmt::Debug;

use cluster::{
    Cluster, call_and_wait, cluster as started_cluster, deliver_event, kill, leader, run_for,
    run_until,
};
use googletest::prelude::*;
use grebepath_core::config::types::{Config, ZoneConfig};
use grebepath_core::control_plane::controller::Event;
use grebepath_core::control_plane::request_dedup::{LookupResult, fingerprint, horizon, lookup};
use grebepath_core::identifiers::CONFIG;
use grebepath_core::protocol::frame;
use grebepath_core::protocol::membership::{Member, MemberProgress};
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::protocol::replica::EntryMap;
use grebepath_core::snapshot::leafs::leafs_in;
use grebepath_core::storage::reader::{StoredReplica, read};
use grebepath_core::storage::record::ReplicaState;
use grebepath_core::storage::voter_file;
use grebepath_core::storage::writer::{LOG_HEADER_BYTES, log_header, record, slot};
use grebepath_core::time::{SECOND, ms};
use nanoserde::DeBin;
use stored::{AcceptedOrder, NEWER_SEQUENCE, OLDER_SEQUENCE, StoredPartition};

const MESSAGES: &[u8] = include_bytes!("fixtures/formats/messages.bodies");
const SMALL_MESSAGE: &[u8] = include_bytes!("fixtures/formats/small-message.piece");
/// The heads of the three pieces of the large message.
const LARGE_MESSAGE_HEADS: &[u8] = include_bytes!("fixtures/formats/large-message.heads");
/// What stands before the filler in the body of the large message.
const LARGE_MESSAGE_START: &[u8] = include_bytes!("fixtures/formats/large-message.start");
const VOTER_FILE: &[u8] = include_bytes!("fixtures/formats/voter-file");

/// Messages that were added after those of `MESSAGES`.
const ADDED_MESSAGES: &[u8] = include_bytes!("fixtures/formats/messages-added.bodies");

/// Messages that were added with rollouts.
const ROLLOUT_MESSAGES: &[u8] = include_bytes!("fixtures/formats/messages-rollouts.bodies");

/// Variants that messages have in the fixtures (count).
const MESSAGE_VARIANTS: usize = 43;
/// Bytes of a head, and most bytes of a piece's body.
const HEAD_BYTES: usize = 12;
const FRAME_BYTES_MAX: usize = 64 * 1024;

/// The files of a partition.
#[derive(Clone, PartialEq)]
struct PartitionFiles {
    older_slot: Vec<u8>,
    newer_slot: Vec<u8>,
    log: Vec<u8>,
}

macro_rules! partition_files {
    ($name:literal) => {
        PartitionFiles {
            older_slot: include_bytes!(concat!("fixtures/formats/", $name, ".older-slot")).to_vec(),
            newer_slot: include_bytes!(concat!("fixtures/formats/", $name, ".newer-slot")).to_vec(),
            log: include_bytes!(concat!("fixtures/formats/", $name, ".log")).to_vec(),
        }
    };
}

/// Each partition's fixtures with what they hold.
fn partitions() -> [(PartitionFiles, StoredPartition); 3] {
    [
        (partition_files!("configuration"), stored::configuration_partition()),
        (partition_files!("configuration-older-orders"), stored::legacy_configuration_partition()),
        (partition_files!("services"), stored::services_partition()),
    ]
}

type Outcome = std::result::Result<(), String>;

fn same<T: PartialEq + Debug>(what: &str, found: &T, expected: &T) -> Outcome {
    if found == expected {
        return Ok(());
    }
    Err(format!("{what}: found {found:?}, expected {expected:?}"))
}

// ---- files of partitions ----------------------------------------------------

/// Reads the files, and checks that they hold this.
fn read_partition(files: &PartitionFiles, expected: &StoredPartition) -> Outcome {
    let number = expected.number;
    let good = |copy: ReplicaState, seq, records, log_len: usize| {
        let (records, log_len) = (records as u32, log_len as u64);
        StoredReplica::Intact {
            state: copy,
            sequence: seq,
            records,
            log_bytes: log_len,
            is_torn: false,
        }
    };
    // Each slot by itself: with both, the older one decides nothing.
    for (slot, seq, copy) in [
        (&files.older_slot, OLDER_SEQUENCE, &expected.older),
        (&files.newer_slot, NEWER_SEQUENCE, &expected.newer),
    ] {
        let found = read(number, [Some(slot), None], Some(&log_header(number, seq)));
        same("slot", &found, &good(copy.clone(), seq, 0, LOG_HEADER_BYTES))?;
    }
    let found = read(number, [Some(&files.older_slot), Some(&files.newer_slot)], Some(&files.log));
    let count = expected.records.len();
    same("all", &found, &good(expected.newest(), NEWER_SEQUENCE, count, files.log.len()))
}

fn write_partition(stored: &StoredPartition) -> PartitionFiles {
    let number = stored.number;
    let mut log = log_header(number, NEWER_SEQUENCE);
    for (place, entry) in stored.records.iter().enumerate() {
        log.extend(record(NEWER_SEQUENCE, place as u32, entry));
    }
    PartitionFiles {
        older_slot: slot(number, OLDER_SEQUENCE, &stored.older),
        newer_slot: slot(number, NEWER_SEQUENCE, &stored.newer),
        log,
    }
}

#[googletest::test]
fn partition_files_are_read_and_written_unchanged() {
    for (files, expected) in partitions() {
        expect_that!(read_partition(&files, &expected), ok(eq(&())));
        let written = write_partition(&expected);
        expect_that!(written.older_slot, eq(&files.older_slot));
        expect_that!(written.newer_slot, eq(&files.newer_slot));
        expect_that!(written.log, eq(&files.log));
    }
}

/// The newest state that the files hold.
fn newest(files: &PartitionFiles, number: u32) -> ReplicaState {
    let slots = [Some(&files.newer_slot[..]), Some(&files.older_slot[..])];
    match read(number, slots, Some(&files.log)) {
        StoredReplica::Intact { state: copy, .. } => copy,
        other => panic!("{other:?}"),
    }
}

#[googletest::test]
fn partition_entries_are_parsed_unchanged() {
    let [(configuration, _), (older_orders, _), (services, _)] = partitions();
    let mut expected = stored::configuration();
    expected.client_limits = stored::client_limits(44);
    expected.zones.clear();
    let west = ZoneConfig { name: "west".into(), drained: true };
    expected.zones.insert("west".into(), west);
    expect_that!(Config::from_entries(&newest(&configuration, 0).entries), ok(eq(&expected)));
    let mut expected = stored::configuration();
    expected.client_limits = stored::client_limits(78);
    expect_that!(Config::from_entries(&newest(&older_orders, 0).entries), ok(eq(&expected)));
    let leafs = leafs_in(&newest(&services, 3).entries);
    expect_that!(leafs.into_values().collect::<Vec<_>>(), eq(&stored::leafs()));
}

// ---- memory of orders -------------------------------------------------------

fn expect_known(map: &EntryMap, order: &AcceptedOrder) {
    let known = LookupResult::Accepted { revision: order.revision };
    expect_that!(lookup(map, &order.request, &order.fingerprint()), eq(known));
    for (whole, text) in [(!order.whole, &order.text[..]), (order.whole, b"another text")] {
        let other = fingerprint(&order.request, whole, text);
        expect_that!(lookup(map, &order.request, &other), eq(LookupResult::DifferentText));
    }
}

#[googletest::test]
fn accepted_requests_are_read_from_files_of_both_formats() {
    let [(newer_form, _), (older_form, _), _] = partitions();
    let map = newest(&newer_form, 0).entries;
    for order in stored::orders() {
        expect_known(&map, &order);
    }
    expect_that!(horizon(&map), eq(stored::HORIZON));

    let map = newest(&older_form, 0).entries;
    for order in stored::legacy_orders() {
        expect_known(&map, &order);
    }
    expect_that!(horizon(&map), eq(stored::LEGACY_HORIZON));
    let dropped = stored::dropped_legacy_order();
    let known = lookup(&map, &dropped.request, &dropped.fingerprint());
    expect_that!(known, eq(LookupResult::Absent));
}

// ---- forgotten members ------------------------------------------------------

fn renew(cluster: &mut Cluster, name: &str, incarnation: u64, count: u64) {
    let member = Member {
        name: name.into(),
        addr: name.into(),
        zone: "a".into(),
        threads: 1,
        joined: 0,
        incarnation,
    };
    let message =
        Message::RenewLease { member, number: count, progress: MemberProgress::default() };
    deliver_event(
        cluster,
        0,
        Event::FromConnection { connection: 1_000 + incarnation % 10, message },
    );
    run_for(cluster, ms(100));
}

fn stored_map(cluster: &Cluster) -> &EntryMap {
    &cluster.nodes[0].core.as_ref().expect("the controller runs").partitions[0].state.entries
}

#[googletest::test]
fn a_forgotten_member_is_read_from_files() {
    let [(files, _), ..] = partitions();
    let mut cluster = started_cluster(1);
    kill(&mut cluster, 0, false);
    cluster.nodes[0].disk.synced.insert(CONFIG, newest(&files, 0));
    cluster::start(&mut cluster, 0, false);
    assert!(run_until(&mut cluster, 5 * SECOND, |cluster| leader(cluster).is_some()));
    let name = stored::FORGOTTEN_NAME;
    let (key, _) = stored::forgotten_entry(name, 0, 0);
    // The entry names one process, and goes when that one renews after all.
    renew(&mut cluster, name, stored::FORGOTTEN_INCARNATION + 1, 1);
    expect_that!(stored_map(&cluster).contains_key(&key), eq(true));
    renew(&mut cluster, name, stored::FORGOTTEN_INCARNATION, 1);
    expect_that!(stored_map(&cluster).contains_key(&key), eq(false));
}

#[googletest::test]
fn a_forgotten_member_is_written_to_files_unchanged() {
    let mut cluster = started_cluster(1);
    let silent = [("querier-3", 13), (stored::FORGOTTEN_NAME, stored::FORGOTTEN_INCARNATION)];
    for (name, incarnation) in silent {
        renew(&mut cluster, name, incarnation, 1);
    }
    for count in 1..40 {
        renew(&mut cluster, "querier-1", 11, count);
    }
    let operation = Operation::ForgetMember(stored::FORGOTTEN_NAME.into());
    let done = call_and_wait(&mut cluster, 0, "", None, operation);
    let Some(OperationResult::Accepted { revision, .. }) = done else { panic!("{done:?}") };
    let (name, incarnation) = silent[1];
    let (key, value) = stored::forgotten_entry(name, incarnation, revision);
    expect_that!(stored_map(&cluster).get(&key), some(eq(&value)));
}

// ---- voter file -------------------------------------------------------------

#[googletest::test]
fn the_voter_file_is_read_and_written_unchanged() {
    expect_that!(voter_file::read(VOTER_FILE), some(eq(&stored::voter_file())));
    expect_that!(voter_file::write(&stored::voter_file()), eq(VOTER_FILE));
}

// ---- messages ---------------------------------------------------------------

/// The bodies in a file of bodies, each with its length before it.
fn bodies(file: &[u8]) -> Vec<&[u8]> {
    let mut bodies = Vec::new();
    let mut rest = file;
    while let Some((length, tail)) = rest.split_first_chunk() {
        let (body, tail) = tail.split_at(u32::from_le_bytes(*length) as usize);
        bodies.push(body);
        rest = tail;
    }
    assert!(rest.is_empty(), "{} bytes are left", rest.len());
    bodies
}

/// The bodies of all messages, in the order of `messages::all`.
fn message_bodies() -> Vec<&'static [u8]> {
    [bodies(MESSAGES), bodies(ADDED_MESSAGES), bodies(ROLLOUT_MESSAGES)].concat()
}

fn read_message(body: &[u8], expected: &Message) -> Outcome {
    let found = Message::deserialize_bin(body).map_err(|error| error.to_string())?;
    same("message", &found, expected)
}

#[googletest::test]
fn messages_are_read_and_written_unchanged() {
    let (bodies, expected) = (message_bodies(), messages::all());
    assert_that!(bodies.len(), eq(expected.len()));
    for (body, msg) in bodies.iter().zip(&expected) {
        expect_that!(read_message(body, msg), ok(eq(&())));
        expect_that!(frame::encode(msg), eq(body), "{msg:?}");
    }
}

#[googletest::test]
fn every_message_variant_has_a_fixture() {
    let number = |body: &[u8]| u16::from_le_bytes([body[0], body[1]]);
    let found: BTreeSet<u16> = message_bodies().into_iter().map(number).collect();
    let expected: BTreeSet<u16> = (0..MESSAGE_VARIANTS as u16).collect();
    expect_that!(found, eq(&expected));
}

/// Puts pieces together; the message must be whole at the last one.
fn read_pieces(pieces: &[Vec<u8>], expected: &Message) -> Outcome {
    let mut reassembler = frame::Reassembler::default();
    let mut found = Vec::new();
    for piece in pieces {
        let (raw, body) = piece.split_first_chunk::<HEAD_BYTES>().ok_or("a short piece")?;
        let head = frame::FrameHeader::parse(raw).map_err(|error| error.to_string())?;
        same("length", &head.length, &body.len())?;
        // Small messages go on the first lane, those of several pieces on the second.
        let lane = if pieces.len() > 1 { frame::Lane::Large } else { frame::Lane::Small };
        same("lane", &head.lane, &lane)?;
        found.push(reassembler.push(&head, body).map_err(|error| error.to_string())?);
    }
    let mut whole = vec![None; pieces.len() - 1];
    whole.push(Some(expected.clone()));
    same("pieces", &found, &whole)
}

/// The pieces of the large message: the heads as they are in the fixture, and the
/// body, which is stored without its filler, cut after each 64 KiB.
fn large_message_pieces(heads: &[u8], start: &[u8]) -> Vec<Vec<u8>> {
    let body = [start, &[messages::FILLER; messages::FILLER_COUNT][..]].concat();
    let heads = heads.chunks(HEAD_BYTES);
    heads.zip(body.chunks(FRAME_BYTES_MAX)).map(|(head, body)| [head, body].concat()).collect()
}

#[googletest::test]
fn messages_are_split_into_the_same_frames() {
    let small = [SMALL_MESSAGE.to_vec()];
    expect_that!(read_pieces(&small, &messages::small()), ok(eq(&())));
    expect_that!(frame::split(&frame::encode(&messages::small())), eq(&small));

    let large = large_message_pieces(LARGE_MESSAGE_HEADS, LARGE_MESSAGE_START);
    expect_that!(large.len(), eq(3));
    expect_that!(read_pieces(&large, &messages::large()).is_ok(), eq(true));
    let same = frame::split(&frame::encode(&messages::large())) == large;
    expect_that!(same, eq(true), "the pieces of the large message");
}

// ---- the comparisons compare --------------------------------------------------

/// Copies of a file with one byte changed; of a long file every 61st is.
fn changed_copies(file: &[u8]) -> impl Iterator<Item = (usize, Vec<u8>)> {
    let step = if file.len() > 4_096 { 61 } else { 1 };
    (0..file.len()).step_by(step).map(|at| {
        let mut changed = file.to_vec();
        changed[at] ^= 1;
        (at, changed)
    })
}

#[googletest::test]
fn a_changed_byte_in_a_file_is_detected() {
    for (files, expected) in partitions() {
        for (at, older_slot) in changed_copies(&files.older_slot) {
            let changed = PartitionFiles { older_slot, ..files.clone() };
            assert!(read_partition(&changed, &expected).is_err(), "older slot, byte {at}");
            assert!(write_partition(&expected) != changed, "older slot, byte {at}");
        }
        for (at, newer_slot) in changed_copies(&files.newer_slot) {
            let changed = PartitionFiles { newer_slot, ..files.clone() };
            assert!(read_partition(&changed, &expected).is_err(), "newer slot, byte {at}");
            assert!(write_partition(&expected) != changed, "newer slot, byte {at}");
        }
        for (at, log) in changed_copies(&files.log) {
            let changed = PartitionFiles { log, ..files.clone() };
            assert!(read_partition(&changed, &expected).is_err(), "log, byte {at}");
            assert!(write_partition(&expected) != changed, "log, byte {at}");
        }
    }
    for (at, changed) in changed_copies(VOTER_FILE) {
        assert!(voter_file::read(&changed) != Some(stored::voter_file()), "voter file, byte {at}");
        assert!(voter_file::write(&stored::voter_file()) != changed, "voter file, byte {at}");
    }
}

#[googletest::test]
fn a_changed_byte_in_a_message_is_detected() {
    for (body, msg) in message_bodies().into_iter().zip(messages::all()) {
        for (at, changed) in changed_copies(body) {
            assert!(frame::encode(&msg) != changed, "{msg:?}, byte {at}");
            // Bytes from 0x80 on stand in numbers and contents only. A changed length
            // would make the reader reserve memory for it, up to an abort; outside
            // of tests it gets nothing but bodies whose checksum fits.
            if body[at] >= 0x80 || at + 1 == body.len() {
                assert!(read_message(&changed, &msg).is_err(), "{msg:?}, byte {at}");
            }
        }
    }
    for (at, changed) in changed_copies(SMALL_MESSAGE) {
        assert!(read_pieces(&[changed], &messages::small()).is_err(), "small, byte {at}");
    }
    for (at, heads) in changed_copies(LARGE_MESSAGE_HEADS) {
        let pieces = large_message_pieces(&heads, LARGE_MESSAGE_START);
        assert!(read_pieces(&pieces, &messages::large()).is_err(), "large, head's byte {at}");
    }
    for (at, start) in changed_copies(LARGE_MESSAGE_START) {
        let pieces = large_message_pieces(LARGE_MESSAGE_HEADS, &start);
        assert!(read_pieces(&pieces, &messages::large()).is_err(), "large, byte {at}");
    }
}
