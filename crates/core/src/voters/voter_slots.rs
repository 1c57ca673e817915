//! A controller's knowledge of the seats: hearing, keeping and telling the
//! table, and what follows for its own parts when it changes.

use indexmap::IndexSet;

use crate::command::{Command, ConnectionId};
use crate::consts;
use crate::control_plane::controller::ControllerState;
use crate::control_plane::operation_forwarding;
use crate::identifiers::VoterSlot;
use crate::protocol::message::{Message, ReplicaCondition};
use crate::replication::{partition, replica};
use crate::storage::voter_file::VoterFile;
use crate::time::{Span, Tick, since};
use crate::voter_set::{
    NOBODY, VoterGroup, VoterSet, ballot, group, merge, others, seat_of, stamp,
};
use crate::voters::handover;
use crate::voters::handover::Handovers;
use crate::voters::slot_takeover::Offer;

/// What a controller knows of the seats.
///
/// Invariants: `roll` is on disk; what is told, counted or done rests on it
/// alone; `next` follows it and is on its way to the disk.
pub struct VoterSlots {
    pub roll: VoterFile,
    pub stamp: u64,
    /// Where others reach us, and our zone.
    pub addr: String,
    pub zone: String,
    pub next: Option<Next>,
    pub token: u64,
    pub began: Tick,
    pub woke: Tick,
    /// For how long each seat's holder was not heard, while we were awake: a
    /// process that was paused must not take its pause for others' silence.
    pub quiet: Vec<Span>,
    /// When we last sent something to each seat, and told it the table.
    pub sent: Vec<Tick>,
    pub told: Vec<Tick>,
    /// Wires that others opened to us.
    pub connections: IndexSet<ConnectionId>,
    pub apply_at: Tick,
    /// The seats that each seat would give us, while we have none.
    pub offers: Vec<Option<Offer>>,
    /// Counts the requests handed over without a seat, to spread them.
    pub turns: usize,
    pub handovers: Handovers,
}

/// A roll on its way to the disk.
pub struct Next {
    pub roll: VoterFile,
    pub token: u64,
    /// The parts' files are set aside first: they are of a former life.
    pub clear: bool,
    /// When it is tried again after a trouble.
    pub again: Option<Tick>,
}

/// The seating of a controller that has read its disk.
pub fn seating(roll: VoterFile, (addr, zone): (&str, &str), now: Tick) -> VoterSlots {
    let size = roll.table.slots.len();
    VoterSlots {
        stamp: stamp(&roll.table),
        roll,
        addr: addr.to_string(),
        zone: zone.to_string(),
        next: None,
        token: 0,
        began: now,
        woke: now,
        quiet: vec![0; size],
        sent: vec![0; size],
        told: vec![0; size],
        connections: IndexSet::new(),
        apply_at: now,
        offers: vec![None; size],
        turns: 0,
        handovers: Handovers::default(),
    }
}

/// The group of replicas as this controller sees it.
pub fn here(core: &ControllerState) -> VoterGroup {
    group(&core.seating.roll.table, core.slot, core.seating.roll.first)
}

/// The newest table we know, on disk or on its way there.
pub fn newest(s: &VoterSlots) -> &VoterSet {
    s.next.as_ref().map_or(&s.roll.table, |n| &n.roll.table)
}

/// Whether `holder` has `seat` by the table that we hold.
pub fn holds(s: &VoterSlots, slot: VoterSlot, holder: u64) -> bool {
    s.roll.table.slots.get(usize::from(slot)).is_some_and(|h| h.holder == holder && holder != 0)
}

/// Takes in a table that somebody told us.
pub fn learn(core: &mut ControllerState, now: Tick, theirs: &VoterSet, out: &mut Vec<Command>) {
    if let Some(table) = merge(newest(&core.seating), theirs) {
        put(core, now, table, out);
    }
}

/// Sends a newer table to the disk; it is adopted once it is there.
pub fn put(core: &mut ControllerState, now: Tick, table: VoterSet, out: &mut Vec<Command>) {
    let s = &core.seating;
    let (mut roll, clear) =
        s.next.as_ref().map_or((s.roll.clone(), false), |n| (n.roll.clone(), n.clear));
    roll.table = table;
    keep(core, now, roll, clear, out);
}

