//! What follows from the membership alone: our neighbours and our duties. Worked
//! out once for each state of the membership, since it costs a look at all members.
//!
//! The member that holds a duty is the highest by rendezvous among those whose
//! joining is settled; who would hold it next is the second.

use crate::consts;
use crate::digest::{hash, pair};
use crate::membership::assignments;
use crate::protocol::message::Membership;

/// Our place among the members of one state of the membership.
#[derive(Default)]
pub struct NeighbourRing {
    /// Those next to us on the ring, either way, without doubles.
    pub neighbours: Vec<String>,
    /// Those whom we ask for proofs while the core is silent: all in a small
    /// membership, else those a power of two away, so that what one knows comes to
    /// all others over half as many steps as the size has binary digits.
    pub proof_peers: Vec<String>,
    /// Our place for polling the list: its holder has 0, who would hold it
    /// next 1. None while our joining is not settled.
    pub list_rank: Option<usize>,
    /// Which keys of probes are ours.
    pub probe_keys: Vec<bool>,
    /// The shares were worked out for this state; whether we were cut off then.
    pub divided_while_cut_off: Option<bool>,
}

/// The place of `me` in a membership.
pub fn ring<'a>(membership: &'a Membership, me: &str) -> NeighbourRing {
    let mut ring: Vec<(u64, &'a str)> =
        membership.members.iter().map(|m| (hash(&m.name), m.name.as_str())).collect();
    // Whose joining is settled may hold duties.
    let settled =
        membership.members.iter().zip(&ring).filter(|(m, _)| m.joined <= membership.settled);
    let able: Vec<(u64, &str)> = settled.map(|(_, r)| *r).collect();
    let ours = |key: &str| {
        let thing = hash(key);
        able.iter().max_by_key(|r| (pair(thing, r.0), r.1)).is_some_and(|r| r.1 == me)
    };
    let thing = hash(assignments::LIST);
    let rank = |r: &(u64, &'a str)| (pair(thing, r.0), r.1);
    let mine = able.iter().find(|r| r.1 == me).map(rank);
    let list = mine.map(|mine| able.iter().filter(|r| rank(r) > mine).count());
    let probes = (0..consts::PROBE_KEYS).map(|n| ours(&assignments::probe_key(n))).collect();
    // Ordered by hash, so that neighbours stand in different zones.
    ring.sort_unstable();
    let Some(here) = ring.iter().position(|(_, name)| *name == me) else {
        return NeighbourRing {
            neighbours: Vec::new(),
            proof_peers: Vec::new(),
            list_rank: list,
            probe_keys: probes,
            divided_while_cut_off: None,
        };
    };
    let n = ring.len();
    let around = |steps: &mut dyn Iterator<Item = usize>| {
        let mut found: Vec<String> = Vec::new();
        for i in steps {
            for way in [1, n - 1] {
                let name = ring[(here + way * i) % n].1;
                if name != me && !found.iter().any(|k| k == name) {
                    found.push(name.to_string());
                }
            }
        }
        found
    };
    let near = around(&mut (1..n.min(consts::COHORT_NEIGHBOURS + 1)));
    let links = match n > 2 * consts::COHORT_NEIGHBOURS + 1 {
        true => {
            around(&mut std::iter::successors(Some(1), |i| Some(2 * i)).take_while(|i| 2 * i <= n))
        }
        false => near.clone(),
    };
    NeighbourRing {
        neighbours: near,
        proof_peers: links,
        list_rank: list,
        probe_keys: probes,
        divided_while_cut_off: None,
    }
}
