//! One part of the state at one seat, and the roles a seat plays in it.

use std::collections::{BTreeMap, VecDeque};

use crate::config::stored::Entry;
use crate::identifiers::{PartitionId, Position, Term, VoterSlot};
use crate::protocol::message::{EntryMap, MembershipId, Message, ReplicaCondition};
use crate::replication::pending_operations::PendingOperation;
use crate::storage::record::ReplicaState;
use crate::time::Tick;
use crate::voter_set::VoterGroup;

/// A part at this seat.
///
/// Invariants: `copy` is what the disk holds once every write in `writes` is
/// done, and no message that rests on a write leaves before that write is
/// synced; while `life` is not `Formed` the seat neither votes nor accepts;
/// `committed` is the committed state at `committed_revision` and never goes back.
pub struct Partition {
    pub id: PartitionId,
    pub condition: ReplicaCondition,
    pub state: ReplicaState,
    pub role: Role,
    pub writes: VecDeque<Write>,
    /// When a write was last synced.
    pub synced_at: Tick,
    pub next_token: u64,
    /// Bytes that went to the log since the last slot.
    pub log_bytes: u64,
    /// Why this seat has stepped back, if it has.
    pub disk_failure: Option<String>,
    /// When a stepped-back seat tries its disk again.
    pub disk_retry_at: Tick,
    pub committed: EntryMap,
    pub committed_revision: u64,
    /// A whole copy that is not known to be committed yet: (revision, map).
    pub uncommitted_snapshot: Option<(u64, EntryMap)>,
    /// Changes without a gap up to `copy.revision`, from `seed` on if there is one;
    /// those up to `committed_revision` are committed and kept for followers.
    pub changes: VecDeque<(u64, Vec<Entry>)>,
    /// The leader's sum differs from ours: take its next whole copy.
    pub suspect: bool,
    /// Nobody has owned or claimed this part since we started.
    pub unled_since_start: bool,
    pub catch_up: CatchUp,
}

/// A write that is on its way to the disk, and what rests on it.
pub struct Write {
    pub token: u64,
    pub at: Tick,
    pub after: Vec<AfterWrite>,
}

/// What is done once a write is synced.
pub enum AfterWrite {
    Send(VoterSlot, Message),
    /// Our own copy holds this revision of our term.
    OwnAppendSynced {
        term: Term,
        revision: u64,
    },
    /// Our own promise for an election stands.
    OwnVoteSynced {
        term: Term,
    },
    StartVoting,
}

/// What a seat does in a part.
pub enum Role {
    Follower {
        last_heard: Tick,
        leader: Option<KnownLeader>,
    },
    /// Asks whether it would be voted for; changes nothing anywhere.
    PreVoting {
        term: Term,
        granted: Vec<bool>,
        until: Tick,
    },
    Candidate(Candidacy),
    Leader(Box<Leader>),
}

/// The leader that a follower hears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLeader {
    pub slot: VoterSlot,
    pub term: Term,
}

/// Another voter, from which a message came, in the group as this one sees it.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    pub group: VoterGroup,
    pub slot: VoterSlot,
}

/// An election on the way: votes are gathered, then the newest copy fetched.
pub struct Candidacy {
    pub term: Term,
    /// Where the copy of each seat that granted stands.
    pub grants: Vec<Option<Position>>,
    /// The seat whose newer copy is being fetched.
    pub fetching_from: Option<VoterSlot>,
    pub until: Tick,
}

