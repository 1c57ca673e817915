//! What a leaf's reply is to a call that is forwarded unchanged.

use crate::config::types::ServingMode;
use crate::http_api::leaf::{MISDIRECTED, Raw, Trouble};

/// What a reply is to a call that is handed over.
pub(super) enum Word {
    /// It stands for its shard.
    Partial,
    /// One leaf's answer that goes back as it is.
    Answer,
    /// A failure after the leaf worked, or may have; given back if nothing
    /// better comes.
    Failed(Trouble),
    /// The leaf did not run it.
    Unrun(Trouble),
}

impl Word {
    /// What an attempt is that ended without a reply.
    pub(super) fn without_reply(why: Trouble) -> Word {
        if ran(why) { Word::Failed(why) } else { Word::Unrun(why) }
    }

    /// Whether it stands for its shard, and why not.
    pub(super) fn how(&self) -> Result<(), Trouble> {
        match self {
            Word::Partial | Word::Answer => Ok(()),
            Word::Failed(why) | Word::Unrun(why) => Err(*why),
        }
    }
}

/// Judges a reply. Only a whole success with one stamp that answers just this
/// dispatch is a part.
pub(super) fn judge(raw: &Raw, form: ServingMode) -> Word {
    // Whatever another call's answer says, it says nothing of this one.
    if raw.heads.foreign {
        return Word::Failed(Trouble::WrongPostmark);
    }
    if raw.status == MISDIRECTED {
        return Word::Unrun(Trouble::Misdirected);
    }
    if raw.heads.unrun {
        // What is wrong with the call itself is wrong elsewhere too.
        let own = raw.status == 400 && form == ServingMode::PassThrough;
        return if own { Word::Answer } else { Word::Unrun(Trouble::Unrun) };
    }
    let good = (200..300).contains(&raw.status);
    match (good, raw.heads.postmarks.len(), form) {
        (true, 1, ServingMode::PassThrough) => Word::Answer,
        (true, 1, _) => Word::Partial,
        (true, 0, _) => Word::Failed(Trouble::NoPostmark),
        (true, _, _) => Word::Failed(Trouble::TwoPostmarks),
        // The leaf's own word on the call, not a failure of the leaf.
        (false, _, ServingMode::PassThrough) if raw.status < 500 && !promises(raw.status) => {
            Word::Answer
        }
        (false, _, _) => Word::Failed(Trouble::Status),
    }
}

/// Whether a status promises that the call has not run. From a leaf that did
/// not say so besides, it promises nothing and must not be passed on.
pub(super) fn promises(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether a dispatch that ended so may have been worked on.
fn ran(why: Trouble) -> bool {
    !matches!(why, Trouble::Unreachable | Trouble::Unrun | Trouble::Misdirected)
}
