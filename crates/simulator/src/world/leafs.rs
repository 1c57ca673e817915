//! Attempts that are sent to leafs, and their responses.

use grebepath_core::digest::digest;
use grebepath_core::http_api::leaf::{AttemptFailure, LeafReply, MISDIRECTED, ReplyHeaders};
use grebepath_core::query::event as query_event;
use grebepath_core::query::event::OutgoingAttempt;
use grebepath_core::time::{Span, ms};
use serde_json::{Value, json};

use super::events::{AttemptKey, QueryEngineId, ScheduledEvent};
use super::faulty_variant::FaultyVariant;
use super::nodes::{RequestInFlight, Run};
use super::{BEGIN, World};
use crate::mock_backends;
use crate::mock_backends::{Mode, ProcessState};
use crate::net::latency;

/// The version of the first leafs of a run: the list doesn't include it.
const FIRST_VERSION: &str = "";
/// Time that a process takes to close a connection.
const CLOSE_DELAY: Span = ms(1);
/// HTTP status of the response to a request with a wrong digest.
const BAD_REQUEST: u16 = 400;
/// HTTP status of the response of an overloaded leaf.
const UNAVAILABLE: u16 = 503;
/// Multiple of its capacity above which a leaf rejects attempts.
const REJECTION_FACTOR: u32 = 3;

impl World {
    pub(super) fn send_attempt(&mut self, engine: QueryEngineId, mut outgoing: OutgoingAttempt) {
        let now = self.now - BEGIN;
        self.rules.record_attempt(now, &outgoing.id, &outgoing.service);
        let querier_name = self.queriers[engine.querier].name.clone();
        if let Some(leaf) = self.backends.leafs.get(&outgoing.leaf) {
            let (zone, known) = (leaf.zone.clone(), leaf.known_leaving.map(|k| k - BEGIN));
            let version = leaf.version.clone();
            self.rules.check_attempt(now, &querier_name, &outgoing.leaf, &zone, known);
            if let Some((rule, text)) =
                self.rules.rollouts.check_sent(now, &outgoing.service, &version, FIRST_VERSION)
            {
                self.rules.violated(now, rule, format!("{querier_name}: {text}"));
            }
        }
        if let Some(shown_for) = self.shown_leaving_for(&outgoing.leaf)
            && self.has_control_plane_contact(engine.querier)
        {
            self.rules.check_shown_leaving(now, &querier_name, &outgoing.leaf, shown_for);
        }
        if self.faulty_variant == Some(FaultyVariant::AltersQuestion) {
            let mut body_value: Value =
                serde_json::from_slice(&outgoing.body).unwrap_or(Value::Null);
            body_value["question"] = json!("something else");
            let body = body_value.to_string().into_bytes();
            outgoing.body_digest = digest(&body);
            outgoing.body = std::sync::Arc::new(body);
        }
        // In any case the sender's timeout fires at the end of its budget.
        let event = query_event::Event::AttemptEnded {
            attempt: outgoing.attempt,
            result: Err(AttemptFailure::DeadlineExceeded),
        };
        self.push(outgoing.timeout, ScheduledEvent::QueryEngineEvent { engine, event });
        let key = AttemptKey { engine, attempt: outgoing.attempt };
        let zone = self.queriers[engine.querier].zone.clone();
        let leaf_zone =
            self.backends.leafs.get(&outgoing.leaf).map_or("a".into(), |leaf| leaf.zone.clone());
        let latency = latency(&zone, &leaf_zone, &mut self.random) + self.net.extra_latency;
        // The timeout closes the connection, which the leaf detects one latency later.
        let closed = outgoing.timeout + CLOSE_DELAY + latency;
        self.push(closed, ScheduledEvent::LeafDisconnect { key });
        let request = RequestInFlight { arrives_at: self.now + latency, closed: false };
        self.requests_in_flight.insert(key, request);
        self.push(latency, ScheduledEvent::LeafRequest { engine, outgoing: Box::new(outgoing) });
    }

