//! The scale model: the daemons' state machines at the design size, without callers and threads.
//! Every message is encoded and decoded in its wire format, so that its cost is measured and not
//! estimated.
//!
//! Time is virtual, and a seed reproduces a run. Only CPU time and the process's memory differ
//! between two runs with the same seed.

pub mod cli;
pub mod fan_out;
pub mod measure;
pub mod memory;
pub mod meter;
pub mod report;
pub mod step;
pub mod topology;
pub mod world;
