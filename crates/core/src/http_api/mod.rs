//! The outside formats, one module each: a change of what callers, leafs,
//! the platform's list or operators send touches its module and nothing else.

pub mod caller;
pub mod leaf;
pub mod list;
pub mod operator;
pub mod rollout;
