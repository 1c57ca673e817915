//! Admission control: whether this node accepts a call.

use super::engine::{QueryEngine, ServingState};
use super::request::{Rejection, RejectionReason};
use crate::config::types::PriorityClass;
use crate::consts;
use crate::time::Tick;

/// Returns the maximum number of open queries of one query engine for a priority class.
pub fn max_open_queries(class: PriorityClass) -> usize {
    let pct = match class {
        PriorityClass::Ordinary => consts::ORDINARY_ADMISSION_PCT,
        PriorityClass::Lookup => consts::LOOKUP_ADMISSION_PCT,
        PriorityClass::Urgent => consts::URGENT_ADMISSION_PCT,
    };
    consts::MAX_CONCURRENT_QUERIES * pct / 100
}

impl QueryEngine {
    /// Checks that this node accepts calls now.
    pub(super) fn check_serving(&self, now: Tick) -> Result<(), Rejection> {
        let reject = |reason, text: &str| Err(Rejection::new(reason, text));
        match self.serving_state {
            ServingState::Serving => {}
            ServingState::NoSnapshot => {
                return reject(RejectionReason::NoSnapshot, "this node holds no view yet");
            }
            ServingState::Isolated => {
                return reject(RejectionReason::Isolated, "this node is cut off from the others");
            }
            ServingState::ShuttingDown => {
                return reject(RejectionReason::ShuttingDown, "this node is going down");
            }
        }
        if now > self.lease_valid_until {
            return reject(
                RejectionReason::Isolated,
                "this node's view may be old: it has no tenure now",
            );
        }
        Ok(())
    }

    /// Checks that this node may open another query of a priority class.
    pub(super) fn check_capacity(&self, class: PriorityClass) -> Result<(), Rejection> {
        let reject = |reason, text: &str| Err(Rejection::new(reason, text));
        if self.queries.len() >= max_open_queries(class) {
            return reject(
                RejectionReason::ConcurrencyLimit,
                "this node works on all it may for this class",
            );
        }
        let queued = self.queries.values().filter(|query| query.queued_shards() > 0).count();
        if queued * 100 >= max_open_queries(class) * consts::MAX_QUEUED_QUERIES_PCT {
            return reject(
                RejectionReason::NoCapacity,
                "too many queries already wait for room at the leafs",
            );
        }
        Ok(())
    }
}
