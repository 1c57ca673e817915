//! Inputs (events) and outputs (commands) of the query engine.

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

/// An input of the query engine.
pub enum Event {
    Search {
        call: u64,
        request: SearchRequest,
    },
    /// A call that is forwarded to leafs unchanged.
    Forward {
        call: u64,
        request: Arc<ForwardedRequest>,
    },
    /// An attempt ended, with a reply or a failure.
    AttemptEnded {
        attempt: u64,
        result: Result<LeafReply, AttemptFailure>,
    },
    /// The caller closed its connection or cancelled the call.
    CallerGone {
        call: u64,
    },
    ClusterView(Arc<ClusterView>),
    QuotaShare(QuotaShare),
    /// Traffic threads of all nodes that open connections to leafs.
    Peers(Vec<ConnectingThread>),
    /// The cluster-wide retry rate of forwarded calls.
    RetryRate(RetryRate),
    ServingState(ServingState),
    LeaseValidUntil(Tick),
    /// End of the lease granted by the controllers themselves. Requests go to versions under
    /// trial only while it is valid.
    TrialsUntil(Tick),
    /// The share of requests that may reach a version under trial.
    ExposureLimit(ExposureLimit),
    /// The time returned by `next_due` has been reached.
    Timer,
}

/// An output of the query engine, carried out by the caller.
pub enum Command {
    Send(OutgoingAttempt),
    /// Cancel an attempt; no `AttemptEnded` event may follow for it.
    CancelAttempt {
        attempt: u64,
    },
    Respond {
        call: u64,
        outcome: Outcome,
    },
    /// Publish a leaf's state to the cluster.
    ReportLeaf {
        service: String,
        report: LeafReport,
    },
    /// Publish the evidence that this thread has collected on a version under trial.
    ReportTrial(TrialEvidence),
}

/// An attempt to be sent.
pub struct OutgoingAttempt {
    pub attempt: u64,
    pub addr: String,
    pub leaf: String,
    pub service: String,
    pub id: String,
    pub body_digest: String,
    pub body: Arc<Vec<u8>>,
    pub timeout: Span,
    /// The forwarded request, sent instead of `body`.
    pub forwarded: Option<Arc<ForwardedRequest>>,
    /// The attempt may run at most once, so it must not be sent on a connection that may
    /// already be closed.
    pub at_most_once: bool,
    /// The connection may be kept for reuse.
    pub keep_connection: bool,
}
