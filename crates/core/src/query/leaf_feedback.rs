//! Updates the state of a leaf after an attempt has ended.

use super::attempt::Attempt;
use super::engine::QueryEngine;
use super::event::Command;
use crate::http_api::leaf::AttemptFailure;
use crate::time::{Tick, since};

impl QueryEngine {
    /// Records the result of an attempt for its leaf.
    pub(super) fn note_leaf_result(
        &mut self,
        now: Tick,
        attempt: &Attempt,
        result: Result<(), AttemptFailure>,
    ) {
        self.record_trial_answer(now, attempt, result);
        let Some(leaf) = self.leafs.get_mut(&attempt.leaf) else { return };
        let took = since(attempt.sent_at, now);
        match result {
            Ok(()) => {
                leaf.record_success(took);
                leaf.adjust_health_weight(took, now);
            }
            // A rejection before execution is not a failure: the leaf is overloaded and gets
            // less load.
            Err(AttemptFailure::Rejected) => leaf.record_rejection(now),
            Err(_) => leaf.record_failure(now),
        }
    }

    /// Abandons the other attempts of a shard that has been answered. Those sent earlier than
    /// the answered attempt were overtaken, which counts as a failure of their leafs.
    pub(super) fn cancel_overtaken(
        &mut self,
        now: Tick,
        attempt: &Attempt,
        others: &[u64],
        commands: &mut Vec<Command>,
    ) {
        for other in others {
            self.record_overtaken(now, attempt, *other);
            if let Some(late) = self.attempts.get_mut(other)
                && late.sent_at < attempt.sent_at
                && let Some(leaf) = self.leafs.get_mut(&late.leaf)
            {
                late.is_overtaken = true;
                leaf.record_failure(now);
                *self.statistics.failures.entry(AttemptFailure::Overtaken).or_default() += 1;
            }
            self.abandon_attempt(now, *other, commands);
        }
    }
}
