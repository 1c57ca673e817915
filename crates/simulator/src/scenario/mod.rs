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

pub use apply::befall;
pub use play::{play, play_deviating, play_traced, play_weighed};
pub use read::{drawn, read};

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
    pub troubles: Vec<Trouble>,
    /// Whether leafs tell their age.
    pub ages: bool,
    pub core: world::Cores,
}

/// One trouble, at its time.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub at_ms: u64,
    pub what: String,
    pub val: Value,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.what, self.val)
    }
}
