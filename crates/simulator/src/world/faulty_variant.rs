//! Variants that are broken on purpose, to see that a checker catches them.

/// A part of the fleet that is broken on purpose, to see a checker catch it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Broken {
    /// Answers claim all planned shards.
    ClaimAll,
    /// Answers name a shard twice.
    ClaimTwice,
    /// Answers name another cut.
    MixCut,
    /// The first two records change places.
    Disorder,
    /// Dispatches carry another question, well signed.
    ChangeQuestion,
    /// Queriers never hear that a leaf leaves.
    IgnoreLeaving,
    /// Queriers never hear that a zone is emptied.
    IgnoreDrain,
    /// The threads of one querier keep their first view.
    StaleView,
    /// Restarted queriers begin with what they are first told.
    SlipBack,
    /// Every thread takes all of the retry rule's credit it likes.
    NoRule,
    /// Every thread takes the whole of every leaf's allowance.
    NoShare,
    /// Disks say yes before anything lasts.
    EarlyYes,
    /// Answers below quorum are sent as successes.
    BelowQuorum,
    /// Dispatches go out on new connections without asking who is there.
    NoGreeting,
    /// Members keep what leafs tell them to themselves and the core.
    NoWords,
    /// Seats never look at their files again.
    NoLook,
    /// A lost disk's seat votes at once, as if it had never held anything.
    Amnesia,
    /// Seats count by a table of the seats of their own, whoever speaks under
    /// whichever other.
    OwnTables,
    /// A controller that is asked to stop ends before its successor holds the data.
    LeaveAtOnce,
}
