//! The members and their leases, as the leader of the configuration keeps them.

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

/// What a voter knows of the members.
///
/// Invariants: `membership` never goes back in (`term`, `turn`), and a majority of
/// the voters held it before any member was told; `heard` is kept by the leader
/// only, and holds all whom some membership names that is still gone by.
#[derive(Default)]
pub struct Members {
    /// The membership that members are told.
    pub membership: Membership,
    /// Memberships beside `membership`: on their way, or not yet out of use.
    pub log: MembershipLog,
    /// The last renewal of each member.
    pub last_renewals: IndexMap<String, LastRenewal>,
    /// Members that stopped in order, or that an operator declared down for good.
    pub departed: IndexMap<String, Departure>,
    /// Term for which `heard` was begun, and when.
    pub leadership: Option<(Term, Tick)>,
    /// No membership was handed down to us, and a lease has not passed since we
    /// began: there may be members that we have not heard yet.
    pub gathering: bool,
    /// The connection on which each member speaks to this voter.
    pub connections: IndexMap<String, ConnectionId>,
    /// The revision up to which members that operators forgot were noted.
    pub forgotten_at: u64,
    /// When revisions were committed, which the acceptance of changes goes by.
    pub commit_times: CommitTimes,
    /// Who polls the platform's list in place of silent members.
    pub(super) substitute_list_pollers: SubstituteListPollers,
    /// When a member was last asked for a membership that we don't know.
    membership_asked_at: Tick,
}

/// A member's last renewal.
pub struct LastRenewal {
    /// When it came.
    pub at: Tick,
    /// The member, as it described itself.
    pub member: Member,
    /// How far the member was.
    pub progress: MemberProgress,
    /// It renewed with us; else we only know that it is a member, and `at` is
    /// when we came to know.
    pub has_renewed: bool,
}

/// A process that serves no more.
pub struct Departure {
    /// Which process of the member's.
    pub incarnation: u64,
    /// It said so itself. Else an operator did, who may be mistaken.
    pub said_itself: bool,
}

impl Members {
    /// Whether we keep the leases under this term.
    pub fn is_leading_in(&self, term: Term) -> bool {
        self.leadership.is_some_and(|(ours, _)| ours == term)
    }

    /// Empties what was kept under a former term.
    pub(super) fn reset_for_term(&mut self, now: Tick, term: Term) {
        self.leadership = Some((term, now));
        // Whom operators forgot is noted anew under each term.
        self.forgotten_at = 0;
        self.gathering = false;
        self.last_renewals.clear();
        self.departed.clear();
        self.commit_times = CommitTimes::default();
    }

    /// Whether a member was heard within a lease, and has not gone since.
    pub fn is_live(&self, now: Tick, name: &str) -> bool {
        self.last_renewals.get(name).is_some_and(|heard| {
            !self.is_gone(&heard.member) && since(heard.at, now) < consts::LEASE_DURATION
        })
    }

    /// Whether this very process of a member is known to serve no more.
    pub fn is_gone(&self, member: &Member) -> bool {
        self.departed.get(&member.name).is_some_and(|gone| gone.incarnation == member.incarnation)
    }

    /// Whether a member goes by a membership that it should tell us of, since we
    /// have never heard of it.
    pub fn asks_for_membership(&mut self, now: Tick, progress: &MemberProgress) -> bool {
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

    /// Whether a membership is among those that we reckon with.
    pub fn knows(&self, id: MembershipId) -> bool {
        let older = self.log.older.iter().map(|former| &former.membership);
        let mut all = older.chain([&self.membership]).chain(&self.log.proposed);
        all.any(|membership| membership.id() == id)
    }

    /// Notes a renewal; tells whether it counts.
    pub fn note_renewal(&mut self, now: Tick, member: Member, progress: MemberProgress) -> bool {
        let name = member.name.clone();
        let incarnation = member.incarnation;
        let gone = self.departed.get(&name).filter(|gone| gone.incarnation == incarnation);
        if gone.is_some_and(|gone| gone.said_itself) {
            // It was on its way while the process ended.
            return false;
        }
        self.departed.swap_remove(&name);
        if progress.leaving {
            self.departed.insert(name, Departure { incarnation, said_itself: true });
        } else {
            self.last_renewals
                .insert(name, LastRenewal { at: now, member, progress, has_renewed: true });
        }
        true
    }

    /// Whoever a membership names that we have not heard counts as heard just now.
    pub fn expect_all(&mut self, now: Tick) {
        let older = self.log.older.iter().map(|former| &former.membership);
        for member in older.chain([&self.membership]).flat_map(|c| &c.members) {
            let (member, progress) = (member.clone(), MemberProgress::default());
            let new = LastRenewal { at: now, member: member.clone(), progress, has_renewed: false };
            self.last_renewals.entry(member.name).or_insert(new);
        }
    }

    /// Drops those whom no membership names any more.
    pub fn drop_unnamed(&mut self, now: Tick) {
        let older = self.log.older.iter().map(|former| &former.membership);
        let all = older.chain([&self.membership]).chain(&self.log.proposed);
        let named: HashSet<&str> =
            all.flat_map(|c| &c.members).map(|member| member.name.as_str()).collect();
        self.last_renewals.retain(|name, heard| {
            named.contains(name.as_str()) || since(heard.at, now) < consts::LEASE_DURATION
        });
        let heard = &self.last_renewals;
        self.departed.retain(|name, _| named.contains(name.as_str()) || heard.contains_key(name));
    }

    /// Takes over what a voter knew whose slot we take, unless we know a membership.
    pub fn inherit(&mut self, memberships: Memberships) {
        if self.membership.term == Term::ZERO && self.log.older.is_empty() {
            self.membership = memberships.current;
            self.log.inherit(memberships.others);
        }
    }

    /// The process of a member that an operator may declare down for good.
    pub fn silent_incarnation(&self, now: Tick, name: &str) -> Option<u64> {
        let known = self.membership.members.iter().find(|member| member.name == name)?;
        (!self.is_live(now, name)).then_some(known.incarnation)
    }

    /// What the leader knows of the members' progress: name, ms since heard, how far.
    pub fn status(&self, now: Tick) -> Vec<(String, u64, MemberProgress)> {
        let age_ms = |heard: &LastRenewal| since(heard.at, now) / MILLI;
        let all = self.last_renewals.iter();
        all.map(|(name, heard)| (name.clone(), age_ms(heard), heard.progress.clone())).collect()
    }
}
