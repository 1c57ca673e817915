//! How a voter comes to lead a partition: it asks whether it would be voted for, votes
//! for itself, gathers votes, adopts the newest replica, re-writes it under the new term,
//! then serves.

use crate::command::Command;
use crate::digest::{hash, pair};
use crate::identifiers::{PartitionId, Position, Term, VoterSlot};
use crate::protocol::message::Message;
use crate::protocol::replica::EntryMap;
use crate::random::Random;
use crate::replication::leader::Leader;
use crate::replication::partition::{AfterWrite, Candidacy, KnownLeader, Partition, Role, Sender};
use crate::replication::timing::{ANSWER_TIMEOUT, LEADER_SILENCE};
use crate::storage::record::{LogRecord, ReplicaState};
use crate::time::{Span, Tick, ms, since};
use crate::voter_set::{VoterGroup, majority, others};

/// Extra wait per rank, so that the preferred voter stands first.
const ELECTION_STAGGER: Span = ms(300);
/// Random part of the wait before an election; breaks ties between voters.
const ELECTION_JITTER: Span = ms(150);
/// The wait of a voter that has just started and heard of no leader yet: long enough for
/// the other voters' connections to come up and their first heartbeats.
const FIRST_ELECTION_WAIT: Span = ms(150);
/// Extra wait per rank then.
const FIRST_ELECTION_STAGGER: Span = ms(100);

/// A voter's rank for a partition among those that may lead it: 0 stands first. Spreads
/// the leaders. The leader that fell silent is not waited for.
fn rank(id: PartitionId, group: VoterGroup, silent: Option<VoterSlot>) -> u64 {
    let partition = hash(&id.to_string());
    let ours = pair(partition, u64::from(group.slot));
    let stands_before =
        |slot: &VoterSlot| Some(*slot) != silent && pair(partition, u64::from(*slot)) < ours;
    others(group).filter(stands_before).count() as u64
}

impl Partition {
    /// How long this voter lets a partition be without a leader before it asks for
    /// pre-votes.
    ///
    /// A voter that has just started has nobody to wait for: a partition with a leader
    /// is not taken from it, since the others who hear that leader say no to a
    /// pre-vote. So it asks soon, and all that restart together are served soon.
    fn election_timeout(&self, group: VoterGroup, random: &mut Random) -> Span {
        if self.unled_since_start {
            return FIRST_ELECTION_WAIT
                + rank(self.id, group, None) * FIRST_ELECTION_STAGGER
                + random.below(FIRST_ELECTION_STAGGER / 2);
        }
        let silent = match &self.role {
            Role::Follower { leader: Some(leader), .. } => Some(leader.slot),
            _ => None,
        };
        LEADER_SILENCE
            + rank(self.id, group, silent) * ELECTION_STAGGER
            + random.below(ELECTION_JITTER)
    }

