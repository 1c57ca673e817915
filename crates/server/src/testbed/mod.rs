//! What the stand-ins, the fleet runner and the tests share: the leafs' own
//! records as an oracle, and a fleet of real processes.

pub mod backs;
pub mod callers;
pub mod control;
pub mod fleet;
pub mod foreign;
pub mod relay;
