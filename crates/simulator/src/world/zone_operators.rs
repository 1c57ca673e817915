//! Operators as the user documentation describes them: each sends one request after the other for
//! a zone, without a request id, and resends it to another controller after a second without a
//! response. Connections may delay a request, as a network partition that heals does: it then
//! arrives long after its sender has sent later requests.

use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::time::{SECOND, Span, ms};

use super::events::FollowUp;
use super::faulty_variant::FaultyVariant;
use super::operator_request::{OperatorRequest, UnnamedOrder};
use super::{BEGIN, World};

/// Time without a response after which an operator uses another controller.
const SILENCE: Span = SECOND;
/// Backoff between a failure and the next attempt.
const RETRY_PAUSE: Span = ms(100);
/// Pause between two requests, in which the result of the last one must not change.
const ORDER_PAUSE: Span = 2 * SECOND;
/// Pause after the last request, in which all delayed requests arrive.
const LAST_PAUSE: Span = 8 * SECOND;
/// One attempt in this many is delayed by its connection.
const HELD_IN: u64 = 2;
/// The longest delay (ms).
const LONGEST_HOLD: u64 = 5_000;
/// Redirections that an operator follows (count).
const MOST_REDIRECTIONS: u32 = 2;

/// An operator and its current operation.
pub struct ZoneOperator {
    zone: String,
    /// Whether the operation drains the zone; otherwise it opens it.
    drained: bool,
    /// Remaining operations, including this one (count).
    left: u64,
    /// The request whose response it waits for.
    waits_for: Option<usize>,
}

impl World {
    /// Adds an operator that alternately drains and opens a zone, `orders` times in total.
    pub fn add_zone_operator(&mut self, zone: &str, orders: u64) {
        let zone = zone.to_string();
        let operator = ZoneOperator { zone, drained: true, left: orders, waits_for: None };
        self.zone_operators.push(operator);
        self.later(0, FollowUp::ZoneOrder { operator: self.zone_operators.len() - 1 });
    }

    /// Starts the operator's next operation, or only checks the zone's state after the last one.
    pub(super) fn begin_zone_order(&mut self, operator: usize) {
        self.judge_zone_of(operator);
        let ZoneOperator { zone, drained, left, .. } = &self.zone_operators[operator];
        if *left == 0 {
            return;
        }
        let (zone, drained) = (zone.clone(), *drained);
        self.rules.sender_goes_on(operator, &zone, drained);
        self.send_zone_order(operator, None, 0);
    }

    /// Sends one attempt of the operation to any controller.
    fn send_zone_order(
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
        if self.random.chance(1, HELD_IN) {
            request.held_for = ms(self.random.below(LONGEST_HOLD));
        }
        request.unnamed = Some(UnnamedOrder { operator, redirections });
        (request.request, request.expect) = match confirmed {
            Some((id, revision)) => (Some(id), Some(revision)),
            // A faulty listener that generates an id for a request without one.
            None if self.faulty_variant == Some(FaultyVariant::MakesUpRequestIds) => (None, None),
            None => (Some(String::new()), None),
        };
        let number = self.submit(0, request);
        self.zone_operators[operator].waits_for = Some(number);
        self.later(SILENCE, FollowUp::OperatorSilence { operator, request: number });
    }

    /// Handles a response timeout: the operator closes the connection and tries another controller.
    pub(super) fn end_operator_patience(&mut self, operator: usize, request: usize) {
        if self.zone_operators[operator].waits_for == Some(request) {
            self.send_zone_order(operator, None, 0);
        }
    }

    /// Handles a response to the operator, if it still waits for it.
    pub(super) fn answer_zone_operator(&mut self, order: UnnamedOrder, request: usize) {
        let UnnamedOrder { operator, redirections } = order;
        if self.zone_operators[operator].waits_for != Some(request) {
            return;
        }
        let result = self.operator_requests[request].result.clone();
        match result {
            Some(OperationResult::Accepted { .. }) => self.end_zone_order(operator),
            Some(OperationResult::Conflict { revision }) if redirections < MOST_REDIRECTIONS => {
                let id = format!("confirmed-{request}");
                self.send_zone_order(operator, Some((id, revision)), redirections + 1);
            }
            _ => {
                self.zone_operators[operator].waits_for = None;
                self.later(RETRY_PAUSE, FollowUp::ZoneOrder { operator });
            }
        }
    }

    /// Ends an operation that was acknowledged.
    fn end_zone_order(&mut self, operator: usize) {
        let entry = &mut self.zone_operators[operator];
        let acknowledged = entry.drained;
        entry.drained = !acknowledged;
        entry.left -= 1;
        entry.waits_for = None;
        let pause = if entry.left == 0 { LAST_PAUSE } else { ORDER_PAUSE };
        self.rules.sender_is_acknowledged(operator, acknowledged);
        self.later(pause, FollowUp::ZoneOrder { operator });
    }

    /// Compares the zone's state with the operator's last acknowledged operation.
    fn judge_zone_of(&mut self, operator: usize) {
        let now = self.now - BEGIN;
        let drained = self.drained().contains(&self.zone_operators[operator].zone);
        self.rules.check_last_order_stands(now, operator, drained);
    }
}
