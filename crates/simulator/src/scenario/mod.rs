//! Scenarios: what a run is made of. They are read from JSON (`read`), applied to
//! the world step by step (`apply`), and played (`play`).

use std::fmt;

use serde_json::Value;

use crate::spec::Spec;
use crate::world;

mod apply;
mod play;
mod read;
mod values;

pub use play::{play, play_traced, play_weighed, play_with_faults};
pub use read::{generated_fault, read};

/// A whole scenario.
#[derive(Clone)]
pub struct Scenario {
    pub name: String,
    pub seconds: u64,
    pub queriers: usize,
    /// Times the spec's rates of calls.
    pub factor: f64,
    pub spec: Spec,
    pub config: Value,
    pub faults: Vec<ScheduledFault>,
    /// Whether leafs tell their age.
    pub ages: bool,
    pub control_plane: world::ControlPlaneSetup,
}

/// One trouble, at its time.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    pub at_ms: u64,
    pub action: String,
    pub parameters: Value,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.action, self.parameters)
    }
}
