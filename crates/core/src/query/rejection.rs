//! Sends a caller away, with the time after which it may come back.

use super::engine::QueryEngine;
use super::event::Command;
use super::planned_query::{Query, Slot, SlotState};
use super::request::{Outcome, Reason, Rejection};
use super::retry;
use crate::consts;
use crate::time::{Span, Tick, since};

pub(super) fn bounce(
    d: &mut QueryEngine,
    now: Tick,
    (call, rest): (u64, Span),
    mut b: Rejection,
    query: Option<String>,
    out: &mut Vec<Command>,
) {
    b.query = query;
    let away = matches!(b.reason, Reason::Crowded | Reason::NoRoom | Reason::OutOfTime);
    retry::note(&mut d.strain, now, away);
    b.again_s = Some(retry::again_s(&mut d.strain, now, b.reason, rest, &mut d.luck));
    b.again = Some(retry::soon(&mut d.strain, now, rest, &mut d.luck));
    *d.counts.bounced.entry(b.reason).or_default() += 1;
    out.push(Command::Tell { call, outcome: Outcome::Rejection(b) });
}

/// How long until each shard that is missing has a leaf that is not rested.
pub(super) fn rest(d: &QueryEngine, now: Tick, q: &Query) -> Span {
    let lost = q.slots.iter().filter(|s| s.state != SlotState::In);
    let soonest = |s: &Slot| {
        let shard = &q.map.shards[s.shard];
        let list = shard.pools.iter().flat_map(|p| d.view.open_leafs(p, &q.map.cut));
        let rests = list.filter_map(|i| d.leafs.get(&i.leaf)).map(|l| since(now, l.rest_until));
        rests.min().unwrap_or(consts::LIST_POLL)
    };
    lost.map(soonest).max().unwrap_or(0)
}
