//! What is noted of a restart of everything, after which service must recover.

use std::collections::BTreeMap;

use grebepath_core::time::Tick;

/// A restart of everything, and the calls that began from 12 to 15 s after it:
/// how many of each kind, and how many of them were answered in full.
#[derive(Default)]
pub struct RestartCheck {
    /// When, since the run began.
    pub at: Tick,
    /// Calls by kind.
    pub made: BTreeMap<String, u64>,
    /// Calls by kind that were answered in full.
    pub full: BTreeMap<String, u64>,
    /// When the first full answer of each kind was given.
    pub first: BTreeMap<String, Tick>,
    /// A change that an operator asks for after the restart, and when it was
    /// accepted.
    pub order: Option<usize>,
    /// When that change was accepted.
    pub accepted: Option<Tick>,
    /// Something else happened to the fleet before it had to recover: then the
    /// end of all faults is judged, not this.
    pub disturbed: bool,
}
