//! Operations of operators that wait at a leader, and how they are answered.

use crate::command::Command;
use crate::identifiers::VoterSlot;
use crate::protocol::message::Message;
use crate::protocol::operation::OperationResult;
use crate::time::Tick;

/// Where an operation came from.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct OperationOrigin {
    /// The voter that handed it over; `None`: it came to this very process.
    pub slot: Option<VoterSlot>,
    /// Its number there.
    pub op: u64,
    /// Which of the origin's attempts this is; given back with the answer.
    pub attempt: u64,
}

impl OperationOrigin {
    /// Sends the result of an operation to where it came from.
    pub fn respond(self, result: OperationResult, commands: &mut Vec<Command>) {
        let OperationOrigin { slot, op, attempt } = self;
        commands.push(match slot {
            None => Command::OwnResponse { op, attempt, done: result },
            Some(slot) => {
                let message = Message::OperationResponse { op, attempt, result };
                Command::ToVoter { slot, message }
            }
        });
    }
}

/// A change whose operator waits.
pub struct WaitingChange {
    /// The revision that it makes.
    pub revision: u64,
    /// Who waits for it.
    pub origin: OperationOrigin,
    /// Whether it had been made before, and its operator asks again.
    pub is_repeat: bool,
    /// The heartbeat round that must be proved: of a change that was found to be made
    /// already, nobody was asked since its operator asked again. Zero for a new
    /// change, which a majority syncs.
    pub round: u64,
    /// What it takes to be accepted.
    pub acceptance: ChangeAcceptance,
    /// Since when it counts as accepted.
    pub accepted_at: Option<Tick>,
    /// When its operator is told that the outcome is unknown.
    pub until: Tick,
}

/// What it takes for a change to be accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChangeAcceptance {
    /// A majority of the voters has synced it.
    Committed,
    /// It is committed, and enough members go by it.
    Obeyed,
}

/// An operation whose answer waits for a proof.
pub struct PendingOperation {
    /// Who waits for it.
    pub origin: OperationOrigin,
    /// The first heartbeat round that began after the operation came.
    pub round: u64,
    /// The revision of the state that the answer rests on.
    pub revision: u64,
    /// What is answered.
    pub answer: PendingAnswer,
    /// When it is given up.
    pub until: Tick,
}

/// What is answered once the proof is there.
pub enum PendingAnswer {
    /// Why the order is not carried out, as it was judged.
    Refusal(OperationResult),
    /// The committed configuration, as it is then.
    Read,
    /// The members, as the leader knows them then.
    Status,
    /// The newest rollout of this service, as it is committed then.
    Rollout(String),
}
