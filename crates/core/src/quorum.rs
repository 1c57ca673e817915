//! The two quorums of a membership, which always intersect.
//!
//! A leader may consider a change accepted once `acceptance(n)` of the `n` members of a membership
//! know of it. Members without a lease may continue to serve under an older configuration only
//! with attestations of `serving(n)` members, each of which knows nothing newer. Since
//! `acceptance(n) + serving(n) > n`, at least one member would be in both groups. It attested
//! before it knew the change, and attestations are valid for less than the time in which a change
//! must be in force. `docs/topics/standing.md` has the complete proof.

use crate::consts::ACCEPTANCE_QUORUM_DIVISOR;

/// Returns how many members must know a change before it may be considered accepted.
pub fn acceptance(members: usize) -> usize {
    (members / ACCEPTANCE_QUORUM_DIVISOR).max(1)
}

/// Returns how many members, including itself, a member needs attestations of to continue
/// serving without a lease. `None` for a single member, which can't prove anything.
pub fn serving(members: usize) -> Option<usize> {
    (members > 1).then(|| members - acceptance(members) + 1)
}
