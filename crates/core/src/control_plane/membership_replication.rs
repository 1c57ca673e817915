//! Replicates memberships from the leader of the configuration partition to the voters.
//!
//! A membership is held by a majority of the voters before it is sent to any member, and is
//! kept until no member can serve under it any more.
//!
//! At most one membership is being replicated at a time, and none is issued before the
//! earlier ones are retired: `quorum::acceptance` of their members have left them, so that
//! the remaining members can't gather the proofs that they need to go on serving.

use crate::command::{Command, ConnectionId};
use crate::control_plane::members::Members;
use crate::control_plane::membership_log::{
    FormerMembership, MAX_MEMBERSHIPS, MembershipVersion, Voters,
};
use crate::identifiers::{Term, VoterSlot};
use crate::protocol::membership::{Membership, MembershipId, Memberships};
use crate::protocol::message::Message;
use crate::replication::timing::HEARTBEAT_INTERVAL;
use crate::time::{Span, Tick, since};
use crate::voter_set::{VoterGroup, majority, other_voters};

/// How long a new leader waits for voters that have not answered, if it needs restarted
/// voters without a membership for a majority. A voter that has not answered may be the
/// last one that holds the membership.
const ANSWER_TIMEOUT: Span = 3 * HEARTBEAT_INTERVAL;

/// A membership that a leader replicates to this node.
pub struct ReplicatedMembership {
    /// Term of the leader.
    pub term: Term,
    /// The newest membership.
    pub current: Membership,
    /// Whether a majority holds it.
    pub confirmed: bool,
    /// Former memberships that some member may still use.
    pub older: Vec<Membership>,
}

/// The outcome of storing a replicated membership.
pub struct StoredMembership {
    /// The response to the leader.
    pub acknowledgement: Message,
    /// Whether there is a newer membership to send to the members.
    pub is_newer: bool,
}

impl Members {
    /// Starts to grant leases in a new term. Every former member remains a member for one
    /// lease, since this node may not have received its renewal yet.
    pub fn begin_term(&mut self, now: Tick, term: Term, voters: Voters) {
        if self.is_leading_in(term) {
            return;
        }
        self.reset_for_term(now, term);
        let own = self.log.held_with(&self.membership);
        self.log.begin_term(term, voters, own);
    }

    /// Returns all memberships that this voter knows.
    pub fn held_memberships(&self) -> Memberships {
        self.log.held_with(&self.membership)
    }

    /// Returns whether this leader knows all memberships that members may use. Until then
    /// it fetches them from the other voters.
    pub fn inherit_from_voters(
        &mut self,
        now: Tick,
        term: Term,
        voters: Voters,
        commands: &mut Vec<Command>,
    ) -> bool {
        self.log.follow_voter_set(voters, &self.membership);
        if self.log.is_inherited() {
            return true;
        }
        if self.has_fetched_enough(now, voters.group) {
            self.inherit_fetched(now);
            return true;
        }
        let replication = &mut self.log.replication;
        if replication.sent.is_none_or(|(_, at)| since(at, now) >= HEARTBEAT_INTERVAL) {
            let id = MembershipId::default();
            replication.sent = Some((MembershipVersion { id, settled: 0, confirmed: false }, now));
            for slot in other_voters(voters.group) {
                commands
                    .push(Command::ToVoter { slot, message: Message::FetchMembership { term } });
            }
        }
        false
    }

    /// Returns whether enough voters have answered to inherit their memberships: a majority
    /// of voters that hold one. A restarted voter holds none, and the other voters of the
    /// majority that stored the membership may not have answered yet; the leader waits for
    /// them up to `ANSWER_TIMEOUT`.
    fn has_fetched_enough(&self, now: Tick, group: VoterGroup) -> bool {
        let answers = || self.log.replication.fetched.iter().flatten();
        let remembering = answers().filter(|held| !held.is_empty()).count();
        let answered = answers().count();
        let waited = self.leadership.map_or(0, |(_, began)| since(began, now));
        remembering >= majority(group.size)
            || answered == group.size
            || (answered >= majority(group.size) && waited >= ANSWER_TIMEOUT)
    }

    /// Inherits the memberships that the voters reported. The newest membership that was
    /// sent to members was replicated with all earlier ones that may still be in use. Newer
    /// ones that voters hold may have been sent to members as well.
    fn inherit_fetched(&mut self, now: Tick) {
        let replication = &mut self.log.replication;
        replication.inherited = true;
        replication.sent = None;
        let fetched: Vec<Memberships> =
            std::mem::take(&mut replication.fetched).into_iter().flatten().collect();
        let rank = |held: &&Memberships| (held.current.id(), held.current.settled);
        let Some(newest) = fetched.iter().max_by_key(rank).cloned() else { return };
        let Memberships { current, others: mut older_memberships } = newest;
        let id = current.id();
        older_memberships
            .extend(fetched.into_iter().flat_map(|held| held.others).filter(|c| c.id() > id));
        older_memberships.retain(|c| c.id() != id && !c.members.is_empty());
        older_memberships.sort_by_key(Membership::id);
        older_memberships.dedup_by_key(|c| c.id());
        self.membership = current;
        self.log.proposed = None;
        self.log.inherit(older_memberships);
        self.expect_all(now);
    }

