//! Operators' requests that wait at the controller that they came to, and what may
//! be told of them.

use crate::command::{Command, ConnectionId};
use crate::control_plane::operations::Request;
use crate::control_plane::rejection::Rejection;
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::operation::{Operation, OperationResult};
use crate::time::Tick;

/// Term of an attempt that is meant for no certain leader: the receiver finds one.
pub const ANY_TERM: Term = Term::ZERO;

/// An operator's request in hand at the controller it came to.
pub struct PendingRequest {
    /// The request's own id, which makes it safe to send it again.
    pub request_id: String,
    /// The revision that it expects to change.
    pub expected_revision: Option<u64>,
    /// What is asked.
    pub operation: Operation,
    /// To whom it was handed; `None` while no leader is known.
    pub forwarded_to: Option<Forwarding>,
    /// Number of the latest attempt.
    pub attempt: u64,
    /// An earlier attempt ended without an answer: it may have been applied.
    pub may_be_applied: bool,
    /// An attempt was not meant for one term alone.
    pub is_unfenced: bool,
    /// Why the last attempt ended without a result.
    pub last_failure: Option<String>,
    /// When the patience with it ends.
    pub deadline: Tick,
}

/// To whom a request was handed.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Forwarding {
    /// The voter that is to carry it out, or to find the one that does.
    pub slot: VoterSlot,
    /// The term of the leader that it is meant for; [`ANY_TERM`] for any.
    pub term: Term,
}

/// Where a request came from that another controller forwarded to us.
#[derive(Clone, Copy)]
pub struct ForwardedOperation {
    /// The connection on which it came.
    pub connection: ConnectionId,
    /// Its number there.
    pub number: u64,
    /// The attempt there.
    pub attempt: u64,
}

/// Names one attempt to have an operator's request carried out.
#[derive(Clone, Copy)]
pub struct AttemptId {
    /// The request, as numbered by the controller that it came to.
    pub op: u64,
    /// Number of the attempt.
    pub attempt: u64,
}

impl ForwardedOperation {
    /// The answer to this attempt.
    pub fn response(self, done: OperationResult) -> Command {
        let ForwardedOperation { connection, number, attempt } = self;
        let message = Message::OperationResponse { op: number, attempt, result: done };
        Command::ToConnection { connection, message }
    }

    /// A controller without a voter slot took us for a voter. It is to ask another.
    pub fn misdirected(self) -> Command {
        let why = Rejection::NoVoterSlot.to_string();
        self.response(OperationResult::Rejected { why })
    }
}

impl PendingRequest {
    /// A request that has just come.
    pub fn new(request: Request, until: Tick) -> Self {
        let Request { id, expected_revision, operation } = request;
        Self {
            request_id: id,
            expected_revision,
            operation,
            forwarded_to: None,
            attempt: 0,
            may_be_applied: false,
            is_unfenced: false,
            last_failure: None,
            deadline: until,
        }
    }

    /// The request without what became of its attempts.
    pub fn to_request(&self) -> Request {
        Request {
            id: self.request_id.clone(),
            expected_revision: self.expected_revision,
            operation: self.operation.clone(),
        }
    }

    /// Notes that the latest attempt goes to this controller.
    pub fn begin_attempt(&mut self, number: u64, to: Forwarding) {
        self.forwarded_to = Some(to);
        self.attempt = number;
        self.is_unfenced |= to.term == ANY_TERM;
    }

    /// The latest attempt may never be answered: another is to be made.
    pub fn give_up_attempt(&mut self) {
        self.may_be_applied = true;
        self.forwarded_to = None;
    }

    /// Whether an answer to this attempt counts.
    pub fn waits_for(&self, attempt: u64) -> bool {
        self.attempt == attempt && self.forwarded_to.is_some()
    }

    /// What may be told of a result, with what became of earlier attempts.
    pub fn certain(&self, done: OperationResult) -> OperationResult {
        match done {
            OperationResult::Accepted { .. }
            | OperationResult::Configuration { .. }
            | OperationResult::Status { .. }
            | OperationResult::Rollout(_)
            | OperationResult::Unknown { .. } => done,
            OperationResult::Rejected { why } if self.may_be_applied => {
                OperationResult::Unknown { why }
            }
            OperationResult::Rejected { .. } => done,
            // An earlier attempt may still reach any leader and be carried out.
            _ if self.may_be_applied && self.is_unfenced => {
                let why = Rejection::EarlierAttemptPending.to_string();
                OperationResult::Unknown { why }
            }
            refusal => refusal,
        }
    }

    /// What an operator is told when the patience with its request ends.
    pub fn overdue(&self) -> OperationResult {
        match self.forwarded_to {
            None if !self.may_be_applied => {
                OperationResult::Rejected { why: Rejection::NoLeader.to_string() }
            }
            _ if self.operation.is_read() => {
                OperationResult::Rejected { why: Rejection::ReadTimedOut.to_string() }
            }
            _ => {
                let silent = || Rejection::LeaderTimedOut.to_string();
                OperationResult::Unknown { why: self.last_failure.clone().unwrap_or_else(silent) }
            }
        }
    }
}
