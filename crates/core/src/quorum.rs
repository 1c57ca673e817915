//! The two quorums of a membership, which always meet in a member.
//!
//! A leader may count a change as accepted once `acceptance(n)` of the `n`
//! members of a membership know of it. Members without a lease may serve on by
//! an older configuration only with proofs about `serving(n)` of them that they
//! know of nothing newer. Since `acceptance(n) + serving(n) > n`, one member
//! would have to be in both groups: it attested before it knew of the change,
//! and proofs are good for less than the time in which a change must be in
//! force. `docs/topics/standing.md` has the whole argument.

use crate::consts::ACCEPTANCE_QUORUM_DIVISOR;

/// Members that must know a change before it may count as accepted.
pub fn acceptance(members: usize) -> usize {
    (members / ACCEPTANCE_QUORUM_DIVISOR).max(1)
}

/// Members, the one that asks counted, that must be accounted for before it
/// serves on without a lease. One that is alone can't prove anything: `None`.
pub fn serving(members: usize) -> Option<usize> {
    (members > 1).then(|| members - acceptance(members) + 1)
}
