//! Operators that move services to other versions, and the leafs of those versions.

use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::rollout::order::RolloutOrder;
use grebepath_core::rollout::record::{Rollout, RolloutPhase};
use grebepath_core::time::{MILLI, SECOND, Span, ms};
use serde_json::Value;

use super::events::FollowUp;
use super::faulty_variant::FaultyVariant;
use super::operator_request::OperatorRequest;
use super::{BEGIN, World};
use crate::mock_backends::ProcessState;
use crate::rollout_rules::ReportedEnd;
use crate::version_fault::VersionFault;

/// Time without a response after which an operator repeats its request.
const RESPONSE_TIMEOUT: Span = SECOND;
/// Time between two polls of a rollout.
const POLL_INTERVAL: Span = ms(300);
/// Polls of a rollout after its end (count): its state must not change any more.
const POLLS_AFTER_END: u32 = 10;
/// Time from the end of a rolled-back rollout until its leafs leave.
const LEAVE_DELAY: Span = 2 * SECOND;
/// Time limit of a rollout whose scenario gives none.
const DEFAULT_TIME_LIMIT_S: f64 = 12.0;

/// An operator and its rollout.
pub struct RolloutOperator {
    order: RolloutOrder,
    /// The leafs of the target version.
    leafs: Vec<String>,
    is_ordered: bool,
    awaited_request: Option<usize>,
    polls_left: u32,
    is_over: bool,
}

impl World {
    /// Adds an operator that orders a rollout, and starts leafs of the new version.
    pub fn add_rollout(&mut self, parameters: &Value) {
        let text =
            |key: &str, default: &str| parameters[key].as_str().unwrap_or(default).to_string();
        let (service, target) = (text("service", ""), text("version", "v2"));
        let fault = VersionFault::read(parameters).unwrap_or(VersionFault::Sound);
        let time_limit_ms =
            (parameters["over_s"].as_f64().unwrap_or(DEFAULT_TIME_LIMIT_S) * 1e3) as u64;
        let now = self.now - BEGIN;
        self.rules.rollouts.record_order(
            now,
            &service,
            &target,
            fault.is_bad(),
            time_limit_ms * MILLI,
        );
        let leafs = self.start_version(&service, &target, &fault);
        let order = RolloutOrder { service, target, time_limit_ms };
        let operator = RolloutOperator {
            order,
            leafs,
            is_ordered: false,
            awaited_request: None,
            polls_left: POLLS_AFTER_END,
            is_over: false,
        };
        self.rollout_operators.push(operator);
        self.send_rollout_request(self.rollout_operators.len() - 1);
    }

    /// Starts a leaf of a version beside each leaf of a service.
    fn start_version(&mut self, service: &str, version: &str, fault: &VersionFault) -> Vec<String> {
        let now = self.now;
        let standing = self.backends.leafs.values();
        let standing =
            standing.filter(|l| l.service.name == service && l.process_state == ProcessState::Up);
        let places: Vec<_> = standing.map(|l| (l.service.clone(), l.zone.clone())).collect();
        let mut names = Vec::new();
        for (service, zone) in places {
            let address = self.backends.unused_address();
            let name = self.backends.start_leaf(service, &zone, address, now);
            if let Some(leaf) = self.backends.leafs.get_mut(&name) {
                leaf.version = version.to_string();
                leaf.version_fault = fault.clone();
            }
            names.push(name);
        }
        self.backends.list_changed(now);
        names
    }

    /// Sends the operator's rollout order, or polls the rollout if the order was accepted.
    pub(super) fn send_rollout_request(&mut self, operator: usize) {
        let entry = &self.rollout_operators[operator];
        let order = entry.order.clone();
        let mut request = if entry.is_ordered {
            OperatorRequest::asking(Operation::ReadRollout(order.service))
        } else {
            let mut request = OperatorRequest::asking(Operation::StartRollout(order));
            request.request = Some(format!("rollout-{operator}"));
            request
        };
        request.rollout = Some(operator);
        let number = self.submit(0, request);
        self.rollout_operators[operator].awaited_request = Some(number);
        self.later(RESPONSE_TIMEOUT, FollowUp::RolloutTimeout { operator, request: number });
    }

