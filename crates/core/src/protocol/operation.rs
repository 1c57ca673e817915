//! Operations that operators request, and their results.

use nanoserde::{DeBin, SerBin};

use crate::protocol::membership::{MemberProgress, Membership};
use crate::protocol::replica::EntryMap;
use crate::rollout::order::RolloutOrder;
use crate::rollout::record::Rollout;

/// An operation that an operator requests.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum Operation {
    /// Replaces the complete configuration (JSON).
    Replace(Vec<u8>),
    /// Sets and removes single objects of the configuration (JSON).
    Patch(Vec<u8>),
    /// Reads the configuration.
    Read,
    /// Reads the members with their progress. The controller that received the request adds its
    /// own status.
    Status,
    /// Removes a member that is permanently down, so that no change waits for it.
    ForgetMember(String),
    /// Starts the rollout of another version of a service.
    StartRollout(RolloutOrder),
    /// Aborts the rollout of this service and restores the version before it.
    AbortRollout(String),
    /// Reads the newest rollout of this service.
    ReadRollout(String),
}

impl Operation {
    /// Returns whether the operation changes replicated state: the configuration or a rollout.
    pub fn is_change(&self) -> bool {
        match self {
            Operation::Replace(_)
            | Operation::Patch(_)
            | Operation::StartRollout(_)
            | Operation::AbortRollout(_) => true,
            Operation::Read
            | Operation::Status
            | Operation::ForgetMember(_)
            | Operation::ReadRollout(_) => false,
        }
    }

    /// Returns whether the operation only reads, so that it may be retried at any time.
    pub fn is_read(&self) -> bool {
        matches!(self, Operation::Read | Operation::Status | Operation::ReadRollout(_))
    }
}

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum OperationResult {
    /// The change is committed, and all members will apply it.
    Accepted {
        /// The revision that the change created.
        revision: u64,
        /// Number of replicas that have synced the change.
        replicas: u32,
        /// Whether the change was made by an earlier attempt of the same request.
        is_repeat: bool,
    },
    /// The configuration that was read.
    Configuration {
        /// The revision of the configuration.
        revision: u64,
        /// The entries, without those that only replicas need.
        entries: EntryMap,
    },
    /// The members that the leader knows.
    Status {
        /// The membership in force.
        membership: Membership,
        /// The name of each member, the time since its last renewal (ms), and its progress.
        progress: Vec<(String, u64, MemberProgress)>,
    },
    /// The request is invalid: the location and description of each problem.
    Invalid(Vec<(String, String)>),
    /// The request expects another revision or edition than the current one.
    Conflict {
        /// The current revision or edition.
        revision: u64,
    },
    /// The operation was definitely not carried out.
    Rejected {
        /// The reason, for the operator.
        why: String,
    },
    /// It is unknown whether the operation was carried out.
    Unknown {
        /// The reason, for the operator.
        why: String,
    },
    /// The request expects a state so old (up to this revision or edition) that a record of its
    /// acceptance may have been deleted. A retry gets the same result.
    Forgotten {
        /// The newest revision whose records may have been deleted.
        revision: u64,
        /// The edition at that revision.
        edition: u64,
    },
    /// The newest rollout of a service; `None` if there was none.
    Rollout(Option<Rollout>),
    /// Another rollout of the service is in progress.
    RolloutInProgress {
        /// The version that is being rolled out.
        target: String,
    },
}
