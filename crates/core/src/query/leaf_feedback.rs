//! What the end of an attempt says of its leaf.

use super::attempt::Dispatch;
use super::cancellation::drop_out;
use super::engine::QueryEngine;
use super::event::Command;
use super::leaf;
use crate::http_api::leaf::Trouble;
use crate::time::{Tick, since};

/// What a reply says of its leaf.
pub(super) fn note(d: &mut QueryEngine, now: Tick, sent: &Dispatch, how: Result<(), Trouble>) {
    let Some(l) = d.leafs.get_mut(&sent.leaf) else { return };
    let took = since(sent.at, now);
    match how {
        Ok(()) => {
            leaf::good(l, took);
            leaf::strain(l, took, now);
        }
        // Turning work away unrun is good manners, not a fault: it has
        // more than it bears, and we give it less.
        Err(Trouble::Unrun) => leaf::turned(l, now),
        Err(_) => leaf::bad(l, now),
    }
}

/// Gives up the other dispatches of a shard that is in. Those that were sent
/// earlier and are still silent were overtaken.
pub(super) fn overtaken(
    d: &mut QueryEngine,
    now: Tick,
    sent: &Dispatch,
    others: &[u64],
    out: &mut Vec<Command>,
) {
    for other in others {
        if let Some(late) = d.dispatches.get(other)
            && late.at < sent.at
            && let Some(l) = d.leafs.get_mut(&late.leaf)
        {
            leaf::bad(l, now);
            *d.counts.trouble.entry(Trouble::Overtaken).or_default() += 1;
        }
        drop_out(d, *other, out);
    }
}
