//! The controller's whole state, its events and its commands.

use crate::command::ConnectionId;
use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};

use crate::consts::ROT_LOOK;
use crate::control_plane::members::Members;
use crate::identifiers::{PartitionId, VoterSlot, partitions};
use crate::protocol::message::{Message, Operation, ReplicaCondition};
use crate::random::{Random, mix};
use crate::replication::partition::{Partition, partition};
use crate::storage::record::ReplicaState;
use crate::storage::voter_file::VoterFile;
use crate::time::Tick;
use crate::voter_set::{NOBODY, seat_of};
use crate::voters::voter_slots::{VoterSlots, seating};

/// Numbers of lent requests begin here, beyond those that the daemon gives.
const LENT: u64 = 1 << 63;

/// Sets the numbers of attempts apart from all else that a seed gives.
const ATTEMPTS: u64 = 0x6174_7465_6d70_7473;

/// The leader of a controller's state.
pub struct ControllerState {
    /// Ours by the table that we hold, or `NOBODY`.
    pub slot: VoterSlot,
    pub seating: VoterSlots,
    pub partitions: Vec<Partition>,
    pub members: Members,
    /// Followers by connection: the place of each part up to which we sent.
    pub followers: IndexMap<ConnectionId, BTreeMap<PartitionId, u64>>,
    /// How far the followers were last brought: each part, then the membership.
    pub pushed: Vec<u64>,
    /// Requests of our own operators that were handed over or wait.
    pub ops: IndexMap<u64, PendingRequest>,
    /// Those of them that a controller without a seat handed to us.
    pub lent: IndexMap<u64, ForwardedOperation>,
    pub next_lent: u64,
    /// Number of the last attempt to have a request carried out. Begins anywhere,
    /// so that no number of a former process comes again.
    pub next_attempt: u64,
    /// Attempts of others that reached us, the oldest first.
    pub attempts_seen: IndexSet<u64>,
    /// When the next part's files are read again, and which it is.
    pub look_at: Tick,
    pub look_next: usize,
    pub luck: Random,
    pub counts: Counts,
}

/// An operator's request in hand at the seat it came to.
pub struct PendingRequest {
    pub request: String,
    pub expect: Option<u64>,
    pub deed: Operation,
    /// To whom it was handed; `None` while no leader is known.
    pub sent: Option<Forwarding>,
    /// Number of the latest attempt.
    pub attempt: u64,
    /// An earlier try ended without a word: it may have been applied.
    pub maybe: bool,
    /// An attempt was not meant for one term alone.
    pub unfenced: bool,
    /// Why the last try ended without a result.
    pub said: Option<String>,
    pub until: Tick,
}

/// To whom a request was handed.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Forwarding {
    pub slot: VoterSlot,
    /// The term of the leader that it is meant for; zero for any.
    pub term: u64,
}

/// Where a request came from that was lent to us.
pub struct ForwardedOperation {
    pub connection: ConnectionId,
    /// Its number there.
    pub number: u64,
    pub attempt: u64,
}

/// What is counted.
#[derive(Clone, Default, Debug)]
pub struct Counts {
    pub accepted: u64,
    pub bounced: u64,
    pub claims: u64,
    pub owned: u64,
    pub resigned: u64,
    pub mended: u64,
    pub swept: u64,
    /// Parts whose files had rotted while we ran.
    pub rotted: u64,
    pub news: u64,
    pub news_bytes: u64,
    pub fenced: u64,
}

/// What happens to a controller.
pub enum Event {
    /// On a connection that `holder` opened as the holder of `seat`.
    FromVoter {
        slot: VoterSlot,
        holder: u64,
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
        trouble: Option<String>,
    },
    Operate {
        op: u64,
        request: String,
        expect: Option<u64>,
        deed: Operation,
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
            luck: Random::new(seed ^ roll.me),
            seating: seating(roll, here, now),
            partitions: list,
            members: Members::default(),
            followers: IndexMap::new(),
            pushed: Vec::new(),
            ops: IndexMap::new(),
            lent: IndexMap::new(),
            next_lent: LENT,
            next_attempt: mix(mix(seed) ^ ATTEMPTS),
            attempts_seen: IndexSet::new(),
            look_at: now + ROT_LOOK,
            look_next: 0,
            counts: Counts::default(),
        }
    }
}
