//! Replies of leafs.

use super::attempt::Attempt;

use super::coverage::served;
use super::engine::QueryEngine;
use super::event::Command;

use super::planned_query::{Query, ShardState};

use super::request::{Record, RejectionReason};
use crate::http_api::leaf::{AttemptFailure, ExpectedReply, LeafReply, check, self_word};
use crate::protocol::message::LeafReport;
use crate::time::Tick;

impl QueryEngine {
    /// A dispatch has ended. A late or unknown one changes nothing.
    pub(super) fn attempt_ended(
        &mut self,
        now: Tick,
        num: u64,
        got: Result<LeafReply, AttemptFailure>,
        out: &mut Vec<Command>,
    ) {
        let Some(sent) = self.attempts.swap_remove(&num) else { return };
        if let Ok(raw) = &got {
            self.note_self_report(now, &sent, raw, out);
        }
        let Some(mut q) = self.queries.swap_remove(&sent.query) else {
            self.note_late_reply(now, &sent, &got);
            self.release_leaf(&sent);
            return self.advance_queries(now, out);
        };
        if q.forwarded.is_some() {
            self.forwarded_attempt_ended(now, (num, &sent), &mut q, got, out);
        } else {
            self.search_attempt_ended(now, (num, &sent), &mut q, got, out);
        }
        self.queries.insert(sent.query, q);
        self.advance_query(now, sent.query, out);
        self.advance_queries(now, out);
    }

    /// A reply to a question of our own form.
    fn search_attempt_ended(
        &mut self,
        now: Tick,
        (num, sent): (u64, &Attempt),
        q: &mut Query,
        got: Result<LeafReply, AttemptFailure>,
        out: &mut Vec<Command>,
    ) {
        let checked = got.and_then(|raw| self.check_reply(q, sent, &raw));
        self.release_leaf(sent);
        self.note_leaf_result(now, sent, checked.as_ref().map(|_| ()).map_err(|why| *why));
        let slot = &mut q.shards[sent.shard];
        slot.in_flight.retain(|o| *o != num);
        match checked {
            Ok(mut recs) => {
                let name = &q.route.shards[slot.index].name;
                for rec in &mut recs {
                    rec.shard = name.clone();
                }
                slot.records = recs;
                slot.transition(ShardState::Answered);
                let others = std::mem::take(&mut slot.in_flight);
                self.cancel_overtaken(now, sent, &others, out);
            }
            Err(why) => {
                *self.statistics.failures.entry(why).or_default() += 1;
                let lost = slot.attempts >= q.route.attempts;
                slot.attempt_failed(lost.then_some(RejectionReason::BelowQuorum));
            }
        }
    }

    /// The records of a reply that may stand for the planned shard.
    fn check_reply(
        &self,
        q: &Query,
        sent: &Attempt,
        raw: &LeafReply,
    ) -> Result<Vec<Record>, AttemptFailure> {
        let want = ExpectedReply {
            leaf: &sent.leaf,
            attempt: &sent.id,
            digest: &q.body_digest,
            index_version: &q.route.cut,
            record_limit: q.record_limit,
        };
        let recs = check(raw, &want)?;
        // Coverage: the shard is derived, and must be the one that was planned.
        let planned = q.shards[sent.shard].index;
        if served(&self.cluster_view, &q.route, &sent.leaf, &sent.service) != Some(planned) {
            return Err(AttemptFailure::ServiceMismatch);
        }
        Ok(recs)
    }

    /// Takes in what a leaf says of itself.
    fn note_self_report(
        &mut self,
        now: Tick,
        sent: &Attempt,
        raw: &LeafReply,
        out: &mut Vec<Command>,
    ) {
        let Some(l) = self.leafs.get_mut(&sent.leaf) else { return };
        let before = l.draining;
        // A reply of another leaf, at a reused address, says of ours only that it
        // is gone.
        let gone = raw.status == crate::http_api::leaf::MISDIRECTED && !raw.headers.foreign;
        if gone {
            l.draining = true;
        } else {
            l.apply_self_report(&self_word(&raw.headers), now);
            if let Some(load) = raw.headers.load {
                l.record_reported_load(load);
            }
        }
        if l.draining && !before {
            let word = LeafReport { leaf: sent.leaf.clone(), leaving: !gone, gone, age_ms: 0 };
            out.push(Command::ReportLeaf { service: sent.service.clone(), report: word });
        }
    }
}
