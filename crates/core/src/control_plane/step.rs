//! `step` of the controller's leader.

use crate::consts;
use crate::control_plane::controller::{Command, Core, Event, Lent, WireId};
use crate::control_plane::operations::Request;
use crate::control_plane::{
    acceptance, endpoints, feed, forgotten_members, members, membership_log, operation_forwarding,
};
use crate::identifiers::{COHORT, PartId, Seat};
use crate::protocol::message::{Life, Msg};
use crate::replication::partition::{After, OpFrom, Role, Stand, able};
use crate::replication::{catch_up, election, leader, replica};
use crate::storage::record::Rec;
use crate::time::{Tick, ms};
use crate::voters::handover;
use crate::voters::handover::Received;
use crate::voters::slot_takeover;
use crate::voters::voter_set::NOBODY;
use crate::voters::voter_slots;
use crate::voters::voter_slots::here;

/// How often a controller looks around when nothing happens.
pub const WAKE: crate::time::Span = ms(50);

/// Takes one event and says what to do.
pub fn step(core: &mut Core, now: Tick, event: Event) -> Vec<Command> {
    let mut out = Vec::new();
    match event {
        Event::FromSeat { seat, holder, wire, msg } => {
            if heard(core, now, (seat, holder), wire, &msg, &mut out) {
                from_seat(core, now, seat, msg, &mut out);
            }
        }
        Event::Answer { msg } => answer(core, now, msg, &mut out),
        Event::Opened { wire } => {
            core.seating.wires.insert(wire);
            voter_slots::tell(core, wire, &mut out);
        }
        Event::Kept { token } => voter_slots::kept(core, now, token, &mut out),
        Event::RollTrouble { why } => voter_slots::trouble(core, now, &why, &mut out),
        Event::FromWire { wire, msg } => from_wire(core, now, wire, msg, &mut out),
        Event::WireGone { wire } => {
            core.followers.swap_remove(&wire);
            core.seating.wires.swap_remove(&wire);
            operation_forwarding::connection_gone(core, wire);
            core.members.wires.retain(|_, w| *w != wire);
        }
        Event::Synced { part, token } => synced(core, now, part, token, &mut out),
        Event::DiskTrouble { part, why } => {
            let p = &mut core.parts[part.0 as usize];
            p.writes.clear();
            replica::step_back(p, now, why, &mut out);
        }
        Event::Looked { part, trouble: Some(why) } => rotted(core, now, part, &why, &mut out),
        Event::Looked { .. } => {}
        Event::Operate { op, request, expect, deed } => {
            let request = Request { id: request, expect, deed };
            operation_forwarding::operate(core, now, op, request, &mut out);
        }
        Event::Vouch => {
            for p in core.parts.iter_mut().filter(|p| p.life != Life::Formed) {
                p.relearn.vouched = true;
                let text = format!("part {}: an operator vouches for what is left", p.id);
                out.push(Command::Alarm(text));
            }
        }
        Event::Stop => handover::begin(core, now, &mut out),
        Event::Wake => wake(core, now, &mut out),
    }
    forgotten_members::apply(core, now);
    members::answer_status(core, now, &mut out);
    acceptance::look(core, now, &mut out);
    take_own_answers(core, now, &mut out);
    operation_forwarding::give_back(core, &mut out);
    feed::push(core, &mut out);
    voter_slots::mark(core, now, &mut out);
    out
}

/// What we answer as the leader to requests of our own operators goes the way of
/// all answers: it may have to be tried again elsewhere.
fn take_own_answers(core: &mut Core, now: Tick, out: &mut Vec<Command>) {
    let mut i = 0;
    while i < out.len() {
        if !matches!(out[i], Command::OwnAnswer { .. }) {
            i += 1;
        } else if let Command::OwnAnswer { op, attempt, done } = out.remove(i) {
            operation_forwarding::answered(core, now, (op, attempt), done, out);
        }
    }
}

