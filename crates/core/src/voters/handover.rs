//! How a controller that is asked to stop hands its voter slot to a spare.
//!
//! 1. It gives up leadership: each partition that it leads goes to the follower
//!    whose copy is furthest (`election::transfer`), and it waits until it hears the
//!    new leaders.
//! 2. It offers its slot to a spare that asked for one lately. The spare accepts,
//!    and takes no other slot for a while.
//! 3. It writes a voter set in which the spare holds the slot. From the moment
//!    that this is on its disk it votes no more, for good.
//! 4. It sends the spare the voter set with all that its replicas hold. The spare
//!    writes that and votes from then on, in its place. It needs nobody else for
//!    it: one more voter may be lost at this very moment.
//! 5. It ends when the spare confirms, or when its patience ends.
//!
//! **Why it is safe.** The process that leaves and its successor never vote both,
//! and the successor begins with all that the former had promised and accepted,
//! so the two count as one process whose voter set has risen; the argument in
//! `seats` holds as it stands. A takeover of the same slot that a majority agreed
//! to meanwhile wins, since its generation is above that of any handover
//! (`table::after_takeover`): a majority of the other voters then goes by the
//! takeover's voter set, and too few are left for one with the successor.

use indexmap::IndexMap;

use crate::command::{Command, ConnectionId};
use crate::consts;
use crate::control_plane::controller::ControllerState;
use crate::identifiers::VoterSlot;
use crate::protocol::message::{HandedOverReplica, Memberships, Message, ReplicaCondition};
use crate::replication::partition::{AfterWrite, Partition, Role};
use crate::storage::record::ReplicaState;
use crate::time::{Tick, since};
use crate::voter_set::{NOBODY, SlotHolder, VoterSet, after_handover, balanced, merge};
use crate::voters::voter_slots;

/// A controller without a voter slot that asked us for one.
pub struct Applicant {
    pub connection: ConnectionId,
    pub zone: String,
    pub at: Tick,
}

/// What a controller knows of handovers, its own and others'.
#[derive(Default)]
pub struct Handovers {
    /// Who asked us for a slot, by replica id.
    pub applicants: IndexMap<u64, Applicant>,
    /// Our own departure, once we were asked to stop.
    pub leaving: Option<Leaving>,
    /// The slot that we agreed to take over.
    pub reserved: Option<Reservation>,
    /// When we last claimed a slot by a majority's offers.
    pub claimed_at: Option<Tick>,
}

/// A slot that a spare waits for. Two voters that leave at the same time must
/// not hand theirs to the same spare.
pub struct Reservation {
    slot: VoterSlot,
    generation: u32,
    until: Tick,
}

/// The departure of a controller that was asked to stop.
pub struct Leaving {
    began: Tick,
    stage: Stage,
}

/// How far a departure is. It only goes on, from one to the next.
enum Stage {
    /// The partitions that we led get other leaders.
    TransferringLeadership,
    /// A spare is asked to take the slot over.
    Offering { asked: Option<(u64, Tick)> },
    /// The voter set without us is on its way to our disk.
    Yielding { slot: VoterSlot, successor: u64 },
    /// We vote no more; the successor is sent our state.
    Sending { state: Box<Message>, slot: VoterSlot, sent_at: Option<Tick> },
    /// Nothing is left to do but to answer the operators who waited by then.
    Answering { operations: Vec<u64> },
}

/// The process was asked to stop.
pub fn begin(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    if core.voter_slots.handovers.leaving.is_some() {
        return;
    }
    core.transfer_leadership(now, out);
    let nobody_waits = core.voter_slots.handovers.applicants.is_empty();
    let alone = core.slot == NOBODY || nobody_waits;
    let stage = Stage::TransferringLeadership;
    core.voter_slots.handovers.leaving = Some(Leaving { began: now, stage });
    if alone {
        return finish(core);
    }
    wake(core, now, out);
}

/// Whether a process that was asked to stop may end.
pub fn may_end(core: &ControllerState, now: Tick) -> bool {
    let Some(leaving) = &core.voter_slots.handovers.leaving else { return false };
    let Stage::Answering { operations } = &leaving.stage else { return false };
    since(leaving.began, now) >= consts::HANDOVER_PATIENCE
        || !operations.iter().any(|operation| core.pending_requests.contains_key(operation))
}

/// The slot is another's, or nobody is there to take it.
fn finish(core: &mut ControllerState) {
    let operations = core.pending_requests.keys().copied().collect();
    if let Some(leaving) = &mut core.voter_slots.handovers.leaving
        && !matches!(leaving.stage, Stage::Answering { .. })
    {
        leaving.stage = Stage::Answering { operations };
    }
}

/// Whether this process was asked to stop.
pub fn is_leaving(core: &ControllerState) -> bool {
    core.voter_slots.handovers.leaving.is_some()
}

