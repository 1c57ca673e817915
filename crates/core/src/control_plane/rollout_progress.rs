//! Advances the rollouts over time, at the leader of the configuration partition.
//!
//! A phase that changes which version is in force ends in two steps. First the phase
//! changes to `Forward` or `Back`; members that have applied this send requests to one
//! version only. Once no member can use the former state any more, by its own report or
//! because its lease has ended, the final phase is written (`Delivered` or `Returned`) and
//! reported to operators.

use crate::command::Command;
use crate::control_plane::controller::ControllerState;
use crate::identifiers::CONFIG;
use crate::rollout::record::{Rollout, RolloutPhase, RolloutReason, TrialStep, rollouts_in};
use crate::rollout::verdict::Verdict;
use crate::time::Tick;

/// Fraction of the time limit that is reserved for its end (divisor). A trial that is
/// undecided by then is rolled back, so that the result is known when the time limit is reached.
const END_FRACTION: u64 = 8;
/// Fraction of the time limit after which the elapsed time is written again (divisor).
const CHECKPOINT_FRACTION: u64 = 4;
/// Percentage of the time limit after which members send the requests that they held back
/// for the surge.
const SURGE_START_PCT: u64 = 40;
/// Percentage of the time limit after which the surge ends.
const SURGE_END_PCT: u64 = 50;
/// Percentage of the time limit before which no version is rolled forward.
const MIN_FORWARD_PCT: u64 = 75;
/// Time for attempts that were in flight to the old version when the last member applied
/// the change (ms).
const ATTEMPT_DRAIN_MS: u64 = 1_500;

impl ControllerState {
    /// Handles a timer tick for the rollouts.
    pub(super) fn wake_rollouts(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let configuration = &self.partitions[CONFIG.0 as usize];
        self.rollout_clock.note(now, &configuration.state.entries);
        if !configuration.leader().is_some_and(|leader| leader.is_serving) {
            return;
        }
        let rollouts: Vec<Rollout> = rollouts_in(&configuration.state.entries).collect();
        self.drop_votes_of_others();
        for rollout in rollouts {
            if let Some(next) = self.next_of_rollout(now, &rollout) {
                if next.phase != rollout.phase {
                    commands.push(Command::Alarm(phase_change_notice(&next)));
                }
                let group = self.group();
                let entries = vec![next.to_entry()];
                self.partitions[CONFIG.0 as usize].propose(now, group, entries, commands);
            }
        }
    }

    /// Returns the next state of a rollout, if it changes now.
    fn next_of_rollout(&self, now: Tick, rollout: &Rollout) -> Option<Rollout> {
        let revision = self.partitions[CONFIG.0 as usize].state.revision + 1;
        let elapsed_ms = self.rollout_clock.elapsed_ms(now, rollout);
        let with_phase_change =
            |phase, reason| Some(rollout.with_phase(phase, reason, elapsed_ms, revision));
        match rollout.phase() {
            RolloutPhase::Trial if ends_at_time_limit(rollout, elapsed_ms) => {
                with_phase_change(RolloutPhase::Back, RolloutReason::NoVerdict)
            }
            RolloutPhase::Trial => match self.verdict_on(rollout) {
                Verdict::Bad => with_phase_change(RolloutPhase::Back, RolloutReason::FoundBad),
                Verdict::Good if self.may_go_forward(rollout, elapsed_ms) => {
                    with_phase_change(RolloutPhase::Forward, RolloutReason::FoundGood)
                }
                _ => next_step(rollout, elapsed_ms),
            },
            RolloutPhase::Forward if self.verdict_on(rollout) == Verdict::Bad => {
                with_phase_change(RolloutPhase::Back, RolloutReason::FoundBad)
            }
            RolloutPhase::Forward
                if elapsed_ms >= rollout.elapsed_ms + ATTEMPT_DRAIN_MS
                    && self.is_applied_by_all(now, rollout) =>
            {
                with_phase_change(RolloutPhase::Delivered, rollout.reason())
            }
            RolloutPhase::Back if self.is_applied_by_all(now, rollout) => {
                with_phase_change(RolloutPhase::Returned, rollout.reason())
            }
            _ => None,
        }
    }

    /// Returns whether a version with a good verdict may be rolled forward: the surge and
    /// the time to detect late failures are over, and the version has enough leafs.
    fn may_go_forward(&self, rollout: &Rollout, elapsed_ms: u64) -> bool {
        elapsed_ms * 100 >= rollout.time_limit_ms * MIN_FORWARD_PCT && self.can_take_over(rollout)
    }

    /// Returns whether every member has applied the last phase change of a rollout or no
    /// longer serves.
    fn is_applied_by_all(&self, now: Tick, rollout: &Rollout) -> bool {
        let configuration = &self.partitions[CONFIG.0 as usize];
        let committed = configuration.leader().map_or(0, |leader| leader.committed);
        committed >= rollout.phase_revision
            && self.members.none_uses_older(now, rollout.phase_revision)
    }
}

/// Returns the log message for a phase change of a rollout.
fn phase_change_notice(rollout: &Rollout) -> String {
    let Rollout { service, target, elapsed_ms, time_limit_ms, .. } = rollout;
    let (phase, reason) = (rollout.phase().name(), rollout.reason().name());
    format!(
        "rollout of {service} to {target}: {phase}, {reason}, {elapsed_ms} ms of {time_limit_ms} ms"
    )
}

/// Returns whether a trial has to end without a verdict.
fn ends_at_time_limit(rollout: &Rollout, elapsed_ms: u64) -> bool {
    elapsed_ms >= rollout.time_limit_ms - rollout.time_limit_ms / END_FRACTION
}

/// Returns the next step of a trial, or the present one with the elapsed time updated.
fn next_step(rollout: &Rollout, elapsed_ms: u64) -> Option<Rollout> {
    let percent = elapsed_ms * 100 / rollout.time_limit_ms;
    let step = match percent {
        0..SURGE_START_PCT => TrialStep::Steady,
        SURGE_START_PCT..SURGE_END_PCT => TrialStep::Surge,
        _ => TrialStep::Watch,
    };
    let is_due =
        elapsed_ms >= rollout.elapsed_ms + (rollout.time_limit_ms / CHECKPOINT_FRACTION).max(1);
    (step != rollout.step() || is_due).then(|| rollout.with_step(step, elapsed_ms))
}
