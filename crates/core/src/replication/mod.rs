//! Replication of a partition among the voters: replica, leader, election, catch-up.

pub mod catch_up;
pub mod election;
pub mod heartbeat_rounds;
pub mod leader;
pub mod partition;
pub mod pending_operations;
pub mod replica;
