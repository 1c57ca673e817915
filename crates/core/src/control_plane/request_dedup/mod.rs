//! The deduplication table of accepted operator requests, which makes it safe to send a
//! request again under the same request id (idempotency key).
//!
//! Each accepted request adds a record of fixed size to the entries of the configuration
//! partition. The table is therefore replicated, synced and part of every snapshot, like
//! the configuration itself. The functions here are pure: they read the entries and return
//! the entries that change them.
//!
//! Records are stored in buckets, chosen by the digest of the request id. A lookup reads
//! one bucket, an accepted request rewrites one or two, and no operation visits the whole
//! table.
//!
//! Each accepted request raises the partition's revision by one, and hardly anything else
//! does. Eviction is therefore by revision: the table keeps the requests of at least the last
//! [`MIN_REQUESTS_KEPT`] revisions. The [`Horizon`] limits what may have been evicted; a
//! request that may lie beyond it gets no definite result.

mod legacy;
mod record;

use std::collections::BTreeMap;

use crate::config::stored::{Entry, edition};
use crate::protocol::replica::EntryMap;
use record::{BUCKET_COUNT, NUMBER_BYTES, Record, bucket, bucket_key, record_bytes, to_u64};
pub use record::{Fingerprint, Horizon, LookupResult, RequestBase, fingerprint};

/// Minimum number of revisions whose requests are kept: two days of 7,200 changes each,
/// plus an eighth.
pub const MIN_REQUESTS_KEPT: u64 = 16_384;
/// Number of revisions between two checkpoints. The table reaches back by up to this many
/// revisions more than required, and the list of checkpoints stays short.
const CHECKPOINT_INTERVAL: u64 = 1_024;

/// Key of the checkpoints.
const CHECKPOINTS_KEY: &str = "order/marks";
/// Bytes of one checkpoint: revision, edition.
const CHECKPOINT_BYTES: usize = 2 * NUMBER_BYTES;

/// Looks a request up by its request id.
pub fn lookup(map: &EntryMap, request: &str, fingerprint: &Fingerprint) -> LookupResult {
    let records = bucket(map, fingerprint.bucket);
    match records.iter().rev().find(|record| record.has_same_id(fingerprint)) {
        Some(record) if record.has_same_text(fingerprint) => {
            LookupResult::Accepted { revision: record.revision }
        }
        Some(_) => LookupResult::DifferentText,
        None => legacy::lookup(map, request, fingerprint),
    }
}

/// Returns the horizon up to which requests may have been evicted.
pub fn horizon(map: &EntryMap) -> Horizon {
    let checkpointed = checkpoints(map).first().copied().unwrap_or_default();
    let older = legacy::horizon(map, edition(map));
    if older.revision > checkpointed.revision { older } else { checkpointed }
}

/// Returns whether a request that is not in the table may have been accepted and evicted.
///
/// A request is accepted only on the revision and edition that it builds on, and results in
/// a higher revision and in the edition that it names. Neither ever decreases. So a request
/// that builds on or results in something newer than the horizon can't have been evicted.
pub fn may_be_evicted(horizon: &Horizon, base: &RequestBase) -> bool {
    let is_impossible =
        matches!((base.edition, base.next_edition), (Some(on), Some(next)) if next <= on);
    horizon.revision > 0
        && !is_impossible
        && base.revision.is_none_or(|on| on < horizon.revision)
        && base.edition.is_none_or(|on| on <= horizon.edition)
        && base.next_edition.is_none_or(|next| next <= horizon.edition)
}

