//! The configuration's types. `prost` gives each its stored form.

use std::collections::BTreeMap;

/// How urgent a search is; the bounce order under overload follows it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Class {
    Ordinary = 0,
    Lookup = 1,
    Urgent = 2,
}

/// A search: a promise to callers, and the plan that keeps it.
///
/// Invariants once accepted: `quorum` is 1..=1000, `attempts` 1..=10,
/// `promise_ms` above zero, and `plan` compiles against the pools.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Search {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(enumeration = "Class", tag = "2")]
    pub class: i32,
    /// Time within which callers are promised an outcome.
    #[prost(uint64, tag = "3")]
    pub promise_ms: u64,
    /// Required share of the planned shards, in thousandths.
    #[prost(uint32, tag = "4")]
    pub quorum: u32,
    /// Most dispatches for one shard of one query.
    #[prost(uint32, tag = "5")]
    pub attempts: u32,
    #[prost(string, tag = "6")]
    pub plan: String,
}

/// A pool: the leafs of one service of the platform, labelled.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pool {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub service: String,
    /// Chooses among the service's leafs by the leafs' own labels.
    #[prost(string, tag = "3")]
    pub selector: String,
    #[prost(btree_map = "string, string", tag = "4")]
    pub labels: BTreeMap<String, String>,
    /// Dispatches a warm leaf bears at once, over all nodes.
    #[prost(uint32, tag = "5")]
    pub bears: u32,
    /// Time a fresh leaf takes to bear all of that.
    #[prost(uint32, tag = "6")]
    pub ramp_ms: u32,
}

/// A zone and whether it is emptied.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Zone {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(bool, tag = "2")]
    pub drained: bool,
}

/// A whole configuration, by name of each object.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct Config {
    pub searches: BTreeMap<String, Search>,
    pub pools: BTreeMap<String, Pool>,
    pub zones: BTreeMap<String, Zone>,
}

/// A partial configuration: objects to set and names to remove.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct Patch {
    pub set: Config,
    pub drop_searches: Vec<String>,
    pub drop_pools: Vec<String>,
    pub drop_zones: Vec<String>,
}