/// Notes that a spare asked us for a slot.
pub fn note_applicant(
    core: &mut ControllerState,
    now: Tick,
    connection: ConnectionId,
    holder: u64,
    zone: &str,
) {
    let applicant = Applicant { connection, zone: zone.to_string(), at: now };
    core.voter_slots.handovers.applicants.insert(holder, applicant);
}

/// Time passes.
pub fn wake(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    let handovers = &mut core.voter_slots.handovers;
    handovers.applicants.retain(|_, a| since(a.at, now) < consts::APPLY_SILENCE);
    let Some(leaving) = &mut handovers.leaving else { return };
    let spent = since(leaving.began, now);
    if spent >= consts::HANDOVER_PATIENCE {
        return finish(core);
    }
    match &mut leaving.stage {
        Stage::TransferringLeadership => {
            if spent >= consts::LEADERSHIP_TRANSFER || all_are_led(core) {
                offer(core, now, None, out);
            }
        }
        Stage::Offering { asked } => {
            let asked = *asked;
            if asked.is_none_or(|(_, at)| since(at, now) >= consts::HANDOVER_RETRY) {
                offer(core, now, asked.map(|(holder, _)| holder), out);
            }
        }
        // A takeover may have been quicker than we were.
        Stage::Yielding { .. } if core.slot == NOBODY => finish(core),
        Stage::Yielding { .. } | Stage::Answering { .. } => {}
        Stage::Sending { state, slot, sent_at } => {
            if sent_at.is_none_or(|at| since(at, now) >= consts::HANDOVER_RETRY) {
                *sent_at = Some(now);
                out.push(Command::ToVoter { slot: *slot, message: (**state).clone() });
            }
        }
    }
}

/// Whether every partition has a leader that is not this process.
fn all_are_led(core: &ControllerState) -> bool {
    let led = |p: &Partition| matches!(p.role, Role::Follower { leader: Some(_), .. });
    core.partitions.iter().all(led)
}

/// Offers our slot to a spare, if there is one that may have it; to another than
/// the last one that was asked, if there are several.
fn offer(core: &mut ControllerState, now: Tick, last: Option<u64>, out: &mut Vec<Command>) {
    let slot = core.slot;
    let table = &core.voter_slots.voter_file.table;
    let next = table.slots.get(usize::from(slot)).and_then(|h| after_handover(h.generation));
    let handovers = &core.voter_slots.handovers;
    let fits = |(holder, a): &(&u64, &Applicant)| {
        let seated = table.slots.iter().any(|h| h.holder == **holder);
        !seated && balanced(table, slot, &a.zone)
    };
    let successor = handovers
        .applicants
        .iter()
        .filter(fits)
        .max_by_key(|(holder, a)| (Some(**holder) != last, a.at, **holder))
        .map(|(holder, a)| (*holder, a.connection));
    let (Some(generation), Some((holder, connection))) = (next, successor) else {
        return finish(core);
    };
    out.push(Command::ToConnection {
        connection,
        message: Message::HandoverOffer { slot, generation },
    });
    if let Some(leaving) = &mut core.voter_slots.handovers.leaving {
        leaving.stage = Stage::Offering { asked: Some((holder, now)) };
    }
}

/// A voter that leaves offers us its slot.
pub fn offered(
    core: &mut ControllerState,
    now: Tick,
    slot: VoterSlot,
    generation: u32,
    out: &mut Vec<Command>,
) {
    let s = &mut core.voter_slots;
    let claims = s.handovers.claimed_at.is_some_and(|at| since(at, now) < consts::SEAT_SILENCE);
    let waits = s
        .handovers
        .reserved
        .as_ref()
        .is_some_and(|r| now < r.until && (r.slot, r.generation) != (slot, generation));
    let free = core.slot == NOBODY && s.voter_file.me != 0 && s.pending_write.is_none();
    if !free || claims || waits || s.handovers.leaving.is_some() {
        return;
    }
    let until = now + consts::HANDOVER_PATIENCE;
    s.handovers.reserved = Some(Reservation { slot, generation, until });
    s.offers.fill(None);
    let (holder, addr, zone) = (s.voter_file.me, s.addr.clone(), s.zone.clone());
    let holding = SlotHolder { generation, holder, addr, zone };
    out.push(Command::Broadcast { message: Message::HandoverAccept { slot, holding } });
}

