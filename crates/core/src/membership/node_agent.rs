//! The state of a querier's control thread.

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::build::Built;
use crate::consts::DRAIN_NOTICE;
use crate::identifiers::{PartitionId, VoterSlot, partitions};
use crate::membership::attestation::Proofs;
use crate::membership::feed::FeedSources;
use crate::membership::neighbour_ring::NeighbourRing;
use crate::protocol::message::{EntryMap, FeedPosition, LeafReport, Member, Membership, Message};
use crate::query::engine::ServingState;
use crate::snapshot::cluster_view::ClusterView;
use crate::snapshot::leafs::LeafInfo;
use crate::time::{Span, Tick};
use crate::voter_set::{VoterSet, ballot, merge, stamp};

/// The owner of what a querier knows.
///
/// Invariants: a part's revision in `held` only rises; `built` was made from
/// the configuration at `built_revision`; a view is given out only after `sure`.
pub struct NodeAgent {
    pub member: Member,
    pub started_at: Tick,
    pub partitions: BTreeMap<PartitionId, PartitionState>,
    /// How far each seat last said it has accepted each part.
    pub voter_positions: Vec<Vec<FeedPosition>>,
    /// The seats of the core; empty until a controller told us.
    pub voter_set: VoterSet,
    pub voter_set_stamp: u64,
    /// Whether our first view is known not to be an old one.
    pub is_caught_up: bool,
    pub configuration: Arc<Built>,
    pub configuration_revision: u64,
    pub view: Option<Arc<ClusterView>>,
    /// What we hold differs from `view`.
    pub view_is_stale: bool,
    /// When news of services is next made into a view; that of the
    /// configuration is at once.
    pub publish_at: Tick,
    pub membership: Membership,
    /// What follows from `membership`.
    pub ring: NeighbourRing,
    pub quota_members: Vec<(String, u32)>,
    pub leaf_clients: Vec<(String, u32, String)>,
    pub lease: Lease,
    pub peers: IndexMap<String, Peer>,
    /// What we can prove about the members while the core is silent.
    pub proofs: Proofs,
    /// The newest configuration revision that we know to be committed.
    pub known_revision: u64,
    /// Whether a view of ours ever held leafs for a quorum of each search, or
    /// of some for a while: a search without leafs must not hold up the rest.
    pub has_served: bool,
    pub serving_some_since: Option<Tick>,
    /// Since when others have the core's word and we lack it.
    pub bypassed_since: Option<Tick>,
    /// Until when the threads may act on their view.
    pub serving_until: Tick,
    pub admission: ServingState,
    pub ready: bool,
    /// When we were told to stop.
    pub stopping_since: Option<Tick>,
    /// Time from then until the door is shut.
    pub drain_notice: Span,
    /// Nothing is in hand any more; our lease may be given back.
    pub is_drained: bool,
    pub subscribe_at: Tick,
    pub feed: FeedSources,
    /// When we last asked our neighbours.
    pub gossiped_at: Tick,
    /// When we last polled the list.
    pub list_polled_at: Tick,
    /// When we last heard of a leaf that is gone; zero before that.
    pub leaf_gone_at: Tick,
    /// The time of the event at hand.
    pub now: Tick,
    pub probe_at: Tick,
    /// When words that tell an age alone are next sent, all together.
    pub ages_at: Tick,
    /// What leafs said of themselves that the feed does not show yet. Until it
    /// does, our own view shows it: the core may be out of reach for long.
    pub leaf_reports: BTreeMap<String, PendingLeafReport>,
    /// Words or news came since `words` was last compared with the feed.
    pub reports_unchecked: bool,
    /// Members whose renewals we handed over.
    pub forwarded_renewals: BTreeMap<String, Tick>,
    pub counters: Counters,
}

/// A part as we hold it.
#[derive(Default)]
pub struct PartitionState {
    pub revision: u64,
    pub entries: EntryMap,
}

/// A leaf's word that we heard, and when we last told the core and our
/// neighbours; zero before the first time.
pub struct PendingLeafReport {
    pub service: String,
    pub report: LeafReport,
    pub sent_at: Tick,
    pub passed_on_at: Tick,
}

/// Our lease.
#[derive(Default)]
pub struct Lease {
    pub last_number: u64,
    /// When each renewal that is not yet granted was sent.
    pub unanswered: BTreeMap<u64, Tick>,
    /// Grants whose configuration we do not obey yet: revision, sent when.
    pub pending_grants: Vec<(u64, Tick)>,
    /// When the newest granted renewal was sent, of those that count; zero
    /// before the first.
    pub renewed_at: Tick,
    pub granted: bool,
    /// The seat through which the last grant came.
    pub slot: Option<VoterSlot>,
    pub renew_at: Tick,
}

/// Another member, as it last spoke to us.
pub struct Peer {
    /// When we sent the question that it last answered: a process that was
    /// paused must not take old words in its buffers for fresh ones.
    pub asked_at: Tick,
    /// Age of its word from the core when it spoke.
    pub core_age: Tick,
    pub positions: Vec<FeedPosition>,
    pub ready: bool,
}

