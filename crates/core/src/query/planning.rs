//! Query planning: selects the route and the shards of a query and computes its deadlines.

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
    /// Plans a search: its route, its shards, its deadlines and the body sent to leafs.
    pub(super) fn plan_search(
        &mut self,
        now: Tick,
        call: u64,
        request: SearchRequest,
    ) -> Result<Query, Rejection> {
        let reject = |reason, text: &str| Err(Rejection::new(reason, text));
        self.check_serving(now)?;
        let Some(route) = self.cluster_view.routes.get(&request.route).cloned() else {
            return reject(RejectionReason::UnknownRoute, "no search of that name is configured");
        };
        if route.serving_mode != ServingMode::Native {
            return reject(RejectionReason::UnknownRoute, "this search is called by host and path");
        }
        self.check_capacity(route.priority_class)?;
        let shards = planned_shards(&route, request.key.as_deref(), &mut self.random)?;
        let leaf_time = leaf_time_budget(request.timeout, route.timeout)?;
        let body = leaf_request_body(
            &route,
            &request.question,
            request.key.as_deref(),
            request.record_limit,
        );
        let times = QueryTimes {
            started_at: now,
            quorum_suffices_from: now + leaf_time * route.quorum_after_pct / 100,
            queue_until: now + leaf_time,
            deadline: now + leaf_time,
        };
        let mut query = self.new_query(call, route, shards, times);
        query.record_limit = request.record_limit;
        query.body_digest = digest(&body);
        query.body = Arc::new(body);
        Ok(query)
    }

    /// Plans a call that is forwarded to leafs unchanged.
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
        self.check_capacity(route.priority_class)?;
        let shards = planned_shards(&route, Some(&request.id), &mut self.random)?;
        let leaf_time = leaf_time_budget(request.timeout.unwrap_or(route.timeout), route.timeout)?;
        let (quorum_after, queue_timeout) = match route.latency_target {
            None => (leaf_time * route.quorum_after_pct / 100, leaf_time),
            Some(target) => {
                let reserve = (target * consts::TARGET_RESERVE_PCT / 100)
                    .clamp(consts::TARGET_RESERVE_MIN, consts::TARGET_RESERVE_MAX);
                (target.saturating_sub(reserve), target * consts::QUEUE_TIMEOUT_PCT / 100)
            }
        };
        let times = QueryTimes {
            started_at: now,
            quorum_suffices_from: now + quorum_after.min(leaf_time),
            queue_until: now + queue_timeout.min(leaf_time),
            deadline: now + leaf_time,
        };
        let mut query = self.new_query(call, route, shards, times);
        query.forwarded = Some(request);
        Ok(query)
    }
}

/// The deadlines of a query.
struct QueryTimes {
    started_at: Tick,
    quorum_suffices_from: Tick,
    queue_until: Tick,
    deadline: Tick,
}

impl QueryEngine {
    /// Returns a query whose body is still empty.
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

/// Returns the shards that a query is sent to.
fn planned_shards(
    route: &Route,
    key: Option<&str>,
    random: &mut Random,
) -> Result<Vec<usize>, Rejection> {
    match (route.fan_out, key) {
        (FanOut::AllShards, _) => Ok((0..route.shards.len()).collect()),
        (FanOut::ByKey, Some(key)) => Ok(vec![shard_for_key(route, key)]),
        (FanOut::ByWeight, _) => Ok(vec![pick_weighted_shard(route, random)]),
        (FanOut::ByKey, None) => {
            let text = "this search looks up one thing: give its `key`";
            Err(Rejection::new(RejectionReason::MissingKey, text))
        }
    }
}

/// Returns the part of a call's time budget that leafs may use. The rest is reserved for
/// merging.
fn leaf_time_budget(budget: Span, timeout: Span) -> Result<Span, Rejection> {
    let reserve = (budget * consts::MERGE_RESERVE_PCT / 100)
        .clamp(consts::MERGE_RESERVE_MIN, consts::MERGE_RESERVE_MAX);
    match budget.saturating_sub(reserve).min(timeout) {
        0 => Err(Rejection::new(
            RejectionReason::DeadlineExceeded,
            "the budget leaves no time to ask anyone",
        )),
        leaf_time => Ok(leaf_time),
    }
}

/// Returns the shard of a key; it is the same on every node.
pub fn shard_for_key(route: &Route, key: &str) -> usize {
    (hash(key) % route.shards.len() as u64) as usize
}

/// Picks a shard at random by the route's weights.
pub fn pick_weighted_shard(route: &Route, random: &mut Random) -> usize {
    let mut remaining = random.below(route.weights.iter().sum());
    for (i, weight) in route.weights.iter().enumerate() {
        if remaining < *weight {
            return i;
        }
        remaining -= weight;
    }
    0
}

/// Encodes the request body that is sent to a leaf for a query on a route.
pub fn leaf_request_body(
    route: &Route,
    question: &Value,
    key: Option<&str>,
    limit: u32,
) -> Vec<u8> {
    crate::http_api::leaf::body(&route.name, &route.index_version, question, key, limit)
}
