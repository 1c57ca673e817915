//! Dispatches on their way to leafs and back.

use grebepath_core::digest::digest;
use grebepath_core::http_api::leaf::{AttemptFailure, LeafReply, MISDIRECTED, ReplyHeaders};
use grebepath_core::query::event as query_event;
use grebepath_core::query::event::OutgoingAttempt;
use grebepath_core::time::ms;
use serde_json::{Value, json};

use super::events::{AttemptKey, QueryEngineId, ScheduledEvent};
use super::faulty_variant::FaultyVariant;
use super::nodes::Run;
use super::{BEGIN, World};
use crate::mock_backends;
use crate::mock_backends::Alive;
use crate::net::latency;

impl World {
    pub(super) fn dispatch(&mut self, engine: QueryEngineId, mut sending: OutgoingAttempt) {
        let now = self.now - BEGIN;
        self.rules.tries(now, &sending.id, &sending.service);
        let who = self.queriers[engine.querier].name.clone();
        if let Some(leaf) = self.backends.leafs.get(&sending.leaf) {
            let (zone, known) = (leaf.zone.clone(), leaf.known_leaving.map(|k| k - BEGIN));
            self.rules.sends(now, &who, &sending.leaf, &zone, known);
        }
        if self.faulty_variant == Some(FaultyVariant::AltersQuestion) {
            let mut val: Value = serde_json::from_slice(&sending.body).unwrap_or(Value::Null);
            val["question"] = json!("something else");
            let body = val.to_string().into_bytes();
            sending.body_digest = digest(&body);
            sending.body = std::sync::Arc::new(body);
        }
        // Whatever becomes of it, the sender gives up at the end of its budget.
        let event = query_event::Event::AttemptEnded {
            attempt: sending.attempt,
            result: Err(AttemptFailure::DeadlineExceeded),
        };
        self.push(sending.timeout, ScheduledEvent::QueryEngineEvent { engine, event });
        // Giving up closes the connection, which the leaf sees a moment later.
        let key = AttemptKey { engine, attempt: sending.attempt };
        self.push(sending.timeout + ms(1), ScheduledEvent::LeafDisconnect { key });
        let zone = self.queriers[engine.querier].zone.clone();
        let leaf_zone =
            self.backends.leafs.get(&sending.leaf).map_or("a".into(), |leaf| leaf.zone.clone());
        let after = latency(&zone, &leaf_zone, &mut self.random) + self.net.slow;
        self.push(after, ScheduledEvent::LeafRequest { engine, sending: Box::new(sending) });
    }

    pub(super) fn answer(
        &mut self,
        key: AttemptKey,
        zone: &str,
        mut got: Result<LeafReply, AttemptFailure>,
    ) {
        let AttemptKey { engine, attempt: dispatch } = key;
        if let Ok(raw) = &mut got
            && !self.backends.ages
        {
            raw.headers.age = None;
        }
        let qzone = self.queriers[engine.querier].zone.clone();
        let after = latency(&qzone, zone, &mut self.random) + self.net.slow;
        self.push(
            after,
            ScheduledEvent::QueryEngineEvent {
                engine,
                event: query_event::Event::AttemptEnded { attempt: dispatch, result: got },
            },
        );
    }

