//! Operators' requests at the controller that they came to: each is handed to
//! the leader of the configuration, again and again while there is time, and
//! told to its operator when its result is certain.
//!
//! Each handing over is an attempt with a number of its own, and only the answer
//! to the latest attempt counts: an answer to an earlier one may be overtaken by
//! what came of a later one. An attempt is meant for one term of one leader. A
//! later leader's refusal is therefore final: an earlier leader that finds the
//! request later can't commit it any more.

use crate::command::{Command, ConnectionId};
use crate::consts;
use crate::control_plane::controller::{
    ControllerState, ForwardedOperation, Forwarding, PendingRequest,
};
use crate::control_plane::operations::{Request, at_owner};
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::message::{Message, Operation, OperationResult};
use crate::replication::operations::OperationOrigin;
use crate::replication::partition::Role;
use crate::time::Tick;
use crate::voter_set::{NOBODY, others};
use crate::voters::handover;
use crate::voters::voter_slots::here;

/// Attempts that are remembered (count), so that one that comes twice is taken
/// once: at hundreds of orders a second those of ten seconds.
const ATTEMPTS_KEPT: usize = 4_096;
/// Term of an attempt that asks for no certain leader: the receiver finds one.
const ANY_TERM: Term = Term::ZERO;

/// A request from one of our own operators.
pub fn operate(
    core: &mut ControllerState,
    now: Tick,
    op: u64,
    request: Request,
    out: &mut Vec<Command>,
) {
    let Request { id, expect, deed } = request;
    let ask = PendingRequest {
        request: id,
        expect,
        deed,
        sent: None,
        attempt: 0,
        maybe: false,
        unfenced: false,
        said: None,
        until: now + consts::OPERATE_PATIENCE,
    };
    core.ops.insert(op, ask);
    hand(core, now, op, out);
}

/// To whom a request would be handed now: the leader that we know, or without a
/// voter slot any controller that lives, by turns.
fn target(core: &mut ControllerState) -> Option<Forwarding> {
    if core.slot != NOBODY {
        return known_leader(core);
    }
    let quiet = &core.seating.quiet;
    // A controller that is leaving asks nobody for a slot, and so hears nobody.
    let leaving = handover::is_leaving(core);
    let awake = |k: &VoterSlot| leaving || quiet[usize::from(*k)] < consts::APPLY_SILENCE;
    let list: Vec<VoterSlot> = others(here(core)).filter(awake).collect();
    let slot = list.get(core.seating.turns % list.len().max(1)).copied()?;
    core.seating.turns += 1;
    Some(Forwarding { slot, term: ANY_TERM })
}

/// The leader of the configuration as we know it, ourselves if we serve.
fn known_leader(core: &ControllerState) -> Option<Forwarding> {
    match &core.partitions[0].role {
        Role::Leader(o) if o.is_serving => Some(Forwarding { slot: core.slot, term: o.term }),
        Role::Follower { leader: Some(leader), .. } => {
            Some(Forwarding { slot: leader.slot, term: leader.term })
        }
        _ => None,
    }
}

/// Hands a request to the leader, if one is known and it was not yet handed.
fn hand(core: &mut ControllerState, now: Tick, op: u64, out: &mut Vec<Command>) {
    if core.ops.get(&op).is_none_or(|ask| ask.sent.is_some()) {
        return;
    }
    let Some(to) = target(core) else { return };
    core.next_attempt = core.next_attempt.wrapping_add(1);
    let attempt = core.next_attempt;
    let Some(ask) = core.ops.get_mut(&op) else { return };
    (ask.sent, ask.attempt) = (Some(to), attempt);
    ask.unfenced |= to.term == ANY_TERM;
    let (id, expect, deed) = (ask.request.clone(), ask.expect, ask.deed.clone());
    if to.slot == core.slot {
        let from = OperationOrigin { slot: None, op, attempt };
        return at_owner(core, now, from, Request { id, expect, deed }, out);
    }
    let term = to.term;
    let message = Message::OperationRequest { op, attempt, term, request: id, expect, deed };
    out.push(Command::ToVoter { slot: to.slot, message });
}

/// We came to a voter slot or lost ours: what is answered to us under our former
/// name does not reach us, so every request is handed over anew.
pub fn hand_all_anew(core: &mut ControllerState) {
    for ask in core.ops.values_mut().filter(|ask| ask.sent.is_some()) {
        ask.maybe = true;
        ask.sent = None;
    }
}

/// Voter slots changed hands: what was handed to their former holders is handed
/// over anew, since nobody may be left there to answer.
pub fn slots_moved(core: &mut ControllerState, moved: &[bool]) {
    let to_moved = |ask: &&mut PendingRequest| {
        let slot = ask.sent.map(|to| usize::from(to.slot));
        slot.is_some_and(|slot| moved.get(slot).is_some_and(|moved| *moved))
    };
    for ask in core.ops.values_mut().filter(to_moved) {
        ask.maybe = true;
        ask.sent = None;
    }
}

/// A controller without a voter slot took us for a voter. It is to ask another.
pub fn misdirected(connection: ConnectionId, op: u64, attempt: u64, out: &mut Vec<Command>) {
    let done = OperationResult::Rejected { why: "this controller has no voter slot".into() };
    out.push(Command::ToConnection {
        connection,
        message: Message::OperationResponse { op, attempt, done },
    });
}

/// Whether an attempt comes for the first time.
fn first_time(core: &mut ControllerState, attempt: u64) -> bool {
    if !core.attempts_seen.insert(attempt) {
        return false;
    }
    if core.attempts_seen.len() > ATTEMPTS_KEPT {
        core.attempts_seen.shift_remove_index(0);
    }
    true
}

