//! Replication of a partition among the voters.
//!
//! The protocol follows Raft. `partition` holds the replica of one partition at one voter, and
//! `leader` the additional state of a leader. The handlers are in `replica` (follower),
//! `election`, `replicate` (leader), `heartbeat_rounds`, `catch_up`, `disk_writes` and `commit`;
//! `messages` routes the messages of other voters to them. `pending_operations` and
//! `waiting_changes` hold the operations of operators until the leader can respond.

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
