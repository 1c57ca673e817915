//! How rollouts go on as time passes, at the leader of the configuration.
//!
//! A phase that changes which version is in force ends in two steps. First it is turned
//! (`Forward`, `Back`), and the members that obey that send to one version only. Once no member
//! can go by what was before, by what it said or because its lease has ended, the end is written
//! (`Delivered`, `Returned`), which is final and what operators are told.

use crate::command::Command;
use crate::control_plane::controller::ControllerState;
use crate::identifiers::CONFIG;
use crate::rollout::record::{Rollout, RolloutPhase, RolloutReason, rollouts_in};
use crate::time::Tick;

/// Fraction of a term that is kept for its end (divisor): what is undecided then goes back, so
/// that the end is known when the term is over.
const END_FRACTION: u64 = 8;
/// Fraction of a term after which the time that has passed is written again (divisor).
const CHECKPOINT_FRACTION: u64 = 4;

impl ControllerState {
    /// Time passes for rollouts.
    pub(super) fn wake_rollouts(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let configuration = &self.partitions[CONFIG.0 as usize];
        self.rollout_clock.note(now, &configuration.state.entries);
        if !configuration.leader().is_some_and(|leader| leader.is_serving) {
            return;
        }
        let rollouts: Vec<Rollout> = rollouts_in(&configuration.state.entries).collect();
        for rollout in rollouts {
            if let Some(next) = self.next_of_rollout(now, &rollout) {
                let group = self.group();
                let entries = vec![next.to_entry()];
                self.partitions[CONFIG.0 as usize].propose(now, group, entries, commands);
            }
        }
    }

    /// What a rollout turns to now, if it changes.
    fn next_of_rollout(&self, now: Tick, rollout: &Rollout) -> Option<Rollout> {
        let revision = self.partitions[CONFIG.0 as usize].state.revision + 1;
        let elapsed_ms = self.rollout_clock.elapsed_ms(now, rollout);
        let turned = |phase, reason| Some(rollout.turned(phase, reason, elapsed_ms, revision));
        match rollout.phase() {
            RolloutPhase::Trial if ends_at_term(rollout, elapsed_ms) => {
                turned(RolloutPhase::Back, RolloutReason::NoVerdict)
            }
            RolloutPhase::Trial if needs_checkpoint(rollout, elapsed_ms) => {
                Some(Rollout { elapsed_ms, ..rollout.clone() })
            }
            RolloutPhase::Forward if self.is_obeyed_by_all(now, rollout) => {
                turned(RolloutPhase::Delivered, rollout.reason())
            }
            RolloutPhase::Back if self.is_obeyed_by_all(now, rollout) => {
                turned(RolloutPhase::Returned, rollout.reason())
            }
            _ => None,
        }
    }

    /// Whether no member may go by what was before a rollout's last turn.
    fn is_obeyed_by_all(&self, now: Tick, rollout: &Rollout) -> bool {
        let configuration = &self.partitions[CONFIG.0 as usize];
        let committed = configuration.leader().map_or(0, |leader| leader.committed);
        committed >= rollout.phase_revision
            && self.members.none_goes_by_older(now, rollout.phase_revision)
    }
}

/// Whether a trial has to end without a verdict.
fn ends_at_term(rollout: &Rollout, elapsed_ms: u64) -> bool {
    elapsed_ms >= rollout.term_ms - rollout.term_ms / END_FRACTION
}

/// Whether enough of a term has passed for the time to be written again.
fn needs_checkpoint(rollout: &Rollout, elapsed_ms: u64) -> bool {
    elapsed_ms >= rollout.elapsed_ms + (rollout.term_ms / CHECKPOINT_FRACTION).max(1)
}
