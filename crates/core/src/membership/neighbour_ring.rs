//! What follows from the membership alone: a member's neighbours and its
//! assignments. Computed once for each state of the membership, since it costs a
//! look at all members.
//!
//! The member that holds an assignment is the highest by rendezvous among those
//! whose joining is settled; who would hold it next is the second.

use std::cmp::Reverse;

use crate::digest::{hash, pair};
use crate::protocol::membership::{Member, Membership};

/// Neighbours that each member speaks with, either way on the ring (count): each member
/// is heard by twice as many others, and the cost does not grow with the membership.
pub const NEIGHBOURS_EACH_WAY: usize = 4;

/// Keys among which the health checks are divided (count): enough to spread over a large
/// membership, few enough to find their holders at each change of it.
pub const PROBE_KEYS: u64 = 64;

/// Members that poll the platform's list at a time (count): its holder, and who would hold
/// the assignment next.
pub const LIST_POLLERS: usize = 2;

/// The assignment of polling the platform's list, for all partitions at once: a poll
/// brings the whole list, and each costs the platform.
pub const LIST: &str = "list";

/// The assignment of health-checking the leafs of a key.
pub fn probe_key(key: u64) -> String {
    format!("probe/{key}")
}

/// A member's place among the members of one state of the membership.
#[derive(Default)]
pub struct NeighbourRing {
    /// Those next to us on the ring, either way, without doubles.
    pub neighbours: Vec<String>,
    /// Those whom we ask for proofs while the controllers are silent: all in a
    /// small membership, else those a power of two away, so that what one knows
    /// comes to all others over half as many steps as the size has binary digits.
    pub proof_peers: Vec<String>,
    /// Our rank for polling the platform's list: its holder has 0, who would hold it
    /// next 1. None while our joining is not settled.
    pub list_rank: Option<usize>,
    /// Which keys of health checks are assigned to us.
    pub probe_keys: Vec<bool>,
    /// Quotas were divided for this state; whether we were cut off then.
    pub quotas_divided_while_cut_off: Option<bool>,
}

/// A member on the ring. Ordered by hash, so that neighbours stand in different
/// zones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RingMember<'a> {
    hash: u64,
    name: &'a str,
}

impl RingMember<'_> {
    /// Its rank for an assignment: the highest holds it.
    fn rank(&self, assignment: u64) -> (u64, &str) {
        (pair(assignment, self.hash), self.name)
    }
}

impl NeighbourRing {
    /// The place of the member `own` in a membership.
    pub fn new(membership: &Membership, own: &str) -> NeighbourRing {
        let mut members: Vec<RingMember> = membership
            .members
            .iter()
            .map(|m| RingMember { hash: hash(&m.name), name: &m.name })
            .collect();
        // Who is not settled holds no assignment.
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
            quotas_divided_while_cut_off: None,
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

/// The first members by rank for polling the platform's list among those that `is_candidate`
/// accepts. Who is not settled comes last, so that somebody polls while nobody is settled.
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

/// The others that are so many steps away, either way, without doubles.
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
