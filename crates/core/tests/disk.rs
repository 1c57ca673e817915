//! The form on disk under torn writes and flipped bits: what is read is the
//! truth, a prefix whose tail was never acknowledged, or reported damage.

use googletest::prelude::*;
use grebepath_core::identifiers::Term;
use grebepath_core::storage::damage::Damage;
use grebepath_core::storage::reader::{StoredReplica, read};
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::writer;

const PART: u32 = 3;

fn change(revision: u64) -> LogRecord {
    let entries = vec![
        (format!("key-{}", revision % 3), Some(vec![revision as u8, 0, 7])),
        (format!("old-{revision}"), None),
    ];
    LogRecord::Change { term: Term(4), revision, entries }
}

/// Slots, log, and the copy at each record's end.
type Files = ([Vec<u8>; 2], Vec<u8>, Vec<(usize, ReplicaState)>);

/// Two slots and a log as a life leaves them: slot 2 is the newest, and the
/// log holds a few records after it.
fn files() -> Files {
    let mut copy = ReplicaState {
        current_term: Term(4),
        written_term: Term(4),
        revision: 10,
        ..ReplicaState::default()
    };
    let older = writer::slot(PART, 1, &copy);
    assert!(copy.apply(&change(11)));
    let newer = writer::slot(PART, 2, &copy);
    let mut log = writer::log_header(PART, 2);
    let mut at = vec![(log.len(), copy.clone())];
    let recs = [change(12), LogRecord::Vote { term: Term(7) }, change(13)];
    for (i, rec) in recs.iter().enumerate() {
        assert!(copy.apply(rec));
        log.extend(writer::record(2, i as u32, rec));
        at.push((log.len(), copy.clone()));
    }
    ([newer, older], log, at)
}

fn found(slots: &[Vec<u8>; 2], log: &[u8]) -> StoredReplica {
    read(PART, [Some(&slots[0]), Some(&slots[1])], Some(log))
}

#[googletest::test]
fn a_torn_log_is_read_up_to_its_last_complete_record() {
    let (slots, log, at) = files();
    for cut in at[0].0..=log.len() {
        for zeros in [0, 9, 200] {
            let mut torn = log[..cut].to_vec();
            torn.extend(vec![0u8; zeros]);
            let whole = at.iter().rev().find(|(end, _)| *end <= cut).unwrap();
            match found(&slots, &torn) {
                StoredReplica::Intact { state: copy, .. } => {
                    assert_eq!(copy, whole.1, "cut {cut}, {zeros} zeros")
                }
                other => panic!("cut {cut}, {zeros} zeros: {other:?}"),
            }
        }
    }
}

#[googletest::test]
fn no_flipped_bit_is_read_as_valid_state() {
    let (slots, log, at) = files();
    let truth = &at.last().unwrap().1;
    let mut damaged = 0;
    for i in 0..log.len() * 8 {
        let mut bad = log.clone();
        bad[i / 8] ^= 1 << (i % 8);
        match found(&slots, &bad) {
            StoredReplica::Damaged(_) => damaged += 1,
            StoredReplica::Intact { state: copy, .. } => {
                assert_eq!(&copy, truth, "bit {i} of the log")
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
                    assert_eq!(&copy, truth, "bit {i} of the {name} slot")
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
    let (slots, log, at) = files();
    let truth = at.last().unwrap().1.clone();
    let next = writer::slot(PART, 3, &truth);
    // Slot 3 goes where slot 1 is; the log is still that of slot 2.
    for cut in 0..next.len() {
        let torn = [slots[0].clone(), next[..cut].to_vec()];
        match found(&torn, &log) {
            StoredReplica::Intact { state: copy, .. } => assert_eq!(copy, truth, "cut {cut}"),
            other => panic!("cut {cut}: {other:?}"),
        }
    }
    match found(&[slots[0].clone(), next], &log) {
        StoredReplica::Intact { state: copy, sequence: seq, .. } => {
            expect_that!((copy, seq), eq(&(truth, 3)))
        }
        other => panic!("{other:?}"),
    }
}

#[googletest::test]
fn files_of_other_versions_and_other_partitions_are_reported() {
    let (mut slots, log, _) = files();
    expect_that!(
        read(PART + 1, [Some(&slots[0]), None], Some(&log)),
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
    expect_that!(read(PART, [None, None], None), eq(&StoredReplica::Empty));
}

#[googletest::test]
fn no_flipped_bit_in_the_older_slot_loses_the_replica() {
    // Guards against a slot whose version was corrupted: a scrub has the state written to the
    // other slot, and the next start refused both.
    let (slots, log, at) = files();
    let truth = &at.last().expect("the log has records").1;
    for bit in 0..slots[1].len() * 8 {
        let mut older = slots[1].clone();
        older[bit / 8] ^= 1 << (bit % 8);
        let StoredReplica::Intact { state, .. } = found(&[slots[0].clone(), older], &log) else {
            panic!("bit {bit} of the older slot makes the files damaged");
        };
        assert_eq!(&state, truth, "bit {bit} of the older slot");
    }
}
