//! Whether a call is taken at all.

use super::engine::{QueryEngine, ServingState};
use super::request::{Rejection, RejectionReason};
use crate::config::types::PriorityClass;
use crate::consts;
use crate::time::Tick;

/// Queries open to a class on one desk.
pub fn room_of(class: PriorityClass) -> usize {
    let pct = match class {
        PriorityClass::Ordinary => consts::ORDINARY_ADMISSION_PCT,
        PriorityClass::Lookup => consts::LOOKUP_ADMISSION_PCT,
        PriorityClass::Urgent => consts::URGENT_ADMISSION_PCT,
    };
    consts::MAX_CONCURRENT_QUERIES * pct / 100
}

impl QueryEngine {
    /// Whether calls are taken now.
    pub(super) fn check_serving(&self, now: Tick) -> Result<(), Rejection> {
        let say = |reason, text: &str| Err(Rejection::new(reason, text));
        match self.serving_state {
            ServingState::Serving => {}
            ServingState::NoSnapshot => {
                return say(RejectionReason::NoSnapshot, "this node holds no view yet");
            }
            ServingState::Isolated => {
                return say(RejectionReason::Isolated, "this node is cut off from the others");
            }
            ServingState::ShuttingDown => {
                return say(RejectionReason::ShuttingDown, "this node is going down");
            }
        }
        if now > self.lease_valid_until {
            return say(
                RejectionReason::Isolated,
                "this node's view may be old: it has no tenure now",
            );
        }
        Ok(())
    }

    /// Whether there is room for one more query of a class.
    pub(super) fn check_capacity(&self, class: PriorityClass) -> Result<(), Rejection> {
        let say = |reason, text: &str| Err(Rejection::new(reason, text));
        if self.queries.len() >= room_of(class) {
            return say(
                RejectionReason::ConcurrencyLimit,
                "this node works on all it may for this class",
            );
        }
        let buffered = self.queries.values().filter(|query| query.queued_shards() > 0).count();
        if buffered * 100 >= room_of(class) * consts::MAX_QUEUED_QUERIES_PCT {
            return say(
                RejectionReason::NoCapacity,
                "too many queries already wait for room at the leafs",
            );
        }
        Ok(())
    }
}
