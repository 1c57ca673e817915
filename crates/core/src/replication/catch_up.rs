//! Recovery of a replica whose disk is empty or damaged, until it may vote.
//!
//! The replica requests the status of all other voters. There are three cases:
//!
//! - If none of the cluster's original voters has ever held any data, this is the first boot,
//!   and the replica starts with an empty state.
//! - If a majority of all voters, without the replica's own slot, votes and has the same voter
//!   set, the replica fetches the newest state among these and takes over their highest term.
//!   That is safe because any value that its slot helped to accept was synced by one of them
//!   too (`crate::voters`).
//! - Otherwise too many disks are lost. The replica waits and raises an alarm until an operator
//!   forces recovery, which gives up the data that only the lost replicas held. An operator
//!   must decide that; the software never does.

use crate::command::Command;
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::replica::ReplicaCondition;
use crate::random::Random;
use crate::replication::partition::{AfterWrite, CatchUp, Partition, ReplicaStatus, Sender};
use crate::replication::timing::{ANSWER_TIMEOUT, CATCH_UP_INTERVAL};
use crate::storage::record::ReplicaState;
use crate::time::Tick;
use crate::voter_set::{VoterGroup, majority, other_voters};

/// Rounds of status requests after which a replica that can't recover raises an alarm (count).
const ROUNDS_UNTIL_ALARM: u64 = 40;

impl CatchUp {
    /// Restarts the recovery after a change of the voter set, because responses that are still in
    /// flight were requested under the old voter set.
    pub fn restart(&mut self, now: Tick) {
        self.statuses = Vec::new();
        self.fetching_from = None;
        self.nonce = self.nonce.wrapping_add(1);
        self.next_request_at = self.next_request_at.min(now + CATCH_UP_INTERVAL);
    }

    /// Returns whether all other voters have responded in this round.
    fn has_all_answers(&self, group: VoterGroup) -> bool {
        let answered = |slot| self.statuses.get(usize::from(slot)).is_some_and(Option::is_some);
        other_voters(group).all(answered)
    }

    /// Returns whether this is the first boot of the cluster: no voter that responded holds any
    /// data, and all original voters responded. The original voters must still be a majority;
    /// otherwise changes may have been accepted by later voters alone.
    fn is_first_boot(&self, group: VoterGroup) -> bool {
        let is_original = |slot: &VoterSlot| group.initial_holders >> *slot & 1 == 1;
        group.is_original_disk
            && is_original(&group.slot)
            && group.initial_holders.count_ones() as usize >= majority(group.size)
            && self.statuses.iter().flatten().all(ReplicaStatus::is_blank)
            && other_voters(group)
                .filter(is_original)
                .all(|slot| self.statuses[usize::from(slot)].is_some())
    }

    /// Returns the slots and statuses of the replicas that vote.
    fn voting(&self) -> Vec<(usize, ReplicaStatus)> {
        let statuses = self.statuses.iter().enumerate();
        statuses
            .filter_map(|(slot, status)| status.map(|status| (slot, status)))
            .filter(|(_, status)| status.condition == ReplicaCondition::Voting)
            .collect()
    }

    /// Returns the alarm text for a replica that can't recover without an operator.
    fn stuck_alarm(&self, partition: impl std::fmt::Display, group: VoterGroup) -> String {
        let is_damaged = |status: &ReplicaStatus| status.condition == ReplicaCondition::Damaged;
        let other_condition =
            if self.statuses.iter().flatten().any(is_damaged) { "damaged" } else { "empty" };
        let disks = if group.size == 3 { "two" } else { "too many" };
        format!(
            "partition {partition}: this replica can't recover, because another is \
             {other_condition}; if {disks} disks are lost, see the handbook on restoring"
        )
    }
}

impl ReplicaStatus {
    /// Returns whether the replica has never held any data.
    fn is_blank(&self) -> bool {
        let has_nothing = self.position() == Default::default() && self.current_term == Term::ZERO;
        match self.condition {
            ReplicaCondition::Empty => true,
            ReplicaCondition::Voting => has_nothing,
            ReplicaCondition::Damaged => false,
        }
    }
}

impl Partition {
    /// Sends the status requests that are due if this replica does not vote yet.
    pub fn wake_catch_up(
        &mut self,
        now: Tick,
        group: VoterGroup,
        random: &mut Random,
        commands: &mut Vec<Command>,
    ) {
        let is_voting = self.condition == ReplicaCondition::Voting;
        if is_voting || now < self.catch_up.next_request_at || !self.writes.is_empty() {
            return;
        }
        let catch_up = &mut self.catch_up;
        if catch_up.has_all_answers(group) && group.size > 1 {
            catch_up.rounds += 1;
            if catch_up.rounds.is_multiple_of(ROUNDS_UNTIL_ALARM) {
                commands.push(Command::Alarm(catch_up.stuck_alarm(self.id, group)));
            }
        }
        // A new nonce makes sure that only responses to this process and this round count.
        catch_up.nonce = random.next_u64();
        catch_up.next_request_at = now + CATCH_UP_INTERVAL;
        catch_up.statuses = vec![None; group.size];
        catch_up.fetching_from = None;
        for slot in other_voters(group) {
            let message = Message::StatusRequest { partition: self.id, nonce: self.catch_up.nonce };
            commands.push(Command::ToVoter { slot, message });
        }
        self.continue_catch_up(now, group, commands);
    }

