//! Scenarios: the descriptions of runs. They are read from JSON (`read`), applied to
//! the world step by step (`apply`), and run (`play`).

use std::fmt;

use grebepath_core::time::Span;
use serde_json::Value;

use crate::spec::Spec;
use crate::world;

mod apply;
mod play;
mod read;
mod values;

pub use play::{play, play_counting_messages, play_traced, play_with_faults};
pub use read::{generated_fault, read};

/// The setup, load and faults of a run.
#[derive(Clone)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Its duration (s).
    pub seconds: u64,
    /// Queriers (count).
    pub queriers: usize,
    /// Multiplies the spec's rates of calls.
    pub factor: f64,
    /// The mock backends and callers.
    pub spec: Spec,
    /// The configuration at the start.
    pub config: Value,
    /// The faults and other actions, each with its time.
    pub faults: Vec<ScheduledFault>,
    /// Whether leafs report their age.
    pub reports_age: bool,
    /// Time from a querier's stop request until it rejects calls, if the scenario sets it.
    pub drain_notice: Option<Span>,
    /// Whether leafs report that they are leaving.
    pub reports_leaving: bool,
    /// How the control plane is set up.
    pub control_plane: world::ControlPlaneSetup,
}

/// A fault or another action, with its time.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// Time since the start of the scenario (ms).
    pub at_ms: u64,
    /// The action's name.
    pub action: String,
    /// The fields of the action.
    pub parameters: Value,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.action, self.parameters)
    }
}
