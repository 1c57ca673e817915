//! Faulty variants of the fleet, which show that each checker catches what it is for.

/// One way in which the fleet is faulty on purpose.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum FaultyVariant {
    /// Answers claim all planned shards.
    ClaimsAllShards,
    /// Answers name a shard twice.
    RepeatsShard,
    /// Answers name another index version.
    WrongIndexVersion,
    /// The first two records change places.
    MisordersRecords,
    /// Attempts carry another question, with a valid digest.
    AltersQuestion,
    /// Queriers never learn that a leaf is leaving.
    IgnoresLeavingLeafs,
    /// Queriers never learn that a zone is drained.
    IgnoresDrainedZones,
    /// The threads of one querier keep their first snapshot.
    KeepsStaleSnapshot,
    /// Restarted queriers serve by the first configuration that they receive.
    RevertsConfiguration,
    /// Every thread retries as much as it likes.
    NoRetryBudget,
    /// Every thread uses each leaf's allocation as if it were alone.
    NoAllocation,
    /// Disks acknowledge writes before they last.
    AcknowledgesBeforeSync,
    /// Answers below quorum are sent as successes.
    SucceedsBelowQuorum,
    /// Attempts are sent on new connections without asking which leaf is there.
    NoIdentityCheck,
    /// Nobody polls the platform's list in place of members that are silent.
    NoSubstituteListPollers,
    /// Members report to the controllers, not to each other, what leafs tell them.
    NoLeafReports,
    /// Controllers never scrub their files.
    NoScrub,
    /// A voter whose disk was lost votes at once.
    VotesAfterDiskLoss,
    /// Voters count by a voter set of their own, whoever speaks under
    /// whichever other.
    IgnoresOtherVoterSets,
    /// Cold leafs are warmed up by the members that each one knows of, settled or not.
    WarmsUpByUnsettledMembers,
    /// Leaders count what a voter acknowledged before its process restarted.
    CountsFormerAcknowledgements,
    /// Queriers send to leafs of every version.
    IgnoresVersions,
    /// Every request may go to a version that is tried.
    NoExposureLimit,
    /// The same, threads never stop by themselves, and no controller hears what they see.
    NeverReturns,
    /// Operators are told that a rollout has ended as soon as it has turned.
    TellsEndsEarly,
    /// Of operators who look again, every second one is told what stood before the end.
    AnswersOldRollouts,
    /// Orders without id and base are carried out under an id that is made up for each.
    MakesUpRequestIds,
    /// A controller that is asked to stop ends before its successor holds the data.
    StopsBeforeHandover,
}
