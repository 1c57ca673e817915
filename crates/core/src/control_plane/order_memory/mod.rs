//! The memory of accepted orders: what makes it safe to send one again.
//!
//! Each accepted order leaves a record of fixed size in the map of the
//! configuration's partition, so the memory is replicated, synced and part of
//! every snapshot like the configuration itself. The functions here are pure:
//! they read the map and give the entries that change it.
//!
//! Records lie in buckets, chosen by the digest of the request id. A lookup
//! reads one bucket, an accepted order rewrites one or two, and nothing walks
//! the whole memory.
//!
//! Each accepted order raises the partition's revision by one, and next to nothing
//! else does, so the memory goes by revisions: it keeps the orders of the last
//! [`ORDERS_KEPT`] revisions at least. What may be older than that is told by
//! the [`Horizon`], and an order that may lie beyond it gets no clear answer.

mod legacy;
mod record;

use std::collections::BTreeMap;

use crate::config::stored::{Entry, edition};
use crate::protocol::replica::EntryMap;
use record::{BUCKETS, NUMBER_BYTES, Record, bucket, bucket_key, number, record_bytes};
pub use record::{Fingerprint, Horizon, OrderBase, Recall, fingerprint};

/// Orders that are remembered at least (count): two days of 7,200 changes
/// each, and an eighth more.
pub const ORDERS_KEPT: u64 = 16_384;
/// Orders from one mark to the next (count): the memory reaches up to this
/// much further back than it must, and the list of marks stays short.
const MARK_SPACING: u64 = 1_024;

/// Key of the marks.
const MARKS: &str = "order/marks";
/// Bytes of one mark: revision, edition.
const MARK_BYTES: usize = 2 * NUMBER_BYTES;

/// What the memory says of an order that came under this request id.
pub fn recall(map: &EntryMap, request: &str, order: &Fingerprint) -> Recall {
    let records = bucket(map, order.bucket);
    match records.iter().rev().find(|record| record.has_request_of(order)) {
        Some(record) if record.has_text_of(order) => Recall::Accepted { revision: record.revision },
        Some(_) => Recall::OtherText,
        None => legacy::recall(map, request, order),
    }
}

/// How far back the memory may have gaps.
pub fn horizon(map: &EntryMap) -> Horizon {
    let marked = marks(map).first().copied().unwrap_or_default();
    let older = legacy::horizon(map, edition(map));
    if older.revision > marked.revision { older } else { marked }
}

/// Whether an order that is not remembered may have been accepted all the same.
///
/// An order is accepted only where its base stands, and leaves a higher
/// revision and the edition that it names. Neither ever falls. So one that
/// builds on, or makes, something newer than the horizon is not beyond it.
pub fn may_be_forgotten(horizon: &Horizon, base: &OrderBase) -> bool {
    let never = matches!((base.edition, base.next_edition), (Some(on), Some(next)) if next <= on);
    horizon.revision > 0
        && !never
        && base.revision.is_none_or(|on| on < horizon.revision)
        && base.edition.is_none_or(|on| on <= horizon.edition)
        && base.next_edition.is_none_or(|next| next <= horizon.edition)
}

/// The entries that remember an order accepted as `revision`, after which
/// `next_edition` stands. They also forget what is older than needed, and carry
/// over what a state of the older form remembers.
pub fn remember(
    map: &EntryMap,
    order: &Fingerprint,
    revision: u64,
    next_edition: u64,
) -> Vec<Entry> {
    let mut entries = Vec::new();
    let mut buckets: BTreeMap<u16, Vec<Record>> = BTreeMap::new();
    let (old_marks, mut new_marks) = (marks(map), marks(map));
    if legacy::present(map) {
        new_marks = carry_over(map, &mut buckets, &mut entries);
    }
    advance(&mut new_marks, revision, next_edition);
    if new_marks != old_marks {
        entries.push((MARKS.to_string(), Some(marks_bytes(&new_marks))));
    }
    let sweep = (revision % BUCKETS) as u16;
    buckets.entry(sweep).or_insert_with(|| bucket(map, sweep));
    let own = buckets.entry(order.bucket).or_insert_with(|| bucket(map, order.bucket));
    own.push(Record::new(order, revision));
    let gone = new_marks.first().map_or(0, |mark| mark.revision);
    for (number, mut records) in buckets {
        records.retain(|record| record.revision > gone);
        entries.extend(rewritten(map, number, &records));
    }
    entries
}

/// Takes the orders of the older form into `buckets` and removes their
/// entries; gives the marks that hold from then on.
fn carry_over(
    map: &EntryMap,
    buckets: &mut BTreeMap<u16, Vec<Record>>,
    entries: &mut Vec<Entry>,
) -> Vec<Horizon> {
    for (order, revision) in legacy::orders(map) {
        let records = buckets.entry(order.bucket).or_insert_with(|| bucket(map, order.bucket));
        records.push(Record::new(&order, revision));
        records.sort_by_key(|record| record.revision);
    }
    entries.extend(legacy::removed(map));
    let gone = horizon(map);
    let mut marks = marks(map);
    marks.retain(|mark| mark.revision > gone.revision);
    marks.insert(0, gone);
    marks
}

/// Sets a mark where one is due and drops the first as long as the next one
/// leaves enough orders remembered.
fn advance(marks: &mut Vec<Horizon>, revision: u64, edition: u64) {
    let last = marks.last().map_or(0, |mark| mark.revision);
    if revision < last + MARK_SPACING {
        return;
    }
    if marks.is_empty() {
        marks.push(Horizon::default());
    }
    marks.push(Horizon { revision, edition });
    let spare = |mark: &Horizon| mark.revision + ORDERS_KEPT <= revision;
    let first = marks.iter().rposition(spare).unwrap_or(0);
    marks.drain(..first);
}

/// The entry that puts a bucket in place of the one that stands, if it differs.
fn rewritten(map: &EntryMap, number: u16, records: &[Record]) -> Option<Entry> {
    let key = bucket_key(number);
    let bytes: Vec<u8> = records.iter().flat_map(record_bytes).collect();
    let old = map.get(&key).map_or(&[][..], Vec::as_slice);
    (old != bytes).then(|| (key, (!bytes.is_empty()).then_some(bytes)))
}

/// Revisions with the editions that stood then, the horizon first.
fn marks(map: &EntryMap) -> Vec<Horizon> {
    let bytes = map.get(MARKS).map_or(&[][..], Vec::as_slice);
    let mark = |bytes: &[u8]| {
        let (revision, edition) = bytes.split_at(NUMBER_BYTES);
        Horizon { revision: number(revision), edition: number(edition) }
    };
    bytes.chunks_exact(MARK_BYTES).map(mark).collect()
}

fn marks_bytes(marks: &[Horizon]) -> Vec<u8> {
    marks
        .iter()
        .flat_map(|m| [m.revision.to_le_bytes(), m.edition.to_le_bytes()])
        .flatten()
        .collect()
}
