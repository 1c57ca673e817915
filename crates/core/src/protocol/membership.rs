//! Memberships: the members that divide the cluster's limits, and what they say of
//! themselves.

use nanoserde::{DeBin, SerBin};

use crate::identifiers::Term;

/// A member, as a membership names it.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub struct Member {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where the other members reach it.
    pub addr: String,
    /// Its zone.
    pub zone: String,
    /// Traffic threads; each has its own quota share.
    pub threads: u32,
    /// Turn of the membership in which it joined.
    pub joined: u64,
    /// Drawn when its process started: a restarted process is another one, which knows
    /// nothing of what the former knew.
    pub incarnation: u64,
}

/// Names one membership among all that were ever issued. Ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, DeBin, SerBin)]
pub struct MembershipId {
    /// Term of the leader that issued it.
    pub term: Term,
    /// Its number under that leader.
    pub turn: u64,
}

/// A state of the membership. Ordered by (`term`, `turn`, `settled`); what a process
/// holds never goes backwards.
#[derive(Clone, Debug, PartialEq, Default, DeBin, SerBin)]
pub struct Membership {
    /// Term of the configuration's leader that issued it: with `turn` the fencing token
    /// of what its members report.
    pub term: Term,
    /// Its number, which rises by one with each membership.
    pub turn: u64,
    /// Every live member has seen the membership of this turn or a later one. A member
    /// has a quota share only once the turn in which it joined is settled.
    pub settled: u64,
    /// The configuration's committed revision when this was issued: who goes by this
    /// membership knows that there is no older one to obey.
    pub revision: u64,
    /// The members, by name.
    pub members: Vec<Member>,
}

impl Membership {
    /// The identity of this membership, whatever its settled turn.
    pub fn id(&self) -> MembershipId {
        MembershipId { term: self.term, turn: self.turn }
    }

    /// Whether this state of the membership comes after another.
    pub fn is_newer_than(&self, other: &Membership) -> bool {
        (self.term, self.turn, self.settled) > (other.term, other.turn, other.settled)
    }

    /// This state as one number that only rises, which serves as its revision in the
    /// feed: within a turn it is sent once before all have seen it and once after.
    pub fn feed_revision(&self) -> u64 {
        let is_settled = self.term > Term::ZERO && self.settled == self.turn;
        self.term.as_u64() << 32 | self.turn << 1 | u64::from(is_settled)
    }
}

/// The memberships that a voter knows.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct Memberships {
    /// The one that is sent to members.
    pub current: Membership,
    /// Those that some member may go by beside or instead of it.
    pub others: Vec<Membership>,
}

impl Memberships {
    /// Whether nothing is known, as by a voter that has just started.
    pub fn is_empty(&self) -> bool {
        self.current.term == Term::ZERO && self.others.is_empty()
    }
}

/// How far a member is, sent with each renewal of its lease.
#[derive(Clone, Debug, PartialEq, Default, DeBin, SerBin)]
pub struct MemberProgress {
    /// Configuration revision that it obeys.
    pub applied_revision: u64,
    /// The membership that it has seen.
    pub seen_membership: MembershipId,
    /// The newest configuration revision that it knows to exist.
    pub known_revision: u64,
    /// Time since it last attested, or since its start if it never did (ms).
    pub attestation_age_ms: u64,
    /// Whether it is ready.
    pub ready: bool,
    /// It gives its lease back.
    pub leaving: bool,
}

/// What a member attests when it is asked while no controller reaches it: that it goes by
/// this membership and knows of no newer configuration than this.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub struct Attestation {
    /// The membership that it goes by.
    pub membership: MembershipId,
    /// The newest configuration revision that it knows to exist.
    pub known_revision: u64,
    /// For each member, in the membership's order: how old the newest such proof is that
    /// the sender has about it (ms); `NO_PROOF` if it has none.
    pub ages: Vec<u16>,
}

/// In place of an age in an `Attestation`.
pub const NO_PROOF: u16 = u16::MAX;
