//! Tracks how much of its time limit each rollout has used.
//!
//! The replicated elapsed time is stored in the rollout's entry, which is written at each
//! phase change and a few times more. Every controller adds to it the time for which it
//! has known the entry, by its own monotonic clock. So a new leader continues from the time
//! of the former one, and only a restart of all nodes loses up to a fraction of the time
//! limit.

use std::collections::BTreeMap;

use crate::protocol::replica::EntryMap;
use crate::rollout::record::{Rollout, rollouts_in};
use crate::time::{MILLI, Tick, since};

/// When this controller first saw each rollout in its present state.
#[derive(Default)]
pub struct RolloutClock {
    known_since: BTreeMap<String, KnownRollout>,
}

/// The version of a rollout's entry, and when it was first seen.
struct KnownRollout {
    version: EntryVersion,
    since: Tick,
}

/// Distinguishes the versions of a rollout's entry.
#[derive(Clone, Copy, PartialEq)]
struct EntryVersion {
    ordered_revision: u64,
    phase_revision: u64,
    elapsed_ms: u64,
}

impl EntryVersion {
    fn of(rollout: &Rollout) -> EntryVersion {
        let Rollout { ordered_revision, phase_revision, elapsed_ms, .. } = *rollout;
        EntryVersion { ordered_revision, phase_revision, elapsed_ms }
    }
}

impl RolloutClock {
    /// Records the rollouts in this controller's replica.
    pub fn note(&mut self, now: Tick, entries: &EntryMap) {
        for rollout in rollouts_in(entries) {
            let version = EntryVersion::of(&rollout);
            let known = self.known_since.get(&rollout.service);
            if known.is_none_or(|known| known.version != version) {
                self.known_since.insert(rollout.service, KnownRollout { version, since: now });
            }
        }
    }

    /// Returns how long ago a rollout was ordered, as far as known (ms).
    pub fn elapsed_ms(&self, now: Tick, rollout: &Rollout) -> u64 {
        let known = self.known_since.get(&rollout.service);
        let known = known.filter(|known| known.version == EntryVersion::of(rollout));
        rollout.elapsed_ms + known.map_or(0, |known| since(known.since, now) / MILLI)
    }
}
