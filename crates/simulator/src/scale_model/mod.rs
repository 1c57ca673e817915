//! The scale model: the daemons' own state machines at the size to design for, without
//! callers and without threads. Every message is written and read in its real
//! form, so what it costs is counted, not guessed.
//!
//! Time is virtual and a seed replays a run. Only processor time and the
//! process's memory differ between two runs of the same seed.

pub mod cli;
pub mod fan_out;
pub mod measure;
pub mod memory;
pub mod meter;
pub mod report;
pub mod step;
pub mod topology;
pub mod world;
