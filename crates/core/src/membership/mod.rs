//! A querier's place among the others: the news it follows, its lease, its
//! membership, its duties, and whether it is cut off. No I/O.

pub mod assignments;
pub mod attestation;
pub mod feed;
pub mod neighbour_ring;
pub mod node_agent;
pub mod status;
pub mod step;
pub mod updates;
