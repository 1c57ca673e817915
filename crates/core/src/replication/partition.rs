//! The replica of one partition at one voter, and its Raft role.

use std::collections::VecDeque;

use crate::config::stored::Entry;
use crate::identifiers::{PartitionId, Position, Term, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::replica::{EntryMap, ReplicaCondition};
use crate::replication::leader::Leader;
use crate::storage::record::ReplicaState;
use crate::time::Tick;
use crate::voter_set::VoterGroup;

/// The replica of a partition at this voter.
///
/// Invariants: `state` is what the disk holds once every write in `writes` is synced, and
/// a message that depends on a write is not sent before that write is synced; while
/// `condition` is not `Voting` the replica neither votes nor accepts changes; `committed`
/// is the committed state at `committed_revision`, which never decreases.
pub struct Partition {
    /// The identifier of the partition.
    pub id: PartitionId,
    /// Whether this replica votes, or why it does not.
    pub condition: ReplicaCondition,
    /// The entries and terms that this replica has accepted, committed or not.
    pub state: ReplicaState,
    /// The Raft role of this replica.
    pub role: Role,
    /// Writes that are not synced yet, oldest first.
    pub writes: VecDeque<Write>,
    /// When a write was last synced.
    pub synced_at: Tick,
    /// Token of the next write.
    pub next_token: u64,
    /// Bytes appended to the log since the last snapshot was written.
    pub log_bytes: u64,
    /// Why this replica is suspended after a disk failure; `None` while the disk works.
    pub disk_failure: Option<String>,
    /// When a suspended replica next tries to write to its disk.
    pub disk_retry_at: Tick,
    /// The committed state, at `committed_revision`.
    pub committed: EntryMap,
    /// Revision of `committed`.
    pub committed_revision: u64,
    /// A snapshot that is not known to be committed yet: (revision, entries).
    pub uncommitted_snapshot: Option<(u64, EntryMap)>,
    /// Consecutive changes up to `state.revision`, starting after `uncommitted_snapshot` if
    /// there is one. Those up to `committed_revision` are committed and kept for subscribers of
    /// the feed.
    pub changes: VecDeque<(u64, Vec<Entry>)>,
    /// Whether the leader's checksum differed from that of this replica, which then accepts the
    /// leader's next snapshot even if its revision is not newer.
    pub checksum_mismatch: bool,
    /// Whether this replica has heard neither from a leader nor from a candidate since the
    /// process started.
    pub no_leader_since_start: bool,
    /// Progress of a replica that does not vote and recovers its state from the other voters.
    pub catch_up: CatchUp,
}

/// The Raft role of a replica.
pub enum Role {
    /// Accepts changes from the leader.
    Follower {
        /// When the last message from a leader arrived, or when the replica became a follower.
        last_heard: Tick,
        /// The leader, if one is known.
        leader: Option<KnownLeader>,
    },
    /// Requests pre-votes: whether the other voters would grant their vote. A pre-vote changes
    /// no voter's state.
    PreCandidate {
        /// The term in which it would become a candidate.
        term: Term,
        /// Which voters granted the pre-vote, by slot.
        granted: Vec<bool>,
        /// When the pre-vote times out.
        until: Tick,
    },
    /// Requests votes in an election.
    Candidate(Candidacy),
    /// Appends changes and replicates them to the followers.
    Leader(Box<Leader>),
}

/// The leader that a follower follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLeader {
    /// The voter slot of the leader.
    pub slot: VoterSlot,
    /// The term of the leader.
    pub term: Term,
}

/// The sender of a message, together with the receiver's view of the voter group.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// The voter group, with the receiver's own slot.
    pub group: VoterGroup,
    /// The voter slot of the sender.
    pub slot: VoterSlot,
}

/// A write that is not synced yet, and the actions that wait for it.
pub struct Write {
    /// Number of the write, by which the disk reports completion in order.
    pub token: u64,
    /// When the write was issued.
    pub at: Tick,
    /// Actions to run once the write is synced.
    pub after: Vec<AfterWrite>,
}

/// An action that runs once a write is synced.
pub enum AfterWrite {
    /// Sends a message that depends on the write.
    Send(VoterSlot, Message),
    /// Counts the leader's own replica as synced up to a revision.
    OwnAppendSynced {
        /// The term of the leader.
        term: Term,
        /// The revision that the write syncs.
        revision: u64,
    },
    /// Counts the candidate's vote for itself and requests the votes of the others.
    OwnVoteSynced {
        /// The term of the election.
        term: Term,
    },
    /// Lets the replica vote from now on.
    StartVoting,
}

/// An election in progress: the candidate gathers votes, then fetches the newest state among
/// the voters that granted theirs.
pub struct Candidacy {
    /// The term of the election.
    pub term: Term,
    /// The last written position of each voter that granted its vote, by slot.
    pub grants: Vec<Option<Position>>,
    /// The voter whose newer state is being fetched.
    pub fetching_from: Option<VoterSlot>,
    /// When the election times out.
    pub until: Tick,
}

/// Progress of a replica that does not vote and recovers its state from the other voters.
#[derive(Default)]
pub struct CatchUp {
    /// Nonce of the current round; responses with another nonce are ignored.
    pub nonce: u64,
    /// Number of rounds in which all other voters responded but recovery was not possible.
    pub rounds: u64,
    /// Whether an operator has forced recovery, which accepts that the data of lost replicas is
    /// lost permanently.
    pub is_forced: bool,
    /// When the next status requests are sent.
    pub next_request_at: Tick,
    /// The other voters' responses in this round, by slot.
    pub statuses: Vec<Option<ReplicaStatus>>,
    /// The voter whose state is being fetched.
    pub fetching_from: Option<VoterSlot>,
}

/// The status that another voter reports of its replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaStatus {
    /// Whether the replica votes, or why it does not.
    pub condition: ReplicaCondition,
    /// The highest term in which the replica voted or accepted a change.
    pub current_term: Term,
    /// The term under which the replica was last written.
    pub written_term: Term,
    /// The newest revision of the replica.
    pub revision: u64,
}

impl ReplicaStatus {
    /// Returns the last written position of the replica.
    pub fn position(&self) -> Position {
        Position { term: self.written_term, revision: self.revision }
    }
}

impl Partition {
    /// Creates a replica from the state found on disk at startup. `log_bytes` is the length of
    /// its log.
    pub fn new(
        id: PartitionId,
        condition: ReplicaCondition,
        state: ReplicaState,
        log_bytes: u64,
        now: Tick,
    ) -> Partition {
        let uncommitted_snapshot =
            (state.revision > 0).then(|| (state.revision, state.entries.clone()));
        Partition {
            id,
            condition,
            state,
            role: Role::Follower { last_heard: now, leader: None },
            writes: VecDeque::new(),
            synced_at: now,
            next_token: 1,
            log_bytes,
            disk_failure: None,
            disk_retry_at: 0,
            committed: EntryMap::new(),
            committed_revision: 0,
            uncommitted_snapshot,
            changes: VecDeque::new(),
            checksum_mismatch: false,
            no_leader_since_start: true,
            catch_up: CatchUp::default(),
        }
    }

    /// Returns whether this replica may vote and accept changes.
    pub fn can_vote(&self) -> bool {
        self.condition == ReplicaCondition::Voting && self.disk_failure.is_none()
    }

    /// Returns the leader state if this voter is the leader of the partition.
    pub fn leader(&self) -> Option<&Leader> {
        match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// Returns the mutable leader state if this voter is the leader of the partition.
    pub fn leader_mut(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }
}
