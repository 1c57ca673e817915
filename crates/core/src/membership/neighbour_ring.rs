//! The neighbours and the assignments of a member, which depend on the membership alone. They
//! are computed once for each state of the membership, since that takes a pass over all members.
//!
//! An assignment is held by the member with the highest rank by rendezvous hashing among those
//! whose join is settled; the second-ranked member holds it next.

use std::cmp::Reverse;

use crate::digest::{hash, hash_pair};
use crate::protocol::membership::{Member, Membership};

/// Number of neighbours in each direction of the ring with which a member exchanges gossip. Each
/// member is connected to twice as many others, and the cost does not grow with the membership.
pub const NEIGHBOURS_EACH_WAY: usize = 4;

/// Number of keys among which the health checks are divided: enough to spread over a large
/// membership, few enough to recompute their holders at each change of it.
pub const PROBE_KEYS: u64 = 64;

/// Number of members that poll the platform's list at a time: the holder of the assignment and
/// the second-ranked member.
pub const LIST_POLLERS: usize = 2;

/// The assignment of polling the platform's list, one for all partitions: a poll returns the
/// whole list, and each poll costs the platform.
pub const LIST: &str = "list";

/// Returns the name of the assignment of health-checking the leafs of a key.
pub fn probe_key(key: u64) -> String {
    format!("probe/{key}")
}

/// A member's position and assignments in one state of the membership.
#[derive(Default)]
pub struct NeighbourRing {
    /// The nearest members on the ring in both directions, without duplicates.
    pub neighbours: Vec<String>,
    /// The members that are asked for attestations while the controllers are out of reach. In a
    /// small membership these are all members, otherwise those at distances that are powers of
    /// two: what one member knows then reaches all others in half as many steps as the size has
    /// binary digits.
    pub proof_peers: Vec<String>,
    /// This member's rank for polling the platform's list: 0 for the holder, 1 for the member
    /// that holds it next. None while this member's join is not settled.
    pub list_rank: Option<usize>,
    /// For each key of health checks, whether it is assigned to this member.
    pub probe_keys: Vec<bool>,
    /// Whether this member was isolated when quotas were last divided in this state; `None` if
    /// they were not divided yet.
    pub quotas_divided_while_isolated: Option<bool>,
}

/// A member on the ring. Members are ordered by hash, so that neighbours are in different zones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RingMember<'a> {
    hash: u64,
    name: &'a str,
}

impl RingMember<'_> {
    /// Returns the rank of this member for an assignment; the highest rank holds it.
    fn rank(&self, assignment: u64) -> (u64, &str) {
        (hash_pair(assignment, self.hash), self.name)
    }
}

impl NeighbourRing {
    /// Computes the position and the assignments of the member `own` in a membership.
    pub fn new(membership: &Membership, own: &str) -> NeighbourRing {
        let mut members: Vec<RingMember> = membership
            .members
            .iter()
            .map(|m| RingMember { hash: hash(&m.name), name: &m.name })
            .collect();
        // A member whose join is not settled holds no assignment.
        let eligible: Vec<RingMember> = membership
            .members
            .iter()
            .zip(&members)
            .filter(|(member, _)| member.joined <= membership.settled)
            .map(|(_, ring_member)| *ring_member)
            .collect();
        let list_rank = list_rank(&eligible, own);
        let probe_keys =
            (0..PROBE_KEYS).map(|key| is_holder(&eligible, own, &probe_key(key))).collect();
        members.sort_unstable();
        let (neighbours, proof_peers) = match members.iter().position(|m| m.name == own) {
            Some(own) => (neighbours(&members, own), proof_peers(&members, own)),
            None => (Vec::new(), Vec::new()),
        };
        NeighbourRing {
            neighbours,
            proof_peers,
            list_rank,
            probe_keys,
            quotas_divided_while_isolated: None,
        }
    }
}

fn is_holder(eligible: &[RingMember], own: &str, key: &str) -> bool {
    let assignment = hash(key);
    let holder = eligible.iter().max_by_key(|member| member.rank(assignment));
    holder.is_some_and(|holder| holder.name == own)
}

fn list_rank(eligible: &[RingMember], own: &str) -> Option<usize> {
    let assignment = hash(LIST);
    let own = eligible.iter().find(|member| member.name == own)?.rank(assignment);
    Some(eligible.iter().filter(|member| member.rank(assignment) > own).count())
}

/// Returns the first members by rank for polling the platform's list among those that
/// `is_candidate` accepts. Members whose join is not settled come last, so that the list is
/// polled even while nothing is settled.
pub fn list_pollers(
    membership: &Membership,
    is_candidate: impl Fn(&Member) -> bool,
) -> Vec<&Member> {
    let assignment = hash(LIST);
    let rank = |member: &&Member| {
        let is_settled = member.joined <= membership.settled;
        let ring_member = RingMember { hash: hash(&member.name), name: &member.name };
        Reverse((is_settled, ring_member.rank(assignment).0))
    };
    let mut candidates: Vec<&Member> =
        membership.members.iter().filter(|member| is_candidate(member)).collect();
    candidates.sort_by_cached_key(rank);
    candidates.truncate(LIST_POLLERS);
    candidates
}

fn neighbours(ring: &[RingMember], own: usize) -> Vec<String> {
    ring_members_at(ring, own, 1..ring.len().min(NEIGHBOURS_EACH_WAY + 1))
}

fn proof_peers(ring: &[RingMember], own: usize) -> Vec<String> {
    let size = ring.len();
    if size <= 2 * NEIGHBOURS_EACH_WAY + 1 {
        return neighbours(ring, own);
    }
    let powers = std::iter::successors(Some(1), |step| Some(2 * step));
    ring_members_at(ring, own, powers.take_while(|step| 2 * step <= size))
}

/// Returns the other members at the given distances in both directions, without duplicates.
fn ring_members_at(
    ring: &[RingMember],
    own: usize,
    steps: impl Iterator<Item = usize>,
) -> Vec<String> {
    let size = ring.len();
    let mut found: Vec<String> = Vec::new();
    for step in steps {
        for direction in [1, size - 1] {
            let name = ring[(own + direction * step) % size].name;
            if name != ring[own].name && !found.iter().any(|known| known == name) {
                found.push(name.to_string());
            }
        }
    }
    found
}
