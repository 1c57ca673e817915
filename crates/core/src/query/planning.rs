//! Plans a query: its route, its shards and its times.

use std::sync::Arc;

use serde_json::Value;

use super::admission::{room, taken};
use super::engine::QueryEngine;
use super::forwarded_request::ForwardedRequest;
use super::planned_query::{Query, slot};
use super::request::{Ask, Reason, Rejection};
use crate::config::route::Route;
use crate::config::types::ServingMode;
use crate::consts;
use crate::digest::{digest, hash};
use crate::random::Random;
use crate::routing_language::compile::FanOut;
use crate::time::{Span, Tick};

/// Fixes everything about a query: its mapping, its shards, its times.
pub(super) fn plan(
    d: &mut QueryEngine,
    now: Tick,
    call: u64,
    ask: Ask,
) -> Result<Query, Rejection> {
    let say = |reason, text: &str| Err(Rejection::new(reason, text));
    taken(d, now)?;
    let Some(map) = d.view.mappings.get(&ask.mapping).cloned() else {
        return say(Reason::NoMapping, "no search of that name is configured");
    };
    if map.form != ServingMode::Native {
        return say(Reason::NoMapping, "this search is called by host and path");
    }
    room(d, map.class)?;
    let shards = planned_shards(&map, ask.key.as_deref(), &mut d.luck)?;
    let usable = usable(ask.budget, map.promise)?;
    let body = question(&map, &ask.question, ask.key.as_deref(), ask.limit);
    let times = Times {
        start: now,
        stop_at: now + usable * map.stop_pct / 100,
        hold: now + usable,
        end: now + usable,
    };
    let mut q = query(d, call, map, shards, times);
    q.limit = ask.limit;
    q.digest = digest(&body);
    q.body = Arc::new(body);
    Ok(q)
}

/// The same for a call that is handed over.
pub(super) fn plan_forwarded(
    d: &mut QueryEngine,
    now: Tick,
    call: u64,
    parcel: Arc<ForwardedRequest>,
) -> Result<Query, Rejection> {
    taken(d, now)?;
    let Some(map) = d.view.route_for(&parcel.host, &parcel.path).cloned() else {
        let text = "no search takes calls of this host and path";
        return Err(Rejection::new(Reason::NoMapping, text));
    };
    room(d, map.class)?;
    let shards = planned_shards(&map, Some(&parcel.id), &mut d.luck)?;
    let usable = usable(parcel.budget.unwrap_or(map.promise), map.promise)?;
    let (stop, hold) = match map.target {
        None => (usable * map.stop_pct / 100, usable),
        Some(target) => {
            let keep = (target * consts::TARGET_KEEP_PCT / 100)
                .clamp(consts::TARGET_KEEP_MIN, consts::TARGET_KEEP_MAX);
            (target.saturating_sub(keep), target * consts::HOLD_PCT / 100)
        }
    };
    let times = Times {
        start: now,
        stop_at: now + stop.min(usable),
        hold: now + hold.min(usable),
        end: now + usable,
    };
    let mut q = query(d, call, map, shards, times);
    q.parcel = Some(parcel);
    Ok(q)
}

/// When what happens to a query.
struct Times {
    start: Tick,
    stop_at: Tick,
    hold: Tick,
    end: Tick,
}

/// A query whose body is still empty.
fn query(d: &QueryEngine, call: u64, map: Arc<Route>, shards: Vec<usize>, times: Times) -> Query {
    Query {
        call,
        name: format!("{}-{}", d.name, d.next_query),
        revision: d.view.revision,
        start: times.start,
        stop_at: times.stop_at,
        end: times.end,
        limit: 0,
        digest: String::new(),
        body: Arc::default(),
        slots: shards.into_iter().map(slot).collect(),
        parcel: None,
        hold: times.hold,
        ran: false,
        last: None,
        map,
    }
}

/// The shards that a query goes to.
fn planned_shards(
    map: &Route,
    key: Option<&str>,
    luck: &mut Random,
) -> Result<Vec<usize>, Rejection> {
    match (map.send, key) {
        (FanOut::AllShards, _) => Ok((0..map.shards.len()).collect()),
        (FanOut::ByKey, Some(key)) => Ok(vec![shard_of(map, key)]),
        (FanOut::ByWeight, _) => Ok(vec![drawn(map, luck)]),
        (FanOut::ByKey, None) => {
            let text = "this search looks up one thing: give its `key`";
            Err(Rejection::new(Reason::NoKey, text))
        }
    }
}

/// The time that leafs may take, of the budget of a call.
fn usable(budget: Span, promise: Span) -> Result<Span, Rejection> {
    let keep = (budget * consts::MERGE_KEEP_PCT / 100)
        .clamp(consts::MERGE_KEEP_MIN, consts::MERGE_KEEP_MAX);
    match budget.saturating_sub(keep).min(promise) {
        0 => Err(Rejection::new(Reason::OutOfTime, "the budget leaves no time to ask anyone")),
        usable => Ok(usable),
    }
}

/// The shard that a key falls on, the same on every node.
pub fn shard_of(map: &Route, key: &str) -> usize {
    (hash(key) % map.shards.len() as u64) as usize
}

/// A shard drawn by the mapping's weights.
pub fn drawn(map: &Route, luck: &mut Random) -> usize {
    let mut left = luck.below(map.weights.iter().sum());
    for (i, weight) in map.weights.iter().enumerate() {
        if left < *weight {
            return i;
        }
        left -= weight;
    }
    0
}

/// The body of a dispatch for a question under a mapping.
pub fn question(map: &Route, question: &Value, key: Option<&str>, limit: u32) -> Vec<u8> {
    crate::http_api::leaf::body(&map.name, &map.cut, question, key, limit)
}
