//! Leafs as listed by the platform, and their stored form.

use std::collections::BTreeMap;

use crate::protocol::message_shapes::LEAF_INFO;
use crate::protocol::shape::decode;
use crate::routing_language::selector::Labels;

/// A leaf. `leaf` is its identity, which is new at each start.
#[derive(Clone, PartialEq, Debug, nanoserde::DeBin, nanoserde::SerBin)]
pub struct LeafInfo {
    /// Identity, new at each start.
    pub leaf: String,
    /// Name of the service that the leaf belongs to.
    pub service: String,
    /// IP address and port.
    pub addr: String,
    /// Labels that the selectors of pools match.
    pub labels: Labels,
    /// The leaf shuts down and gets no new work.
    pub leaving: bool,
    /// Minimum age of the leaf (ms): its age as reported at the last health check.
    pub age_ms: u64,
    /// Number of attempts that the leaf runs at once, if listed; else zero.
    pub slots: u32,
    /// The leaf is still warming up, according to the list.
    pub cold: bool,
}

/// Label with the version of a leaf's software.
pub const VERSION_LABEL: &str = "version";

/// Key prefix of leafs in a partition of services, followed by the leaf's identity.
pub const LEAF_KEY_PREFIX: &str = "leaf/";

/// Returns the key of a leaf in its partition.
pub fn key(leaf: &str) -> String {
    format!("{LEAF_KEY_PREFIX}{leaf}")
}

impl LeafInfo {
    /// Returns the zone of the leaf, empty if it has none.
    pub fn zone(&self) -> &str {
        self.labels.get("zone").map_or("", String::as_str)
    }

    /// Returns the version of the leaf's software, empty if it is not listed.
    pub fn version(&self) -> &str {
        self.labels.get(VERSION_LABEL).map_or("", String::as_str)
    }
}

/// Returns the leafs stored in a map by identity; entries that can't be decoded are skipped.
pub fn leafs_in(map: &BTreeMap<String, Vec<u8>>) -> BTreeMap<String, LeafInfo> {
    map.iter()
        .filter(|(k, _)| k.starts_with(LEAF_KEY_PREFIX))
        .filter_map(|(_, v)| decode::<LeafInfo>(&LEAF_INFO, v).ok())
        .map(|l| (l.leaf.clone(), l))
        .collect()
}
