//! The querier's owner of queries: plan, dispatch, coverage check, merge,
//! outcome, as explicit states and without I/O.

pub mod again;
pub mod ask;
pub mod choose;
pub mod cold;
pub mod cover;
pub mod desk;
pub mod hand;
pub mod leaf;
pub mod merge;
pub mod parcel;
pub mod quota;
pub mod rule;
pub mod seen;
pub mod share;
pub mod step;
pub mod waits;
pub mod wires;
