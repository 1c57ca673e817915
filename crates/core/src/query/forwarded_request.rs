//! Calls that are forwarded to leafs unchanged, and their replies.

use std::sync::Arc;

use crate::http_api::leaf::LeafReply;
use crate::time::Span;

/// A call as received: it is forwarded to leafs unchanged.
#[derive(Clone, Debug, Default)]
pub struct ForwardedRequest {
    /// The caller's own id of this call.
    pub id: String,
    pub method: String,
    pub host: String,
    /// The path without the query string, by which the route is found.
    pub path: String,
    /// Path and query string, as received.
    pub path_and_query: String,
    /// The headers that are forwarded to the leaf.
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
    /// How long the caller waits, if the call states it.
    pub timeout: Option<Span>,
}

/// The merged results of several shards.
///
/// Invariants: `postmarks` holds one postmark for each shard that answered, each of a different
/// shard; `body` holds the greatest records of exactly these shard results.
#[derive(Clone, Debug)]
pub struct MergedReply {
    pub id: String,
    pub postmarks: Vec<String>,
    pub missing: usize,
    pub body: Vec<u8>,
}

/// One leaf's reply, to be returned to the caller unchanged.
#[derive(Clone, Debug)]
pub struct ForwardedReply {
    pub id: String,
    pub reply: Arc<LeafReply>,
}

/// Returns the `top` greatest records of `width` bytes of all shard results, in descending
/// order. Trailing bytes of a result that are shorter than a record are ignored.
pub fn merge_records(results: &[&[u8]], width: usize, top: usize) -> Vec<u8> {
    let mut all: Vec<&[u8]> = results.iter().flat_map(|r| r.chunks_exact(width)).collect();
    if all.len() > top && top > 0 {
        all.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
        all.truncate(top);
    }
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.truncate(top);
    all.concat()
}
