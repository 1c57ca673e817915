//! `step` of the controller's leader.

use crate::command::{Command, ConnectionId};
use crate::consts;
use crate::control_plane::controller::{ControllerState, Event, ForwardedOperation};
use crate::control_plane::operations::Request;
use crate::control_plane::{
    acceptance, endpoints, feed, forgotten_members, members, membership_log, operation_forwarding,
};
use crate::identifiers::{COHORT, PartitionId, VoterSlot};
use crate::protocol::message::{Message, ReplicaCondition};
use crate::replication::partition::{AfterWrite, OperationOrigin, ReplicaStatus, Role, able};
use crate::replication::{catch_up, election, leader, replica};
use crate::storage::record::LogRecord;
use crate::time::{Tick, ms};
use crate::voter_set::NOBODY;
use crate::voters::handover;
use crate::voters::handover::Received;
use crate::voters::slot_takeover;
use crate::voters::voter_slots;
use crate::voters::voter_slots::here;

/// How often a controller looks around when nothing happens.
pub const WAKE: crate::time::Span = ms(50);

impl ControllerState {
    /// Takes one event and says what to do.
    pub fn step(&mut self, now: Tick, event: Event) -> Vec<Command> {
        let mut out = Vec::new();
        match event {
            Event::FromVoter { slot, holder, connection, message } => {
                if heard(self, now, (slot, holder), connection, &message, &mut out) {
                    from_seat(self, now, slot, message, &mut out);
                }
            }
            Event::FromController { message } => answer(self, now, message, &mut out),
            Event::ConnectionOpened { connection } => {
                self.seating.connections.insert(connection);
                voter_slots::tell(self, connection, &mut out);
            }
            Event::VoterFileWritten { token } => voter_slots::kept(self, now, token, &mut out),
            Event::VoterFileFailed { why } => voter_slots::trouble(self, now, &why, &mut out),
            Event::FromConnection { connection, message } => {
                from_wire(self, now, connection, message, &mut out)
            }
            Event::ConnectionClosed { connection } => {
                self.followers.swap_remove(&connection);
                self.seating.connections.swap_remove(&connection);
                operation_forwarding::connection_gone(self, connection);
                self.members.connections.retain(|_, w| *w != connection);
            }
            Event::Synced { partition, token } => synced(self, now, partition, token, &mut out),
            Event::DiskFailed { partition, why } => {
                let p = &mut self.partitions[partition.0 as usize];
                p.writes.clear();
                replica::step_back(p, now, why, &mut out);
            }
            Event::Scrubbed { partition, trouble: Some(why) } => {
                rotted(self, now, partition, &why, &mut out)
            }
            Event::Scrubbed { .. } => {}
            Event::Operate { op, request, expect, deed } => {
                let request = Request { id: request, expect, deed };
                operation_forwarding::operate(self, now, op, request, &mut out);
            }
            Event::ForceRecovery => {
                for p in self.partitions.iter_mut().filter(|p| p.life != ReplicaCondition::Voting) {
                    p.relearn.vouched = true;
                    let text = format!("part {}: an operator vouches for what is left", p.id);
                    out.push(Command::Alarm(text));
                }
            }
            Event::Stop => handover::begin(self, now, &mut out),
            Event::Wake => wake(self, now, &mut out),
        }
        forgotten_members::apply(self, now);
        members::answer_status(self, now, &mut out);
        acceptance::look(self, now, &mut out);
        take_own_answers(self, now, &mut out);
        operation_forwarding::give_back(self, &mut out);
        feed::push(self, &mut out);
        voter_slots::mark(self, now, &mut out);
        out
    }
}

/// What we answer as the leader to requests of our own operators goes the way of
/// all answers: it may have to be tried again elsewhere.
fn take_own_answers(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    let mut i = 0;
    while i < out.len() {
        if !matches!(out[i], Command::OwnResponse { .. }) {
            i += 1;
        } else if let Command::OwnResponse { op, attempt, done } = out.remove(i) {
            operation_forwarding::answered(core, now, (op, attempt), done, out);
        }
    }
}

