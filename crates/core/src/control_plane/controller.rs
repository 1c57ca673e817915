//! The state of a controller and the events that change it.

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

/// How often a voter rereads the files of one of its partitions to verify that they still
/// hold what was written. A pass over all five partitions takes 20 s. For a partition of
/// several MiB this uses well below a hundredth of the read bandwidth of a small disk.
pub(super) const SCRUB_INTERVAL: Span = 4 * SECOND;

/// First id of forwarded requests. It lies above all ids that the daemon assigns.
const FIRST_FORWARDED_ID: u64 = 1 << 63;

/// Salt that separates attempt numbers from all other values derived from the same seed.
const ATTEMPT_SALT: u64 = 0x6174_7465_6d70_7473;

/// The complete state of a controller. Only [`step`](ControllerState::step) changes it.
pub struct ControllerState {
    /// The voter slot of this node in the voter set that it holds, or `NO_SLOT`.
    pub slot: VoterSlot,
    /// The voter set and the state of the other voters as known to this node.
    pub voter_slots: VoterSlots,
    /// The replica of each partition on this node, in the order of the partition ids.
    pub partitions: Vec<Partition>,
    /// The members with their leases and memberships.
    pub members: Members,
    /// Subscribers by connection, with the revision of each partition that was last sent to
    /// them.
    pub subscribers: IndexMap<ConnectionId, BTreeMap<PartitionId, u64>>,
    /// The revisions that were last sent to all subscribers: one for each partition, then
    /// the one of the membership.
    pub broadcast_up_to: Vec<u64>,
    /// Operator requests that this node received and that have no certain result yet, by
    /// id.
    pub pending_requests: IndexMap<u64, PendingRequest>,
    /// Origins of the pending requests that were forwarded by a controller without a voter
    /// slot.
    pub forwarded: IndexMap<u64, ForwardedOperation>,
    /// Id of the last forwarded request.
    pub last_forwarded: u64,
    /// Number of the last attempt to execute a request. It starts at a random value, so
    /// that a restarted process does not reuse a number of its predecessor.
    pub last_attempt: u64,
    /// Numbers of the attempts received from other nodes, the oldest first.
    pub attempts_seen: IndexSet<u64>,
    /// When the files of the next partition are scrubbed.
    pub scrub_at: Tick,
    /// Index of the next partition to be scrubbed.
    pub scrub_next: usize,
    /// Votes of the members on the versions under trial.
    pub rollout_votes: RolloutVotes,
    /// How long each rollout has been in its present state.
    pub rollout_clock: RolloutClock,
    /// Random generator for jitter, nonces and replica ids.
    pub random: Random,
    /// Counters that the metrics export.
    pub counters: Counters,
}

/// An input of a controller.
pub enum Event {
    /// A message from a voter, on a connection that the voter opened to this node.
    FromVoter {
        /// The voter slot that the sender claims to hold.
        slot: VoterSlot,
        /// Replica id of the sender.
        replica_id: u64,
        /// The connection on which a response reaches the sender.
        connection: ConnectionId,
        /// The received message.
        message: Message,
    },
    /// A message on a connection that this node opened to another controller.
    FromController {
        /// The received message.
        message: Message,
    },
    /// A peer opened a connection to this node.
    ConnectionOpened {
        /// Id of the connection.
        connection: ConnectionId,
    },
    /// The voter file was written to disk.
    VoterFileWritten {
        /// Token of the command that wrote it.
        token: u64,
    },
    /// The voter file could not be written.
    VoterFileFailed {
        /// The error that the disk reported.
        why: String,
    },
    /// A message on a connection that a member or a spare controller opened to this node.
    FromConnection {
        /// Id of the connection.
        connection: ConnectionId,
        /// The received message.
        message: Message,
    },
    /// A connection that a peer had opened to this node was closed.
    ConnectionClosed {
        /// Id of the connection.
        connection: ConnectionId,
    },
    /// All writes of a partition up to a token are synced.
    Synced {
        /// The partition that was written.
        partition: PartitionId,
        /// Token of the last command that is synced.
        token: u64,
    },
    /// A write of a partition failed.
    DiskFailed {
        /// The partition that was written.
        partition: PartitionId,
        /// The error that the disk reported.
        why: String,
    },
    /// The files of a partition were scrubbed.
    Scrubbed {
        /// The partition that was read.
        partition: PartitionId,
        /// Description of the corruption, if any was found.
        corruption: Option<String>,
    },
    /// A request from an operator.
    Operate {
        /// Id that the response carries.
        op: u64,
        /// Request id (idempotency key), under which the request may be sent again.
        request: String,
        /// The revision that the request expects to change.
        expected_revision: Option<u64>,
        /// The requested operation.
        operation: Operation,
    },
    /// The operator of a request has disconnected: the request is no longer forwarded to a
    /// leader.
    Abandon {
        /// Id of the request.
        op: u64,
    },
    /// An operator confirms that the lost replicas will not come back.
    ForceRecovery,
    /// The process is shutting down: the node gives up all leaderships and hands over its
    /// voter slot.
    Stop,
    /// A timer tick. Ticks are at most `step::WAKE_INTERVAL` apart.
    Wake,
}

impl ControllerState {
    /// Creates a controller from what its disk holds. `found` has the condition, the state
    /// and the log length (bytes) of each partition on disk; all other partitions are
    /// empty. `location` is the address at which other nodes reach this one, and its zone.
    pub fn new(
        voter_file: VoterFile,
        location: (&str, &str),
        found: Vec<(PartitionId, ReplicaCondition, ReplicaState, u64)>,
        seed: u64,
        now: Tick,
    ) -> Self {
        let slot = slot_of(&voter_file.voter_set, voter_file.replica_id).unwrap_or(NO_SLOT);
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
            random: Random::new(seed ^ voter_file.replica_id),
            voter_slots: VoterSlots::new(voter_file, location.0, location.1, now),
            partitions,
            members: Members::default(),
            subscribers: IndexMap::new(),
            broadcast_up_to: Vec::new(),
            pending_requests: IndexMap::new(),
            forwarded: IndexMap::new(),
            last_forwarded: FIRST_FORWARDED_ID,
            last_attempt: mix(mix(seed) ^ ATTEMPT_SALT),
            attempts_seen: IndexSet::new(),
            scrub_at: now + SCRUB_INTERVAL,
            scrub_next: 0,
            rollout_votes: RolloutVotes::default(),
            rollout_clock: RolloutClock::default(),
            counters: Counters::default(),
        }
    }
}
