//! Forwards operator requests from the controller that received them to the leader of the
//! configuration partition.
//!
//! A controller that holds a voter slot is a voter: it replicates the partitions and so knows
//! their leaders. A controller without a voter slot is a spare. It forwards a request to any
//! voter, which forwards it to the leader.
//!
//! A request is forwarded repeatedly until its deadline. The operator receives a response
//! as soon as the result is certain.
//!
//! Each attempt to forward a request has its own number, and only the response to the
//! latest attempt counts: the result of a later attempt may already have overtaken an
//! earlier response. An attempt is addressed to one term of one leader. A rejection by a
//! later leader is therefore final: an earlier leader that receives the request afterwards
//! can no longer commit it.

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
use crate::voter_set::{NO_SLOT, other_voters};

/// Maximum number of attempt numbers that are remembered to drop duplicates. At hundreds of
/// requests per second, this covers ten seconds.
const MAX_SEEN_ATTEMPTS: usize = 4_096;

impl ControllerState {
    /// Handles a request from an operator of this node.
    pub(super) fn on_operator_request(
        &mut self,
        now: Tick,
        op: u64,
        request: Request,
        commands: &mut Vec<Command>,
    ) {
        // A controller without a voter slot holds no revision, so the leader reports it
        // instead.
        if request.is_unconditional() && self.slot != NO_SLOT {
            let revision = self.partitions[0].committed_revision;
            return commands
                .push(Command::Respond { op, result: OperationResult::Conflict { revision } });
        }
        let until = now + consts::OPERATOR_REQUEST_TIMEOUT;
        self.pending_requests.insert(op, PendingRequest::new(request, until));
        self.forward(now, op, commands);
    }

    /// Drops a request whose operator no longer waits for it. A request that was not yet
    /// forwarded to a leader is never executed: its operator may have sent other requests
    /// since.
    pub(super) fn abandon_request(&mut self, op: u64) {
        self.pending_requests.swap_remove(&op);
    }

    /// Returns the node to which a request is forwarded now: the known leader or, if this
    /// node has no voter slot, one of the reachable voters in round-robin order.
    fn forwarding_target(&mut self) -> Option<Forwarding> {
        if self.slot != NO_SLOT {
            return self.known_leader();
        }
        let time_since_message = &self.voter_slots.time_since_message;
        // A leaving controller requests no slot from the voters and so receives no messages
        // from them. It treats them all as reachable.
        let leaving = self.is_leaving();
        let is_reachable = |slot: &VoterSlot| {
            leaving || time_since_message[usize::from(*slot)] < consts::VOTER_SILENCE_TIMEOUT
        };
        let reachable: Vec<VoterSlot> = other_voters(self.group()).filter(is_reachable).collect();
        let slot = reachable
            .get(self.voter_slots.forwarded_without_slot % reachable.len().max(1))
            .copied()?;
        self.voter_slots.forwarded_without_slot += 1;
        Some(Forwarding { slot, term: ANY_TERM })
    }

    /// Returns the leader of the configuration partition if it is known. This is the node
    /// itself if it leads and is serving.
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

