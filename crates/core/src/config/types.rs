//! The configuration's types. `prost` gives each its stored form.

use std::collections::BTreeMap;

/// How urgent a search is; the bounce order under overload follows it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum PriorityClass {
    Ordinary = 0,
    Lookup = 1,
    Urgent = 2,
}

/// A search: a promise to callers, and the plan that keeps it.
///
/// Invariants once accepted: `quorum` is 1..=1000, `attempts` 1..=10,
/// `promise_ms` above zero, and `plan` compiles against the pools.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SearchConfig {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(enumeration = "PriorityClass", tag = "2")]
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
    /// Host of the calls that come here; empty if it is called by name.
    #[prost(string, tag = "7")]
    pub host: String,
    /// Path that such calls begin with; the longest that fits is taken.
    #[prost(string, tag = "8")]
    pub path: String,
    #[prost(enumeration = "ServingMode", tag = "9")]
    pub form: i32,
    /// A call may run at most once.
    #[prost(bool, tag = "10")]
    pub once: bool,
    /// Time within which an answer has its full worth; zero if not said.
    #[prost(uint64, tag = "11")]
    pub target_ms: u64,
    /// Order among searches of one class, the lowest first.
    #[prost(uint32, tag = "12")]
    pub rank: u32,
    /// Bytes of one record where parts are joined by bytes.
    #[prost(uint32, tag = "13")]
    pub width: u32,
    /// Records of a joined answer.
    #[prost(uint32, tag = "14")]
    pub top: u32,
    /// Weight of each shard where one is drawn by weight.
    #[prost(btree_map = "string, uint32", tag = "15")]
    pub weights: BTreeMap<String, u32>,
    /// What the operator wrote, given back as it was, and its place.
    #[prost(string, tag = "16")]
    pub origin: String,
    #[prost(uint32, tag = "17")]
    pub place: u32,
    /// Pools that must be there for it.
    #[prost(string, repeated, tag = "18")]
    pub needs: Vec<String>,
}

/// What a search's questions and answers are to us.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ServingMode {
    /// Our own: a question of ours, records of ours.
    Native = 0,
    /// Handed over unchanged; one leaf's answer goes back unchanged.
    PassThrough = 1,
    /// Handed over unchanged; the parts' records are joined by their bytes.
    Join = 2,
}

/// How the leafs of a pool are spared.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum BalancingMode {
    /// Places are divided over all threads: a hard sum.
    Partitioned = 0,
    /// By what is seen: dispatches in hand, what leafs say, work turned away.
    LoadAware = 1,
}

/// What holds for the whole configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClientLimits {
    /// The operators' own number; rises with each change that names one.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// Most bytes of a call's head and body; how long a head may take and a
    /// connection may idle. Zero: our own default.
    #[prost(uint64, tag = "2")]
    pub head_max: u64,
    #[prost(uint64, tag = "3")]
    pub body_max: u64,
    #[prost(uint64, tag = "4")]
    pub head_wait_ms: u64,
    #[prost(uint64, tag = "5")]
    pub idle_ms: u64,
    /// What the operator wrote beside the lists, given back as it was.
    #[prost(string, tag = "6")]
    pub origin: String,
}

/// The terms of a change: what it builds on and what it sets.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct ChangeHeader {
    /// The edition that it builds on, if it says so.
    pub after: Option<u64>,
    pub edition: Option<u64>,
    /// All other terms, if it sets them.
    pub terms: Option<ClientLimits>,
}

/// A pool: the leafs of one service of the platform, labelled.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoolConfig {
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
    #[prost(enumeration = "BalancingMode", tag = "7")]
    pub steer: i32,
    /// Most connections that a leaf takes from all nodes; zero if not said.
    #[prost(uint32, tag = "8")]
    pub connections: u32,
    /// Thousandths of a dispatch that a cold leaf bears a second.
    #[prost(uint32, tag = "9")]
    pub cold_rate: u32,
    #[prost(string, tag = "10")]
    pub origin: String,
    #[prost(uint32, tag = "11")]
    pub place: u32,
}

/// A zone and whether it is emptied.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ZoneConfig {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(bool, tag = "2")]
    pub drained: bool,
}

/// A whole configuration, by name of each object.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct Config {
    pub searches: BTreeMap<String, SearchConfig>,
    pub pools: BTreeMap<String, PoolConfig>,
    pub zones: BTreeMap<String, ZoneConfig>,
    pub terms: ClientLimits,
    /// Not stored: what the change that brought this builds on.
    pub turn: ChangeHeader,
    /// Not stored: a whole configuration leaves the zones as they are.
    pub keep_zones: bool,
}

/// A partial configuration: objects to set and names to remove.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct Patch {
    pub set: Config,
    pub drop_searches: Vec<String>,
    pub drop_pools: Vec<String>,
    pub drop_zones: Vec<String>,
}
