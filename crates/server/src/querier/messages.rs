//! What the querier's threads send to each other.
//!
//! The channels between them have no bound of their own. What they carry is bounded
//! where it comes from: calls by each listener's count of calls, attempts by the query
//! engine, and the rest are a few messages for each change of configuration.

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

/// What reaches the membership thread.
pub enum MembershipInput {
    /// What a leaf says of itself.
    LeafReport {
        /// The service that the leaf belongs to.
        service: String,
        /// What it says.
        report: LeafReport,
    },
    /// What a traffic thread has seen of a version that is tried.
    TrialEvidence {
        /// The thread's stable number.
        thread: u64,
        /// What it has seen.
        evidence: TrialEvidence,
    },
    /// A poll of the leaf list has ended.
    LeafList {
        /// The list, or why there is none.
        leafs: Result<Vec<LeafInfo>, LeafListError>,
        /// Pages that it had; zero if it could not be read.
        pages: u64,
    },
    /// Takes the thread's metrics.
    Metrics(oneshot::Sender<MembershipMetrics>),
    /// A traffic thread has no call in flight any more.
    Drained,
}

/// What reaches a traffic thread.
pub enum TrafficInput {
    /// An event for the query engine.
    Event(Event),
    /// A caller's request.
    Call {
        /// Its number, unique in the process.
        call: u64,
        /// What the caller wants.
        request: CallerRequest,
        /// Takes the outcome.
        reply: oneshot::Sender<Outcome>,
    },
    /// Takes the thread's metrics.
    Metrics(oneshot::Sender<EngineStatistics>),
    /// This node will leave soon: callers are asked to go elsewhere.
    Leaving,
    /// Finish what is in flight and say so.
    Drain,
}

/// What a caller wants.
pub enum CallerRequest {
    /// An answer to a question by our own interface.
    Search(SearchRequest),
    /// A request that is forwarded as it is.
    Forward(Arc<ForwardedRequest>),
}

/// All threads of the process, as a listener sees them.
#[derive(Clone)]
pub struct Threads {
    /// The traffic threads.
    pub traffic: Vec<UnboundedSender<TrafficInput>>,
    /// The membership thread.
    pub membership: UnboundedSender<MembershipInput>,
    /// Whether this node is ready.
    pub ready: watch::Receiver<bool>,
    /// The configuration and the leafs, for the classes of the searches.
    pub view: watch::Receiver<Arc<ClusterView>>,
}
