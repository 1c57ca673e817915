//! Handovers of voter slots (`voters::handover`), as the controller that leaves and
//! the spare that takes its place see them.

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

/// How long a controller that was asked to stop waits for the new leaders of the
/// partitions that it led: an election without a fault takes a tenth of it.
const LEADERSHIP_TRANSFER: Span = ms(500);

/// What a voter that leaves hands to us.
pub(super) struct ReceivedHandover {
    pub(super) slot: VoterSlot,
    pub(super) generation: u32,
    pub(super) voter_set: VoterSet,
    pub(super) replicas: Vec<HandedOverReplica>,
    pub(super) memberships: Memberships,
}

impl ControllerState {
    /// Whether this process was asked to stop.
    pub fn is_leaving(&self) -> bool {
        self.voter_slots.handovers.is_leaving()
    }

    /// Whether a process that was asked to stop may end.
    pub fn may_end(&self, now: Tick) -> bool {
        let is_waiting = |operation| self.pending_requests.contains_key(&operation);
        self.voter_slots.handovers.may_end(now, is_waiting)
    }

    /// The process was asked to stop.
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

    /// The slot is another's, or nobody is there to take it.
    fn finish_handover(&mut self) {
        self.voter_slots.handovers.finish(self.pending_requests.keys().copied());
    }

    /// Time passes.
    pub(super) fn wake_handover(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let slot = self.slot;
        let handovers = &mut self.voter_slots.handovers;
        handovers.drop_silent_applicants(now);
        let Some(departure) = &mut handovers.departure else { return };
        let spent = since(departure.began_at, now);
        if spent >= HANDOVER_TIMEOUT {
            return self.finish_handover();
        }
        match &mut departure.stage {
            Stage::TransferringLeadership => {
                if spent >= LEADERSHIP_TRANSFER || self.others_lead_all() {
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
            // A takeover may have been quicker than we were.
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

    /// Whether every partition has a leader that is not this process.
    fn others_lead_all(&self) -> bool {
        let is_led = |p: &Partition| matches!(p.role, Role::Follower { leader: Some(_), .. });
        self.partitions.iter().all(is_led)
    }

    /// Offers our slot to a spare, if there is one that may have it; to another than
    /// `last`, if there are several.
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

    /// A voter that leaves offers us its slot.
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
        let holding = voter_slots.own_holder(generation);
        commands.push(Command::Broadcast {
            message: Message::HandoverAccept { slot, holder: holding },
        });
    }

    /// The spare that we asked is ready: we give the slot up, first on our disk.
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
        let replica_id = successor.holder;
        let newest = voter_slots.newest();
        let voter_set = voter_slots.handovers.with_successor(now, newest, slot, successor);
        let Some(voter_set) = voter_set else { return };
        voter_slots.handovers.enter(Stage::Resigning { slot, successor: replica_id });
        voter_slots.write_voter_set(voter_set, commands);
    }

    /// Our slot is another's by the voter set that was just written. If that is the
    /// successor that we chose, what our replicas hold goes there; tells whether so.
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
        let table = self.voter_slots.voter_set().clone();
        let holder = &table.slots[usize::from(slot)];
        if holder.holder != successor {
            return false;
        }
        let generation = holder.generation;
        let replicas = self.partitions.iter().filter(|p| p.can_vote()).map(handed_over).collect();
        let memberships = self.members.held_memberships();
        let state = Message::Handover { slot, generation, voter_set: table, replicas, memberships };
        let state = Box::new(state);
        self.voter_slots.handovers.enter(Stage::Sending { state, slot, sent_at: None });
        self.forget_replicas(now, commands);
        true
    }

    /// The state of a voter whose slot we take over. It is written once the voter set
    /// that gives us the slot is on our disk; until then it is sent again.
    pub(super) fn on_handover(
        &mut self,
        now: Tick,
        connection: ConnectionId,
        received: ReceivedHandover,
        commands: &mut Vec<Command>,
    ) {
        let ReceivedHandover { slot, generation, voter_set, replicas, memberships } = received;
        self.voter_slots.merge_voter_set(&voter_set, commands);
        let ours = self.voter_slots.voter_set();
        if self.slot != slot
            || !is_of_generation(ours, slot, generation)
            || merge(ours, &voter_set).is_some()
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

    /// The successor votes: nothing keeps us any longer.
    pub(super) fn on_handover_done(&mut self, slot: VoterSlot, generation: u32) {
        let is_ours = is_of_generation(self.voter_slots.voter_set(), slot, generation);
        if is_ours && self.voter_slots.handovers.is_sending(slot) {
            self.finish_handover();
        }
    }
}

fn is_of_generation(voter_set: &VoterSet, slot: VoterSlot, generation: u32) -> bool {
    voter_set.slots.get(usize::from(slot)).is_some_and(|h| h.generation == generation)
}

/// What a replica hands to the successor.
fn handed_over(replica: &Partition) -> HandedOverReplica {
    let ReplicaState { current_term, written_term, revision, entries } = replica.state.clone();
    HandedOverReplica { partition: replica.id, current_term, written_term, revision, entries }
}

/// Writes a replica that was handed over, unless ours votes already.
fn install(
    replica: &mut Partition,
    now: Tick,
    handed_over: HandedOverReplica,
    commands: &mut Vec<Command>,
) {
    if replica.condition == ReplicaCondition::Voting || !replica.writes.is_empty() {
        return;
    }
    let HandedOverReplica { current_term, written_term, revision, entries, .. } = handed_over;
    replica.restart_changes(revision, &entries);
    replica.state = ReplicaState { current_term, written_term, revision, entries };
    replica.persist_snapshot(now, vec![AfterWrite::StartVoting], commands);
}