/// What is counted.
#[derive(Clone, Default, Debug)]
pub struct Counters {
    pub updates: u64,
    pub updates_from_members: u64,
    pub views: u64,
    pub list_polls: u64,
    pub list_failures: u64,
    pub probes: u64,
    pub lease_lapses: u64,
    pub forwarded_renewals: u64,
    pub leaf_reports_from_members: u64,
}

/// What happens to a querier's control thread.
pub enum Event {
    FromVoter {
        slot: VoterSlot,
        message: Message,
    },
    FromMember {
        name: String,
        message: Message,
    },
    /// A controller tells the table of the seats.
    VoterSet(VoterSet),
    /// A leaf spoke of itself, to a thread or to a probe.
    LeafReport {
        service: String,
        report: LeafReport,
    },
    /// A poll of the list has ended.
    LeafList(Result<Vec<LeafInfo>, String>),
    Stop,
    /// The threads have nothing in hand any more.
    Drained,
    Wake,
}

/// What it wants done.
pub enum Command {
    ToVoter {
        slot: VoterSlot,
        message: Message,
    },
    ToMember {
        name: String,
        addr: String,
        message: Message,
    },
    /// To every controller that we know a way to.
    Broadcast {
        message: Message,
    },
    /// The table of the seats changed: see to the connections.
    VoterSetChanged,
    ClusterView(Arc<ClusterView>),
    /// The members whose threads share the fleet's limits, with theirs;
    /// empty while we have no share.
    QuotaMembers(Vec<(String, u32)>),
    /// All members that open connections to leafs: with their threads and zones.
    /// Unlike shares these are told before they are settled; a deal that is
    /// not everyone's for a moment costs a reset connection at most.
    LeafClients(Vec<(String, u32, String)>),
    Admission(ServingState),
    /// Until when the threads may act on their view, if nothing else is said.
    ServingUntil(Tick),
    Ready(bool),
    PollLeafList,
    ProbeLeafs(Vec<Arc<LeafInfo>>),
    Alarm(String),
}

/// A querier that knows nothing yet.
pub fn watch(me: Member, now: Tick) -> NodeAgent {
    NodeAgent {
        member: me,
        started_at: now,
        partitions: partitions().map(|p| (p, PartitionState::default())).collect(),
        voter_positions: Vec::new(),
        voter_set: VoterSet::default(),
        voter_set_stamp: stamp(&VoterSet::default()),
        is_caught_up: false,
        configuration: Arc::new(Built::default()),
        configuration_revision: 0,
        view: None,
        view_is_stale: false,
        publish_at: now,
        membership: Membership::default(),
        ring: NeighbourRing::default(),
        quota_members: Vec::new(),
        leaf_clients: Vec::new(),
        lease: Lease::default(),
        peers: IndexMap::new(),
        proofs: Proofs::default(),
        known_revision: 0,
        has_served: false,
        serving_some_since: None,
        bypassed_since: None,
        serving_until: 0,
        admission: ServingState::NoSnapshot,
        ready: false,
        stopping_since: None,
        drain_notice: DRAIN_NOTICE,
        is_drained: false,
        subscribe_at: now,
        feed: FeedSources::default(),
        gossiped_at: 0,
        list_polled_at: 0,
        leaf_gone_at: 0,
        now,
        probe_at: now,
        ages_at: now,
        leaf_reports: BTreeMap::new(),
        reports_unchecked: false,
        forwarded_renewals: BTreeMap::new(),
        counters: Counters::default(),
    }
}

/// Takes in a table of the seats. Where an operator moves a seat by telling
/// all processes its new address, the last word stands.
pub fn learn(w: &mut NodeAgent, theirs: &VoterSet, out: &mut Vec<Command>) {
    let mut new = merge(&w.voter_set, theirs).unwrap_or_else(|| w.voter_set.clone());
    for (a, b) in new.slots.iter_mut().zip(&theirs.slots) {
        if ballot(a) == ballot(b) {
            *a = b.clone();
        }
    }
    if new == w.voter_set {
        return;
    }
    w.voter_positions.resize(new.slots.len(), Vec::new());
    for (i, h) in new.slots.iter().enumerate() {
        if w.voter_set.slots.get(i).map(ballot) != Some(ballot(h)) {
            w.voter_positions[i].clear();
            w.feed.answered_at.remove(&(i as VoterSlot));
            w.lease.slot = w.lease.slot.filter(|s| usize::from(*s) != i);
        }
    }
    w.voter_set = new;
    w.voter_set_stamp = stamp(&w.voter_set);
    (w.subscribe_at, w.feed.ask_others_at) = (0, 0);
    out.push(Command::VoterSetChanged);
}

/// Every seat that somebody holds.
pub fn slots(w: &NodeAgent) -> Vec<VoterSlot> {
    let list = w.voter_set.slots.iter().enumerate().filter(|(_, h)| h.holder != 0);
    list.map(|(i, _)| i as VoterSlot).collect()
}

/// Where we stand in every part.
pub fn places(w: &NodeAgent) -> Vec<FeedPosition> {
    w.partitions
        .iter()
        .map(|(partition, h)| FeedPosition { partition: *partition, revision: h.revision })
        .collect()
}
