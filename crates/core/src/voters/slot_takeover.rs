//! How a controller without a seat comes to one: it asks whether a majority
//! would give it a seat, and only then takes it. While no seat is free it goes
//! on asking, and is at hand.

use crate::command::{Command, ConnectionId};
use crate::consts;
use crate::control_plane::controller::ControllerState;
use crate::digest::pair;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::time::{Tick, since};
use crate::voter_set::{NOBODY, SlotHolder, after_takeover, balanced, majority};
use crate::voters::handover;
use crate::voters::voter_slots;
use crate::voters::voter_slots::newest;

/// The seats that a seat would give us, and when it said so.
#[derive(Clone)]
pub struct Offer {
    pub at: Tick,
    pub free: Vec<VoterSlot>,
}

/// Time passes for a controller that has no seat.
pub fn wake(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    let s = &mut core.voter_slots;
    if now < s.join_request_at || s.voter_file.me == 0 || s.handovers.leaving.is_some() {
        return;
    }
    s.join_request_at = now + consts::APPLY_BEAT;
    let (holder, addr, zone) = (s.voter_file.me, s.addr.clone(), s.zone.clone());
    let stamp = s.stamp;
    out.push(Command::Broadcast { message: Message::JoinRequest { holder, addr, zone, stamp } });
}

/// Whether we would give seat `k` to a controller: it is vacant, or it is the
/// controller's own from before its disk was lost, or its holder is silent.
fn gives(
    core: &ControllerState,
    now: Tick,
    k: VoterSlot,
    (holder, addr, zone): (u64, &str, &str),
) -> bool {
    let s = &core.voter_slots;
    let table = newest(s);
    let Some(h) = table.slots.get(usize::from(k)) else { return false };
    if k == core.slot || h.holder == holder {
        return false;
    }
    if h.holder != 0 && h.addr == addr {
        return true;
    }
    // One that has a seat elsewhere, or had one under this address, takes that.
    if table.slots.iter().any(|h| h.holder == holder || (h.holder != 0 && h.addr == addr)) {
        return false;
    }
    let fits = balanced(table, k, zone);
    if h.holder == 0 {
        return fits || since(s.started_at, now) >= consts::SEAT_BALANCE;
    }
    fits && s.silence.get(usize::from(k)).is_some_and(|q| *q >= consts::SEAT_SILENCE)
}

/// A controller without a seat asks what we would give it.
pub fn asked(
    core: &mut ControllerState,
    now: Tick,
    connection: ConnectionId,
    (holder, addr, zone): (u64, &str, &str),
    stamp: u64,
    out: &mut Vec<Command>,
) {
    if stamp != core.voter_slots.stamp {
        voter_slots::tell(core, connection, out);
    }
    if core.slot == NOBODY {
        return;
    }
    handover::note_applicant(core, now, connection, holder, zone);
    if handover::is_leaving(core) {
        // What we would give is ours alone, and is offered by `handover`.
        return;
    }
    let size = core.voter_slots.voter_file.table.slots.len() as VoterSlot;
    let free = (0..size).filter(|k| gives(core, now, *k, (holder, addr, zone))).collect();
    let (slot, stamp) = (core.slot, core.voter_slots.stamp);
    out.push(Command::ToConnection {
        connection,
        message: Message::JoinOffer { slot, stamp, free },
    });
}

/// A seat says what it would give us.
pub fn offered(
    core: &mut ControllerState,
    now: Tick,
    (slot, stamp): (VoterSlot, u64),
    free: Vec<VoterSlot>,
    out: &mut Vec<Command>,
) {
    let is_reserved = handover::is_reserved(core, now);
    let s = &mut core.voter_slots;
    if let Some(quiet) = s.silence.get_mut(usize::from(slot)) {
        *quiet = 0;
    }
    if core.slot != NOBODY || stamp != s.stamp || s.pending_write.is_some() || is_reserved {
        return;
    }
    let Some(cell) = s.offers.get_mut(usize::from(slot)) else { return };
    *cell = Some(Offer { at: now, free });
    let size = s.offers.len();
    let yes = |k: VoterSlot| {
        let list = s.offers.iter().enumerate().filter(|(i, _)| *i != usize::from(k));
        list.filter_map(|(_, o)| o.as_ref())
            .filter(|o| since(o.at, now) < 2 * consts::APPLY_BEAT && o.free.contains(&k))
            .count()
    };
    let ours = |k: &VoterSlot| s.voter_file.table.slots[usize::from(*k)].addr == s.addr;
    let open = (0..size as VoterSlot).filter(|k| yes(*k) >= majority(size));
    // Our own from before first; else applicants spread over what is free.
    let Some(k) = open.max_by_key(|k| (ours(k), pair(s.voter_file.me, u64::from(*k)))) else {
        return;
    };
    let generation = after_takeover(s.voter_file.table.slots[usize::from(k)].generation);
    let (addr, zone) = (s.addr.clone(), s.zone.clone());
    let holding = SlotHolder { generation, holder: s.voter_file.me, addr, zone };
    s.offers = vec![None; size];
    s.handovers.claimed_at = Some(now);
    out.push(Command::Broadcast { message: Message::SlotTakeover { slot: k, holding } });
}

/// A controller takes a seat that a majority would give it. We agree by
/// holding the table with it; that is told once it is on our disk.
pub fn taken(
    core: &mut ControllerState,
    now: Tick,
    k: VoterSlot,
    new: SlotHolder,
    out: &mut Vec<Command>,
) {
    if core.slot == NOBODY || !gives(core, now, k, (new.holder, &new.addr, &new.zone)) {
        return;
    }
    let mut table = newest(&core.voter_slots).clone();
    let cell = &mut table.slots[usize::from(k)];
    if new.holder == 0 || new.generation != after_takeover(cell.generation) {
        return;
    }
    *cell = new;
    voter_slots::put(core, now, table, out);
}
