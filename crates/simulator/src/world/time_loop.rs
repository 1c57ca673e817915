//! The loop that lets virtual time pass and hands each event to whom it is for.

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::control_plane::step as cstep;
use grebepath_core::membership::node_agent as wat;
use grebepath_core::membership::step as qstep;
use grebepath_core::protocol::message::Message;
use grebepath_core::query::event;
use grebepath_core::time::{SECOND, Span, ms};
use grebepath_core::voter_set::seat_of;

use super::events::{FollowUp, ScheduledEvent};
use super::faulty_variant::FaultyVariant;
use super::operators::marked;
use super::{BEGIN, World};
use crate::simulated_disk::Health;

impl World {
    /// Lets `span` pass.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(at);
            self.events += 1;
            self.handle(event);
        }
        self.now = end;
    }

    /// Lets time pass until `done`, at most `span`; tells whether it came to be.
    pub fn until(&mut self, span: Span, done: impl Fn(&World) -> bool) -> bool {
        let end = self.now + span;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.run(ms(20));
        }
        done(self)
    }

    pub(super) fn handle(&mut self, event: ScheduledEvent) {
        // A paused process does nothing; all of it comes at once when it wakes.
        let until = match &event {
            ScheduledEvent::ControllerTimer { controller, .. }
            | ScheduledEvent::ControllerEvent { controller, .. }
            | ScheduledEvent::DiskJobDone { controller, .. }
            | ScheduledEvent::VoterFileDone { controller, .. } => {
                self.controllers[*controller].paused
            }
            ScheduledEvent::QuerierTimer { querier, .. }
            | ScheduledEvent::NodeAgentEvent { querier, .. }
            | ScheduledEvent::ControllerMessage { querier, .. }
            | ScheduledEvent::QueryEngineEvent { querier, .. }
            | ScheduledEvent::QueryEngineTimer { querier, .. } => self.queriers[*querier].paused,
            _ => 0,
        };
        if until > self.now {
            return self.push_at(until, event);
        }
        let Some(event) = self.inject(event) else { return };
        match event {
            ScheduledEvent::ControllerTimer { controller, life }
                if self.controller_runs(controller, life) =>
            {
                self.push(cstep::WAKE, ScheduledEvent::ControllerTimer { controller, life });
                self.step_controller(controller, CoreEvent::Wake);
            }
            ScheduledEvent::ControllerEvent { controller, life, event }
                if self.controller_runs(controller, life) =>
            {
                let Some(event) = self.as_seen_by_faulty_voter(controller, event) else { return };
                self.open_connection(controller, &event);
                self.step_controller(controller, event);
            }
            ScheduledEvent::DiskJobDone { controller, life, part, token }
                if self.controller_runs(controller, life) =>
            {
                if self.controllers[controller].disk.health == Health::Stalled {
                    return;
                }
                let event = match self.controllers[controller].disk.done(part, token) {
                    Some(Ok(())) => CoreEvent::Synced { partition: part, token },
                    Some(Err(why)) => CoreEvent::DiskFailed { partition: part, why },
                    None => return,
                };
                if self.faulty_variant != Some(FaultyVariant::AcknowledgesBeforeSync)
                    || matches!(event, CoreEvent::DiskFailed { .. })
                {
                    self.step_controller(controller, event);
                }
            }
            ScheduledEvent::VoterFileDone { controller, life, token }
                if self.controller_runs(controller, life) =>
            {
                if self.controllers[controller].disk.health == Health::Stalled {
                    return;
                }
                match self.controllers[controller].disk.kept(token) {
                    Some(Ok(())) => {
                        self.step_controller(controller, CoreEvent::VoterFileWritten { token })
                    }
                    Some(Err(why)) => {
                        self.step_controller(controller, CoreEvent::VoterFileFailed { why })
                    }
                    None => {}
                }
            }
            ScheduledEvent::QuerierTimer { querier, life } if self.querier_runs(querier, life) => {
                self.push(qstep::WAKE, ScheduledEvent::QuerierTimer { querier, life });
                self.step_node_agent(querier, wat::Event::Wake);
            }
            ScheduledEvent::NodeAgentEvent { querier, life, event }
                if self.querier_runs(querier, life) =>
            {
                if matches!(event, wat::Event::LeafList(_)) {
                    self.queriers[querier].polling = false;
                }
                self.step_node_agent(querier, event);
            }
            ScheduledEvent::ControllerMessage { querier, life, holder, message }
                if self.querier_runs(querier, life) =>
            {
                let event = match message {
                    Message::VoterSetUpdate { table, .. } => wat::Event::VoterSet(table),
                    message => match seat_of(&self.queriers[querier].watch.voter_set, holder) {
                        Some(seat) => wat::Event::FromVoter { slot: seat, message },
                        None => return,
                    },
                };
                self.step_node_agent(querier, event);
            }
            ScheduledEvent::QueryEngineEvent { querier, life, thread, event }
                if self.querier_runs(querier, life) =>
            {
                self.step_query_engine(querier, thread, event)
            }
            ScheduledEvent::QueryEngineTimer { querier, life, thread, at }
                if self.querier_runs(querier, life)
                    && self.queriers[querier].wakes[thread] == at =>
            {
                self.queriers[querier].wakes[thread] = 0;
                self.step_query_engine(querier, thread, event::Event::Wake);
            }
            ScheduledEvent::LeafRequest { querier, life, thread, sending } => {
                self.leaf_gets((querier, life, thread), *sending)
            }
            ScheduledEvent::LeafResponse { run } => self.leaf_done(run),
            ScheduledEvent::LeafDisconnect { key } => {
                if let Some(run) = self.runs_by_attempt.remove(&key) {
                    self.end_run(run);
                }
            }
            ScheduledEvent::Probe { querier, life, info } => {
                self.answer_probe(querier, life, &info)
            }
            ScheduledEvent::ListRequest { querier, life } => {
                self.answer_list_request(querier, life)
            }
            ScheduledEvent::NewCall { kind } => self.start_call(kind),
            ScheduledEvent::CallArrival { call } => self.call_arrives(call),
            ScheduledEvent::CallTimeout { call } => {
                if let Some(c) = self.calls.remove(&call) {
                    let name = self.call_kinds[c.kind].search.clone();
                    let now = self.now - BEGIN;
                    self.rules.ends(c.began - BEGIN, now, &name, false);
                    self.tally(c.kind).timed_out += 1;
                }
            }
            ScheduledEvent::ReadinessPoll => {
                self.ready_queriers = (0..self.queriers.len())
                    .filter(|querier| self.queriers[*querier].up && self.queriers[*querier].ready)
                    .collect();
                self.push(SECOND, ScheduledEvent::ReadinessPoll);
            }
            ScheduledEvent::OperatorRequest { request } => self.send_operator_request(request),
            ScheduledEvent::Fault { at } => {
                let fault = self.faults[at].clone();
                self.rules.tell(self.now - BEGIN, || format!("fault: {fault}"));
                self.rules.disturb(self.now - BEGIN);
                self.apply_fault(&fault);
            }
            ScheduledEvent::FollowUp { key } => self.follow_up(key),
            _ => {}
        }
    }

    pub(super) fn follow_up(&mut self, key: FollowUp) {
        match key {
            FollowUp::StartController(controller) if !self.controllers[controller].up => {
                self.start_controller(controller)
            }
            FollowUp::Fault { controller, fault } => self.end_process(controller, fault),
            FollowUp::ForceStop { controller, life } if self.controller_runs(controller, life) => {
                self.end_controller(controller);
            }
            FollowUp::StartQuerier(querier) if !self.queriers[querier].up => {
                self.start_querier(querier)
            }
            FollowUp::EndDrainedQuerier(querier, life) if self.querier_runs(querier, life) => {
                if self.queriers[querier].desks.iter().any(|d| !d.queries.is_empty()) {
                    return self.later(ms(20), key);
                }
                self.step_node_agent(querier, wat::Event::Drained);
                self.kill_querier(querier);
            }
            FollowUp::ChangeAfterRestart { restart } => {
                let n = self.operator_requests.len();
                self.submit(0, marked(n));
                if let Some(back) = self.rules.restarts.get_mut(restart) {
                    back.order = Some(n);
                }
            }
            FollowUp::RequestStorm { left, gap } => {
                let n = self.operator_requests.len();
                self.submit(0, marked(n));
                if left > 1 {
                    self.push(
                        gap,
                        ScheduledEvent::FollowUp {
                            key: FollowUp::RequestStorm { left: left - 1, gap },
                        },
                    );
                }
            }
            _ => {}
        }
    }
}
