//! What the stand-ins, the fleet runner and the tests share: the leafs' own
//! records as an oracle, and a fleet of real processes.

// Not all public items have their comment yet (issue 20).
#![allow(missing_docs)]

pub mod callers;
pub mod control_listener;
pub mod delaying_relay;
pub mod foreign;
pub mod local_cluster;
pub mod mock_backends;
pub mod redirects;
pub mod relay;
