//! Memberships, which list the members that share the cluster's quotas, and the progress that
//! members report.

use nanoserde::{DeBin, SerBin};

use crate::identifiers::Term;

/// A member as listed in a membership.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub struct Member {
    /// The name of the member, which a restart does not change.
    pub name: String,
    /// The address at which the other members reach it.
    pub addr: String,
    /// The zone in which it runs.
    pub zone: String,
    /// Number of traffic threads; each has its own quota share.
    pub threads: u32,
    /// The turn of the membership in which it joined.
    pub joined: u64,
    /// Random number drawn when its process started. It distinguishes a restarted process, whose
    /// memory is empty, from the former one.
    pub incarnation: u64,
}

/// Identifies a membership among all that were ever issued. A newer membership has a greater
/// identifier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, DeBin, SerBin)]
pub struct MembershipId {
    /// The term of the leader that issued the membership.
    pub term: Term,
    /// The number of the membership under that leader.
    pub turn: u64,
}

/// A version of the membership. Versions are ordered by (`term`, `turn`, `settled`); a process
/// never replaces its version by an older one.
#[derive(Clone, Debug, PartialEq, Default, DeBin, SerBin)]
pub struct Membership {
    /// The term of the configuration's leader that issued it. Together with `turn` it is the
    /// fencing token of the reports of its members.
    pub term: Term,
    /// The number of the membership, which rises by one with each.
    pub turn: u64,
    /// The highest turn such that every live member has seen the membership of this turn or of a
    /// later one. A member has a quota share only once the turn in which it joined is settled.
    pub settled: u64,
    /// The configuration's committed revision when this membership was issued. A member that
    /// uses this membership must not apply an older configuration.
    pub revision: u64,
    /// The members, ordered by name.
    pub members: Vec<Member>,
}

impl Membership {
    /// Returns the identifier of this membership, which does not depend on `settled`.
    pub fn id(&self) -> MembershipId {
        MembershipId { term: self.term, turn: self.turn }
    }

    /// Returns whether this version of the membership is newer than another.
    pub fn is_newer_than(&self, other: &Membership) -> bool {
        (self.term, self.turn, self.settled) > (other.term, other.turn, other.settled)
    }

    /// Returns this version as one increasing number, which is its revision in the feed. The
    /// membership of a turn is sent once before all members have seen it and once after that.
    pub fn feed_revision(&self) -> u64 {
        let is_settled = self.term > Term::ZERO && self.settled == self.turn;
        self.term.as_u64() << 32 | self.turn << 1 | u64::from(is_settled)
    }
}

/// The memberships that a voter knows.
#[derive(Clone, Debug, Default, PartialEq, DeBin, SerBin)]
pub struct Memberships {
    /// The membership that is sent to members.
    pub current: Membership,
    /// Other memberships that some members may use, beside or instead of the current one.
    pub others: Vec<Membership>,
}

impl Memberships {
    /// Returns whether no membership is known, as at a voter that has just started.
    pub fn is_empty(&self) -> bool {
        self.current.term == Term::ZERO && self.others.is_empty()
    }
}

/// The progress of a member, sent with each renewal of its lease.
#[derive(Clone, Debug, PartialEq, Default, DeBin, SerBin)]
pub struct MemberProgress {
    /// The configuration revision that the member has applied.
    pub applied_revision: u64,
    /// The newest membership that it has seen.
    pub seen_membership: MembershipId,
    /// The newest configuration revision that it knows to exist.
    pub known_revision: u64,
    /// Time since its last attestation, or since its start if it sent none (ms).
    pub attestation_age_ms: u64,
    /// Whether the member is ready to serve queries.
    pub ready: bool,
    /// Whether the member stops and releases its lease.
    pub leaving: bool,
}

/// A statement that a member sends to another member on request while it has no contact to a
/// controller: that it uses this membership and knows of no configuration newer than this one.
#[derive(Clone, Debug, PartialEq, DeBin, SerBin)]
pub struct Attestation {
    /// The membership that the member uses.
    pub membership: MembershipId,
    /// The newest configuration revision that it knows to exist.
    pub known_revision: u64,
    /// For each member, in the order of the membership: the age of the newest such proof that the
    /// sender has of it (ms); `NO_PROOF` if it has none.
    pub ages: Vec<u16>,
}

/// The value of `Attestation::ages` for a member of which the sender has no proof.
pub const NO_PROOF: u16 = u16::MAX;
