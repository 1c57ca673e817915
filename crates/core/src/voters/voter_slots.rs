//! A controller's knowledge of the seats: hearing, keeping and telling the
//! table, and what follows for its own parts when it changes.

use indexmap::IndexSet;

use crate::command::{Command, ConnectionId};
use crate::consts;
use crate::control_plane::controller::ControllerState;
use crate::identifiers::VoterSlot;
use crate::protocol::message::{Message, ReplicaCondition};
use crate::replication::partition::Partition;
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
    pub voter_file: VoterFile,
    pub stamp: u64,
    /// Where others reach us, and our zone.
    pub addr: String,
    pub zone: String,
    pub pending_write: Option<PendingVoterFile>,
    pub last_token: u64,
    pub started_at: Tick,
    pub woken_at: Tick,
    /// For how long each seat's holder was not heard, while we were awake: a
    /// process that was paused must not take its pause for others' silence.
    pub silence: Vec<Span>,
    /// When we last sent something to each seat, and told it the table.
    pub sent: Vec<Tick>,
    pub voter_set_sent_at: Vec<Tick>,
    /// Wires that others opened to us.
    pub connections: IndexSet<ConnectionId>,
    pub join_request_at: Tick,
    /// The seats that each seat would give us, while we have none.
    pub offers: Vec<Option<Offer>>,
    /// Counts the requests handed over without a seat, to spread them.
    pub forwarding_turns: usize,
    pub handovers: Handovers,
}

/// A roll on its way to the disk.
pub struct PendingVoterFile {
    pub voter_file: VoterFile,
    pub token: u64,
    /// The parts' files are set aside first: they are of a former life.
    pub set_aside: bool,
    /// When it is tried again after a trouble.
    pub retry_at: Option<Tick>,
}

/// The seating of a controller that has read its disk.
pub fn seating(roll: VoterFile, (addr, zone): (&str, &str), now: Tick) -> VoterSlots {
    let size = roll.table.slots.len();
    VoterSlots {
        stamp: stamp(&roll.table),
        voter_file: roll,
        addr: addr.to_string(),
        zone: zone.to_string(),
        pending_write: None,
        last_token: 0,
        started_at: now,
        woken_at: now,
        silence: vec![0; size],
        sent: vec![0; size],
        voter_set_sent_at: vec![0; size],
        connections: IndexSet::new(),
        join_request_at: now,
        offers: vec![None; size],
        forwarding_turns: 0,
        handovers: Handovers::default(),
    }
}

/// The group of replicas as this controller sees it.
pub fn here(core: &ControllerState) -> VoterGroup {
    group(&core.voter_slots.voter_file.table, core.slot, core.voter_slots.voter_file.first)
}

/// The newest table we know, on disk or on its way there.
pub fn newest(s: &VoterSlots) -> &VoterSet {
    s.pending_write.as_ref().map_or(&s.voter_file.table, |n| &n.voter_file.table)
}

/// Whether `holder` has `seat` by the table that we hold.
pub fn holds(s: &VoterSlots, slot: VoterSlot, holder: u64) -> bool {
    s.voter_file
        .table
        .slots
        .get(usize::from(slot))
        .is_some_and(|h| h.holder == holder && holder != 0)
}

/// Takes in a table that somebody told us.
pub fn learn(core: &mut ControllerState, now: Tick, theirs: &VoterSet, out: &mut Vec<Command>) {
    if let Some(table) = merge(newest(&core.voter_slots), theirs) {
        put(core, now, table, out);
    }
}

/// Sends a newer table to the disk; it is adopted once it is there.
pub fn put(core: &mut ControllerState, now: Tick, table: VoterSet, out: &mut Vec<Command>) {
    let s = &core.voter_slots;
    let (mut roll, clear) = s
        .pending_write
        .as_ref()
        .map_or((s.voter_file.clone(), false), |n| (n.voter_file.clone(), n.set_aside));
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
    let s = &mut core.voter_slots;
    s.last_token += 1;
    let token = s.last_token;
    out.push(Command::WriteVoterFile { token, roll: roll.clone(), clear });
    s.pending_write =
        Some(PendingVoterFile { voter_file: roll, token, set_aside: clear, retry_at: None });
}

/// The disk failed to keep the roll: it is tried again.
pub fn trouble(core: &mut ControllerState, now: Tick, why: &str, out: &mut Vec<Command>) {
    if let Some(next) = &mut core.voter_slots.pending_write {
        next.retry_at = Some(now + consts::DISK_STALL);
        out.push(Command::Alarm(format!("the table of the seats can't be kept: {why}")));
    }
}

