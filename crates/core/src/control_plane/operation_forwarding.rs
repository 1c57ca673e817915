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
use crate::control_plane::controller::ControllerState;
use crate::control_plane::forgotten_members;
use crate::control_plane::operations;
use crate::control_plane::operations::Request;
use crate::control_plane::pending_requests::{
    ANY_TERM, AttemptId, ForwardedOperation, Forwarding, PendingRequest,
};
use crate::control_plane::rejection::Rejection;
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::operation::{Operation, OperationResult};
use crate::replication::operations::OperationOrigin;
use crate::replication::partition::Role;
use crate::time::Tick;
use crate::voter_set::{NO_SLOT, others};

/// Attempts that are remembered (count), so that one that comes twice is taken
/// once: at hundreds of orders a second those of ten seconds.
const ATTEMPTS_KEPT: usize = 4_096;

impl ControllerState {
    /// A request from one of our own operators.
    pub(super) fn on_operate(
        &mut self,
        now: Tick,
        op: u64,
        request: Request,
        commands: &mut Vec<Command>,
    ) {
        // Without a voter slot we hold no revision: the leader tells it.
        if request.is_unconditional() && self.slot != NO_SLOT {
            let revision = self.partitions[0].committed_revision;
            return commands
                .push(Command::Respond { op, done: OperationResult::Conflict { revision } });
        }
        let until = now + consts::OPERATOR_REQUEST_TIMEOUT;
        self.pending_requests.insert(op, PendingRequest::new(request, until));
        self.forward(now, op, commands);
    }

    /// Nobody waits for a request any more. One that was not handed to a leader yet is never
    /// carried out: its operator may have given other orders since.
    pub(super) fn abandon_request(&mut self, op: u64) {
        self.pending_requests.swap_remove(&op);
    }

    /// To whom a request would be handed now: the leader that we know, or without a
    /// voter slot any controller that lives, by turns.
    fn forwarding_target(&mut self) -> Option<Forwarding> {
        if self.slot != NO_SLOT {
            return self.known_leader();
        }
        let quiet = &self.voter_slots.time_since_message;
        // A controller that is leaving asks nobody for a slot, and so hears nobody.
        let leaving = self.is_leaving();
        let is_awake =
            |slot: &VoterSlot| leaving || quiet[usize::from(*slot)] < consts::VOTER_SILENCE_TIMEOUT;
        let list: Vec<VoterSlot> = others(self.group()).filter(is_awake).collect();
        let slot =
            list.get(self.voter_slots.forwarded_without_slot % list.len().max(1)).copied()?;
        self.voter_slots.forwarded_without_slot += 1;
        Some(Forwarding { slot, term: ANY_TERM })
    }

    /// The leader of the configuration as we know it, ourselves if we serve.
    fn known_leader(&self) -> Option<Forwarding> {
        match &self.partitions[0].role {
            Role::Leader(leader) if leader.is_serving => {
                Some(Forwarding { slot: self.slot, term: leader.term })
            }
            Role::Follower { leader: Some(leader), .. } => {
                Some(Forwarding { slot: leader.slot, term: leader.term })
            }
            _ => None,
        }
    }

    /// Hands a request to the leader, if one is known and it was not yet handed.
    fn forward(&mut self, now: Tick, op: u64, commands: &mut Vec<Command>) {
        if self.pending_requests.get(&op).is_none_or(|pending| pending.forwarded_to.is_some()) {
            return;
        }
        let Some(to) = self.forwarding_target() else { return };
        self.next_attempt = self.next_attempt.wrapping_add(1);
        let attempt = self.next_attempt;
        let Some(pending) = self.pending_requests.get_mut(&op) else { return };
        pending.begin_attempt(attempt, to);
        let request = pending.to_request();
        if to.slot == self.slot {
            let origin = OperationOrigin { slot: None, op, attempt };
            return self.execute_as_leader(now, origin, request, commands);
        }
        let Request { id: request, expected_revision, operation } = request;
        let term = to.term;
        let message =
            Message::OperationRequest { op, attempt, term, request, expected_revision, operation };
        commands.push(Command::ToVoter { slot: to.slot, message });
    }

    /// Judges a request as the leader of the configuration.
    fn execute_as_leader(
        &mut self,
        now: Tick,
        origin: OperationOrigin,
        request: Request,
        commands: &mut Vec<Command>,
    ) {
        let group = self.group();
        if operations::reject_if_full(&self.partitions[0], origin, commands) {
            return;
        }
        if let Operation::ForgetMember(name) = &request.operation {
            self.begin_leases(now);
            let (configuration, members) = (&mut self.partitions[0], &self.members);
            return forgotten_members::forget(
                configuration,
                members,
                now,
                group,
                origin,
                name,
                commands,
            );
        }
        let (configuration, clock) = (&mut self.partitions[0], &self.rollout_clock);
        operations::execute(configuration, now, group, origin, &request, clock, commands);
    }

    /// We came to a voter slot or lost ours: what is answered to us under our former
    /// name does not reach us, so every request is handed over anew.
    pub(crate) fn retry_all_requests(&mut self) {
        for pending in
            self.pending_requests.values_mut().filter(|pending| pending.forwarded_to.is_some())
        {
            pending.give_up_attempt();
        }
    }

    /// Voter slots changed hands: what was handed to their former holders is handed
    /// over anew, since nobody may be left there to answer.
    pub(crate) fn retry_requests_to(&mut self, moved: &[bool]) {
        let went_to_moved = |pending: &&mut PendingRequest| {
            let slot = pending.forwarded_to.map(|to| usize::from(to.slot));
            slot.is_some_and(|slot| moved.get(slot).is_some_and(|moved| *moved))
        };
        for pending in self.pending_requests.values_mut().filter(went_to_moved) {
            pending.give_up_attempt();
        }
    }

