//! The members and their leases, as tracked by the leader of the configuration partition.

use std::collections::HashSet;

use indexmap::IndexMap;

use crate::command::ConnectionId;
use crate::consts;
use crate::control_plane::commit_times::CommitTimes;
use crate::control_plane::list_pollers::SubstituteListPollers;
use crate::control_plane::membership_log::MembershipLog;
use crate::identifiers::Term;
use crate::protocol::membership::{Member, MemberProgress, Membership, MembershipId, Memberships};
use crate::time::{MILLI, Tick, since};

/// The state of the members as known to a voter.
///
/// Invariants: `membership` never goes back in (`term`, `turn`), and a majority of the
/// voters held it before it was sent to any member. `last_renewals` is maintained by the
/// leader only and has every member of each membership that is still in use.
#[derive(Default)]
pub struct Members {
    /// The membership that is sent to the members.
    pub membership: Membership,
    /// Other memberships: being replicated, or still in use.
    pub log: MembershipLog,
    /// The last renewal of each member.
    pub last_renewals: IndexMap<String, LastRenewal>,
    /// Members that shut down gracefully, or that an operator declared permanently down.
    pub departed: IndexMap<String, Departure>,
    /// The term in which this node leads, and when it began to track leases.
    pub leadership: Option<(Term, Tick)>,
    /// This node inherited no membership, and less than a lease has passed since its term
    /// began. There may be members that it has not heard yet.
    pub gathering: bool,
    /// The connection of each member to this voter.
    pub connections: IndexMap<String, ConnectionId>,
    /// The revision up to which members forgotten by operators were applied.
    pub forgotten_revision: u64,
    /// When recent revisions were committed, for the acceptance of changes.
    pub commit_times: CommitTimes,
    /// The members that poll the platform's list in place of silent ones.
    pub(super) substitute_list_pollers: SubstituteListPollers,
    /// When a member was last asked for a membership that this node does not know.
    membership_asked_at: Tick,
}

/// The last renewal of a member.
pub struct LastRenewal {
    /// When the renewal was received.
    pub at: Tick,
    /// The member as it described itself.
    pub member: Member,
    /// How far the member had applied the configuration and the membership.
    pub progress: MemberProgress,
    /// Whether the member renewed its lease with this node. Otherwise it is only known from
    /// a membership, and `at` is when this node learned of it.
    pub has_renewed: bool,
}

/// A process that no longer serves.
pub struct Departure {
    /// The incarnation of the member.
    pub incarnation: u64,
    /// Whether the process reported its own shutdown. Otherwise an operator declared it down,
    /// possibly by mistake.
    pub is_self_reported: bool,
}

impl Members {
    /// Returns whether this node grants leases in this term.
    pub fn is_leading_in(&self, term: Term) -> bool {
        self.leadership.is_some_and(|(leading_term, _)| leading_term == term)
    }

    /// Clears the state of a former term.
    pub(super) fn reset_for_term(&mut self, now: Tick, term: Term) {
        self.leadership = Some((term, now));
        // Members forgotten by operators are applied again in each term.
        self.forgotten_revision = 0;
        self.gathering = false;
        self.last_renewals.clear();
        self.departed.clear();
        self.commit_times = CommitTimes::default();
    }

    /// Returns whether a member has renewed within a lease and has not departed since.
    pub fn is_live(&self, now: Tick, name: &str) -> bool {
        self.last_renewals.get(name).is_some_and(|last_renewal| {
            !self.has_departed(&last_renewal.member)
                && since(last_renewal.at, now) < consts::LEASE_DURATION
        })
    }

    /// Returns whether this process (incarnation) of a member is known to have departed.
    pub fn has_departed(&self, member: &Member) -> bool {
        self.departed
            .get(&member.name)
            .is_some_and(|departure| departure.incarnation == member.incarnation)
    }

