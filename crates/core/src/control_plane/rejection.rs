//! The reasons for which an operator request is not executed or has no known result, with
//! the texts that operators see.

use thiserror::Error;

/// Why an operator request did not yield the requested result.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum Rejection {
    /// Another controller forwarded the request to this node, which has no voter slot
    /// either.
    #[error("this controller has no voter slot")]
    NoVoterSlot,
    /// The maximum number of requests is pending at the leader.
    #[error("too many requests wait at the leader")]
    TooManyRequests,
    /// The member to be forgotten is unknown or running.
    #[error("no such member, or it still renews its tenure")]
    MemberUnknownOrLive,
    /// The request was addressed to a term in which this node does not lead.
    #[error("the seat it was handed to does not own the configuration")]
    NotLeader,
    /// A later leader refused the request, but an attempt that was not restricted to a
    /// single term may still reach any leader.
    #[error("refused, but an earlier attempt may still be carried out")]
    EarlierAttemptPending,
    /// No leader was known before the request timed out.
    #[error("the configuration has no leader now")]
    NoLeader,
    /// A read was not answered before the request timed out.
    #[error("no answer in time")]
    ReadTimedOut,
    /// A change was not answered before the request timed out.
    #[error("the leader did not answer in time")]
    LeaderTimedOut,
}
