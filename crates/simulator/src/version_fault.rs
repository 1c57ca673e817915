//! How a version of the leafs' software misbehaves.

use grebepath_core::random::Random;
use grebepath_core::time::{Span, Tick, since};
use serde_json::Value;

/// What is wrong with a version.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionFault {
    /// Nothing.
    Sound,
    /// Some of its answers are broken.
    Errors(PerMille),
    /// The same, from some time after its start on.
    Late(PerMille, Span),
    /// The same, while it works on so many at once.
    UnderLoad(PerMille, u32),
    /// The same, for one search alone.
    OneSearch(PerMille, String),
    /// Some of its answers take so many times as long.
    Slow(PerMille, u64),
}

/// A part of all answers, in thousandths.
pub type PerMille = u64;

impl VersionFault {
    /// The fault that an action of a scenario names; `None` if there is none of that name.
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

    /// Whether it is a fault at all.
    pub fn is_bad(&self) -> bool {
        *self != VersionFault::Sound
    }

    /// Whether an answer is broken.
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

    /// How many times as long an answer takes.
    pub fn slow_down(&self, random: &mut Random) -> u64 {
        match self {
            VersionFault::Slow(part, times) if random.chance(*part, 1_000) => *times,
            _ => 1,
        }
    }
}
