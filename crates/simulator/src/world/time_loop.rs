//! The event loop: advances virtual time and delivers each event.

use grebepath_core::control_plane::controller::Event as CoreEvent;
use grebepath_core::control_plane::step as control_plane_step;
use grebepath_core::membership::node_agent;
use grebepath_core::membership::step as membership_step;
use grebepath_core::time::{SECOND, Span, Tick, ms};

use super::events::{FollowUp, ScheduledEvent};
use super::operator_request::OperatorRequest;
use super::{BEGIN, World};

impl World {
    /// Runs the world for `span` of virtual time.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = self.now.max(at);
            self.events += 1;
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs the world until `done`, for at most `span`; returns whether `done` was reached.
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

    /// Handles an event that is due.
    pub(super) fn handle(&mut self, event: ScheduledEvent) {
        // A paused process handles nothing; its events are all delivered when it resumes.
        let paused_until = self.paused_until(&event);
        if paused_until > self.now {
            return self.push_at(paused_until, event);
        }
        let Some(event) = self.inject(event) else { return };
        if self.is_stale(&event) {
            return;
        }
        match event {
            ScheduledEvent::ControllerTimer { controller, incarnation } => {
                self.push(
                    control_plane_step::WAKE_INTERVAL,
                    ScheduledEvent::ControllerTimer { controller, incarnation },
                );
                self.step_controller(controller, CoreEvent::Wake);
            }
            ScheduledEvent::ControllerEvent { controller, event, .. } => {
                self.deliver_to_controller(controller, event);
            }
            ScheduledEvent::DiskJobDone { controller, partition, token, .. } => {
                self.finish_disk_job(controller, partition, token);
            }
            ScheduledEvent::VoterFileDone { controller, token, .. } => {
                self.finish_voter_file(controller, token);
            }
            ScheduledEvent::QuerierTimer { querier, incarnation } => {
                self.push(
                    membership_step::WAKE_INTERVAL,
                    ScheduledEvent::QuerierTimer { querier, incarnation },
                );
                self.step_node_agent(querier, node_agent::Event::Wake);
                self.send_to_slow_start_leafs(querier, incarnation);
            }
            ScheduledEvent::NodeAgentEvent { querier, event, .. } => {
                self.deliver_to_node_agent(querier, event);
            }
            ScheduledEvent::ControllerMessage { querier, holder, message, .. } => {
                self.deliver_from_controller(querier, holder, message);
            }
            ScheduledEvent::QueryEngineEvent { engine, event } => {
                self.step_query_engine(engine.querier, engine.thread, event);
            }
            ScheduledEvent::QueryEngineTimer { engine, at } => self.wake_query_engine(engine, at),
            ScheduledEvent::LeafRequest { engine, outgoing } => {
                self.deliver_to_leaf(engine, *outgoing)
            }
            ScheduledEvent::LeafResponse { run } => self.finish_run(run),
            ScheduledEvent::LeafDisconnect { key } => self.deliver_disconnect(key),
            ScheduledEvent::Probe { querier, incarnation, info } => {
                self.answer_probe(querier, incarnation, &info);
            }
            ScheduledEvent::ListRequest { querier, incarnation } => {
                self.answer_list_request(querier, incarnation);
            }
            ScheduledEvent::NewCall { kind } => self.start_call(kind),
            ScheduledEvent::CallArrival { call } => self.call_arrives(call),
            ScheduledEvent::CallTimeout { call } => self.call_times_out(call),
            ScheduledEvent::ReadinessPoll => self.poll_readiness(),
            ScheduledEvent::OperatorRequest { request } => self.send_operator_request(request),
            ScheduledEvent::Fault { at } => self.start_fault(at),
            ScheduledEvent::FollowUp { key } => self.follow_up(key),
        }
    }

