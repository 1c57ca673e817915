//! The configuration as entries of its part, and changes between versions.

use std::collections::BTreeMap;

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

/// The configuration that lies in a part; other entries are passed over.
/// Fails with the key of an entry that can't be read.
pub fn config(map: &BTreeMap<String, Vec<u8>>) -> Result<Config, String> {
    let mut out = Config::default();
    for (key, val) in map {
        let bad = |_| format!("entry {key} can't be read");
        if let Some(name) = key.strip_prefix(SEARCH) {
            let val = Message::decode(val.as_slice()).map_err(bad)?;
            out.searches.insert(name.into(), val);
        } else if let Some(name) = key.strip_prefix(POOL) {
            out.pools.insert(name.into(), Message::decode(val.as_slice()).map_err(bad)?);
        } else if let Some(name) = key.strip_prefix(ZONE) {
            out.zones.insert(name.into(), Message::decode(val.as_slice()).map_err(bad)?);
        } else if key == TERMS {
            out.terms = Message::decode(val.as_slice()).map_err(bad)?;
        }
    }
    Ok(out)
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
