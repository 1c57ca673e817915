//! Messages between the querier's threads.
//!
//! The channels between the threads are unbounded. Their load is bounded at the source:
//! calls by each listener's limit of open calls, attempts by the query engine. All other
//! messages are a few for each configuration change.

use std::sync::Arc;

use grebepath_core::protocol::message::LeafReport;
use grebepath_core::query::event::Event;
use grebepath_core::query::forwarded_request::ForwardedRequest;
use grebepath_core::query::request::{Outcome, SearchRequest};
use grebepath_core::query::statistics::EngineStatistics;
use grebepath_core::rollout::evidence::TrialEvidence;
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_core::snapshot::leafs::LeafInfo;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

use crate::leaf_list::LeafListError;
use crate::metrics::MembershipMetrics;

/// An input of the membership thread.
pub enum MembershipInput {
    /// A leaf reported its state.
    LeafReport {
        /// The service that the leaf belongs to.
        service: String,
        /// The report.
        report: LeafReport,
    },
    /// A traffic thread has new evidence about a version on trial.
    TrialEvidence {
        /// The thread's stable number in the membership.
        thread: u64,
        /// The evidence.
        evidence: TrialEvidence,
    },
    /// A poll of the leaf list has ended.
    LeafList {
        /// The list, or the reason why the poll failed.
        leafs: Result<Vec<LeafInfo>, LeafListError>,
        /// Number of pages of the list; zero if the poll failed.
        pages: u64,
    },
    /// The thread's metrics are requested.
    Metrics(oneshot::Sender<MembershipMetrics>),
    /// A traffic thread that drains has no call in flight any more.
    Drained,
}

/// An input of a traffic thread.
pub enum TrafficInput {
    /// An event for the query engine.
    Event(Event),
    /// A caller's request.
    Call {
        /// The call's number, unique in the process.
        call: u64,
        /// The request.
        request: CallerRequest,
        /// Receives the outcome.
        reply: oneshot::Sender<Outcome>,
    },
    /// The thread's metrics are requested.
    Metrics(oneshot::Sender<EngineStatistics>),
    /// This node will stop soon: callers are asked to use another node.
    ShutdownNotice,
    /// The thread is to finish its calls in flight and send [`MembershipInput::Drained`].
    Drain,
}

/// A caller's request.
pub enum CallerRequest {
    /// A search by grebepath's own API.
    Search(SearchRequest),
    /// A request that is forwarded unchanged.
    Forward(Arc<ForwardedRequest>),
}

/// Channels to all threads of the process, for the listeners.
#[derive(Clone)]
pub struct ThreadChannels {
    /// Channels to the traffic threads.
    pub traffic: Vec<UnboundedSender<TrafficInput>>,
    /// The channel to the membership thread.
    pub membership: UnboundedSender<MembershipInput>,
    /// Whether this node is ready to serve.
    pub ready: watch::Receiver<bool>,
    /// The configuration and the leafs, from which the class of a search is read.
    pub view: watch::Receiver<Arc<ClusterView>>,
}
