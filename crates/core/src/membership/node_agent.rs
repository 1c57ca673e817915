//! The state of a querier's node agent, the events that it handles and the commands that it
//! issues.

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

/// Time between the moment a stopping querier reports "not ready" and the moment it rejects new
/// calls, unless the process is configured otherwise. The platform checks readiness each second.
const DRAIN_NOTICE: Span = ms(1_500);

/// What a querier knows of the cluster, and what it last sent to its traffic threads.
///
/// Invariants: the revision of each partition in `partitions` only rises; `configuration` was
/// built from the entries at `configuration_revision`; a view is published only after
/// `is_caught_up` is set.
pub struct NodeAgent {
    /// This querier, as the controllers and the other members know it.
    pub member: Member,
    /// When this process started.
    pub started_at: Tick,
    /// Every partition of the state, as this querier holds it.
    pub partitions: BTreeMap<PartitionId, PartitionState>,
    /// The revision of each partition that each voter slot last reported as accepted.
    pub voter_positions: Vec<Vec<FeedPosition>>,
    /// The voter slots and their replicas; empty until a controller has sent the voter set.
    pub voter_set: VoterSet,
    /// Stamp of `voter_set`.
    pub voter_set_stamp: u64,
    /// Whether this querier holds at least the revisions that it or another member applied
    /// before this process started, so that its first view is not outdated.
    pub is_caught_up: bool,
    /// The configuration that is applied.
    pub configuration: Arc<RoutingTable>,
    /// What the traffic threads of this querier have observed of service versions
    /// under trial in a rollout.
    pub rollout_votes: RolloutVotes,
    /// Revision of the first configuration that was applied; zero before.
    pub first_revision: u64,
    /// Until when the traffic threads may send attempts to versions under trial.
    pub trials_until: Tick,
    /// Number of leafs whose version is not in force.
    pub withheld_leafs: usize,
    /// The newest rollout of each service in the applied configuration.
    pub rollouts: Vec<Rollout>,
    /// Revision of `configuration`; zero before the first one is applied.
    pub configuration_revision: u64,
    /// The view (the configuration with the leafs in use) that was last sent to the traffic
    /// threads.
    pub view: Option<Arc<ClusterView>>,
    /// Whether the partitions or the leaf reports have changed since `view` was built.
    pub view_is_stale: bool,
    /// When the next view with changed leafs may be published. A view of a new configuration is
    /// published at once.
    pub next_publish_at: Tick,
    /// The newest membership that was received.
    pub membership: Membership,
    /// Neighbours and assignments of this member, computed from `membership`.
    pub ring: NeighbourRing,
    /// The members that divide the cluster's quotas, as last commanded.
    pub quota_members: Vec<QuotaMember>,
    /// The members that open connections to leafs, as last commanded.
    pub leaf_clients: Vec<LeafClient>,
    /// The lease of this querier.
    pub lease: Lease,
    /// The last gossip response of each other member, by name.
    pub peers: IndexMap<String, Peer>,
    /// Attestations of the other members, collected while the controllers are out of reach.
    pub proofs: Proofs,
    /// The newest configuration revision that is known to be committed.
    pub known_revision: u64,
    /// Whether a view ever had leafs for a quorum of shards of every search, or for some
    /// searches for `STARTUP_TIMEOUT`. One search without leafs must not keep the querier from
    /// becoming ready for the others.
    pub has_served: bool,
    /// Since when the view has leafs for a quorum of shards of at least one search.
    pub partially_serving_since: Option<Tick>,
    /// Since when other members reach the controllers while this querier does not.
    pub individually_isolated_since: Option<Tick>,
    /// Until when the traffic threads may use their view, as last commanded.
    pub serving_until: Tick,
    /// Whether calls are admitted, as last commanded.
    pub admission: ServingState,
    /// Whether this querier is ready, as last commanded.
    pub ready: bool,
    /// When the process was asked to stop.
    pub stopping_since: Option<Tick>,
    /// Time between that request and the rejection of new calls.
    pub drain_notice: Span,
    /// Whether no call is in flight any more after a stop, so that the lease may be released.
    pub is_drained: bool,
    /// When the voters are next asked for updates.
    pub subscribe_at: Tick,
    /// Which voters send updates to this querier.
    pub feed: FeedSources,
    /// When gossip requests were last sent.
    pub last_gossip_at: Tick,
    /// The last message of the leader that makes this member poll the platform's list in place
    /// of members that do not answer.
    pub substitute_list_rank: Option<SubstituteListRank>,
    /// When the platform's list of leafs was last polled.
    pub last_list_poll_at: Tick,
    /// When a leaf was last reported as gone; zero before that.
    pub last_leaf_gone_at: Tick,
    /// When the leafs assigned to this member are next health-checked.
    pub probe_at: Tick,
    /// When reports that only carry a leaf's age are next sent, all together.
    pub age_reports_at: Tick,
    /// Reports of leafs that the update stream does not contain yet, by leaf. Until it does,
    /// they are applied to this querier's own view, since the controllers may be out of reach
    /// for long.
    pub leaf_reports: BTreeMap<String, PendingLeafReport>,
    /// Whether reports or updates arrived since `leaf_reports` was last compared with the
    /// partitions.
    pub reports_need_check: bool,
    /// Members whose lease renewals were forwarded, with the time of the last one.
    pub forwarded_renewals: BTreeMap<String, Tick>,
    /// Counters that are exported as metrics.
    pub counters: Counters,
}

