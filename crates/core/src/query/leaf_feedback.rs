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
        sent: &Attempt,
        how: Result<(), AttemptFailure>,
    ) {
        let Some(l) = self.leafs.get_mut(&sent.leaf) else { return };
        let took = since(sent.sent_at, now);
        match how {
            Ok(()) => {
                l.record_success(took);
                l.adjust_health_weight(took, now);
            }
            // Turning work away unrun is good manners, not a fault: it has
            // more than it bears, and we give it less.
            Err(AttemptFailure::Rejected) => l.record_rejection(now),
            Err(_) => l.record_failure(now),
        }
    }

    /// Gives up the other dispatches of a shard that is in. Those that were sent
    /// earlier and are still silent were overtaken.
    pub(super) fn cancel_overtaken(
        &mut self,
        now: Tick,
        sent: &Attempt,
        others: &[u64],
        out: &mut Vec<Command>,
    ) {
        for other in others {
            if let Some(late) = self.attempts.get(other)
                && late.sent_at < sent.sent_at
                && let Some(l) = self.leafs.get_mut(&late.leaf)
            {
                l.record_failure(now);
                *self.statistics.failures.entry(AttemptFailure::Overtaken).or_default() += 1;
            }
            self.cancel_attempt(*other, out);
        }
    }
}
