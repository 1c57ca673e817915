//! What a controller wants done by the process that drives it.

use crate::identifiers::{PartitionId, VoterSlot};
use crate::protocol::message::{Message, OperationResult};
use crate::storage::record::{LogRecord, ReplicaState};
use crate::storage::voter_file::VoterFile;
use crate::time::Span;

/// A connection to a member, as numbered by the daemon.
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
    /// To every controller that we know a way to.
    Broadcast {
        message: Message,
    },
    /// The table of the seats or our place in it changed: see to the connections.
    VoterSetChanged,
    /// Keep the roll; with `clear`, set all parts' files aside before.
    WriteVoterFile {
        token: u64,
        roll: VoterFile,
        clear: bool,
    },
    /// Append a record to the part's log and sync it.
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
    /// Read the part's files again, behind all that was asked before.
    Scrub {
        partition: PartitionId,
    },
    /// What an operator is told, once for each request.
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
    /// Something an operator must hear of.
    Alarm(String),
}
