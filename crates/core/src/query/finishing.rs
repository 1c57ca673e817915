//! Ends a query: what its caller is told.

use std::sync::Arc;

use super::engine::QueryEngine;
use super::event::Command;
use super::forwarded_request::{ForwardedReply, ForwardedRequest, MergedReply, join};
use super::merge::merge;
use super::planned_query::{Query, ShardState};

use super::request::{Outcome, Rejection, RejectionReason, SearchAnswer};
use super::statistics::LATENCY_BUCKETS_MS;
use crate::config::types::Form;
use crate::http_api::leaf::{AttemptFailure, LeafReply};
use crate::time::{MILLI, Tick, since};

impl QueryEngine {
    /// Ends a query: gives up what is still out and tells its caller.
    pub(super) fn finish_query(
        &mut self,
        now: Tick,
        mut q: Query,
        how: Result<(), RejectionReason>,
        out: &mut Vec<Command>,
    ) {
        // Leafs of other shards may be at work on it: then it has not gone unrun.
        let out_there = q.shards.iter().any(|s| !s.in_flight.is_empty());
        self.cancel_outstanding(now, &mut q, out);
        let took = since(q.started_at, now) / MILLI;
        let cell =
            LATENCY_BUCKETS_MS.iter().position(|b| took <= *b).unwrap_or(LATENCY_BUCKETS_MS.len());
        self.statistics.latency_buckets[cell] += 1;
        if let Err(why) = how {
            q.executed |= out_there;
            return self.respond_failed(now, q, why, out);
        }
        self.load_pressure.record(now, false);
        let call = q.call;
        let (missing, outcome) = match q.forwarded.clone() {
            Some(parcel) => finish_forwarded(&q, &parcel),
            None => finish_searched(q),
        };
        if missing == 0 {
            self.statistics.full += 1;
        } else {
            self.statistics.partial += 1;
        }
        out.push(Command::Respond { call, outcome });
    }

    /// Gives up the dispatches that are still out.
    fn cancel_outstanding(&mut self, now: Tick, q: &mut Query, out: &mut Vec<Command>) {
        for i in 0..q.shards.len() {
            for num in std::mem::take(&mut q.shards[i].in_flight) {
                // A leaf that let the whole budget pass is slow; say so to itself.
                // One that was handed over goes on, and tells when it has ended.
                q.executed |= q.forwarded.is_some();
                if now >= q.deadline
                    && let Some(sent) = self.attempts.get(&num)
                    && !sent.forwarded
                    && let Some(l) = self.leafs.get_mut(&sent.leaf)
                {
                    l.record_failure(now);
                    *self
                        .statistics
                        .failures
                        .entry(AttemptFailure::DeadlineExceeded)
                        .or_default() += 1;
                    q.executed = true;
                }
                self.cancel_attempt(num, out);
            }
        }
    }

    /// Sends the caller away, or gives it the failure that a leaf has answered.
    fn respond_failed(
        &mut self,
        now: Tick,
        q: Query,
        why: RejectionReason,
        out: &mut Vec<Command>,
    ) {
        // A leaf's own failure says more than ours would.
        if let (Some(parcel), Some(raw)) = (&q.forwarded, &q.last_failure)
            && q.route.form == Form::Pass
        {
            let passed = ForwardedReply { id: parcel.id.clone(), reply: raw.clone() };
            return out
                .push(Command::Respond { call: q.call, outcome: Outcome::Forwarded(passed) });
        }
        let text = match why {
            RejectionReason::DeadlineExceeded => {
                "the budget ran out before the required share answered"
            }
            RejectionReason::NoCapacity => "no leaf had room in time",
            RejectionReason::NoLeaf => "a needed shard has no leaf that may be asked",
            _ => "too many shards failed and no more tries were allowed",
        };
        let rest = self.ejection_left(now, &q);
        let mut b = Rejection::new(why, text);
        b.executed = q.executed;
        self.reject(now, (q.call, rest), b, Some(q.name), out);
    }
}

/// The count of missing shards and the merged records of all others.
fn finish_searched(q: Query) -> (usize, Outcome) {
    let (mut shards, mut lists) = (Vec::new(), Vec::new());
    let planned = q.shards.len();
    for s in q.shards.into_iter().filter(|s| s.state == ShardState::Answered) {
        shards.push(q.route.shards[s.index].name.clone());
        lists.push(s.records);
    }
    let missing = planned - shards.len();
    let full = SearchAnswer {
        query: q.name,
        route: q.route.name.clone(),
        index_version: q.route.cut.clone(),
        revision: q.revision,
        shards,
        missing,
        records: merge(lists, q.record_limit as usize),
    };
    (missing, Outcome::Answered(full))
}

/// The count of missing shards and what came of a call that is handed over.
fn finish_forwarded(q: &Query, parcel: &ForwardedRequest) -> (usize, Outcome) {
    let missing = q.shards.len() - q.answered_shards();
    let parts: Vec<&Arc<LeafReply>> = q.shards.iter().filter_map(|s| s.reply.as_ref()).collect();
    debug_assert!(parts.len() >= q.quorum_size());
    let outcome = match (q.route.form, parts.first()) {
        (Form::Pass, Some(raw)) => {
            Outcome::Forwarded(ForwardedReply { id: parcel.id.clone(), reply: (*raw).clone() })
        }
        _ => {
            let bodies: Vec<&[u8]> = parts.iter().map(|r| r.body.as_slice()).collect();
            Outcome::Merged(MergedReply {
                id: parcel.id.clone(),
                postmarks: parts.iter().flat_map(|r| r.headers.postmarks.clone()).collect(),
                missing,
                body: join(&bodies, q.route.width, q.route.top),
            })
        }
    };
    (missing, outcome)
}
