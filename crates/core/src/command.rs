//! Commands of the controller state machine to the process that runs it.

use crate::identifiers::{PartitionId, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::operation::OperationResult;
use crate::storage::record::{LogRecord, ReplicaState};
use crate::storage::voter_file::VoterFile;
use crate::time::Span;

/// Id that the daemon assigns to a connection that a peer opened to this controller.
pub type ConnectionId = u64;

/// A command of the controller state machine.
pub enum Command {
    /// Sends a message to the voter in a slot.
    ToVoter { slot: VoterSlot, message: Message },
    /// Sends a message on a connection that a peer opened.
    ToConnection { connection: ConnectionId, message: Message },
    /// Sends a message to every controller whose address is known.
    Broadcast { message: Message },
    /// The voter set or this node's slot changed: opens and closes connections accordingly.
    VoterSetChanged,
    /// Writes the voter file; with `clear`, sets the files of all partitions aside first.
    WriteVoterFile { token: u64, voter_file: VoterFile, clear: bool },
    /// Appends a record to the partition's log and syncs it.
    AppendRecord { partition: PartitionId, token: u64, record: LogRecord },
    /// Writes the other snapshot slot, syncs it and starts a new log.
    WriteSnapshot { partition: PartitionId, token: u64, snapshot: ReplicaState },
    /// Verifies the partition's files after all earlier disk commands are done.
    Scrub { partition: PartitionId },
    /// Responds to an operator, once for each request.
    Respond { op: u64, result: OperationResult },
    /// Response of this node, as the leader, to an attempt of the same process. `step` consumes
    /// it and never returns it.
    OwnResponse { op: u64, attempt: u64, result: OperationResult },
    /// Schedules an additional wake-up after this time.
    WakeAfter { span: Span },
    /// Reports a condition that an operator must know; logged as a warning.
    Alarm(String),
}