    /// Returns whether a member is to be asked for the membership that it uses because this
    /// node does not know it.
    pub fn should_request_membership(&mut self, now: Tick, progress: &MemberProgress) -> bool {
        let id = progress.seen_membership;
        let may_count = self.gathering || id > self.membership.id();
        let is_due = self.membership_asked_at == 0
            || since(self.membership_asked_at, now) >= consts::ACCEPTANCE_POLL_INTERVAL;
        let asks = id.term > Term::ZERO && may_count && is_due && !self.knows(id);
        if asks {
            self.membership_asked_at = now;
        }
        asks
    }

    /// Returns whether this node knows a membership.
    pub fn knows(&self, id: MembershipId) -> bool {
        let older = self.log.older.iter().map(|former| &former.membership);
        let mut all = older.chain([&self.membership]).chain(&self.log.proposed);
        all.any(|membership| membership.id() == id)
    }

    /// Records a renewal. Returns false if it is stale.
    pub fn record_renewal(&mut self, now: Tick, member: Member, progress: MemberProgress) -> bool {
        let name = member.name.clone();
        let incarnation = member.incarnation;
        let departure =
            self.departed.get(&name).filter(|departure| departure.incarnation == incarnation);
        if departure.is_some_and(|departure| departure.is_self_reported) {
            // The renewal was in transit while the process stopped.
            return false;
        }
        self.departed.swap_remove(&name);
        if progress.leaving {
            self.departed.insert(name, Departure { incarnation, is_self_reported: true });
        } else {
            self.last_renewals
                .insert(name, LastRenewal { at: now, member, progress, has_renewed: true });
        }
        true
    }

    /// Adds a renewal as of now for each member of a known membership that has none yet.
    pub fn expect_all(&mut self, now: Tick) {
        let older = self.log.older.iter().map(|former| &former.membership);
        for member in older.chain([&self.membership]).flat_map(|c| &c.members) {
            let (member, progress) = (member.clone(), MemberProgress::default());
            let new = LastRenewal { at: now, member: member.clone(), progress, has_renewed: false };
            self.last_renewals.entry(member.name).or_insert(new);
        }
    }

    /// Drops the members that no membership names any more.
    pub fn drop_unnamed(&mut self, now: Tick) {
        let older = self.log.older.iter().map(|former| &former.membership);
        let all = older.chain([&self.membership]).chain(&self.log.proposed);
        let named: HashSet<&str> =
            all.flat_map(|c| &c.members).map(|member| member.name.as_str()).collect();
        self.last_renewals.retain(|name, last_renewal| {
            named.contains(name.as_str()) || since(last_renewal.at, now) < consts::LEASE_DURATION
        });
        let last_renewals = &self.last_renewals;
        self.departed
            .retain(|name, _| named.contains(name.as_str()) || last_renewals.contains_key(name));
    }

    /// Inherits the memberships of the voter whose slot this node takes, unless it knows
    /// one already.
    pub fn inherit(&mut self, memberships: Memberships) {
        if self.membership.term == Term::ZERO && self.log.older.is_empty() {
            self.membership = memberships.current;
            self.log.inherit(memberships.others);
        }
    }

    /// Returns the incarnation of a silent member, which an operator may declare
    /// permanently down.
    pub fn silent_incarnation(&self, now: Tick, name: &str) -> Option<u64> {
        let known = self.membership.members.iter().find(|member| member.name == name)?;
        (!self.is_live(now, name)).then_some(known.incarnation)
    }

    /// Returns the progress of the members: name, ms since the last renewal, progress.
    pub fn status(&self, now: Tick) -> Vec<(String, u64, MemberProgress)> {
        let age_ms = |last_renewal: &LastRenewal| since(last_renewal.at, now) / MILLI;
        let all = self.last_renewals.iter();
        all.map(|(name, last_renewal)| {
            (name.clone(), age_ms(last_renewal), last_renewal.progress.clone())
        })
        .collect()
    }
}
