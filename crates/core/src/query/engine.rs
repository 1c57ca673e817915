//! The state of one traffic thread: its queries, dispatches and leafs.

use std::sync::Arc;

use indexmap::IndexMap;
use serde_json::Value;

use crate::config::route::Route;
use crate::config::types::Class;
use crate::consts;
use crate::http_api::leaf::{Raw, Trouble};
use crate::protocol::message::LeafReport;
use crate::query::connection_subset::Peer;
use crate::query::forwarded_request::ForwardedRequest;
use crate::query::latency_estimate::LatencyEstimate;
use crate::query::leaf::Leaf;
use crate::query::quota::Share;
use crate::query::request::{Ask, Outcome, Reason, Record};
use crate::query::retry::LoadPressure;
use crate::query::retry_budget::Rule;
use crate::query::service_retry_budget::{Rate, ServiceRetryBudget};
use crate::random::Random;
use crate::snapshot::cluster_view::ClusterView;
use crate::time::{Span, Tick};

/// Which calls are taken.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Door {
    /// No view is held yet.
    Shut,
    Open,
    /// This node is cut off alone.
    CutOff,
    /// This process is going down; what is in hand is finished.
    Stopping,
}

/// The owner of one traffic thread's queries.
///
/// Invariants: every dispatch in `dispatches` belongs to a query in `queries`
/// and stands in exactly one slot's `outs`; a leaf's `live` equals the number
/// of dispatches to it.
pub struct QueryEngine {
    pub name: String,
    pub zone: String,
    pub door: Door,
    pub view: Arc<ClusterView>,
    /// Until when we may act on the view; later we neither take calls nor
    /// send dispatches.
    pub grip: Tick,
    pub share: Share,
    /// Our own stable number among the threads of all nodes.
    pub slot: u64,
    pub queries: IndexMap<u64, Query>,
    pub dispatches: IndexMap<u64, Dispatch>,
    pub leafs: IndexMap<String, Leaf>,
    pub rule: Rule,
    /// Second tries of calls that are handed over, by service.
    pub quota: ServiceRetryBudget,
    /// All nodes that open connections to leafs, in order.
    pub peers: Vec<Peer>,
    pub waits: LatencyEstimate,
    pub strain: LoadPressure,
    pub luck: Random,
    pub counts: Counts,
    pub next_query: u64,
    pub next_dispatch: u64,
}

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

/// One dispatch: tied to a query, a planned shard and a leaf.
pub struct Dispatch {
    pub query: u64,
    pub slot: usize,
    pub leaf: String,
    pub service: String,
    pub id: String,
    pub at: Tick,
    /// It belongs to a call that is handed over.
    pub handed: bool,
}

/// What happens to a desk.
pub enum Event {
    Ask {
        call: u64,
        ask: Ask,
    },
    /// A call that is handed over.
    Hand {
        call: u64,
        parcel: Arc<ForwardedRequest>,
    },
    /// A dispatch has ended.
    Reply {
        dispatch: u64,
        got: Result<Raw, Trouble>,
    },
    /// The caller went away.
    Gone {
        call: u64,
    },
    ClusterView(Arc<ClusterView>),
    Share(Share),
    /// All nodes that open connections to leafs.
    Peers(Vec<Peer>),
    /// The fleet's rule of second tries for calls that are handed over.
    Rate(Rate),
    Door(Door),
    Grip(Tick),
    /// Time has passed.
    Wake,
}

/// What a desk wants done.
pub enum Command {
    Send(Sending),
    /// Give up a dispatch; no reply event may follow.
    Drop {
        dispatch: u64,
    },
    Tell {
        call: u64,
        outcome: Outcome,
    },
    /// A leaf's word about itself that the fleet should hear.
    Word {
        service: String,
        word: LeafReport,
    },
}

/// A dispatch to be sent.
pub struct Sending {
    pub dispatch: u64,
    pub addr: String,
    pub leaf: String,
    pub service: String,
    pub id: String,
    pub digest: String,
    pub body: Arc<Vec<u8>>,
    pub budget: Span,
    /// What is handed over, instead of `body`.
    pub parcel: Option<Arc<ForwardedRequest>>,
    /// It may run once at most: it must not go out on a doubtful connection.
    pub once: bool,
    /// Its connection may be kept for later.
    pub keep: bool,
}

/// What is counted, for metrics and measurements.
#[derive(Clone, Default, Debug)]
pub struct Counts {
    pub full: u64,
    pub partial: u64,
    pub bounced: IndexMap<Reason, u64>,
    pub trouble: IndexMap<Trouble, u64>,
    pub firsts: u64,
    pub seconds: u64,
    /// Second tries that the fleet's rule did not allow.
    pub denied: u64,
    pub dropped: u64,
    /// Outcomes by time taken: upper bounds in ms, last one without bound.
    pub took: [u64; 12],
    /// Queries, dispatches out and shards waiting for room, now.
    pub queries: u64,
    pub out: u64,
    pub wanting: u64,
}

/// Upper bounds of `Counts::took` in milliseconds.
pub const TOOK_MS: [u64; 11] = [2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000];

/// A desk without a view. `name` must be unique to this life of the process.
pub fn desk(name: &str, zone: &str, seed: u64, now: Tick) -> QueryEngine {
    QueryEngine {
        name: name.to_string(),
        zone: zone.to_string(),
        door: Door::Shut,
        view: Arc::new(ClusterView::default()),
        grip: 0,
        share: Share::default(),
        slot: 0,
        queries: IndexMap::new(),
        dispatches: IndexMap::new(),
        leafs: IndexMap::new(),
        rule: crate::query::retry_budget::rule(now),
        quota: crate::query::service_retry_budget::quota(crate::query::service_retry_budget::own()),
        peers: Vec::new(),
        waits: LatencyEstimate::default(),
        strain: LoadPressure::default(),
        luck: crate::random::Random::new(seed),
        counts: Counts::default(),
        next_query: 0,
        next_dispatch: 0,
    }
}

/// The counts with the gauges of this moment.
pub fn counts(desk: &QueryEngine) -> Counts {
    let mut out = desk.counts.clone();
    out.queries = desk.queries.len() as u64;
    out.out = desk.dispatches.len() as u64;
    out.wanting = desk.queries.values().map(|q| wanting(q) as u64).sum();
    out
}

/// Slots of a query that want room.
pub fn wanting(q: &Query) -> usize {
    q.slots.iter().filter(|s| s.state == SlotState::Wanting).count()
}

/// Queries open to a class on one desk.
pub fn room_of(class: Class) -> usize {
    let pct = match class {
        Class::Ordinary => consts::ROOM_ORDINARY_PCT,
        Class::Lookup => consts::ROOM_LOOKUP_PCT,
        Class::Urgent => consts::ROOM_URGENT_PCT,
    };
    consts::QUERIES_LIVE * pct / 100
}

/// The body of a dispatch for a question under a mapping.
pub fn question(map: &Route, question: &Value, key: Option<&str>, limit: u32) -> Vec<u8> {
    crate::http_api::leaf::body(&map.name, &map.cut, question, key, limit)
}
