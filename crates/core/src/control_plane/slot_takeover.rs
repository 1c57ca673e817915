//! Takeovers of voter slots, from the view of the holders of the other slots and of the new
//! holder.

use crate::command::{Command, ConnectionId};
use crate::control_plane::controller::ControllerState;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::time::Tick;
use crate::voter_set::{NO_SLOT, SlotHolder};
use crate::voters::handover::Applicant;
use crate::voters::slot_takeover::Candidate;

impl ControllerState {
    /// Handles the request of a controller without a slot for the slots that this node
    /// would grant it. `stamp` is the one of that controller's voter set.
    pub(super) fn on_join_request(
        &mut self,
        now: Tick,
        connection: ConnectionId,
        candidate: Candidate,
        stamp: u64,
        commands: &mut Vec<Command>,
    ) {
        if stamp != self.voter_slots.stamp {
            self.voter_slots.send_voter_set(connection, commands);
        }
        if self.slot == NO_SLOT {
            return;
        }
        let applicant = Applicant { connection, zone: candidate.zone.to_string(), at: now };
        self.voter_slots.handovers.record_applicant(candidate.replica_id, applicant);
        if self.is_leaving() {
            // A leaving controller offers only its own slot, through `handover`.
            return;
        }
        let free = self.voter_slots.grantable_slots(now, self.slot, candidate);
        let (slot, stamp) = (self.slot, self.voter_slots.stamp);
        commands.push(Command::ToConnection {
            connection,
            message: Message::JoinOffer { slot, stamp, free },
        });
    }

    /// Handles the slots that the holder of `from` would grant this node.
    pub(super) fn on_join_offer(
        &mut self,
        now: Tick,
        from: VoterSlot,
        stamp: u64,
        free: Vec<VoterSlot>,
        commands: &mut Vec<Command>,
    ) {
        if let Some(time_since_message) =
            self.voter_slots.time_since_message.get_mut(usize::from(from))
        {
            *time_since_message = 0;
        }
        if self.slot == NO_SLOT {
            self.voter_slots.on_join_offer(now, from, stamp, free, commands);
        }
    }

    /// Handles the takeover of a slot that a majority would grant the sender. This node
    /// agrees by adopting the voter set with the new holder; the voter set is sent once it
    /// is on disk.
    pub(super) fn on_slot_takeover(
        &mut self,
        now: Tick,
        slot: VoterSlot,
        holder: SlotHolder,
        commands: &mut Vec<Command>,
    ) {
        let voter_set = self.voter_slots.with_takeover(now, self.slot, slot, holder);
        if let Some(voter_set) = voter_set {
            self.voter_slots.write_voter_set(voter_set, commands);
        }
    }
}
