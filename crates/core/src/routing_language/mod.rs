//! The language for the plans of searches, and its compiler.
//!
//! ```text
//! from index = "notices" and cut = "w48" by shard   // selects pools, and the label of their shard
//! send wide                                         // or: send one by key, send one by weight
//! wait 40%                                          // hedge after this share of the remaining time
//! stop at quorum after 80%                          // after this share, a quorum of shards suffices
//! prefer local                                      // or: prefer any
//! ```
//!
//! Stages are separated by line breaks or `;`. `from` and `send` are required; the others have
//! defaults.

pub mod compile;
pub mod lexer;
pub mod parser;
pub mod selector;
pub mod syntax_error;