fn wake(core: &mut Core, now: Tick, out: &mut Vec<Command>) {
    voter_slots::wake(core, now, out);
    let g = here(core);
    for p in core.parts.iter_mut().filter(|_| core.seat != NOBODY) {
        if p.sick.is_some() {
            mend(p, now, out);
        } else if replica::stalled(p, now) {
            replica::step_back(p, now, "the disk stalls".into(), out);
        }
        catch_up::wake(p, now, g, &mut core.luck, out);
        let was = matches!(p.role, Role::Candidate(_));
        match &p.role {
            Role::Leader(_) => leader::wake(p, now, g, out),
            _ => election::wake(p, now, g, &mut core.luck, out),
        }
        core.counts.claims += u64::from(!was && matches!(p.role, Role::Candidate(_)));
    }
    if now >= core.look_at {
        core.look_at = now + consts::ROT_LOOK;
        let p = &core.parts[core.look_next];
        core.look_next = (core.look_next + 1) % core.parts.len();
        if able(p) {
            out.push(Command::Look { part: p.id });
        }
    }
    members::wake(core, now, out);
    operation_forwarding::reconsider(core);
    operation_forwarding::wake(core, now, out);
}

/// Files rotted while we ran. What they held we still have, and the sweep
/// compares it with the leader's: it is written anew.
fn rotted(core: &mut Core, now: Tick, part: PartId, why: &str, out: &mut Vec<Command>) {
    let p = &mut core.parts[part.0 as usize];
    if able(p) {
        core.counts.rotted += 1;
        out.push(Command::Alarm(format!("part {part}: its files have rotted: {why}")));
        replica::keep_whole(p, now, Vec::new(), out);
    }
}

/// A seat that stepped back tries its disk again by writing a whole slot.
fn mend(p: &mut crate::replication::partition::Part, now: Tick, out: &mut Vec<Command>) {
    if p.life == Life::Formed && p.writes.is_empty() && now >= p.mend_at {
        p.mend_at = now + consts::DISK_STALL;
        replica::keep_whole(p, now, Vec::new(), out);
    }
}

fn synced(core: &mut Core, now: Tick, part: PartId, token: u64, out: &mut Vec<Command>) {
    let g = here(core);
    let p = &mut core.parts[part.0 as usize];
    while p.writes.front().is_some_and(|w| w.token <= token) {
        let Some(write) = p.writes.pop_front() else { break };
        p.synced_at = now;
        for after in write.after {
            match after {
                After::Send(to, msg) => out.push(Command::ToSeat { seat: to, msg }),
                After::OwnKept { epoch, rev } => {
                    leader::append_acked(p, now, (g, g.seat), epoch, rev, out)
                }
                After::OwnPromise { epoch } => election::own_vote_synced(p, now, g, epoch, out),
                After::Formed => catch_up::formed(p, now, out),
            }
        }
    }
    if p.writes.is_empty() && p.sick.is_some() {
        p.sick = None;
        replica::follow(p, now, None);
        out.push(Command::Alarm(format!("part {part}: the disk works again")));
        core.counts.mended += 1;
    }
}

/// Whether what a seat's holder says counts: only if our table names it so,
/// and a vote only if its own table is the same.
fn heard(
    core: &mut Core,
    now: Tick,
    (seat, holder): (Seat, u64),
    wire: WireId,
    msg: &Msg,
    out: &mut Vec<Command>,
) -> bool {
    if let Msg::Seats { table, .. } = msg {
        voter_slots::learn(core, now, table, out);
    }
    if !voter_slots::holds(&core.seating, seat, holder) {
        voter_slots::tell_again(core, now, seat, wire, out);
        return false;
    }
    core.seating.quiet[usize::from(seat)] = 0;
    let same = voter_slots::stamp_of(msg).is_none_or(|stamp| stamp == core.seating.stamp);
    if !same {
        voter_slots::tell_again(core, now, seat, wire, out);
    }
    same && core.seat != NOBODY
}

/// A controller answers on a wire that we opened.
fn answer(core: &mut Core, now: Tick, msg: Msg, out: &mut Vec<Command>) {
    match msg {
        Msg::Seats { me, table } => voter_slots::answered(core, now, me, &table, out),
        Msg::Offer { seat, stamp, free } => {
            slot_takeover::offered(core, now, (seat, stamp), free, out);
        }
        Msg::Operated { op, attempt, done } => {
            operation_forwarding::answered(core, now, (op, attempt), done, out);
        }
        Msg::HandoverOffer { slot, generation } => {
            handover::offered(core, now, slot, generation, out);
        }
        Msg::HandoverDone { slot, generation } => handover::done(core, slot, generation),
        _ => {}
    }
}