/// A partition of the state, as a querier holds it.
#[derive(Default)]
pub struct PartitionState {
    /// Revision of `entries`; zero before the first update.
    pub revision: u64,
    /// The committed entries.
    pub entries: EntryMap,
}

/// A member that has a share of the cluster's quotas.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuotaMember {
    /// The member's name.
    pub name: String,
    /// Number of its traffic threads, each of which has its own share.
    pub threads: u32,
}

/// A member that opens connections to leafs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafClient {
    /// The member's name.
    pub name: String,
    /// Number of its traffic threads.
    pub threads: u32,
    /// Its zone.
    pub zone: String,
}

/// Counters of a node agent since its start.
#[derive(Clone, Default, Debug)]
pub struct Counters {
    /// Updates of partitions that were applied.
    pub updates: u64,
    /// Applied updates that came from other members.
    pub updates_from_members: u64,
    /// Views that were published.
    pub views: u64,
    /// Polls of the platform's list.
    pub list_polls: u64,
    /// Polls of the list that were made in place of members that do not answer.
    pub substitute_list_polls: u64,
    /// Polls of the list that failed.
    pub list_failures: u64,
    /// Health checks that were started.
    pub probes: u64,
    /// Times that this querier's lease lapsed and it could not prove that it may go on serving.
    pub lease_lapses: u64,
    /// Lease renewals of other members that were forwarded to a voter.
    pub forwarded_renewals: u64,
    /// Leaf reports that other members sent and that were new to this querier.
    pub leaf_reports_from_members: u64,
}

/// An input of the node agent.
pub enum Event {
    /// A voter sent a message.
    FromVoter {
        /// The slot that it holds in this querier's voter set.
        slot: VoterSlot,
        /// The message.
        message: Message,
    },
    /// Another member sent a message.
    FromMember {
        /// The member's name.
        name: String,
        /// The message.
        message: Message,
    },
    /// A controller sent its voter set.
    VoterSet(VoterSet),
    /// A leaf reported on itself, to a traffic thread or to a health check.
    LeafReport {
        /// The leaf's service.
        service: String,
        /// The report.
        report: LeafReport,
    },
    /// What a traffic thread has observed of a version under trial since the trial began.
    TrialEvidence {
        /// The thread's stable number.
        thread: u64,
        /// The observations.
        evidence: TrialEvidence,
    },
    /// A poll of the platform's list has ended.
    LeafList(Result<Vec<LeafInfo>, String>),
    /// The process is asked to stop.
    Stop,
    /// The traffic threads have no call in flight any more.
    Drained,
    /// A timer tick; comes at least every [`step::WAKE_INTERVAL`](super::step::WAKE_INTERVAL).
    Wake,
}