    /// Time passes for a voter that does not lead the partition.
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
                let term = self.state.current_term.next_of(group.slot);
                self.start_pre_vote(now, group, term, commands);
            }
            Role::PreVoting { until, .. } if now >= *until => {
                self.become_follower(now, None);
            }
            Role::Candidate(candidacy) if now >= candidacy.until => {
                self.become_follower(now, None);
            }
            _ => {}
        }
    }

    /// Asks the others whether they would vote for us.
    fn start_pre_vote(
        &mut self,
        now: Tick,
        group: VoterGroup,
        term: Term,
        commands: &mut Vec<Command>,
    ) {
        let mut granted = vec![false; group.size];
        granted[usize::from(group.slot)] = true;
        self.role = Role::PreVoting { term, granted, until: now + ANSWER_TIMEOUT };
        for slot in others(group) {
            let message = Message::PreVoteRequest { partition: self.id, term };
            commands.push(Command::ToVoter { slot, message });
        }
        if majority(group.size) == 1 {
            self.start_election(now, group, term, commands);
        }
    }

    /// An answer to a pre-vote: whether it was granted, and the sender's term.
    pub fn on_pre_vote_response(
        &mut self,
        now: Tick,
        from: Sender,
        asked: Term,
        granted: bool,
        current_term: Term,
        commands: &mut Vec<Command>,
    ) {
        let Role::PreVoting { term, granted: all, .. } = &mut self.role else { return };
        if *term != asked {
            return;
        }
        if current_term >= asked {
            // Somebody is further than we knew; ask again above that.
            let term = current_term.next_of(from.group.slot);
            return self.start_pre_vote(now, from.group, term, commands);
        }
        all[usize::from(from.slot)] = granted;
        if all.iter().filter(|granted| **granted).count() >= majority(from.group.size) {
            self.start_election(now, from.group, asked, commands);
        }
    }

    /// Votes for ourselves first; the others are asked once that is synced.
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

    /// Our own vote is synced: ask the others.
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
        for slot in others(group) {
            let message = Message::VoteRequest { partition: self.id, term };
            commands.push(Command::ToVoter { slot, message });
        }
        self.count_votes(now, group, term, commands);
    }

    /// A voter voted for us, and says how new its replica is.
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

    /// Goes on once a majority has voted for us.
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
            _ => self.lead(now, group, term, commands),
        }
    }

    /// The newest replica has come.
    pub fn on_newest_fetched(
        &mut self,
        now: Tick,
        from: Sender,
        nonce: u64,
        position: Position,
        entries: EntryMap,
        commands: &mut Vec<Command>,
    ) {
        let Role::Candidate(candidacy) = &self.role else { return };
        let (term, promised) = (candidacy.term, candidacy.grants[usize::from(from.slot)]);
        let is_expected = term.as_u64() == nonce && candidacy.fetching_from == Some(from.slot);
        if !is_expected || promised.is_none_or(|promised| position < promised) {
            return;
        }
        if position.term > term {
            // Somebody with a higher term wrote there meanwhile.
            self.become_follower(now, None);
            return;
        }
        let Position { term: written_term, revision } = position;
        let current_term = self.state.current_term;
        self.restart_changes(revision, &entries);
        self.state = ReplicaState { current_term, written_term, revision, entries };
        self.lead(now, from.group, term, commands);
    }

    /// Re-writes the adopted state under our term. We serve once a majority, ourselves
    /// or not, has synced that.
    fn lead(&mut self, now: Tick, group: VoterGroup, term: Term, commands: &mut Vec<Command>) {
        self.state.written_term = term;
        let revision = self.state.revision;
        self.role = Role::Leader(Box::new(Leader::new(group, term, now)));
        let after = vec![AfterWrite::OwnAppendSynced { term, revision }];
        self.persist_snapshot(now, after, commands);
    }

    /// A vote or a message of ours was rejected: the sender has voted in a higher term.
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
            // A voter voted in a term in which nobody came to lead. It would reject us
            // for ever; if most still follow us we stand for election again above it.
            Role::Leader(leader) if leader.term == term => {
                let is_followed = leader.hears_majority(group, now);
                self.step_down(now, None, commands);
                if is_followed {
                    let highest = current_term.max(self.state.current_term);
                    self.start_election(now, group, highest.next_of(group.slot), commands);
                }
            }
            _ => {}
        }
    }

    /// Steps down in favour of the follower that has synced most, if we lead.
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

    /// Who should lead after us, if we lead: the follower that has synced most.
    fn successor(&self, group: VoterGroup) -> Option<VoterSlot> {
        let leader = self.leader()?;
        let synced = |slot: &VoterSlot| leader.synced[usize::from(*slot)];
        others(group).filter(|slot| synced(slot).is_some()).max_by_key(synced)
    }

    /// The leader that we follow steps down in our favour. The others would not grant a
    /// pre-vote, since they heard it a moment ago; a vote they grant.
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
            let next = term.next_of(from.group.slot);
            self.start_election(now, from.group, next, commands);
        }
    }
}