fn from_seat(core: &mut Core, now: Tick, from: Seat, msg: Msg, out: &mut Vec<Command>) {
    let g = here(core);
    if let Some(id) = part_named(&msg) {
        let Some(p) = core.parts.get_mut(id.0 as usize) else { return };
        let owned = matches!(p.role, Role::Leader(_));
        match msg {
            Msg::StatusRequest { nonce, .. } => catch_up::stand(p, from, nonce, out),
            Msg::ReplicaStatus { nonce, life, promised, epoch, rev, .. } => {
                let s = Stand { life, promised, epoch, rev };
                catch_up::stood(p, now, (g, from), nonce, s, out);
            }
            Msg::FetchReplica { nonce, .. } => catch_up::give(p, from, nonce, out),
            Msg::ReplicaFetched { nonce, promised, epoch, rev, map, .. } if able(p) => {
                let _ = promised;
                election::fetched(p, now, (g, from), nonce, (epoch, rev), map, out);
            }
            Msg::ReplicaFetched { nonce, promised, epoch, rev, map, .. } => {
                catch_up::fetched(p, now, from, nonce, (promised, (epoch, rev)), map, out);
            }
            Msg::PreVoteRequest { epoch, .. } => replica::pre_vote(p, now, from, epoch, out),
            Msg::PreVoteResponse { epoch, yes, promised, .. } => {
                election::pre_vote_answered(p, now, (g, from), epoch, (yes, promised), out);
            }
            Msg::VoteRequest { epoch, .. } => replica::vote(p, now, from, epoch, out),
            Msg::VoteGranted { epoch, at_epoch, rev, .. } => {
                election::vote_granted(p, now, (g, from), epoch, (at_epoch, rev), out);
            }
            Msg::LeadershipTransfer { term, .. } => {
                election::transferred(p, now, g, from, term, out);
            }
            Msg::VoteRejected { epoch, promised, .. } => {
                election::vote_rejected(p, now, g, epoch, promised, out);
            }
            Msg::Snapshot { epoch, rev, map, .. } => {
                replica::snapshot(p, now, from, (epoch, rev), map, out);
            }
            Msg::Append { epoch, rev, entries, .. } => {
                replica::append(p, now, from, Rec::Change { epoch, rev, entries }, out);
            }
            Msg::AppendAck { epoch, rev, .. } => {
                leader::append_acked(p, now, (g, from), epoch, rev, out)
            }
            Msg::SnapshotRequest { epoch, .. } => {
                core.counts.swept += 1;
                leader::snapshot_requested(p, now, from, epoch, out);
            }
            Msg::Heartbeat { epoch, round, done, sum, .. } => {
                replica::heartbeat(p, now, from, (epoch, round), (done, sum), out);
            }
            Msg::HeartbeatAck { epoch, round, rev, kept, .. } => {
                leader::heartbeat_acked(p, now, (g, from), (epoch, round), (rev, kept), out);
            }
            _ => {}
        }
        let owns = matches!(p.role, Role::Leader(_));
        core.counts.owned += u64::from(!owned && owns);
        core.counts.resigned += u64::from(owned && !owns);
        return;
    }
    match msg {
        Msg::Renew { member, count, far } => {
            members::renew(core, now, Some(from), None, (member, count, far), out);
        }
        Msg::Tenure { ref name, .. } => members::granted(core, &name.clone(), msg, out),
        Msg::Tell(cohort) => members::told(core, now, false, cohort, out),
        Msg::ReplicateMembership { term, current, confirmed, older } => {
            membership_log::take(core, from, term, (current, confirmed), older, out);
        }
        Msg::MembershipReplicated { term, id, settled, confirmed, .. } => {
            membership_log::acknowledged(core, from, term, (id, settled), confirmed);
            members::advance(core, now, out);
        }
        Msg::FetchMembership { term } => membership_log::asked(core, from, term, out),
        Msg::MembershipFetched { term, current, others, .. } => {
            membership_log::fetched(core, from, term, current, others);
        }
        Msg::Operate { op, attempt, term, request, expect, deed } => {
            let from = OpFrom { seat: Some(from), op, attempt };
            let request = Request { id: request, expect, deed };
            operation_forwarding::handed(core, now, from, term, request, out);
        }
        Msg::Operated { op, attempt, done } => {
            operation_forwarding::answered(core, now, (op, attempt), done, out);
        }
        msg => report(core, now, msg, false, out),
    }
}

