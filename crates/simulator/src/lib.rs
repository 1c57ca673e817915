//! Simulates a cluster under a virtual clock: the state machines of the daemons
//! with a seeded network, disks, leafs, list, callers and operators.

// Not all public items have a doc comment yet (issue 20).
#![allow(missing_docs)]

pub mod chaos;
pub mod check;
pub mod connection_id;
pub mod controller_start;
pub mod event_queue;
pub mod explore;
pub mod files;
pub mod linearizability;
pub mod mock_backends;
pub mod net;
pub mod oracle;
pub mod report;
mod restart_check;
pub mod rollout_rules;
pub mod rules;
pub mod scale_model;
pub mod scenario;
pub mod simulated_disk;
pub mod spec;
pub mod version_fault;
pub mod world;
