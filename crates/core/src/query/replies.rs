//! Handles the end of attempts and the replies of leafs.

use super::attempt::Attempt;
use super::coverage::covered_shard;
use super::engine::QueryEngine;
use super::event::Command;
use super::planned_query::{Query, ShardState};
use super::request::{Record, RejectionReason};
use crate::http_api::leaf::{AttemptFailure, ExpectedReply, LeafReply, check, self_report};
use crate::protocol::message::LeafReport;
use crate::time::Tick;

impl QueryEngine {
    /// Handles the end of an attempt. An unknown attempt is ignored; a late one changes no query.
    pub(super) fn attempt_ended(
        &mut self,
        now: Tick,
        attempt_id: u64,
        result: Result<LeafReply, AttemptFailure>,
        commands: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.swap_remove(&attempt_id) else { return };
        if let Ok(raw) = &result {
            self.note_self_report(now, &attempt, raw, commands);
        }
        let Some(mut query) = self.queries.swap_remove(&attempt.query) else {
            self.note_late_reply(now, &attempt, &result);
            self.release_leaf(&attempt.leaf);
            return self.advance_queries(now, commands);
        };
        if query.forwarded.is_some() {
            self.forwarded_attempt_ended(now, (attempt_id, &attempt), &mut query, result, commands);
        } else {
            self.search_attempt_ended(now, (attempt_id, &attempt), &mut query, result, commands);
        }
        self.queries.insert(attempt.query, query);
        self.advance_query(now, attempt.query, commands);
        self.advance_queries(now, commands);
    }

    /// Handles the end of an attempt of a search.
    fn search_attempt_ended(
        &mut self,
        now: Tick,
        (attempt_id, attempt): (u64, &Attempt),
        query: &mut Query,
        result: Result<LeafReply, AttemptFailure>,
        commands: &mut Vec<Command>,
    ) {
        let checked = result.and_then(|raw| self.check_reply(query, attempt, &raw));
        self.release_leaf(&attempt.leaf);
        self.note_leaf_result(now, attempt, checked.as_ref().map(|_| ()).map_err(|why| *why));
        let shard = &mut query.shards[attempt.shard];
        shard.in_flight.retain(|o| *o != attempt_id);
        match checked {
            Ok(mut records) => {
                let name = &query.route.shards[shard.index].name;
                for record in &mut records {
                    record.shard = name.clone();
                }
                shard.records = records;
                shard.transition(ShardState::Answered);
                let others = std::mem::take(&mut shard.in_flight);
                self.cancel_overtaken(now, attempt, &others, commands);
            }
            Err(why) => {
                *self.statistics.failures.entry(why).or_default() += 1;
                let is_final = shard.attempts >= query.route.attempts;
                shard.attempt_failed(is_final.then_some(RejectionReason::BelowQuorum));
            }
        }
    }

    /// Checks a reply and returns its records if it is accepted for the planned shard.
    fn check_reply(
        &self,
        query: &Query,
        attempt: &Attempt,
        raw: &LeafReply,
    ) -> Result<Vec<Record>, AttemptFailure> {
        let want = ExpectedReply {
            leaf: &attempt.leaf,
            attempt: &attempt.id,
            digest: &query.body_digest,
            index_version: &query.route.index_version,
            record_limit: query.record_limit,
        };
        let records = check(raw, &want)?;
        // Coverage check: the shard that the leaf serves must be the planned one.
        let planned = query.shards[attempt.shard].index;
        if covered_shard(&self.cluster_view, &query.route, &attempt.leaf, &attempt.service)
            != Some(planned)
        {
            return Err(AttemptFailure::ServiceMismatch);
        }
        Ok(records)
    }

    /// Applies what a leaf reports about itself with a reply.
    fn note_self_report(
        &mut self,
        now: Tick,
        attempt: &Attempt,
        raw: &LeafReply,
        commands: &mut Vec<Command>,
    ) {
        let Some(leaf) = self.leafs.get_mut(&attempt.leaf) else { return };
        let was_draining = leaf.draining;
        // A reply of another leaf at a reused address shows only that this leaf is gone.
        let gone = raw.status == crate::http_api::leaf::MISDIRECTED && !raw.headers.is_mismatched;
        if gone {
            leaf.draining = true;
        } else {
            leaf.apply_self_report(&self_report(&raw.headers), now);
            if let Some(load) = raw.headers.reported_load {
                leaf.record_reported_load(load);
            }
        }
        if leaf.draining && !was_draining {
            let leaf_report =
                LeafReport { leaf: attempt.leaf.clone(), leaving: !gone, gone, age_ms: 0 };
            commands.push(Command::ReportLeaf {
                service: attempt.service.clone(),
                report: leaf_report,
            });
        }
    }
}
