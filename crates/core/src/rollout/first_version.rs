//! The version of a service that the platform's list named first.
//!
//! The leader of the service's partition records it in the same change as the first leafs that
//! have a version, so whoever knows such a leaf knows the version too. It never changes: from
//! then on the service moves by rollouts alone. Where most leafs have none when the first with a
//! version come, what is recorded is that: those that come later wait for an order.

use std::collections::BTreeMap;

use crate::config::stored::{Entry, with_prefix};
use crate::protocol::replica::EntryMap;
use crate::snapshot::leafs::LeafInfo;

/// Key prefix of first versions within a partition of services; the service's name follows.
const VERSION: &str = "version/";

/// The recorded first versions, by service.
pub fn first_versions(entries: &EntryMap) -> impl Iterator<Item = (&str, &str)> {
    let text = |value| std::str::from_utf8(value).ok();
    with_prefix(entries, VERSION).filter_map(move |(service, value)| Some((service, text(value)?)))
}

/// The entries that record the first version of each service which has none recorded, once the
/// list tells versions of its leafs: the one that most have, the first by name of several.
pub fn missing_first_versions<'a>(
    entries: &EntryMap,
    leafs: impl Iterator<Item = &'a LeafInfo>,
) -> Vec<Entry> {
    let mut counts: BTreeMap<&str, BTreeMap<&str, usize>> = BTreeMap::new();
    for leaf in leafs {
        let of_service = counts.entry(&leaf.service).or_default();
        *of_service.entry(leaf.version()).or_default() += 1;
    }
    let has_versions = |counts: &BTreeMap<&str, usize>| counts.keys().any(|v| !v.is_empty());
    let told = counts.into_iter().filter(|(_, counts)| has_versions(counts));
    told.map(|(service, counts)| (key(service), counts))
        .filter(|(key, _)| !entries.contains_key(key))
        .filter_map(|(key, counts)| Some((key, most_frequent(&counts)?)))
        .map(|(key, version)| (key, Some(version.as_bytes().to_vec())))
        .collect()
}

fn key(service: &str) -> String {
    format!("{VERSION}{service}")
}

/// The version with the highest count, the first by name of several.
fn most_frequent<'a>(counts: &BTreeMap<&'a str, usize>) -> Option<&'a str> {
    let highest = counts.values().max()?;
    counts.iter().find(|(_, count)| *count == highest).map(|(version, _)| *version)
}
