//! The state of a querier's node agent, its events and its commands.

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::config::route::RoutingTable;
use crate::identifiers::{PartitionId, VoterSlot, partitions};
use crate::membership::assignments::SubstituteListRank;
use crate::membership::feed_sources::FeedSources;
use crate::membership::lease::Lease;
use crate::membership::neighbour_ring::NeighbourRing;
use crate::membership::peer::Peer;
use crate::membership::pending_report::PendingLeafReport;
use crate::membership::proofs::Proofs;
use crate::membership::rollout_votes::RolloutVotes;
use crate::protocol::membership::{Member, Membership};
use crate::protocol::message::{FeedPosition, LeafReport, Message};
use crate::protocol::replica::EntryMap;
use crate::query::engine::ServingState;
use crate::rollout::evidence::TrialEvidence;
use crate::rollout::record::Rollout;
use crate::snapshot::cluster_view::ClusterView;
use crate::snapshot::leafs::LeafInfo;
use crate::time::{Span, Tick, ms};
use crate::voter_set::{VoterSet, ballot, merge, stamp};

/// Time that a stopping querier leaves between "not ready" and rejecting new calls,
/// unless it is told otherwise: the platform checks readiness each second.
const DRAIN_NOTICE: Span = ms(1_500);

/// What a querier knows of the cluster, and what it has told its traffic threads.
///
/// Invariants: a partition's revision in `partitions` only rises; `configuration`
/// was built from the entries at `configuration_revision`; a view is published only
/// after `is_caught_up`.
pub struct NodeAgent {
    /// This querier, as the controllers and the other members are told.
    pub member: Member,
    /// When this process started.
    pub started_at: Tick,
    /// Every partition as this querier holds it.
    pub partitions: BTreeMap<PartitionId, PartitionState>,
    /// How far each voter slot last said it has accepted each partition.
    pub voter_positions: Vec<Vec<FeedPosition>>,
    /// The voter slots and their replicas; empty until a controller told us.
    pub voter_set: VoterSet,
    /// Stamp of `voter_set`.
    pub voter_set_stamp: u64,
    /// Whether the first view is known not to be an old one.
    pub is_caught_up: bool,
    /// The configuration that is obeyed.
    pub configuration: Arc<RoutingTable>,
    /// What our threads have seen of versions that are tried.
    pub rollout_votes: RolloutVotes,
    /// Revision of the first configuration that was obeyed; zero before.
    pub first_revision: u64,
    /// Until when our threads may try versions.
    pub trials_until: Tick,
    /// Leafs of versions that are not in force (count).
    pub withheld_leafs: usize,
    /// The newest rollout of each service, by the configuration that is obeyed.
    pub rollouts: Vec<Rollout>,
    /// Revision of `configuration`; zero before the first.
    pub configuration_revision: u64,
    /// The view that the traffic threads were last given.
    pub view: Option<Arc<ClusterView>>,
    /// Whether what is held differs from `view`.
    pub view_is_stale: bool,
    /// When updates of endpoints are next made into a view; a new configuration is
    /// published at once.
    pub next_publish_at: Tick,
    /// The newest membership that we were told.
    pub membership: Membership,
    /// What follows from `membership`.
    pub ring: NeighbourRing,
    /// Among whom the cluster's quotas are divided, as last commanded.
    pub quota_members: Vec<QuotaMember>,
    /// Who opens connections to leafs, as last commanded.
    pub leaf_clients: Vec<LeafClient>,
    /// Our lease.
    pub lease: Lease,
    /// Other members, by name, as they last answered.
    pub peers: IndexMap<String, Peer>,
    /// What we can prove about the members while the controllers are silent.
    pub proofs: Proofs,
    /// The newest configuration revision that we know to be committed.
    pub known_revision: u64,
    /// Whether a view of ours ever held leafs for a quorum of each search, or of
    /// some for a while: a search without leafs must not hold up the rest.
    pub has_served: bool,
    /// Since when a view of ours holds leafs for a quorum of some search.
    pub partially_serving_since: Option<Tick>,
    /// Since when others hear from the controllers and we don't.
    pub individually_isolated_since: Option<Tick>,
    /// Until when the traffic threads may act on their view, as last commanded.
    pub serving_until: Tick,
    /// Which calls are taken, as last commanded.
    pub admission: ServingState,
    /// Whether this querier is ready, as last commanded.
    pub ready: bool,
    /// When the process was asked to stop.
    pub stopping_since: Option<Tick>,
    /// Time from then until new calls are rejected.
    pub drain_notice: Span,
    /// No call is in flight any more; the lease may be given back.
    pub is_drained: bool,
    /// When the voters are next asked for updates.
    pub subscribe_at: Tick,
    /// Which voters send us updates.
    pub feed: FeedSources,
    /// When we last asked our neighbours.
    pub last_gossip_at: Tick,
    /// The last word that we poll the list in place of silent members.
    pub substitute_list_rank: Option<SubstituteListRank>,
    /// When we last polled the platform's list of leafs.
    pub last_list_poll_at: Tick,
    /// When we last heard of a leaf that is gone; zero before that.
    pub last_leaf_gone_at: Tick,
    /// When the leafs assigned to us are next health-checked.
    pub probe_at: Tick,
    /// When reports that say an age alone are next sent, all together.
    pub age_reports_at: Tick,
    /// Reports of leafs, by leaf, that the update stream does not show yet. Until
    /// it does, our own view shows them: the controllers may be out of reach for
    /// long.
    pub leaf_reports: BTreeMap<String, PendingLeafReport>,
    /// Reports or updates came since `leaf_reports` was last compared with the
    /// partitions.
    pub reports_need_check: bool,
    /// Members whose renewals we forwarded, with the time of the last one.
    pub forwarded_renewals: BTreeMap<String, Tick>,
    /// What is counted for the metrics.
    pub counters: Counters,
}

