//! Library of the test tools and the process tests: mock back ends with a log of what they
//! ran, callers that check answers, relays, and a cluster of real processes.

// Some public items have no doc comment yet (issue 20).
#![allow(missing_docs)]

pub mod callers;
pub mod control_listener;
pub mod delaying_relay;
pub mod foreign;
pub mod local_cluster;
pub mod mock_backends;
pub mod redirects;
pub mod relay;
