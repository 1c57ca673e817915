//! The formats of files and messages do not change: this build reads the files and messages of
//! earlier builds as the same values, and writes the same bytes.
//!
//! The files under `fixtures/formats/` were written once, with the formats of commit 9bec00c, from
//! the values in `format_fixtures/`, and are never rewritten. If a test here fails, the code has
//! changed a format that running processes and their disks still use. Messages that were added
//! later are in `messages-added.bodies`, each appended when it was added. A format that changes on
//! purpose gets a new version number and additional fixtures.

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
use stored::{AcceptedChange, NEWER_SEQUENCE, OLDER_SEQUENCE, StoredPartition};

const MESSAGES: &[u8] = include_bytes!("fixtures/formats/messages.bodies");
const SMALL_MESSAGE: &[u8] = include_bytes!("fixtures/formats/small-message.piece");
/// The headers of the three frames of the large message.
const LARGE_MESSAGE_HEADS: &[u8] = include_bytes!("fixtures/formats/large-message.heads");
/// The beginning of the large message's body, before the filler.
const LARGE_MESSAGE_START: &[u8] = include_bytes!("fixtures/formats/large-message.start");
const VOTER_FILE: &[u8] = include_bytes!("fixtures/formats/voter-file");

/// Messages that were added after those in `MESSAGES`.
const ADDED_MESSAGES: &[u8] = include_bytes!("fixtures/formats/messages-added.bodies");

/// Messages that were added with rollouts.
const ROLLOUT_MESSAGES: &[u8] = include_bytes!("fixtures/formats/messages-rollouts.bodies");

/// Number of message variants in the fixtures.
const MESSAGE_VARIANTS: usize = 43;
/// Size of a frame header, and maximum size of a frame's body (bytes).
const HEADER_BYTES: usize = 12;
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

/// Returns each partition's fixtures with the values that they hold.
fn partitions() -> [(PartitionFiles, StoredPartition); 3] {
    [
        (partition_files!("configuration"), stored::configuration_partition()),
        (partition_files!("configuration-older-orders"), stored::legacy_configuration_partition()),
        (partition_files!("services"), stored::services_partition()),
    ]
}

type Outcome = std::result::Result<(), String>;

/// Compares a value that was read with the expected one.
fn same<T: PartialEq + Debug>(what: &str, found: &T, expected: &T) -> Outcome {
    if found == expected {
        return Ok(());
    }
    Err(format!("{what}: found {found:?}, expected {expected:?}"))
}

// ---- files of partitions ----------------------------------------------------

/// Reads the files of a partition and compares them with the expected values.
fn read_partition(files: &PartitionFiles, expected: &StoredPartition) -> Outcome {
    let number = expected.number;
    let intact = |state: ReplicaState, sequence, records, log_bytes: usize| {
        let (records, log_bytes) = (records as u32, log_bytes as u64);
        StoredReplica::Intact { state, sequence, records, log_bytes, is_torn: false }
    };
    // Reads each slot alone, because the older one has no effect beside the newer one.
    for (slot, sequence, state) in [
        (&files.older_slot, OLDER_SEQUENCE, &expected.older),
        (&files.newer_slot, NEWER_SEQUENCE, &expected.newer),
    ] {
        let found = read(number, [Some(slot), None], Some(&log_header(number, sequence)));
        same("slot", &found, &intact(state.clone(), sequence, 0, LOG_HEADER_BYTES))?;
    }
    let found = read(number, [Some(&files.older_slot), Some(&files.newer_slot)], Some(&files.log));
    let count = expected.records.len();
    same("all", &found, &intact(expected.newest(), NEWER_SEQUENCE, count, files.log.len()))
}

