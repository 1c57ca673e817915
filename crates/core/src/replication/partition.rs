//! One partition of the state at one voter, and the roles that the voter plays in it.

use std::collections::VecDeque;

use crate::config::stored::Entry;
use crate::identifiers::{PartitionId, Position, Term, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::replica::{EntryMap, ReplicaCondition};
use crate::replication::leader::Leader;
use crate::storage::record::ReplicaState;
use crate::time::Tick;
use crate::voter_set::VoterGroup;

/// A partition at this voter.
///
/// Invariants: `state` is what the disk holds once every write in `writes` is done, and
/// no message that rests on a write leaves before that write is synced; while
/// `condition` is not `Voting` the replica neither votes nor accepts; `committed` is the
/// committed state at `committed_revision` and never goes back.
pub struct Partition {
    /// Which partition this is.
    pub id: PartitionId,
    /// Whether this replica votes, or what keeps it from that.
    pub condition: ReplicaCondition,
    /// What this replica has accepted, committed or not.
    pub state: ReplicaState,
    /// What this voter does in the partition.
    pub role: Role,
    /// Writes on their way to the disk, the oldest first.
    pub writes: VecDeque<Write>,
    /// When a write was last synced.
    pub synced_at: Tick,
    /// Number of the next write.
    pub next_token: u64,
    /// Bytes that went to the log since the last slot.
    pub log_bytes: u64,
    /// Why this voter has stepped back from the partition, if it has.
    pub disk_failure: Option<String>,
    /// When a voter that stepped back tries its disk again.
    pub disk_retry_at: Tick,
    /// The committed state, at `committed_revision`.
    pub committed: EntryMap,
    /// Revision of `committed`.
    pub committed_revision: u64,
    /// A whole state that is not known to be committed yet: (revision, entries).
    pub uncommitted_snapshot: Option<(u64, EntryMap)>,
    /// Changes without a gap up to `state.revision`, from `uncommitted_snapshot` on if
    /// there is one; those up to `committed_revision` are committed and kept for
    /// subscribers of the feed.
    pub changes: VecDeque<(u64, Vec<Entry>)>,
    /// The leader's checksum differs from ours: take its next snapshot.
    pub suspect: bool,
    /// Nobody has led this partition or asked for votes since we started.
    pub unled_since_start: bool,
    /// How a replica that does not vote finds its state again.
    pub catch_up: CatchUp,
}

/// What a voter does in a partition.
pub enum Role {
    /// It accepts what the leader sends.
    Follower {
        /// When a leader was last heard, or when this role began.
        last_heard: Tick,
        /// The leader, if one is known.
        leader: Option<KnownLeader>,
    },
    /// It asks whether it would be voted for; that changes nothing anywhere.
    PreVoting {
        /// The term for which it would stand.
        term: Term,
        /// Which voters would vote for it, by slot.
        granted: Vec<bool>,
        /// When it gives up.
        until: Tick,
    },
    /// It stands for election.
    Candidate(Candidacy),
    /// It leads.
    Leader(Box<Leader>),
}

/// The leader that a follower hears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLeader {
    /// Its voter slot.
    pub slot: VoterSlot,
    /// The term in which it leads.
    pub term: Term,
}

/// Another voter, from which a message came, in the group as this one sees it.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// The receiver's place among the voters.
    pub group: VoterGroup,
    /// The sender's slot.
    pub slot: VoterSlot,
}

/// A write that is on its way to the disk, and what rests on it.
pub struct Write {
    /// Its number; the disk reports writes by it, in order.
    pub token: u64,
    /// When it was asked for.
    pub at: Tick,
    /// What is done once it is synced.
    pub after: Vec<AfterWrite>,
}

/// What is done once a write is synced.
pub enum AfterWrite {
    /// Sends a message that rests on it.
    Send(VoterSlot, Message),
    /// Our own replica holds this revision of our term.
    OwnAppendSynced {
        /// Our term.
        term: Term,
        /// The revision that is synced.
        revision: u64,
    },
    /// Our own vote in an election stands.
    OwnVoteSynced {
        /// The term for which we stand.
        term: Term,
    },
    /// The replica votes from here on.
    StartVoting,
}

/// An election on the way: votes are gathered, then the newest replica is fetched.
pub struct Candidacy {
    /// The term for which we stand.
    pub term: Term,
    /// How new the replica of each voter that granted its vote is, by slot.
    pub grants: Vec<Option<Position>>,
    /// The voter whose newer replica is being fetched.
    pub fetching_from: Option<VoterSlot>,
    /// When the election is given up.
    pub until: Tick,
}

/// How a replica that does not vote finds its state again.
#[derive(Default)]
pub struct CatchUp {
    /// Names the present round: only answers that repeat it count.
    pub nonce: u64,
    /// Rounds that all others answered without an outcome (count).
    pub rounds: u64,
    /// An operator has said that what the others lost is lost for good.
    pub is_forced: bool,
    /// When the others are asked again.
    pub ask_at: Tick,
    /// What the other voters answered in this round, by slot.
    pub statuses: Vec<Option<ReplicaStatus>>,
    /// The voter whose replica is being fetched.
    pub fetching_from: Option<VoterSlot>,
}

/// How another voter says its replica stands.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaStatus {
    /// Whether it votes.
    pub condition: ReplicaCondition,
    /// The highest term that it voted for or accepted.
    pub current_term: Term,
    /// The term under which it was last written.
    pub written_term: Term,
    /// The revision that it has reached.
    pub revision: u64,
}

impl ReplicaStatus {
    /// How new the replica there is.
    pub fn position(&self) -> Position {
        Position { term: self.written_term, revision: self.revision }
    }
}

impl Partition {
    /// A partition as found on disk at a start. `log_bytes` is the length of its log.
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
            suspect: false,
            unled_since_start: true,
            catch_up: CatchUp::default(),
        }
    }

    /// Whether this replica may vote and accept.
    pub fn can_vote(&self) -> bool {
        self.condition == ReplicaCondition::Voting && self.disk_failure.is_none()
    }

    /// The leader's state, if this voter leads the partition.
    pub fn leader(&self) -> Option<&Leader> {
        match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }

    /// The leader's state to change, if this voter leads the partition.
    pub fn leader_mut(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        }
    }
}