/// Another controller handed a request to us as the leader of a term.
pub fn handed(
    core: &mut ControllerState,
    now: Tick,
    from: OperationOrigin,
    term: Term,
    request: Request,
    out: &mut Vec<Command>,
) {
    if !first_time(core, from.attempt) {
        return;
    }
    if matches!(&core.partitions[0].role, Role::Leader(o) if o.is_serving && o.term == term) {
        at_owner(core, now, from, request, out);
    } else {
        let why = "the seat it was handed to does not own the configuration".to_string();
        from.respond(OperationResult::Rejected { why }, out);
    }
}

/// A controller without a voter slot handed a request to us; it asks again
/// elsewhere if we fail it.
pub fn lent(
    core: &mut ControllerState,
    now: Tick,
    lent: ForwardedOperation,
    request: Request,
    out: &mut Vec<Command>,
) {
    if !first_time(core, lent.attempt) {
        return;
    }
    core.next_lent += 1;
    let op = core.next_lent;
    core.lent.insert(op, lent);
    operate(core, now, op, request, out);
}

/// An answer to one of our attempts. Only the latest counts.
pub fn answered(
    core: &mut ControllerState,
    now: Tick,
    (op, attempt): (u64, u64),
    done: OperationResult,
    out: &mut Vec<Command>,
) {
    let latest = |ask: &PendingRequest| ask.attempt == attempt && ask.sent.is_some();
    if core.ops.get(&op).is_some_and(latest) {
        operated(core, now, op, done, out);
    }
}

/// The outcome of the latest attempt. A bounce is tried again while there is
/// time: the leader may just have changed. An unknown outcome too, which is
/// safe because the request carries its id.
fn operated(
    core: &mut ControllerState,
    now: Tick,
    op: u64,
    done: OperationResult,
    out: &mut Vec<Command>,
) {
    let Some(ask) = core.ops.get_mut(&op) else { return };
    if let OperationResult::Unknown { why } = &done {
        ask.maybe = true;
        ask.said = Some(why.clone());
    }
    let again = matches!(done, OperationResult::Rejected { .. } | OperationResult::Unknown { .. });
    if again && now < ask.until {
        ask.sent = None;
        return;
    }
    let done = certain(ask, done);
    core.ops.swap_remove(&op);
    match done {
        OperationResult::Accepted { .. } => core.counts.accepted += 1,
        OperationResult::Configuration { .. } | OperationResult::Status { .. } => {}
        _ => core.counts.bounced += 1,
    }
    out.push(Command::Respond { op, done });
}

/// What may be told of an outcome, with what became of earlier attempts.
fn certain(ask: &PendingRequest, done: OperationResult) -> OperationResult {
    match done {
        OperationResult::Accepted { .. }
        | OperationResult::Configuration { .. }
        | OperationResult::Status { .. }
        | OperationResult::Unknown { .. } => done,
        OperationResult::Rejected { why } if ask.maybe => OperationResult::Unknown { why },
        OperationResult::Rejected { .. } => done,
        // An earlier attempt may still reach any leader and be carried out.
        _ if ask.maybe && ask.unfenced => {
            let why = "refused, but an earlier attempt may still be carried out".to_string();
            OperationResult::Unknown { why }
        }
        refusal => refusal,
    }
}

/// Time passes: requests wait for a leader, but not for ever.
pub fn wake(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    let ids: Vec<u64> = core.ops.keys().copied().collect();
    for id in ids {
        let Some(ask) = core.ops.get(&id) else { continue };
        if now < ask.until {
            hand(core, now, id, out);
            continue;
        }
        let done = overdue(ask);
        core.ops.swap_remove(&id);
        core.counts.bounced += 1;
        out.push(Command::Respond { op: id, done });
    }
}

/// What an operator is told when the patience with its request ends.
fn overdue(ask: &PendingRequest) -> OperationResult {
    match ask.sent {
        None if !ask.maybe => {
            OperationResult::Rejected { why: "the configuration has no leader now".into() }
        }
        _ if matches!(ask.deed, Operation::Read | Operation::Status) => {
            OperationResult::Rejected { why: "no answer in time".into() }
        }
        _ => {
            let silent = || "the leader did not answer in time".to_string();
            OperationResult::Unknown { why: ask.said.clone().unwrap_or_else(silent) }
        }
    }
}

/// Gives outcomes of lent requests back on the connections that they came on.
pub fn give_back(core: &mut ControllerState, out: &mut [Command]) {
    for command in out {
        if let Command::Respond { op, done } = command
            && let Some(ForwardedOperation { connection, number, attempt }) =
                core.lent.swap_remove(op)
        {
            let message = Message::OperationResponse { op: number, attempt, done: done.clone() };
            *command = Command::ToConnection { connection, message };
        }
    }
}

/// A connection is gone, and with it those who wait on it.
pub fn connection_gone(core: &mut ControllerState, connection: ConnectionId) {
    core.lent.retain(|_, lent| lent.connection != connection);
}

/// Requests handed to a controller that leads no more, or in an earlier term,
/// are handed anew; by a controller without a voter slot, those handed to one
/// that has fallen silent.
pub fn reconsider(core: &mut ControllerState) {
    let leader = known_leader(core);
    let leaving = handover::is_leaving(core);
    let ControllerState { slot, seating, ops, .. } = core;
    let silent = |to: &Forwarding| {
        let quiet = seating.quiet.get(usize::from(to.slot));
        quiet.is_none_or(|quiet| *quiet >= consts::APPLY_SILENCE)
    };
    let passed = |to: &Forwarding| match *slot {
        NOBODY => !leaving && silent(to),
        _ => leader.is_some_and(|leader| leader != *to),
    };
    for ask in ops.values_mut() {
        if ask.sent.as_ref().is_some_and(passed) {
            ask.maybe = true;
            ask.sent = None;
        }
    }
}
