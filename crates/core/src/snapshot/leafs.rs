//! A leaf as the platform's list names it, and its stored form.

use std::collections::BTreeMap;

use crate::protocol::message_shapes::LEAF_INFO;
use crate::protocol::shape::decode;
use crate::routing_language::selector::Labels;

/// One leaf. `leaf` is its identity: a new start is a new identity.
#[derive(Clone, PartialEq, Debug, nanoserde::DeBin, nanoserde::SerBin)]
pub struct LeafInfo {
    /// Identity, new at each start.
    pub leaf: String,
    /// The service that it belongs to.
    pub service: String,
    /// IP address and port.
    pub addr: String,
    /// Labels by which pools choose it.
    pub labels: Labels,
    /// It shuts down and gets no new work.
    pub leaving: bool,
    /// The leaf is at least this old, in milliseconds: its own word at the last
    /// health check.
    pub age_ms: u64,
    /// Dispatches it works on at once, if the list says so; else zero.
    pub slots: u32,
    /// The list says that it is cold.
    pub cold: bool,
}

/// Label that holds the version of a leaf's software, if the list tells it.
pub const VERSION_LABEL: &str = "version";

/// Key prefix of leafs within a part of services.
pub const LEAF_KEY_PREFIX: &str = "leaf/";

/// Where a leaf lies within its part.
pub fn key(leaf: &str) -> String {
    format!("{LEAF_KEY_PREFIX}{leaf}")
}

impl LeafInfo {
    /// The zone of the leaf, empty if it has none.
    pub fn zone(&self) -> &str {
        self.labels.get("zone").map_or("", String::as_str)
    }

    /// The version of the leaf's software, empty if the list does not tell it.
    pub fn version(&self) -> &str {
        self.labels.get(VERSION_LABEL).map_or("", String::as_str)
    }
}

/// The leafs that a map holds; entries that can't be read are passed over.
pub fn leafs_in(map: &BTreeMap<String, Vec<u8>>) -> BTreeMap<String, LeafInfo> {
    map.iter()
        .filter(|(k, _)| k.starts_with(LEAF_KEY_PREFIX))
        .filter_map(|(_, v)| decode::<LeafInfo>(&LEAF_INFO, v).ok())
        .map(|l| (l.leaf.clone(), l))
        .collect()
}
