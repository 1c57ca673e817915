//! The memberships that a voter knows besides the one that was sent to the members, and the
//! replication state of the leader.
//!
//! Voters keep this in memory only. `docs/limits.md` describes what a cluster loses with
//! it.

use crate::command::ConnectionId;
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::membership::{Membership, MembershipId, Memberships};
use crate::time::Tick;
use crate::voter_set::VoterGroup;

/// Maximum number of memberships that some member may still use. More than that arise only
/// if that many leaders follow each other and no message of theirs is received.
pub(super) const MAX_MEMBERSHIPS: usize = 8;

/// The voters among which memberships are replicated.
#[derive(Clone, Copy)]
pub struct Voters {
    /// The voters as known to this controller.
    pub group: VoterGroup,
    /// Stamp of the voter set. Acknowledgements received under another stamp do not count.
    pub stamp: u64,
}

/// The memberships that a voter knows besides the one that was sent to the members.
#[derive(Default)]
pub struct MembershipLog {
    /// A membership that was issued but is not yet held by a majority. It was sent to no
    /// member.
    pub proposed: Option<Membership>,
    /// Former memberships that some member may still use.
    pub older: Vec<FormerMembership>,
    /// The highest term in which a leader sent a message to this node. Messages of lower
    /// terms are refused.
    pub(super) term: Term,
    pub(super) replication: ReplicationState,
}

/// A former membership.
pub struct FormerMembership {
    /// The membership in its last version.
    pub membership: Membership,
    /// When enough of its members had left it.
    pub retired: Option<Tick>,
}

impl FormerMembership {
    /// Creates the entry of a former membership that members may still use.
    pub fn new(membership: Membership) -> Self {
        Self { membership, retired: None }
    }
}

/// The replication state that only a leader uses.
#[derive(Default)]
pub(super) struct ReplicationState {
    /// The memberships reported by each voter to a new leader. Empty once the leader has
    /// inherited them.
    pub(super) fetched: Vec<Option<Memberships>>,
    pub(super) inherited: bool,
    /// The version that each voter last acknowledged on its connection in `connections`.
    pub(super) acknowledged: Vec<Option<MembershipVersion>>,
    /// The connection on which each voter last sent a message. A voter that restarts opens
    /// a new connection and has lost the versions that it acknowledged on the former one.
    connections: Vec<Option<ConnectionId>>,
    /// The version that was last sent, and when.
    pub(super) sent: Option<(MembershipVersion, Tick)>,
    /// Stamp of the voter set under which this state was collected.
    stamp: u64,
}

/// A version of a membership that is being replicated to the voters.
#[derive(Clone, Copy, PartialEq)]
pub struct MembershipVersion {
    /// Id of the membership.
    pub id: MembershipId,
    /// The settled turn of the membership.
    pub settled: u64,
    /// Whether a majority holds the membership, so that it is sent to the members.
    pub confirmed: bool,
}

impl MembershipVersion {
    /// Returns the version of a membership.
    pub fn new(membership: &Membership, confirmed: bool) -> Self {
        Self { id: membership.id(), settled: membership.settled, confirmed }
    }
}

impl MembershipLog {
    /// Returns whether this leader knows all memberships that members may use.
    pub fn is_inherited(&self) -> bool {
        self.replication.inherited
    }

    /// Returns `current`, which was sent to the members, with all others that may be in
    /// use.
    pub fn held_with(&self, current: &Membership) -> Memberships {
        let older = self.older.iter().map(|former| former.membership.clone());
        Memberships {
            current: current.clone(),
            others: older.chain(self.proposed.clone()).collect(),
        }
    }

    /// Replaces the former memberships by those of a leaving voter or of a leader.
    pub fn inherit(&mut self, others: Vec<Membership>) {
        self.older = others.into_iter().map(FormerMembership::new).collect();
    }

    /// Starts a new term of this node as the leader. The memberships of the other voters
    /// have to be fetched.
    pub(super) fn begin_term(&mut self, term: Term, voters: Voters, own: Memberships) {
        self.term = self.term.max(term);
        self.replication = ReplicationState::new(voters, own);
    }

    /// Discards what was collected under a former voter set, if the voter set has changed.
    pub(super) fn follow_voter_set(&mut self, voters: Voters, current: &Membership) {
        if self.replication.stamp == voters.stamp {
            return;
        }
        let own = self.held_with(current);
        let inherited = self.replication.inherited;
        self.replication = ReplicationState { inherited, ..ReplicationState::new(voters, own) };
    }

    /// Records the connection on which a voter sent a message. On a new connection the
    /// voter may be a new process, which holds nothing of what the former one acknowledged.
    pub(super) fn record_connection(&mut self, from: VoterSlot, connection: ConnectionId) {
        let slot = usize::from(from);
        let Some(known) = self.replication.connections.get_mut(slot) else { return };
        if known.replace(connection) != Some(connection) {
            self.replication.acknowledged[slot] = None;
        }
    }

    /// Records the version that a voter acknowledged.
    pub(super) fn record_acknowledged(&mut self, from: VoterSlot, version: MembershipVersion) {
        if let Some(cell) = self.replication.acknowledged.get_mut(usize::from(from)) {
            *cell = Some(version);
        }
    }

    /// Records the memberships that a voter reported.
    pub(super) fn record_fetched(&mut self, from: VoterSlot, held: Memberships) {
        if !self.replication.inherited
            && let Some(cell) = self.replication.fetched.get_mut(usize::from(from))
        {
            *cell = Some(held);
        }
    }
}

impl ReplicationState {
    /// Creates an empty state that has only the memberships of this node.
    fn new(voters: Voters, own: Memberships) -> Self {
        let size = voters.group.size;
        let mut fetched = vec![None; size];
        fetched[usize::from(voters.group.slot)] = Some(own);
        Self {
            fetched,
            inherited: false,
            acknowledged: vec![None; size],
            connections: vec![None; size],
            sent: None,
            stamp: voters.stamp,
        }
    }
}