    /// Returns until when the process that receives an event is paused; 0 if no process does.
    fn paused_until(&self, event: &ScheduledEvent) -> Tick {
        match event {
            ScheduledEvent::ControllerTimer { controller, .. }
            | ScheduledEvent::ControllerEvent { controller, .. }
            | ScheduledEvent::DiskJobDone { controller, .. }
            | ScheduledEvent::VoterFileDone { controller, .. } => {
                self.controllers[*controller].paused
            }
            ScheduledEvent::QuerierTimer { querier, .. }
            | ScheduledEvent::NodeAgentEvent { querier, .. }
            | ScheduledEvent::ControllerMessage { querier, .. } => self.queriers[*querier].paused,
            ScheduledEvent::QueryEngineEvent { engine, .. }
            | ScheduledEvent::QueryEngineTimer { engine, .. } => {
                self.queriers[engine.querier].paused
            }
            _ => 0,
        }
    }

    /// Returns whether the process that an event was meant for has ended.
    fn is_stale(&self, event: &ScheduledEvent) -> bool {
        match event {
            ScheduledEvent::ControllerTimer { controller, incarnation }
            | ScheduledEvent::ControllerEvent { controller, incarnation, .. }
            | ScheduledEvent::DiskJobDone { controller, incarnation, .. }
            | ScheduledEvent::VoterFileDone { controller, incarnation, .. } => {
                !self.controller_runs(*controller, *incarnation)
            }
            ScheduledEvent::QuerierTimer { querier, incarnation }
            | ScheduledEvent::NodeAgentEvent { querier, incarnation, .. }
            | ScheduledEvent::ControllerMessage { querier, incarnation, .. } => {
                !self.querier_runs(*querier, *incarnation)
            }
            ScheduledEvent::QueryEngineEvent { engine, .. }
            | ScheduledEvent::QueryEngineTimer { engine, .. } => {
                !self.querier_runs(engine.querier, engine.incarnation)
            }
            _ => false,
        }
    }

    /// Records which queriers are ready, as the platform does every second.
    fn poll_readiness(&mut self) {
        self.ready_queriers = (0..self.queriers.len())
            .filter(|querier| self.queriers[*querier].up && self.queriers[*querier].ready)
            .collect();
        self.push(SECOND, ScheduledEvent::ReadinessPoll);
    }

    /// Applies the scenario's fault of this number.
    fn start_fault(&mut self, at: usize) {
        let fault = self.faults[at].clone();
        self.rules.note(self.now - BEGIN, || format!("fault: {fault}"));
        self.rules.mark_recoveries_disturbed(self.now - BEGIN);
        self.apply_fault(&fault);
    }

    /// Runs a follow-up of an earlier event.
    fn follow_up(&mut self, key: FollowUp) {
        match key {
            FollowUp::StartController(controller) => {
                if !self.controllers[controller].up {
                    self.start_controller(controller);
                }
            }
            FollowUp::Fault { controller, fault } => self.end_process(controller, fault),
            FollowUp::ForceStop { controller, incarnation } => {
                if self.controller_runs(controller, incarnation) {
                    self.end_controller(controller);
                }
            }
            FollowUp::StartQuerier(querier) => {
                if !self.queriers[querier].up {
                    self.start_querier(querier);
                }
            }
            FollowUp::EndDrainedQuerier(querier, incarnation) => {
                if self.querier_runs(querier, incarnation) {
                    self.end_drained_querier(querier, incarnation);
                }
            }
            FollowUp::ChangeAfterRestart { restart } => {
                let request = self.submit_marked();
                if let Some(check) = self.rules.pending_restarts.get_mut(restart) {
                    check.request = Some(request);
                }
            }
            FollowUp::ZoneRequest { operator } => self.begin_zone_operation(operator),
            FollowUp::RolloutPoll { operator } => self.send_rollout_request(operator),
            FollowUp::RolloutTimeout { operator, request } => {
                self.time_out_rollout_request(operator, request);
            }
            FollowUp::RolloutLeafsLeave { operator } => self.version_leaves(operator),
            FollowUp::OperatorTimeout { operator, request } => {
                self.time_out_zone_request(operator, request);
            }
            FollowUp::RequestStorm { left, gap } => {
                self.submit_marked();
                if left > 1 {
                    self.later(gap, FollowUp::RequestStorm { left: left - 1, gap });
                }
            }
        }
    }

    /// Submits a change that the check at the end can look for.
    fn submit_marked(&mut self) -> usize {
        self.submit(0, OperatorRequest::marked(self.operator_requests.len()))
    }
}
