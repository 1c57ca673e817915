//! The controller's whole state, its events and its commands.

use crate::command::ConnectionId;
use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};

use crate::control_plane::members::Members;
use crate::control_plane::pending_requests::{ForwardedOperation, PendingRequest};
use crate::identifiers::{PartitionId, VoterSlot, partitions};
use crate::protocol::message::{Message, Operation, ReplicaCondition};
use crate::random::{Random, mix};
use crate::replication::partition::{Partition, partition};
use crate::storage::record::ReplicaState;
use crate::storage::voter_file::VoterFile;
use crate::time::{SECOND, Span, Tick};
use crate::voter_set::{NOBODY, seat_of};
use crate::voters::voter_slots::VoterSlots;

/// How often a voter reads the files of one of its partitions again to see whether
/// they still are what was written. All five take 20 s; a partition of several MiB
/// then costs a small disk well below a hundredth of what it can read.
pub(super) const SCRUB_INTERVAL: Span = 4 * SECOND;

/// Numbers of lent requests begin here, beyond those that the daemon gives.
const LENT: u64 = 1 << 63;

/// Sets the numbers of attempts apart from all else that a seed gives.
const ATTEMPTS: u64 = 0x6174_7465_6d70_7473;

/// The leader of a controller's state.
pub struct ControllerState {
    /// Ours by the table that we hold, or `NOBODY`.
    pub slot: VoterSlot,
    pub voter_slots: VoterSlots,
    pub partitions: Vec<Partition>,
    pub members: Members,
    /// Followers by connection: the place of each part up to which we sent.
    pub followers: IndexMap<ConnectionId, BTreeMap<PartitionId, u64>>,
    /// How far the followers were last brought: each part, then the membership.
    pub broadcast_up_to: Vec<u64>,
    /// Requests of our own operators that were handed over or wait.
    pub pending_requests: IndexMap<u64, PendingRequest>,
    /// Those of them that a controller without a seat handed to us.
    pub forwarded: IndexMap<u64, ForwardedOperation>,
    pub next_forwarded: u64,
    /// Number of the last attempt to have a request carried out. Begins anywhere,
    /// so that no number of a former process comes again.
    pub next_attempt: u64,
    /// Attempts of others that reached us, the oldest first.
    pub attempts_seen: IndexSet<u64>,
    /// When the next part's files are read again, and which it is.
    pub scrub_at: Tick,
    pub scrub_next: usize,
    pub random: Random,
    pub counters: Counters,
}

/// What is counted.
#[derive(Clone, Default, Debug)]
pub struct Counters {
    pub accepted: u64,
    pub rejected: u64,
    pub candidacies: u64,
    pub leaderships_won: u64,
    pub leaderships_lost: u64,
    pub disks_recovered: u64,
    pub snapshot_requests: u64,
    /// Parts whose files had rotted while we ran.
    pub corruptions: u64,
    pub updates_sent: u64,
    pub update_bytes_sent: u64,
    pub fenced_lists: u64,
}

/// What happens to a controller.
pub enum Event {
    /// On a connection that `holder` opened as the holder of `seat`.
    FromVoter {
        slot: VoterSlot,
        replica_id: u64,
        connection: ConnectionId,
        message: Message,
    },
    /// On a connection that we opened to a controller.
    FromController {
        message: Message,
    },
    /// Somebody opened a connection to us.
    ConnectionOpened {
        connection: ConnectionId,
    },
    /// The roll of this token is on disk.
    VoterFileWritten {
        token: u64,
    },
    VoterFileFailed {
        why: String,
    },
    FromConnection {
        connection: ConnectionId,
        message: Message,
    },
    ConnectionClosed {
        connection: ConnectionId,
    },
    /// Every write of the part up to this token is synced.
    Synced {
        partition: PartitionId,
        token: u64,
    },
    DiskFailed {
        partition: PartitionId,
        why: String,
    },
    /// A part's files were read again; what is wrong with them, if anything.
    Scrubbed {
        partition: PartitionId,
        corruption: Option<String>,
    },
    Operate {
        op: u64,
        request: String,
        expected_revision: Option<u64>,
        operation: Operation,
    },
    /// An operator vouches that lost copies are lost for good.
    ForceRecovery,
    /// The process goes down: give up every part now.
    Stop,
    Wake,
}

impl ControllerState {
    /// A controller that has read its disk. Parts not given are empty.
    pub fn new(
        roll: VoterFile,
        here: (&str, &str),
        found: Vec<(PartitionId, ReplicaCondition, ReplicaState, u64)>,
        seed: u64,
        now: Tick,
    ) -> Self {
        let slot = seat_of(&roll.table, roll.me).unwrap_or(NOBODY);
        let mut found: BTreeMap<PartitionId, _> =
            found.into_iter().map(|(id, life, copy, len)| (id, (life, copy, len))).collect();
        let list = partitions()
            .map(|id| {
                let (life, copy, len) = found.remove(&id).unwrap_or((
                    ReplicaCondition::Empty,
                    ReplicaState::default(),
                    0,
                ));
                partition(id, life, copy, len, now)
            })
            .collect();
        Self {
            slot,
            random: Random::new(seed ^ roll.me),
            voter_slots: VoterSlots::new(roll, here.0, here.1, now),
            partitions: list,
            members: Members::default(),
            followers: IndexMap::new(),
            broadcast_up_to: Vec::new(),
            pending_requests: IndexMap::new(),
            forwarded: IndexMap::new(),
            next_forwarded: LENT,
            next_attempt: mix(mix(seed) ^ ATTEMPTS),
            attempts_seen: IndexSet::new(),
            scrub_at: now + SCRUB_INTERVAL,
            scrub_next: 0,
            counters: Counters::default(),
        }
    }
}
