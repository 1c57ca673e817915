//! The state of a querier's control thread.

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::build::Built;
use crate::consts::DRAIN_NOTICE;
use crate::identifiers::{PartitionId, VoterSlot, partitions};
use crate::membership::attestation::Proofs;
use crate::membership::feed::Feed;
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
pub struct Watch {
    pub me: Member,
    pub began: Tick,
    pub held: BTreeMap<PartitionId, Held>,
    /// How far each seat last said it has accepted each part.
    pub reach: Vec<Vec<FeedPosition>>,
    /// The seats of the core; empty until a controller told us.
    pub table: VoterSet,
    pub stamp: u64,
    /// Whether our first view is known not to be an old one.
    pub sure: bool,
    pub built: Arc<Built>,
    pub built_revision: u64,
    pub view: Option<Arc<ClusterView>>,
    /// What we hold differs from `view`.
    pub stale: bool,
    /// When news of services is next made into a view; that of the
    /// configuration is at once.
    pub publish_at: Tick,
    pub membership: Membership,
    /// What follows from `membership`.
    pub ring: NeighbourRing,
    pub shared: Vec<(String, u32)>,
    pub peered: Vec<(String, u32, String)>,
    pub lease: Lease,
    pub peers: IndexMap<String, Peer>,
    /// What we can prove about the members while the core is silent.
    pub proofs: Proofs,
    /// The newest configuration revision that we know to be committed.
    pub knows: u64,
    /// Whether a view of ours ever held leafs for a quorum of each search, or
    /// of some for a while: a search without leafs must not hold up the rest.
    pub served: bool,
    pub serves_some: Option<Tick>,
    /// Since when others have the core's word and we lack it.
    pub passed_by: Option<Tick>,
    /// Until when the threads may act on their view.
    pub grip: Tick,
    pub door: ServingState,
    pub ready: bool,
    /// When we were told to stop.
    pub stopping: Option<Tick>,
    /// Time from then until the door is shut.
    pub notice: Span,
    /// Nothing is in hand any more; our lease may be given back.
    pub drained: bool,
    pub follow_at: Tick,
    pub feed: Feed,
    /// When we last asked our neighbours.
    pub gossiped: Tick,
    /// When we last polled the list.
    pub list_at: Tick,
    /// When we last heard of a leaf that is gone; zero before that.
    pub gone_at: Tick,
    /// The time of the event at hand.
    pub now: Tick,
    pub probe_at: Tick,
    /// When words that tell an age alone are next sent, all together.
    pub ages_at: Tick,
    /// What leafs said of themselves that the feed does not show yet. Until it
    /// does, our own view shows it: the core may be out of reach for long.
    pub words: BTreeMap<String, Heard>,
    /// Words or news came since `words` was last compared with the feed.
    pub unsorted: bool,
    /// Members whose renewals we handed over.
    pub handed: BTreeMap<String, Tick>,
    pub counts: Counts,
}

/// A part as we hold it.
#[derive(Default)]
pub struct Held {
    pub revision: u64,
    pub map: EntryMap,
}

/// A leaf's word that we heard, and when we last told the core and our
/// neighbours; zero before the first time.
pub struct Heard {
    pub service: String,
    pub word: LeafReport,
    pub sent: Tick,
    pub passed: Tick,
}

/// Our lease.
#[derive(Default)]
pub struct Lease {
    pub count: u64,
    /// When each renewal that is not yet granted was sent.
    pub sent: BTreeMap<u64, Tick>,
    /// Grants whose configuration we do not obey yet: revision, sent when.
    pub grants: Vec<(u64, Tick)>,
    /// When the newest granted renewal was sent, of those that count; zero
    /// before the first.
    pub held_from: Tick,
    pub granted: bool,
    /// The seat through which the last grant came.
    pub slot: Option<VoterSlot>,
    pub renew_at: Tick,
}

/// Another member, as it last spoke to us.
pub struct Peer {
    /// When we sent the question that it last answered: a process that was
    /// paused must not take old words in its buffers for fresh ones.
    pub at: Tick,
    /// Age of its word from the core when it spoke.
    pub core_age: Tick,
    pub places: Vec<FeedPosition>,
    pub ready: bool,
}

/// What is counted.
#[derive(Clone, Default, Debug)]
pub struct Counts {
    pub news: u64,
    pub news_from_members: u64,
    pub views: u64,
    pub list_polls: u64,
    pub list_troubles: u64,
    pub probes: u64,
    pub lapses: u64,
    pub handed_renewals: u64,
    pub words_from_members: u64,
}

