//! How a controller that is asked to stop hands its voter slot to a spare.
//!
//! 1. It gives up leadership: each partition that it leads goes to the follower whose
//!    state is newest (`election`), and it waits until it hears the new leaders.
//! 2. It offers its slot to a spare that asked for one lately. The spare accepts, and
//!    takes no other slot for a while.
//! 3. It writes a voter set in which the spare holds the slot. From the moment that
//!    this is on its disk it votes no more, for good.
//! 4. It sends the spare the voter set with all that its replicas hold. The spare
//!    writes that and votes from then on, in its place. It needs nobody else for it:
//!    one more voter may be lost at this very moment.
//! 5. It ends when the spare confirms, or when its patience ends.
//!
//! **Why it is safe.** The process that leaves and its successor never vote both, and
//! the successor begins with all that the former had voted for and accepted, so the two
//! count as one process whose voter set has risen; the argument in `voters` holds as it
//! stands. A takeover of the same slot that a majority agreed to meanwhile wins, since
//! its generation is above that of any handover (`voter_set::after_takeover`): a
//! majority of the other voters then goes by the takeover's voter set, and too few are
//! left for one with the successor.

use indexmap::IndexMap;

use crate::command::ConnectionId;
use crate::consts;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::time::{SECOND, Span, Tick, ms, since};
use crate::voter_set::{SlotHolder, VoterSet, after_handover, keeps_zones_balanced};

/// Silence after which a slot's replica may be replaced. Five times the interval at which
/// it shows that it lives, and more than a restart takes; replacing it costs a whole copy
/// of the state.
pub(super) const VOTER_REPLACEMENT_TIMEOUT: Span = ms(2_500);

/// How often a handover of a voter slot is offered or sent again: above a few round trips
/// and two syncs of a slow disk.
pub const HANDOVER_RETRY_INTERVAL: Span = ms(150);

/// How long a controller that was asked to stop tries to hand its voter slot over. Half of
/// the usual time between SIGTERM and SIGKILL.
pub const HANDOVER_TIMEOUT: Span = 3 * SECOND;

/// A controller without a voter slot that asked us for one.
pub struct Applicant {
    /// The connection on which it asked.
    pub connection: ConnectionId,
    /// Its zone.
    pub zone: String,
    /// When it last asked.
    pub at: Tick,
}

/// What a controller knows of handovers, its own and others'.
#[derive(Default)]
pub struct Handovers {
    /// Who asked us for a slot, by replica id.
    pub applicants: IndexMap<u64, Applicant>,
    /// Our own departure, once we were asked to stop.
    pub departure: Option<Departure>,
    /// The slot that we agreed to take over.
    pub reservation: Option<Reservation>,
    /// When we last claimed a slot by a majority's offers.
    pub claimed_at: Option<Tick>,
}

/// A slot that a spare waits for. Two voters that leave at the same time must not hand
/// theirs to the same spare.
pub struct Reservation {
    slot: VoterSlot,
    generation: u32,
    until: Tick,
}

/// The departure of a controller that was asked to stop.
pub struct Departure {
    /// When it was asked to.
    pub began_at: Tick,
    /// How far it is.
    pub stage: Stage,
}

/// How far a departure is. It only goes on, from one to the next.
pub enum Stage {
    /// The partitions that we led get other leaders.
    TransferringLeadership,
    /// A spare is asked to take the slot over.
    Offering {
        /// The spare that was last asked.
        asked: Option<OfferSent>,
    },
    /// The voter set without us is on its way to our disk.
    Resigning {
        /// Our slot.
        slot: VoterSlot,
        /// Replica id of the spare that takes it over.
        successor: u64,
    },
    /// We vote no more; the successor is sent our state.
    Sending {
        /// The message that carries it.
        state: Box<Message>,
        /// The slot that was ours.
        slot: VoterSlot,
        /// When it was last sent.
        sent_at: Option<Tick>,
    },
    /// Nothing is left to do but to answer the operators who waited by then.
    Answering {
        /// Numbers of their requests.
        operations: Vec<u64>,
    },
}

/// An offer of our slot to a spare.
#[derive(Clone, Copy)]
pub struct OfferSent {
    /// Replica id of the spare.
    pub replica_id: u64,
    /// When it was asked.
    pub at: Tick,
}

/// A spare that may have our slot.
pub struct Successor {
    /// Its replica id.
    pub replica_id: u64,
    /// The connection on which it asked for a slot.
    pub connection: ConnectionId,
    /// Generation in which it would hold the slot.
    pub generation: u32,
}

impl Handovers {
    /// Whether this process was asked to stop.
    pub fn is_leaving(&self) -> bool {
        self.departure.is_some()
    }

