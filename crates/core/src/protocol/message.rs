//! The messages. Each may be lost, doubled or late; the owners cope.

use std::collections::BTreeMap;

use nanoserde::{DeBin, SerBin};

use crate::config::stored::Entry;
use crate::identifiers::{PartitionId, Term, VoterSlot};
use crate::snapshot::leafs::LeafInfo;
use crate::voter_set::{SlotHolder, VoterSet};

/// Who opened a connection. Sent first on each.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum PeerIdentity {
    /// A seat's holder; what it says counts only where the table names it so.
    Voter { slot: VoterSlot, holder: u64 },
    /// A controller that has no seat.
    Spare { holder: u64 },
    /// A member by name.
    Member(String),
}

/// The stored contents of a part.
pub type EntryMap = BTreeMap<String, Vec<u8>>;

/// How a replica stands to a part.
#[derive(Clone, Copy, Debug, PartialEq, DeBin, SerBin)]
pub enum ReplicaCondition {
    /// Nothing on disk: a first boot or an empty replacement.
    Empty,
    /// Something on disk that can't be trusted.
    Damaged,
    Voting,
}

/// A member as the membership knows it.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub struct Member {
    pub name: String,
    /// Where its membership reaches it.
    pub addr: String,
    pub zone: String,
    /// Traffic threads; each has its own share.
    pub threads: u32,
    /// Turn of the membership in which it joined.
    pub joined: u64,
    /// Drawn when its process started: a restarted process is another one, which
    /// knows nothing of what the former knew.
    pub incarnation: u64,
}

/// Names one membership among all that were ever issued. Ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, DeBin, SerBin)]
pub struct MembershipId {
    /// Term of the leader that issued it.
    pub term: Term,
    pub turn: u64,
}

/// A state of the membership. Ordered by (`term`, `turn`, `settled`), never
/// backwards.
#[derive(Clone, Debug, PartialEq, Default, DeBin, SerBin)]
pub struct Membership {
    /// Epoch of the configuration's owner that says so: the fence.
    pub term: Term,
    pub turn: u64,
    /// Every live member has seen the membership at this turn or later. A member
    /// has a share only once the turn in which it joined is settled.
    pub settled: u64,
    /// The configuration's committed revision when this was issued: who goes by
    /// this membership knows that there is no older one to obey.
    pub revision: u64,
    pub members: Vec<Member>,
}

/// What a leaf said of itself to one of us.
#[derive(Clone, Debug, PartialEq, Default, DeBin, SerBin)]
pub struct LeafReport {
    pub leaf: String,
    pub leaving: bool,
    /// Somebody else answers at its address: this identity is gone.
    pub gone: bool,
    /// It is at least this old.
    pub age_ms: u64,
}

/// How far a member is, told with each renewal.
#[derive(Clone, Debug, PartialEq, Default, DeBin, SerBin)]
pub struct MemberProgress {
    /// Configuration revision that it obeys.
    pub obeys: u64,
    /// The membership that it has seen.
    pub saw: MembershipId,
    /// The newest configuration revision that it knows to exist.
    pub knows: u64,
    /// Time since it last attested, or since its start if it never did (ms).
    pub quiet_ms: u64,
    pub ready: bool,
    pub leaving: bool,
}

/// What a member attests when it is asked while it lacks the core's word: that
/// it goes by this membership and knows of no newer configuration than this.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub struct Attestation {
    pub membership: MembershipId,
    pub knows: u64,
    /// For each member, in the membership's order: how old the newest such proof
    /// is that the sender has about it (ms); `NO_PROOF` if it has none.
    pub ages: Vec<u16>,
}

/// In place of an age in an `Attestation`.
pub const NO_PROOF: u16 = u16::MAX;

/// A place in a part's feed.
#[derive(Clone, Copy, Debug, PartialEq, DeBin, SerBin)]
pub struct FeedPosition {
    pub partition: PartitionId,
    pub revision: u64,
}

