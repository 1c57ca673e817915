//! One attempt: a planned shard's question on its way to a leaf.

use crate::time::Tick;

/// One dispatch: tied to a query, a planned shard and a leaf.
pub struct Dispatch {
    pub query: u64,
    pub slot: usize,
    pub leaf: String,
    pub service: String,
    pub id: String,
    pub at: Tick,
    /// It belongs to a call that is handed over.
    pub handed: bool,
}
