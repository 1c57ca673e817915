//! The layouts of messages and of stored data, with fields in the order of their types, as
//! [`super::shape::check`] needs them.

use super::shape::Shape::{self, Bytes, Fields, List, Maybe, Number, Text, Variants};

const BOOL: Shape = Number(1);
const U8: Shape = Number(1);
const U16: Shape = Number(2);
const U32: Shape = Number(4);
const U64: Shape = Number(8);

/// The number of a partition.
const PARTITION: Shape = U32;
const TERM: Shape = U64;
const SLOT: Shape = U8;

/// The entries of a partition, as pairs of key and value.
const ENTRY_MAP: Shape = List(&Fields(&[Text, Bytes]));
/// The entries of a change: a new value for each key, or none to remove the key.
const ENTRIES: Shape = List(&Fields(&[Text, Maybe(&Bytes)]));

const SLOT_HOLDER: Shape = Fields(&[U32, U64, Text, Text]);
const VOTER_SET: Shape = List(&SLOT_HOLDER);
const PEER_IDENTITY: Shape = Variants(&[&[SLOT, U64], &[U64], &[Text]]);

const MEMBER: Shape = Fields(&[Text, Text, Text, U32, U64, U64]);
const MEMBERSHIP_ID: Shape = Fields(&[TERM, U64]);
const MEMBERSHIP: Shape = Fields(&[TERM, U64, U64, U64, List(&MEMBER)]);
const MEMBERSHIPS: Shape = Fields(&[MEMBERSHIP, List(&MEMBERSHIP)]);
const MEMBER_PROGRESS: Shape = Fields(&[U64, MEMBERSHIP_ID, U64, U64, BOOL, BOOL]);
const ATTESTATION: Shape = Fields(&[MEMBERSHIP_ID, U64, List(&U16)]);

const FEED_POSITIONS: Shape = List(&Fields(&[PARTITION, U64]));
const LEAF_REPORT: Shape = Fields(&[Text, BOOL, BOOL, U64]);
const LABELS: Shape = List(&Fields(&[Text, Text]));

/// A leaf in a message and in an entry of a partition.
pub const LEAF_INFO: Shape = Fields(&[Text, Text, Text, LABELS, BOOL, U64, U32, BOOL]);

const HANDED_OVER_REPLICA: Shape = Fields(&[PARTITION, TERM, TERM, U64, ENTRY_MAP]);
/// A variant without fields.
const EMPTY: &[Shape] = &[];
const CONDITION: Shape = Variants(&[EMPTY, EMPTY, EMPTY]);

/// An order to roll out another version of a service.
const ROLLOUT_ORDER: Shape = Fields(&[Text, Text, U64]);
/// The number of a `prost` enumeration's variant.
const ENUMERATION: Shape = Number(4);
const FORMER_ROLLOUT: Shape = Fields(&[Text, U64, ENUMERATION, ENUMERATION, U64]);
const ROLLOUT: Shape = Fields(&[
    Text,
    Text,
    U64,
    ENUMERATION,
    U64,
    U64,
    U64,
    U64,
    Text,
    ENUMERATION,
    List(&FORMER_ROLLOUT),
    ENUMERATION,
]);
const VERSION_EVIDENCE: Shape = Fields(&[U32, U32, U32, List(&U32)]);
const ROUTE_EVIDENCE: Shape = Fields(&[Text, VERSION_EVIDENCE, VERSION_EVIDENCE]);
const TRIAL_EVIDENCE: Shape = Fields(&[Text, U64, List(&ROUTE_EVIDENCE), List(&U64)]);

const OPERATION: Shape =
    Variants(&[&[Bytes], &[Bytes], EMPTY, EMPTY, &[Text], &[ROLLOUT_ORDER], &[Text], &[Text]]);
const OPERATION_RESULT: Shape = Variants(&[
    &[U64, U32, BOOL],
    &[U64, ENTRY_MAP],
    &[MEMBERSHIP, List(&Fields(&[Text, U64, MEMBER_PROGRESS]))],
    &[List(&Fields(&[Text, Text]))],
    &[U64],
    &[Text],
    &[Text],
    &[U64, U64],
    &[Maybe(&ROLLOUT)],
    &[Text],
]);

