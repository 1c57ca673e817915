//! Handovers of voter slots (`voters::handover`), from the view of the leaving controller
//! and of the spare that takes its slot.

use crate::command::{Command, ConnectionId};
use crate::control_plane::controller::ControllerState;
use crate::identifiers::VoterSlot;
use crate::protocol::membership::Memberships;
use crate::protocol::message::Message;
use crate::protocol::replica::{HandedOverReplica, ReplicaCondition};
use crate::replication::partition::{AfterWrite, Partition, Role};
use crate::storage::record::ReplicaState;
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::{NO_SLOT, SlotHolder, VoterSet, merge};
use crate::voters::handover::{Departure, OfferSent, Stage};
use crate::voters::handover::{HANDOVER_RETRY_INTERVAL, HANDOVER_TIMEOUT};

/// How long a stopping controller waits for the new leaders of the partitions that it led.
/// An election without a fault takes a tenth of this.
const LEADERSHIP_TRANSFER_TIMEOUT: Span = ms(500);

/// The state that a leaving voter sends to this node.
pub(super) struct ReceivedHandover {
    pub(super) slot: VoterSlot,
    pub(super) generation: u32,
    pub(super) voter_set: VoterSet,
    pub(super) replicas: Vec<HandedOverReplica>,
    pub(super) memberships: Memberships,
}

impl ControllerState {
    /// Returns whether this process was asked to stop.
    pub fn is_leaving(&self) -> bool {
        self.voter_slots.handovers.is_leaving()
    }

    /// Returns whether a process that was asked to stop may exit.
    pub fn may_end(&self, now: Tick) -> bool {
        let is_waiting = |operation| self.pending_requests.contains_key(&operation);
        self.voter_slots.handovers.may_end(now, is_waiting)
    }

    /// Starts the handover after the process was asked to stop.
    pub(super) fn begin_handover(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if self.is_leaving() {
            return;
        }
        self.transfer_leadership(now, commands);
        self.voter_slots.handovers.begin(now);
        if self.slot == NO_SLOT || self.voter_slots.handovers.applicants.is_empty() {
            return self.finish_handover();
        }
        self.wake_handover(now, commands);
    }

    /// Finishes the handover: the slot has a new holder, or there is no spare to take it.
    fn finish_handover(&mut self) {
        self.voter_slots.handovers.finish(self.pending_requests.keys().copied());
    }

    /// Handles a timer tick of a handover.
    pub(super) fn wake_handover(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let slot = self.slot;
        let handovers = &mut self.voter_slots.handovers;
        handovers.drop_silent_applicants(now);
        let Some(departure) = &mut handovers.departure else { return };
        let elapsed = since(departure.began_at, now);
        if elapsed >= HANDOVER_TIMEOUT {
            return self.finish_handover();
        }
        match &mut departure.stage {
            Stage::TransferringLeadership => {
                if elapsed >= LEADERSHIP_TRANSFER_TIMEOUT || self.others_lead_all() {
                    self.offer_slot(now, None, commands);
                }
            }
            Stage::Offering { last_offer } => {
                let last_offer = *last_offer;
                if last_offer
                    .is_none_or(|last_offer| since(last_offer.at, now) >= HANDOVER_RETRY_INTERVAL)
                {
                    let last = last_offer.map(|last_offer| last_offer.replica_id);
                    self.offer_slot(now, last, commands);
                }
            }
            // Another controller may already have taken the slot over.
            Stage::Resigning { .. } if slot == NO_SLOT => self.finish_handover(),
            Stage::Resigning { .. } | Stage::Answering { .. } => {}
            Stage::Sending { state, slot, sent_at } => {
                if sent_at.is_none_or(|at| since(at, now) >= HANDOVER_RETRY_INTERVAL) {
                    *sent_at = Some(now);
                    let message = (**state).clone();
                    commands.push(Command::ToVoter { slot: *slot, message });
                }
            }
        }
    }

    /// Returns whether every partition has a leader other than this process.
    fn others_lead_all(&self) -> bool {
        let is_led = |p: &Partition| matches!(p.role, Role::Follower { leader: Some(_), .. });
        self.partitions.iter().all(is_led)
    }

    /// Offers the slot of this node to an eligible spare. If there are several, the offer
    /// goes to another one than `last`.
    fn offer_slot(&mut self, now: Tick, last: Option<u64>, commands: &mut Vec<Command>) {
        let slot = self.slot;
        let handovers = &self.voter_slots.handovers;
        let successor = handovers.choose_successor(self.voter_slots.voter_set(), slot, last);
        let Some(successor) = successor else { return self.finish_handover() };
        commands.push(Command::ToConnection {
            connection: successor.connection,
            message: Message::HandoverOffer { slot, generation: successor.generation },
        });
        let last_offer = Some(OfferSent { replica_id: successor.replica_id, at: now });
        self.voter_slots.handovers.enter(Stage::Offering { last_offer });
    }

