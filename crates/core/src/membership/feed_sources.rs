//! Which voter sends us updates.

use std::collections::BTreeMap;

use crate::digest::{hash, pair};
use crate::identifiers::VoterSlot;
use crate::time::{Span, Tick, ms, since};

/// A voter that did not say for this long how far it is sends us no updates: three asked
/// in vain, less what the answer takes.
pub const POSITION_REPORT_TIMEOUT: Span = ms(1_100);

/// What is known of the voters as sources of updates.
#[derive(Default)]
pub struct FeedSources {
    /// When each voter slot last said how far it is.
    pub answered_at: BTreeMap<VoterSlot, Tick>,
    /// When those that send us no updates are next asked how far they are.
    pub position_poll_at: Tick,
}

impl FeedSources {
    /// The voter that sends us updates, of those in `slots`: the first by rendezvous
    /// that answered lately, so that followers are spread evenly. At a start each
    /// counts as having answered; a replica that has just taken its slot does not
    /// before it answers.
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
        slots.iter().copied().filter(answered).max_by_key(|slot| pair(own, u64::from(*slot)))
    }
}