/// A message between processes.
pub const MESSAGE: Shape = Variants(&[
    // Hello
    &[PEER_IDENTITY, U64],
    // VoterSetUpdate, VoterAlive, JoinRequest, JoinOffer, SlotTakeover
    &[U64, VOTER_SET],
    &[U64],
    &[U64, Text, Text, U64],
    &[SLOT, U64, List(&SLOT)],
    &[SLOT, SLOT_HOLDER],
    // HandoverOffer, HandoverAccept, Handover, HandoverDone, LeadershipTransfer
    &[SLOT, U32],
    &[SLOT, SLOT_HOLDER],
    &[SLOT, U32, VOTER_SET, List(&HANDED_OVER_REPLICA), MEMBERSHIPS],
    &[SLOT, U32],
    &[PARTITION, TERM],
    // StatusRequest, ReplicaStatus, FetchReplica, ReplicaFetched
    &[PARTITION, U64],
    &[PARTITION, U64, CONDITION, TERM, TERM, U64, U64],
    &[PARTITION, U64],
    &[PARTITION, U64, TERM, TERM, U64, ENTRY_MAP],
    // PreVoteRequest, PreVoteResponse, VoteRequest, VoteGranted, VoteRejected
    &[PARTITION, TERM],
    &[PARTITION, TERM, BOOL, TERM],
    &[PARTITION, TERM],
    &[PARTITION, TERM, TERM, U64, U64],
    &[PARTITION, TERM, TERM],
    // Snapshot, Append, AppendAck, SnapshotRequest, Heartbeat, HeartbeatAck
    &[PARTITION, TERM, U64, ENTRY_MAP],
    &[PARTITION, TERM, U64, ENTRIES],
    &[PARTITION, TERM, U64, U64],
    &[PARTITION, TERM],
    &[PARTITION, TERM, U64, U64, U64],
    &[PARTITION, TERM, U64, U64, U64, U64],
    // Subscribe, Update, FeedPositions
    &[FEED_POSITIONS, U64],
    &[PARTITION, Maybe(&U64), U64, ENTRIES],
    &[FEED_POSITIONS, U64],
    // RenewLease, LeaseGranted, MembershipUpdate
    &[MEMBER, U64, MEMBER_PROGRESS],
    &[Text, U64, U64, TERM, U64, BOOL],
    &[MEMBERSHIP],
    // ReplicateMembership, MembershipReplicated, FetchMembership, MembershipFetched
    &[TERM, MEMBERSHIP, BOOL, List(&MEMBERSHIP)],
    &[TERM, MEMBERSHIP_ID, U64, BOOL, U64],
    &[TERM],
    &[TERM, MEMBERSHIP, List(&MEMBERSHIP), U64],
    // Gossip
    &[Text, U64, BOOL, FEED_POSITIONS, Maybe(&U64), Maybe(&U64), Maybe(&ATTESTATION)],
    // LeafList, LeafReports
    &[PARTITION, MEMBERSHIP_ID, List(&LEAF_INFO)],
    &[PARTITION, List(&LEAF_REPORT)],
    // OperationRequest, OperationResponse
    &[U64, U64, TERM, Text, Maybe(&U64), OPERATION],
    &[U64, U64, OPERATION_RESULT],
    // SubstituteListPoller, RolloutVote
    &[Text, U64, U32],
    &[Text, U64, List(&TRIAL_EVIDENCE)],
]);

/// The state of a replica in a snapshot file.
pub const REPLICA_STATE: Shape = Fields(&[TERM, TERM, U64, ENTRY_MAP]);
/// A record in the log of a partition.
pub const LOG_RECORD: Shape = Variants(&[&[TERM], &[TERM, U64, ENTRIES]]);
/// The voter file.
pub const VOTER_FILE: Shape = Fields(&[U64, BOOL, VOTER_SET]);
