//! HTTP by library: a client for small requests, and servers with a bound on their
//! connections.

pub mod client;
pub mod server;
