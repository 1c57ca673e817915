//! The configuration's types. `prost` gives each its stored form.

use std::collections::BTreeMap;

/// How urgent a search is; under overload the less urgent are rejected first.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum PriorityClass {
    /// Neither of the others.
    Ordinary = 0,
    /// A lookup by key, before ordinary searches.
    Lookup = 1,
    /// Rejected last.
    Urgent = 2,
}

/// A search: a promise to callers, and the plan that keeps it.
///
/// Invariants once accepted: `quorum` is 1..=1000, `attempts` 1..=100,
/// `timeout_ms` above zero, and `plan` compiles against the pools.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SearchConfig {
    /// The name by which callers and operators know it.
    #[prost(string, tag = "1")]
    pub name: String,
    /// A [`PriorityClass`].
    #[prost(enumeration = "PriorityClass", tag = "2")]
    pub class: i32,
    /// Time within which callers are promised an outcome, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub timeout_ms: u64,
    /// Required share of the planned shards, in thousandths.
    #[prost(uint32, tag = "4")]
    pub quorum: u32,
    /// Most dispatches for one shard of one query.
    #[prost(uint32, tag = "5")]
    pub attempts: u32,
    /// The plan, a text of the routing language.
    #[prost(string, tag = "6")]
    pub plan: String,
    /// Host of the calls that come here; empty if it is called by name.
    #[prost(string, tag = "7")]
    pub host: String,
    /// Path that such calls begin with; the longest that fits is taken.
    #[prost(string, tag = "8")]
    pub path: String,
    /// A [`ServingMode`].
    #[prost(enumeration = "ServingMode", tag = "9")]
    pub serving_mode: i32,
    /// A call may run at most once.
    #[prost(bool, tag = "10")]
    pub at_most_once: bool,
    /// Time within which an answer has its full value, in milliseconds; zero if not said.
    #[prost(uint64, tag = "11")]
    pub latency_target_ms: u64,
    /// Order among searches of one class, the lowest first.
    #[prost(uint32, tag = "12")]
    pub rank: u32,
    /// Bytes of one record where parts are joined by bytes.
    #[prost(uint32, tag = "13")]
    pub record_bytes: u32,
    /// Most records of a joined answer.
    #[prost(uint32, tag = "14")]
    pub max_records: u32,
    /// Weight of each shard where one is drawn by weight.
    #[prost(btree_map = "string, uint32", tag = "15")]
    pub weights: BTreeMap<String, u32>,
    /// What the operator wrote, given back as it was.
    #[prost(string, tag = "16")]
    pub original_json: String,
    /// Its index in the list that the operator wrote.
    #[prost(uint32, tag = "17")]
    pub list_index: u32,
    /// Pools that must be there for it.
    #[prost(string, repeated, tag = "18")]
    pub required_pools: Vec<String>,
}

/// How the calls and answers of a search are treated.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ServingMode {
    /// By our own protocol: our queries, our records.
    Native = 0,
    /// Handed over unchanged; one leaf's answer goes back unchanged.
    PassThrough = 1,
    /// Handed over unchanged; the parts' records are joined by their bytes.
    Join = 2,
}

/// How dispatches are spread over the leafs of a pool.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum BalancingMode {
    /// The slots of each leaf are divided over all threads of all queriers, a
    /// sum that is never exceeded.
    Partitioned = 0,
    /// By observed load: dispatches in flight, what leafs report, rejections.
    LoadAware = 1,
}

/// What holds for the whole configuration: the edition and limits for clients.
/// Zero stands for the program's own default.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClientLimits {
    /// The operators' own number; rises with each change that names one.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// Most bytes of a call's header.
    #[prost(uint64, tag = "2")]
    pub head_max: u64,
    /// Most bytes of a call's body.
    #[prost(uint64, tag = "3")]
    pub body_max: u64,
    /// How long a call's header may take to arrive, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub head_wait_ms: u64,
    /// How long a connection may idle, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub idle_ms: u64,
    /// What the operator wrote beside the lists, given back as it was.
    #[prost(string, tag = "6")]
    pub original_json: String,
}

/// What a change says of itself: what it builds on and what it sets.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct ChangeHeader {
    /// The edition that it builds on, if it says so.
    pub after: Option<u64>,
    /// The edition that it makes, if it says so.
    pub edition: Option<u64>,
    /// The limits for clients, if it sets them.
    pub client_limits: Option<ClientLimits>,
}

/// A pool: the leafs of one service of the platform, labelled.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoolConfig {
    /// The name by which searches and operators know it.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The service whose leafs it takes.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Chooses among the service's leafs by the leafs' own labels.
    #[prost(string, tag = "3")]
    pub selector: String,
    /// Labels by which plans choose the pool.
    #[prost(btree_map = "string, string", tag = "4")]
    pub labels: BTreeMap<String, String>,
    /// Dispatches a warm leaf bears at once, over all nodes.
    #[prost(uint32, tag = "5")]
    pub leaf_capacity: u32,
    /// Time that a fresh leaf takes to bear all of that, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub slow_start_ms: u32,
    /// A [`BalancingMode`].
    #[prost(enumeration = "BalancingMode", tag = "7")]
    pub balancing: i32,
    /// Most connections that a leaf takes from all nodes; zero if not said.
    #[prost(uint32, tag = "8")]
    pub connections: u32,
    /// Thousandths of a dispatch that a cold leaf bears a second.
    #[prost(uint32, tag = "9")]
    pub cold_rate: u32,
    /// What the operator wrote, given back as it was.
    #[prost(string, tag = "10")]
    pub original_json: String,
    /// Its index in the list that the operator wrote.
    #[prost(uint32, tag = "11")]
    pub list_index: u32,
}

/// A zone and whether it is drained.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ZoneConfig {
    /// The zone's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its leafs get no new work.
    #[prost(bool, tag = "2")]
    pub drained: bool,
}

/// A whole configuration, by name of each object.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct Config {
    /// The searches.
    pub searches: BTreeMap<String, SearchConfig>,
    /// The pools.
    pub pools: BTreeMap<String, PoolConfig>,
    /// The zones that an operator has said something of.
    pub zones: BTreeMap<String, ZoneConfig>,
    /// The edition and limits for clients.
    pub client_limits: ClientLimits,
    /// Not stored: what the change that brought this builds on.
    pub change_header: ChangeHeader,
    /// Not stored: a whole configuration leaves the zones as they are.
    pub keep_zones: bool,
}

/// A partial configuration: objects to set and names to remove.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct Patch {
    /// Objects to set, and what the change says of itself.
    pub set: Config,
    /// Names of searches to remove.
    pub drop_searches: Vec<String>,
    /// Names of pools to remove.
    pub drop_pools: Vec<String>,
    /// Names of zones to remove.
    pub drop_zones: Vec<String>,
}