fn write_partition(stored: &StoredPartition) -> PartitionFiles {
    let number = stored.number;
    let mut log = log_header(number, NEWER_SEQUENCE);
    for (position, entry) in stored.records.iter().enumerate() {
        log.extend(record(NEWER_SEQUENCE, position as u32, entry));
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

/// Returns the newest state in the files.
fn newest(files: &PartitionFiles, number: u32) -> ReplicaState {
    let slots = [Some(&files.newer_slot[..]), Some(&files.older_slot[..])];
    match read(number, slots, Some(&files.log)) {
        StoredReplica::Intact { state, .. } => state,
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

// ---- accepted requests -------------------------------------------------------

/// Checks that a request is known as accepted, and that its id is rejected with another text.
fn expect_known(entry_map: &EntryMap, change: &AcceptedChange) {
    let known = LookupResult::Accepted { revision: change.revision };
    expect_that!(lookup(entry_map, &change.request, &change.fingerprint()), eq(known));
    for (is_replacement, text) in
        [(!change.is_replacement, &change.text[..]), (change.is_replacement, b"another text")]
    {
        let other = fingerprint(&change.request, is_replacement, text);
        expect_that!(lookup(entry_map, &change.request, &other), eq(LookupResult::DifferentText));
    }
}

#[googletest::test]
fn accepted_requests_are_read_from_files_of_both_formats() {
    let [(newer_format, _), (older_format, _), _] = partitions();
    let entry_map = newest(&newer_format, 0).entries;
    for change in stored::accepted_changes() {
        expect_known(&entry_map, &change);
    }
    expect_that!(horizon(&entry_map), eq(stored::HORIZON));

    let entry_map = newest(&older_format, 0).entries;
    for change in stored::legacy_changes() {
        expect_known(&entry_map, &change);
    }
    expect_that!(horizon(&entry_map), eq(stored::LEGACY_HORIZON));
    let dropped = stored::dropped_legacy_change();
    let known = lookup(&entry_map, &dropped.request, &dropped.fingerprint());
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
    // The entry names one process, and is removed when that process renews its lease.
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

/// Splits a file into message bodies, each of which is preceded by its length.
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

/// Returns the bodies of all messages, in the order of `messages::all`.
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

/// Reassembles frames; the message must be complete with the last one.
fn read_frames(frames: &[Vec<u8>], expected: &Message) -> Outcome {
    let mut reassembler = frame::Reassembler::default();
    let mut found = Vec::new();
    for frame_bytes in frames {
        let (raw, body) =
            frame_bytes.split_first_chunk::<HEADER_BYTES>().ok_or("a frame is too short")?;
        let header = frame::FrameHeader::parse(raw).map_err(|error| error.to_string())?;
        same("length", &header.length, &body.len())?;
        // Messages of one frame use the lane `Small`, those of several frames the lane `Large`.
        let lane = if frames.len() > 1 { frame::Lane::Large } else { frame::Lane::Small };
        same("lane", &header.lane, &lane)?;
        found.push(reassembler.push(&header, body).map_err(|error| error.to_string())?);
    }
    let mut expected_results = vec![None; frames.len() - 1];
    expected_results.push(Some(expected.clone()));
    same("pieces", &found, &expected_results)
}

/// Returns the frames of the large message: the headers of the fixture, and the body, which is
/// stored without its filler, split after every 64 KiB.
fn large_message_frames(headers: &[u8], start: &[u8]) -> Vec<Vec<u8>> {
    let body = [start, &[messages::FILLER; messages::FILLER_COUNT][..]].concat();
    let headers = headers.chunks(HEADER_BYTES);
    headers
        .zip(body.chunks(FRAME_BYTES_MAX))
        .map(|(header, body)| [header, body].concat())
        .collect()
}

#[googletest::test]
fn messages_are_split_into_the_same_frames() {
    let small = [SMALL_MESSAGE.to_vec()];
    expect_that!(read_frames(&small, &messages::small()), ok(eq(&())));
    expect_that!(frame::split(&frame::encode(&messages::small())), eq(&small));

    let large = large_message_frames(LARGE_MESSAGE_HEADS, LARGE_MESSAGE_START);
    expect_that!(large.len(), eq(3));
    expect_that!(read_frames(&large, &messages::large()).is_ok(), eq(true));
    let same = frame::split(&frame::encode(&messages::large())) == large;
    expect_that!(same, eq(true), "the frames of the large message");
}

// ---- the comparisons detect changes --------------------------------------------------

/// Returns copies of a file, each with another byte changed. Of a file of more than 4096 bytes,
/// only every 61st byte is changed.
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
            // Bytes of 0x80 and above occur in numbers and contents only. A changed length would
            // make the decoder reserve memory for it, up to an abort. Outside of tests, it gets
            // only bodies whose checksum matches.
            if body[at] >= 0x80 || at + 1 == body.len() {
                assert!(read_message(&changed, &msg).is_err(), "{msg:?}, byte {at}");
            }
        }
    }
    for (at, changed) in changed_copies(SMALL_MESSAGE) {
        assert!(read_frames(&[changed], &messages::small()).is_err(), "small, byte {at}");
    }
    for (at, headers) in changed_copies(LARGE_MESSAGE_HEADS) {
        let frames = large_message_frames(&headers, LARGE_MESSAGE_START);
        assert!(read_frames(&frames, &messages::large()).is_err(), "large, header byte {at}");
    }
    for (at, start) in changed_copies(LARGE_MESSAGE_START) {
        let frames = large_message_frames(LARGE_MESSAGE_HEADS, &start);
        assert!(read_frames(&frames, &messages::large()).is_err(), "large, byte {at}");
    }
}
