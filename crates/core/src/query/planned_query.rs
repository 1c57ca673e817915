//! One query in work and the state of each of its planned shards.

use std::sync::Arc;

use super::forwarded_request::ForwardedRequest;
use super::request::{Reason, Record};
use crate::config::route::Route;
use crate::consts;
use crate::http_api::leaf::Raw;
use crate::time::Tick;

/// One query in hand.
///
/// Invariants: `map` is pinned when the query begins and never replaced, so
/// all its shards are of one cut; `slots` are the planned shards, each once.
pub struct Query {
    pub call: u64,
    pub name: String,
    pub map: Arc<Route>,
    pub revision: u64,
    pub start: Tick,
    /// From here on a quorum is enough.
    pub stop_at: Tick,
    /// Here the outcome must be told.
    pub end: Tick,
    pub limit: u32,
    pub body: Arc<Vec<u8>>,
    pub digest: String,
    pub slots: Vec<Slot>,
    /// The call itself, if it is handed over.
    pub parcel: Option<Arc<ForwardedRequest>>,
    /// Until when a shard may wait for a leaf with room.
    pub hold: Tick,
    /// A leaf has worked on this, or may have.
    pub ran: bool,
    /// A leaf's failure, to be given back if nothing better comes.
    pub last: Option<Arc<Raw>>,
}

/// One planned shard of a query.
pub struct Slot {
    pub shard: usize,
    pub state: SlotState,
    pub tries: u32,
    /// Leafs that had this shard's dispatch; none is asked twice.
    pub tried: Vec<String>,
    pub outs: Vec<u64>,
    /// When a second try is due while a dispatch is out.
    pub next_at: Tick,
    pub records: Vec<Record>,
    /// The reply that stands for this shard, of a call that is handed over.
    pub part: Option<Arc<Raw>>,
    /// The call was counted for its service.
    pub counted: bool,
}

/// Where a planned shard stands.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum SlotState {
    /// Wants a leaf with room.
    Wanting,
    /// At least one dispatch is out.
    Out,
    /// Truly served; the coverage check has passed.
    In,
    /// Given up.
    Lost(Reason),
}

/// Slots of a query that want room.
pub fn wanting(q: &Query) -> usize {
    q.slots.iter().filter(|s| s.state == SlotState::Wanting).count()
}

pub(super) fn due(q: &Query) -> Tick {
    let mut at = q.end;
    if count_in(q) >= need(q) {
        at = at.min(q.stop_at);
    }
    if wanting(q) > 0 {
        at = at.min(q.hold);
    }
    for s in &q.slots {
        if s.state == SlotState::Out && s.tries < q.map.attempts {
            at = at.min(s.next_at);
        }
    }
    at
}

pub(super) fn need(q: &Query) -> usize {
    q.map.required_shards(q.slots.len())
}

pub(super) fn count_in(q: &Query) -> usize {
    q.slots.iter().filter(|s| s.state == SlotState::In).count()
}

/// The one function that changes a slot's state.
pub(super) fn shift(slot: &mut Slot, to: SlotState) {
    use SlotState::*;
    let fits = matches!(
        (slot.state, to),
        (Wanting, Out) | (Wanting, Lost(_)) | (Out, Wanting) | (Out, In) | (Out, Lost(_))
    );
    assert!(fits, "no way from {:?} to {to:?}", slot.state);
    slot.state = to;
}

/// All dispatches of a shard may have ended without a result: it wants another
/// leaf, or is given up for the reason `lost`.
pub(super) fn failed(slot: &mut Slot, lost: Option<Reason>) {
    if !slot.outs.is_empty() {
        return;
    }
    shift(slot, SlotState::Wanting);
    if let Some(why) = lost {
        shift(slot, SlotState::Lost(why));
    }
}

pub(super) fn slot(shard: usize) -> Slot {
    Slot {
        shard,
        state: SlotState::Wanting,
        tries: 0,
        tried: Vec::new(),
        outs: Vec::new(),
        next_at: 0,
        records: Vec::new(),
        part: None,
        counted: false,
    }
}

/// Whether the shards that are in are worth more now than all of them later.
pub fn enough(q: &Query, have: usize) -> bool {
    q.parcel.is_none() || have * 100 >= q.slots.len() * consts::STOP_SHARE_PCT
}
