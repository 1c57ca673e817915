//! Ends attempts: a leaf's place is free again, an attempt is given up.

use super::attempt::Dispatch;
use super::engine::QueryEngine;
use super::event::Command;

pub(super) fn free(d: &mut QueryEngine, sent: &Dispatch) {
    if let Some(l) = d.leafs.get_mut(&sent.leaf) {
        l.live -= 1;
        if l.live == 0 && !d.view.leafs.contains_key(&sent.leaf) {
            d.leafs.swap_remove(&sent.leaf);
        }
    }
}

pub(super) fn drop_out(d: &mut QueryEngine, num: u64, out: &mut Vec<Command>) {
    // What was handed over is not broken off: the leaf works on it, and the
    // connection is whole again once it has answered.
    if d.dispatches.get(&num).is_some_and(|s| s.handed) {
        return;
    }
    if let Some(sent) = d.dispatches.swap_remove(&num) {
        free(d, &sent);
        d.counts.dropped += 1;
        out.push(Command::Drop { dispatch: num });
    }
}

/// The caller went away: nobody wants the dispatches' results.
pub(super) fn gone(d: &mut QueryEngine, call: u64, out: &mut Vec<Command>) {
    let id = d.queries.iter().find(|(_, q)| q.call == call).map(|(id, _)| *id);
    if let Some(q) = id.and_then(|id| d.queries.swap_remove(&id)) {
        for num in q.slots.iter().flat_map(|s| &s.outs) {
            drop_out(d, *num, out);
        }
    }
}
