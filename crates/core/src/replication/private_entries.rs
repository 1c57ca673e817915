//! Entries of a partition that only its replicas need. They are replicated like all others, but
//! are sent neither to subscribers of the feed nor to operators.

use crate::protocol::replica::EntryMap;

/// Key prefix of the entries that record accepted operator requests.
pub const ORDER_PREFIX: &str = "order/";
/// Key prefix of such entries in the older format.
pub const OLDER_ORDER_PREFIX: &str = "request/";

/// Returns whether only replicas may see the entry of this key.
pub fn is_private(key: &str) -> bool {
    key.starts_with(ORDER_PREFIX) || key.starts_with(OLDER_ORDER_PREFIX)
}

/// Returns the entries without the private ones.
pub fn public_entries(entries: &EntryMap) -> EntryMap {
    let public = entries.iter().filter(|(key, _)| !is_private(key));
    public.map(|(key, value)| (key.clone(), value.clone())).collect()
}
