//! Classifies the replies of leafs to calls that are forwarded unchanged.

use crate::config::types::ServingMode;
use crate::http_api::leaf::{AttemptFailure, LeafReply, MISDIRECTED};

/// Class of a leaf's reply to a forwarded call.
pub(super) enum ReplyClass {
    /// The result of one shard, to be merged with those of other shards.
    Partial,
    /// A reply that is returned to the caller unchanged.
    Final,
    /// A failure after the leaf executed the request, or may have. It is returned to the caller
    /// if no other leaf succeeds.
    Failed(AttemptFailure),
    /// The leaf did not execute the request.
    Rejected(AttemptFailure),
}

impl ReplyClass {
    /// Classifies an attempt that ended without a reply.
    pub(super) fn without_reply(why: AttemptFailure) -> ReplyClass {
        if may_have_executed(why) { ReplyClass::Failed(why) } else { ReplyClass::Rejected(why) }
    }

    /// Returns success if the reply is accepted for its shard, else the failure.
    pub(super) fn outcome(&self) -> Result<(), AttemptFailure> {
        match self {
            ReplyClass::Partial | ReplyClass::Final => Ok(()),
            ReplyClass::Failed(why) | ReplyClass::Rejected(why) => Err(*why),
        }
    }

    /// Classifies a reply. A success is accepted only if it is complete and has exactly one
    /// postmark, which matches this attempt.
    pub(super) fn of_reply(raw: &LeafReply, serving_mode: ServingMode) -> ReplyClass {
        // A reply to another call says nothing about this one.
        if raw.headers.is_mismatched {
            return ReplyClass::Failed(AttemptFailure::PostmarkMismatch);
        }
        if raw.status == MISDIRECTED {
            return ReplyClass::Rejected(AttemptFailure::Misdirected);
        }
        if raw.headers.rejected {
            // A call that one leaf finds invalid is invalid for the others too.
            let is_invalid_call = raw.status == 400 && serving_mode == ServingMode::PassThrough;
            return if is_invalid_call {
                ReplyClass::Final
            } else {
                ReplyClass::Rejected(AttemptFailure::Rejected)
            };
        }
        let good = (200..300).contains(&raw.status);
        match (good, raw.headers.postmarks.len(), serving_mode) {
            (true, 1, ServingMode::PassThrough) => ReplyClass::Final,
            (true, 1, _) => ReplyClass::Partial,
            (true, 0, _) => ReplyClass::Failed(AttemptFailure::MissingPostmark),
            (true, _, _) => ReplyClass::Failed(AttemptFailure::DuplicatePostmark),
            // A client error is the leaf's answer to the call, not a failure of the leaf.
            (false, _, ServingMode::PassThrough)
                if raw.status < 500 && !implies_not_executed(raw.status) =>
            {
                ReplyClass::Final
            }
            (false, _, _) => ReplyClass::Failed(AttemptFailure::ErrorStatus),
        }
    }
}

/// Returns whether a status implies to the caller that the call has not been executed. A leaf's
/// reply with such a status must not be returned unless the leaf marked it as a rejection.
pub(super) fn implies_not_executed(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Returns whether the leaf may have executed an attempt that failed for this reason.
fn may_have_executed(why: AttemptFailure) -> bool {
    !matches!(
        why,
        AttemptFailure::Unreachable | AttemptFailure::Rejected | AttemptFailure::Misdirected
    )
}