/// The leader of a part.
///
/// Invariants: its copy was written under its own `term` before anything
/// else; `serves` only once a majority holds that; `done` is synced by a
/// majority and never falls.
pub struct Leader {
    pub term: Term,
    pub since: Tick,
    pub is_serving: bool,
    /// Highest revision of this term that each seat has synced.
    pub synced: Vec<Option<u64>>,
    pub committed: u64,
    /// Whether a whole copy is on its way to a seat, and since when.
    pub snapshot_sent_at: Vec<Option<Tick>>,
    pub round: u64,
    /// Rounds up to this one count no more: the seats have changed since.
    pub valid_after: u64,
    pub heartbeat_at: Tick,
    /// When the last round began.
    pub round_began_at: Tick,
    /// A wake was asked for, to begin a round that operations wait for.
    pub round_requested: bool,
    /// When the replicas' checksums are next compared.
    pub checksum_at: Tick,
    /// Rounds of heartbeats: number, begin, and our revision then.
    pub rounds: VecDeque<(u64, Tick, u64)>,
    /// The last round each seat answered, and when that round began.
    pub answered: Vec<(u64, Tick)>,
    /// Revision up to which the members' part in a change's acceptance is done
    /// (`state::acceptance`).
    pub obeyed_up_to: u64,
    /// When we next look at that.
    pub acceptance_check_at: Tick,
    /// Members that do not obey our newest revision yet, when an operator's patience ends.
    pub lagging_members: Vec<String>,
    pub waiting_changes: Vec<Waiting>,
    /// Operations whose answers wait until a majority has proved that we lead.
    pub pending: Vec<PendingOperation>,
    /// Status requests that are proved and wait for the membership's word.
    pub proved_status: Vec<OperationOrigin>,
    /// Leafs that the list no longer names, since when.
    pub absent_leafs: BTreeMap<String, Tick>,
    /// When we first saw each leaf, and how old it surely was then (ms): an
    /// identity is at least as old as our knowledge of it.
    pub first_seen: BTreeMap<String, (Tick, u64)>,
    /// When ages that grew by themselves are next written, all together.
    pub ages_at: Tick,
    /// Highest fence seen in a proposal of the list's duty.
    pub fence: MembershipId,
}

/// A change whose operator waits.
pub struct Waiting {
    pub revision: u64,
    pub op: OperationOrigin,
    pub again: bool,
    /// The heartbeat round that must be proved: of a change that was found to
    /// be made already, nobody was asked since its operator asked again. Zero
    /// for a new change, which a majority syncs.
    pub round: u64,
    /// Whether most members must obey it as well.
    pub until_obeyed: bool,
    pub done_at: Option<Tick>,
    pub until: Tick,
}

/// Where an operator's request came from.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct OperationOrigin {
    /// `None`: from this very process.
    pub slot: Option<VoterSlot>,
    pub op: u64,
    /// Which of the origin's attempts this is; given back with the answer.
    pub attempt: u64,
}

/// How a replica that has nothing finds its place again.
#[derive(Default)]
pub struct CatchUp {
    pub nonce: u64,
    pub rounds: u64,
    /// An operator vouches that what the others lost is lost for good.
    pub is_forced: bool,
    pub ask_at: Tick,
    pub statuses: Vec<Option<ReplicaStatus>>,
    pub fetching_from: Option<VoterSlot>,
}

/// How another seat says it stands.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaStatus {
    pub condition: ReplicaCondition,
    pub current_term: Term,
    pub written_term: Term,
    pub revision: u64,
}

impl ReplicaStatus {
    /// How new the copy there is.
    pub fn position(&self) -> Position {
        Position { term: self.written_term, revision: self.revision }
    }
}

/// A part as found on disk at a start.
pub fn partition(
    id: PartitionId,
    life: ReplicaCondition,
    copy: ReplicaState,
    log_len: u64,
    now: Tick,
) -> Partition {
    let seed = (copy.revision > 0).then(|| (copy.revision, copy.entries.clone()));
    Partition {
        id,
        condition: life,
        state: copy,
        role: Role::Follower { last_heard: now, leader: None },
        writes: VecDeque::new(),
        synced_at: now,
        next_token: 1,
        log_bytes: log_len,
        disk_failure: None,
        disk_retry_at: 0,
        committed: EntryMap::new(),
        committed_revision: 0,
        uncommitted_snapshot: seed,
        changes: VecDeque::new(),
        suspect: false,
        unled_since_start: true,
        catch_up: CatchUp::default(),
    }
}

/// Whether this seat may vote and accept.
pub fn able(p: &Partition) -> bool {
    p.condition == ReplicaCondition::Voting && p.disk_failure.is_none()
}

/// The leader's state if this seat owns the part.
pub fn leader(p: &mut Partition) -> Option<&mut Leader> {
    match &mut p.role {
        Role::Leader(o) => Some(o),
        _ => None,
    }
}
