//! The disk format under torn writes and flipped bits: a read returns the written state, a
//! prefix of it whose missing tail was never acknowledged, or reports damage.

use googletest::prelude::*;
use grebepath_core::identifiers::Term;
use grebepath_core::storage::damage::Damage;
use grebepath_core::storage::reader::{StoredReplica, read};
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::writer;

const PARTITION: u32 = 3;

fn change(revision: u64) -> LogRecord {
    let entries = vec![
        (format!("key-{}", revision % 3), Some(vec![revision as u8, 0, 7])),
        (format!("old-{revision}"), None),
    ];
    LogRecord::Change { term: Term(4), revision, entries }
}

/// The slots, the log, and the state at the end of each record.
type Files = ([Vec<u8>; 2], Vec<u8>, Vec<(usize, ReplicaState)>);

/// Returns two slots and a log as a running replica leaves them: the slot with sequence number 2
/// is the newer one, and the log holds the records after it.
fn files() -> Files {
    let mut copy = ReplicaState {
        current_term: Term(4),
        written_term: Term(4),
        revision: 10,
        ..ReplicaState::default()
    };
    let older = writer::slot(PARTITION, 1, &copy);
    assert!(copy.apply(&change(11)));
    let newer = writer::slot(PARTITION, 2, &copy);
    let mut log = writer::log_header(PARTITION, 2);
    let mut states = vec![(log.len(), copy.clone())];
    let records = [change(12), LogRecord::Vote { term: Term(7) }, change(13)];
    for (i, record) in records.iter().enumerate() {
        assert!(copy.apply(record));
        log.extend(writer::record(2, i as u32, record));
        states.push((log.len(), copy.clone()));
    }
    ([newer, older], log, states)
}

fn found(slots: &[Vec<u8>; 2], log: &[u8]) -> StoredReplica {
    read(PARTITION, [Some(&slots[0]), Some(&slots[1])], Some(log))
}

#[googletest::test]
fn a_torn_log_is_read_up_to_its_last_complete_record() {
    let (slots, log, states) = files();
    for cut in states[0].0..=log.len() {
        for zeros in [0, 9, 200] {
            let mut torn = log[..cut].to_vec();
            torn.extend(vec![0u8; zeros]);
            let complete = states.iter().rev().find(|(end, _)| *end <= cut).unwrap();
            match found(&slots, &torn) {
                StoredReplica::Intact { state: copy, .. } => {
                    assert_eq!(copy, complete.1, "cut {cut}, {zeros} zeros")
                }
                other => panic!("cut {cut}, {zeros} zeros: {other:?}"),
            }
        }
    }
}

#[googletest::test]
fn no_flipped_bit_is_read_as_valid_state() {
    let (slots, log, states) = files();
    let expected = &states.last().unwrap().1;
    let mut damaged = 0;
    for i in 0..log.len() * 8 {
        let mut bad = log.clone();
        bad[i / 8] ^= 1 << (i % 8);
        match found(&slots, &bad) {
            StoredReplica::Damaged(_) => damaged += 1,
            StoredReplica::Intact { state: copy, .. } => {
                assert_eq!(&copy, expected, "bit {i} of the log")
            }
            StoredReplica::Empty => panic!("bit {i} of the log makes the disk look empty"),
        }
    }
    for (slot, name) in [(0, "newest"), (1, "older")] {
        for i in 0..slots[slot].len() * 8 {
            let mut bad = slots.clone();
            bad[slot][i / 8] ^= 1 << (i % 8);
            match found(&bad, &log) {
                StoredReplica::Damaged(_) => damaged += 1,
                StoredReplica::Intact { state: copy, .. } => {
                    assert_eq!(&copy, expected, "bit {i} of the {name} slot")
                }
                StoredReplica::Empty => {
                    panic!("bit {i} of the {name} slot makes the disk look empty")
                }
            }
        }
    }
    expect_that!(damaged, gt(log.len() * 7));
}

#[googletest::test]
fn an_interrupted_slot_write_loses_nothing() {
    let (slots, log, states) = files();
    let expected = states.last().unwrap().1.clone();
    let next = writer::slot(PARTITION, 3, &expected);
    // The slot with sequence number 3 replaces that with 1; the log still belongs to 2.
    for cut in 0..next.len() {
        let torn = [slots[0].clone(), next[..cut].to_vec()];
        match found(&torn, &log) {
            StoredReplica::Intact { state: copy, .. } => assert_eq!(copy, expected, "cut {cut}"),
            other => panic!("cut {cut}: {other:?}"),
        }
    }
    match found(&[slots[0].clone(), next], &log) {
        StoredReplica::Intact { state: copy, sequence, .. } => {
            expect_that!((copy, sequence), eq(&(expected, 3)))
        }
        other => panic!("{other:?}"),
    }
}

#[googletest::test]
fn files_of_other_versions_and_other_partitions_are_reported() {
    let (mut slots, log, _) = files();
    expect_that!(
        read(PARTITION + 1, [Some(&slots[0]), None], Some(&log)),
        matches_pattern!(StoredReplica::Damaged(anything()))
    );
    slots[0][6] += 1;
    match found(&slots, &log) {
        StoredReplica::Damaged(why) => {
            expect_that!(why, eq(&Damage::SlotVersion { found: 2 }));
            expect_that!(why.to_string(), contains_substring("version 2"));
        }
        other => panic!("{other:?}"),
    }
    expect_that!(read(PARTITION, [None, None], None), eq(&StoredReplica::Empty));
}

#[googletest::test]
fn no_flipped_bit_in_the_older_slot_loses_the_replica() {
    // Guards against a start that rejects both slots: the version of one was corrupted, and a
    // scrub had the state written to the other.
    let (slots, log, states) = files();
    let expected = &states.last().expect("the log has records").1;
    for bit in 0..slots[1].len() * 8 {
        let mut older = slots[1].clone();
        older[bit / 8] ^= 1 << (bit % 8);
        let StoredReplica::Intact { state, .. } = found(&[slots[0].clone(), older], &log) else {
            panic!("bit {bit} of the older slot makes the files unreadable");
        };
        assert_eq!(&state, expected, "bit {bit} of the older slot");
    }
}
