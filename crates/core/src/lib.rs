//! The state machines of grebepath, without I/O.
//!
//! Each state machine is a plain struct with a function
//! `step(state, now, event) -> commands`. The daemons run these functions on sockets and disks,
//! the tests and the `simulator` on a virtual clock.

// Not all public items have a doc comment yet (issue 20).
#![allow(missing_docs)]

pub mod command;
pub mod config;
pub mod consts;
pub mod control_plane;
pub mod diagnostic;
pub mod digest;
pub mod http_api;
pub mod identifiers;
pub mod membership;
pub mod protocol;
pub mod query;
pub mod quorum;
pub mod random;
pub mod replication;
pub mod rollout;
pub mod routing_language;
pub mod snapshot;
pub mod storage;
pub mod time;
pub mod voter_set;
pub mod voters;
