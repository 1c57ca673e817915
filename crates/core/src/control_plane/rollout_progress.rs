//! How rollouts go on as time passes, at the leader of the configuration.
//!
//! A phase that changes which version is in force ends in two steps. First it is turned
//! (`Forward`, `Back`), and the members that obey that send to one version only. Once no member
//! can go by what was before, by what it said or because its lease has ended, the end is written
//! (`Delivered`, `Returned`), which is final and what operators are told.

use crate::command::Command;
use crate::control_plane::controller::ControllerState;
use crate::identifiers::CONFIG;
use crate::rollout::record::{Rollout, RolloutPhase, RolloutReason, TrialStep, rollouts_in};
use crate::rollout::verdict::Verdict;
use crate::time::Tick;

/// Fraction of a term that is kept for its end (divisor): what is undecided then goes back, so
/// that the end is known when the term is over.
const END_FRACTION: u64 = 8;
/// Fraction of a term after which the time that has passed is written again (divisor).
const CHECKPOINT_FRACTION: u64 = 4;
/// Part of a term after which members send what they have saved (percent).
const SURGE_PCT: u64 = 40;
/// Part of a term after which the surge is over (percent).
const WATCH_PCT: u64 = 50;
/// Part of a term before which no version goes forward (percent).
const FORWARD_PCT: u64 = 75;
/// Time for attempts that were on their way to the old version when its last member turned (ms).
const LAST_ATTEMPTS_MS: u64 = 1_500;

impl ControllerState {
    /// Time passes for rollouts.
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
                    commands.push(Command::Alarm(turn_notice(&next)));
                }
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
        let turned = |phase, reason| Some(rollout.with_phase(phase, reason, elapsed_ms, revision));
        match rollout.phase() {
            RolloutPhase::Trial if ends_at_term(rollout, elapsed_ms) => {
                turned(RolloutPhase::Back, RolloutReason::NoVerdict)
            }
            RolloutPhase::Trial => match self.verdict_on(rollout) {
                Verdict::Bad => turned(RolloutPhase::Back, RolloutReason::FoundBad),
                Verdict::Good if self.may_go_forward(rollout, elapsed_ms) => {
                    turned(RolloutPhase::Forward, RolloutReason::FoundGood)
                }
                _ => next_step(rollout, elapsed_ms),
            },
            RolloutPhase::Forward if self.verdict_on(rollout) == Verdict::Bad => {
                turned(RolloutPhase::Back, RolloutReason::FoundBad)
            }
            RolloutPhase::Forward
                if elapsed_ms >= rollout.elapsed_ms + LAST_ATTEMPTS_MS
                    && self.is_obeyed_by_all(now, rollout) =>
            {
                turned(RolloutPhase::Delivered, rollout.reason())
            }
            RolloutPhase::Back if self.is_obeyed_by_all(now, rollout) => {
                turned(RolloutPhase::Returned, rollout.reason())
            }
            _ => None,
        }
    }

    /// Whether a version that was found good may take over: the surge and the time for what fails
    /// late are over, and it has the leafs for it.
    fn may_go_forward(&self, rollout: &Rollout, elapsed_ms: u64) -> bool {
        elapsed_ms * 100 >= rollout.term_ms * FORWARD_PCT && self.can_take_over(rollout)
    }

    /// Whether no member may go by what was before a rollout's last turn.
    fn is_obeyed_by_all(&self, now: Tick, rollout: &Rollout) -> bool {
        let configuration = &self.partitions[CONFIG.0 as usize];
        let committed = configuration.leader().map_or(0, |leader| leader.committed);
        committed >= rollout.phase_revision
            && self.members.none_goes_by_older(now, rollout.phase_revision)
    }
}

/// What the log says of a rollout that has turned.
fn turn_notice(rollout: &Rollout) -> String {
    let Rollout { service, target, elapsed_ms, term_ms, .. } = rollout;
    let (phase, reason) = (rollout.phase().name(), rollout.reason().name());
    format!("rollout of {service} to {target}: {phase}, {reason}, {elapsed_ms} ms of {term_ms} ms")
}

/// Whether a trial has to end without a verdict.
fn ends_at_term(rollout: &Rollout, elapsed_ms: u64) -> bool {
    elapsed_ms >= rollout.term_ms - rollout.term_ms / END_FRACTION
}

/// The next step of a trial, or the same with the time that has passed.
fn next_step(rollout: &Rollout, elapsed_ms: u64) -> Option<Rollout> {
    let percent = elapsed_ms * 100 / rollout.term_ms;
    let step = match percent {
        0..SURGE_PCT => TrialStep::Steady,
        SURGE_PCT..WATCH_PCT => TrialStep::Surge,
        _ => TrialStep::Watch,
    };
    let is_due = elapsed_ms >= rollout.elapsed_ms + (rollout.term_ms / CHECKPOINT_FRACTION).max(1);
    (step != rollout.step() || is_due).then(|| rollout.with_step(step, elapsed_ms))
}
