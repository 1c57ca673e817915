//! What happens to the query engine, and what it wants done.

use std::sync::Arc;

use super::connection_subset::Peer;
use super::engine::Door;
use super::forwarded_request::ForwardedRequest;
use super::quota::Share;
use super::request::{Ask, Outcome};
use super::service_retry_budget::Rate;
use crate::http_api::leaf::{Raw, Trouble};
use crate::protocol::message::LeafReport;
use crate::snapshot::cluster_view::ClusterView;
use crate::time::{Span, Tick};

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
