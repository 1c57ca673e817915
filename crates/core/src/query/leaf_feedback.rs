//! What the end of an attempt says of its leaf.

use super::attempt::Attempt;
use super::cancellation::drop_out;
use super::engine::QueryEngine;
use super::event::Command;
use super::leaf;
use crate::http_api::leaf::AttemptFailure;
use crate::time::{Tick, since};

/// What a reply says of its leaf.
pub(super) fn note(
    d: &mut QueryEngine,
    now: Tick,
    sent: &Attempt,
    how: Result<(), AttemptFailure>,
) {
    let Some(l) = d.leafs.get_mut(&sent.leaf) else { return };
    let took = since(sent.sent_at, now);
    match how {
        Ok(()) => {
            leaf::good(l, took);
            leaf::strain(l, took, now);
        }
        // Turning work away unrun is good manners, not a fault: it has
        // more than it bears, and we give it less.
        Err(AttemptFailure::Rejected) => leaf::turned(l, now),
        Err(_) => leaf::bad(l, now),
    }
}

/// Gives up the other dispatches of a shard that is in. Those that were sent
/// earlier and are still silent were overtaken.
pub(super) fn overtaken(
    d: &mut QueryEngine,
    now: Tick,
    sent: &Attempt,
    others: &[u64],
    out: &mut Vec<Command>,
) {
    for other in others {
        if let Some(late) = d.attempts.get(other)
            && late.sent_at < sent.sent_at
            && let Some(l) = d.leafs.get_mut(&late.leaf)
        {
            leaf::bad(l, now);
            *d.statistics.failures.entry(AttemptFailure::Overtaken).or_default() += 1;
        }
        drop_out(d, *other, out);
    }
}
