//! The messages between our processes. Each may be lost, doubled or late; every sender
//! copes with that.

use nanoserde::{DeBin, SerBin};

use crate::config::stored::Entry;
use crate::identifiers::{PartitionId, Term, VoterSlot};
use crate::protocol::membership::{
    Attestation, Member, MemberProgress, Membership, MembershipId, Memberships,
};
use crate::protocol::operation::{Operation, OperationResult};
use crate::protocol::peer::PeerIdentity;
use crate::protocol::replica::{EntryMap, HandedOverReplica, ReplicaCondition};
use crate::rollout::evidence::TrialEvidence;
use crate::snapshot::leafs::LeafInfo;
use crate::voter_set::{SlotHolder, VoterSet};

/// What a leaf said of itself to one of us.
#[derive(Clone, Debug, PartialEq, Default, DeBin, SerBin)]
pub struct LeafReport {
    /// Its identity.
    pub leaf: String,
    /// It is leaving and takes no new work.
    pub leaving: bool,
    /// Somebody else answers at its address: this identity is gone.
    pub gone: bool,
    /// It is at least this old (ms).
    pub age_ms: u64,
}

/// How far somebody is in the feed of a partition.
#[derive(Clone, Copy, Debug, PartialEq, DeBin, SerBin)]
pub struct FeedPosition {
    /// The partition, or `MEMBERSHIP_FEED` for the membership.
    pub partition: PartitionId,
    /// The newest revision that is held.
    pub revision: u64,
}