fn keep(
    core: &mut ControllerState,
    _now: Tick,
    roll: VoterFile,
    clear: bool,
    out: &mut Vec<Command>,
) {
    let s = &mut core.seating;
    s.token += 1;
    let token = s.token;
    out.push(Command::WriteVoterFile { token, roll: roll.clone(), clear });
    s.next = Some(Next { roll, token, clear, again: None });
}

/// The disk failed to keep the roll: it is tried again.
pub fn trouble(core: &mut ControllerState, now: Tick, why: &str, out: &mut Vec<Command>) {
    if let Some(next) = &mut core.seating.next {
        next.again = Some(now + consts::DISK_STALL);
        out.push(Command::Alarm(format!("the table of the seats can't be kept: {why}")));
    }
}

/// A roll is on disk: from here on we act by it.
pub fn kept(core: &mut ControllerState, now: Tick, token: u64, out: &mut Vec<Command>) {
    // An older one that is there too is only part of the newest.
    let Some(next) = core.seating.next.take_if(|n| n.token == token) else { return };
    let s = &mut core.seating;
    let old = std::mem::replace(&mut s.roll, next.roll);
    s.stamp = stamp(&s.roll.table);
    let size = s.roll.table.slots.len();
    s.quiet.resize(size, 0);
    s.sent.resize(size, 0);
    s.told.resize(size, 0);
    s.offers = vec![None; size];
    let moved: Vec<bool> = (0..size)
        .map(|i| old.table.slots.get(i).map(ballot) != s.roll.table.slots.get(i).map(ballot))
        .collect();
    operation_forwarding::slots_moved(core, &moved);
    let s = &mut core.seating;
    for (i, _) in moved.iter().enumerate().filter(|(_, m)| **m) {
        s.quiet[i] = 0;
        let h = &s.roll.table.slots[i];
        let text = format!("seat {i}: {} has it, generation {}", h.addr, h.generation);
        out.push(Command::Alarm(text));
    }
    out.push(Command::VoterSetChanged);
    let slot = seat_of(&s.roll.table, s.roll.me).unwrap_or(NOBODY);
    if core.slot != slot {
        let had = std::mem::replace(&mut core.slot, slot);
        operation_forwarding::hand_all_anew(core);
        if had != NOBODY {
            // Given to another: what we hold may not count any more, for good.
            if handover::yielded(core, now, out) {
                return tell_all(core, out);
            }
            return renounce(core, now, out);
        }
        // What our address granted in a former life must have run out.
        let from = core.seating.began + consts::OWNER_SILENCE;
        for p in &mut core.partitions {
            p.relearn.ask_at = now.max(from);
        }
    }
    if moved.iter().any(|m| *m) {
        let g = here(core);
        for p in &mut core.partitions {
            replica::moved(p, now, g, &moved, out);
        }
    }
    tell_all(core, out);
}

/// Our seat is another's: we begin anew, as a controller that has nothing.
fn renounce(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    out.push(Command::Alarm("our seat was given to another: we begin anew without one".into()));
    core.slot = NOBODY;
    for p in &mut core.partitions {
        forget(p, now, out);
    }
    core.members = Default::default();
    let me = core.luck.next_u64() | 1;
    let roll = VoterFile { me, first: false, table: core.seating.roll.table.clone() };
    // The former id is nobody's any more; nobody is told a new one yet.
    core.seating.roll.me = 0;
    keep(core, now, roll, true, out);
}

/// Empties a replica in memory: what it holds counts no more.
pub fn forget(p: &mut partition::Partition, now: Tick, out: &mut Vec<Command>) {
    replica::resign(p, now, None, out);
    let mut fresh = partition::partition(p.id, ReplicaCondition::Empty, Default::default(), 0, now);
    fresh.next_token = p.next_token;
    *p = fresh;
}

fn telling(s: &VoterSlots) -> Message {
    Message::VoterSetUpdate { me: s.roll.me, table: s.roll.table.clone() }
}

/// Tells everyone the table.
fn tell_all(core: &mut ControllerState, out: &mut Vec<Command>) {
    let message = telling(&core.seating);
    for slot in others(here(core)) {
        out.push(Command::ToVoter { slot, message: message.clone() });
    }
    for connection in &core.seating.connections {
        out.push(Command::ToConnection { connection: *connection, message: message.clone() });
    }
}