    /// Handles the offer of a voter slot by its leaving holder.
    pub(super) fn on_handover_offer(
        &mut self,
        now: Tick,
        slot: VoterSlot,
        generation: u32,
        commands: &mut Vec<Command>,
    ) {
        let voter_slots = &mut self.voter_slots;
        let is_spare = self.slot == NO_SLOT
            && voter_slots.replica_id() != 0
            && voter_slots.pending_write.is_none();
        if !is_spare || !voter_slots.handovers.may_reserve(now, slot, generation) {
            return;
        }
        voter_slots.handovers.reserve(now, slot, generation);
        voter_slots.offers.fill(None);
        let new_holder = voter_slots.own_holder(generation);
        commands.push(Command::Broadcast {
            message: Message::HandoverAccept { slot, holder: new_holder },
        });
    }

    /// Handles the acceptance of the spare to which the slot was offered: writes the voter
    /// set in which this node no longer holds the slot.
    pub(super) fn on_handover_accept(
        &mut self,
        now: Tick,
        slot: VoterSlot,
        successor: SlotHolder,
        commands: &mut Vec<Command>,
    ) {
        let voter_slots = &mut self.voter_slots;
        if self.slot != slot || voter_slots.pending_write.is_some() {
            return;
        }
        let replica_id = successor.replica_id;
        let newest = voter_slots.newest();
        let voter_set = voter_slots.handovers.with_successor(now, newest, slot, successor);
        let Some(voter_set) = voter_set else { return };
        voter_slots.handovers.enter(Stage::Resigning { slot, successor: replica_id });
        voter_slots.write_voter_set(voter_set, commands);
    }

    /// Sends the state of this node's replicas to the chosen successor, if the voter set
    /// that was just written has it as the holder of the slot. Returns whether it does.
    pub(super) fn send_state_to_successor(
        &mut self,
        now: Tick,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(Departure { stage: Stage::Resigning { slot, successor }, .. }) =
            self.voter_slots.handovers.departure
        else {
            return false;
        };
        let current_set = self.voter_slots.voter_set().clone();
        let holder = &current_set.slots[usize::from(slot)];
        if holder.replica_id != successor {
            return false;
        }
        let generation = holder.generation;
        let replicas =
            self.partitions.iter().filter(|p| p.can_vote()).map(handover_state).collect();
        let memberships = self.members.held_memberships();
        let state =
            Message::Handover { slot, generation, voter_set: current_set, replicas, memberships };
        let state = Box::new(state);
        self.voter_slots.handovers.enter(Stage::Sending { state, slot, sent_at: None });
        self.reset_replicas(now, commands);
        true
    }

    /// Handles the state sent by the voter whose slot this node takes. The state is written
    /// only after the voter set that gives this node the slot is on disk; until then the
    /// sender repeats the message.
    pub(super) fn on_handover(
        &mut self,
        now: Tick,
        connection: ConnectionId,
        received: ReceivedHandover,
        commands: &mut Vec<Command>,
    ) {
        let ReceivedHandover { slot, generation, voter_set, replicas, memberships } = received;
        self.voter_slots.merge_voter_set(&voter_set, commands);
        let own_set = self.voter_slots.voter_set();
        if self.slot != slot
            || !is_of_generation(own_set, slot, generation)
            || merge(own_set, &voter_set).is_some()
        {
            return;
        }
        self.members.inherit(memberships);
        for state in replicas {
            if let Some(replica) = self.partitions.get_mut(state.partition.0 as usize) {
                install(replica, now, state, commands);
            }
        }
        if self.partitions.iter().all(|p| p.condition == ReplicaCondition::Voting) {
            let message = Message::HandoverDone { slot, generation };
            commands.push(Command::ToConnection { connection, message });
        }
    }

    /// Handles the message that the successor votes: the handover is complete.
    pub(super) fn on_handover_done(&mut self, slot: VoterSlot, generation: u32) {
        let is_own_handover = is_of_generation(self.voter_slots.voter_set(), slot, generation);
        if is_own_handover && self.voter_slots.handovers.is_sending(slot) {
            self.finish_handover();
        }
    }
}

fn is_of_generation(voter_set: &VoterSet, slot: VoterSlot, generation: u32) -> bool {
    voter_set.slots.get(usize::from(slot)).is_some_and(|h| h.generation == generation)
}

/// Returns the state of a replica as it is sent to the successor.
fn handover_state(replica: &Partition) -> HandedOverReplica {
    let ReplicaState { current_term, written_term, revision, entries } = replica.state.clone();
    HandedOverReplica { partition: replica.id, current_term, written_term, revision, entries }
}

/// Writes a received replica, unless the one of this node already votes.
fn install(
    replica: &mut Partition,
    now: Tick,
    handover_state: HandedOverReplica,
    commands: &mut Vec<Command>,
) {
    if replica.condition == ReplicaCondition::Voting || !replica.writes.is_empty() {
        return;
    }
    let HandedOverReplica { current_term, written_term, revision, entries, .. } = handover_state;
    replica.restart_changes(revision, &entries);
    replica.state = ReplicaState { current_term, written_term, revision, entries };
    replica.persist_snapshot(now, vec![AfterWrite::StartVoting], commands);
}
