//! An open query and the state of each of its planned shards.

use std::sync::Arc;

use super::forwarded_request::ForwardedRequest;
use super::request::{Record, RejectionReason};
use crate::config::route::Route;
use crate::consts;
use crate::http_api::leaf::LeafReply;
use crate::time::Tick;

/// An open query.
///
/// Invariants: `route` is pinned when the query starts and never replaced, so that all its
/// shards belong to one index version. `shards` holds each planned shard once.
pub struct Query {
    pub call: u64,
    pub name: String,
    pub route: Arc<Route>,
    pub revision: u64,
    pub started_at: Tick,
    /// From this time on a quorum of shards is enough to answer.
    pub quorum_suffices_from: Tick,
    /// At this time the query ends, whatever its result.
    pub deadline: Tick,
    pub record_limit: u32,
    pub body: Arc<Vec<u8>>,
    pub body_digest: String,
    pub shards: Vec<PlannedShard>,
    /// The caller's request, if it is forwarded unchanged.
    pub forwarded: Option<Arc<ForwardedRequest>>,
    /// Time until which a shard may wait for a leaf with free capacity.
    pub queue_until: Tick,
    /// A leaf has worked on this query, or may have.
    pub executed: bool,
    /// An error reply of a leaf, returned to the caller if no other leaf succeeds.
    pub last_failure: Option<Arc<LeafReply>>,
}

/// One planned shard of a query.
pub struct PlannedShard {
    pub index: usize,
    pub state: ShardState,
    pub attempts: u32,
    /// Leafs that have had an attempt for this shard. Each leaf gets at most one.
    pub attempted_leafs: Vec<String>,
    pub in_flight: Vec<u64>,
    /// When a hedge is due while an attempt is in flight.
    pub hedge_at: Tick,
    pub records: Vec<Record>,
    /// The accepted reply for this shard of a forwarded call.
    pub reply: Option<Arc<LeafReply>>,
    /// The first attempt of this shard has been counted in the retry budget.
    pub counted: bool,
}

/// State of a planned shard.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ShardState {
    /// Waits for a leaf with free capacity.
    Queued,
    /// At least one attempt is in flight.
    InFlight,
    /// A reply was accepted, after it passed the coverage check.
    Answered,
    /// No further attempt is made.
    Failed(RejectionReason),
}

impl Query {
    /// Returns the number of shards that wait for a leaf with free capacity.
    pub fn queued_shards(&self) -> usize {
        self.shards.iter().filter(|s| s.state == ShardState::Queued).count()
    }

    /// Returns the time at which this query must be advanced next.
    pub(super) fn next_due(&self) -> Tick {
        let mut at = self.deadline;
        if self.answered_shards() >= self.quorum_size() {
            at = at.min(self.quorum_suffices_from);
        }
        if self.queued_shards() > 0 {
            at = at.min(self.queue_until);
        }
        for s in &self.shards {
            if s.state == ShardState::InFlight && s.attempts < self.route.attempts {
                at = at.min(s.hedge_at);
            }
        }
        at
    }

    pub(super) fn quorum_size(&self) -> usize {
        self.route.required_shards(self.shards.len())
    }

    pub(super) fn answered_shards(&self) -> usize {
        self.shards.iter().filter(|s| s.state == ShardState::Answered).count()
    }
}

impl PlannedShard {
    /// Changes the state of this shard. All changes go through this function, which panics on
    /// an invalid transition.
    pub(super) fn transition(&mut self, to: ShardState) {
        use ShardState::*;
        let is_valid = matches!(
            (self.state, to),
            (Queued, InFlight)
                | (Queued, Failed(_))
                | (InFlight, Queued)
                | (InFlight, Answered)
                | (InFlight, Failed(_))
        );
        assert!(is_valid, "invalid shard transition from {:?} to {to:?}", self.state);
        self.state = to;
    }

    /// Handles the failure of an attempt. If no other attempt of this shard is in flight, the
    /// shard is queued for another leaf, or fails with `final_reason` if there is one.
    pub(super) fn attempt_failed(&mut self, final_reason: Option<RejectionReason>) {
        if !self.in_flight.is_empty() {
            return;
        }
        self.transition(ShardState::Queued);
        if let Some(reason) = final_reason {
            self.transition(ShardState::Failed(reason));
        }
    }

    pub(super) fn new(shard: usize) -> PlannedShard {
        PlannedShard {
            index: shard,
            state: ShardState::Queued,
            attempts: 0,
            attempted_leafs: Vec::new(),
            in_flight: Vec::new(),
            hedge_at: 0,
            records: Vec::new(),
            reply: None,
            counted: false,
        }
    }
}

impl Query {
    /// Returns whether a partial result of `have` shards may be returned before the deadline.
    pub fn is_worth_answering(&self, have: usize) -> bool {
        self.forwarded.is_none() || have * 100 >= self.shards.len() * consts::PARTIAL_RESULT_MIN_PCT
    }
}
