//! How much of its term each rollout has used.
//!
//! The time that is agreed on lies in the entry, written at each turn and a few times a term. To
//! it every controller adds how long it has known the entry, by its own steady clock: a new leader
//! goes on where the former one was, and only a restart of all costs up to a fraction of the term.

use std::collections::BTreeMap;

use crate::protocol::replica::EntryMap;
use crate::rollout::record::{Rollout, rollouts_in};
use crate::time::{MILLI, Tick, since};

/// Since when this controller has known each rollout as it is.
#[derive(Default)]
pub struct RolloutClock {
    known_since: BTreeMap<String, KnownRollout>,
}

/// A rollout's entry, and since when it is known.
struct KnownRollout {
    version: EntryVersion,
    since: Tick,
}

/// What tells one state of a rollout's entry from another.
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
    /// Notes the rollouts that this controller's replica holds.
    pub fn note(&mut self, now: Tick, entries: &EntryMap) {
        for rollout in rollouts_in(entries) {
            let version = EntryVersion::of(&rollout);
            let known = self.known_since.get(&rollout.service);
            if known.is_none_or(|known| known.version != version) {
                self.known_since.insert(rollout.service, KnownRollout { version, since: now });
            }
        }
    }

    /// How long ago a rollout was ordered, as far as that is known (ms).
    pub fn elapsed_ms(&self, now: Tick, rollout: &Rollout) -> u64 {
        let known = self.known_since.get(&rollout.service);
        let known = known.filter(|known| known.version == EntryVersion::of(rollout));
        rollout.elapsed_ms + known.map_or(0, |known| since(known.since, now) / MILLI)
    }
}
