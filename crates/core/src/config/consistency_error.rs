//! What can be wrong between the objects of a configuration.

/// A contradiction between the objects of a configuration whose fields are all
/// right. The place stands in the diagnostic that carries this.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ConsistencyError {
    /// A search promises an outcome within no time.
    #[error("must be above zero")]
    ZeroTimeout,
    /// A search needs a pool that is not there.
    #[error("there is no pool `{pool}`")]
    UnknownPool {
        /// The pool that is needed.
        pool: String,
    },
    /// Two searches are called by the same host and path.
    #[error("`{other}` has the same host and path")]
    SameHostAndPath {
        /// The search that came first.
        other: String,
    },
    /// A plan chooses a pool that does not say which shard it holds.
    #[error("pool `{pool}` is chosen but has no label `{label}`")]
    ShardLabelMissing {
        /// The pool that is chosen.
        pool: String,
        /// The label whose values are the shards' names.
        label: String,
    },
    /// The leafs of one service would hold two shards.
    #[error("service `{service}` stands under two shards, `{first}` and `{second}`")]
    ServiceInTwoShards {
        /// The service of both pools.
        service: String,
        /// The shard of the pool that came first.
        first: String,
        /// The shard of the other pool.
        second: String,
    },
    /// The pools that a plan chooses hold different versions of the index.
    #[error("the chosen pools hold more than one cut: {}", quoted(.versions))]
    SeveralIndexVersions {
        /// All versions that the chosen pools hold.
        versions: Vec<String>,
    },
    /// A plan chooses nothing.
    #[error("no pool is chosen: a mapping needs at least one shard")]
    NoPoolChosen,
    /// A plan draws a shard by weights that are all zero.
    #[error("the weights of the chosen shards add up to nothing")]
    NoWeight,
}

fn quoted(names: &[String]) -> String {
    names.iter().map(|name| format!("`{name}`")).collect::<Vec<_>>().join(", ")
}
