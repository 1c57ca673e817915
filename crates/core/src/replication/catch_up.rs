//! How a replica that has nothing, or nothing it can trust, comes to vote.
//!
//! It asks the others. If none of the fleet's original voters has ever held
//! anything this is a first boot, and it begins with an empty state. If a
//! majority of all voters, its own slot not counted, votes and holds the voter
//! set that we hold, it takes the newest replica and the highest term of
//! those: any value that its slot helped to accept was synced by one of them
//! too (`crate::voters`). In any other case (too many disks lost) it waits, and
//! says so, until an operator forces recovery and so says that the lost replicas
//! are lost for good. What only they held is gone then: an operator decides that,
//! never the system.

use crate::command::Command;
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::replica::ReplicaCondition;
use crate::random::Random;
use crate::replication::partition::{AfterWrite, CatchUp, Partition, ReplicaStatus, Sender};
use crate::replication::timing::{ANSWER_TIMEOUT, CATCH_UP_INTERVAL};
use crate::storage::record::ReplicaState;
use crate::time::Tick;
use crate::voter_set::{VoterGroup, majority, others};

/// Rounds of asking after which a stuck replica raises an alarm (count).
const ROUNDS_UNTIL_ALARM: u64 = 40;

impl CatchUp {
    /// The voter set changed: answers that are under way were asked for under the old
    /// one, and the others are asked anew.
    pub fn restart(&mut self, now: Tick) {
        self.statuses = Vec::new();
        self.fetching_from = None;
        self.nonce = self.nonce.wrapping_add(1);
        self.ask_at = self.ask_at.min(now + CATCH_UP_INTERVAL);
    }

    /// Whether all others have answered.
    fn is_answered(&self, group: VoterGroup) -> bool {
        let answered = |slot| self.statuses.get(usize::from(slot)).is_some_and(Option::is_some);
        others(group).all(answered)
    }

    /// Whether this is the fleet's first boot: nobody who answered holds anything, and
    /// all that have their slots from the beginning did answer. They must be a majority
    /// still, or what was accepted since might be held by others alone.
    fn is_first_boot(&self, group: VoterGroup) -> bool {
        let is_original = |slot: &VoterSlot| group.initial_holders >> *slot & 1 == 1;
        group.first
            && is_original(&group.slot)
            && group.initial_holders.count_ones() as usize >= majority(group.size)
            && self.statuses.iter().flatten().all(ReplicaStatus::is_blank)
            && others(group)
                .filter(is_original)
                .all(|slot| self.statuses[usize::from(slot)].is_some())
    }

    /// The voters that vote, by slot, with what they hold.
    fn voting(&self) -> Vec<(usize, ReplicaStatus)> {
        let statuses = self.statuses.iter().enumerate();
        statuses
            .filter_map(|(slot, status)| status.map(|status| (slot, status)))
            .filter(|(_, status)| status.condition == ReplicaCondition::Voting)
            .collect()
    }

    /// What an operator is told of a replica that can't go on by itself.
    fn stuck_alarm(&self, partition: impl std::fmt::Display, group: VoterGroup) -> String {
        let is_damaged = |status: &ReplicaStatus| status.condition == ReplicaCondition::Damaged;
        let others_are =
            if self.statuses.iter().flatten().any(is_damaged) { "damaged" } else { "empty" };
        let disks = if group.size == 3 { "two" } else { "too many" };
        format!(
            "part {partition}: this replica can't relearn, since another is {others_are}; \
             if {disks} disks are lost, see the handbook on restoring"
        )
    }
}

impl ReplicaStatus {
    /// Whether the replica there has never held anything.
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
    /// Time passes for a replica that does not vote.
    pub fn wake_catch_up(
        &mut self,
        now: Tick,
        group: VoterGroup,
        random: &mut Random,
        commands: &mut Vec<Command>,
    ) {
        let is_voting = self.condition == ReplicaCondition::Voting;
        if is_voting || now < self.catch_up.ask_at || !self.writes.is_empty() {
            return;
        }
        let catch_up = &mut self.catch_up;
        if catch_up.is_answered(group) && group.size > 1 {
            catch_up.rounds += 1;
            if catch_up.rounds.is_multiple_of(ROUNDS_UNTIL_ALARM) {
                commands.push(Command::Alarm(catch_up.stuck_alarm(self.id, group)));
            }
        }
        // A fresh nonce: only answers to this process and this round count.
        catch_up.nonce = random.next_u64();
        catch_up.ask_at = now + CATCH_UP_INTERVAL;
        catch_up.statuses = vec![None; group.size];
        catch_up.fetching_from = None;
        for slot in others(group) {
            let message = Message::StatusRequest { partition: self.id, nonce: self.catch_up.nonce };
            commands.push(Command::ToVoter { slot, message });
        }
        self.continue_catch_up(now, group, commands);
    }

    /// Another replica asks how we stand.
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

    /// A voter that can give its replica gives it.
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

    /// An answer to our asking.
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

    /// Goes on once enough have answered.
    fn continue_catch_up(&mut self, now: Tick, group: VoterGroup, commands: &mut Vec<Command>) {
        let catch_up = &mut self.catch_up;
        if catch_up.fetching_from.is_some() || catch_up.statuses.len() != group.size {
            return;
        }
        let voting = catch_up.voting();
        let is_forced = catch_up.is_forced && catch_up.is_answered(group);
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
            catch_up.ask_at = now + ANSWER_TIMEOUT;
            let message = Message::FetchReplica { partition: self.id, nonce };
            commands.push(Command::ToVoter { slot, message });
        }
    }

    /// The newest replica has come.
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

    /// The first state is on disk: from here on this replica votes.
    pub fn start_voting(&mut self, now: Tick, commands: &mut Vec<Command>) {
        if self.condition != ReplicaCondition::Voting {
            self.condition = ReplicaCondition::Voting;
            self.become_follower(now, None);
            let text = format!("part {}: formed at revision {}", self.id, self.state.revision);
            commands.push(Command::Alarm(text));
        }
    }

    /// An operator says that what is lost is lost for good: what is left is enough.
    pub fn force_recovery(&mut self, commands: &mut Vec<Command>) {
        if self.condition != ReplicaCondition::Voting {
            self.catch_up.is_forced = true;
            let text = format!("part {}: an operator vouches for what is left", self.id);
            commands.push(Command::Alarm(text));
        }
    }
}