/// What an operator's request asks.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum Operation {
    Replace(Vec<u8>),
    Patch(Vec<u8>),
    Read,
    /// The members with their progress; the seat adds what it knows itself.
    Status,
    /// This member is down for good: count it no longer.
    ForgetMember(String),
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum OperationResult {
    Accepted {
        revision: u64,
        copies: u32,
        again: bool,
    },
    Configuration {
        revision: u64,
        map: EntryMap,
    },
    Status {
        membership: Membership,
        far: Vec<(String, u64, MemberProgress)>,
    },
    Invalid(Vec<(String, String)>),
    Conflict {
        revision: u64,
    },
    Rejected {
        why: String,
    },
    Unknown {
        why: String,
    },
    /// It builds on a state so old that its acceptance may be forgotten: on one
    /// up to this revision or edition. Asking again changes nothing.
    Forgotten {
        revision: u64,
        edition: u64,
    },
}

/// What one replica of a partition holds.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub struct HandedOverReplica {
    pub partition: PartitionId,
    /// The highest term that it voted for or obeyed.
    pub current_term: Term,
    /// Term under which `map` was last written.
    pub written_term: Term,
    pub revision: u64,
    pub entries: EntryMap,
}

/// The memberships that a voter knows.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct Memberships {
    /// The one that members are told.
    pub current: Membership,
    /// Those that some member may go by beside or instead of it.
    pub others: Vec<Membership>,
}