/// A partition as a querier holds it.
#[derive(Default)]
pub struct PartitionState {
    /// Revision of `entries`; zero before the first update.
    pub revision: u64,
    /// The committed entries.
    pub entries: EntryMap,
}

/// A member among whom the cluster's quotas are divided.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuotaMember {
    /// The member's name.
    pub name: String,
    /// Its traffic threads (count), each of which has its own share.
    pub threads: u32,
}

/// A member that opens connections to leafs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafClient {
    /// The member's name.
    pub name: String,
    /// Its traffic threads (count).
    pub threads: u32,
    /// Its zone.
    pub zone: String,
}

/// Counters of a node agent since its start (counts).
#[derive(Clone, Default, Debug)]
pub struct Counters {
    /// Updates of partitions that were applied.
    pub updates: u64,
    /// Those of them that came from members.
    pub updates_from_members: u64,
    /// Views that were published.
    pub views: u64,
    /// Polls of the platform's list.
    pub list_polls: u64,
    /// Those of them that were made in place of silent members.
    pub substitute_list_polls: u64,
    /// Polls that failed.
    pub list_failures: u64,
    /// Health checks that were started.
    pub probes: u64,
    /// Times that this querier was cut off.
    pub lease_lapses: u64,
    /// Renewals of members that were forwarded to a voter.
    pub forwarded_renewals: u64,
    /// Reports of leafs that members sent and that were new to us.
    pub leaf_reports_from_members: u64,
}

/// What happens to a node agent.
pub enum Event {
    /// A voter sent a message.
    FromVoter {
        /// The slot that it holds by our voter set.
        slot: VoterSlot,
        /// What it sent.
        message: Message,
    },
    /// Another member sent a message.
    FromMember {
        /// The member's name.
        name: String,
        /// What it sent.
        message: Message,
    },
    /// A controller told its voter set.
    VoterSet(VoterSet),
    /// A leaf reported on itself, to a traffic thread or to a health check.
    LeafReport {
        /// The leaf's service.
        service: String,
        /// What it reported.
        report: LeafReport,
    },
    /// What a traffic thread has seen of a version that is tried, since the trial began.
    TrialEvidence {
        /// The thread's stable number.
        thread: u64,
        /// What it has seen.
        evidence: TrialEvidence,
    },
    /// A poll of the platform's list has ended.
    LeafList(Result<Vec<LeafInfo>, String>),
    /// The process is asked to stop.
    Stop,
    /// The traffic threads have no call in flight any more.
    Drained,
    /// Time passes; comes at least every [`step::WAKE`](super::step::WAKE).
    Wake,
}

/// What a node agent wants done by the process that drives it.
pub enum Command {
    /// Send a message to a voter.
    ToVoter {
        /// The voter's slot.
        slot: VoterSlot,
        /// What to send.
        message: Message,
    },
    /// Send a message to another member.
    ToMember {
        /// The member's name.
        name: String,
        /// Its address.
        addr: String,
        /// What to send.
        message: Message,
    },
    /// Send a message to every controller whose address is known.
    Broadcast {
        /// What to send.
        message: Message,
    },
    /// The voter set changed: open and drop connections accordingly.
    VoterSetChanged,
    /// Give the traffic threads a view.
    ClusterView(Arc<ClusterView>),
    /// The members among whom the cluster's quotas are divided; empty while we
    /// have no share.
    QuotaMembers(Vec<QuotaMember>),
    /// All members that open connections to leafs. Unlike quotas these are
    /// told before the membership is settled; a subset of connections that
    /// members do not agree on for a moment costs a reset connection at most.
    LeafClients(Vec<LeafClient>),
    /// Which calls are taken.
    Admission(ServingState),
    /// Until when the traffic threads may act on their view, if nothing else is said.
    ServingUntil(Tick),
    /// Versions may be tried until then.
    TrialsUntil(Tick),
    /// Whether this querier is ready.
    Ready(bool),
    /// Poll the platform's list.
    PollLeafList,
    /// Health-check these leafs.
    ProbeLeafs(Vec<Arc<LeafInfo>>),
    /// Something an operator must hear of.
    Alarm(String),
}

