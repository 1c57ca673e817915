//! Why an operator's request is not carried out, or why that is not known, as the
//! operator reads it.

use thiserror::Error;

/// Why an operator's request has no result that it asked for.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum Rejection {
    /// Another controller forwarded it to us, and we can't find the leader either.
    #[error("this controller has no voter slot")]
    NoVoterSlot,
    /// The leader has as many requests in hand as it takes.
    #[error("too many requests wait at the leader")]
    TooManyRequests,
    /// A member that is to be forgotten is unknown or alive.
    #[error("no such member, or it still renews its tenure")]
    MemberUnknownOrLive,
    /// It was meant for a term in which we do not lead.
    #[error("the seat it was handed to does not own the configuration")]
    NotLeader,
    /// A later leader refused it, but an attempt that was not meant for one term alone
    /// may still reach any leader.
    #[error("refused, but an earlier attempt may still be carried out")]
    EarlierAttemptPending,
    /// No leader was known while there was time.
    #[error("the configuration has no leader now")]
    NoLeader,
    /// A read was not answered while there was time.
    #[error("no answer in time")]
    ReadTimedOut,
    /// A change was not answered while there was time.
    #[error("the leader did not answer in time")]
    LeaderTimedOut,
}