#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum Message {
    /// `fleet` is a hash of its name: an address may be reused by another
    /// fleet, and its words must not be taken for ours.
    Hello {
        who: PeerIdentity,
        fleet: u64,
    },

    // ---- seats ----
    /// The table of the seats, and who tells it: first on each connection that
    /// somebody opened to a controller, and whenever it changes.
    VoterSetUpdate {
        me: u64,
        table: VoterSet,
    },
    /// A seat lives; said where nothing else shows it.
    VoterAlive {
        stamp: u64,
    },
    /// Which seat would you give me?
    JoinRequest {
        holder: u64,
        addr: String,
        zone: String,
        stamp: u64,
    },
    JoinOffer {
        slot: VoterSlot,
        stamp: u64,
        free: Vec<VoterSlot>,
    },
    /// Give me this one.
    SlotTakeover {
        slot: VoterSlot,
        holding: SlotHolder,
    },

    // ---- handovers of voter slots, by controllers that stop ----
    /// A voter that leaves offers its slot to a spare, which would hold it in this
    /// generation.
    HandoverOffer {
        slot: VoterSlot,
        generation: u32,
    },
    HandoverAccept {
        slot: VoterSlot,
        holding: SlotHolder,
    },
    /// The voter set in which the receiver holds the slot, with all that the
    /// sender's replicas hold. The sender votes no more.
    Handover {
        slot: VoterSlot,
        generation: u32,
        table: VoterSet,
        replicas: Vec<HandedOverReplica>,
        memberships: Memberships,
    },
    /// The receiver has written it, and votes.
    HandoverDone {
        slot: VoterSlot,
        generation: u32,
    },
    /// The leader of a partition steps down in favour of the receiver, which is
    /// to ask for votes at once.
    LeadershipTransfer {
        partition: PartitionId,
        term: Term,
    },

    // ---- replica groups, between seats; `stamp` is that of the sender's table,
    // and the message counts only under equal ones ----
    /// How do you stand? Asked by replicas that have nothing.
    StatusRequest {
        partition: PartitionId,
        nonce: u64,
    },
    ReplicaStatus {
        partition: PartitionId,
        nonce: u64,
        condition: ReplicaCondition,
        current_term: Term,
        written_term: Term,
        revision: u64,
        stamp: u64,
    },
    FetchReplica {
        partition: PartitionId,
        nonce: u64,
    },
    ReplicaFetched {
        partition: PartitionId,
        nonce: u64,
        current_term: Term,
        written_term: Term,
        revision: u64,
        entries: EntryMap,
    },
    /// Would you grant a claim? Changes nothing.
    PreVoteRequest {
        partition: PartitionId,
        term: Term,
    },
    PreVoteResponse {
        partition: PartitionId,
        term: Term,
        granted: bool,
        current_term: Term,
    },
    VoteRequest {
        partition: PartitionId,
        term: Term,
    },
    VoteGranted {
        partition: PartitionId,
        term: Term,
        written_term: Term,
        revision: u64,
        stamp: u64,
    },
    /// Refused, because this higher term was promised.
    VoteRejected {
        partition: PartitionId,
        term: Term,
        current_term: Term,
    },
    Snapshot {
        partition: PartitionId,
        term: Term,
        revision: u64,
        entries: EntryMap,
    },
    Append {
        partition: PartitionId,
        term: Term,
        revision: u64,
        entries: Vec<Entry>,
    },
    /// Synced up to here.
    AppendAck {
        partition: PartitionId,
        term: Term,
        revision: u64,
        stamp: u64,
    },
    /// Can't follow: send the whole.
    SnapshotRequest {
        partition: PartitionId,
        term: Term,
    },
    Heartbeat {
        partition: PartitionId,
        term: Term,
        round: u64,
        committed: u64,
        checksum: u64,
    },
    HeartbeatAck {
        partition: PartitionId,
        term: Term,
        round: u64,
        revision: u64,
        /// Synced up to here; zero: nothing of this term.
        synced: u64,
        stamp: u64,
    },

    // ---- the feed ----
    /// Where the follower stands in each part; also asks for what is newer.
    /// `stamp` is that of its table of the seats.
    Subscribe {
        places: Vec<FeedPosition>,
        stamp: u64,
    },
    /// `from` is the place it continues; a snapshot has none.
    Update {
        partition: PartitionId,
        from: Option<u64>,
        revision: u64,
        entries: Vec<Entry>,
    },
    /// How far a seat has accepted each part of which it can say so.
    FeedPositions {
        places: Vec<FeedPosition>,
        stamp: u64,
    },

    // ---- members ----
    RenewLease {
        member: Member,
        count: u64,
        far: MemberProgress,
    },
    /// Granted; `revision` is the configuration's revision at that time. Only a
    /// member that obeys it may act on the grant.
    LeaseGranted {
        name: String,
        /// The process that asked: a grant is not for its successor.
        incarnation: u64,
        count: u64,
        term: Term,
        revision: u64,
        /// The leader does not know the membership that the member goes by, and
        /// asks to be told.
        tell_membership: bool,
    },
    /// A membership: told to members, and by a member to a leader that asked.
    MembershipUpdate(Membership),

    // ---- memberships, from the configuration's leader to the other voters ----
    /// A new membership, which members are told once a majority holds it, or
    /// (`confirmed`) one that a majority holds. `older` are those that some
    /// member may still go by.
    ReplicateMembership {
        term: Term,
        current: Membership,
        confirmed: bool,
        older: Vec<Membership>,
    },
    MembershipReplicated {
        term: Term,
        id: MembershipId,
        settled: u64,
        confirmed: bool,
        stamp: u64,
    },
    /// A new leader asks which memberships there are. Whoever answers takes none
    /// from former leaders any more.
    FetchMembership {
        term: Term,
    },
    MembershipFetched {
        term: Term,
        current: Membership,
        /// Those that some member may go by beside or instead of `current`.
        others: Vec<Membership>,
        stamp: u64,
    },

    /// Between membership members: how old the sender's word from the core is,
    /// and what it holds. `asked` is the sender's time, which the answer
    /// gives back as `echo`: only an echo proves that we are heard now.
    Gossip {
        name: String,
        core_age_ms: u64,
        ready: bool,
        places: Vec<FeedPosition>,
        asked: Option<u64>,
        echo: Option<u64>,
        /// In answers of a member that lacks the core's word itself.
        attestation: Option<Attestation>,
    },

    // ---- leafs ----
    /// The platform's list for one part, from the holder of that duty.
    LeafList {
        partition: PartitionId,
        fence: MembershipId,
        leafs: Vec<LeafInfo>,
    },
    /// First-hand words of leafs about themselves, all of one part.
    LeafReports {
        partition: PartitionId,
        words: Vec<LeafReport>,
    },

    // ---- operators' requests handed over to the owner ----
    /// `attempt` is drawn anew for each handing over; `term` is that of the leader
    /// that it is meant for, zero where the receiver is to find one.
    OperationRequest {
        op: u64,
        attempt: u64,
        term: Term,
        request: String,
        expect: Option<u64>,
        deed: Operation,
    },
    OperationResponse {
        op: u64,
        attempt: u64,
        done: OperationResult,
    },
}