impl NodeAgent {
    /// The agent of a querier that knows nothing yet.
    pub fn new(member: Member, now: Tick) -> NodeAgent {
        NodeAgent {
            member,
            started_at: now,
            partitions: partitions().map(|p| (p, PartitionState::default())).collect(),
            voter_positions: Vec::new(),
            voter_set: VoterSet::default(),
            voter_set_stamp: stamp(&VoterSet::default()),
            is_caught_up: false,
            configuration: Arc::new(RoutingTable::default()),
            rollout_votes: RolloutVotes::default(),
            first_revision: 0,
            trials_until: 0,
            withheld_leafs: 0,
            rollouts: Vec::new(),
            configuration_revision: 0,
            view: None,
            view_is_stale: false,
            next_publish_at: now,
            membership: Membership::default(),
            ring: NeighbourRing::default(),
            quota_members: Vec::new(),
            leaf_clients: Vec::new(),
            lease: Lease::default(),
            peers: IndexMap::new(),
            proofs: Proofs::default(),
            known_revision: 0,
            has_served: false,
            partially_serving_since: None,
            individually_isolated_since: None,
            serving_until: 0,
            admission: ServingState::NoSnapshot,
            ready: false,
            stopping_since: None,
            drain_notice: DRAIN_NOTICE,
            is_drained: false,
            subscribe_at: now,
            feed: FeedSources::default(),
            last_gossip_at: 0,
            substitute_list_rank: None,
            last_list_poll_at: 0,
            last_leaf_gone_at: 0,
            probe_at: now,
            age_reports_at: now,
            leaf_reports: BTreeMap::new(),
            reports_need_check: false,
            forwarded_renewals: BTreeMap::new(),
            counters: Counters::default(),
        }
    }

    /// Takes in a voter set. Where an operator moves a replica by telling all
    /// processes its new address, the last word stands.
    pub(super) fn on_voter_set(&mut self, theirs: &VoterSet, commands: &mut Vec<Command>) {
        let mut merged = merge(&self.voter_set, theirs).unwrap_or_else(|| self.voter_set.clone());
        for (ours, told) in merged.slots.iter_mut().zip(&theirs.slots) {
            if ballot(ours) == ballot(told) {
                *ours = told.clone();
            }
        }
        if merged == self.voter_set {
            return;
        }
        self.voter_positions.resize(merged.slots.len(), Vec::new());
        for (index, holder) in merged.slots.iter().enumerate() {
            // What the former replica said does not count for its successor.
            if self.voter_set.slots.get(index).map(ballot) != Some(ballot(holder)) {
                self.voter_positions[index].clear();
                self.feed.answered_at.remove(&(index as VoterSlot));
                self.lease.slot = self.lease.slot.filter(|slot| usize::from(*slot) != index);
            }
        }
        self.voter_set = merged;
        self.voter_set_stamp = stamp(&self.voter_set);
        self.subscribe_at = 0;
        self.feed.position_poll_at = 0;
        commands.push(Command::VoterSetChanged);
    }

    /// Every voter slot that a replica holds.
    pub(super) fn occupied_slots(&self) -> Vec<VoterSlot> {
        let slots = self.voter_set.slots.iter().enumerate();
        slots.filter(|(_, h)| h.holder != 0).map(|(i, _)| i as VoterSlot).collect()
    }

    /// How far we are in every partition.
    pub(super) fn positions(&self) -> Vec<FeedPosition> {
        self.partitions
            .iter()
            .map(|(id, state)| FeedPosition { partition: *id, revision: state.revision })
            .collect()
    }

    /// Sends a message to the voter that serves us, or to all while none does.
    pub(super) fn send_to_controllers(&self, message: Message, commands: &mut Vec<Command>) {
        match self.lease.slot {
            Some(slot) => commands.push(Command::ToVoter { slot, message }),
            None => self.send_to_voters(&message, commands),
        }
    }

    /// Sends a message to every voter.
    pub(super) fn send_to_voters(&self, message: &Message, commands: &mut Vec<Command>) {
        for slot in self.occupied_slots() {
            commands.push(Command::ToVoter { slot, message: message.clone() });
        }
    }

    /// Sends a message to a member of the membership.
    pub(super) fn send_to_member(&self, name: &str, message: Message, commands: &mut Vec<Command>) {
        let Some(member) = self.membership.members.iter().find(|m| m.name == name) else { return };
        commands.push(Command::ToMember {
            name: member.name.clone(),
            addr: member.addr.clone(),
            message,
        });
    }
}
