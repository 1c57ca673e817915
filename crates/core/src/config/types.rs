//! The configuration types. `prost` defines their stored form.

use std::collections::BTreeMap;

/// Priority class of a search; under overload, queries of lower classes are rejected first.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum PriorityClass {
    /// The default class, rejected first.
    Ordinary = 0,
    /// A lookup by key, rejected after ordinary searches.
    Lookup = 1,
    /// Rejected last.
    Urgent = 2,
}

/// A search: its timeout and quality goals, and the plan by which queries are distributed.
///
/// Invariants once accepted: `quorum` is 1..=1000, `attempts` 1..=100,
/// `timeout_ms` above zero, and `plan` compiles against the pools.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SearchConfig {
    /// The name by which callers and operators refer to it.
    #[prost(string, tag = "1")]
    pub name: String,
    /// A [`PriorityClass`].
    #[prost(enumeration = "PriorityClass", tag = "2")]
    pub class: i32,
    /// Time within which callers get an answer or a rejection, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub timeout_ms: u64,
    /// Required share of the planned shards, in thousandths.
    #[prost(uint32, tag = "4")]
    pub quorum: u32,
    /// Maximum number of attempts for one shard of one query.
    #[prost(uint32, tag = "5")]
    pub attempts: u32,
    /// The plan, written in the routing language.
    #[prost(string, tag = "6")]
    pub plan: String,
    /// Host of the calls that are routed here; empty if the search is called by name.
    #[prost(string, tag = "7")]
    pub host: String,
    /// Path prefix of these calls; the search with the longest matching prefix is used.
    #[prost(string, tag = "8")]
    pub path: String,
    /// A [`ServingMode`].
    #[prost(enumeration = "ServingMode", tag = "9")]
    pub serving_mode: i32,
    /// Whether a call must not be executed more than once.
    #[prost(bool, tag = "10")]
    pub at_most_once: bool,
    /// Latency target in milliseconds: a later answer is worth less. Zero if not set.
    #[prost(uint64, tag = "11")]
    pub latency_target_ms: u64,
    /// Priority among searches of one class, the lowest first.
    #[prost(uint32, tag = "12")]
    pub rank: u32,
    /// Size of one record where shard results are merged by bytes.
    #[prost(uint32, tag = "13")]
    pub record_bytes: u32,
    /// Maximum number of records of a merged answer.
    #[prost(uint32, tag = "14")]
    pub max_records: u32,
    /// Weight of each shard if the plan selects one by weight.
    #[prost(btree_map = "string, uint32", tag = "15")]
    pub weights: BTreeMap<String, u32>,
    /// The JSON that the operator sent, returned unchanged on reads.
    #[prost(string, tag = "16")]
    pub original_json: String,
    /// Its index in the list that the operator sent.
    #[prost(uint32, tag = "17")]
    pub list_index: u32,
    /// Pools that must exist for it.
    #[prost(string, repeated, tag = "18")]
    pub required_pools: Vec<String>,
}

/// How the calls of a search are forwarded and its answers composed.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ServingMode {
    /// By grebepath's own protocol for queries and records.
    Native = 0,
    /// Calls are forwarded unchanged, and one leaf's answer is returned unchanged.
    PassThrough = 1,
    /// Calls are forwarded unchanged, and the records of the shard results are merged by bytes.
    Join = 2,
}

/// How attempts are distributed over the leafs of a pool.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum BalancingMode {
    /// The capacity of each leaf is divided over all threads of all queriers, so that their sum
    /// never exceeds it.
    Partitioned = 0,
    /// By observed load: attempts in flight, load reports of the leafs, rejections.
    LoadAware = 1,
}

/// Settings of the configuration as a whole: the edition and the client limits. A limit of zero
/// means the built-in default.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClientLimits {
    /// The operator's own version number, which increases with each change that sets one.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// Maximum size of the head of a call, in bytes.
    #[prost(uint64, tag = "2")]
    pub head_max: u64,
    /// Maximum size of the body of a call, in bytes.
    #[prost(uint64, tag = "3")]
    pub body_max: u64,
    /// Time in which the head of a call must arrive, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub head_wait_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub idle_ms: u64,
    /// The JSON that the operator sent beside the lists, returned unchanged on reads.
    #[prost(string, tag = "6")]
    pub original_json: String,
}

/// Header of a change: the edition that it builds on, and the edition and limits that it sets.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct ChangeHeader {
    /// The edition that it builds on, if given.
    pub after: Option<u64>,
    /// The edition that it sets, if given.
    pub edition: Option<u64>,
    /// The client limits that it sets, if given.
    pub client_limits: Option<ClientLimits>,
}

/// A pool: leafs of one service of the platform, with labels for plans.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoolConfig {
    /// The name by which searches and operators refer to it.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The service that its leafs belong to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Selects among the service's leafs by the leafs' own labels.
    #[prost(string, tag = "3")]
    pub selector: String,
    /// Labels by which plans select the pool.
    #[prost(btree_map = "string, string", tag = "4")]
    pub labels: BTreeMap<String, String>,
    /// Concurrent attempts that a warm leaf accepts from all nodes together.
    #[prost(uint32, tag = "5")]
    pub leaf_capacity: u32,
    /// Time after which a newly started leaf has its full capacity, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub slow_start_ms: u32,
    /// A [`BalancingMode`].
    #[prost(enumeration = "BalancingMode", tag = "7")]
    pub balancing: i32,
    /// Maximum number of connections to a leaf from all nodes; zero if not set.
    #[prost(uint32, tag = "8")]
    pub connections: u32,
    /// Attempts per second that a cold leaf accepts, in thousandths.
    #[prost(uint32, tag = "9")]
    pub cold_leaf_rate_milli: u32,
    /// The JSON that the operator sent, returned unchanged on reads.
    #[prost(string, tag = "10")]
    pub original_json: String,
    /// Its index in the list that the operator sent.
    #[prost(uint32, tag = "11")]
    pub list_index: u32,
}

/// A zone and whether it is drained.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ZoneConfig {
    /// The zone's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether its leafs receive no new attempts.
    #[prost(bool, tag = "2")]
    pub drained: bool,
}

/// A full configuration: its objects by name.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct Config {
    /// The searches.
    pub searches: BTreeMap<String, SearchConfig>,
    /// The pools.
    pub pools: BTreeMap<String, PoolConfig>,
    /// The zones that an operator has configured.
    pub zones: BTreeMap<String, ZoneConfig>,
    /// The edition and the client limits.
    pub client_limits: ClientLimits,
    /// Header of the change that contained this configuration; not stored.
    pub change_header: ChangeHeader,
    /// Whether a full configuration keeps the current zones; not stored.
    pub keep_zones: bool,
}

/// A partial configuration: objects to set and names to remove.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct Patch {
    /// Objects to set, and the header of the change.
    pub set: Config,
    /// Names of searches to remove.
    pub drop_searches: Vec<String>,
    /// Names of pools to remove.
    pub drop_pools: Vec<String>,
    /// Names of zones to remove.
    pub drop_zones: Vec<String>,
}
