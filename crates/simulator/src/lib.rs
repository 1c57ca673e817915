//! A whole fleet under a virtual clock: the daemons' own `step` functions
//! with seeded net, disks, leafs, list, callers and operators.

pub mod backs;
pub mod chaos;
pub mod check;
pub mod explore;
pub mod hollow;
pub mod linearizability;
pub mod net;
pub mod oracle;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod spec;
pub mod vdisk;
pub mod world;