fn wake(core: &mut ControllerState, now: Tick, out: &mut Vec<Command>) {
    voter_slots::wake(core, now, out);
    let g = here(core);
    for p in core.partitions.iter_mut().filter(|_| core.slot != NOBODY) {
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
        let p = &core.partitions[core.look_next];
        core.look_next = (core.look_next + 1) % core.partitions.len();
        if able(p) {
            out.push(Command::Scrub { partition: p.id });
        }
    }
    members::wake(core, now, out);
    operation_forwarding::reconsider(core);
    operation_forwarding::wake(core, now, out);
}

/// Files rotted while we ran. What they held we still have, and the sweep
/// compares it with the leader's: it is written anew.
fn rotted(
    core: &mut ControllerState,
    now: Tick,
    partition: PartitionId,
    why: &str,
    out: &mut Vec<Command>,
) {
    let p = &mut core.partitions[partition.0 as usize];
    if able(p) {
        core.counts.rotted += 1;
        out.push(Command::Alarm(format!("part {partition}: its files have rotted: {why}")));
        replica::keep_whole(p, now, Vec::new(), out);
    }
}

/// A seat that stepped back tries its disk again by writing a whole slot.
fn mend(p: &mut crate::replication::partition::Partition, now: Tick, out: &mut Vec<Command>) {
    if p.life == ReplicaCondition::Voting && p.writes.is_empty() && now >= p.mend_at {
        p.mend_at = now + consts::DISK_STALL;
        replica::keep_whole(p, now, Vec::new(), out);
    }
}

fn synced(
    core: &mut ControllerState,
    now: Tick,
    partition: PartitionId,
    token: u64,
    out: &mut Vec<Command>,
) {
    let g = here(core);
    let p = &mut core.partitions[partition.0 as usize];
    while p.writes.front().is_some_and(|w| w.token <= token) {
        let Some(write) = p.writes.pop_front() else { break };
        p.synced_at = now;
        for after in write.after {
            match after {
                AfterWrite::Send(to, message) => out.push(Command::ToVoter { slot: to, message }),
                AfterWrite::OwnAppendSynced { term, revision } => {
                    leader::append_acked(p, now, (g, g.slot), term, revision, out)
                }
                AfterWrite::OwnVoteSynced { term } => {
                    election::own_vote_synced(p, now, g, term, out)
                }
                AfterWrite::StartVoting => catch_up::formed(p, now, out),
            }
        }
    }
    if p.writes.is_empty() && p.sick.is_some() {
        p.sick = None;
        replica::follow(p, now, None);
        out.push(Command::Alarm(format!("part {partition}: the disk works again")));
        core.counts.mended += 1;
    }
}

/// Whether what a seat's holder says counts: only if our table names it so,
/// and a vote only if its own table is the same.
fn heard(
    core: &mut ControllerState,
    now: Tick,
    (slot, holder): (VoterSlot, u64),
    connection: ConnectionId,
    message: &Message,
    out: &mut Vec<Command>,
) -> bool {
    if let Message::VoterSetUpdate { table, .. } = message {
        voter_slots::learn(core, now, table, out);
    }
    if !voter_slots::holds(&core.seating, slot, holder) {
        voter_slots::tell_again(core, now, slot, connection, out);
        return false;
    }
    core.seating.quiet[usize::from(slot)] = 0;
    let same = voter_slots::stamp_of(message).is_none_or(|stamp| stamp == core.seating.stamp);
    if !same {
        voter_slots::tell_again(core, now, slot, connection, out);
    }
    same && core.slot != NOBODY
}

/// A controller answers on a connection that we opened.
fn answer(core: &mut ControllerState, now: Tick, message: Message, out: &mut Vec<Command>) {
    match message {
        Message::VoterSetUpdate { me, table } => voter_slots::answered(core, now, me, &table, out),
        Message::JoinOffer { slot, stamp, free } => {
            slot_takeover::offered(core, now, (slot, stamp), free, out);
        }
        Message::OperationResponse { op, attempt, done } => {
            operation_forwarding::answered(core, now, (op, attempt), done, out);
        }
        Message::HandoverOffer { slot, generation } => {
            handover::offered(core, now, slot, generation, out);
        }
        Message::HandoverDone { slot, generation } => handover::done(core, slot, generation),
        _ => {}
    }
}

