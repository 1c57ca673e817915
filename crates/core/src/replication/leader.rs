//! State that a replica keeps while it is the leader of a partition. Only the leader of a
//! term appends changes to the partition.

use std::collections::{BTreeMap, VecDeque};

use crate::identifiers::{Term, VoterSlot};
use crate::protocol::membership::MembershipId;
use crate::replication::operations::{
    ChangeAcceptance, OperationOrigin, PendingOperation, WaitingChange,
};
use crate::replication::timing::{CHECKSUM_INTERVAL, LEADER_LEASE};
use crate::time::{Tick, since};
use crate::voter_set::{VoterGroup, majority, other_voters};

/// Volatile state of the leader of a partition.
///
/// Invariants: the leader writes its state under its own `term` before it does anything
/// else; `is_serving` is set only once a majority of the voters has synced that state;
/// `committed` is synced by a majority and never decreases.
pub struct Leader {
    /// The term of this leader.
    pub term: Term,
    /// When this leader was elected, or when the voter set last changed.
    pub leading_since: Tick,
    /// Whether a majority has synced the state that the leader was elected with. Operations
    /// are accepted only after that.
    pub is_serving: bool,
    /// Highest revision of this term that each voter is known to have synced, by slot (`matchIndex`
    /// in the Raft paper); `None` if the voter needs a snapshot or has not acknowledged yet.
    pub synced: Vec<Option<u64>>,
    /// Highest revision that a majority has synced (`commitIndex` in the Raft paper).
    pub committed: u64,
    /// When a snapshot was last sent to each voter, by slot.
    pub snapshot_sent_at: Vec<Option<Tick>>,
    /// Number of the last heartbeat round.
    pub round: u64,
    /// Acknowledgements of rounds up to this one are ignored, because they were sent before the
    /// last change of the voter set.
    pub valid_after: u64,
    /// When the next heartbeat round is due.
    pub next_heartbeat_at: Tick,
    /// When the last round began.
    pub round_began_at: Tick,
    /// Whether a wake-up is already scheduled to begin the round that operations wait for.
    pub round_requested: bool,
    /// When the replicas' checksums are next compared.
    pub next_checksum_at: Tick,
    /// The most recent rounds, oldest first, with consecutive numbers.
    pub rounds: VecDeque<HeartbeatRound>,
    /// The last round that each voter acknowledged, by slot.
    pub acked: Vec<AckedRound>,
    /// Highest revision that enough members have applied for a change to be accepted.
    pub members_applied_revision: u64,
    /// When `members_applied_revision` is next recomputed.
    pub acceptance_check_at: Tick,
    /// Members that have not applied the leader's newest revision, for the message to an
    /// operator whose request times out.
    pub lagging_members: Vec<String>,
    /// Changes whose operators wait for the outcome.
    pub waiting_changes: Vec<WaitingChange>,
    /// Operations whose responses wait until a heartbeat round confirms the leadership.
    pub pending: Vec<PendingOperation>,
    /// Status requests whose round is confirmed and which wait for the members' status.
    pub confirmed_status_requests: Vec<OperationOrigin>,
    /// Leafs that are missing from the platform's list, with the time since when.
    pub absent_leafs: BTreeMap<String, Tick>,
    /// When the leader first saw each leaf, and the leaf's minimum age at that time (ms). A leaf
    /// identity is at least as old as the time for which the leader has known it.
    pub first_seen: BTreeMap<String, (Tick, u64)>,
    /// When the ages of leafs, which grow with time alone, are next written, in one batch.
    pub next_age_write_at: Tick,
    /// Highest fencing token received with a leaf list.
    pub fencing_token: MembershipId,
}

/// A heartbeat round that the leader has begun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatRound {
    /// Number of the round; rises by one with each round.
    pub number: u64,
    /// When the heartbeats of the round were sent.
    pub began_at: Tick,
    /// The leader's newest revision at that time.
    pub revision: u64,
}

/// The last heartbeat round that a voter acknowledged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AckedRound {
    /// Number of the round; zero if the voter has acknowledged none.
    pub number: u64,
    /// When the heartbeats of that round were sent.
    pub began_at: Tick,
}

impl Leader {
    /// Returns the state of a newly elected leader that has not yet synced its state under the
    /// new term.
    pub fn new(group: VoterGroup, term: Term, now: Tick) -> Leader {
        Leader {
            term,
            leading_since: now,
            is_serving: false,
            synced: vec![None; group.size],
            committed: 0,
            snapshot_sent_at: vec![None; group.size],
            round: 0,
            valid_after: 0,
            next_heartbeat_at: now,
            round_began_at: now,
            round_requested: false,
            next_checksum_at: now + CHECKSUM_INTERVAL,
            rounds: VecDeque::new(),
            acked: vec![AckedRound { number: 0, began_at: now }; group.size],
            members_applied_revision: 0,
            acceptance_check_at: now,
            lagging_members: Vec::new(),
            waiting_changes: Vec::new(),
            pending: Vec::new(),
            confirmed_status_requests: Vec::new(),
            absent_leafs: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            next_age_write_at: now,
            fencing_token: MembershipId::default(),
        }
    }

    /// Returns whether a majority of the voters, including the leader, has acknowledged a
    /// heartbeat that was sent less than `LEADER_LEASE` ago.
    pub fn has_majority_contact(&self, group: VoterGroup, now: Tick) -> bool {
        let is_recent =
            |slot: &VoterSlot| since(self.acked[usize::from(*slot)].began_at, now) < LEADER_LEASE;
        other_voters(group).filter(is_recent).count() + 1 >= majority(group.size)
    }

    /// Resets the progress of the other voters after a change of the voter set, because
    /// acknowledgements under the old voter set no longer count. A voter that stayed reports its
    /// revision with its next acknowledgement; only a new voter needs a snapshot.
    pub fn on_voter_set_changed(&mut self, now: Tick, group: VoterGroup, replaced: &[bool]) {
        for (slot, is_new) in replaced.iter().enumerate() {
            if slot == usize::from(group.slot) {
                continue;
            }
            self.synced[slot] = None;
            self.snapshot_sent_at[slot] = (!is_new).then_some(now);
            let began_at = if *is_new { 0 } else { self.acked[slot].began_at };
            self.acked[slot] = AckedRound { number: 0, began_at };
        }
        // A round that began under the old voter set must not confirm the leadership.
        self.leading_since = now;
        self.rounds.clear();
        self.valid_after = self.round;
    }

    /// Returns the highest revision that a majority has synced, or `None` if fewer voters have
    /// synced a revision of this term.
    pub fn majority_revision(&self, group: VoterGroup) -> Option<u64> {
        let mut revisions: Vec<u64> = self.synced.iter().flatten().copied().collect();
        revisions.sort_unstable_by(|a, b| b.cmp(a));
        revisions.get(majority(group.size) - 1).copied()
    }

    /// Returns the number of replicas that have synced a revision.
    pub fn replicas_with(&self, revision: u64) -> u32 {
        self.synced.iter().flatten().filter(|synced| **synced >= revision).count() as u32
    }

    /// Returns the highest revision that meets an acceptance criterion.
    pub fn accepted_up_to(&self, acceptance: ChangeAcceptance) -> u64 {
        match acceptance {
            ChangeAcceptance::Committed => self.committed,
            ChangeAcceptance::Applied => self.committed.min(self.members_applied_revision),
        }
    }
}