    pub(super) fn leaf_gets(&mut self, engine: QueryEngineId, sending: OutgoingAttempt) {
        let now = self.now;
        let key = AttemptKey { engine, attempt: sending.attempt };
        let name = self.backends.at.get(&sending.addr).cloned().unwrap_or_default();
        let Some(leaf) = self.backends.leafs.get_mut(&name) else { return };
        let zone = leaf.zone.clone();
        match leaf.alive {
            Alive::Vanished => return,
            Alive::Down => return self.answer(key, &zone, Err(AttemptFailure::Unreachable)),
            Alive::Up => {}
        }
        // A connection ends with the process behind it, and on a new one the leaf is
        // asked who it is before any work is sent.
        let misdirected = sending.leaf != leaf.name || sending.service != leaf.service.name;
        let connection = (engine, sending.addr.clone());
        let known = self.connections.get(&connection) == Some(&name);
        if !known && self.faulty_variant != Some(FaultyVariant::NoIdentityCheck) {
            if misdirected {
                let raw = leaf.turned_away(now, MISDIRECTED);
                return self.answer(key, &zone, Ok(raw));
            }
            self.connections.insert(connection, name);
            let after =
                2 * latency(&self.queriers[engine.querier].zone.clone(), &zone, &mut self.random);
            return self
                .push(after, ScheduledEvent::LeafRequest { engine, sending: Box::new(sending) });
        }
        let who = &self.queriers[engine.querier].name;
        self.rules.arrives(now - BEGIN, who, &name, &leaf.service.name, &sending.service);
        if misdirected {
            let raw = leaf.turned_away(now, MISDIRECTED);
            return self.answer(key, &zone, Ok(raw));
        }
        if digest(&sending.body) != sending.body_digest {
            let raw = leaf.turned_away(now, 400);
            return self.answer(key, &zone, Ok(raw));
        }
        leaf.live += 1;
        let bear = leaf.bears(now);
        leaf.worst_pct = leaf.worst_pct.max(leaf.live * 100 / bear);
        leaf.over += u64::from(leaf.live > bear);
        let (live, fresh) = (leaf.live, leaf.fresh(now));
        if fresh {
            self.rules.carries(now - BEGIN, &name, live, bear);
        }
        if leaf.mode == mock_backends::Mode::Unrun || live > bear * 3 {
            leaf.live -= 1;
            let raw = leaf.turned_away(now, 503);
            if leaf.leaving {
                self.learn(&name);
            }
            return self.answer(key, &zone, Ok(raw));
        }
        leaf.ran += 1;
        let took = leaf.takes(now, &mut self.random);
        let asked: Value = serde_json::from_slice(&sending.body).unwrap_or(Value::Null);
        let question = asked["question"].as_str().unwrap_or_default();
        self.rules.runs(now - BEGIN, &name, question);
        self.next += 1;
        let run = self.next;
        self.runs_by_attempt.insert(key, run);
        self.runs.insert(run, Run { key, leaf: name, sending });
        self.push(took, ScheduledEvent::LeafResponse { run });
    }

    pub(super) fn end_run(&mut self, run: u64) -> Option<Run> {
        let run = self.runs.remove(&run)?;
        self.runs_by_attempt.remove(&run.key);
        if let Some(leaf) = self.backends.leafs.get_mut(&run.leaf) {
            leaf.live = leaf.live.saturating_sub(1);
        }
        Some(run)
    }

    pub(super) fn leaf_done(&mut self, run: u64) {
        let Some(run) = self.end_run(run) else { return };
        let now = self.now;
        let Some(leaf) = self.backends.leafs.get_mut(&run.leaf) else { return };
        let zone = leaf.zone.clone();
        if leaf.alive != Alive::Up {
            return;
        }
        let mut raw = leaf.reply(now, &run.sending);
        let asked: Value = serde_json::from_slice(&run.sending.body).unwrap_or(Value::Null);
        if mock_backends::true_reply(leaf.mode, asked["limit"].as_u64().unwrap_or(0)) {
            let question = asked["question"].as_str().unwrap_or_default();
            self.rules.answers(&leaf.service.name, &run.sending.id, question);
        }
        if leaf.leaving {
            self.learn(&run.leaf);
            if self.faulty_variant == Some(FaultyVariant::IgnoresLeavingLeafs) {
                raw.headers = ReplyHeaders { state: None, ..raw.headers };
            }
        }
        self.answer(run.key, &zone, Ok(raw));
    }

    /// A leaf's process ends: its work is lost, and callers hear of it.
    pub fn kill_leaf(&mut self, name: &str, how: Alive) {
        let Some(leaf) = self.backends.leafs.get_mut(name) else { return };
        leaf.alive = how;
        let zone = leaf.zone.clone();
        let runs: Vec<u64> =
            self.runs.iter().filter(|(_, run)| run.leaf == name).map(|(id, _)| *id).collect();
        for run in runs {
            if let Some(run) = self.end_run(run)
                && how == Alive::Down
            {
                self.answer(run.key, &zone, Err(AttemptFailure::Truncated));
            }
        }
    }
}
