//! What a querier knows of the world: the checked configuration and the leafs.

pub mod cluster_view;
pub mod leafs;