    /// Whether an attempt comes for the first time.
    fn is_first_time(&mut self, attempt: u64) -> bool {
        if !self.attempts_seen.insert(attempt) {
            return false;
        }
        if self.attempts_seen.len() > ATTEMPTS_KEPT {
            self.attempts_seen.shift_remove_index(0);
        }
        true
    }

    /// Another controller handed a request to us as the leader of a term.
    pub(super) fn on_operation_request(
        &mut self,
        now: Tick,
        origin: OperationOrigin,
        term: Term,
        request: Request,
        commands: &mut Vec<Command>,
    ) {
        if !self.is_first_time(origin.attempt) {
            return;
        }
        if self.lease_term() == Some(term) {
            self.execute_as_leader(now, origin, request, commands);
        } else {
            let why = Rejection::NotLeader.to_string();
            origin.respond(OperationResult::Rejected { why }, commands);
        }
    }

    /// A controller without a voter slot handed a request to us; it asks again
    /// elsewhere if we fail it.
    pub(super) fn on_forwarded_operation(
        &mut self,
        now: Tick,
        origin: ForwardedOperation,
        request: Request,
        commands: &mut Vec<Command>,
    ) {
        if !self.is_first_time(origin.attempt) {
            return;
        }
        self.next_forwarded += 1;
        let op = self.next_forwarded;
        self.forwarded.insert(op, origin);
        self.on_operate(now, op, request, commands);
    }

    /// An answer to one of our attempts. Only the latest counts.
    pub(super) fn on_operation_response(
        &mut self,
        now: Tick,
        id: AttemptId,
        done: OperationResult,
        commands: &mut Vec<Command>,
    ) {
        if self.pending_requests.get(&id.op).is_some_and(|pending| pending.waits_for(id.attempt)) {
            self.on_result(now, id.op, done, commands);
        }
    }

    /// The result of the latest attempt. A rejection is retried while there is
    /// time: the leader may just have changed. An unknown result too, which is
    /// safe because the request carries its id.
    fn on_result(
        &mut self,
        now: Tick,
        op: u64,
        done: OperationResult,
        commands: &mut Vec<Command>,
    ) {
        let Some(pending) = self.pending_requests.get_mut(&op) else { return };
        if let OperationResult::Unknown { why } = &done {
            pending.may_be_applied = true;
            pending.last_failure = Some(why.clone());
        }
        let may_retry =
            matches!(done, OperationResult::Rejected { .. } | OperationResult::Unknown { .. });
        if may_retry && now < pending.deadline {
            pending.forwarded_to = None;
            return;
        }
        let done = pending.certain(done);
        self.pending_requests.swap_remove(&op);
        match done {
            OperationResult::Accepted { .. } => self.counters.accepted += 1,
            OperationResult::Configuration { .. }
            | OperationResult::Status { .. }
            | OperationResult::Rollout(_) => {}
            _ => self.counters.rejected += 1,
        }
        commands.push(Command::Respond { op, done });
    }

    /// Time passes: requests wait for a leader, but not for ever.
    pub(super) fn wake_requests(&mut self, now: Tick, commands: &mut Vec<Command>) {
        self.retry_superseded();
        let ids: Vec<u64> = self.pending_requests.keys().copied().collect();
        for id in ids {
            let Some(pending) = self.pending_requests.get(&id) else { continue };
            if now < pending.deadline {
                self.forward(now, id, commands);
                continue;
            }
            let done = pending.overdue();
            self.pending_requests.swap_remove(&id);
            self.counters.rejected += 1;
            commands.push(Command::Respond { op: id, done });
        }
    }

    /// Requests handed to a controller that leads no more, or in an earlier term,
    /// are handed anew; by a controller without a voter slot, those handed to one
    /// that has fallen silent.
    fn retry_superseded(&mut self) {
        let leader = self.known_leader();
        let leaving = self.is_leaving();
        let ControllerState { slot, voter_slots, pending_requests, .. } = self;
        let is_silent = |to: &Forwarding| {
            let quiet = voter_slots.time_since_message.get(usize::from(to.slot));
            quiet.is_none_or(|quiet| *quiet >= consts::VOTER_SILENCE_TIMEOUT)
        };
        let is_superseded = |to: &Forwarding| match *slot {
            NO_SLOT => !leaving && is_silent(to),
            _ => leader.is_some_and(|leader| leader != *to),
        };
        for pending in pending_requests.values_mut() {
            if pending.forwarded_to.as_ref().is_some_and(is_superseded) {
                pending.give_up_attempt();
            }
        }
    }

    /// What we answer as the leader to requests of our own operators goes the way of
    /// all answers: it may have to be tried again elsewhere.
    pub(super) fn take_own_responses(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let mut at = 0;
        while at < commands.len() {
            if !matches!(commands[at], Command::OwnResponse { .. }) {
                at += 1;
            } else if let Command::OwnResponse { op, attempt, done } = commands.remove(at) {
                self.on_operation_response(now, AttemptId { op, attempt }, done, commands);
            }
        }
    }

    /// Returns results of forwarded requests on the connections that they came on.
    pub(super) fn return_forwarded(&mut self, commands: &mut [Command]) {
        for command in commands {
            if let Command::Respond { op, done } = command
                && let Some(origin) = self.forwarded.swap_remove(op)
            {
                *command = origin.response(done.clone());
            }
        }
    }

    /// A connection is gone, and with it those who wait on it.
    pub(super) fn drop_forwarded_from(&mut self, connection: ConnectionId) {
        self.forwarded.retain(|_, origin| origin.connection != connection);
    }
}