/// The spare that we asked is ready: we give the slot up, first on our disk.
pub fn accepted(
    core: &mut ControllerState,
    now: Tick,
    slot: VoterSlot,
    holding: SlotHolder,
    out: &mut Vec<Command>,
) {
    let table = voter_slots::newest(&core.voter_slots);
    let Some(leaving) = &core.voter_slots.handovers.leaving else { return };
    let Stage::Offering { asked: Some((holder, asked_at)) } = leaving.stage else { return };
    // After a pause of ours the spare may wait for us no more.
    let fresh = since(asked_at, now) < 2 * consts::HANDOVER_RETRY;
    let seated = table.slots.iter().any(|h| h.holder == holder);
    let ours = core.slot == slot && core.voter_slots.pending_write.is_none() && fresh && !seated;
    let next = table.slots.get(usize::from(slot)).and_then(|h| after_handover(h.generation));
    if !ours || holder != holding.holder || next != Some(holding.generation) {
        return;
    }
    let mut table: VoterSet = table.clone();
    table.slots[usize::from(slot)] = holding;
    if let Some(leaving) = &mut core.voter_slots.handovers.leaving {
        leaving.stage = Stage::Yielding { slot, successor: holder };
    }
    voter_slots::put(core, now, table, out);
}

/// Our slot is another's by the voter set that was just written. If that is the
/// successor that we chose, what our replicas hold goes there; tells whether so.
pub fn yielded(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) -> bool {
    let Some(Leaving { stage: Stage::Yielding { slot, successor }, .. }) =
        core.voter_slots.handovers.leaving
    else {
        return false;
    };
    let table = core.voter_slots.voter_file.table.clone();
    let holding = &table.slots[usize::from(slot)];
    if holding.holder != successor {
        return false;
    }
    let generation = holding.generation;
    let replicas = core.partitions.iter().filter(|p| p.can_vote()).map(replica_state).collect();
    let memberships = core.members.held_memberships();
    let state = Message::Handover { slot, generation, table, replicas, memberships };
    let stage = Stage::Sending { state: Box::new(state), slot, sent_at: None };
    if let Some(leaving) = &mut core.voter_slots.handovers.leaving {
        leaving.stage = stage;
    }
    for p in &mut core.partitions {
        voter_slots::forget(p, now, out);
    }
    core.members = Default::default();
    true
}

fn replica_state(p: &Partition) -> HandedOverReplica {
    let ReplicaState { current_term: promised, written_term: term, revision, entries: map } =
        p.state.clone();
    HandedOverReplica {
        partition: p.id,
        current_term: promised,
        written_term: term,
        revision,
        entries: map,
    }
}

/// What a voter that leaves hands to us.
pub struct Received {
    pub slot: VoterSlot,
    pub generation: u32,
    pub table: VoterSet,
    pub replicas: Vec<HandedOverReplica>,
    pub memberships: Memberships,
}

/// The state of a voter whose slot we take over. It is written once the voter
/// set that gives us the slot is on our disk; until then it is sent again.
pub fn received(
    core: &mut ControllerState,
    now: Tick,
    connection: ConnectionId,
    received: Received,
    out: &mut Vec<Command>,
) {
    let Received { slot, generation, table, replicas, memberships } = received;
    voter_slots::learn(core, now, &table, out);
    let ours = &core.voter_slots.voter_file.table;
    let holds = ours.slots.get(usize::from(slot)).is_some_and(|h| h.generation == generation);
    if core.slot != slot || !holds || merge(ours, &table).is_some() {
        return;
    }
    core.members.inherit(memberships);
    for state in replicas {
        if let Some(p) = core.partitions.get_mut(state.partition.0 as usize) {
            install(p, now, state, out);
        }
    }
    if core.partitions.iter().all(|p| p.condition == ReplicaCondition::Voting) {
        let message = Message::HandoverDone { slot, generation };
        out.push(Command::ToConnection { connection, message });
    }
}

/// Writes a replica that was handed over, unless ours votes already.
fn install(p: &mut Partition, now: Tick, state: HandedOverReplica, out: &mut Vec<Command>) {
    if p.condition == ReplicaCondition::Voting || !p.writes.is_empty() {
        return;
    }
    let HandedOverReplica {
        current_term: promised,
        written_term: term,
        revision,
        entries: map,
        ..
    } = state;
    p.restart_changes(revision, &map);
    p.state = ReplicaState { current_term: promised, written_term: term, revision, entries: map };
    p.persist_snapshot(now, vec![AfterWrite::StartVoting], out);
}

/// The successor votes: nothing keeps us any longer.
pub fn done(core: &mut ControllerState, slot: VoterSlot, generation: u32) {
    let table = &core.voter_slots.voter_file.table;
    let same = table.slots.get(usize::from(slot)).is_some_and(|h| h.generation == generation);
    let leaving = core.voter_slots.handovers.leaving.as_ref();
    let sending = leaving
        .is_some_and(|l| matches!(l.stage, Stage::Sending { slot: ours, .. } if ours == slot));
    if sending && same {
        finish(core);
    }
}

/// Whether we wait for a slot that a leaving voter hands to us.
pub fn is_reserved(core: &ControllerState, now: Tick) -> bool {
    let reserved = core.voter_slots.handovers.reserved.as_ref();
    core.slot == NOBODY && reserved.is_some_and(|r| now < r.until)
}
