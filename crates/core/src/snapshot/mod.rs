//! A querier's snapshot of the cluster: the validated configuration and the leafs.

pub mod cluster_view;
pub mod leafs;
