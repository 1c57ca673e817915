//! The configuration as entries of its partition, with one entry per object.

use std::collections::BTreeMap;
use std::ops::Bound::{Included, Unbounded};

use prost::Message;

use super::types::{ClientLimits, Config};

/// A changed entry of a partition: its key and the new value, or `None` if it is removed.
pub type Entry = (String, Option<Vec<u8>>);

const SEARCH: &str = "search/";
const POOL: &str = "pool/";
const ZONE: &str = "zone/";
const TERMS: &str = "terms";

/// An entry of the stored configuration that can't be read.
#[derive(Clone, PartialEq, Debug, thiserror::Error)]
#[error("entry {key} can't be read")]
pub struct EntryError {
    /// The entry's key.
    pub key: String,
    /// Why its value can't be read.
    pub source: prost::DecodeError,
}

impl Config {
    /// Returns the entries of the full configuration.
    pub fn to_entries(&self) -> BTreeMap<String, Vec<u8>> {
        let mut entries = BTreeMap::new();
        for (name, search) in &self.searches {
            entries.insert(format!("{SEARCH}{name}"), search.encode_to_vec());
        }
        for (name, pool) in &self.pools {
            entries.insert(format!("{POOL}{name}"), pool.encode_to_vec());
        }
        for (name, zone) in &self.zones {
            entries.insert(format!("{ZONE}{name}"), zone.encode_to_vec());
        }
        if self.client_limits != ClientLimits::default() {
            entries.insert(TERMS.into(), self.client_limits.encode_to_vec());
        }
        entries
    }

    /// Reads the configuration from the entries of a partition and ignores other entries.
    /// Fails at the first entry that can't be read.
    pub fn from_entries(map: &BTreeMap<String, Vec<u8>>) -> Result<Config, EntryError> {
        let mut config = Config::default();
        for (name, value) in with_prefix(map, POOL) {
            config.pools.insert(name.into(), decoded(POOL, name, value)?);
        }
        for (name, value) in with_prefix(map, SEARCH) {
            config.searches.insert(name.into(), decoded(SEARCH, name, value)?);
        }
        if let Some(value) = map.get(TERMS) {
            config.client_limits = decoded(TERMS, "", value)?;
        }
        for (name, value) in with_prefix(map, ZONE) {
            config.zones.insert(name.into(), decoded(ZONE, name, value)?);
        }
        Ok(config)
    }
}

/// Returns the entries whose keys begin with `prefix`, without the prefix. Other entries of the
/// map are not visited.
pub fn with_prefix<'a>(
    map: &'a BTreeMap<String, Vec<u8>>,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a str, &'a Vec<u8>)> {
    map.range::<str, _>((Included(prefix), Unbounded))
        .map_while(move |(key, value)| Some((key.strip_prefix(prefix)?, value)))
}

fn decoded<T: Message + Default>(prefix: &str, name: &str, value: &[u8]) -> Result<T, EntryError> {
    T::decode(value).map_err(|source| EntryError { key: format!("{prefix}{name}"), source })
}

/// Returns the edition in force; zero if its entry is missing or can't be read.
pub fn edition(map: &BTreeMap<String, Vec<u8>>) -> u64 {
    let client_limits =
        map.get(TERMS).and_then(|value| ClientLimits::decode(value.as_slice()).ok());
    client_limits.map_or(0, |client_limits| client_limits.edition)
}