/// An action that the process which drives the node agent carries out.
pub enum Command {
    /// Send a message to a voter.
    ToVoter {
        /// The voter's slot.
        slot: VoterSlot,
        /// The message.
        message: Message,
    },
    /// Send a message to another member.
    ToMember {
        /// The member's name.
        name: String,
        /// Its address.
        addr: String,
        /// The message.
        message: Message,
    },
    /// Send a message to every controller whose address is known.
    Broadcast {
        /// The message.
        message: Message,
    },
    /// Open and close connections to controllers as the new voter set requires.
    VoterSetChanged,
    /// Send a view to the traffic threads.
    ClusterView(Arc<ClusterView>),
    /// Divide the cluster's quotas among these members; empty while this querier has no share.
    QuotaMembers(Vec<QuotaMember>),
    /// Divide connections to leafs among these members. Unlike quotas, this list is sent before
    /// the membership is settled, that is, seen by every live member: members that disagree for
    /// a moment on their subsets cost at most a reset connection.
    LeafClients(Vec<LeafClient>),
    /// Admit or reject calls.
    Admission(ServingState),
    /// Let the traffic threads use their view until then, unless a later command changes the
    /// time.
    ServingUntil(Tick),
    /// Allow attempts to versions under trial until then.
    TrialsUntil(Tick),
    /// Report this querier as ready or not ready.
    Ready(bool),
    /// Poll the platform's list.
    PollLeafList,
    /// Health-check these leafs.
    ProbeLeafs(Vec<Arc<LeafInfo>>),
    /// Report a condition to the operators.
    Alarm(String),
}

impl NodeAgent {
    /// Creates the agent of a querier that has not received anything yet.
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

    /// Merges a voter set that a controller or another member sent. An operator moves a replica
    /// to another address by sending the new address to all processes, so of two addresses of
    /// the same holder the one received last applies.
    pub(super) fn on_voter_set(&mut self, theirs: &VoterSet, commands: &mut Vec<Command>) {
        let mut merged = merge(&self.voter_set, theirs).unwrap_or_else(|| self.voter_set.clone());
        for (ours, received) in merged.slots.iter_mut().zip(&theirs.slots) {
            if ballot(ours) == ballot(received) {
                *ours = received.clone();
            }
        }
        if merged == self.voter_set {
            return;
        }
        self.voter_positions.resize(merged.slots.len(), Vec::new());
        for (index, holder) in merged.slots.iter().enumerate() {
            // Positions that the former replica reported do not count for its successor.
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

    /// Returns every voter slot that a replica holds.
    pub(super) fn occupied_slots(&self) -> Vec<VoterSlot> {
        let slots = self.voter_set.slots.iter().enumerate();
        slots.filter(|(_, h)| h.replica_id != 0).map(|(i, _)| i as VoterSlot).collect()
    }

    /// Returns the revision of every partition that this querier holds.
    pub(super) fn positions(&self) -> Vec<FeedPosition> {
        self.partitions
            .iter()
            .map(|(id, state)| FeedPosition { partition: *id, revision: state.revision })
            .collect()
    }

    /// Sends a message to the voter through which the lease was last granted, or to all voters
    /// if there is none.
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

    /// Sends a message to a member of the current membership, if it has one of this name.
    pub(super) fn send_to_member(&self, name: &str, message: Message, commands: &mut Vec<Command>) {
        let Some(member) = self.membership.members.iter().find(|m| m.name == name) else { return };
        commands.push(Command::ToMember {
            name: member.name.clone(),
            addr: member.addr.clone(),
            message,
        });
    }
}
