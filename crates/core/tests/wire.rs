//! Messages in pieces: together again, whatever their size, or refused.

use googletest::prelude::*;
use grebepath_core::consts::{PIECE, WIRE_VERSION};
use grebepath_core::identifiers::PartitionId;
use grebepath_core::protocol::frame::{FrameError, Gather, HEAD, head, pieces, take, write};
use grebepath_core::protocol::message::{FeedPosition, Message};

fn large(n: usize) -> Message {
    let entries = (0..n).map(|i| (format!("key-{i}"), Some(vec![i as u8; 700]))).collect();
    Message::Update { partition: PartitionId(2), from: None, revision: 9, entries }
}

fn small(revision: u64) -> Message {
    Message::Subscribe {
        places: vec![FeedPosition { partition: PartitionId(0), revision }],
        stamp: 0,
    }
}

fn feed(g: &mut Gather, piece: &[u8]) -> std::result::Result<Option<Message>, FrameError> {
    let raw: [u8; HEAD] = piece[..HEAD].try_into().unwrap();
    let h = head(&raw)?;
    assert_eq!(h.len, piece.len() - HEAD);
    take(g, &h, &piece[HEAD..])
}

#[googletest::test]
fn small_messages_overtake_large_ones_piece_by_piece() {
    let big = large(1_000);
    let cut = pieces(&write(&big));
    expect_that!(cut.len(), gt(8));
    let mut g = Gather::default();
    let mut got = Vec::new();
    for (i, piece) in cut.iter().enumerate() {
        expect_that!(piece.len(), le(PIECE + HEAD));
        for p in pieces(&write(&small(i as u64))) {
            got.extend(feed(&mut g, &p).unwrap());
        }
        got.extend(feed(&mut g, piece).unwrap());
    }
    expect_that!(got.len(), eq(cut.len() + 1));
    expect_that!(got[0], eq(&small(0)));
    expect_that!(got.last().unwrap(), eq(&big));
}

#[googletest::test]
fn an_unknown_version_is_bounced_with_its_number() {
    let mut piece = pieces(&write(&small(1))).remove(0);
    piece[4..6].copy_from_slice(&(WIRE_VERSION + 1).to_le_bytes());
    let got = feed(&mut Gather::default(), &piece);
    expect_that!(got, err(eq(&FrameError::Version(WIRE_VERSION + 1))));
}

#[googletest::test]
fn no_flipped_bit_passes() {
    let piece = pieces(&write(&small(77))).remove(0);
    for i in 0..piece.len() * 8 {
        let mut bad = piece.clone();
        bad[i / 8] ^= 1 << (i % 8);
        let raw: [u8; HEAD] = bad[..HEAD].try_into().unwrap();
        // A changed length means that other bytes are taken for the body.
        let body = |len: usize| bad.get(HEAD..HEAD + len).map(<[u8]>::to_vec);
        match head(&raw) {
            Err(_) => {}
            Ok(h) => match body(h.len) {
                None => {}
                // A lost last-mark or another lane only withholds the message.
                Some(body) => {
                    if let Ok(Some(message)) = take(&mut Gather::default(), &h, &body) {
                        assert_eq!(message, small(77), "bit {i}");
                    }
                }
            },
        }
    }
}
