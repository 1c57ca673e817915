//! The older format of the deduplication table: one entry `request/ID` for each request,
//! with the digest of its text and its revision as text; 512 entries at most.
//!
//! Such entries are read as long as there are any. The next accepted request migrates them
//! to the present format (`super::insert`) and removes them.

use crate::config::stored::{Entry, with_prefix};
use crate::control_plane::request_dedup::record::{
    Fingerprint, Horizon, LookupResult, fingerprint_of_digest,
};
use crate::protocol::replica::EntryMap;
use crate::replication::private_entries::OLDER_ORDER_PREFIX as PREFIX;

/// Capacity of the older format (count): if there are as many entries, older ones may have
/// been evicted.
const CAPACITY: usize = 512;
/// Number of hex digits of the digest of a text.
const DIGEST_DIGITS: usize = 32;

/// Returns whether there are entries to migrate.
pub fn is_present(map: &EntryMap) -> bool {
    with_prefix(map, PREFIX).next().is_some()
}

/// Looks a request up in these entries.
pub fn lookup(map: &EntryMap, request: &str, fingerprint: &Fingerprint) -> LookupResult {
    let known = map.get(&format!("{PREFIX}{request}")).and_then(|value| parse(value));
    match known {
        None => LookupResult::Absent,
        Some((digest, revision)) if fingerprint_of_digest(request, &digest) == *fingerprint => {
            LookupResult::Accepted { revision }
        }
        Some(_) => LookupResult::DifferentText,
    }
}

/// Returns the fingerprints of all requests in these entries, with their revisions.
pub fn requests(map: &EntryMap) -> impl Iterator<Item = (Fingerprint, u64)> {
    with_prefix(map, PREFIX).filter_map(|(request, value)| {
        let (digest, revision) = parse(value)?;
        Some((fingerprint_of_digest(request, &digest), revision))
    })
}

/// Returns the entries that remove all entries of this format.
pub fn removals(map: &EntryMap) -> impl Iterator<Item = Entry> {
    with_prefix(map, PREFIX).map(|(request, _)| (format!("{PREFIX}{request}"), None))
}

/// Returns the horizon up to which requests may have been evicted. The edition at that time
/// was not stored; it can't have been higher than the current one.
pub fn horizon(map: &EntryMap, edition: u64) -> Horizon {
    let revisions: Vec<u64> = requests(map).map(|(_, revision)| revision).collect();
    match revisions.iter().min() {
        Some(oldest) if revisions.len() >= CAPACITY => {
            Horizon { revision: oldest.saturating_sub(1), edition }
        }
        _ => Horizon::default(),
    }
}

/// Parses a value into the digest of the text and the revision.
fn parse(value: &[u8]) -> Option<([u8; 16], u64)> {
    let (digest, revision) = std::str::from_utf8(value).ok()?.split_once(' ')?;
    if digest.len() != DIGEST_DIGITS || !digest.is_ascii() {
        return None;
    }
    let mut bytes = [0; 16];
    for (byte, digits) in bytes.iter_mut().zip(digest.as_bytes().chunks_exact(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    }
    Some((bytes, revision.parse().ok()?))
}
