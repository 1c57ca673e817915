//! Callers: their calls, the responses, and the checks of the responses.

use grebepath_core::http_api::caller;
use grebepath_core::query::event as query_event;
use grebepath_core::query::request::Outcome;
use grebepath_core::time::{Span, ms};
use serde_json::json;

use super::events::{QueryEngineId, ScheduledEvent};
use super::faulty_variant::FaultyVariant;
use super::nodes::{Call, CallOutcomes};
use super::{BEGIN, THREADS, World};
use crate::check::{Asked, success};
use crate::rules;

impl World {
    /// Starts the callers' load, at the spec's rates times `factor`.
    pub fn start_calls(&mut self, factor: f64) {
        self.factor = factor;
        for kind in 0..self.call_kinds.len() {
            let gap = self.gap(kind);
            self.push(gap, ScheduledEvent::NewCall { kind });
        }
    }

    pub(super) fn gap(&mut self, kind: usize) -> Span {
        // Uniform between 0.5 and 1.5 times the mean: uneven arrivals without long bursts or gaps.
        let mean = 1e6 / (self.call_kinds[kind].calls_per_second * self.factor).max(0.001);
        (mean * (0.5 + self.random.below(1000) as f64 / 1000.0)) as Span
    }

    pub(super) fn tally(&mut self, kind: usize) -> &mut CallOutcomes {
        let name = self.call_kinds[kind].search.clone();
        self.tallies.entry(name).or_default()
    }

    pub(super) fn start_call(&mut self, kind: usize) {
        if self.now >= self.calls_end_at {
            return;
        }
        let gap = self.gap(kind);
        self.push(gap, ScheduledEvent::NewCall { kind });
        let id = self.queue.next_number();
        let call_kind = &self.call_kinds[kind];
        let question = format!("{}-{id}", call_kind.search);
        let caller_query = Asked { question, key: call_kind.lookup.then(|| format!("key-{id}")) };
        let up = |querier: &usize| self.queriers[*querier].up;
        let candidates: Vec<usize> = match self.ignore_readiness {
            true => (0..self.queriers.len()).filter(up).collect(),
            false => self.ready_queriers.clone(),
        };
        if candidates.is_empty() {
            let name = self.call_kinds[kind].search.clone();
            self.rules.end_call(self.now - BEGIN, self.now - BEGIN, &name, false);
            self.tally(kind).unreachable += 1;
            return;
        }
        let querier = candidates[self.random.below(candidates.len() as u64) as usize];
        if !self.queriers[querier].up {
            self.tally(kind).unreachable += 1;
            return;
        }
        self.rules.caller_questions.insert(caller_query.question.clone());
        let incarnation = self.queriers[querier].incarnation;
        let timeout = ms(self.call_kinds[kind].budget_ms);
        self.calls.insert(id, Call { kind, caller_query, querier, incarnation, began: self.now });
        self.push(ms(1), ScheduledEvent::CallArrival { call: id });
        self.push(timeout + ms(5), ScheduledEvent::CallTimeout { call: id });
    }

    /// Ends a call whose caller has waited for the response until its timeout.
    pub(super) fn call_times_out(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else { return };
        let name = self.call_kinds[call.kind].search.clone();
        let now = self.now - BEGIN;
        self.rules.end_call(call.began - BEGIN, now, &name, false);
        self.tally(call.kind).timed_out += 1;
    }

    pub(super) fn call_arrives(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.began = self.now;
        let (querier, incarnation, kind, caller_query) =
            (call.querier, call.incarnation, call.kind, call.caller_query.clone());
        if !self.querier_runs(querier, incarnation) {
            return;
        }
        let call_kind = &self.call_kinds[kind];
        let mut body = json!({ "question": caller_query.question, "limit": call_kind.limit });
        if let Some(key) = &caller_query.key {
            body["key"] = json!(key);
        }
        let budget = call_kind.budget_ms.to_string();
        let read = caller::read_post(&call_kind.search, Some(&budget), body.to_string().as_bytes());
        let Ok(request) = read else { return };
        let thread = (id % u64::from(THREADS)) as usize;
        self.push(
            10,
            ScheduledEvent::QueryEngineEvent {
                engine: QueryEngineId { querier, incarnation, thread },
                event: query_event::Event::Search { call: id, request },
            },
        );
    }

    pub(super) fn apply_variant_to_outcome(&mut self, kind: usize, outcome: Outcome) -> Outcome {
        let Outcome::Answered(mut full) = outcome else {
            if self.faulty_variant == Some(FaultyVariant::SucceedsBelowQuorum)
                && let Outcome::Rejected(rejection) = &outcome
                && rejection.query.is_some()
            {
                let index_version = self.call_kinds[kind].shards[0].index_version.clone();
                let planned = self.call_kinds[kind]
                    .shards
                    .iter()
                    .filter(|shard| shard.index_version == index_version)
                    .count();
                return Outcome::Answered(grebepath_core::query::request::SearchAnswer {
                    query: rejection.query.clone().unwrap_or_default(),
                    route: self.call_kinds[kind].search.clone(),
                    index_version,
                    revision: u64::MAX,
                    shards: Vec::new(),
                    missing: planned,
                    records: Vec::new(),
                });
            }
            return outcome;
        };
        match self.faulty_variant {
            Some(FaultyVariant::ClaimsAllShards) if full.missing > 0 => {
                let all = self.call_kinds[kind]
                    .shards
                    .iter()
                    .filter(|shard| shard.index_version == full.index_version);
                full.shards = all.map(|shard| shard.shard.clone()).collect();
                full.missing = 0;
            }
            Some(FaultyVariant::RepeatsShard) => full.shards.push(full.shards[0].clone()),
            Some(FaultyVariant::WrongIndexVersion) => full.index_version = "w47".into(),
            Some(FaultyVariant::MisordersRecords) if full.records.len() > 1 => {
                full.records.swap(0, 1)
            }
            _ => {}
        }
        Outcome::Answered(full)
    }

    pub(super) fn finish_call(&mut self, id: u64, outcome: Outcome) {
        let Some(call) = self.calls.remove(&id) else { return };
        let now = self.now - BEGIN;
        let outcome = self.apply_variant_to_outcome(call.kind, outcome);
        let written = caller::write(&outcome);
        let kind = self.call_kinds[call.kind].clone();
        let full = matches!(&outcome, Outcome::Answered(f) if f.missing == 0);
        self.rules.end_call(call.began - BEGIN, now, &kind.search, full);
        match outcome {
            Outcome::Forwarded(_) | Outcome::Merged(_) => {}
            Outcome::Rejected(rejection) => {
                *self.tally(call.kind).rejected.entry(rejection.reason.to_string()).or_default() +=
                    1;
            }
            Outcome::Answered(full) => {
                let latency = self.now - call.began;
                let tally = self.tally(call.kind);
                if full.missing == 0 {
                    tally.full += 1
                } else {
                    tally.partial += 1
                }
                tally.latencies.push(latency);
                let missing = written.missing_shards.map(|n| n.to_string());
                let (errors, services) =
                    success(&kind, &call.caller_query, missing.as_deref(), &written.body);
                for text in errors {
                    self.rules.violated(
                        now,
                        rules::rule_of(&text),
                        format!("{}: {text}", full.query),
                    );
                }
                self.rules.check_claims(now, &full.query, &services, &call.caller_query.question);
                let querier_name = self.queriers[call.querier].name.clone();
                self.rules.check_revision(now, call.began - BEGIN, full.revision, &querier_name);
            }
        }
    }
}