/// A message. `stamp` is that of the sender's voter set; a message with one counts only
/// if the receiver's voter set has the same.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum Message {
    /// The first message on a connection. `fleet` is a hash of the cluster's name: an
    /// address may be reused by another cluster, whose messages must not be taken.
    Hello { who: PeerIdentity, fleet: u64 },

    // ---- voter slots ----
    /// The voter set, and the replica id of who sends it: first on each connection to a
    /// controller, and whenever it changes.
    VoterSetUpdate { replica_id: u64, voter_set: VoterSet },
    /// A voter lives; sent where nothing else shows it.
    VoterAlive { stamp: u64 },
    /// A controller without a voter slot asks which one it could have.
    JoinRequest { replica_id: u64, addr: String, zone: String, stamp: u64 },
    /// The slots that a voter would give to who asked.
    JoinOffer { slot: VoterSlot, stamp: u64, free: Vec<VoterSlot> },
    /// A controller takes over a slot that a majority offered to it.
    SlotTakeover { slot: VoterSlot, holder: SlotHolder },

    // ---- handovers of voter slots, by controllers that stop ----
    /// A voter that leaves offers its slot to a spare, which would hold it in this
    /// generation.
    HandoverOffer { slot: VoterSlot, generation: u32 },
    /// The spare is ready to hold the slot.
    HandoverAccept { slot: VoterSlot, holder: SlotHolder },
    /// The voter set in which the receiver holds the slot, with all that the sender's
    /// replicas hold. The sender votes no more.
    Handover {
        slot: VoterSlot,
        generation: u32,
        voter_set: VoterSet,
        replicas: Vec<HandedOverReplica>,
        memberships: Memberships,
    },
    /// The receiver of a handover has written it, and votes.
    HandoverDone { slot: VoterSlot, generation: u32 },
    /// The leader of a partition steps down in favour of the receiver, which is to ask
    /// for votes at once.
    LeadershipTransfer { partition: PartitionId, term: Term },

    // ---- replication of a partition, between voters ----
    /// A replica that has nothing asks for the others' status.
    StatusRequest { partition: PartitionId, nonce: u64 },
    /// What a replica holds, and whether it votes.
    ReplicaStatus {
        partition: PartitionId,
        nonce: u64,
        condition: ReplicaCondition,
        current_term: Term,
        written_term: Term,
        revision: u64,
        stamp: u64,
    },
    /// A candidate or a replica that catches up asks for the receiver's state.
    FetchReplica { partition: PartitionId, nonce: u64 },
    /// The state that was asked for.
    ReplicaFetched {
        partition: PartitionId,
        nonce: u64,
        current_term: Term,
        written_term: Term,
        revision: u64,
        entries: EntryMap,
    },
    /// Would the receiver vote for the sender? Changes nothing.
    PreVoteRequest { partition: PartitionId, term: Term },
    /// Whether it would, and its own term.
    PreVoteResponse { partition: PartitionId, term: Term, granted: bool, current_term: Term },
    /// A candidate asks for a vote.
    VoteRequest { partition: PartitionId, term: Term },
    /// A vote, with the position of the voter's replica.
    VoteGranted {
        partition: PartitionId,
        term: Term,
        written_term: Term,
        revision: u64,
        stamp: u64,
    },
    /// Rejected, because the sender has voted in this higher term.
    VoteRejected { partition: PartitionId, term: Term, current_term: Term },
    /// The whole state of the leader's replica.
    Snapshot { partition: PartitionId, term: Term, revision: u64, entries: EntryMap },
    /// One change.
    Append { partition: PartitionId, term: Term, revision: u64, entries: Vec<Entry> },
    /// Synced up to this revision.
    AppendAck { partition: PartitionId, term: Term, revision: u64, stamp: u64 },
    /// The follower can't follow the changes and needs a snapshot.
    SnapshotRequest { partition: PartitionId, term: Term },
    /// The leader lives; all up to `committed` is committed. `checksum` is that of the
    /// state at that revision, zero if it is not compared this time.
    Heartbeat { partition: PartitionId, term: Term, round: u64, committed: u64, checksum: u64 },
    /// The answer to a heartbeat: the follower's revision in memory, and the one that is
    /// synced (zero: nothing of this term).
    HeartbeatAck {
        partition: PartitionId,
        term: Term,
        round: u64,
        revision: u64,
        synced: u64,
        stamp: u64,
    },

    // ---- the feed ----
    /// How far the subscriber is in each partition; also asks for what is newer.
    Subscribe { positions: Vec<FeedPosition>, stamp: u64 },
    /// Committed changes. `from` is the revision that they continue; a snapshot has none.
    Update { partition: PartitionId, from: Option<u64>, revision: u64, entries: Vec<Entry> },
    /// How far a voter has accepted each partition of which it can say so.
    FeedPositions { positions: Vec<FeedPosition>, stamp: u64 },

    // ---- members ----
    /// A member renews its lease; `number` counts its renewals.
    RenewLease { member: Member, number: u64, progress: MemberProgress },
    /// A lease was granted to the process of this incarnation. `revision` is the
    /// configuration's at that time; only a member that obeys it may act on the grant.
    /// With `wants_membership` the leader doesn't know the membership that the member
    /// goes by, and asks to be sent it.
    LeaseGranted {
        name: String,
        incarnation: u64,
        number: u64,
        term: Term,
        revision: u64,
        wants_membership: bool,
    },
    /// A membership: sent to members, and by a member to a leader that asked.
    MembershipUpdate(Membership),

    // ---- memberships, from the configuration's leader to the other voters ----
    /// A new membership, which is sent to members once a majority holds it, or
    /// (`confirmed`) one that a majority holds. `older` are those that some member may
    /// still go by.
    ReplicateMembership { term: Term, current: Membership, confirmed: bool, older: Vec<Membership> },
    /// A voter holds that membership.
    MembershipReplicated { term: Term, id: MembershipId, settled: u64, confirmed: bool, stamp: u64 },
    /// A new leader asks which memberships there are. Whoever answers takes none from
    /// former leaders any more.
    FetchMembership { term: Term },
    /// The membership that a voter holds, and those (`others`) that some member may go by
    /// beside or instead of it.
    MembershipFetched { term: Term, current: Membership, others: Vec<Membership>, stamp: u64 },

    /// Between members: how long ago the sender heard a controller, and what it holds.
    /// `asked` is the sender's time, which the answer gives back as `echo`: only an echo
    /// proves that we are heard now. `attestation` stands in answers of a member that
    /// hears no controller itself.
    Gossip {
        name: String,
        controller_contact_age_ms: u64,
        ready: bool,
        positions: Vec<FeedPosition>,
        asked: Option<u64>,
        echo: Option<u64>,
        attestation: Option<Attestation>,
    },

    // ---- leafs ----
    /// The platform's list for one partition, from the member that polls it.
    LeafList { partition: PartitionId, fencing_token: MembershipId, leafs: Vec<LeafInfo> },
    /// What leafs said of themselves, all of one partition.
    LeafReports { partition: PartitionId, reports: Vec<LeafReport> },

    // ---- operators' requests, forwarded to the leader of the configuration ----
    /// `attempt` is drawn anew for each forwarding; `term` is that of the leader that it
    /// is meant for, zero where the receiver is to find one.
    OperationRequest {
        op: u64,
        attempt: u64,
        term: Term,
        request: String,
        expected_revision: Option<u64>,
        operation: Operation,
    },
    /// What came of it.
    OperationResponse { op: u64, attempt: u64, result: OperationResult },

    // ---- leafs, continued: later variants stand last, for the formats' sake ----
    /// The process of this incarnation polls the platform's list with this rank, in place of
    /// members that are silent; beside each grant, as long as it is so.
    SubstituteListPoller { name: String, incarnation: u64, rank: u32 },
    /// What the process of this incarnation has seen of versions that are tried, since each
    /// trial began: with its renewals, to the leader of the configuration.
    RolloutVote { name: String, incarnation: u64, evidence: Vec<TrialEvidence> },
}
