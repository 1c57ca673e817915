//! Variants that are broken on purpose, to see that a checker catches them.

/// A part of the fleet that is broken on purpose, to see a checker catch it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum FaultyVariant {
    /// Answers claim all planned shards.
    ClaimsAllShards,
    /// Answers name a shard twice.
    RepeatsShard,
    /// Answers name another cut.
    WrongIndexVersion,
    /// The first two records change places.
    MisordersRecords,
    /// Dispatches carry another question, well signed.
    AltersQuestion,
    /// Queriers never hear that a leaf leaves.
    IgnoresLeavingLeafs,
    /// Queriers never hear that a zone is emptied.
    IgnoresDrainedZones,
    /// The threads of one querier keep their first view.
    KeepsStaleSnapshot,
    /// Restarted queriers begin with what they are first told.
    RevertsConfiguration,
    /// Every thread takes all of the retry rule's credit it likes.
    NoRetryBudget,
    /// Every thread takes the whole of every leaf's allowance.
    NoAllocation,
    /// Disks say yes before anything lasts.
    AcknowledgesBeforeSync,
    /// Answers below quorum are sent as successes.
    SucceedsBelowQuorum,
    /// Dispatches go out on new connections without asking who is there.
    NoIdentityCheck,
    /// Members keep what leafs tell them to themselves and the core.
    NoLeafReports,
    /// Seats never look at their files again.
    NoScrub,
    /// A lost disk's seat votes at once, as if it had never held anything.
    VotesAfterDiskLoss,
    /// Seats count by a table of the seats of their own, whoever speaks under
    /// whichever other.
    IgnoresOtherVoterSets,
    /// A controller that is asked to stop ends before its successor holds the data.
    StopsBeforeHandover,
}