/// Returns the entries that record a request accepted as `revision`, after which the
/// edition is `next_edition`. They also evict the records that are older than required, and
/// migrate the entries of the older format.
pub fn insert(
    map: &EntryMap,
    fingerprint: &Fingerprint,
    revision: u64,
    next_edition: u64,
) -> Vec<Entry> {
    let mut entries = Vec::new();
    let mut buckets: BTreeMap<u16, Vec<Record>> = BTreeMap::new();
    let (old_checkpoints, mut new_checkpoints) = (checkpoints(map), checkpoints(map));
    if legacy::is_present(map) {
        new_checkpoints = migrate_legacy(map, &mut buckets, &mut entries);
    }
    advance_checkpoints(&mut new_checkpoints, revision, next_edition);
    if new_checkpoints != old_checkpoints {
        entries.push((CHECKPOINTS_KEY.to_string(), Some(checkpoint_bytes(&new_checkpoints))));
    }
    let sweep = (revision % BUCKET_COUNT) as u16;
    buckets.entry(sweep).or_insert_with(|| bucket(map, sweep));
    let own = buckets.entry(fingerprint.bucket).or_insert_with(|| bucket(map, fingerprint.bucket));
    own.push(Record::new(fingerprint, revision));
    let evicted = new_checkpoints.first().map_or(0, |checkpoint| checkpoint.revision);
    for (number, mut records) in buckets {
        records.retain(|record| record.revision > evicted);
        entries.extend(rewritten_bucket(map, number, &records));
    }
    entries
}

/// Adds the requests of the older format to `buckets` and removes their entries. Returns
/// the resulting checkpoints.
fn migrate_legacy(
    map: &EntryMap,
    buckets: &mut BTreeMap<u16, Vec<Record>>,
    entries: &mut Vec<Entry>,
) -> Vec<Horizon> {
    for (fingerprint, revision) in legacy::requests(map) {
        let records =
            buckets.entry(fingerprint.bucket).or_insert_with(|| bucket(map, fingerprint.bucket));
        records.push(Record::new(&fingerprint, revision));
        records.sort_by_key(|record| record.revision);
    }
    entries.extend(legacy::removals(map));
    let evicted = horizon(map);
    let mut checkpoints = checkpoints(map);
    checkpoints.retain(|checkpoint| checkpoint.revision > evicted.revision);
    checkpoints.insert(0, evicted);
    checkpoints
}

/// Adds a checkpoint if one is due, and drops the first ones as long as the remaining ones
/// cover enough requests.
fn advance_checkpoints(checkpoints: &mut Vec<Horizon>, revision: u64, edition: u64) {
    let last = checkpoints.last().map_or(0, |checkpoint| checkpoint.revision);
    if revision < last + CHECKPOINT_INTERVAL {
        return;
    }
    if checkpoints.is_empty() {
        checkpoints.push(Horizon::default());
    }
    checkpoints.push(Horizon { revision, edition });
    let is_droppable = |checkpoint: &Horizon| checkpoint.revision + MIN_REQUESTS_KEPT <= revision;
    let first = checkpoints.iter().rposition(is_droppable).unwrap_or(0);
    checkpoints.drain(..first);
}

/// Returns the entry that replaces a bucket, if its contents changed.
fn rewritten_bucket(map: &EntryMap, number: u16, records: &[Record]) -> Option<Entry> {
    let key = bucket_key(number);
    let bytes: Vec<u8> = records.iter().flat_map(record_bytes).collect();
    let old = map.get(&key).map_or(&[][..], Vec::as_slice);
    (old != bytes).then(|| (key, (!bytes.is_empty()).then_some(bytes)))
}

/// Returns the checkpoints: revisions with the editions at that time, the horizon first.
fn checkpoints(map: &EntryMap) -> Vec<Horizon> {
    let bytes = map.get(CHECKPOINTS_KEY).map_or(&[][..], Vec::as_slice);
    let checkpoint = |bytes: &[u8]| {
        let (revision, edition) = bytes.split_at(NUMBER_BYTES);
        Horizon { revision: to_u64(revision), edition: to_u64(edition) }
    };
    bytes.chunks_exact(CHECKPOINT_BYTES).map(checkpoint).collect()
}

fn checkpoint_bytes(checkpoints: &[Horizon]) -> Vec<u8> {
    checkpoints
        .iter()
        .flat_map(|m| [m.revision.to_le_bytes(), m.edition.to_le_bytes()])
        .flatten()
        .collect()
}
