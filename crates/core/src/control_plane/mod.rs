//! The control plane: configuration, endpoints, members and operators' requests on
//! top of the replicated partitions, all as one `step` without I/O.

pub mod acceptance;
pub mod controller;
pub mod endpoints;
pub mod feed;
pub mod forgotten_members;
pub mod members;
pub mod membership_log;
pub mod operation_forwarding;
pub mod operations;
pub mod order_memory;
pub mod retirement;
pub mod step;