    /// Closes the connection of an attempt on the sender's side: the leaf detects it after the
    /// current network latency, and never before the request arrives.
    pub(super) fn close_attempt(&mut self, key: AttemptKey) {
        let run = self.runs_by_attempt.get(&key).and_then(|run| self.runs.get(run));
        let leaf_zone = run.and_then(|run| self.backends.leafs.get(&run.leaf));
        let leaf_zone = leaf_zone.map_or("a".into(), |leaf| leaf.zone.clone());
        let after_request = match (run, self.requests_in_flight.get(&key)) {
            (Some(_), _) => self.now,
            (None, Some(request)) => request.arrives_at + 1,
            (None, None) => return,
        };
        let zone = self.queriers[key.engine.querier].zone.clone();
        let latency = latency(&zone, &leaf_zone, &mut self.random) + self.net.extra_latency;
        let at = (self.now + CLOSE_DELAY + latency).max(after_request);
        self.push_at(at, ScheduledEvent::LeafDisconnect { key });
    }

    /// Delivers the close of an attempt's connection to the leaf.
    pub(super) fn deliver_disconnect(&mut self, key: AttemptKey) {
        if let Some(run) = self.runs_by_attempt.remove(&key) {
            self.end_run(run);
        } else if let Some(request) = self.requests_in_flight.get_mut(&key) {
            // The identity check is still in progress: the request is never sent.
            request.closed = true;
        }
    }

    pub(super) fn send_response(
        &mut self,
        key: AttemptKey,
        zone: &str,
        mut got: Result<LeafReply, AttemptFailure>,
    ) {
        let AttemptKey { engine, attempt } = key;
        if let Ok(response) = &mut got
            && !self.backends.reports_age
        {
            response.headers.age = None;
        }
        let qzone = self.queriers[engine.querier].zone.clone();
        let after = latency(&qzone, zone, &mut self.random) + self.net.extra_latency;
        self.push(
            after,
            ScheduledEvent::QueryEngineEvent {
                engine,
                event: query_event::Event::AttemptEnded { attempt, result: got },
            },
        );
    }

    /// Delivers a request to the machine of a leaf.
    pub(super) fn deliver_to_leaf(&mut self, engine: QueryEngineId, outgoing: OutgoingAttempt) {
        let now = self.now;
        let key = AttemptKey { engine, attempt: outgoing.attempt };
        let Some(request) = self.requests_in_flight.remove(&key) else { return };
        if request.closed {
            return;
        }
        let name = self.backends.by_address.get(&outgoing.addr).cloned().unwrap_or_default();
        let Some(leaf) = self.backends.leafs.get(&name) else { return };
        let zone = leaf.zone.clone();
        match leaf.process_state {
            ProcessState::Vanished => return,
            ProcessState::Down => {
                return self.send_response(key, &zone, Err(AttemptFailure::Unreachable));
            }
            ProcessState::Up => {}
        }
        let misdirected = outgoing.leaf != leaf.name || outgoing.service != leaf.service.name;
        let rejection = |status| Ok(leaf.rejection(now, status));
        // A connection ends with the leaf's process, and on a new one the leaf's identity is
        // checked before any request is sent.
        let connection = (engine, outgoing.addr.clone());
        let known = self.connections.get(&connection) == Some(&name);
        if !known && self.faulty_variant != Some(FaultyVariant::NoIdentityCheck) {
            if misdirected {
                let response = rejection(MISDIRECTED);
                return self.send_response(key, &zone, response);
            }
            self.connections.insert(connection, name);
            let own_zone = self.queriers[engine.querier].zone.clone();
            let after = 2 * latency(&own_zone, &zone, &mut self.random);
            let outgoing = Box::new(outgoing);
            self.requests_in_flight.insert(key, request);
            return self.push(after, ScheduledEvent::LeafRequest { engine, outgoing });
        }
        let querier_name = &self.queriers[engine.querier].name;
        let service = &leaf.service.name;
        self.rules.check_destination(now - BEGIN, querier_name, &name, service, &outgoing.service);
        if misdirected {
            let response = rejection(MISDIRECTED);
            return self.send_response(key, &zone, response);
        }
        if digest(&outgoing.body) != outgoing.body_digest {
            let response = rejection(BAD_REQUEST);
            return self.send_response(key, &zone, response);
        }
        self.start_work(key, name, outgoing);
    }

