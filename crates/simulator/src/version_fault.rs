//! Faults of a version of the leafs' software.

use grebepath_core::random::Random;
use grebepath_core::time::{Span, Tick, since};
use serde_json::Value;

/// The fault of a version.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionFault {
    /// No fault.
    Sound,
    /// Some of its answers are broken.
    Errors(PerMille),
    /// The same, from some time after the leaf's start on.
    Late(PerMille, Span),
    /// The same, from this many concurrent attempts on.
    UnderLoad(PerMille, u32),
    /// The same, for one search only.
    OneSearch(PerMille, String),
    /// Some of its answers take this many times as long.
    Slow(PerMille, u64),
}

/// A share of all answers, in thousandths.
pub type PerMille = u64;

impl VersionFault {
    /// Reads the fault of a scenario's action; `None` if its name is unknown.
    pub fn read(parameters: &Value) -> Option<VersionFault> {
        let number = |key: &str, default: u64| parameters[key].as_u64().unwrap_or(default);
        let per_mille = number("per_mille", 400);
        Some(match parameters["how"].as_str().unwrap_or("sound") {
            "sound" => VersionFault::Sound,
            "errors" => VersionFault::Errors(per_mille),
            "late" => {
                VersionFault::Late(per_mille, grebepath_core::time::ms(number("after_ms", 3_000)))
            }
            "under-load" => VersionFault::UnderLoad(per_mille, number("load", 3) as u32),
            "one-search" => {
                let search = parameters["search"].as_str().unwrap_or("browse");
                VersionFault::OneSearch(per_mille, search.to_string())
            }
            "slow" => VersionFault::Slow(per_mille, number("times", 8)),
            _ => return None,
        })
    }

    /// Returns whether it is a fault.
    pub fn is_bad(&self) -> bool {
        *self != VersionFault::Sound
    }

    /// Draws whether an answer is broken.
    pub fn breaks_answer(
        &self,
        now: Tick,
        started_at: Tick,
        in_progress: u32,
        search: &str,
        random: &mut Random,
    ) -> bool {
        let per_mille = match self {
            VersionFault::Errors(per_mille) => *per_mille,
            VersionFault::Late(per_mille, after) if since(started_at, now) >= *after => *per_mille,
            VersionFault::UnderLoad(per_mille, load) if in_progress >= *load => *per_mille,
            VersionFault::OneSearch(per_mille, name) if name == search => *per_mille,
            _ => return false,
        };
        random.chance(per_mille, 1_000)
    }

    /// Draws the factor by which an answer takes longer.
    pub fn slow_down(&self, random: &mut Random) -> u64 {
        match self {
            VersionFault::Slow(per_mille, times) if random.chance(*per_mille, 1_000) => *times,
            _ => 1,
        }
    }
}