fn from_seat(
    core: &mut ControllerState,
    now: Tick,
    from: VoterSlot,
    message: Message,
    out: &mut Vec<Command>,
) {
    let g = here(core);
    if let Some(id) = part_named(&message) {
        let Some(p) = core.partitions.get_mut(id.0 as usize) else { return };
        let owned = matches!(p.role, Role::Leader(_));
        match message {
            Message::StatusRequest { nonce, .. } => catch_up::stand(p, from, nonce, out),
            Message::ReplicaStatus { nonce, life, promised, term, revision, .. } => {
                let s = ReplicaStatus { life, promised, term, revision };
                catch_up::stood(p, now, (g, from), nonce, s, out);
            }
            Message::FetchReplica { nonce, .. } => catch_up::give(p, from, nonce, out),
            Message::ReplicaFetched { nonce, promised, term, revision, map, .. } if able(p) => {
                let _ = promised;
                election::fetched(p, now, (g, from), nonce, (term, revision), map, out);
            }
            Message::ReplicaFetched { nonce, promised, term, revision, map, .. } => {
                catch_up::fetched(p, now, from, nonce, (promised, (term, revision)), map, out);
            }
            Message::PreVoteRequest { term, .. } => replica::pre_vote(p, now, from, term, out),
            Message::PreVoteResponse { term, yes, promised, .. } => {
                election::pre_vote_answered(p, now, (g, from), term, (yes, promised), out);
            }
            Message::VoteRequest { term, .. } => replica::vote(p, now, from, term, out),
            Message::VoteGranted { term, at_term, revision, .. } => {
                election::vote_granted(p, now, (g, from), term, (at_term, revision), out);
            }
            Message::LeadershipTransfer { term, .. } => {
                election::transferred(p, now, g, from, term, out);
            }
            Message::VoteRejected { term, promised, .. } => {
                election::vote_rejected(p, now, g, term, promised, out);
            }
            Message::Snapshot { term, revision, map, .. } => {
                replica::snapshot(p, now, from, (term, revision), map, out);
            }
            Message::Append { term, revision, entries, .. } => {
                replica::append(p, now, from, LogRecord::Change { term, revision, entries }, out);
            }
            Message::AppendAck { term, revision, .. } => {
                leader::append_acked(p, now, (g, from), term, revision, out)
            }
            Message::SnapshotRequest { term, .. } => {
                core.counts.swept += 1;
                leader::snapshot_requested(p, now, from, term, out);
            }
            Message::Heartbeat { term, round, done, sum, .. } => {
                replica::heartbeat(p, now, from, (term, round), (done, sum), out);
            }
            Message::HeartbeatAck { term, round, revision, kept, .. } => {
                leader::heartbeat_acked(p, now, (g, from), (term, round), (revision, kept), out);
            }
            _ => {}
        }
        let owns = matches!(p.role, Role::Leader(_));
        core.counts.owned += u64::from(!owned && owns);
        core.counts.resigned += u64::from(owned && !owns);
        return;
    }
    match message {
        Message::RenewLease { member, count, far } => {
            members::renew(core, now, Some(from), None, (member, count, far), out);
        }
        Message::LeaseGranted { ref name, .. } => {
            members::granted(core, &name.clone(), message, out)
        }
        Message::MembershipUpdate(membership) => members::told(core, now, false, membership, out),
        Message::ReplicateMembership { term, current, confirmed, older } => {
            membership_log::take(core, from, term, (current, confirmed), older, out);
        }
        Message::MembershipReplicated { term, id, settled, confirmed, .. } => {
            membership_log::acknowledged(core, from, term, (id, settled), confirmed);
            members::advance(core, now, out);
        }
        Message::FetchMembership { term } => membership_log::asked(core, from, term, out),
        Message::MembershipFetched { term, current, others, .. } => {
            membership_log::fetched(core, from, term, current, others);
        }
        Message::OperationRequest { op, attempt, term, request, expect, deed } => {
            let from = OperationOrigin { slot: Some(from), op, attempt };
            let request = Request { id: request, expect, deed };
            operation_forwarding::handed(core, now, from, term, request, out);
        }
        Message::OperationResponse { op, attempt, done } => {
            operation_forwarding::answered(core, now, (op, attempt), done, out);
        }
        message => report(core, now, message, false, out),
    }
}

