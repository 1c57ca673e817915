//! How a controller that is asked to stop hands its voter slot over to a spare (a controller
//! without a slot).
//!
//! 1. It gives up leadership: each partition that it leads goes to the follower whose state is
//!    newest (`election`), and it waits until it receives messages of the new leaders.
//! 2. It offers its slot to a spare that has recently requested one. The spare accepts, and
//!    takes no other slot for a while.
//! 3. It writes a voter set in which the spare holds the slot. Once this is on its disk, it
//!    never votes again.
//! 4. It sends the spare the voter set and the complete state of its replicas. The spare writes
//!    both and from then on votes in its place. The spare needs no other voter for this: one
//!    more voter may be lost at the same moment.
//! 5. It exits when the spare confirms, or after `HANDOVER_TIMEOUT`.
//!
//! **Why this is safe.** The leaving process and its successor never both vote, and the
//! successor begins with everything that the former had voted for and accepted. The two
//! therefore count as one process whose voter set has risen, and the argument in `voters`
//! applies unchanged. A takeover of the same slot that a majority has agreed to in the meantime
//! wins, since its generation is above that of any handover (`voter_set::after_takeover`): a
//! majority of the other voters then uses the takeover's voter set, and too few are left for a
//! majority with the successor.

use indexmap::IndexMap;

use crate::command::ConnectionId;
use crate::consts;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::time::{SECOND, Span, Tick, ms, since};
use crate::voter_set::{SlotHolder, VoterSet, after_handover, keeps_zones_balanced};

/// Time without a message after which a slot's replica may be replaced. Five times the interval
/// of its keepalives, and more than a restart takes; a replacement costs a complete copy of the
/// state.
pub(super) const VOTER_REPLACEMENT_TIMEOUT: Span = ms(2_500);

/// Interval at which an unanswered offer or state transfer is sent again: longer than a few
/// round trips and two syncs of a slow disk.
pub const HANDOVER_RETRY_INTERVAL: Span = ms(150);

/// How long a controller that was asked to stop tries to hand its voter slot over. Half of the
/// usual time between SIGTERM and SIGKILL.
pub const HANDOVER_TIMEOUT: Span = 3 * SECOND;

/// A controller without a voter slot that requested one from this controller.
pub struct Applicant {
    /// The connection on which it sent the request.
    pub connection: ConnectionId,
    /// Its zone.
    pub zone: String,
    /// When it last sent the request.
    pub at: Tick,
}

/// The state of handovers from and to this controller.
#[derive(Default)]
pub struct Handovers {
    /// The controllers that requested a slot, by replica id.
    pub applicants: IndexMap<u64, Applicant>,
    /// The departure of this controller, once it was asked to stop.
    pub departure: Option<Departure>,
    /// The slot that this controller has agreed to take over.
    pub reservation: Option<Reservation>,
    /// When this controller last claimed a slot that a majority had offered.
    pub claimed_at: Option<Tick>,
}

/// A slot that a spare waits for. Two voters that leave at the same time must not hand their
/// slots over to the same spare.
pub struct Reservation {
    slot: VoterSlot,
    generation: u32,
    until: Tick,
}

/// The departure of a controller that was asked to stop.
pub struct Departure {
    /// When it was asked to stop.
    pub began_at: Tick,
    /// The stage that it has reached.
    pub stage: Stage,
}

/// The stages of a departure, in their order. A departure never returns to an earlier stage.
pub enum Stage {
    /// The partitions that this controller led get other leaders.
    TransferringLeadership,
    /// The slot is offered to a spare.
    Offering {
        /// The last offer that was sent.
        last_offer: Option<OfferSent>,
    },
    /// The voter set without this controller is being written to its disk.
    Resigning {
        /// The slot of this controller.
        slot: VoterSlot,
        /// Replica id of the spare that takes the slot over.
        successor: u64,
    },
    /// This controller no longer votes; its state is being sent to the successor.
    Sending {
        /// The message that carries the state.
        state: Box<Message>,
        /// The slot that this controller held.
        slot: VoterSlot,
        /// When the message was last sent.
        sent_at: Option<Tick>,
    },
    /// Only the operators whose requests were pending at this point still have to be answered.
    Answering {
        /// Numbers of their requests.
        operations: Vec<u64>,
    },
}

/// An offer of this controller's slot to a spare.
#[derive(Clone, Copy)]
pub struct OfferSent {
    /// Replica id of the spare.
    pub replica_id: u64,
    /// When the offer was sent.
    pub at: Tick,
}

/// A spare that may take over this controller's slot.
pub struct Successor {
    /// Its replica id.
    pub replica_id: u64,
    /// The connection on which it requested a slot.
    pub connection: ConnectionId,
    /// Generation of the slot that it would hold.
    pub generation: u32,
}

impl Handovers {
    /// Whether this process was asked to stop.
    pub fn is_leaving(&self) -> bool {
        self.departure.is_some()
    }

    /// Begins the departure: the process was asked to stop.
    pub fn begin(&mut self, now: Tick) {
        self.departure = Some(Departure { began_at: now, stage: Stage::TransferringLeadership });
    }

