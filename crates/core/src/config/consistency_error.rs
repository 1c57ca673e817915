//! Inconsistencies between the objects of a configuration.

/// An inconsistency between objects of a configuration whose fields are all valid by
/// themselves. The diagnostic that carries the error has its location.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ConsistencyError {
    /// A search has a timeout of zero.
    #[error("must be above zero")]
    ZeroTimeout,
    /// A search requires a pool that does not exist.
    #[error("there is no pool `{pool}`")]
    UnknownPool {
        /// The pool that is required.
        pool: String,
    },
    /// Two searches have the same host and path.
    #[error("`{other}` has the same host and path")]
    SameHostAndPath {
        /// The search that was listed first.
        other: String,
    },
    /// A plan selects a pool without the label that names its shard.
    #[error("pool `{pool}` is chosen but has no label `{label}`")]
    ShardLabelMissing {
        /// The selected pool.
        pool: String,
        /// The label whose values are the shards' names.
        label: String,
    },
    /// The leafs of one service would hold two shards.
    #[error("service `{service}` stands under two shards, `{first}` and `{second}`")]
    ServiceInTwoShards {
        /// The service of both pools.
        service: String,
        /// The shard of the first pool.
        first: String,
        /// The shard of the second pool.
        second: String,
    },
    /// The pools that a plan selects hold different versions of the index.
    #[error("the chosen pools hold more than one cut: {}", quoted(.versions))]
    SeveralIndexVersions {
        /// All versions that the selected pools hold.
        versions: Vec<String>,
    },
    /// A plan selects no pool.
    #[error("no pool is chosen: a mapping needs at least one shard")]
    NoPoolChosen,
    /// A plan selects a shard by weights that are all zero.
    #[error("the weights of the chosen shards add up to nothing")]
    NoWeight,
}

fn quoted(names: &[String]) -> String {
    names.iter().map(|name| format!("`{name}`")).collect::<Vec<_>>().join(", ")
}
