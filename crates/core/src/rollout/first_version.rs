//! The first version of a service: the one in force until a rollout delivers another.
//!
//! The leader of the service's partition records it in the same change as the first leafs that
//! have a version, so a node that knows such a leaf also knows the version. It never changes:
//! after that only rollouts change the version in force. If most leafs have no version at that
//! time, the empty version is recorded, and leafs with a version get no requests until a rollout
//! is ordered.

use std::collections::BTreeMap;

use crate::config::stored::{Entry, with_prefix};
use crate::protocol::replica::EntryMap;
use crate::snapshot::leafs::LeafInfo;

/// Key prefix of first versions in a partition of services, followed by the service's name.
const VERSION_KEY_PREFIX: &str = "version/";

/// Returns the recorded first versions with their services.
pub fn first_versions(entries: &EntryMap) -> impl Iterator<Item = (&str, &str)> {
    let text = |value| std::str::from_utf8(value).ok();
    with_prefix(entries, VERSION_KEY_PREFIX)
        .filter_map(move |(service, value)| Some((service, text(value)?)))
}

/// Returns the entries that record the first version of each service that has none recorded and
/// at least one leaf with a version. The first version is the most frequent one among the
/// service's leafs; ties go to the first by name.
pub fn missing_first_versions<'a>(
    entries: &EntryMap,
    leafs: impl Iterator<Item = &'a LeafInfo>,
) -> Vec<Entry> {
    let mut counts: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
    for leaf in leafs {
        let service_counts = counts.entry(&leaf.service).or_default();
        *service_counts.entry(leaf.version()).or_default() += 1;
    }
    let has_versions = |counts: &BTreeMap<&str, usize>| counts.keys().any(|v| !v.is_empty());
    let versioned = counts.into_iter().filter(|(_, counts)| has_versions(counts));
    versioned
        .map(|(service, counts)| (key(service), counts))
        .filter(|(key, _)| !entries.contains_key(key))
        .filter_map(|(key, counts)| Some((key, most_frequent(&counts)?)))
        .map(|(key, version)| (key, Some(version.as_bytes().to_vec())))
        .collect()
}

fn key(service: &str) -> String {
    format!("{VERSION_KEY_PREFIX}{service}")
}

/// Returns the version with the highest count; ties go to the first by name.
fn most_frequent<'a>(counts: &BTreeMap<&'a str, usize>) -> Option<&'a str> {
    let highest = counts.values().max()?;
    counts.iter().find(|(_, count)| *count == highest).map(|(version, _)| *version)
}