fn part_named(message: &Message) -> Option<PartitionId> {
    Some(match message {
        Message::StatusRequest { partition, .. }
        | Message::ReplicaStatus { partition, .. }
        | Message::FetchReplica { partition, .. }
        | Message::ReplicaFetched { partition, .. }
        | Message::PreVoteRequest { partition, .. }
        | Message::PreVoteResponse { partition, .. }
        | Message::VoteRequest { partition, .. }
        | Message::VoteGranted { partition, .. }
        | Message::VoteRejected { partition, .. }
        | Message::LeadershipTransfer { partition, .. }
        | Message::Snapshot { partition, .. }
        | Message::Append { partition, .. }
        | Message::AppendAck { partition, .. }
        | Message::SnapshotRequest { partition, .. }
        | Message::Heartbeat { partition, .. }
        | Message::HeartbeatAck { partition, .. } => *partition,
        _ => return None,
    })
}

fn from_wire(
    core: &mut ControllerState,
    now: Tick,
    connection: u64,
    message: Message,
    out: &mut Vec<Command>,
) {
    match message {
        Message::Subscribe { places, stamp } => {
            let membership = places.iter().any(|p| p.partition == COHORT);
            if !membership && !core.followers.contains_key(&connection) {
                members::greet(core, connection, out);
            }
            feed::follow(core, connection, places, stamp, out);
        }
        Message::RenewLease { member, count, far } => {
            members::renew(core, now, None, Some(connection), (member, count, far), out);
        }
        Message::MembershipUpdate(membership) => members::told(core, now, true, membership, out),
        Message::VoterSetUpdate { table, .. } => voter_slots::learn(core, now, &table, out),
        Message::JoinRequest { holder, addr, zone, stamp } => {
            slot_takeover::asked(core, now, connection, (holder, &addr, &zone), stamp, out);
        }
        Message::HandoverAccept { slot, holding } => {
            handover::accepted(core, now, slot, holding, out);
        }
        Message::Handover { slot, generation, table, replicas, memberships } => {
            let state = Received { slot, generation, table, replicas, memberships };
            handover::received(core, now, connection, state, out);
        }
        Message::SlotTakeover { slot, holding } => {
            slot_takeover::taken(core, now, slot, holding, out)
        }
        Message::OperationRequest { op, attempt, .. } if core.slot == NOBODY => {
            operation_forwarding::misdirected(connection, op, attempt, out);
        }
        Message::OperationRequest { op, attempt, request, expect, deed, .. } => {
            let request = Request { id: request, expect, deed };
            let lent = ForwardedOperation { connection, number: op, attempt };
            operation_forwarding::lent(core, now, lent, request, out);
        }
        message => report(core, now, message, true, out),
    }
}

/// Reports about leafs go to the leader of their part, handed over once.
fn report(
    core: &mut ControllerState,
    now: Tick,
    message: Message,
    fresh: bool,
    out: &mut Vec<Command>,
) {
    let g = here(core);
    let id = match &message {
        Message::LeafList { partition, .. } | Message::LeafReports { partition, .. } => *partition,
        _ => return,
    };
    let Some(p) = core.partitions.get_mut(id.0 as usize) else { return };
    match &p.role {
        Role::Leader(_) => match message {
            Message::LeafList { fence, leafs, .. } => {
                endpoints::listed(p, now, g, fence, leafs, &mut core.counts, out);
            }
            Message::LeafReports { words, .. } => endpoints::words(p, now, g, words, out),
            _ => {}
        },
        Role::Follower { leader: Some((to, _)), .. } if fresh => {
            out.push(Command::ToVoter { slot: *to, message });
        }
        _ => {}
    }
}
