//! The configuration as entries of its part, and changes between versions.

use std::collections::BTreeMap;
use std::ops::Bound::{Included, Unbounded};

use prost::Message;

use super::types::{Config, Patch, Terms};

/// An entry of a part: a new value, or `None` where it is removed.
pub type Entry = (String, Option<Vec<u8>>);

const SEARCH: &str = "search/";
const POOL: &str = "pool/";
const ZONE: &str = "zone/";
const TERMS: &str = "terms";

/// The entries of a whole configuration.
pub fn entries(conf: &Config) -> BTreeMap<String, Vec<u8>> {
    let mut out = BTreeMap::new();
    for (name, s) in &conf.searches {
        out.insert(format!("{SEARCH}{name}"), s.encode_to_vec());
    }
    for (name, p) in &conf.pools {
        out.insert(format!("{POOL}{name}"), p.encode_to_vec());
    }
    for (name, z) in &conf.zones {
        out.insert(format!("{ZONE}{name}"), z.encode_to_vec());
    }
    if conf.terms != Terms::default() {
        out.insert(TERMS.into(), conf.terms.encode_to_vec());
    }
    out
}

/// The entries whose keys begin with `prefix`, with what follows it. What else
/// lies in the map is not walked.
pub fn with_prefix<'a>(
    map: &'a BTreeMap<String, Vec<u8>>,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a str, &'a Vec<u8>)> {
    map.range::<str, _>((Included(prefix), Unbounded))
        .map_while(move |(key, value)| Some((key.strip_prefix(prefix)?, value)))
}

/// The configuration that lies in a part; other entries are passed over.
/// Fails with the key of an entry that can't be read.
pub fn config(map: &BTreeMap<String, Vec<u8>>) -> Result<Config, String> {
    let mut out = Config::default();
    for (name, value) in with_prefix(map, POOL) {
        out.pools.insert(name.into(), decoded(POOL, name, value)?);
    }
    for (name, value) in with_prefix(map, SEARCH) {
        out.searches.insert(name.into(), decoded(SEARCH, name, value)?);
    }
    if let Some(value) = map.get(TERMS) {
        out.terms = decoded(TERMS, "", value)?;
    }
    for (name, value) in with_prefix(map, ZONE) {
        out.zones.insert(name.into(), decoded(ZONE, name, value)?);
    }
    Ok(out)
}

fn decoded<T: Message + Default>(prefix: &str, name: &str, value: &[u8]) -> Result<T, String> {
    T::decode(value).map_err(|_| format!("entry {prefix}{name} can't be read"))
}

/// The edition that stands; zero if the terms can't be read.
pub fn edition(map: &BTreeMap<String, Vec<u8>>) -> u64 {
    let terms = map.get(TERMS).and_then(|value| Terms::decode(value.as_slice()).ok());
    terms.map_or(0, |terms| terms.edition)
}

/// What `patch` makes of `conf`.
pub fn patched(mut conf: Config, patch: &Patch) -> Config {
    for name in &patch.drop_searches {
        conf.searches.remove(name);
    }
    for name in &patch.drop_pools {
        conf.pools.remove(name);
    }
    for name in &patch.drop_zones {
        conf.zones.remove(name);
    }
    // A replaced object keeps its place in the operators' list, a new one
    // goes behind all others.
    let mut last = conf.searches.values().map(|s| s.place + 1).max().unwrap_or(0);
    let mut new: Vec<_> = patch.set.searches.values().cloned().collect();
    new.sort_by_key(|s| s.place);
    for mut s in new {
        s.place = conf.searches.get(&s.name).map_or(last, |old| old.place);
        last = last.max(s.place + 1);
        conf.searches.insert(s.name.clone(), s);
    }
    let mut last = conf.pools.values().map(|p| p.place + 1).max().unwrap_or(0);
    let mut new: Vec<_> = patch.set.pools.values().cloned().collect();
    new.sort_by_key(|p| p.place);
    for mut p in new {
        p.place = conf.pools.get(&p.name).map_or(last, |old| old.place);
        last = last.max(p.place + 1);
        conf.pools.insert(p.name.clone(), p);
    }
    conf.zones.extend(patch.set.zones.clone());
    conf.turn = patch.set.turn.clone();
    turned(conf)
}

/// A whole configuration in place of `old`.
pub fn replaced(old: &Config, mut new: Config) -> Config {
    if new.keep_zones {
        new.zones = old.zones.clone();
    }
    new.terms = Terms { edition: old.terms.edition, ..Terms::default() };
    turned(new)
}

/// Applies what a change says of the terms.
fn turned(mut conf: Config) -> Config {
    if let Some(terms) = conf.turn.terms.take() {
        conf.terms = Terms { edition: conf.terms.edition, ..terms };
    }
    if let Some(edition) = conf.turn.edition {
        conf.terms.edition = edition;
    }
    conf
}

/// The entries that turn `old` into `new`.
pub fn changes(old: &Config, new: &Config) -> Vec<Entry> {
    let (old, new) = (entries(old), entries(new));
    let mut out: Vec<Entry> = Vec::new();
    for key in old.keys().filter(|k| !new.contains_key(*k)) {
        out.push((key.clone(), None));
    }
    for (key, val) in new {
        if old.get(&key) != Some(&val) {
            out.push((key, Some(val)));
        }
    }
    out
}
