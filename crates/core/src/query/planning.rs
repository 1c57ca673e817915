//! Plans a query: its route, its shards and its times.

use std::sync::Arc;

use serde_json::Value;

use super::engine::QueryEngine;
use super::forwarded_request::ForwardedRequest;
use super::planned_query::{PlannedShard, Query};
use super::request::{Rejection, RejectionReason, SearchRequest};
use crate::config::build::Route;
use crate::config::types::Form;
use crate::consts;
use crate::digest::{digest, hash};
use crate::random::Random;
use crate::routing_language::compile::Send;
use crate::snapshot::cluster_view::found;
use crate::time::{Span, Tick};

impl QueryEngine {
    /// Fixes everything about a query: its mapping, its shards, its times.
    pub(super) fn plan_search(
        &mut self,
        now: Tick,
        call: u64,
        ask: SearchRequest,
    ) -> Result<Query, Rejection> {
        let say = |reason, text: &str| Err(Rejection::new(reason, text));
        self.check_serving(now)?;
        let Some(map) = self.cluster_view.mappings.get(&ask.route).cloned() else {
            return say(RejectionReason::UnknownRoute, "no search of that name is configured");
        };
        if map.form != Form::Own {
            return say(RejectionReason::UnknownRoute, "this search is called by host and path");
        }
        self.check_capacity(map.class)?;
        let shards = planned_shards(&map, ask.key.as_deref(), &mut self.random)?;
        let usable = usable(ask.timeout, map.promise)?;
        let body = question(&map, &ask.question, ask.key.as_deref(), ask.record_limit);
        let times = QueryTimes {
            started_at: now,
            quorum_suffices_from: now + usable * map.stop_pct / 100,
            queue_until: now + usable,
            deadline: now + usable,
        };
        let mut q = self.new_query(call, map, shards, times);
        q.record_limit = ask.record_limit;
        q.body_digest = digest(&body);
        q.body = Arc::new(body);
        Ok(q)
    }

    /// The same for a call that is handed over.
    pub(super) fn plan_forwarded(
        &mut self,
        now: Tick,
        call: u64,
        parcel: Arc<ForwardedRequest>,
    ) -> Result<Query, Rejection> {
        self.check_serving(now)?;
        let Some(map) = found(&self.cluster_view, &parcel.host, &parcel.path).cloned() else {
            let text = "no search takes calls of this host and path";
            return Err(Rejection::new(RejectionReason::UnknownRoute, text));
        };
        self.check_capacity(map.class)?;
        let shards = planned_shards(&map, Some(&parcel.id), &mut self.random)?;
        let usable = usable(parcel.timeout.unwrap_or(map.promise), map.promise)?;
        let (stop, hold) = match map.target {
            None => (usable * map.stop_pct / 100, usable),
            Some(target) => {
                let keep = (target * consts::TARGET_KEEP_PCT / 100)
                    .clamp(consts::TARGET_KEEP_MIN, consts::TARGET_KEEP_MAX);
                (target.saturating_sub(keep), target * consts::HOLD_PCT / 100)
            }
        };
        let times = QueryTimes {
            started_at: now,
            quorum_suffices_from: now + stop.min(usable),
            queue_until: now + hold.min(usable),
            deadline: now + usable,
        };
        let mut q = self.new_query(call, map, shards, times);
        q.forwarded = Some(parcel);
        Ok(q)
    }
}

/// When what happens to a query.
struct QueryTimes {
    started_at: Tick,
    quorum_suffices_from: Tick,
    queue_until: Tick,
    deadline: Tick,
}

impl QueryEngine {
    /// A query whose body is still empty.
    fn new_query(
        &self,
        call: u64,
        map: Arc<Route>,
        shards: Vec<usize>,
        times: QueryTimes,
    ) -> Query {
        Query {
            call,
            name: format!("{}-{}", self.name, self.next_query),
            revision: self.cluster_view.revision,
            started_at: times.started_at,
            quorum_suffices_from: times.quorum_suffices_from,
            deadline: times.deadline,
            record_limit: 0,
            body_digest: String::new(),
            body: Arc::default(),
            shards: shards.into_iter().map(PlannedShard::new).collect(),
            forwarded: None,
            queue_until: times.queue_until,
            executed: false,
            last_failure: None,
            route: map,
        }
    }
}

/// The shards that a query goes to.
fn planned_shards(
    map: &Route,
    key: Option<&str>,
    luck: &mut Random,
) -> Result<Vec<usize>, Rejection> {
    match (map.send, key) {
        (Send::Wide, _) => Ok((0..map.shards.len()).collect()),
        (Send::One, Some(key)) => Ok(vec![shard_of(map, key)]),
        (Send::Weighed, _) => Ok(vec![drawn(map, luck)]),
        (Send::One, None) => {
            let text = "this search looks up one thing: give its `key`";
            Err(Rejection::new(RejectionReason::MissingKey, text))
        }
    }
}

/// The time that leafs may take, of the budget of a call.
fn usable(budget: Span, promise: Span) -> Result<Span, Rejection> {
    let keep = (budget * consts::MERGE_KEEP_PCT / 100)
        .clamp(consts::MERGE_KEEP_MIN, consts::MERGE_KEEP_MAX);
    match budget.saturating_sub(keep).min(promise) {
        0 => Err(Rejection::new(
            RejectionReason::DeadlineExceeded,
            "the budget leaves no time to ask anyone",
        )),
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
