//! What the leader of a partition knows: it alone changes the partition, in its term.

use std::collections::{BTreeMap, VecDeque};

use crate::identifiers::{Term, VoterSlot};
use crate::protocol::membership::MembershipId;
use crate::replication::operations::{
    ChangeAcceptance, OperationOrigin, PendingOperation, WaitingChange,
};
use crate::replication::timing::{CHECKSUM_INTERVAL, LEADER_LEASE};
use crate::time::{Tick, since};
use crate::voter_set::{VoterGroup, majority, others};

/// The leader of a partition.
///
/// Invariants: its state was written under its own `term` before anything else;
/// `is_serving` only once a majority holds that; `committed` is synced by a majority and
/// never falls.
pub struct Leader {
    /// The term in which it leads.
    pub term: Term,
    /// When it began to lead, or when the voters last changed.
    pub since: Tick,
    /// Whether a majority holds what it adopted: only then it takes operations.
    pub is_serving: bool,
    /// Highest revision of this term that each voter has synced, by slot.
    pub synced: Vec<Option<u64>>,
    /// Highest revision that a majority has synced.
    pub committed: u64,
    /// When a snapshot was last sent to each voter, by slot.
    pub snapshot_sent_at: Vec<Option<Tick>>,
    /// Number of the last heartbeat round.
    pub round: u64,
    /// Rounds up to this one count no more: the voters have changed since.
    pub valid_after: u64,
    /// When the next heartbeat is due.
    pub heartbeat_at: Tick,
    /// When the last round began.
    pub round_began_at: Tick,
    /// A wake was asked for, to begin a round that operations wait for.
    pub round_requested: bool,
    /// When the replicas' checksums are next compared.
    pub checksum_at: Tick,
    /// Rounds whose begin is remembered, the oldest first, without a gap.
    pub rounds: VecDeque<HeartbeatRound>,
    /// What each voter last answered, by slot.
    pub answered: Vec<AnsweredRound>,
    /// Revision up to which the members' part in a change's acceptance is done.
    pub obeyed_up_to: u64,
    /// When we next look at that.
    pub acceptance_check_at: Tick,
    /// Members that do not go by our newest revision yet when an operator's patience
    /// ends.
    pub lagging_members: Vec<String>,
    /// Changes whose operators wait.
    pub waiting_changes: Vec<WaitingChange>,
    /// Operations whose answers wait until a majority has proved that we lead.
    pub pending: Vec<PendingOperation>,
    /// Status requests that are proved and wait for what the membership says.
    pub proved_status: Vec<OperationOrigin>,
    /// Leafs that the list no longer names, since when.
    pub absent_leafs: BTreeMap<String, Tick>,
    /// When we first saw each leaf, and how old it surely was then (ms): an identity is
    /// at least as old as our knowledge of it.
    pub first_seen: BTreeMap<String, (Tick, u64)>,
    /// When ages that grew by themselves are next written, all together.
    pub ages_at: Tick,
    /// Highest fencing token seen in a leaf list.
    pub fence: MembershipId,
}

/// A heartbeat round that began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatRound {
    /// Its number.
    pub number: u64,
    /// When it began.
    pub began_at: Tick,
    /// The leader's revision then.
    pub revision: u64,
}

/// The last heartbeat round that a voter answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnsweredRound {
    /// Its number; zero: none.
    pub number: u64,
    /// When that round began.
    pub began_at: Tick,
}

impl Leader {
    /// A leader that has adopted the newest state and not yet re-written it.
    pub fn new(group: VoterGroup, term: Term, now: Tick) -> Leader {
        Leader {
            term,
            since: now,
            is_serving: false,
            synced: vec![None; group.size],
            committed: 0,
            snapshot_sent_at: vec![None; group.size],
            round: 0,
            valid_after: 0,
            heartbeat_at: now,
            round_began_at: now,
            round_requested: false,
            checksum_at: now + CHECKSUM_INTERVAL,
            rounds: VecDeque::new(),
            answered: vec![AnsweredRound { number: 0, began_at: now }; group.size],
            obeyed_up_to: 0,
            acceptance_check_at: now,
            lagging_members: Vec::new(),
            waiting_changes: Vec::new(),
            pending: Vec::new(),
            proved_status: Vec::new(),
            absent_leafs: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            ages_at: now,
            fence: MembershipId::default(),
        }
    }

    /// Whether a majority, with ourselves, answered our heartbeats lately.
    pub fn hears_majority(&self, group: VoterGroup, now: Tick) -> bool {
        let answers_lately = |slot: &VoterSlot| {
            since(self.answered[usize::from(*slot)].began_at, now) < LEADER_LEASE
        };
        others(group).filter(answers_lately).count() + 1 >= majority(group.size)
    }

    /// The voters changed: what was counted under the old voter set counts no more. Who
    /// is still there says with its next answer how far it is; only who is new needs a
    /// snapshot.
    pub fn on_voter_set_changed(&mut self, now: Tick, group: VoterGroup, replaced: &[bool]) {
        for (slot, is_new) in replaced.iter().enumerate() {
            if slot == usize::from(group.slot) {
                continue;
            }
            self.synced[slot] = None;
            self.snapshot_sent_at[slot] = (!is_new).then_some(now);
            let began_at = if *is_new { 0 } else { self.answered[slot].began_at };
            self.answered[slot] = AnsweredRound { number: 0, began_at };
        }
        // A round that began before must not prove anything now.
        self.since = now;
        self.rounds.clear();
        self.valid_after = self.round;
    }

    /// The highest revision that a majority has synced, if a majority holds any.
    pub fn majority_revision(&self, group: VoterGroup) -> Option<u64> {
        let mut revisions: Vec<u64> = self.synced.iter().flatten().copied().collect();
        revisions.sort_unstable_by(|a, b| b.cmp(a));
        revisions.get(majority(group.size) - 1).copied()
    }

    /// How many replicas have synced a revision (count).
    pub fn replicas_with(&self, revision: u64) -> u32 {
        self.synced.iter().flatten().filter(|synced| **synced >= revision).count() as u32
    }

    /// The revision up to which changes of this kind count as accepted.
    pub fn accepted_up_to(&self, acceptance: ChangeAcceptance) -> u64 {
        match acceptance {
            ChangeAcceptance::Committed => self.committed,
            ChangeAcceptance::Obeyed => self.committed.min(self.obeyed_up_to),
        }
    }
}
