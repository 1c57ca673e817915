//! What the controller's threads send to each other.

use grebepath_core::control_plane::controller::Event;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::voter_file::VoterFile;
use tokio::sync::oneshot;

/// What reaches the controller's thread, over a channel without a bound of its own: the
/// disk answers each job once, and the operators' listener bounds its requests.
pub enum ControllerInput {
    /// An event for the state machine.
    Event(Event),
    /// An operator's request.
    Operate {
        /// The id under which the request may safely come again; empty if it has none.
        request_id: String,
        /// The revision that a change builds on, if it says so.
        expected_revision: Option<u64>,
        /// What to do.
        operation: Operation,
        /// Takes the result; closed once the caller has gone.
        reply: oneshot::Sender<OperationResult>,
    },
    /// What this controller knows itself, as JSON.
    Status(oneshot::Sender<serde_json::Value>),
    /// Its metrics as text.
    Metrics(oneshot::Sender<String>),
}

/// What the disk's thread is asked to do, over a channel without a bound of its own: the
/// state machine has few jobs of a partition out at once.
pub enum DiskJob {
    /// Append a record to a partition's log.
    Append {
        /// The partition.
        partition: PartitionId,
        /// Names the job in the event that ends it.
        token: u64,
        /// The record.
        record: LogRecord,
    },
    /// Write a snapshot of a partition.
    WriteSnapshot {
        /// The partition.
        partition: PartitionId,
        /// Names the job in the event that ends it.
        token: u64,
        /// The whole state.
        state: ReplicaState,
    },
    /// Compare a partition's files with what was written.
    Scrub {
        /// The partition.
        partition: PartitionId,
    },
    /// Write the voter file.
    WriteVoterFile {
        /// Names the job in the event that ends it.
        token: u64,
        /// Its content.
        file: VoterFile,
        /// All partitions' files are set aside before.
        set_aside: bool,
    },
}
