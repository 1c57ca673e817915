//! The messages between the processes of a cluster. Each may be lost, duplicated or delayed;
//! every sender must tolerate that.

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

/// The state of a leaf, as observed by a member that sends requests to it.
#[derive(Clone, Debug, PartialEq, Default, DeBin, SerBin)]
pub struct LeafReport {
    /// The identity of the leaf.
    pub leaf: String,
    /// Whether the leaf is draining and accepts no new requests.
    pub leaving: bool,
    /// Whether another identity responds at the leaf's address, so that this one no longer
    /// exists.
    pub gone: bool,
    /// Minimum age of the leaf (ms).
    pub age_ms: u64,
}

/// A subscriber's or a voter's position in the feed of a partition.
#[derive(Clone, Copy, Debug, PartialEq, DeBin, SerBin)]
pub struct FeedPosition {
    /// The partition, or `MEMBERSHIP_FEED` for the membership.
    pub partition: PartitionId,
    /// The newest revision that it has.
    pub revision: u64,
}

/// A message between processes. `stamp` identifies the sender's voter set; a message with a
/// stamp is ignored unless the receiver's voter set has the same one.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub enum Message {
    /// The first message on a connection. `cluster_hash` is the hash of the cluster's name: an
    /// address may be reused by another cluster, whose messages must be rejected.
    Hello { who: PeerIdentity, cluster_hash: u64 },

    // ---- voter slots ----
    /// The voter set, and the replica id of the sender. Sent first on each connection to a
    /// controller, and whenever the voter set changes.
    VoterSetUpdate { replica_id: u64, voter_set: VoterSet },
    /// Shows that a voter is running. Sent where no other message shows it.
    VoterAlive { stamp: u64 },
    /// A controller without a voter slot requests one.
    JoinRequest { replica_id: u64, addr: String, zone: String, stamp: u64 },
    /// The slots that a voter would grant to the controller that sent a `JoinRequest`.
    JoinOffer { slot: VoterSlot, stamp: u64, free: Vec<VoterSlot> },
    /// A controller takes over a slot that a majority of the voters offered to it.
    SlotTakeover { slot: VoterSlot, holder: SlotHolder },

    // ---- handovers of voter slots by controllers that shut down ----
    /// A voter that shuts down offers its slot to a spare controller, which would hold the slot
    /// in this generation.
    HandoverOffer { slot: VoterSlot, generation: u32 },
    /// The spare controller accepts the slot.
    HandoverAccept { slot: VoterSlot, holder: SlotHolder },
    /// The voter set in which the receiver holds the slot, with the state of the sender's
    /// replicas. The sender no longer votes.
    Handover {
        slot: VoterSlot,
        generation: u32,
        voter_set: VoterSet,
        replicas: Vec<HandedOverReplica>,
        memberships: Memberships,
    },
    /// The receiver of a handover has written it to disk, and votes.
    HandoverDone { slot: VoterSlot, generation: u32 },
    /// The leader of a partition transfers its leadership to the receiver, which requests votes
    /// at once (`TimeoutNow` in Raft).
    LeadershipTransfer { partition: PartitionId, term: Term },

    // ---- replication of a partition, between voters ----
    /// A replica that recovers its state requests the status of the others.
    StatusRequest { partition: PartitionId, nonce: u64 },
    /// The last written position of a replica, and whether it votes.
    ReplicaStatus {
        partition: PartitionId,
        nonce: u64,
        condition: ReplicaCondition,
        current_term: Term,
        written_term: Term,
        revision: u64,
        stamp: u64,
    },
    /// A candidate, or a replica that recovers its state, requests the receiver's state.
    FetchReplica { partition: PartitionId, nonce: u64 },
    /// The requested state.
    ReplicaFetched {
        partition: PartitionId,
        nonce: u64,
        current_term: Term,
        written_term: Term,
        revision: u64,
        entries: EntryMap,
    },
    /// Asks whether the receiver would grant its vote to the sender. Changes no state.
    PreVoteRequest { partition: PartitionId, term: Term },
    /// Whether the pre-vote is granted, and the receiver's current term.
    PreVoteResponse { partition: PartitionId, term: Term, granted: bool, current_term: Term },
    /// A candidate requests a vote.
    VoteRequest { partition: PartitionId, term: Term },
    /// A granted vote, with the last written position of the voter's replica.
    VoteGranted {
        partition: PartitionId,
        term: Term,
        written_term: Term,
        revision: u64,
        stamp: u64,
    },
    /// Rejects a vote request or a leader's message, because the sender has voted in a higher
    /// term.
    VoteRejected { partition: PartitionId, term: Term, current_term: Term },
    /// The complete state of the leader's replica.
    Snapshot { partition: PartitionId, term: Term, revision: u64, entries: EntryMap },
    /// One change of the leader (`AppendEntries` in the Raft paper).
    Append { partition: PartitionId, term: Term, revision: u64, entries: Vec<Entry> },
    /// The follower has synced all changes up to this revision.
    AppendAck { partition: PartitionId, term: Term, revision: u64, stamp: u64 },
    /// The follower can't apply the leader's changes and needs a snapshot.
    SnapshotRequest { partition: PartitionId, term: Term },
    /// Shows that the leader is running, and that all changes up to `committed` are committed.
    /// `checksum` is that of the state at that revision, or zero if this round compares none.
    Heartbeat { partition: PartitionId, term: Term, round: u64, committed: u64, checksum: u64 },
    /// Acknowledges a heartbeat, with the follower's newest revision in memory and the newest one
    /// that is synced; zero if it has none of this term.
    HeartbeatAck {
        partition: PartitionId,
        term: Term,
        round: u64,
        revision: u64,
        synced: u64,
        stamp: u64,
    },

    // ---- the feed ----
    /// The subscriber's position in each partition. Requests the changes after these.
    Subscribe { positions: Vec<FeedPosition>, stamp: u64 },
    /// Committed changes. `from` is the revision that they follow; a snapshot has none.
    Update { partition: PartitionId, from: Option<u64>, revision: u64, entries: Vec<Entry> },
    /// The position of a voter in each partition for which it knows one.
    FeedPositions { positions: Vec<FeedPosition>, stamp: u64 },

    // ---- members ----
    /// A member renews its lease; `number` counts its renewals.
    RenewLease { member: Member, number: u64, progress: MemberProgress },
    /// Grants a lease to the process of this incarnation. `revision` is the configuration's
    /// revision at that time; only a member that has applied it may use the lease.
    /// `wants_membership` asks the member to send the membership that it uses, because the leader
    /// doesn't know it.
    LeaseGranted {
        name: String,
        incarnation: u64,
        number: u64,
        term: Term,
        revision: u64,
        wants_membership: bool,
    },
    /// A membership: sent to members, and by a member to a leader that requested it.
    MembershipUpdate(Membership),

    // ---- replication of memberships from the configuration's leader to the other voters ----
    /// A new membership, which is sent to members once a majority of the voters holds it, or
    /// (`confirmed`) one that a majority holds. `older` lists the memberships that some members
    /// may still use.
    ReplicateMembership { term: Term, current: Membership, confirmed: bool, older: Vec<Membership> },
    /// Acknowledges that a voter holds a membership.
    MembershipReplicated { term: Term, id: MembershipId, settled: u64, confirmed: bool, stamp: u64 },
    /// A new leader requests the memberships that a voter holds. A voter that responds accepts no
    /// more memberships from former leaders.
    FetchMembership { term: Term },
    /// The membership that a voter holds, and the memberships (`others`) that some members may
    /// use beside or instead of it.
    MembershipFetched { term: Term, current: Membership, others: Vec<Membership>, stamp: u64 },

    /// Sent between members: how long ago the sender heard from a controller, and its positions in
    /// the feed. `request_sent_at` is the sender's time, which the response returns as
    /// `echoed_sent_at`: only this proves that the other member receives messages now.
    /// `attestation` is set in responses of a member that has no contact to a controller itself.
    Gossip {
        name: String,
        controller_contact_age_ms: u64,
        ready: bool,
        positions: Vec<FeedPosition>,
        request_sent_at: Option<u64>,
        echoed_sent_at: Option<u64>,
        attestation: Option<Attestation>,
    },

    // ---- leafs ----
    /// The platform's list of leafs for one partition, from the member that polls it.
    LeafList { partition: PartitionId, fencing_token: MembershipId, leafs: Vec<LeafInfo> },
    /// The states that leafs of one partition reported.
    LeafReports { partition: PartitionId, reports: Vec<LeafReport> },

    // ---- operator requests, forwarded to the leader of the configuration ----
    /// Forwards an operation. `attempt` is a random number drawn for each attempt; `term` is that
    /// of the leader that the operation is addressed to, or zero if the receiver is to find the
    /// leader.
    OperationRequest {
        op: u64,
        attempt: u64,
        term: Term,
        request: String,
        expected_revision: Option<u64>,
        operation: Operation,
    },
    /// The result of a forwarded operation.
    OperationResponse { op: u64, attempt: u64, result: OperationResult },

    // ---- later variants, placed last so that the numbers of the others stay the same ----
    /// Assigns the process of this incarnation to poll the platform's list with this rank, in
    /// place of members that don't respond. Sent with each lease grant while that holds.
    SubstituteListPoller { name: String, incarnation: u64, rank: u32 },
    /// The observations of the process of this incarnation about the versions under trial, since
    /// each trial began. Sent with its lease renewals to the leader of the configuration.
    RolloutVote { name: String, incarnation: u64, evidence: Vec<TrialEvidence> },
}
