//! Operations of operators that wait at a leader for their response.

use crate::command::Command;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::protocol::operation::OperationResult;
use crate::time::Tick;

/// The origin of an operation, to which its result is sent.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct OperationOrigin {
    /// The voter that forwarded the operation; `None` if this node received it from the operator.
    pub slot: Option<VoterSlot>,
    /// The number of the operation at its origin.
    pub op: u64,
    /// Identifies the attempt of the origin; returned with the result.
    pub attempt: u64,
}

impl OperationOrigin {
    /// Sends the result of an operation to its origin.
    pub fn respond(self, result: OperationResult, commands: &mut Vec<Command>) {
        let OperationOrigin { slot, op, attempt } = self;
        commands.push(match slot {
            None => Command::OwnResponse { op, attempt, result },
            Some(slot) => {
                let message = Message::OperationResponse { op, attempt, result };
                Command::ToVoter { slot, message }
            }
        });
    }
}

/// A change whose operator waits for the outcome.
pub struct WaitingChange {
    /// The revision that the change creates.
    pub revision: u64,
    /// Where to send the result.
    pub origin: OperationOrigin,
    /// Whether the change was made by an earlier attempt of the same request.
    pub is_repeat: bool,
    /// The heartbeat round that must be confirmed first. A repeated request is answered from the
    /// leader's state, which needs a round that began after the request arrived. Zero for a new
    /// change, which a majority syncs after the request arrived.
    pub round: u64,
    /// When the change counts as accepted.
    pub acceptance: ChangeAcceptance,
    /// When the change was first found to be accepted.
    pub accepted_at: Option<Tick>,
    /// When the operator is notified that the outcome is unknown.
    pub until: Tick,
}

/// The criterion for a change to be accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChangeAcceptance {
    /// A majority of the voters has synced it.
    Committed,
    /// The change is committed, and enough members have applied it.
    Applied,
}

/// An operation whose response waits until the leadership is confirmed.
pub struct PendingOperation {
    /// Where to send the result.
    pub origin: OperationOrigin,
    /// The first heartbeat round that begins after the operation arrived.
    pub round: u64,
    /// The revision of the state that the response depends on.
    pub revision: u64,
    /// The response to send.
    pub answer: PendingAnswer,
    /// When the operation times out.
    pub until: Tick,
}

/// The response to an operation once the leadership is confirmed.
pub enum PendingAnswer {
    /// The operation is not carried out, for the reason in this result.
    Rejection(OperationResult),
    /// The configuration that is committed at the time of the response.
    Read,
    /// The members that the leader knows at the time of the response.
    Status,
    /// The newest rollout of this service that is committed at the time of the response.
    Rollout(String),
}
