//! Ends attempts: a leaf's place is free again, an attempt is given up.

use super::attempt::Attempt;
use super::engine::QueryEngine;
use super::event::Command;

impl QueryEngine {
    pub(super) fn release_leaf(&mut self, attempt: &Attempt) {
        if let Some(leaf) = self.leafs.get_mut(&attempt.leaf) {
            leaf.in_flight -= 1;
            if leaf.in_flight == 0 && !self.cluster_view.leafs.contains_key(&attempt.leaf) {
                self.leafs.swap_remove(&attempt.leaf);
            }
        }
    }

    pub(super) fn cancel_attempt(&mut self, attempt_id: u64, commands: &mut Vec<Command>) {
        // What was handed over is not broken off: the leaf works on it, and the
        // connection is whole again once it has answered.
        if self.attempts.get(&attempt_id).is_some_and(|s| s.forwarded) {
            return;
        }
        if let Some(attempt) = self.attempts.swap_remove(&attempt_id) {
            self.release_leaf(&attempt);
            self.statistics.cancelled += 1;
            commands.push(Command::CancelAttempt { attempt: attempt_id });
        }
    }

    /// The caller went away: nobody wants the dispatches' results.
    pub(super) fn caller_gone(&mut self, call: u64, commands: &mut Vec<Command>) {
        let id = self.queries.iter().find(|(_, query)| query.call == call).map(|(id, _)| *id);
        if let Some(query) = id.and_then(|id| self.queries.swap_remove(&id)) {
            for attempt_id in query.shards.iter().flat_map(|s| &s.in_flight) {
                self.cancel_attempt(*attempt_id, commands);
            }
        }
    }
}
