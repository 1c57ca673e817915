//! Ends attempts: a leaf's place is free again, an attempt is given up.

use super::attempt::Attempt;
use super::engine::QueryEngine;
use super::event::Command;

pub(super) fn free(d: &mut QueryEngine, sent: &Attempt) {
    if let Some(l) = d.leafs.get_mut(&sent.leaf) {
        l.in_flight -= 1;
        if l.in_flight == 0 && !d.cluster_view.leafs.contains_key(&sent.leaf) {
            d.leafs.swap_remove(&sent.leaf);
        }
    }
}

pub(super) fn drop_out(d: &mut QueryEngine, num: u64, out: &mut Vec<Command>) {
    // What was handed over is not broken off: the leaf works on it, and the
    // connection is whole again once it has answered.
    if d.attempts.get(&num).is_some_and(|s| s.forwarded) {
        return;
    }
    if let Some(sent) = d.attempts.swap_remove(&num) {
        free(d, &sent);
        d.statistics.cancelled += 1;
        out.push(Command::CancelAttempt { attempt: num });
    }
}

/// The caller went away: nobody wants the dispatches' results.
pub(super) fn gone(d: &mut QueryEngine, call: u64, out: &mut Vec<Command>) {
    let id = d.queries.iter().find(|(_, q)| q.call == call).map(|(id, _)| *id);
    if let Some(q) = id.and_then(|id| d.queries.swap_remove(&id)) {
        for num in q.shards.iter().flat_map(|s| &s.in_flight) {
            drop_out(d, *num, out);
        }
    }
}
