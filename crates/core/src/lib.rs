//! grebepath's logic: everything that decides, and nothing that does I/O.
//!
//! Each owner is a plain struct with one free function
//! `step(state, now, event) -> commands`. The daemons drive these functions
//! with sockets and disks, the tests and `simulator` with a virtual clock.

pub mod cohort;
pub mod config;
pub mod consts;
pub mod digest;
pub mod disk;
pub mod edge;
pub mod lang;
pub mod luck;
pub mod names;
pub mod query;
pub mod quorum;
pub mod seats;
pub mod state;
pub mod time;
pub mod view;
pub mod wire;
