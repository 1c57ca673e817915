//! What a leaf's reply is to a call that is forwarded unchanged.

use crate::config::types::ServingMode;
use crate::http_api::leaf::{AttemptFailure, LeafReply, MISDIRECTED};

/// What a reply is to a call that is handed over.
pub(super) enum ReplyClass {
    /// It stands for its shard.
    Partial,
    /// One leaf's answer that goes back as it is.
    Final,
    /// A failure after the leaf worked, or may have; given back if nothing
    /// better comes.
    Failed(AttemptFailure),
    /// The leaf did not run it.
    Rejected(AttemptFailure),
}

impl ReplyClass {
    /// What an attempt is that ended without a reply.
    pub(super) fn without_reply(why: AttemptFailure) -> ReplyClass {
        if ran(why) { ReplyClass::Failed(why) } else { ReplyClass::Rejected(why) }
    }

    /// Whether it stands for its shard, and why not.
    pub(super) fn how(&self) -> Result<(), AttemptFailure> {
        match self {
            ReplyClass::Partial | ReplyClass::Final => Ok(()),
            ReplyClass::Failed(why) | ReplyClass::Rejected(why) => Err(*why),
        }
    }

    /// Judges a reply. Only a whole success with one stamp that answers just this
    /// dispatch is a part.
    pub(super) fn of_reply(raw: &LeafReply, serving_mode: ServingMode) -> ReplyClass {
        // Whatever another call's answer says, it says nothing of this one.
        if raw.headers.foreign {
            return ReplyClass::Failed(AttemptFailure::PostmarkMismatch);
        }
        if raw.status == MISDIRECTED {
            return ReplyClass::Rejected(AttemptFailure::Misdirected);
        }
        if raw.headers.rejected {
            // What is wrong with the call itself is wrong elsewhere too.
            let own = raw.status == 400 && serving_mode == ServingMode::PassThrough;
            return if own {
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
            // The leaf's own word on the call, not a failure of the leaf.
            (false, _, ServingMode::PassThrough) if raw.status < 500 && !promises(raw.status) => {
                ReplyClass::Final
            }
            (false, _, _) => ReplyClass::Failed(AttemptFailure::ErrorStatus),
        }
    }
}

/// Whether a status promises that the call has not run. From a leaf that did
/// not say so besides, it promises nothing and must not be passed on.
pub(super) fn promises(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether a dispatch that ended so may have been worked on.
fn ran(why: AttemptFailure) -> bool {
    !matches!(
        why,
        AttemptFailure::Unreachable | AttemptFailure::Rejected | AttemptFailure::Misdirected
    )
}
