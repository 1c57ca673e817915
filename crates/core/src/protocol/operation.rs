//! What operators ask, and what came of it.

use nanoserde::{DeBin, SerBin};

use crate::protocol::membership::{MemberProgress, Membership};
use crate::protocol::replica::EntryMap;
use crate::rollout::order::RolloutOrder;
use crate::rollout::record::Rollout;

/// What an operator's request asks.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum Operation {
    /// Replace the whole configuration by this one (JSON).
    Replace(Vec<u8>),
    /// Set and remove single objects (JSON).
    Patch(Vec<u8>),
    /// Read the configuration.
    Read,
    /// The members with their progress; the controller that was asked adds what it knows
    /// of itself.
    Status,
    /// This member is down for good: don't count it any more.
    ForgetMember(String),
    /// Move a service to another version.
    StartRollout(RolloutOrder),
    /// End the rollout of this service, with the version in force that was before.
    AbortRollout(String),
    /// Read the newest rollout of this service.
    ReadRollout(String),
}

impl Operation {
    /// Whether it changes what is agreed on: the configuration, or a rollout.
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

    /// Whether it only asks, so that it may be asked again at any time.
    pub fn is_read(&self) -> bool {
        matches!(self, Operation::Read | Operation::Status | Operation::ReadRollout(_))
    }
}

/// What came of an operation.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum OperationResult {
    /// The change is committed and will be obeyed everywhere.
    Accepted {
        /// The revision that it made.
        revision: u64,
        /// Replicas that have synced it (count).
        replicas: u32,
        /// It had been made when the same request came before.
        is_repeat: bool,
    },
    /// The configuration, as it was read.
    Configuration {
        /// Its revision.
        revision: u64,
        /// Its entries, without those that only replicas need.
        entries: EntryMap,
    },
    /// The members, as the leader knows them.
    Status {
        /// The membership in force.
        membership: Membership,
        /// Name, milliseconds since the last renewal, and progress of each.
        progress: Vec<(String, u64, MemberProgress)>,
    },
    /// The request is invalid: place and text of each problem.
    Invalid(Vec<(String, String)>),
    /// It builds on another revision or edition than the one that stands.
    Conflict {
        /// The one that stands.
        revision: u64,
    },
    /// It was certainly not carried out.
    Rejected {
        /// The reason, for the operator.
        why: String,
    },
    /// Whether it was carried out is not known.
    Unknown {
        /// The reason, for the operator.
        why: String,
    },
    /// It builds on a state so old that its acceptance may be forgotten: on one up to
    /// this revision or edition. Asking again changes nothing.
    Forgotten {
        /// The newest revision that may be forgotten.
        revision: u64,
        /// The edition that stood then.
        edition: u64,
    },
    /// The newest rollout of a service; `None` if there was none.
    Rollout(Option<Rollout>),
    /// Another rollout of the service goes on.
    RolloutInProgress {
        /// The version that it moves to.
        target: String,
    },
}
