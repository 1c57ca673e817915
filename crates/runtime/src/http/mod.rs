//! An HTTP client for small requests, and servers with a limit on open connections.

pub mod client;
pub mod server;
