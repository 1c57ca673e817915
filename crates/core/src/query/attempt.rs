//! One attempt: a planned shard's question on its way to a leaf.

use crate::time::Tick;

/// One dispatch: tied to a query, a planned shard and a leaf.
pub struct Attempt {
    pub query: u64,
    pub shard: usize,
    pub leaf: String,
    pub service: String,
    pub id: String,
    pub sent_at: Tick,
    /// It belongs to a call that is handed over.
    pub forwarded: bool,
}