    /// Responds to another replica's status request.
    pub fn on_status_request(&self, from: VoterSlot, nonce: u64, commands: &mut Vec<Command>) {
        if self.disk_failure.is_some() {
            return;
        }
        let message = Message::ReplicaStatus {
            partition: self.id,
            nonce,
            condition: self.condition,
            current_term: self.state.current_term,
            written_term: self.state.written_term,
            revision: self.state.revision,
            stamp: 0,
        };
        commands.push(Command::ToVoter { slot: from, message });
    }

    /// Sends the state of this replica to a voter that requests it, if this replica votes.
    pub fn on_fetch_replica(&self, from: VoterSlot, nonce: u64, commands: &mut Vec<Command>) {
        if !self.can_vote() {
            return;
        }
        let partition = self.id;
        let ReplicaState { current_term, written_term, revision, entries } = self.state.clone();
        let message = Message::ReplicaFetched {
            partition,
            nonce,
            current_term,
            written_term,
            revision,
            entries,
        };
        commands.push(Command::ToVoter { slot: from, message });
    }

    /// Handles the response to a status request.
    pub fn on_replica_status(
        &mut self,
        now: Tick,
        from: Sender,
        nonce: u64,
        status: ReplicaStatus,
        commands: &mut Vec<Command>,
    ) {
        let is_voting = self.condition == ReplicaCondition::Voting;
        if is_voting || nonce != self.catch_up.nonce || !self.writes.is_empty() {
            return;
        }
        let statuses = &mut self.catch_up.statuses;
        let Some(known) = statuses.get_mut(usize::from(from.slot)) else { return };
        *known = Some(status);
        self.continue_catch_up(now, from.group, commands);
    }

    /// Starts with an empty state or fetches the newest one, once enough voters have responded.
    fn continue_catch_up(&mut self, now: Tick, group: VoterGroup, commands: &mut Vec<Command>) {
        let catch_up = &mut self.catch_up;
        if catch_up.fetching_from.is_some() || catch_up.statuses.len() != group.size {
            return;
        }
        let voting = catch_up.voting();
        let is_forced = catch_up.is_forced && catch_up.has_all_answers(group);
        let is_empty = self.condition == ReplicaCondition::Empty;
        if (is_empty && catch_up.is_first_boot(group)) || (is_forced && voting.is_empty()) {
            self.state = ReplicaState::default();
            return self.persist_snapshot(now, vec![AfterWrite::StartVoting], commands);
        }
        if voting.len() < majority(group.size) && !is_forced {
            return;
        }
        if let Some((slot, _)) = voting.iter().max_by_key(|(_, status)| status.position()) {
            let (slot, nonce) = (*slot as VoterSlot, catch_up.nonce);
            catch_up.fetching_from = Some(slot);
            catch_up.next_request_at = now + ANSWER_TIMEOUT;
            let message = Message::FetchReplica { partition: self.id, nonce };
            commands.push(Command::ToVoter { slot, message });
        }
    }

    /// Adopts the newest state, fetched from another voter.
    pub fn on_replica_fetched(
        &mut self,
        now: Tick,
        from: VoterSlot,
        nonce: u64,
        fetched: ReplicaState,
        commands: &mut Vec<Command>,
    ) {
        let catch_up = &self.catch_up;
        let is_expected = nonce == catch_up.nonce && catch_up.fetching_from == Some(from);
        if self.condition == ReplicaCondition::Voting || !is_expected {
            return;
        }
        let statuses = || catch_up.statuses.iter().flatten();
        let highest_term = statuses().map(|status| status.current_term).max().unwrap_or_default();
        let newest = statuses().map(ReplicaStatus::position).max().unwrap_or_default();
        if fetched.position() < newest || !self.writes.is_empty() {
            return;
        }
        let current_term = fetched.current_term.max(highest_term);
        self.restart_changes(fetched.revision, &fetched.entries);
        self.state = ReplicaState { current_term, ..fetched };
        self.persist_snapshot(now, vec![AfterWrite::StartVoting], commands);
    }

    /// Lets this replica vote, once its recovered state is on disk.
    pub fn start_voting(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if self.condition != ReplicaCondition::Voting {
            self.condition = ReplicaCondition::Voting;
            self.become_follower(now, None);
            let text = format!(
                "partition {}: this replica votes now, at revision {}",
                self.id, self.state.revision
            );
            commands.push(Command::Alarm(text));
        }
    }

    /// Forces recovery at an operator's request: the remaining replicas suffice, and the data of
    /// the lost ones is given up.
    pub fn force_recovery(&mut self, commands: &mut Vec<Command>) {
        if self.condition != ReplicaCondition::Voting {
            self.catch_up.is_forced = true;
            let text = format!(
                "partition {}: an operator forced recovery from the remaining replicas",
                self.id
            );
            commands.push(Command::Alarm(text));
        }
    }
}
