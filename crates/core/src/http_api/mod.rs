//! The external HTTP formats, with one module for each peer: callers, leafs, the platform's leaf
//! list and operators. A format change affects only its module.

pub mod caller;
pub mod leaf;
pub mod list;
pub mod operator;
pub mod rollout;
