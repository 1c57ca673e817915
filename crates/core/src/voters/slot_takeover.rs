//! How a controller without a voter slot obtains one: it asks whether a majority would grant it
//! a slot, and takes it only then. While no slot is free it is a spare and repeats its request.

use crate::command::Command;
use crate::digest::hash_pair;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::time::{SECOND, Span, Tick, ms, since};
use crate::voter_set::{
    NO_SLOT, SlotHolder, VoterSet, after_takeover, keeps_zones_balanced, majority,
};
use crate::voters::handover::VOTER_REPLACEMENT_TIMEOUT;
use crate::voters::voter_slots::{JoinOffer, VoterSlots};

/// How long a vacant slot is reserved for a zone that balances the slots better.
const ZONE_BALANCE_TIMEOUT: Span = 10 * SECOND;

/// How often a controller without a slot requests one. The offers also show it which voters are
/// running.
const JOIN_REQUEST_INTERVAL: Span = ms(500);

/// A controller that requests a slot.
#[derive(Clone, Copy)]
pub struct Candidate<'a> {
    /// Its replica id.
    pub replica_id: u64,
    /// Its address.
    pub addr: &'a str,
    /// Its zone.
    pub zone: &'a str,
}

impl VoterSlots {
    /// Requests a slot if that is due. Used by a controller that has none.
    pub fn request_slot(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let replica_id = self.replica_id();
        if now < self.join_request_at || replica_id == 0 || self.handovers.is_leaving() {
            return;
        }
        self.join_request_at = now + JOIN_REQUEST_INTERVAL;
        let message = Message::JoinRequest {
            replica_id,
            addr: self.addr.clone(),
            zone: self.zone.clone(),
            stamp: self.stamp,
        };
        commands.push(Command::Broadcast { message });
    }

    /// Returns the slots that this controller, the holder of `own`, would grant to a candidate.
    pub fn grantable_slots(
        &self,
        now: Tick,
        own: VoterSlot,
        candidate: Candidate,
    ) -> Vec<VoterSlot> {
        let size = self.voter_set().slots.len() as VoterSlot;
        (0..size).filter(|slot| self.would_grant(now, own, *slot, candidate)).collect()
    }

    /// Whether this controller, the holder of `own`, would grant `slot` to a candidate: the slot
    /// is vacant, or the candidate held it before its disk was lost, or the slot's replica has
    /// sent nothing for `VOTER_REPLACEMENT_TIMEOUT`.
    fn would_grant(
        &self,
        now: Tick,
        own: VoterSlot,
        slot: VoterSlot,
        candidate: Candidate,
    ) -> bool {
        let voter_set = self.newest();
        let Some(holder) = voter_set.slots.get(usize::from(slot)) else { return false };
        if slot == own || holder.replica_id == candidate.replica_id {
            return false;
        }
        let is_at_its_address = |h: &SlotHolder| h.replica_id != 0 && h.addr == candidate.addr;
        if is_at_its_address(holder) {
            return true;
        }
        // A candidate that holds another slot, or held another at this address, takes that one.
        let has_another =
            |h: &SlotHolder| h.replica_id == candidate.replica_id || is_at_its_address(h);
        if voter_set.slots.iter().any(has_another) {
            return false;
        }
        let fits = keeps_zones_balanced(voter_set, slot, candidate.zone);
        if holder.replica_id == 0 {
            return fits || since(self.started_at, now) >= ZONE_BALANCE_TIMEOUT;
        }
        let time_since_message = self.time_since_message.get(usize::from(slot));
        fits && time_since_message
            .is_some_and(|time_since_message| *time_since_message >= VOTER_REPLACEMENT_TIMEOUT)
    }

    /// Handles the list of slots that a voter would grant this controller, which has none.
    /// Claims one that a majority would grant.
    pub fn on_join_offer(
        &mut self,
        now: Tick,
        from: VoterSlot,
        stamp: u64,
        free: Vec<VoterSlot>,
        commands: &mut Vec<Command>,
    ) {
        let is_reserved = self.handovers.is_reserved(now);
        if stamp != self.stamp || self.pending_write.is_some() || is_reserved {
            return;
        }
        let Some(offer) = self.offers.get_mut(usize::from(from)) else { return };
        *offer = Some(JoinOffer { at: now, free });
        if let Some(slot) = self.choose_slot(now) {
            self.claim(now, slot, commands);
        }
    }

    /// Returns the slot to claim among those that a majority would grant: preferably the one
    /// that this address held before, otherwise chosen by hash so that applicants spread over
    /// the free slots.
    fn choose_slot(&self, now: Tick) -> Option<VoterSlot> {
        let size = self.offers.len();
        let offers_it = |slot: VoterSlot, offer: &JoinOffer| {
            since(offer.at, now) < 2 * JOIN_REQUEST_INTERVAL && offer.free.contains(&slot)
        };
        let offers_of = |slot: VoterSlot| {
            let others = self.offers.iter().enumerate().filter(|(i, _)| *i != usize::from(slot));
            others
                .filter_map(|(_, offer)| offer.as_ref())
                .filter(|offer| offers_it(slot, offer))
                .count()
        };
        let was_held_here =
            |slot: &VoterSlot| self.voter_set().slots[usize::from(*slot)].addr == self.addr;
        (0..size as VoterSlot).filter(|slot| offers_of(*slot) >= majority(size)).max_by_key(
            |slot| (was_held_here(slot), hash_pair(self.replica_id(), u64::from(*slot))),
        )
    }

    fn claim(&mut self, now: Tick, slot: VoterSlot, commands: &mut Vec<Command>) {
        let former = self.voter_set().slots[usize::from(slot)].generation;
        let claimed_holder = self.own_holder(after_takeover(former));
        self.offers = vec![None; self.offers.len()];
        self.handovers.claimed_at = Some(now);
        commands.push(Command::Broadcast {
            message: Message::SlotTakeover { slot, holder: claimed_holder },
        });
    }

    /// Returns this controller as the holder of a slot in a generation.
    pub fn own_holder(&self, generation: u32) -> SlotHolder {
        SlotHolder {
            generation,
            replica_id: self.replica_id(),
            addr: self.addr.clone(),
            zone: self.zone.clone(),
        }
    }

    /// Returns the voter set in which a controller has taken over `slot`, if this controller,
    /// the holder of `own`, agrees.
    pub fn with_takeover(
        &self,
        now: Tick,
        own: VoterSlot,
        slot: VoterSlot,
        holder: SlotHolder,
    ) -> Option<VoterSet> {
        let candidate =
            Candidate { replica_id: holder.replica_id, addr: &holder.addr, zone: &holder.zone };
        if own == NO_SLOT || !self.would_grant(now, own, slot, candidate) {
            return None;
        }
        let mut voter_set = self.newest().clone();
        let slot_holder = &mut voter_set.slots[usize::from(slot)];
        if holder.replica_id == 0 || holder.generation != after_takeover(slot_holder.generation) {
            return None;
        }
        *slot_holder = holder;
        Some(voter_set)
    }
}
