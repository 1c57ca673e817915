//! Operators as the users' pages describe them: one order after the other about a zone, without
//! an id, sent to another controller after a second of silence. Their connections may hold what
//! they send, as a cut does that heals: it arrives long after its sender has gone on.

use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::time::{SECOND, Span, ms};

use super::events::FollowUp;
use super::faulty_variant::FaultyVariant;
use super::operator_request::{OperatorRequest, UnnamedOrder};
use super::{BEGIN, World};

/// Silence after which an operator goes on to another controller.
const SILENCE: Span = SECOND;
/// Pause between a failure and the next attempt.
const RETRY_PAUSE: Span = ms(100);
/// Pause between two orders, in which the last one must stand.
const ORDER_PAUSE: Span = 2 * SECOND;
/// Pause after the last order, in which whatever was held arrives.
const LAST_PAUSE: Span = 8 * SECOND;
/// One attempt of so many is held by its connection.
const HELD_IN: u64 = 2;
/// The longest hold.
const LONGEST_HOLD: u64 = 5_000;
/// Redirections that an operator follows (count).
const MOST_REDIRECTIONS: u32 = 2;

/// An operator and the order that it gives now.
pub struct ZoneOperator {
    zone: String,
    /// Whether the order empties the zone; else it opens it.
    drained: bool,
    /// Orders that are left, with this one (count).
    left: u64,
    /// The request whose answer it waits for.
    waits_for: Option<usize>,
}

impl World {
    /// An operator empties and opens a zone in turn, so many times.
    pub fn add_zone_operator(&mut self, zone: &str, orders: u64) {
        let zone = zone.to_string();
        let operator = ZoneOperator { zone, drained: true, left: orders, waits_for: None };
        self.zone_operators.push(operator);
        self.later(0, FollowUp::ZoneOrder { operator: self.zone_operators.len() - 1 });
    }

    /// The operator gives its next order, or sees at the end what stands.
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

    /// One attempt to have the order carried out, at any controller.
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
            // The order of a listener that makes up an id for what brings none.
            None if self.faulty_variant == Some(FaultyVariant::MakesUpRequestIds) => (None, None),
            None => (Some(String::new()), None),
        };
        let number = self.submit(0, request);
        self.zone_operators[operator].waits_for = Some(number);
        self.later(SILENCE, FollowUp::OperatorSilence { operator, request: number });
    }

    /// The operator has heard nothing for a second: it closes the connection and goes on.
    pub(super) fn end_operator_patience(&mut self, operator: usize, request: usize) {
        if self.zone_operators[operator].waits_for == Some(request) {
            self.send_zone_order(operator, None, 0);
        }
    }

    /// An answer reaches the operator, if it still waits for it.
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

    /// The order is acknowledged.
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

    /// Compares what stands with the operator's last acknowledged order.
    fn judge_zone_of(&mut self, operator: usize) {
        let now = self.now - BEGIN;
        let drained = self.drained().contains(&self.zone_operators[operator].zone);
        self.rules.check_last_order_stands(now, operator, drained);
    }
}
