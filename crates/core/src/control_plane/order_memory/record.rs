//! The records of the memory of orders: what an order is known by, what is
//! remembered of it, and how a record lies in its bucket.

use crate::digest::digest_bytes;
use crate::protocol::replica::EntryMap;
use crate::replication::private_entries::ORDER_PREFIX;

/// Buckets (count). A full memory has four records in each: an accepted order
/// rewrites some 100 bytes, and the keys stay a fifth of the whole.
pub(super) const BUCKETS: u64 = 4_096;
/// Bytes of a digest of a request id that a record holds. Together with the 12
/// bits that chose the bucket two ids are taken for one once in 2^92.
const REQUEST_BYTES: usize = 10;
/// Bytes of the digest of a text that a record holds. Compared only where one
/// request id was used twice.
const TEXT_BYTES: usize = 6;
/// Bytes of a revision or an edition.
pub(super) const NUMBER_BYTES: usize = 8;
/// Bytes of one record: request, text, revision.
const RECORD_BYTES: usize = REQUEST_BYTES + TEXT_BYTES + NUMBER_BYTES;
/// What an order is known by: its request id and its text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fingerprint {
    pub(super) bucket: u16,
    request: [u8; REQUEST_BYTES],
    text: [u8; TEXT_BYTES],
}

/// What the memory says of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Recall {
    /// Not remembered: never accepted, or accepted beyond the horizon.
    Absent,
    /// Accepted as this revision.
    Accepted {
        /// The revision that it made.
        revision: u64,
    },
    /// The request id belongs to an accepted order with another text.
    OtherText,
}

/// How far back the memory may have gaps: orders that were accepted up to this
/// revision, when this edition stood, may be forgotten. Zeros: nothing is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Horizon {
    /// The newest revision that may be forgotten.
    pub revision: u64,
    /// The edition that stood at that revision.
    pub edition: u64,
}

/// What an order says of the state that it builds on and makes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OrderBase {
    /// The revision that it builds on.
    pub revision: Option<u64>,
    /// The edition that it builds on.
    pub edition: Option<u64>,
    /// The edition that it makes.
    pub next_edition: Option<u64>,
}

/// A remembered order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Record {
    request: [u8; REQUEST_BYTES],
    text: [u8; TEXT_BYTES],
    pub(super) revision: u64,
}

impl Record {
    /// The record of an order that was accepted as `revision`.
    pub(super) fn new(order: &Fingerprint, revision: u64) -> Self {
        Self { request: order.request, text: order.text, revision }
    }

    /// Whether an order came under the same request id.
    pub(super) fn has_request_of(&self, order: &Fingerprint) -> bool {
        self.request == order.request
    }

    /// Whether an order has the same text.
    pub(super) fn has_text_of(&self, order: &Fingerprint) -> bool {
        self.text == order.text
    }
}

/// The fingerprint of an order, `whole` or partial.
pub fn fingerprint(request: &str, whole: bool, text: &[u8]) -> Fingerprint {
    let digest = digest_bytes(&[&[u8::from(whole)], text].concat());
    fingerprint_of_digest(request, &digest)
}

/// The fingerprint of an order by the digest of its text.
pub(super) fn fingerprint_of_digest(request: &str, text: &[u8; 16]) -> Fingerprint {
    let id = digest_bytes(request.as_bytes());
    let bucket = u64::from(u16::from_le_bytes([id[0], id[1]])) % BUCKETS;
    Fingerprint { bucket: bucket as u16, request: array(&id[2..]), text: array(text) }
}

pub(super) fn bucket_key(number: u16) -> String {
    format!("{ORDER_PREFIX}{number:03x}")
}

/// The records of a bucket, in the order in which they were accepted.
pub(super) fn bucket(map: &EntryMap, number: u16) -> Vec<Record> {
    let bytes = map.get(&bucket_key(number)).map_or(&[][..], Vec::as_slice);
    bytes.chunks_exact(RECORD_BYTES).map(record).collect()
}

fn record(bytes: &[u8]) -> Record {
    let (request, rest) = bytes.split_at(REQUEST_BYTES);
    let (text, revision) = rest.split_at(TEXT_BYTES);
    Record { request: array(request), text: array(text), revision: number(revision) }
}

pub(super) fn record_bytes(record: &Record) -> Vec<u8> {
    [&record.request[..], &record.text[..], &record.revision.to_le_bytes()[..]].concat()
}

pub(super) fn number(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(array(bytes))
}

/// The first `N` bytes; what is missing is zero.
fn array<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let mut out = [0; N];
    let len = N.min(bytes.len());
    out[..len].copy_from_slice(&bytes[..len]);
    out
}
