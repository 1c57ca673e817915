//! A leaf as the platform's list names it, and its stored form.

use std::collections::BTreeMap;

use nanoserde::DeBin;

use crate::routing_language::selector::Labels;

/// One leaf. `leaf` is its identity: a new start is a new identity.
#[derive(Clone, PartialEq, Debug, nanoserde::DeBin, nanoserde::SerBin)]
pub struct LeafInfo {
    pub leaf: String,
    pub service: String,
    pub addr: String,
    pub labels: Labels,
    pub leaving: bool,
    /// The leaf is at least this old: what it said when it was last probed.
    pub age_ms: u64,
    /// Dispatches it works on at once, if the list says so; else zero.
    pub slots: u32,
    /// The list says that it is cold.
    pub cold: bool,
}

/// Key prefix of leafs within a part of services.
pub const LEAF: &str = "leaf/";

/// Where a leaf lies within its part.
pub fn key(leaf: &str) -> String {
    format!("{LEAF}{leaf}")
}

/// The zone of a leaf, empty if it has none.
pub fn zone(info: &LeafInfo) -> &str {
    info.labels.get("zone").map_or("", String::as_str)
}

/// The leafs that a map holds; entries that can't be read are passed over.
pub fn leafs_in(map: &BTreeMap<String, Vec<u8>>) -> BTreeMap<String, LeafInfo> {
    map.iter()
        .filter(|(k, _)| k.starts_with(LEAF))
        .filter_map(|(_, v)| LeafInfo::deserialize_bin(v).ok())
        .map(|l| (l.leaf.clone(), l))
        .collect()
}