/// Tells the table on one connection.
pub fn tell(core: &ControllerState, connection: ConnectionId, out: &mut Vec<Command>) {
    if !core.seating.roll.table.slots.is_empty() {
        out.push(Command::ToConnection { connection, message: telling(&core.seating) });
    }
}

/// Tells the table to a seat that has another, not too often.
pub fn tell_again(
    core: &mut ControllerState,
    now: Tick,
    slot: VoterSlot,
    connection: ConnectionId,
    out: &mut Vec<Command>,
) {
    let Some(at) = core.seating.told.get_mut(usize::from(slot)) else { return };
    if since(*at, now) >= consts::TABLE_AGAIN {
        *at = now;
        tell(core, connection, out);
    }
}

/// Somebody told us its table on a connection that we opened.
pub fn answered(
    core: &mut ControllerState,
    now: Tick,
    me: u64,
    theirs: &VoterSet,
    out: &mut Vec<Command>,
) {
    learn(core, now, theirs, out);
    // It lacks something that we hold.
    if merge(theirs, &core.seating.roll.table).is_some()
        && let Some(slot) = seat_of(&core.seating.roll.table, me)
    {
        out.push(Command::ToVoter { slot, message: telling(&core.seating) });
    }
}

/// The stamp of a message that counts only under equal tables.
pub fn stamp_of(message: &Message) -> Option<u64> {
    match message {
        Message::VoteGranted { stamp, .. }
        | Message::AppendAck { stamp, .. }
        | Message::HeartbeatAck { stamp, .. }
        | Message::ReplicaStatus { stamp, .. }
        | Message::MembershipReplicated { stamp, .. }
        | Message::MembershipFetched { stamp, .. }
        | Message::VoterAlive { stamp } => Some(*stamp),
        _ => None,
    }
}

/// The same, to be set.
pub fn stamped(message: &mut Message) -> Option<&mut u64> {
    match message {
        Message::VoteGranted { stamp, .. }
        | Message::AppendAck { stamp, .. }
        | Message::HeartbeatAck { stamp, .. }
        | Message::ReplicaStatus { stamp, .. }
        | Message::MembershipReplicated { stamp, .. }
        | Message::MembershipFetched { stamp, .. }
        | Message::VoterAlive { stamp } => Some(stamp),
        _ => None,
    }
}

/// Puts our stamp on what needs it, and notes to whom we spoke.
pub fn mark(core: &mut ControllerState, now: Tick, out: &mut [Command]) {
    for command in out {
        if let Command::ToVoter { slot, message } = command {
            if let Some(stamp) = stamped(message) {
                *stamp = core.seating.stamp;
            }
            if let Some(at) = core.seating.sent.get_mut(usize::from(*slot)) {
                *at = now;
            }
        }
    }
}

/// Time passes: silence is counted, and we show that we live.
pub fn wake(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    let s = &mut core.seating;
    let past = since(s.woke, now).min(2 * crate::control_plane::step::WAKE);
    s.woke = now;
    for quiet in &mut s.quiet {
        *quiet += past;
    }
    if let Some(next) = &mut s.next
        && next.again.is_some_and(|at| now >= at)
    {
        next.again = None;
        let (token, roll, clear) = (next.token, next.roll.clone(), next.clear);
        out.push(Command::WriteVoterFile { token, roll, clear });
    }
    handover::wake(core, now, out);
    if core.slot == NOBODY {
        return crate::voters::slot_takeover::wake(core, now, out);
    }
    // Our own zone, where the seeds could not tell it.
    let own = usize::from(core.slot);
    if core.seating.next.is_none()
        && core.seating.roll.table.slots[own].zone.is_empty()
        && !core.seating.zone.is_empty()
    {
        let mut table = core.seating.roll.table.clone();
        table.slots[own].zone.clone_from(&core.seating.zone);
        put(core, now, table, out);
    }
    for slot in others(here(core)) {
        if since(core.seating.sent[usize::from(slot)], now) >= consts::HERE_BEAT {
            out.push(Command::ToVoter { slot, message: Message::VoterAlive { stamp: 0 } });
        }
    }
}