    /// The process was asked to stop.
    pub fn begin(&mut self, now: Tick) {
        self.departure = Some(Departure { began_at: now, stage: Stage::TransferringLeadership });
    }

    /// Goes on to the next stage of our departure.
    pub fn enter(&mut self, stage: Stage) {
        if let Some(departure) = &mut self.departure {
            departure.stage = stage;
        }
    }

    /// The slot is another's, or nobody is there to take it. `operations` are the
    /// requests of operators that wait.
    pub fn finish(&mut self, operations: impl Iterator<Item = u64>) {
        if let Some(departure) = &mut self.departure
            && !matches!(departure.stage, Stage::Answering { .. })
        {
            departure.stage = Stage::Answering { operations: operations.collect() };
        }
    }

    /// Whether a process that was asked to stop may end: nobody waits for an answer
    /// any more, or its patience has ended.
    pub fn may_end(&self, now: Tick, is_waiting: impl Fn(u64) -> bool) -> bool {
        let Some(departure) = &self.departure else { return false };
        let Stage::Answering { operations } = &departure.stage else { return false };
        since(departure.began_at, now) >= HANDOVER_TIMEOUT
            || !operations.iter().any(|operation| is_waiting(*operation))
    }

    /// Notes that a spare asked us for a slot.
    pub fn record_applicant(&mut self, replica_id: u64, applicant: Applicant) {
        self.applicants.insert(replica_id, applicant);
    }

    /// Forgets the spares that ask no more.
    pub fn drop_silent_applicants(&mut self, now: Tick) {
        self.applicants.retain(|_, a| since(a.at, now) < consts::VOTER_SILENCE_TIMEOUT);
    }

    /// A spare that may have `slot`, if there is one; another than `last`, if there are
    /// several.
    pub fn choose_successor(
        &self,
        voter_set: &VoterSet,
        slot: VoterSlot,
        last: Option<u64>,
    ) -> Option<Successor> {
        let generation = next_generation(voter_set, slot)?;
        let fits = |(replica_id, applicant): &(&u64, &Applicant)| {
            let has_slot = voter_set.slots.iter().any(|h| h.holder == **replica_id);
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

    /// Whether we wait for a slot that a leaving voter hands to us, who have none.
    pub fn is_reserved(&self, now: Tick) -> bool {
        self.reservation.as_ref().is_some_and(|reservation| now < reservation.until)
    }

    /// Whether we may agree to take over a slot: we don't leave, wait for no other one,
    /// and did not claim one just now.
    pub fn may_reserve(&self, now: Tick, slot: VoterSlot, generation: u32) -> bool {
        let has_claimed =
            self.claimed_at.is_some_and(|at| since(at, now) < VOTER_REPLACEMENT_TIMEOUT);
        let waits_for_other = self.reservation.as_ref().is_some_and(|reserved| {
            now < reserved.until && (reserved.slot, reserved.generation) != (slot, generation)
        });
        !has_claimed && !waits_for_other && !self.is_leaving()
    }

    /// Waits for a slot that was offered to us.
    pub fn reserve(&mut self, now: Tick, slot: VoterSlot, generation: u32) {
        let until = now + HANDOVER_TIMEOUT;
        self.reservation = Some(Reservation { slot, generation, until });
    }

    /// The voter set with `holder` in `slot`, if that is the spare that we asked and
    /// that still waits for us.
    pub fn with_successor(
        &self,
        now: Tick,
        newest: &VoterSet,
        slot: VoterSlot,
        holder: SlotHolder,
    ) -> Option<VoterSet> {
        let Some(Departure { stage: Stage::Offering { asked: Some(asked) }, .. }) = &self.departure
        else {
            return None;
        };
        // After a pause of ours the spare may wait for us no more.
        let is_fresh = since(asked.at, now) < 2 * HANDOVER_RETRY_INTERVAL;
        let has_slot = newest.slots.iter().any(|h| h.holder == asked.replica_id);
        let is_asked = asked.replica_id == holder.holder
            && next_generation(newest, slot) == Some(holder.generation);
        if !is_fresh || has_slot || !is_asked {
            return None;
        }
        let mut voter_set = newest.clone();
        voter_set.slots[usize::from(slot)] = holder;
        Some(voter_set)
    }

    /// Whether we send our state to the successor in `slot`.
    pub fn is_sending(&self, slot: VoterSlot) -> bool {
        let departure = self.departure.as_ref();
        departure
            .is_some_and(|d| matches!(d.stage, Stage::Sending { slot: ours, .. } if ours == slot))
    }
}

/// The generation in which a successor would hold `slot`, if one is left before the
/// next takeover.
fn next_generation(voter_set: &VoterSet, slot: VoterSlot) -> Option<u32> {
    voter_set.slots.get(usize::from(slot)).and_then(|h| after_handover(h.generation))
}
