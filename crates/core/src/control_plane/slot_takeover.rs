//! Slot takeovers, as the holders of the other slots and the newcomer see them.

use crate::command::{Command, ConnectionId};
use crate::control_plane::controller::ControllerState;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::time::Tick;
use crate::voter_set::{NO_SLOT, SlotHolder};
use crate::voters::handover::Applicant;
use crate::voters::slot_takeover::Candidate;

impl ControllerState {
    /// A controller without a slot asks what we would give it. `stamp` is that of its
    /// voter set.
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
            // What we would give is our own slot alone, and is offered by `handover`.
            return;
        }
        let free = self.voter_slots.grantable_slots(now, self.slot, candidate);
        let (slot, stamp) = (self.slot, self.voter_slots.stamp);
        commands.push(Command::ToConnection {
            connection,
            message: Message::JoinOffer { slot, stamp, free },
        });
    }

    /// The holder of `from` says which slots it would give us.
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

    /// A controller takes a slot that a majority would give it. We agree by holding the
    /// voter set with it; that is sent once it is on our disk.
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
