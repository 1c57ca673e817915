//! A whole fleet under a virtual clock: the daemons' own `step` functions
//! with seeded net, disks, leafs, list, callers and operators.

pub mod chaos;
pub mod check;
pub mod explore;
pub mod files;
pub mod linearizability;
pub mod mock_backends;
pub mod net;
pub mod oracle;
pub mod report;
pub mod rules;
pub mod scale_model;
pub mod scenario;
pub mod simulated_disk;
pub mod spec;
pub mod world;
