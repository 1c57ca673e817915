//! The order of records, the same on every node, and the merge.

use std::cmp::Ordering;

use crate::query::request::Record;

/// Best first: higher score, then the smaller id, then the smaller shard.
pub fn order(a: &Record, b: &Record) -> Ordering {
    b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)).then_with(|| a.shard.cmp(&b.shard))
}

/// The best `limit` records of lists that are each in order.
pub fn merge(mut lists: Vec<Vec<Record>>, limit: usize) -> Vec<Record> {
    for list in &mut lists {
        list.reverse();
    }
    let mut out = Vec::new();
    while out.len() < limit {
        let best = (0..lists.len())
            .filter(|i| !lists[*i].is_empty())
            .min_by(|a, b| order(&lists[*a][lists[*a].len() - 1], &lists[*b][lists[*b].len() - 1]));
        match best.and_then(|i| lists[i].pop()) {
            Some(rec) => out.push(rec),
            None => break,
        }
    }
    out
}
