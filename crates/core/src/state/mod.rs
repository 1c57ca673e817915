//! The controller's leader: parts and their replica groups, the feed, the
//! members and the operators' requests, all as one `step` without I/O.

pub mod acceptance;
pub mod core;
pub mod election;
pub mod feed;
pub mod forgotten_members;
pub mod heartbeat_rounds;
pub mod leader;
pub mod leafs;
pub mod members;
pub mod membership_log;
pub mod operate;
pub mod operation_forwarding;
pub mod order_memory;
pub mod order_memory_legacy;
pub mod part;
pub mod pending_operations;
pub mod recovery;
pub mod replica;
pub mod retirement;
pub mod step;
