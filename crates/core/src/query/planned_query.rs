//! One query in work and the state of each of its planned shards.

use std::sync::Arc;

use super::forwarded_request::ForwardedRequest;
use super::request::{Record, RejectionReason};
use crate::config::build::{Route, needed};
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

/// Slots of a query that want room.
pub fn wanting(q: &Query) -> usize {
    q.shards.iter().filter(|s| s.state == ShardState::Queued).count()
}

pub(super) fn due(q: &Query) -> Tick {
    let mut at = q.deadline;
    if count_in(q) >= need(q) {
        at = at.min(q.quorum_suffices_from);
    }
    if wanting(q) > 0 {
        at = at.min(q.queue_until);
    }
    for s in &q.shards {
        if s.state == ShardState::InFlight && s.attempts < q.route.attempts {
            at = at.min(s.hedge_at);
        }
    }
    at
}

pub(super) fn need(q: &Query) -> usize {
    needed(q.route.quorum, q.shards.len())
}

pub(super) fn count_in(q: &Query) -> usize {
    q.shards.iter().filter(|s| s.state == ShardState::Answered).count()
}

/// The one function that changes a slot's state.
pub(super) fn shift(slot: &mut PlannedShard, to: ShardState) {
    use ShardState::*;
    let fits = matches!(
        (slot.state, to),
        (Queued, InFlight)
            | (Queued, Failed(_))
            | (InFlight, Queued)
            | (InFlight, Answered)
            | (InFlight, Failed(_))
    );
    assert!(fits, "no way from {:?} to {to:?}", slot.state);
    slot.state = to;
}

/// All dispatches of a shard may have ended without a result: it wants another
/// leaf, or is given up for the reason `lost`.
pub(super) fn failed(slot: &mut PlannedShard, lost: Option<RejectionReason>) {
    if !slot.in_flight.is_empty() {
        return;
    }
    shift(slot, ShardState::Queued);
    if let Some(why) = lost {
        shift(slot, ShardState::Failed(why));
    }
}

pub(super) fn slot(shard: usize) -> PlannedShard {
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

/// Whether the shards that are in are worth more now than all of them later.
pub fn enough(q: &Query, have: usize) -> bool {
    q.forwarded.is_none() || have * 100 >= q.shards.len() * consts::STOP_SHARE_PCT
}
