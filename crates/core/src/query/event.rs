//! What happens to the query engine, and what it wants done.

use std::sync::Arc;

use super::connection_subset::ConnectingThread;
use super::engine::ServingState;
use super::forwarded_request::ForwardedRequest;
use super::quota::QuotaShare;
use super::request::{Outcome, SearchRequest};
use super::service_retry_budget::RetryRate;
use crate::http_api::leaf::{AttemptFailure, LeafReply};
use crate::protocol::message::LeafReport;
use crate::rollout::evidence::TrialEvidence;
use crate::rollout::trial::ExposureLimit;
use crate::snapshot::cluster_view::ClusterView;
use crate::time::{Span, Tick};

/// What happens to a desk.
pub enum Event {
    Search {
        call: u64,
        request: SearchRequest,
    },
    /// A call that is handed over.
    Forward {
        call: u64,
        request: Arc<ForwardedRequest>,
    },
    /// A dispatch has ended.
    AttemptEnded {
        attempt: u64,
        result: Result<LeafReply, AttemptFailure>,
    },
    /// The caller went away.
    CallerGone {
        call: u64,
    },
    ClusterView(Arc<ClusterView>),
    QuotaShare(QuotaShare),
    /// All nodes that open connections to leafs.
    Peers(Vec<ConnectingThread>),
    /// The fleet's rule of second tries for calls that are handed over.
    RetryRate(RetryRate),
    ServingState(ServingState),
    LeaseValidUntil(Tick),
    /// Until when our lease by the controllers themselves is valid: only then versions may be
    /// tried.
    TrialsUntil(Tick),
    /// How much may reach a version that is tried.
    ExposureLimit(ExposureLimit),
    /// Time has passed.
    Timer,
}

/// What a desk wants done.
pub enum Command {
    Send(OutgoingAttempt),
    /// Give up a dispatch; no reply event may follow.
    CancelAttempt {
        attempt: u64,
    },
    Respond {
        call: u64,
        outcome: Outcome,
    },
    /// A leaf's word about itself that the fleet should hear.
    ReportLeaf {
        service: String,
        report: LeafReport,
    },
    /// What this thread has seen of a version that is tried.
    ReportTrial(TrialEvidence),
}

/// A dispatch to be sent.
pub struct OutgoingAttempt {
    pub attempt: u64,
    pub addr: String,
    pub leaf: String,
    pub service: String,
    pub id: String,
    pub body_digest: String,
    pub body: Arc<Vec<u8>>,
    pub timeout: Span,
    /// What is handed over, instead of `body`.
    pub forwarded: Option<Arc<ForwardedRequest>>,
    /// It may run once at most: it must not go out on a doubtful connection.
    pub at_most_once: bool,
    /// Its connection may be kept for later.
    pub keep_connection: bool,
}
