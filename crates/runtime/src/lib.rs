//! What the programs share of the outside world: params, threads, connections,
//! disks, doors for HTTP, the log ring. The deciding is done in `grebe`.

pub mod clock;
pub mod connections;
pub mod dialect;
pub mod disk;
pub mod forwarding_server;
pub mod http;
pub mod leaf_connections;
pub mod log_buffer;
pub mod peer_connection;
pub mod reload;
pub mod settings;
pub mod stop;