    /// Repeats a request that has had no response in time, at any controller.
    pub(super) fn time_out_rollout_request(&mut self, operator: usize, request: usize) {
        if self.rollout_operators[operator].awaited_request == Some(request) {
            self.send_rollout_request(operator);
        }
    }

    /// Handles a response to the operator, if it still waits for it.
    pub(super) fn respond_to_rollout_operator(&mut self, operator: usize, request: usize) {
        if self.rollout_operators[operator].awaited_request != Some(request) {
            return;
        }
        self.rollout_operators[operator].awaited_request = None;
        match self.operator_requests[request].result.clone() {
            Some(OperationResult::Accepted { .. }) => {
                self.rollout_operators[operator].is_ordered = true;
            }
            Some(OperationResult::Rollout(Some(rollout))) => {
                let end = self.reported_end(operator, &rollout);
                self.record_reported_end(operator, end);
            }
            _ => {}
        }
        if self.rollout_operators[operator].polls_left > 0 {
            self.later(POLL_INTERVAL, FollowUp::RolloutPoll { operator });
        }
    }

    /// Returns the end of a rollout as the operator reads it from a response.
    fn reported_end(&self, operator: usize, rollout: &Rollout) -> Option<ReportedEnd> {
        let is_second_poll = self.rollout_operators[operator].polls_left % 2 == 1;
        if self.faulty_variant == Some(FaultyVariant::AnswersOldRollouts) && is_second_poll {
            return None;
        }
        let reports_early = self.faulty_variant == Some(FaultyVariant::TellsEndsEarly);
        match rollout.phase() {
            RolloutPhase::Delivered => Some(ReportedEnd::Delivered),
            RolloutPhase::Returned => Some(ReportedEnd::Returned),
            RolloutPhase::Forward if reports_early => Some(ReportedEnd::Delivered),
            RolloutPhase::Back if reports_early => Some(ReportedEnd::Returned),
            RolloutPhase::Trial | RolloutPhase::Forward | RolloutPhase::Back => None,
        }
    }

    /// Records the state of the rollout that was reported to its operator.
    fn record_reported_end(&mut self, operator: usize, end: Option<ReportedEnd>) {
        let now = self.now - BEGIN;
        let entry = &mut self.rollout_operators[operator];
        let was_over = std::mem::replace(&mut entry.is_over, end.is_some());
        if end.is_some() {
            entry.polls_left -= 1;
        }
        let (service, leafs) = (entry.order.service.clone(), entry.leafs.clone());
        if let Some((rule, text)) = self.rules.rollouts.reported(now, &service, end) {
            self.rules.violated(now, rule, text);
        }
        match end {
            Some(ReportedEnd::Delivered) if !was_over => self.stop_other_versions(&service, &leafs),
            Some(ReportedEnd::Returned) if !was_over => {
                self.later(LEAVE_DELAY, FollowUp::RolloutLeafsLeave { operator });
            }
            _ => {}
        }
    }

    /// Stops the leafs of a service's other versions.
    fn stop_other_versions(&mut self, service: &str, kept: &[String]) {
        let all = self.backends.leafs.values().filter(|leaf| leaf.service.name == service);
        let others: Vec<String> =
            all.map(|leaf| leaf.name.clone()).filter(|name| !kept.contains(name)).collect();
        for name in others {
            self.kill_leaf(&name, ProcessState::Down);
        }
        self.backends.list_changed(self.now);
    }

    /// Marks the leafs of a version that was rolled back as leaving.
    pub(super) fn version_leaves(&mut self, operator: usize) {
        for name in self.rollout_operators[operator].leafs.clone() {
            if let Some(leaf) = self.backends.leafs.get_mut(&name) {
                leaf.leaving = true;
            }
        }
        self.backends.list_changed(self.now);
    }
}
