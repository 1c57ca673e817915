//! One query in work and the state of each of its planned shards.

use std::sync::Arc;

use super::forwarded_request::ForwardedRequest;
use super::request::{Record, RejectionReason};
use crate::config::route::Route;
use crate::consts;
use crate::http_api::leaf::LeafReply;
use crate::time::Tick;

/// One query in hand.
///
/// Invariants: `map` is pinned when the query begins and never replaced, so
/// all its shards are of one cut; `slots` are the planned shards, each once.
pub struct Query {
    pub call: u64,
    pub name: String,
    pub route: Arc<Route>,
    pub revision: u64,
    pub started_at: Tick,
    /// From here on a quorum is enough.
    pub quorum_suffices_from: Tick,
    /// Here the outcome must be told.
    pub deadline: Tick,
    pub record_limit: u32,
    pub body: Arc<Vec<u8>>,
    pub body_digest: String,
    pub shards: Vec<PlannedShard>,
    /// The call itself, if it is handed over.
    pub forwarded: Option<Arc<ForwardedRequest>>,
    /// Until when a shard may wait for a leaf with room.
    pub queue_until: Tick,
    /// A leaf has worked on this, or may have.
    pub executed: bool,
    /// A leaf's failure, to be given back if nothing better comes.
    pub last_failure: Option<Arc<LeafReply>>,
}

/// One planned shard of a query.
pub struct PlannedShard {
    pub index: usize,
    pub state: ShardState,
    pub attempts: u32,
    /// Leafs that had this shard's dispatch; none is asked twice.
    pub attempted_leafs: Vec<String>,
    pub in_flight: Vec<u64>,
    /// When a second try is due while a dispatch is out.
    pub hedge_at: Tick,
    pub records: Vec<Record>,
    /// The reply that stands for this shard, of a call that is handed over.
    pub reply: Option<Arc<LeafReply>>,
    /// The call was counted for its service.
    pub counted: bool,
}

/// Where a planned shard stands.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ShardState {
    /// Wants a leaf with room.
    Queued,
    /// At least one dispatch is out.
    InFlight,
    /// Truly served; the coverage check has passed.
    Answered,
    /// Given up.
    Failed(RejectionReason),
}

impl Query {
    /// Slots of a query that want room.
    pub fn queued_shards(&self) -> usize {
        self.shards.iter().filter(|s| s.state == ShardState::Queued).count()
    }

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
    /// The one function that changes a slot's state.
    pub(super) fn transition(&mut self, to: ShardState) {
        use ShardState::*;
        let fits = matches!(
            (self.state, to),
            (Queued, InFlight)
                | (Queued, Failed(_))
                | (InFlight, Queued)
                | (InFlight, Answered)
                | (InFlight, Failed(_))
        );
        assert!(fits, "no way from {:?} to {to:?}", self.state);
        self.state = to;
    }

    /// All dispatches of a shard may have ended without a result: it wants another
    /// leaf, or is given up for the reason `lost`.
    pub(super) fn attempt_failed(&mut self, lost: Option<RejectionReason>) {
        if !self.in_flight.is_empty() {
            return;
        }
        self.transition(ShardState::Queued);
        if let Some(why) = lost {
            self.transition(ShardState::Failed(why));
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
    /// Whether the shards that are in are worth more now than all of them later.
    pub fn is_worth_answering(&self, have: usize) -> bool {
        self.forwarded.is_none() || have * 100 >= self.shards.len() * consts::PARTIAL_RESULT_MIN_PCT
    }
}
