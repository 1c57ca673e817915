//! I/O that the programs share: settings, time, connections, disks, HTTP and logs. All decisions
//! are made in `grebepath-core`.

pub mod clock;
pub mod connections;
pub mod disk;
pub mod forwarding_server;
pub mod http;
pub mod leaf_connections;
pub mod log_buffer;
pub mod peer_connection;
pub mod platform_api;
pub mod reload;
pub mod settings;
pub mod stop;