/// What happens to a querier's control thread.
pub enum Event {
    FromSeat {
        slot: VoterSlot,
        message: Message,
    },
    FromMember {
        name: String,
        message: Message,
    },
    /// A controller tells the table of the seats.
    Seats(VoterSet),
    /// A leaf spoke of itself, to a thread or to a probe.
    Word {
        service: String,
        word: LeafReport,
    },
    /// A poll of the list has ended.
    List(Result<Vec<LeafInfo>, String>),
    Stop,
    /// The threads have nothing in hand any more.
    Drained,
    Wake,
}

/// What it wants done.
pub enum Command {
    ToSeat {
        slot: VoterSlot,
        message: Message,
    },
    ToMember {
        name: String,
        addr: String,
        message: Message,
    },
    /// To every controller that we know a way to.
    ToAll {
        message: Message,
    },
    /// The table of the seats changed: see to the connections.
    Seats,
    ClusterView(Arc<ClusterView>),
    /// The members whose threads share the fleet's limits, with theirs;
    /// empty while we have no share.
    Shares(Vec<(String, u32)>),
    /// All members that open connections to leafs: with their threads and zones.
    /// Unlike shares these are told before they are settled; a deal that is
    /// not everyone's for a moment costs a reset connection at most.
    Peers(Vec<(String, u32, String)>),
    Door(ServingState),
    /// Until when the threads may act on their view, if nothing else is said.
    Grip(Tick),
    Ready(bool),
    PollList,
    Probe(Vec<Arc<LeafInfo>>),
    Alarm(String),
}

/// A querier that knows nothing yet.
pub fn watch(me: Member, now: Tick) -> Watch {
    Watch {
        me,
        began: now,
        held: partitions().map(|p| (p, Held::default())).collect(),
        reach: Vec::new(),
        table: VoterSet::default(),
        stamp: stamp(&VoterSet::default()),
        sure: false,
        built: Arc::new(Built::default()),
        built_revision: 0,
        view: None,
        stale: false,
        publish_at: now,
        membership: Membership::default(),
        ring: NeighbourRing::default(),
        shared: Vec::new(),
        peered: Vec::new(),
        lease: Lease::default(),
        peers: IndexMap::new(),
        proofs: Proofs::default(),
        knows: 0,
        served: false,
        serves_some: None,
        passed_by: None,
        grip: 0,
        door: ServingState::NoSnapshot,
        ready: false,
        stopping: None,
        notice: DRAIN_NOTICE,
        drained: false,
        follow_at: now,
        feed: Feed::default(),
        gossiped: 0,
        list_at: 0,
        gone_at: 0,
        now,
        probe_at: now,
        ages_at: now,
        words: BTreeMap::new(),
        unsorted: false,
        handed: BTreeMap::new(),
        counts: Counts::default(),
    }
}

/// Takes in a table of the seats. Where an operator moves a seat by telling
/// all processes its new address, the last word stands.
pub fn learn(w: &mut Watch, theirs: &VoterSet, out: &mut Vec<Command>) {
    let mut new = merge(&w.table, theirs).unwrap_or_else(|| w.table.clone());
    for (a, b) in new.slots.iter_mut().zip(&theirs.slots) {
        if ballot(a) == ballot(b) {
            *a = b.clone();
        }
    }
    if new == w.table {
        return;
    }
    w.reach.resize(new.slots.len(), Vec::new());
    for (i, h) in new.slots.iter().enumerate() {
        if w.table.slots.get(i).map(ballot) != Some(ballot(h)) {
            w.reach[i].clear();
            w.feed.at.remove(&(i as VoterSlot));
            w.lease.slot = w.lease.slot.filter(|s| usize::from(*s) != i);
        }
    }
    w.table = new;
    w.stamp = stamp(&w.table);
    (w.follow_at, w.feed.others_at) = (0, 0);
    out.push(Command::Seats);
}

/// Every seat that somebody holds.
pub fn slots(w: &Watch) -> Vec<VoterSlot> {
    let list = w.table.slots.iter().enumerate().filter(|(_, h)| h.holder != 0);
    list.map(|(i, _)| i as VoterSlot).collect()
}

/// Where we stand in every part.
pub fn places(w: &Watch) -> Vec<FeedPosition> {
    w.held
        .iter()
        .map(|(partition, h)| FeedPosition { partition: *partition, revision: h.revision })
        .collect()
}
