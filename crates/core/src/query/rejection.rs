//! Sends a caller away, with the time after which it may come back.

use super::engine::QueryEngine;
use super::event::Command;
use super::planned_query::{PlannedShard, Query, ShardState};
use super::request::{Outcome, Rejection, RejectionReason};
use super::retry;
use crate::consts;
use crate::snapshot::cluster_view::open;
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
    let away = matches!(
        b.reason,
        RejectionReason::ConcurrencyLimit
            | RejectionReason::NoCapacity
            | RejectionReason::DeadlineExceeded
    );
    retry::note(&mut d.load_pressure, now, away);
    b.retry_after_seconds =
        Some(retry::again_s(&mut d.load_pressure, now, b.reason, rest, &mut d.random));
    b.retry_after = Some(retry::soon(&mut d.load_pressure, now, rest, &mut d.random));
    *d.statistics.rejected.entry(b.reason).or_default() += 1;
    out.push(Command::Respond { call, outcome: Outcome::Rejected(b) });
}

/// How long until each shard that is missing has a leaf that is not rested.
pub(super) fn rest(d: &QueryEngine, now: Tick, q: &Query) -> Span {
    let lost = q.shards.iter().filter(|s| s.state != ShardState::Answered);
    let soonest = |s: &PlannedShard| {
        let shard = &q.route.shards[s.index];
        let list = shard.pools.iter().flat_map(|p| open(&d.cluster_view, p, &q.route.cut));
        let rests = list.filter_map(|i| d.leafs.get(&i.leaf)).map(|l| since(now, l.ejected_until));
        rests.min().unwrap_or(consts::LIST_POLL)
    };
    lost.map(soonest).max().unwrap_or(0)
}
