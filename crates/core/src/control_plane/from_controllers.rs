//! Handles messages on connections that this node opened to other controllers.

use crate::command::Command;
use crate::control_plane::controller::ControllerState;
use crate::control_plane::pending_requests::AttemptId;
use crate::protocol::message::Message;
use crate::time::Tick;

impl ControllerState {
    /// Handles a message of a controller on a connection that this node opened.
    pub(super) fn on_controller_message(
        &mut self,
        now: Tick,
        message: Message,
        commands: &mut Vec<Command>,
    ) {
        match message {
            Message::VoterSetUpdate { replica_id, voter_set } => {
                self.voter_slots.on_voter_set_answer(replica_id, &voter_set, commands);
            }
            Message::JoinOffer { slot, stamp, free } => {
                self.on_join_offer(now, slot, stamp, free, commands);
            }
            Message::OperationResponse { op, attempt, result } => {
                self.on_operation_response(now, AttemptId { op, attempt }, result, commands);
            }
            Message::HandoverOffer { slot, generation } => {
                self.on_handover_offer(now, slot, generation, commands);
            }
            Message::HandoverDone { slot, generation } => self.on_handover_done(slot, generation),
            _ => {}
        }
    }
}
