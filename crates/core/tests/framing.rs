//! Messages in frames: reassembled whatever their size, or rejected.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::protocol::frame::{
    FRAME_BYTES_MAX, FrameError, FrameHeader, HEADER_BYTES, PROTOCOL_VERSION, Reassembler, encode,
    split,
};
use grebepath_core::protocol::message::{FeedPosition, Message};

fn large(entries: usize) -> Message {
    let entries = (0..entries).map(|i| (format!("key-{i}"), Some(vec![i as u8; 700]))).collect();
    Message::Update { partition: PartitionId(2), from: None, revision: 9, entries }
}

fn small(revision: u64) -> Message {
    let places = vec![FeedPosition { partition: PartitionId(0), revision }];
    Message::Subscribe { positions: places, stamp: 0 }
}

fn header_of(frame: &[u8]) -> [u8; HEADER_BYTES] {
    frame[..HEADER_BYTES].try_into().unwrap()
}

fn push(
    reassembler: &mut Reassembler,
    frame: &[u8],
) -> std::result::Result<Option<Message>, FrameError> {
    let header = FrameHeader::parse(&header_of(frame))?;
    assert_eq!(header.length, frame.len() - HEADER_BYTES);
    reassembler.push(&header, &frame[HEADER_BYTES..])
}

#[googletest::test]
fn small_messages_are_interleaved_with_the_frames_of_large_ones() {
    let big = large(1_000);
    let frames = split(&encode(&big));
    expect_that!(frames.len(), gt(8));
    let mut reassembler = Reassembler::default();
    let mut received = Vec::new();
    for (i, frame) in frames.iter().enumerate() {
        expect_that!(frame.len(), le(FRAME_BYTES_MAX + HEADER_BYTES));
        for between in split(&encode(&small(i as u64))) {
            received.extend(push(&mut reassembler, &between).unwrap());
        }
        received.extend(push(&mut reassembler, frame).unwrap());
    }
    expect_that!(received.len(), eq(frames.len() + 1));
    expect_that!(received[0], eq(&small(0)));
    expect_that!(received.last().unwrap(), eq(&big));
}

#[googletest::test]
fn an_unknown_version_is_rejected_with_its_number() {
    let mut frame = split(&encode(&small(1))).remove(0);
    frame[4..6].copy_from_slice(&(PROTOCOL_VERSION + 1).to_le_bytes());
    let result = push(&mut Reassembler::default(), &frame);
    expect_that!(result, err(eq(&FrameError::Version { found: PROTOCOL_VERSION + 1 })));
}

#[googletest::test]
fn no_flipped_bit_is_accepted() {
    let frame = split(&encode(&small(77))).remove(0);
    for bit in 0..frame.len() * 8 {
        let mut bad = frame.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        let Ok(header) = FrameHeader::parse(&header_of(&bad)) else { continue };
        // A changed length means that other bytes are read as the body.
        let end = HEADER_BYTES + header.length;
        let Some(body) = bad.get(HEADER_BYTES..end) else { continue };
        // Without the last-frame flag, or on another lane, the message only stays incomplete.
        if let Ok(Some(message)) = Reassembler::default().push(&header, body) {
            assert_eq!(message, small(77), "bit {bit}");
        }
    }
}
