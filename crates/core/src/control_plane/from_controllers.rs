//! What controllers answer on connections that we opened.

use crate::command::Command;
use crate::control_plane::controller::ControllerState;
use crate::control_plane::pending_requests::AttemptId;
use crate::protocol::message::Message;
use crate::time::Tick;
use crate::voters::{handover, slot_takeover, voter_slots};

impl ControllerState {
    /// A controller answers on a connection that we opened.
    pub(super) fn on_controller_message(
        &mut self,
        now: Tick,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::VoterSetUpdate { me, table } => {
                voter_slots::answered(self, now, me, &table, commands);
            }
            Message::JoinOffer { slot, stamp, free } => {
                slot_takeover::offered(self, now, (slot, stamp), free, commands);
            }
            Message::OperationResponse { op, attempt, done } => {
                self.on_operation_response(now, AttemptId { op, attempt }, done, commands);
            }
            Message::HandoverOffer { slot, generation } => {
                handover::offered(self, now, slot, generation, commands);
            }
            Message::HandoverDone { slot, generation } => handover::done(self, slot, generation),
            _ => {}
        }
    }
}