    /// Starts the work of a leaf on an attempt, unless the leaf rejects it.
    fn start_work(&mut self, key: AttemptKey, name: String, outgoing: OutgoingAttempt) {
        let now = self.now;
        let Some(leaf) = self.backends.leafs.get_mut(&name) else { return };
        leaf.in_progress += 1;
        let capacity = leaf.capacity(now);
        leaf.peak_load_pct = leaf.peak_load_pct.max(leaf.in_progress * 100 / capacity);
        leaf.attempts_over_capacity += u64::from(leaf.in_progress > capacity);
        let in_progress = leaf.in_progress;
        if leaf.is_warming_up(now) {
            self.rules.check_warm_up_load(now - BEGIN, &name, in_progress, capacity);
        }
        if leaf.mode == Mode::Unrun || in_progress > capacity * REJECTION_FACTOR {
            leaf.in_progress -= 1;
            let (zone, response) = (leaf.zone.clone(), leaf.rejection(now, UNAVAILABLE));
            if leaf.signals_leaving() {
                self.record_leaving_received(&name);
            }
            return self.send_response(key, &zone, Ok(response));
        }
        leaf.run_count += 1;
        let (service, version) = (leaf.service.name.clone(), leaf.version.clone());
        let times = leaf.version_fault.slow_down(&mut self.random);
        let service_duration = leaf.service_time(now, &mut self.random) * times;
        if times > 1 {
            self.rules.rollouts.record_bad_answer(now - BEGIN, &service, &version);
        }
        if let Some((rule, text)) =
            self.rules.rollouts.check_arrival(now - BEGIN, &service, &version)
        {
            self.rules.violated(now - BEGIN, rule, text);
        }
        let request_body: Value = serde_json::from_slice(&outgoing.body).unwrap_or(Value::Null);
        let question = request_body["question"].as_str().unwrap_or_default();
        self.rules.check_question(now - BEGIN, &name, question);
        let run = self.queue.next_number();
        self.runs_by_attempt.insert(key, run);
        self.runs.insert(run, Run { key, leaf: name, outgoing });
        self.push(service_duration, ScheduledEvent::LeafResponse { run });
    }

    pub(super) fn end_run(&mut self, run: u64) -> Option<Run> {
        let run = self.runs.remove(&run)?;
        self.runs_by_attempt.remove(&run.key);
        if let Some(leaf) = self.backends.leafs.get_mut(&run.leaf) {
            leaf.in_progress = leaf.in_progress.saturating_sub(1);
        }
        Some(run)
    }

    pub(super) fn finish_run(&mut self, run: u64) {
        let Some(run) = self.end_run(run) else { return };
        let now = self.now;
        let Some(leaf) = self.backends.leafs.get_mut(&run.leaf) else { return };
        let zone = leaf.zone.clone();
        if leaf.process_state != ProcessState::Up {
            return;
        }
        let mut response = leaf.response(now, &run.outgoing);
        let request_body: Value = serde_json::from_slice(&run.outgoing.body).unwrap_or(Value::Null);
        let search = request_body["mapping"].as_str().unwrap_or_default();
        if leaf.breaks_answer(now, search, &mut self.random) {
            response.body.truncate(response.body.len() / 2);
            self.rules.rollouts.record_bad_answer(now - BEGIN, &leaf.service.name, &leaf.version);
        } else if mock_backends::answers_correctly(
            leaf.mode,
            request_body["limit"].as_u64().unwrap_or(0),
        ) {
            let question = request_body["question"].as_str().unwrap_or_default();
            self.rules.record_answer(&leaf.service.name, &run.outgoing.id, question);
        }
        if leaf.signals_leaving() {
            self.record_leaving_received(&run.leaf);
            if self.faulty_variant == Some(FaultyVariant::IgnoresLeavingLeafs) {
                response.headers = ReplyHeaders { state: None, ..response.headers };
            }
        }
        self.send_response(run.key, &zone, Ok(response));
    }

    /// Ends a leaf's process: its work is lost, and if its machine is up, its connections break.
    pub fn kill_leaf(&mut self, name: &str, how: ProcessState) {
        let Some(leaf) = self.backends.leafs.get_mut(name) else { return };
        leaf.process_state = how;
        let zone = leaf.zone.clone();
        let runs: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.leaf == name).map(|(id, _)| *id).collect();
        for run in runs {
            if let Some(run) = self.end_run(run)
                && how == ProcessState::Down
            {
                self.send_response(run.key, &zone, Err(AttemptFailure::Truncated));
            }
        }
    }
}
