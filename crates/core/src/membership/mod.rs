//! The node agent of a querier: its update stream, its lease, its membership, its assignments,
//! and whether it may serve while the controllers are out of reach. No I/O.
//!
//! [`node_agent::NodeAgent::step`] handles one event and returns the commands for the process
//! that drives it.

pub mod assignments;
pub mod attestation;
pub mod feed;
pub mod feed_sources;
pub mod gossip;
pub mod leaf_reports;
pub mod lease;
pub mod lease_renewal;
pub mod neighbour_ring;
pub mod node_agent;
pub mod peer;
pub mod pending_report;
pub mod proofs;
pub mod rollout_votes;
mod status;
pub mod step;
pub mod updates;
