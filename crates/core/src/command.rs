//! What a controller wants done by the process that drives it.

use crate::identifiers::{PartitionId, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::operation::OperationResult;
use crate::storage::record::{LogRecord, ReplicaState};
use crate::storage::voter_file::VoterFile;
use crate::time::Span;

/// A connection that others opened to this controller, as numbered by the daemon.
pub type ConnectionId = u64;

/// What a controller wants done.
pub enum Command {
    ToVoter {
        slot: VoterSlot,
        message: Message,
    },
    ToConnection {
        connection: ConnectionId,
        message: Message,
    },
    /// To every controller that we know an address of.
    Broadcast {
        message: Message,
    },
    /// The voter set or our slot in it changed: open and close connections to match.
    VoterSetChanged,
    /// Write the voter file; with `clear`, set all partitions' files aside before.
    WriteVoterFile {
        token: u64,
        roll: VoterFile,
        clear: bool,
    },
    /// Append a record to the partition's log and sync it.
    AppendRecord {
        partition: PartitionId,
        token: u64,
        rec: LogRecord,
    },
    /// Write the other slot, sync it, begin a new log.
    WriteSnapshot {
        partition: PartitionId,
        token: u64,
        copy: ReplicaState,
    },
    /// Read the partition's files again, after all that was asked before.
    Scrub {
        partition: PartitionId,
    },
    /// The answer to an operator, once for each request.
    Respond {
        op: u64,
        done: OperationResult,
    },
    /// Our own answer, as the leader, to an attempt of this process. `step` takes
    /// it back; it never comes out.
    OwnResponse {
        op: u64,
        attempt: u64,
        done: OperationResult,
    },
    /// Wake us after this time, beside the wakes that come anyway.
    WakeAfter {
        span: Span,
    },
    /// Something that an operator must know of; logged as a warning.
    Alarm(String),
}