    /// Enters the next stage of the departure.
    pub fn enter(&mut self, stage: Stage) {
        if let Some(departure) = &mut self.departure {
            departure.stage = stage;
        }
    }

    /// Enters the last stage, once another replica holds the slot or no spare can take it.
    /// `operations` are the pending requests of operators.
    pub fn finish(&mut self, operations: impl Iterator<Item = u64>) {
        if let Some(departure) = &mut self.departure
            && !matches!(departure.stage, Stage::Answering { .. })
        {
            departure.stage = Stage::Answering { operations: operations.collect() };
        }
    }

    /// Whether a process that was asked to stop may exit: no operator waits for an answer any
    /// more, or `HANDOVER_TIMEOUT` has passed.
    pub fn may_end(&self, now: Tick, is_waiting: impl Fn(u64) -> bool) -> bool {
        let Some(departure) = &self.departure else { return false };
        let Stage::Answering { operations } = &departure.stage else { return false };
        since(departure.began_at, now) >= HANDOVER_TIMEOUT
            || !operations.iter().any(|operation| is_waiting(*operation))
    }

    /// Records a spare that requested a slot.
    pub fn record_applicant(&mut self, replica_id: u64, applicant: Applicant) {
        self.applicants.insert(replica_id, applicant);
    }

    /// Drops the spares that no longer request a slot.
    pub fn drop_silent_applicants(&mut self, now: Tick) {
        self.applicants.retain(|_, a| since(a.at, now) < consts::VOTER_SILENCE_TIMEOUT);
    }

    /// Returns a spare that may take over `slot`, if there is one. If there are several, it is
    /// not `last`.
    pub fn choose_successor(
        &self,
        voter_set: &VoterSet,
        slot: VoterSlot,
        last: Option<u64>,
    ) -> Option<Successor> {
        let generation = next_generation(voter_set, slot)?;
        let fits = |(replica_id, applicant): &(&u64, &Applicant)| {
            let has_slot = voter_set.slots.iter().any(|h| h.replica_id == **replica_id);
            !has_slot && keeps_zones_balanced(voter_set, slot, &applicant.zone)
        };
        self.applicants
            .iter()
            .filter(fits)
            .max_by_key(|(replica_id, a)| (Some(**replica_id) != last, a.at, **replica_id))
            .map(|(replica_id, a)| Successor {
                replica_id: *replica_id,
                connection: a.connection,
                generation,
            })
    }

    /// Whether this controller, which has no slot, waits for one that a leaving voter hands
    /// over.
    pub fn is_reserved(&self, now: Tick) -> bool {
        self.reservation.as_ref().is_some_and(|reservation| now < reservation.until)
    }

    /// Whether this controller may agree to take over a slot: it is not leaving, waits for no
    /// other slot, and has not claimed one recently.
    pub fn may_reserve(&self, now: Tick, slot: VoterSlot, generation: u32) -> bool {
        let has_claimed =
            self.claimed_at.is_some_and(|at| since(at, now) < VOTER_REPLACEMENT_TIMEOUT);
        let waits_for_other = self.reservation.as_ref().is_some_and(|reserved| {
            now < reserved.until && (reserved.slot, reserved.generation) != (slot, generation)
        });
        !has_claimed && !waits_for_other && !self.is_leaving()
    }

    /// Reserves this controller for a slot that was offered to it.
    pub fn reserve(&mut self, now: Tick, slot: VoterSlot, generation: u32) {
        let until = now + HANDOVER_TIMEOUT;
        self.reservation = Some(Reservation { slot, generation, until });
    }

    /// Returns the voter set with `holder` in `slot`, if that is the spare to which the slot
    /// was last offered and it still waits for the slot.
    pub fn with_successor(
        &self,
        now: Tick,
        newest: &VoterSet,
        slot: VoterSlot,
        holder: SlotHolder,
    ) -> Option<VoterSet> {
        let Some(Departure { stage: Stage::Offering { last_offer: Some(last_offer) }, .. }) =
            &self.departure
        else {
            return None;
        };
        // If this process was paused, the spare may have stopped waiting.
        let is_fresh = since(last_offer.at, now) < 2 * HANDOVER_RETRY_INTERVAL;
        let has_slot = newest.slots.iter().any(|h| h.replica_id == last_offer.replica_id);
        let is_offered_to = last_offer.replica_id == holder.replica_id
            && next_generation(newest, slot) == Some(holder.generation);
        if !is_fresh || has_slot || !is_offered_to {
            return None;
        }
        let mut voter_set = newest.clone();
        voter_set.slots[usize::from(slot)] = holder;
        Some(voter_set)
    }

    /// Whether this controller is sending its state to the successor in `slot`.
    pub fn is_sending(&self, slot: VoterSlot) -> bool {
        let departure = self.departure.as_ref();
        departure
            .is_some_and(|d| matches!(d.stage, Stage::Sending { slot: ours, .. } if ours == slot))
    }
}

/// Returns the generation in which a successor would hold `slot`, if one is left before the next
/// takeover's.
fn next_generation(voter_set: &VoterSet, slot: VoterSlot) -> Option<u32> {
    voter_set.slots.get(usize::from(slot)).and_then(|h| after_handover(h.generation))
}
