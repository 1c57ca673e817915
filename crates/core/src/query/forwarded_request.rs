//! Calls that are handed over unchanged, and what comes back of them.

use std::sync::Arc;

use crate::http_api::leaf::LeafReply;
use crate::time::Span;

/// A call as it came: nothing of it is changed on the way to a leaf.
#[derive(Clone, Debug, Default)]
pub struct ForwardedRequest {
    /// The caller's own id of this call.
    pub id: String,
    pub method: String,
    pub host: String,
    /// The path without its query, by which the mapping is found.
    pub path: String,
    /// Path and query, as they came.
    pub path_and_query: String,
    /// The heads that go on to the leaf.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
    /// How long the caller waits, if it says so.
    pub timeout: Option<Span>,
}

/// Parts of several shards, joined.
///
/// Invariants: `stamps` holds one stamp for each shard that is in and names
/// none twice; `body` holds the greatest records of just these parts.
#[derive(Clone, Debug)]
pub struct MergedReply {
    pub id: String,
    pub postmarks: Vec<String>,
    pub missing: usize,
    pub body: Vec<u8>,
}

/// One leaf's answer, to be given back as it is.
#[derive(Clone, Debug)]
pub struct ForwardedReply {
    pub id: String,
    pub reply: Arc<LeafReply>,
}

/// The greatest `top` records of `width` bytes in all parts, falling. What is
/// left at the end of a part and shorter than a record is none.
pub fn join(parts: &[&[u8]], width: usize, top: usize) -> Vec<u8> {
    let mut all: Vec<&[u8]> = parts.iter().flat_map(|p| p.chunks_exact(width)).collect();
    if all.len() > top && top > 0 {
        all.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
        all.truncate(top);
    }
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.truncate(top);
    all.concat()
}
