//! Names that travel through the whole system.

use std::fmt;

/// Which part of the state: 0 is the configuration, the others hold services.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, nanoserde::DeBin, nanoserde::SerBin,
)]
pub struct PartId(pub u32);

/// The part that holds the operators' configuration.
pub const CONFIG: PartId = PartId(0);

/// The cohort's state, where it stands in a list of places as if it were a part.
pub const COHORT: PartId = PartId(u32::MAX);
/// A place beyond all: who stands there is shown how far we are, and no news.
pub const BEYOND: u64 = u64::MAX;

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => write!(f, "config"),
            n => write!(f, "services-{n}"),
        }
    }
}

impl fmt::Debug for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// The part that holds a service's leafs.
pub fn part_of(service: &str) -> PartId {
    let n = u64::from(crate::consts::SERVICE_PARTS);
    PartId(1 + (crate::digest::hash(service) % n) as u32)
}

/// Every part of the state.
pub fn parts() -> impl Iterator<Item = PartId> {
    (0..=crate::consts::SERVICE_PARTS).map(PartId)
}

/// One of the places of a replica group: an index into the table of the seats.
pub type Seat = u8;
