//! Choice of the voter that sends updates to this querier.

use std::collections::BTreeMap;

use crate::digest::{hash, hash_pair};
use crate::identifiers::VoterSlot;
use crate::time::{Span, Tick, ms, since};

/// A voter that has not reported its positions for this long is not used as the source of
/// updates: three requests without a response, less the time that a response takes.
pub const POSITION_REPORT_TIMEOUT: Span = ms(1_100);

/// What is known of the voters as sources of updates.
#[derive(Default)]
pub struct FeedSources {
    /// When each voter slot last reported its positions.
    pub answered_at: BTreeMap<VoterSlot, Tick>,
    /// When the voters that send no updates are next asked for their positions.
    pub position_poll_at: Tick,
}

impl FeedSources {
    /// Returns the voter among `slots` that sends updates: the first by rendezvous hashing that
    /// has recently reported its positions, so that queriers are spread evenly over the voters.
    /// At startup every voter counts as having reported; a replica that has just taken over its
    /// slot does not until it reports.
    pub(super) fn preferred(
        &self,
        slots: &[VoterSlot],
        name: &str,
        started_at: Tick,
        now: Tick,
    ) -> Option<VoterSlot> {
        let own = hash(name);
        let answered = |slot: &VoterSlot| {
            let at = *self.answered_at.get(slot).unwrap_or(&started_at);
            since(at, now) < POSITION_REPORT_TIMEOUT
        };
        slots.iter().copied().filter(answered).max_by_key(|slot| hash_pair(own, u64::from(*slot)))
    }
}