/// A roll is on disk: from here on we act by it.
pub fn kept(core: &mut ControllerState, now: Tick, token: u64, out: &mut Vec<Command>) {
    // An older one that is there too is only part of the newest.
    let Some(next) = core.voter_slots.pending_write.take_if(|n| n.token == token) else { return };
    let s = &mut core.voter_slots;
    let old = std::mem::replace(&mut s.voter_file, next.voter_file);
    s.stamp = stamp(&s.voter_file.table);
    let size = s.voter_file.table.slots.len();
    s.silence.resize(size, 0);
    s.sent.resize(size, 0);
    s.voter_set_sent_at.resize(size, 0);
    s.offers = vec![None; size];
    let moved: Vec<bool> = (0..size)
        .map(|i| old.table.slots.get(i).map(ballot) != s.voter_file.table.slots.get(i).map(ballot))
        .collect();
    core.retry_requests_to(&moved);
    let s = &mut core.voter_slots;
    for (i, _) in moved.iter().enumerate().filter(|(_, m)| **m) {
        s.silence[i] = 0;
        let h = &s.voter_file.table.slots[i];
        let text = format!("seat {i}: {} has it, generation {}", h.addr, h.generation);
        out.push(Command::Alarm(text));
    }
    out.push(Command::VoterSetChanged);
    let slot = seat_of(&s.voter_file.table, s.voter_file.me).unwrap_or(NOBODY);
    if core.slot != slot {
        let had = std::mem::replace(&mut core.slot, slot);
        core.retry_all_requests();
        if had != NOBODY {
            // Given to another: what we hold may not count any more, for good.
            if handover::yielded(core, now, out) {
                return tell_all(core, out);
            }
            return renounce(core, now, out);
        }
        // What our address granted in a former life must have run out.
        let from = core.voter_slots.started_at + consts::OWNER_SILENCE;
        for p in &mut core.partitions {
            p.catch_up.ask_at = now.max(from);
        }
    }
    if moved.iter().any(|m| *m) {
        let g = here(core);
        for p in &mut core.partitions {
            p.on_voter_set_changed(now, g, &moved, out);
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
    let me = core.random.next_u64() | 1;
    let roll = VoterFile { me, first: false, table: core.voter_slots.voter_file.table.clone() };
    // The former id is nobody's any more; nobody is told a new one yet.
    core.voter_slots.voter_file.me = 0;
    keep(core, now, roll, true, out);
}

/// Empties a replica in memory: what it holds counts no more.
pub fn forget(p: &mut Partition, now: Tick, out: &mut Vec<Command>) {
    p.step_down(now, None, out);
    let mut fresh = Partition::new(p.id, ReplicaCondition::Empty, Default::default(), 0, now);
    fresh.next_token = p.next_token;
    *p = fresh;
}

fn telling(s: &VoterSlots) -> Message {
    Message::VoterSetUpdate { me: s.voter_file.me, table: s.voter_file.table.clone() }
}

/// Tells everyone the table.
fn tell_all(core: &mut ControllerState, out: &mut Vec<Command>) {
    let message = telling(&core.voter_slots);
    for slot in others(here(core)) {
        out.push(Command::ToVoter { slot, message: message.clone() });
    }
    for connection in &core.voter_slots.connections {
        out.push(Command::ToConnection { connection: *connection, message: message.clone() });
    }
}

/// Tells the table on one connection.
pub fn tell(core: &ControllerState, connection: ConnectionId, out: &mut Vec<Command>) {
    if !core.voter_slots.voter_file.table.slots.is_empty() {
        out.push(Command::ToConnection { connection, message: telling(&core.voter_slots) });
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
    let Some(at) = core.voter_slots.voter_set_sent_at.get_mut(usize::from(slot)) else { return };
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
    if merge(theirs, &core.voter_slots.voter_file.table).is_some()
        && let Some(slot) = seat_of(&core.voter_slots.voter_file.table, me)
    {
        out.push(Command::ToVoter { slot, message: telling(&core.voter_slots) });
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
                *stamp = core.voter_slots.stamp;
            }
            if let Some(at) = core.voter_slots.sent.get_mut(usize::from(*slot)) {
                *at = now;
            }
        }
    }
}

/// Time passes: silence is counted, and we show that we live.
pub fn wake(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    let s = &mut core.voter_slots;
    let past = since(s.woken_at, now).min(2 * crate::control_plane::step::WAKE);
    s.woken_at = now;
    for quiet in &mut s.silence {
        *quiet += past;
    }
    if let Some(next) = &mut s.pending_write
        && next.retry_at.is_some_and(|at| now >= at)
    {
        next.retry_at = None;
        let (token, roll, clear) = (next.token, next.voter_file.clone(), next.set_aside);
        out.push(Command::WriteVoterFile { token, roll, clear });
    }
    handover::wake(core, now, out);
    if core.slot == NOBODY {
        return crate::voters::slot_takeover::wake(core, now, out);
    }
    // Our own zone, where the seeds could not tell it.
    let own = usize::from(core.slot);
    if core.voter_slots.pending_write.is_none()
        && core.voter_slots.voter_file.table.slots[own].zone.is_empty()
        && !core.voter_slots.zone.is_empty()
    {
        let mut table = core.voter_slots.voter_file.table.clone();
        table.slots[own].zone.clone_from(&core.voter_slots.zone);
        put(core, now, table, out);
    }
    for slot in others(here(core)) {
        if since(core.voter_slots.sent[usize::from(slot)], now) >= consts::HERE_BEAT {
            out.push(Command::ToVoter { slot, message: Message::VoterAlive { stamp: 0 } });
        }
    }
}
