//! The check of a restart of all processes, after which service must recover.

use std::collections::BTreeMap;

use grebepath_core::time::Tick;

/// A restart of all processes, and the calls that began from 12 to 15 s after it:
/// the number of each kind, and the number of complete answers.
#[derive(Default)]
pub struct RestartCheck {
    /// Time since the start of the run.
    pub at: Tick,
    /// Calls by kind.
    pub calls: BTreeMap<String, u64>,
    /// Completely answered calls by kind.
    pub complete_calls: BTreeMap<String, u64>,
    /// When the first complete answer of each kind arrived.
    pub first_complete: BTreeMap<String, Tick>,
    /// The number of the change that an operator requests after the restart.
    pub request: Option<usize>,
    /// When that change was accepted.
    pub accepted: Option<Tick>,
    /// Whether another fault occurred before the cluster had to recover: then the
    /// end of all faults is checked instead.
    pub disturbed: bool,
}
