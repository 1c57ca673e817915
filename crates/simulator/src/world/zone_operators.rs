//! Operators as the user documentation describes them: each sends one request after the other for
//! a zone, without a request id, and resends it to another controller after a second without a
//! response. Connections may delay a request, as a network partition that heals does: it then
//! arrives long after its sender has sent later requests.

use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::time::{SECOND, Span, ms};

use super::events::FollowUp;
use super::faulty_variant::FaultyVariant;
use super::operator_request::{AttemptWithoutId, OperatorRequest};
use super::{BEGIN, World};

/// Time without a response after which an operator uses another controller.
const RESPONSE_TIMEOUT: Span = SECOND;
/// Backoff between a failure and the next attempt.
const RETRY_PAUSE: Span = ms(100);
/// Pause between two requests, in which the result of the last one must not change.
const OPERATION_PAUSE: Span = 2 * SECOND;
/// Pause after the last request, in which all delayed requests arrive.
const LAST_PAUSE: Span = 8 * SECOND;
/// One attempt in this many is delayed by its connection.
const DELAYED_ONE_IN: u64 = 2;
/// The longest delay (ms).
const MAX_DELAY_MS: u64 = 5_000;
/// Redirections that an operator follows (count).
const MAX_REDIRECTIONS: u32 = 2;

/// An operator and its current operation.
pub struct ZoneOperator {
    zone: String,
    /// Whether the operation drains the zone; otherwise it opens it.
    drained: bool,
    /// Remaining operations, including this one (count).
    operations_left: u64,
    /// The request whose response it waits for.
    awaited_request: Option<usize>,
}

impl World {
    /// Adds an operator that alternately drains and opens a zone, `operations` times in total.
    pub fn add_zone_operator(&mut self, zone: &str, operations: u64) {
        let zone = zone.to_string();
        let operator = ZoneOperator {
            zone,
            drained: true,
            operations_left: operations,
            awaited_request: None,
        };
        self.zone_operators.push(operator);
        self.later(0, FollowUp::ZoneRequest { operator: self.zone_operators.len() - 1 });
    }

    /// Starts the operator's next operation, or only checks the zone's state after the last one.
    pub(super) fn begin_zone_operation(&mut self, operator: usize) {
        self.check_zone(operator);
        let ZoneOperator { zone, drained, operations_left, .. } = &self.zone_operators[operator];
        if *operations_left == 0 {
            return;
        }
        let (zone, drained) = (zone.clone(), *drained);
        self.rules.record_zone_request(operator, &zone, drained);
        self.send_zone_request(operator, None, 0);
    }

    /// Sends one attempt of the operation to any controller.
    fn send_zone_request(
        &mut self,
        operator: usize,
        confirmed: Option<(String, u64)>,
        redirections: u32,
    ) {
        let ZoneOperator { zone, drained, .. } = &self.zone_operators[operator];
        let mut request = match drained {
            true => OperatorRequest::drain(zone),
            false => OperatorRequest::undrain(zone),
        };
        if self.random.chance(1, DELAYED_ONE_IN) {
            request.held_for = ms(self.random.below(MAX_DELAY_MS));
        }
        request.without_id = Some(AttemptWithoutId { operator, redirections });
        (request.request, request.expect) = match confirmed {
            Some((id, revision)) => (Some(id), Some(revision)),
            // A faulty listener that generates an id for a request without one.
            None if self.faulty_variant == Some(FaultyVariant::MakesUpRequestIds) => (None, None),
            None => (Some(String::new()), None),
        };
        let number = self.submit(0, request);
        self.zone_operators[operator].awaited_request = Some(number);
        self.later(RESPONSE_TIMEOUT, FollowUp::OperatorTimeout { operator, request: number });
    }

    /// Handles a response timeout: the operator closes the connection and tries another controller.
    pub(super) fn time_out_zone_request(&mut self, operator: usize, request: usize) {
        if self.zone_operators[operator].awaited_request == Some(request) {
            self.send_zone_request(operator, None, 0);
        }
    }

    /// Handles a response to the operator, if it still waits for it.
    pub(super) fn respond_to_zone_operator(&mut self, attempt: AttemptWithoutId, request: usize) {
        let AttemptWithoutId { operator, redirections } = attempt;
        if self.zone_operators[operator].awaited_request != Some(request) {
            return;
        }
        let result = self.operator_requests[request].result.clone();
        match result {
            Some(OperationResult::Accepted { .. }) => self.end_zone_operation(operator),
            Some(OperationResult::Conflict { revision }) if redirections < MAX_REDIRECTIONS => {
                let id = format!("confirmed-{request}");
                self.send_zone_request(operator, Some((id, revision)), redirections + 1);
            }
            _ => {
                self.zone_operators[operator].awaited_request = None;
                self.later(RETRY_PAUSE, FollowUp::ZoneRequest { operator });
            }
        }
    }

    /// Ends an operation that was acknowledged.
    fn end_zone_operation(&mut self, operator: usize) {
        let entry = &mut self.zone_operators[operator];
        let acknowledged = entry.drained;
        entry.drained = !acknowledged;
        entry.operations_left -= 1;
        entry.awaited_request = None;
        let pause = if entry.operations_left == 0 { LAST_PAUSE } else { OPERATION_PAUSE };
        self.rules.record_zone_acknowledgement(operator, acknowledged);
        self.later(pause, FollowUp::ZoneRequest { operator });
    }

    /// Compares the zone's state with the operator's last acknowledged operation.
    fn check_zone(&mut self, operator: usize) {
        let now = self.now - BEGIN;
        let drained = self.drained().contains(&self.zone_operators[operator].zone);
        self.rules.check_last_request_in_effect(now, operator, drained);
    }
}
