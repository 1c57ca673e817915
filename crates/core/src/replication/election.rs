//! Leader election of a partition.
//!
//! A voter requests pre-votes, votes for itself, and requests votes. A majority of votes is
//! followed by fetching the newest state among the voters that granted theirs, which the new
//! leader writes under its own term. It serves operations once a majority has synced that.

use crate::command::Command;
use crate::digest::{hash, hash_pair};
use crate::identifiers::{PartitionId, Position, Term, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::replica::EntryMap;
use crate::random::Random;
use crate::replication::leader::Leader;
use crate::replication::partition::{AfterWrite, Candidacy, KnownLeader, Partition, Role, Sender};
use crate::replication::timing::{ANSWER_TIMEOUT, ELECTION_TIMEOUT};
use crate::storage::record::{LogRecord, ReplicaState};
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::{VoterGroup, majority, other_voters};

/// Extra election timeout per rank, so that the preferred voter becomes a candidate first.
const ELECTION_STAGGER: Span = ms(300);
/// Upper bound of the random part of the election timeout, which breaks ties between voters.
const ELECTION_JITTER: Span = ms(150);
/// Election timeout of a voter that has just started and has not heard from a leader: long
/// enough for the other voters to connect and to send their first heartbeats.
const FIRST_ELECTION_WAIT: Span = ms(150);
/// Extra election timeout per rank for a voter that has just started.
const FIRST_ELECTION_STAGGER: Span = ms(100);

/// Returns a voter's rank for a partition: the voter of rank 0 becomes a candidate first. The
/// order depends on the partition, which spreads the leaders over the voters. The voter
/// `silent`, a leader that stopped sending heartbeats, is not ranked.
fn rank(id: PartitionId, group: VoterGroup, silent: Option<VoterSlot>) -> u64 {
    let partition = hash(&id.to_string());
    let own = hash_pair(partition, u64::from(group.slot));
    let precedes =
        |slot: &VoterSlot| Some(*slot) != silent && hash_pair(partition, u64::from(*slot)) < own;
    other_voters(group).filter(precedes).count() as u64
}

impl Partition {
    /// Returns the time without a leader after which this voter requests pre-votes.
    ///
    /// It is short for a voter that has just started, so that a cluster that restarts completely
    /// has leaders soon. A running leader is not disturbed by that, since the voters that hear
    /// from it reject the pre-vote.
    fn election_timeout(&self, group: VoterGroup, random: &mut Random) -> Span {
        if self.no_leader_since_start {
            return FIRST_ELECTION_WAIT
                + rank(self.id, group, None) * FIRST_ELECTION_STAGGER
                + random.below(FIRST_ELECTION_STAGGER / 2);
        }
        let silent = match &self.role {
            Role::Follower { leader: Some(leader), .. } => Some(leader.slot),
            _ => None,
        };
        ELECTION_TIMEOUT
            + rank(self.id, group, silent) * ELECTION_STAGGER
            + random.below(ELECTION_JITTER)
    }

    /// Starts a pre-vote when the election timeout has passed, and ends a pre-vote or an election
    /// that timed out.
    pub fn wake_election(
        &mut self,
        now: Tick,
        group: VoterGroup,
        random: &mut Random,
        commands: &mut Vec<Command>,
    ) {
        if !self.can_vote() {
            return;
        }
        match &self.role {
            Role::Follower { last_heard, .. }
                if since(*last_heard, now) >= self.election_timeout(group, random) =>
            {
                let term = self.state.current_term.next_for(group.slot);
                self.start_pre_vote(now, group, term, commands);
            }
            Role::PreCandidate { until, .. } if now >= *until => {
                self.become_follower(now, None);
            }
            Role::Candidate(candidacy) if now >= candidacy.until => {
                self.become_follower(now, None);
            }
            _ => {}
        }
    }

    /// Sends pre-vote requests to the other voters.
    fn start_pre_vote(
        &mut self,
        now: Tick,
        group: VoterGroup,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        let mut granted = vec![false; group.size];
        granted[usize::from(group.slot)] = true;
        self.role = Role::PreCandidate { term, granted, until: now + ANSWER_TIMEOUT };
        for slot in other_voters(group) {
            let message = Message::PreVoteRequest { partition: self.id, term };
            commands.push(Command::ToVoter { slot, message });
        }
        if majority(group.size) == 1 {
            self.start_election(now, group, term, commands);
        }
    }

    /// Handles the response to a pre-vote request, with the sender's current term.
    pub fn on_pre_vote_response(
        &mut self,
        now: Tick,
        from: Sender,
        requested_term: Term,
        granted: bool,
        current_term: Term,
        commands: &mut Vec<Command>,
    ) {
        let Role::PreCandidate { term, granted: grants, .. } = &mut self.role else { return };
        if *term != requested_term {
            return;
        }
        if current_term >= requested_term {
            // The sender has seen a higher term than this voter; request pre-votes above it.
            let term = current_term.next_for(from.group.slot);
            return self.start_pre_vote(now, from.group, term, commands);
        }
        grants[usize::from(from.slot)] = granted;
        if grants.iter().filter(|granted| **granted).count() >= majority(from.group.size) {
            self.start_election(now, from.group, requested_term, commands);
        }
    }

    /// Becomes a candidate and writes its vote for itself. The other voters are asked once that
    /// vote is synced.
    fn start_election(
        &mut self,
        now: Tick,
        group: VoterGroup,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        if term <= self.state.current_term || !self.can_vote() {
            self.become_follower(now, None);
            return;
        }
        self.state.apply(&LogRecord::Vote { term });
        self.role = Role::Candidate(Candidacy {
            term,
            grants: vec![None; group.size],
            fetching_from: None,
            until: now + ANSWER_TIMEOUT,
        });
        let after = vec![AfterWrite::OwnVoteSynced { term }];
        self.persist_record(now, LogRecord::Vote { term }, after, commands);
    }

    /// Requests the votes of the others once this candidate's vote for itself is synced.
    pub fn on_own_vote_synced(
        &mut self,
        now: Tick,
        group: VoterGroup,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        let position = self.state.position();
        let Role::Candidate(candidacy) = &mut self.role else { return };
        if candidacy.term != term {
            return;
        }
        candidacy.grants[usize::from(group.slot)] = Some(position);
        for slot in other_voters(group) {
            let message = Message::VoteRequest { partition: self.id, term };
            commands.push(Command::ToVoter { slot, message });
        }
        self.count_votes(now, group, term, commands);
    }

    /// Handles a granted vote, with the last written position of the voter's replica.
    pub fn on_vote_granted(
        &mut self,
        now: Tick,
        from: Sender,
        term: Term,
        position: Position,
        commands: &mut Vec<Command>,
    ) {
        let Role::Candidate(candidacy) = &mut self.role else { return };
        if candidacy.term != term || candidacy.fetching_from.is_some() {
            return;
        }
        candidacy.grants[usize::from(from.slot)] = Some(position);
        self.count_votes(now, from.group, term, commands);
    }

    /// Once a majority has granted its vote, fetches the newest state among these voters, or
    /// becomes the leader if this replica is the newest.
    fn count_votes(
        &mut self,
        now: Tick,
        group: VoterGroup,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        let own = self.state.position();
        let Role::Candidate(candidacy) = &mut self.role else { return };
        let granted = |(slot, position): (usize, &Option<Position>)| {
            position.map(|position| (slot as VoterSlot, position))
        };
        let votes: Vec<(VoterSlot, Position)> =
            candidacy.grants.iter().enumerate().filter_map(granted).collect();
        if votes.len() < majority(group.size) {
            return;
        }
        match votes.iter().max_by_key(|(_, position)| *position) {
            Some((slot, position)) if *position > own && *slot != group.slot => {
                candidacy.fetching_from = Some(*slot);
                candidacy.until = now + ANSWER_TIMEOUT;
                let message = Message::FetchReplica { partition: self.id, nonce: term.as_u64() };
                commands.push(Command::ToVoter { slot: *slot, message });
            }
            _ => self.become_leader(now, group, term, commands),
        }
    }

    /// Adopts the newest state, fetched from a voter that granted its vote, and becomes the
    /// leader.
    pub fn on_newest_replica_fetched(
        &mut self,
        now: Tick,
        from: Sender,
        nonce: u64,
        position: Position,
        entries: EntryMap,
        commands: &mut Vec<Command>,
    ) {
        let Role::Candidate(candidacy) = &self.role else { return };
        let (term, granted) = (candidacy.term, candidacy.grants[usize::from(from.slot)]);
        let is_expected = term.as_u64() == nonce && candidacy.fetching_from == Some(from.slot);
        if !is_expected || granted.is_none_or(|granted| position < granted) {
            return;
        }
        if position.term > term {
            // A leader of a higher term has written to that replica in the meantime.
            self.become_follower(now, None);
            return;
        }
        let Position { term: written_term, revision } = position;
        let current_term = self.state.current_term;
        self.restart_changes(revision, &entries);
        self.state = ReplicaState { current_term, written_term, revision, entries };
        self.become_leader(now, from.group, term, commands);
    }

    /// Becomes the leader and writes its state under the new term. It serves operations once a
    /// majority, with or without the leader itself, has synced that state.
    fn become_leader(
        &mut self,
        now: Tick,
        group: VoterGroup,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        self.state.written_term = term;
        let revision = self.state.revision;
        self.role = Role::Leader(Box::new(Leader::new(group, term, now)));
        let after = vec![AfterWrite::OwnAppendSynced { term, revision }];
        self.persist_snapshot(now, after, commands);
    }

    /// Handles the rejection of a vote request or of a leader's message by a voter that has
    /// voted in a higher term.
    pub fn on_vote_rejected(
        &mut self,
        now: Tick,
        group: VoterGroup,
        term: Term,
        current_term: Term,
        commands: &mut Vec<Command>,
    ) {
        match &self.role {
            Role::Candidate(candidacy) if candidacy.term == term => {
                self.become_follower(now, None);
            }
            // The voter voted in a term in which no leader was elected, and would reject this
            // leader forever. If a majority still follows this leader, it starts an election
            // above that term.
            Role::Leader(leader) if leader.term == term => {
                let is_followed = leader.has_majority_contact(group, now);
                self.step_down(now, None, commands);
                if is_followed {
                    let highest = current_term.max(self.state.current_term);
                    self.start_election(now, group, highest.next_for(group.slot), commands);
                }
            }
            _ => {}
        }
    }

    /// Steps down and, if this replica was the leader, transfers the leadership to the follower
    /// that has synced most.
    pub fn transfer_leadership(
        &mut self,
        now: Tick,
        group: VoterGroup,
        commands: &mut Vec<Command>,
    ) {
        let successor = self.successor(group);
        let (partition, term) = (self.id, self.state.current_term);
        self.step_down(now, None, commands);
        if let Some(slot) = successor {
            let message = Message::LeadershipTransfer { partition, term };
            commands.push(Command::ToVoter { slot, message });
        }
    }

    /// Returns the follower that has synced most, to which this leader transfers the leadership.
    fn successor(&self, group: VoterGroup) -> Option<VoterSlot> {
        let leader = self.leader()?;
        let synced = |slot: &VoterSlot| leader.synced[usize::from(*slot)];
        other_voters(group).filter(|slot| synced(slot).is_some()).max_by_key(synced)
    }

    /// Starts an election at once because the leader transfers its leadership to this follower.
    /// There is no pre-vote: the other voters heard from the leader a moment ago and would reject
    /// it. They grant votes regardless of that.
    pub fn on_leadership_transfer(
        &mut self,
        now: Tick,
        from: Sender,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        let sender = KnownLeader { slot: from.slot, term };
        let follows =
            matches!(self.role, Role::Follower { leader: Some(leader), .. } if leader == sender);
        if follows && self.state.current_term == term {
            let next = term.next_for(from.group.slot);
            self.start_election(now, from.group, next, commands);
        }
    }
}
