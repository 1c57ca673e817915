//! The controller's whole state, its events and its commands.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};

use crate::command::ConnectionId;
use crate::control_plane::counters::Counters;
use crate::control_plane::members::Members;
use crate::control_plane::pending_requests::{ForwardedOperation, PendingRequest};
use crate::control_plane::rollout_clock::RolloutClock;
use crate::control_plane::rollout_votes::RolloutVotes;
use crate::identifiers::{PartitionId, VoterSlot, partitions};
use crate::protocol::message::Message;
use crate::protocol::operation::Operation;
use crate::protocol::replica::ReplicaCondition;
use crate::random::{Random, mix};
use crate::replication::partition::Partition;
use crate::storage::record::ReplicaState;
use crate::storage::voter_file::VoterFile;
use crate::time::{SECOND, Span, Tick};
use crate::voter_set::{NO_SLOT, slot_of};
use crate::voters::voter_slots::VoterSlots;

/// How often a voter reads the files of one of its partitions again to see whether
/// they still are what was written. All five take 20 s; a partition of several MiB
/// then costs a small disk well below a hundredth of what it can read.
pub(super) const SCRUB_INTERVAL: Span = 4 * SECOND;

/// Numbers of forwarded requests begin here, beyond those that the daemon gives.
const FORWARDED_NUMBERS: u64 = 1 << 63;

/// Sets the numbers of attempts apart from all else that a seed gives.
const ATTEMPTS: u64 = 0x6174_7465_6d70_7473;

/// Everything that a controller knows. It changes by
/// [`step`](ControllerState::step) alone.
pub struct ControllerState {
    /// Our voter slot by the voter set that we hold, or `NO_SLOT`.
    pub slot: VoterSlot,
    /// The voter set, and what we know of the other voters.
    pub voter_slots: VoterSlots,
    /// Our replica of each partition, in the order of their ids.
    pub partitions: Vec<Partition>,
    /// The members, their leases and memberships.
    pub members: Members,
    /// Subscribers by connection: the revision of each partition up to which we sent.
    pub followers: IndexMap<ConnectionId, BTreeMap<PartitionId, u64>>,
    /// The revisions that all subscribers were last brought up to: of each partition,
    /// then of the membership.
    pub broadcast_up_to: Vec<u64>,
    /// Operators' requests that came to us and have no certain result yet.
    pub pending_requests: IndexMap<u64, PendingRequest>,
    /// Where those of them came from that a controller without a voter slot forwarded.
    pub forwarded: IndexMap<u64, ForwardedOperation>,
    /// Number of the last of these.
    pub next_forwarded: u64,
    /// Number of the last attempt to have a request carried out. Begins anywhere,
    /// so that no number of a former process comes again.
    pub next_attempt: u64,
    /// Attempts of others that reached us, the oldest first.
    pub attempts_seen: IndexSet<u64>,
    /// When the next partition's files are read again.
    pub scrub_at: Tick,
    /// Index of that partition.
    pub scrub_next: usize,
    /// What members have seen of versions that are tried.
    pub rollout_votes: RolloutVotes,
    /// How long each rollout has been as it is.
    pub rollout_clock: RolloutClock,
    /// Our random numbers: jitter, nonces, replica ids.
    pub random: Random,
    /// What the metrics show.
    pub counters: Counters,
}

/// What happens to a controller.
pub enum Event {
    /// A message on a connection that the controller of this id opened as the holder
    /// of a voter slot.
    FromVoter {
        /// The slot that the sender claims to hold.
        slot: VoterSlot,
        /// Who the sender is.
        replica_id: u64,
        /// Where an answer reaches it.
        connection: ConnectionId,
        /// What it says.
        message: Message,
    },
    /// A message on a connection that we opened to a controller.
    FromController {
        /// What it says.
        message: Message,
    },
    /// Somebody opened a connection to us.
    ConnectionOpened {
        /// Which.
        connection: ConnectionId,
    },
    /// The voter file of this token is on disk.
    VoterFileWritten {
        /// Token of the command that wrote it.
        token: u64,
    },
    /// The voter file could not be written.
    VoterFileFailed {
        /// What the disk said.
        why: String,
    },
    /// A message on a connection that a member or a spare controller opened to us.
    FromConnection {
        /// Which.
        connection: ConnectionId,
        /// What it says.
        message: Message,
    },
    /// A connection that somebody had opened to us is gone.
    ConnectionClosed {
        /// Which.
        connection: ConnectionId,
    },
    /// Every write of the partition up to this token is synced.
    Synced {
        /// Whose files.
        partition: PartitionId,
        /// Token of the last command that is synced.
        token: u64,
    },
    /// A write of the partition failed.
    DiskFailed {
        /// Whose files.
        partition: PartitionId,
        /// What the disk said.
        why: String,
    },
    /// A partition's files were read again.
    Scrubbed {
        /// Whose files.
        partition: PartitionId,
        /// What is wrong with them, if anything.
        corruption: Option<String>,
    },
    /// An operator asks something of us.
    Operate {
        /// Number of the request, which its response names.
        op: u64,
        /// Id of the request, under which it may be sent again.
        request: String,
        /// The revision that it expects to change.
        expected_revision: Option<u64>,
        /// What is asked.
        operation: Operation,
    },
    /// The operator of this request has gone: it is not handed to a leader any more.
    Abandon {
        /// Number of the request.
        op: u64,
    },
    /// An operator vouches that lost replicas are lost for good.
    ForceRecovery,
    /// The process goes down: step down from every leadership now, and hand over the
    /// voter slot.
    Stop,
    /// Time has passed (`step::WAKE` at most).
    Wake,
}

impl ControllerState {
    /// A controller that has read its disk: `found` has the condition, state and log
    /// length (bytes) of each partition that it holds, all others are empty. `here` is
    /// the address at which others reach it, and its zone.
    pub fn new(
        roll: VoterFile,
        here: (&str, &str),
        found: Vec<(PartitionId, ReplicaCondition, ReplicaState, u64)>,
        seed: u64,
        now: Tick,
    ) -> Self {
        let slot = slot_of(&roll.table, roll.me).unwrap_or(NO_SLOT);
        let mut found: BTreeMap<PartitionId, _> = found
            .into_iter()
            .map(|(id, condition, state, log_bytes)| (id, (condition, state, log_bytes)))
            .collect();
        let partitions = partitions()
            .map(|id| {
                let (condition, state, log_bytes) = found.remove(&id).unwrap_or((
                    ReplicaCondition::Empty,
                    ReplicaState::default(),
                    0,
                ));
                Partition::new(id, condition, state, log_bytes, now)
            })
            .collect();
        Self {
            slot,
            random: Random::new(seed ^ roll.me),
            voter_slots: VoterSlots::new(roll, here.0, here.1, now),
            partitions,
            members: Members::default(),
            followers: IndexMap::new(),
            broadcast_up_to: Vec::new(),
            pending_requests: IndexMap::new(),
            forwarded: IndexMap::new(),
            next_forwarded: FORWARDED_NUMBERS,
            next_attempt: mix(mix(seed) ^ ATTEMPTS),
            attempts_seen: IndexSet::new(),
            scrub_at: now + SCRUB_INTERVAL,
            scrub_next: 0,
            rollout_votes: RolloutVotes::default(),
            rollout_clock: RolloutClock::default(),
            counters: Counters::default(),
        }
    }
}
