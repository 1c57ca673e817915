//! Ends attempts: a leaf's place is free again, an attempt is given up.

use super::attempt::Attempt;
use super::engine::QueryEngine;
use super::event::Command;

impl QueryEngine {
    pub(super) fn release_leaf(&mut self, sent: &Attempt) {
        if let Some(l) = self.leafs.get_mut(&sent.leaf) {
            l.in_flight -= 1;
            if l.in_flight == 0 && !self.cluster_view.leafs.contains_key(&sent.leaf) {
                self.leafs.swap_remove(&sent.leaf);
            }
        }
    }

    pub(super) fn cancel_attempt(&mut self, num: u64, out: &mut Vec<Command>) {
        // What was handed over is not broken off: the leaf works on it, and the
        // connection is whole again once it has answered.
        if self.attempts.get(&num).is_some_and(|s| s.forwarded) {
            return;
        }
        if let Some(sent) = self.attempts.swap_remove(&num) {
            self.release_leaf(&sent);
            self.statistics.cancelled += 1;
            out.push(Command::CancelAttempt { attempt: num });
        }
    }

    /// The caller went away: nobody wants the dispatches' results.
    pub(super) fn caller_gone(&mut self, call: u64, out: &mut Vec<Command>) {
        let id = self.queries.iter().find(|(_, q)| q.call == call).map(|(id, _)| *id);
        if let Some(q) = id.and_then(|id| self.queries.swap_remove(&id)) {
            for num in q.shards.iter().flat_map(|s| &s.in_flight) {
                self.cancel_attempt(*num, out);
            }
        }
    }
}
