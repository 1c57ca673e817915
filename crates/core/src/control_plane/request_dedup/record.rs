//! The records of the deduplication table: the fingerprint of a request, the stored fields,
//! and their encoding in a bucket.

use crate::digest::digest_bytes;
use crate::protocol::replica::EntryMap;
use crate::replication::private_entries::ORDER_PREFIX;

/// Number of buckets. A full table has four records in each. An accepted request then
/// rewrites about 100 bytes, and the keys are a fifth of the total size.
pub(super) const BUCKET_COUNT: u64 = 4_096;
/// Bytes that a record holds of the digest of the request id. Together with the 12 bits
/// that choose the bucket, two ids collide with a probability of 1 in 2^92.
const REQUEST_BYTES: usize = 10;
/// Bytes that a record holds of the digest of the text. They are compared only if a request
/// id was used twice.
const TEXT_BYTES: usize = 6;
/// Bytes of a revision or an edition.
pub(super) const NUMBER_BYTES: usize = 8;
/// Bytes of one record: request id, text, revision.
const RECORD_BYTES: usize = REQUEST_BYTES + TEXT_BYTES + NUMBER_BYTES;
/// The fingerprint of a request: digests of its request id and of its text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fingerprint {
    pub(super) bucket: u16,
    request: [u8; REQUEST_BYTES],
    text: [u8; TEXT_BYTES],
}

/// The result of a lookup in the deduplication table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LookupResult {
    /// Not in the table: never accepted, or evicted.
    Absent,
    /// Accepted as this revision.
    Accepted {
        /// The revision that the request created.
        revision: u64,
    },
    /// The request id belongs to an accepted request with a different text.
    DifferentText,
}

/// The limit of what the table covers: requests that were accepted up to this revision, at
/// this edition, may have been evicted. Zeros mean that none was.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Horizon {
    /// The newest revision whose request may have been evicted.
    pub revision: u64,
    /// The edition at that revision.
    pub edition: u64,
}

/// The state that a request builds on and results in, as far as the request names it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestBase {
    /// The revision that the request builds on.
    pub revision: Option<u64>,
    /// The edition that the request builds on.
    pub edition: Option<u64>,
    /// The edition that the request results in.
    pub next_edition: Option<u64>,
}

/// The record of an accepted request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Record {
    request: [u8; REQUEST_BYTES],
    text: [u8; TEXT_BYTES],
    pub(super) revision: u64,
}

impl Record {
    /// Creates the record of a request that was accepted as `revision`.
    pub(super) fn new(fingerprint: &Fingerprint, revision: u64) -> Self {
        Self { request: fingerprint.request, text: fingerprint.text, revision }
    }

    /// Returns whether a request has the same request id.
    pub(super) fn has_same_id(&self, fingerprint: &Fingerprint) -> bool {
        self.request == fingerprint.request
    }

    /// Returns whether a request has the same text.
    pub(super) fn has_same_text(&self, fingerprint: &Fingerprint) -> bool {
        self.text == fingerprint.text
    }
}

/// Returns the fingerprint of a request that replaces the configuration or, if
/// `is_replacement` is false, changes a part of it.
pub fn fingerprint(request: &str, is_replacement: bool, text: &[u8]) -> Fingerprint {
    let digest = digest_bytes(&[&[u8::from(is_replacement)], text].concat());
    fingerprint_of_digest(request, &digest)
}

/// Returns the fingerprint of a request, given the digest of its text.
pub(super) fn fingerprint_of_digest(request: &str, text: &[u8; 16]) -> Fingerprint {
    let id = digest_bytes(request.as_bytes());
    let bucket = u64::from(u16::from_le_bytes([id[0], id[1]])) % BUCKET_COUNT;
    Fingerprint { bucket: bucket as u16, request: array(&id[2..]), text: array(text) }
}

pub(super) fn bucket_key(number: u16) -> String {
    format!("{ORDER_PREFIX}{number:03x}")
}

/// Returns the records of a bucket in the order in which their requests were accepted.
pub(super) fn bucket(map: &EntryMap, number: u16) -> Vec<Record> {
    let bytes = map.get(&bucket_key(number)).map_or(&[][..], Vec::as_slice);
    bytes.chunks_exact(RECORD_BYTES).map(record).collect()
}

fn record(bytes: &[u8]) -> Record {
    let (request, rest) = bytes.split_at(REQUEST_BYTES);
    let (text, revision) = rest.split_at(TEXT_BYTES);
    Record { request: array(request), text: array(text), revision: to_u64(revision) }
}

pub(super) fn record_bytes(record: &Record) -> Vec<u8> {
    [&record.request[..], &record.text[..], &record.revision.to_le_bytes()[..]].concat()
}

pub(super) fn to_u64(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(array(bytes))
}

/// Returns the first `N` bytes, padded with zeros.
fn array<const N: usize>(bytes: &[u8]) -> [u8; N] {
    let mut out = [0; N];
    let len = N.min(bytes.len());
    out[..len].copy_from_slice(&bytes[..len]);
    out
}
