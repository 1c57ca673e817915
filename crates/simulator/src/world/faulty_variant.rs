//! Faulty variants of the cluster, which show that each checker detects its kind of fault.

/// A fault that the cluster has on purpose.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum FaultyVariant {
    /// Answers claim all planned shards.
    ClaimsAllShards,
    /// Answers name a shard twice.
    RepeatsShard,
    /// Answers name another index version.
    WrongIndexVersion,
    /// The first two records of an answer are swapped.
    MisordersRecords,
    /// Attempts carry another query, with a valid digest.
    AltersQuestion,
    /// Queriers never learn that a leaf is leaving.
    IgnoresLeavingLeafs,
    /// Queriers never learn that a zone is drained.
    IgnoresDrainedZones,
    /// The threads of one querier keep their first snapshot.
    KeepsStaleSnapshot,
    /// Restarted queriers serve with the first configuration that they receive.
    RevertsConfiguration,
    /// Threads retry without a budget.
    NoRetryBudget,
    /// Every thread uses the whole allocation of each leaf.
    NoAllocation,
    /// Disks acknowledge writes before they are durable.
    AcknowledgesBeforeSync,
    /// Answers below quorum are sent as successes.
    SucceedsBelowQuorum,
    /// Attempts are sent on new connections without checking the leaf's identity.
    NoIdentityCheck,
    /// No member polls the platform's list in place of members that don't report.
    NoSubstituteListPollers,
    /// Members report the states of leafs to the controllers, not to each other.
    NoLeafReports,
    /// Controllers never scrub their files.
    NoScrub,
    /// A voter votes immediately after the loss of its disk.
    VotesAfterDiskLoss,
    /// Voters count messages by their own voter set, whatever the sender's voter set is.
    IgnoresOtherVoterSets,
    /// Slow-start rates are shared among the members that each querier knows of, settled or not.
    WarmsUpByUnsettledMembers,
    /// Leaders count acknowledgements that a voter sent before its process restarted.
    CountsFormerAcknowledgements,
    /// Queriers send to leafs of every version.
    IgnoresVersions,
    /// Every request may go to a version on trial.
    NoExposureLimit,
    /// The same; in addition threads never stop a trial, and report nothing to controllers.
    NeverReturns,
    /// A rollout is reported to operators as ended as soon as its direction is decided.
    TellsEndsEarly,
    /// Every second poll of a rollout returns its state before the end.
    AnswersOldRollouts,
    /// Requests without id and base revision are run under an id that is generated for each.
    MakesUpRequestIds,
    /// A controller that is asked to stop ends before its successor has the data.
    StopsBeforeHandover,
}
