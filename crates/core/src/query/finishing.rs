//! Ends a query and builds the response to its caller.

use std::sync::Arc;

use super::engine::QueryEngine;
use super::event::Command;
use super::forwarded_request::{ForwardedReply, ForwardedRequest, MergedReply, merge_records};
use super::merge::merge;
use super::planned_query::{Query, ShardState};
use super::request::{Outcome, Rejection, RejectionReason, SearchAnswer};
use super::statistics::LATENCY_BUCKETS_MS;
use crate::config::types::ServingMode;
use crate::http_api::leaf::{AttemptFailure, LeafReply};
use crate::time::{MILLI, Tick, since};

impl QueryEngine {
    /// Ends a query: cancels the attempts that are still in flight and responds to the caller.
    pub(super) fn finish_query(
        &mut self,
        now: Tick,
        mut query: Query,
        result: Result<(), RejectionReason>,
        commands: &mut Vec<Command>,
    ) {
        // Leafs of other shards may be working on the query: then it counts as executed.
        let in_flight = query.shards.iter().any(|s| !s.in_flight.is_empty());
        self.cancel_outstanding(now, &mut query, commands);
        let took = since(query.started_at, now) / MILLI;
        let bucket = LATENCY_BUCKETS_MS
            .iter()
            .position(|bound| took <= *bound)
            .unwrap_or(LATENCY_BUCKETS_MS.len());
        self.statistics.latency_buckets[bucket] += 1;
        if let Err(why) = result {
            query.executed |= in_flight;
            return self.respond_failed(now, query, why, commands);
        }
        self.load_pressure.record(now, false);
        let call = query.call;
        let (missing, outcome) = match query.forwarded.clone() {
            Some(request) => finish_forwarded(&query, &request),
            None => finish_search(query),
        };
        if missing == 0 {
            self.statistics.full += 1;
        } else {
            self.statistics.partial += 1;
        }
        commands.push(Command::Respond { call, outcome });
    }

    /// Abandons the attempts that are still in flight.
    fn cancel_outstanding(&mut self, now: Tick, query: &mut Query, commands: &mut Vec<Command>) {
        for index in 0..query.shards.len() {
            for attempt_id in std::mem::take(&mut query.shards[index].in_flight) {
                // A leaf that used up the whole time budget is slow and counts as failed. A
                // forwarded attempt is not counted here: its end is recorded later.
                query.executed |= query.forwarded.is_some();
                if now >= query.deadline
                    && let Some(attempt) = self.attempts.get(&attempt_id)
                    && !attempt.forwarded
                    && let Some(leaf) = self.leafs.get_mut(&attempt.leaf)
                {
                    leaf.record_failure(now);
                    *self
                        .statistics
                        .failures
                        .entry(AttemptFailure::DeadlineExceeded)
                        .or_default() += 1;
                    query.executed = true;
                }
                self.abandon_attempt(now, attempt_id, commands);
            }
        }
    }

    /// Responds with a rejection, or with the error reply of a leaf if there is one.
    fn respond_failed(
        &mut self,
        now: Tick,
        query: Query,
        why: RejectionReason,
        commands: &mut Vec<Command>,
    ) {
        // A leaf's own error reply is more specific than a rejection by this node.
        if let (Some(request), Some(raw)) = (&query.forwarded, &query.last_failure)
            && query.route.serving_mode == ServingMode::PassThrough
        {
            let error_reply = ForwardedReply { id: request.id.clone(), reply: raw.clone() };
            return commands.push(Command::Respond {
                call: query.call,
                outcome: Outcome::Forwarded(error_reply),
            });
        }
        let text = match why {
            RejectionReason::DeadlineExceeded => {
                "the budget ran out before the required share answered"
            }
            RejectionReason::NoCapacity => "no leaf had room in time",
            RejectionReason::NoLeaf => "a needed shard has no leaf that may be asked",
            _ => "too many shards failed and no more tries were allowed",
        };
        let ejection_left = self.ejection_left(now, &query);
        let mut rejection = Rejection::new(why, text);
        rejection.executed = query.executed;
        self.reject(now, (query.call, ejection_left), rejection, Some(query.name), commands);
    }
}

/// Returns the number of missing shards and the merged records of the others.
fn finish_search(query: Query) -> (usize, Outcome) {
    let (mut shards, mut lists) = (Vec::new(), Vec::new());
    let planned = query.shards.len();
    for s in query.shards.into_iter().filter(|s| s.state == ShardState::Answered) {
        shards.push(query.route.shards[s.index].name.clone());
        lists.push(s.records);
    }
    let missing = planned - shards.len();
    let answer = SearchAnswer {
        query: query.name,
        route: query.route.name.clone(),
        index_version: query.route.index_version.clone(),
        revision: query.revision,
        shards,
        missing,
        records: merge(lists, query.record_limit as usize),
    };
    (missing, Outcome::Answered(answer))
}

/// Returns the number of missing shards and the outcome of a forwarded call.
fn finish_forwarded(query: &Query, request: &ForwardedRequest) -> (usize, Outcome) {
    let missing = query.shards.len() - query.answered_shards();
    let replies: Vec<&Arc<LeafReply>> =
        query.shards.iter().filter_map(|s| s.reply.as_ref()).collect();
    debug_assert!(replies.len() >= query.quorum_size());
    let outcome = match (query.route.serving_mode, replies.first()) {
        (ServingMode::PassThrough, Some(raw)) => {
            Outcome::Forwarded(ForwardedReply { id: request.id.clone(), reply: (*raw).clone() })
        }
        _ => {
            let bodies: Vec<&[u8]> = replies.iter().map(|r| r.body.as_slice()).collect();
            Outcome::Merged(MergedReply {
                id: request.id.clone(),
                postmarks: replies.iter().flat_map(|r| r.headers.postmarks.clone()).collect(),
                missing,
                body: merge_records(&bodies, query.route.record_bytes, query.route.max_records),
            })
        }
    };
    (missing, outcome)
}
