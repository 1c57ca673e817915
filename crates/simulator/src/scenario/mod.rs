//! Scenarios: what a run is made of. They are read from JSON (`read`), applied to
//! the world step by step (`apply`), and played (`play`).

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

/// A scenario.
#[derive(Clone)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long it lasts (s).
    pub seconds: u64,
    /// Queriers (count).
    pub queriers: usize,
    /// Multiplies the spec's rates of calls.
    pub factor: f64,
    /// The mock backends and callers.
    pub spec: Spec,
    /// The configuration that the fleet begins with.
    pub config: Value,
    /// What happens, at which time.
    pub faults: Vec<ScheduledFault>,
    /// Whether leafs tell their age.
    pub ages: bool,
    /// Time from the wish that a querier stops until it rejects calls, if the scenario says so.
    pub drain_notice: Option<Span>,
    /// Whether leafs tell that they leave.
    pub tells_leaving: bool,
    /// How the control plane is set up.
    pub control_plane: world::ControlPlaneSetup,
}

/// A fault, or another action, at its time.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// When, since the scenario began (ms).
    pub at_ms: u64,
    /// The word that names the action.
    pub action: String,
    /// The fields of the action.
    pub parameters: Value,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.action, self.parameters)
    }
}