fn part_named(msg: &Msg) -> Option<PartId> {
    Some(match msg {
        Msg::StatusRequest { part, .. }
        | Msg::ReplicaStatus { part, .. }
        | Msg::FetchReplica { part, .. }
        | Msg::ReplicaFetched { part, .. }
        | Msg::PreVoteRequest { part, .. }
        | Msg::PreVoteResponse { part, .. }
        | Msg::VoteRequest { part, .. }
        | Msg::VoteGranted { part, .. }
        | Msg::VoteRejected { part, .. }
        | Msg::LeadershipTransfer { part, .. }
        | Msg::Snapshot { part, .. }
        | Msg::Append { part, .. }
        | Msg::AppendAck { part, .. }
        | Msg::SnapshotRequest { part, .. }
        | Msg::Heartbeat { part, .. }
        | Msg::HeartbeatAck { part, .. } => *part,
        _ => return None,
    })
}

fn from_wire(core: &mut Core, now: Tick, wire: u64, msg: Msg, out: &mut Vec<Command>) {
    match msg {
        Msg::Follow { places, stamp } => {
            let cohort = places.iter().any(|p| p.part == COHORT);
            if !cohort && !core.followers.contains_key(&wire) {
                members::greet(core, wire, out);
            }
            feed::follow(core, wire, places, stamp, out);
        }
        Msg::Renew { member, count, far } => {
            members::renew(core, now, None, Some(wire), (member, count, far), out);
        }
        Msg::Tell(cohort) => members::told(core, now, true, cohort, out),
        Msg::Seats { table, .. } => voter_slots::learn(core, now, &table, out),
        Msg::Apply { holder, addr, zone, stamp } => {
            slot_takeover::asked(core, now, wire, (holder, &addr, &zone), stamp, out);
        }
        Msg::HandoverAccept { slot, holding } => {
            handover::accepted(core, now, slot, holding, out);
        }
        Msg::Handover { slot, generation, table, replicas, memberships } => {
            let state = Received { slot, generation, table, replicas, memberships };
            handover::received(core, now, wire, state, out);
        }
        Msg::Take { seat, holding } => slot_takeover::taken(core, now, seat, holding, out),
        Msg::Operate { op, attempt, .. } if core.seat == NOBODY => {
            operation_forwarding::misdirected(wire, op, attempt, out);
        }
        Msg::Operate { op, attempt, request, expect, deed, .. } => {
            let request = Request { id: request, expect, deed };
            let lent = Lent { wire, number: op, attempt };
            operation_forwarding::lent(core, now, lent, request, out);
        }
        msg => report(core, now, msg, true, out),
    }
}

/// Reports about leafs go to the leader of their part, handed over once.
fn report(core: &mut Core, now: Tick, msg: Msg, fresh: bool, out: &mut Vec<Command>) {
    let g = here(core);
    let id = match &msg {
        Msg::Listed { part, .. } | Msg::Words { part, .. } => *part,
        _ => return,
    };
    let Some(p) = core.parts.get_mut(id.0 as usize) else { return };
    match &p.role {
        Role::Leader(_) => match msg {
            Msg::Listed { fence, leafs, .. } => {
                endpoints::listed(p, now, g, fence, leafs, &mut core.counts, out);
            }
            Msg::Words { words, .. } => endpoints::words(p, now, g, words, out),
            _ => {}
        },
        Role::Follower { leader: Some((to, _)), .. } if fresh => {
            out.push(Command::ToSeat { seat: *to, msg });
        }
        _ => {}
    }
}