    /// Sends the newest membership to the voters that lack it, and confirms it once a
    /// majority holds it. Returns whether there is a newer membership to send to the
    /// members.
    pub fn replicate(
        &mut self,
        now: Tick,
        term: Term,
        group: VoterGroup,
        commands: &mut Vec<Command>,
    ) -> bool {
        let is_confirmed = self.is_proposed_held_by_majority(group);
        if is_confirmed {
            self.confirm();
        }
        self.send_newest(now, term, group, commands);
        is_confirmed
    }

    /// Returns whether there is a proposed membership and a majority holds it.
    fn is_proposed_held_by_majority(&self, group: VoterGroup) -> bool {
        self.log.proposed.as_ref().is_some_and(|proposed| {
            let id = proposed.id();
            let holds = |version: &&MembershipVersion| version.id >= id;
            let count = self.log.replication.acknowledged.iter().flatten().filter(holds).count();
            count + 1 >= majority(group.size)
        })
    }

    /// Makes the proposed membership the one that is sent to the members.
    fn confirm(&mut self) {
        let Some(proposed) = self.log.proposed.take() else { return };
        let former = std::mem::replace(&mut self.membership, proposed);
        if !former.members.is_empty() {
            self.log.older.push(FormerMembership::new(former));
        }
    }

    /// Sends the newest membership to the voters that lack it, at most once per heartbeat
    /// interval unless it has changed.
    fn send_newest(
        &mut self,
        now: Tick,
        term: Term,
        group: VoterGroup,
        commands: &mut Vec<Command>,
    ) {
        let (current, confirmed) = match &self.log.proposed {
            Some(proposed) => (proposed, false),
            None => (&self.membership, true),
        };
        let version = MembershipVersion::new(current, confirmed);
        let replication = &mut self.log.replication;
        let is_due = replication
            .sent
            .is_none_or(|(sent, at)| sent != version || since(at, now) >= HEARTBEAT_INTERVAL);
        let lacking: Vec<VoterSlot> = other_voters(group)
            .filter(|slot| replication.acknowledged[usize::from(*slot)] != Some(version))
            .collect();
        if !is_due || lacking.is_empty() || current.term == Term::ZERO {
            return;
        }
        replication.sent = Some((version, now));
        let older: Vec<Membership> =
            self.log.older.iter().map(|former| former.membership.clone()).collect();
        for slot in lacking {
            let (current, older) = (current.clone(), older.clone());
            let message = Message::ReplicateMembership { term, current, confirmed, older };
            commands.push(Command::ToVoter { slot, message });
        }
    }

    /// Returns whether the leader of this term has been replaced, according to the term of
    /// the local replica (`current_term`) or to the messages of later leaders.
    fn is_superseded(&self, term: Term, current_term: Term) -> bool {
        term < self.log.term || term < current_term
    }

    /// Stores a membership that a leader replicates to this node. Returns `None` if that
    /// node is no longer the leader.
    pub fn store_replicated(
        &mut self,
        current_term: Term,
        replicated: ReplicatedMembership,
    ) -> Option<StoredMembership> {
        let ReplicatedMembership { term, current, confirmed, older } = replicated;
        if self.is_superseded(term, current_term) {
            return None;
        }
        let version = MembershipVersion::new(&current, confirmed);
        self.log.term = term;
        self.log.inherit(older);
        let mut is_newer = false;
        if confirmed {
            self.log.proposed = self.log.proposed.take().filter(|other| other.id() > version.id);
            is_newer = current.is_newer_than(&self.membership);
            if is_newer {
                self.membership = current;
            }
        } else {
            self.log.proposed = Some(current);
        }
        let MembershipVersion { id, settled, confirmed } = version;
        let acknowledgement =
            Message::MembershipReplicated { term, id, settled, confirmed, stamp: 0 };
        Some(StoredMembership { acknowledgement, is_newer })
    }

    /// Records the connection on which a voter sent a message. The connection
    /// distinguishes the processes of a voter.
    pub fn on_voter_connection(&mut self, from: VoterSlot, connection: ConnectionId) {
        self.log.record_connection(from, connection);
    }

    /// Handles a voter's acknowledgement of a version that this node sent in this term.
    pub fn on_replicated(&mut self, from: VoterSlot, term: Term, version: MembershipVersion) {
        if self.is_leading_in(term) {
            self.log.record_acknowledged(from, version);
        }
    }

    /// Returns the memberships that this node holds, for a new leader that fetches them.
    /// Returns `None` if that node is no longer the leader.
    pub fn answer_fetch(&mut self, current_term: Term, term: Term) -> Option<Message> {
        if self.is_superseded(term, current_term) {
            return None;
        }
        self.log.term = term;
        let Memberships { current, others } = self.held_memberships();
        Some(Message::MembershipFetched { term, current, others, stamp: 0 })
    }

    /// Handles the memberships that a voter reported.
    pub fn on_fetched(&mut self, from: VoterSlot, term: Term, held: Memberships) {
        if self.is_leading_in(term) {
            self.log.record_fetched(from, held);
        }
    }

    /// Adds a membership that a member reported and that this leader did not know.
    pub fn add_reported(&mut self, now: Tick, membership: Membership) {
        let Some((term, _)) = self.leadership else { return };
        let id = membership.id();
        let has_capacity = self.log.older.len() < MAX_MEMBERSHIPS;
        if !self.log.is_inherited() || id.term >= term || !has_capacity || self.knows(id) {
            return;
        }
        self.log.older.push(FormerMembership::new(membership));
        self.expect_all(now);
    }
}
