//! Messages between the controller's threads.

use grebepath_core::control_plane::controller::Event;
use grebepath_core::identifiers::PartitionId;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::voter_file::VoterFile;
use tokio::sync::oneshot;

/// An input of the controller's thread. Its channel is unbounded, but the disk thread sends one
/// event per completed job, and the operators' listener limits its concurrent requests.
pub enum ControllerInput {
    /// An event for the state machine.
    Event(Event),
    /// An operator's request.
    Operate {
        /// The id under which the request may safely be sent again; empty if it has none.
        request_id: String,
        /// The revision that a change is based on, if the request specifies it.
        expected_revision: Option<u64>,
        /// The requested operation.
        operation: Operation,
        /// Receives the result. Closed when the caller disconnects.
        reply: oneshot::Sender<OperationResult>,
    },
    /// A request for this controller's status as JSON.
    Status(oneshot::Sender<serde_json::Value>),
    /// A request for this controller's metrics as text.
    Metrics(oneshot::Sender<String>),
}

/// A job for the disk thread. Its channel is unbounded, but the state machine has only a few jobs
/// of a partition in progress at a time.
pub enum DiskJob {
    /// Appends a record to a partition's log.
    Append {
        /// The partition.
        partition: PartitionId,
        /// Identifies the job in the event that completes it.
        token: u64,
        /// The record.
        record: LogRecord,
    },
    /// Writes a snapshot of a partition.
    WriteSnapshot {
        /// The partition.
        partition: PartitionId,
        /// Identifies the job in the event that completes it.
        token: u64,
        /// The complete state.
        state: ReplicaState,
    },
    /// Compares a partition's files with the data that was written.
    Scrub {
        /// The partition.
        partition: PartitionId,
    },
    /// Writes the voter file.
    WriteVoterFile {
        /// Identifies the job in the event that completes it.
        token: u64,
        /// The content of the voter file.
        file: VoterFile,
        /// Whether to set the files of all partitions aside first.
        set_aside: bool,
    },
}
