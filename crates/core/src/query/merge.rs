//! Merges the records of several shards, in an order that is the same on every node.

use std::cmp::Ordering;

use crate::query::request::Record;

/// Compares records, the best first: by descending score, then by id, then by shard.
pub fn compare_records(a: &Record, b: &Record) -> Ordering {
    b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)).then_with(|| a.shard.cmp(&b.shard))
}

/// Returns the best `limit` records of lists that are each sorted by `compare_records`.
pub fn merge(mut lists: Vec<Vec<Record>>, limit: usize) -> Vec<Record> {
    for list in &mut lists {
        list.reverse();
    }
    let mut out = Vec::new();
    while out.len() < limit {
        let best = (0..lists.len()).filter(|i| !lists[*i].is_empty()).min_by(|a, b| {
            compare_records(&lists[*a][lists[*a].len() - 1], &lists[*b][lists[*b].len() - 1])
        });
        match best.and_then(|i| lists[i].pop()) {
            Some(record) => out.push(record),
            None => break,
        }
    }
    out
}