    /// Forwards a request to the leader if one is known and the request is not in flight
    /// yet.
    fn forward(&mut self, now: Tick, op: u64, commands: &mut Vec<Command>) {
        if self.pending_requests.get(&op).is_none_or(|pending| pending.forwarded_to.is_some()) {
            return;
        }
        let Some(to) = self.forwarding_target() else { return };
        self.last_attempt = self.last_attempt.wrapping_add(1);
        let attempt = self.last_attempt;
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

    /// Executes a request as the leader of the configuration partition.
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

    /// Retries all requests after this node has gained or lost its voter slot: responses
    /// that are addressed to its former identity do not reach it.
    pub(crate) fn retry_all_requests(&mut self) {
        for pending in
            self.pending_requests.values_mut().filter(|pending| pending.forwarded_to.is_some())
        {
            pending.cancel_attempt();
        }
    }

    /// Retries the requests that were forwarded to voter slots which have a new holder: the
    /// former holder may no longer be there to respond.
    pub(crate) fn retry_requests_to(&mut self, moved: &[bool]) {
        let targets_moved_slot = |pending: &&mut PendingRequest| {
            let slot = pending.forwarded_to.map(|to| usize::from(to.slot));
            slot.is_some_and(|slot| moved.get(slot).is_some_and(|moved| *moved))
        };
        for pending in self.pending_requests.values_mut().filter(targets_moved_slot) {
            pending.cancel_attempt();
        }
    }

    /// Records an attempt and returns whether it was received for the first time.
    fn record_attempt(&mut self, attempt: u64) -> bool {
        if !self.attempts_seen.insert(attempt) {
            return false;
        }
        if self.attempts_seen.len() > MAX_SEEN_ATTEMPTS {
            self.attempts_seen.shift_remove_index(0);
        }
        true
    }

    /// Handles a request that another controller forwarded to this node as the leader of
    /// `term`.
    pub(super) fn on_operation_request(
        &mut self,
        now: Tick,
        origin: OperationOrigin,
        term: Term,
        request: Request,
        commands: &mut Vec<Command>,
    ) {
        if !self.record_attempt(origin.attempt) {
            return;
        }
        if self.lease_term() == Some(term) {
            self.execute_as_leader(now, origin, request, commands);
        } else {
            let why = Rejection::NotLeader.to_string();
            origin.respond(OperationResult::Rejected { why }, commands);
        }
    }

    /// Handles a request that a controller without a voter slot forwarded to this node. If
    /// it fails here, that controller retries it with another voter.
    pub(super) fn on_forwarded_operation(
        &mut self,
        now: Tick,
        origin: ForwardedOperation,
        request: Request,
        commands: &mut Vec<Command>,
    ) {
        if !self.record_attempt(origin.attempt) {
            return;
        }
        self.last_forwarded += 1;
        let op = self.last_forwarded;
        self.forwarded.insert(op, origin);
        self.on_operator_request(now, op, request, commands);
    }

    /// Handles the response to an attempt. Only the response to the latest attempt counts.
    pub(super) fn on_operation_response(
        &mut self,
        now: Tick,
        id: AttemptId,
        result: OperationResult,
        commands: &mut Vec<Command>,
    ) {
        if self
            .pending_requests
            .get(&id.op)
            .is_some_and(|pending| pending.is_current_attempt(id.attempt))
        {
            self.on_result(now, id.op, result, commands);
        }
    }

    /// Handles the result of the latest attempt. A rejected request is retried until its
    /// deadline, as the leader may just have changed. So is a request with an unknown
    /// result, which is safe because the request carries an id.
    fn on_result(
        &mut self,
        now: Tick,
        op: u64,
        result: OperationResult,
        commands: &mut Vec<Command>,
    ) {
        let Some(pending) = self.pending_requests.get_mut(&op) else { return };
        if let OperationResult::Unknown { why } = &result {
            pending.may_be_applied = true;
            pending.last_failure = Some(why.clone());
        }
        let may_retry =
            matches!(result, OperationResult::Rejected { .. } | OperationResult::Unknown { .. });
        if may_retry && now < pending.deadline {
            pending.forwarded_to = None;
            return;
        }
        let result = pending.final_result(result);
        self.pending_requests.swap_remove(&op);
        match result {
            OperationResult::Accepted { .. } => self.counters.accepted += 1,
            OperationResult::Configuration { .. }
            | OperationResult::Status { .. }
            | OperationResult::Rollout(_) => {}
            _ => self.counters.rejected += 1,
        }
        commands.push(Command::Respond { op, result });
    }

    /// Forwards the requests that wait for a leader, and ends those whose deadline has
    /// passed.
    pub(super) fn wake_requests(&mut self, now: Tick, commands: &mut Vec<Command>) {
        self.retry_superseded();
        let ids: Vec<u64> = self.pending_requests.keys().copied().collect();
        for id in ids {
            let Some(pending) = self.pending_requests.get(&id) else { continue };
            if now < pending.deadline {
                self.forward(now, id, commands);
                continue;
            }
            let result = pending.timeout_result();
            self.pending_requests.swap_remove(&id);
            self.counters.rejected += 1;
            commands.push(Command::Respond { op: id, result });
        }
    }

    /// Retries the requests that were forwarded to a node that is no longer the leader or
    /// leads in another term. A controller without a voter slot retries those that it
    /// forwarded to a voter which no longer responds.
    fn retry_superseded(&mut self) {
        let leader = self.known_leader();
        let leaving = self.is_leaving();
        let ControllerState { slot, voter_slots, pending_requests, .. } = self;
        let is_silent = |to: &Forwarding| {
            let time_since_message = voter_slots.time_since_message.get(usize::from(to.slot));
            time_since_message.is_none_or(|time_since_message| {
                *time_since_message >= consts::VOTER_SILENCE_TIMEOUT
            })
        };
        let is_superseded = |to: &Forwarding| match *slot {
            NO_SLOT => !leaving && is_silent(to),
            _ => leader.is_some_and(|leader| leader != *to),
        };
        for pending in pending_requests.values_mut() {
            if pending.forwarded_to.as_ref().is_some_and(is_superseded) {
                pending.cancel_attempt();
            }
        }
    }

    /// Handles the responses of this node, as the leader, to requests of its own operators.
    /// They are treated like responses from another leader, as the request may have to be
    /// retried.
    pub(super) fn handle_own_responses(&mut self, now: Tick, commands: &mut Vec<Command>) {
        let mut at = 0;
        while at < commands.len() {
            if !matches!(commands[at], Command::OwnResponse { .. }) {
                at += 1;
            } else if let Command::OwnResponse { op, attempt, result } = commands.remove(at) {
                self.on_operation_response(now, AttemptId { op, attempt }, result, commands);
            }
        }
    }

    /// Sends the results of forwarded requests back on the connections on which they
    /// arrived.
    pub(super) fn respond_to_forwarded(&mut self, commands: &mut [Command]) {
        for command in commands {
            if let Command::Respond { op, result } = command
                && let Some(origin) = self.forwarded.swap_remove(op)
            {
                *command = origin.response(result.clone());
            }
        }
    }

    /// Drops the forwarded requests of a connection that was closed.
    pub(super) fn drop_forwarded_from(&mut self, connection: ConnectionId) {
        self.forwarded.retain(|_, origin| origin.connection != connection);
    }
}
