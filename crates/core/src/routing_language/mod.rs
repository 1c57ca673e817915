//! The small language for routes and policies, and its compiler.
//!
//! ```text
//! from index = "notices" and cut = "w48" by shard   // which pools, cut into shards by which label
//! send wide                                         // or: send one by key, send one by weight
//! wait 40%                                          // share of what is left before a second try
//! stop at quorum after 80%                          // answer with less once this much is spent
//! prefer local                                      // or: prefer any
//! ```
//!
//! Stages are separated by line ends or `;`. `from` and `send` must stand;
//! the others have defaults.

pub mod compile;
pub mod lexer;
pub mod parser;
pub mod selector;
pub mod syntax_error;
