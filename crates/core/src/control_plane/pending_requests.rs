//! Operator requests that wait at the controller that received them, and the results that
//! may be reported for them.

use crate::command::{Command, ConnectionId};
use crate::control_plane::operations::Request;
use crate::control_plane::rejection::Rejection;
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::operation::{Operation, OperationResult};
use crate::time::Tick;

/// Term of an attempt that is not addressed to a certain leader: the receiver finds the
/// leader.
pub const ANY_TERM: Term = Term::ZERO;

/// An operator request at the controller that received it.
pub struct PendingRequest {
    /// Request id (idempotency key), which makes it safe to send the request again.
    pub request_id: String,
    /// The revision that the request expects to change.
    pub expected_revision: Option<u64>,
    /// The requested operation.
    pub operation: Operation,
    /// The target of the latest attempt; `None` while no attempt is in flight.
    pub forwarded_to: Option<Forwarding>,
    /// Number of the latest attempt.
    pub attempt: u64,
    /// Whether an earlier attempt ended without a response and so may have been applied.
    pub may_be_applied: bool,
    /// Whether an attempt was not restricted to a single term.
    pub is_unfenced: bool,
    /// Why the last attempt ended without a result.
    pub last_failure: Option<String>,
    /// When the request times out.
    pub deadline: Tick,
}

/// The target to which a request is forwarded.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Forwarding {
    /// The voter that executes the request, or finds the leader that does.
    pub slot: VoterSlot,
    /// The term of the leader to which the request is addressed; [`ANY_TERM`] for any
    /// leader.
    pub term: Term,
}

/// The origin of a request that another controller forwarded to this node.
#[derive(Clone, Copy)]
pub struct ForwardedOperation {
    /// The connection on which the request arrived.
    pub connection: ConnectionId,
    /// Id of the request at that controller.
    pub id: u64,
    /// Number of the attempt at that controller.
    pub attempt: u64,
}

/// Identifies one attempt to execute an operator request.
#[derive(Clone, Copy)]
pub struct AttemptId {
    /// Id of the request at the controller that received it.
    pub op: u64,
    /// Number of the attempt.
    pub attempt: u64,
}

impl ForwardedOperation {
    /// Returns the command that sends the result of this attempt to its origin.
    pub fn response(self, result: OperationResult) -> Command {
        let ForwardedOperation { connection, id, attempt } = self;
        let message = Message::OperationResponse { op: id, attempt, result };
        Command::ToConnection { connection, message }
    }

    /// Returns the rejection of a request that a controller without a voter slot sent to
    /// this node although it holds no slot either. The sender retries with another
    /// controller.
    pub fn no_slot_rejection(self) -> Command {
        let why = Rejection::NoVoterSlot.to_string();
        self.response(OperationResult::Rejected { why })
    }
}

impl PendingRequest {
    /// Creates the entry of a request that was just received.
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

    /// Returns the request without the state of its attempts.
    pub fn to_request(&self) -> Request {
        Request {
            id: self.request_id.clone(),
            expected_revision: self.expected_revision,
            operation: self.operation.clone(),
        }
    }

    /// Records that the latest attempt goes to this target.
    pub fn begin_attempt(&mut self, number: u64, to: Forwarding) {
        self.forwarded_to = Some(to);
        self.attempt = number;
        self.is_unfenced |= to.term == ANY_TERM;
    }

    /// Cancels the latest attempt, which may never be answered, so that another one is
    /// made.
    pub fn cancel_attempt(&mut self) {
        self.may_be_applied = true;
        self.forwarded_to = None;
    }

    /// Returns whether a response to this attempt counts.
    pub fn is_current_attempt(&self, attempt: u64) -> bool {
        self.attempt == attempt && self.forwarded_to.is_some()
    }

    /// Returns the result that may be reported, given what may have become of earlier
    /// attempts.
    pub fn final_result(&self, result: OperationResult) -> OperationResult {
        match result {
            OperationResult::Accepted { .. }
            | OperationResult::Configuration { .. }
            | OperationResult::Status { .. }
            | OperationResult::Rollout(_)
            | OperationResult::Unknown { .. } => result,
            OperationResult::Rejected { why } if self.may_be_applied => {
                OperationResult::Unknown { why }
            }
            OperationResult::Rejected { .. } => result,
            // An earlier attempt may still reach any leader and be executed.
            _ if self.may_be_applied && self.is_unfenced => {
                let why = Rejection::EarlierAttemptPending.to_string();
                OperationResult::Unknown { why }
            }
            refusal => refusal,
        }
    }

    /// Returns the result that is reported when the request times out.
    pub fn timeout_result(&self) -> OperationResult {
        match self.forwarded_to {
            None if !self.may_be_applied => {
                OperationResult::Rejected { why: Rejection::NoLeader.to_string() }
            }
            _ if self.operation.is_read() => {
                OperationResult::Rejected { why: Rejection::ReadTimedOut.to_string() }
            }
            _ => {
                let leader_timed_out = || Rejection::LeaderTimedOut.to_string();
                OperationResult::Unknown {
                    why: self.last_failure.clone().unwrap_or_else(leader_timed_out),
                }
            }
        }
    }
}
