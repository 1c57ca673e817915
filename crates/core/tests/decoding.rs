//! Input from a peer or a file never makes the decoder reserve more memory than the value may
//! need, and never aborts the process.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)] // The format tests use the other items.
#[path = "format_fixtures/messages.rs"]
mod messages;
#[allow(dead_code)] // The fixtures of files use the other items.
#[path = "format_fixtures/values.rs"]
mod values;

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use grebepath_core::protocol::frame::encode;
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::message_shapes::{
    LEAF_INFO, LOG_RECORD, MESSAGE, REPLICA_STATE, VOTER_FILE,
};
use grebepath_core::protocol::shape::{Shape, check, decode};
use grebepath_core::random::Random;
use grebepath_core::snapshot::leafs::LeafInfo;
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::voter_file::VoterFile;
use nanoserde::{DeBin, SerBin};

/// Memory that a decoded value may take per byte of its encoding: the smallest items of a list
/// take about ten times their encoding.
const MEMORY_PER_BYTE: usize = 32;
/// Memory that a value of any size may take (bytes).
const MEMORY_ALLOWANCE: usize = 4_096;

thread_local! {
    /// The largest allocation of this thread since the value was last reset.
    static LARGEST_ALLOCATION: Cell<usize> = const { Cell::new(0) };
}

/// The system's allocator, which records the largest allocation of each thread.
struct RecordingAllocator;

fn record_allocation(size: usize) {
    let _ = LARGEST_ALLOCATION.try_with(|largest| largest.set(largest.get().max(size)));
}

// SAFETY: every call is forwarded unchanged to the system's allocator.
unsafe impl GlobalAlloc for RecordingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        record_allocation(layout.size());
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        unsafe { System.dealloc(memory, layout) }
    }

    unsafe fn realloc(&self, memory: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        record_allocation(size);
        unsafe { System.realloc(memory, layout, size) }
    }
}

#[global_allocator]
static ALLOCATOR: RecordingAllocator = RecordingAllocator;

/// Decodes bytes and checks the size of the largest allocation.
fn decode_within_bounds<T: DeBin>(shape: &Shape, bytes: &[u8]) -> Option<T> {
    LARGEST_ALLOCATION.set(0);
    let decoded = decode::<T>(shape, bytes);
    let (largest, limit) =
        (LARGEST_ALLOCATION.get(), MEMORY_ALLOWANCE + bytes.len() * MEMORY_PER_BYTE);
    assert!(
        largest <= limit,
        "one allocation of {largest} bytes for {} bytes: {bytes:?}",
        bytes.len()
    );
    decoded.ok()
}

/// Lengths that no list or text of a message has, including ones that overflow to small sums.
const WRONG_LENGTHS: [u64; 8] =
    [u64::MAX, u64::MAX - 7, 1 << 63, 1 << 40, 580_000_000, 1 << 24, 65_536, 300];

/// Decodes `bytes` truncated and overwritten at each position in turn, and with random bytes at
/// random positions.
fn decode_altered<T: DeBin>(shape: &Shape, bytes: &[u8], random: &mut Random) {
    for at in 0..bytes.len() {
        let mut altered = bytes.to_vec();
        for length in WRONG_LENGTHS {
            let end = bytes.len().min(at + 8);
            altered[at..end].copy_from_slice(&length.to_le_bytes()[..end - at]);
            decode_within_bounds::<T>(shape, &altered);
        }
        decode_within_bounds::<T>(shape, &bytes[..at]);
    }
    for _ in 0..200 {
        let mut altered = bytes.to_vec();
        for _ in 0..1 + random.below(4) {
            let at = random.below(altered.len() as u64) as usize;
            altered[at] = random.next_u64() as u8;
        }
        decode_within_bounds::<T>(shape, &altered);
    }
}

/// Checks that the encoding of a value matches its shape, decodes to the value, and can be
/// altered without excessive allocations.
fn assert_safe<T: SerBin + DeBin + PartialEq + std::fmt::Debug>(
    shape: &Shape,
    value: &T,
    random: &mut Random,
) {
    let bytes = value.serialize_bin();
    assert_eq!(check(shape, &bytes), Ok(bytes.len()), "{value:?}");
    assert_eq!(decode_within_bounds::<T>(shape, &bytes).as_ref(), Some(value));
    decode_altered::<T>(shape, &bytes, random);
}

#[test]
fn every_message_matches_its_shape_and_altered_ones_decode_within_memory_bounds() {
    let mut random = Random::new(7);
    for message in messages::all() {
        assert_safe(&MESSAGE, &message, &mut random);
    }
}

#[test]
fn stored_values_match_their_shapes_and_decode_within_memory_bounds() {
    let mut random = Random::new(8);
    for message in messages::all() {
        match message {
            Message::Snapshot { entries, .. } => {
                let state = ReplicaState { entries, revision: 3, ..ReplicaState::default() };
                assert_safe(&REPLICA_STATE, &state, &mut random);
            }
            Message::Append { term, revision, entries, .. } => {
                let record = LogRecord::Change { term, revision, entries };
                assert_safe(&LOG_RECORD, &record, &mut random);
                assert_safe(&LOG_RECORD, &LogRecord::Vote { term }, &mut random);
            }
            Message::VoterSetUpdate { voter_set, .. } => {
                let file = VoterFile { replica_id: 9, is_original_disk: true, voter_set };
                assert_safe(&VOTER_FILE, &file, &mut random);
            }
            Message::LeafList { leafs, .. } => {
                for leaf in &leafs {
                    assert_safe::<LeafInfo>(&LEAF_INFO, leaf, &mut random);
                }
            }
            _ => {}
        }
    }
}

#[test]
fn a_message_whose_list_length_would_reserve_58_gigabytes_is_rejected() {
    let message = Message::LeafList {
        partition: grebepath_core::identifiers::PartitionId(1),
        fencing_token: Default::default(),
        leafs: Vec::new(),
    };
    let mut bytes = encode(&message);
    let at = bytes.len() - 8;
    bytes[at..].copy_from_slice(&400_000_000u64.to_le_bytes());
    assert!(decode_within_bounds::<Message>(&MESSAGE, &bytes).is_none());
}
