//! Plans a query: its route, its shards and its times.

use std::sync::Arc;

use serde_json::Value;

use super::engine::QueryEngine;
use super::forwarded_request::ForwardedRequest;
use super::planned_query::{PlannedShard, Query};
use super::request::{Rejection, RejectionReason, SearchRequest};
use crate::config::route::Route;
use crate::config::types::ServingMode;
use crate::consts;
use crate::digest::{digest, hash};
use crate::random::Random;
use crate::routing_language::compile::FanOut;
use crate::time::{Span, Tick};

impl QueryEngine {
    /// Fixes everything about a query: its mapping, its shards, its times.
    pub(super) fn plan_search(
        &mut self,
        now: Tick,
        call: u64,
        request: SearchRequest,
    ) -> Result<Query, Rejection> {
        let say = |reason, text: &str| Err(Rejection::new(reason, text));
        self.check_serving(now)?;
        let Some(route) = self.cluster_view.routes.get(&request.route).cloned() else {
            return say(RejectionReason::UnknownRoute, "no search of that name is configured");
        };
        if route.serving_mode != ServingMode::Native {
            return say(RejectionReason::UnknownRoute, "this search is called by host and path");
        }
        self.check_capacity(route.class)?;
        let shards = planned_shards(&route, request.key.as_deref(), &mut self.random)?;
        let usable = usable(request.timeout, route.timeout)?;
        let body =
            question(&route, &request.question, request.key.as_deref(), request.record_limit);
        let times = QueryTimes {
            started_at: now,
            quorum_suffices_from: now + usable * route.quorum_after_pct / 100,
            queue_until: now + usable,
            deadline: now + usable,
        };
        let mut query = self.new_query(call, route, shards, times);
        query.record_limit = request.record_limit;
        query.body_digest = digest(&body);
        query.body = Arc::new(body);
        Ok(query)
    }

    /// The same for a call that is handed over.
    pub(super) fn plan_forwarded(
        &mut self,
        now: Tick,
        call: u64,
        request: Arc<ForwardedRequest>,
    ) -> Result<Query, Rejection> {
        self.check_serving(now)?;
        let Some(route) = self.cluster_view.route_for(&request.host, &request.path).cloned() else {
            let text = "no search takes calls of this host and path";
            return Err(Rejection::new(RejectionReason::UnknownRoute, text));
        };
        self.check_capacity(route.class)?;
        let shards = planned_shards(&route, Some(&request.id), &mut self.random)?;
        let usable = usable(request.timeout.unwrap_or(route.timeout), route.timeout)?;
        let (stop, hold) = match route.target {
            None => (usable * route.quorum_after_pct / 100, usable),
            Some(target) => {
                let keep = (target * consts::TARGET_RESERVE_PCT / 100)
                    .clamp(consts::TARGET_RESERVE_MIN, consts::TARGET_RESERVE_MAX);
                (target.saturating_sub(keep), target * consts::QUEUE_TIMEOUT_PCT / 100)
            }
        };
        let times = QueryTimes {
            started_at: now,
            quorum_suffices_from: now + stop.min(usable),
            queue_until: now + hold.min(usable),
            deadline: now + usable,
        };
        let mut query = self.new_query(call, route, shards, times);
        query.forwarded = Some(request);
        Ok(query)
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
        route: Arc<Route>,
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
            route,
        }
    }
}

/// The shards that a query goes to.
fn planned_shards(
    route: &Route,
    key: Option<&str>,
    random: &mut Random,
) -> Result<Vec<usize>, Rejection> {
    match (route.fan_out, key) {
        (FanOut::AllShards, _) => Ok((0..route.shards.len()).collect()),
        (FanOut::ByKey, Some(key)) => Ok(vec![shard_of(route, key)]),
        (FanOut::ByWeight, _) => Ok(vec![drawn(route, random)]),
        (FanOut::ByKey, None) => {
            let text = "this search looks up one thing: give its `key`";
            Err(Rejection::new(RejectionReason::MissingKey, text))
        }
    }
}

/// The time that leafs may take, of the budget of a call.
fn usable(budget: Span, timeout: Span) -> Result<Span, Rejection> {
    let keep = (budget * consts::MERGE_RESERVE_PCT / 100)
        .clamp(consts::MERGE_RESERVE_MIN, consts::MERGE_RESERVE_MAX);
    match budget.saturating_sub(keep).min(timeout) {
        0 => Err(Rejection::new(
            RejectionReason::DeadlineExceeded,
            "the budget leaves no time to ask anyone",
        )),
        usable => Ok(usable),
    }
}

/// The shard that a key falls on, the same on every node.
pub fn shard_of(route: &Route, key: &str) -> usize {
    (hash(key) % route.shards.len() as u64) as usize
}

/// A shard drawn by the mapping's weights.
pub fn drawn(route: &Route, random: &mut Random) -> usize {
    let mut left = random.below(route.weights.iter().sum());
    for (i, weight) in route.weights.iter().enumerate() {
        if left < *weight {
            return i;
        }
        left -= weight;
    }
    0
}

/// The body of a dispatch for a question under a mapping.
pub fn question(route: &Route, question: &Value, key: Option<&str>, limit: u32) -> Vec<u8> {
    crate::http_api::leaf::body(&route.name, &route.index_version, question, key, limit)
}
