//! Replication of a partition among the voters.
//!
//! `partition` holds the state of one partition at one voter, `leader` what a leader
//! knows beside. The other modules are what a voter does with them: `replica` (it
//! accepts), `election`, `replicate` (it leads), `catch_up`, `disk_writes`, `commit`.
//! `messages` takes what the other voters send to these.

pub mod catch_up;
pub mod commit;
pub mod disk_writes;
pub mod election;
pub mod heartbeat_rounds;
pub mod leader;
pub mod messages;
pub mod operations;
pub mod partition;
pub mod pending_operations;
pub mod private_entries;
pub mod replica;
pub mod replicate;
pub mod timing;
pub mod waiting_changes;
