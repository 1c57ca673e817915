//! Entries of a partition that only its replicas need: they are replicated like all
//! others, but neither subscribers of the feed nor operators get them.

use crate::protocol::replica::EntryMap;

/// Prefix of the entries that remember accepted orders.
pub const ORDER_PREFIX: &str = "order/";
/// Prefix of the entries of the older form of that memory.
pub const OLDER_ORDER_PREFIX: &str = "request/";

/// Whether an entry is for replicas alone.
pub fn is_private(key: &str) -> bool {
    key.starts_with(ORDER_PREFIX) || key.starts_with(OLDER_ORDER_PREFIX)
}

/// The entries without those that are for replicas alone.
pub fn public_entries(entries: &EntryMap) -> EntryMap {
    let public = entries.iter().filter(|(key, _)| !is_private(key));
    public.map(|(key, value)| (key.clone(), value.clone())).collect()
}
