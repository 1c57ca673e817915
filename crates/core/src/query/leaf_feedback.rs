//! What the end of an attempt says of its leaf.

use super::attempt::Attempt;
use super::engine::QueryEngine;
use super::event::Command;
use crate::http_api::leaf::AttemptFailure;
use crate::time::{Tick, since};

impl QueryEngine {
    /// What a reply says of its leaf.
    pub(super) fn note_leaf_result(
        &mut self,
        now: Tick,
        attempt: &Attempt,
        how: Result<(), AttemptFailure>,
    ) {
        self.record_trial_answer(now, attempt, how);
        let Some(leaf) = self.leafs.get_mut(&attempt.leaf) else { return };
        let took = since(attempt.sent_at, now);
        match how {
            Ok(()) => {
                leaf.record_success(took);
                leaf.adjust_health_weight(took, now);
            }
            // Turning work away unrun is good manners, not a fault: it has
            // more than it bears, and we give it less.
            Err(AttemptFailure::Rejected) => leaf.record_rejection(now),
            Err(_) => leaf.record_failure(now),
        }
    }

    /// Gives up the other dispatches of a shard that is in. Those that were sent
    /// earlier and are still silent were overtaken.
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
