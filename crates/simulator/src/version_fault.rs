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
        let part = number("per_mille", 400);
        Some(match parameters["how"].as_str().unwrap_or("sound") {
            "sound" => VersionFault::Sound,
            "errors" => VersionFault::Errors(part),
            "late" => VersionFault::Late(part, grebepath_core::time::ms(number("after_ms", 3_000))),
            "under-load" => VersionFault::UnderLoad(part, number("load", 3) as u32),
            "one-search" => {
                let search = parameters["search"].as_str().unwrap_or("browse");
                VersionFault::OneSearch(part, search.to_string())
            }
            "slow" => VersionFault::Slow(part, number("times", 8)),
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
        born: Tick,
        in_progress: u32,
        search: &str,
        random: &mut Random,
    ) -> bool {
        let part = match self {
            VersionFault::Errors(part) => *part,
            VersionFault::Late(part, after) if since(born, now) >= *after => *part,
            VersionFault::UnderLoad(part, load) if in_progress >= *load => *part,
            VersionFault::OneSearch(part, name) if name == search => *part,
            _ => return false,
        };
        random.chance(part, 1_000)
    }

    /// Draws the factor by which an answer takes longer.
    pub fn slow_down(&self, random: &mut Random) -> u64 {
        match self {
            VersionFault::Slow(part, times) if random.chance(*part, 1_000) => *times,
            _ => 1,
        }
    }
}
