//! A thread's share of what the whole fleet may do at once.

use crate::digest::{hash, pair};
use crate::query::connection_subset::ConnectingThread;

/// The traffic threads of the live membership and which of them is ours.
///
/// Invariant: `slots` are in order, stand once each, and hold `mine` unless
/// this thread has no share at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaShare {
    pub threads: Vec<u64>,
    pub own_thread: u64,
}

/// The stable number of a traffic thread.
pub fn slot(member: &str, thread: u32) -> u64 {
    pair(hash(member), u64::from(thread))
}

impl QuotaShare {
    /// A share among the threads of the members, given as (name, threads).
    pub fn new(members: &[(String, u32)], me: &str, thread: u32) -> QuotaShare {
        let mut threads: Vec<u64> =
            members.iter().flat_map(|(name, n)| (0..*n).map(|t| slot(name, t))).collect();
        threads.sort_unstable();
        threads.dedup();
        QuotaShare { threads, own_thread: slot(me, thread) }
    }
}

/// The nodes that open connections, of the members given as (name, threads, zone).
pub fn peers(members: &[(String, u32, String)]) -> Vec<ConnectingThread> {
    let mut out: Vec<ConnectingThread> = members
        .iter()
        .flat_map(|(name, n, zone)| (0..*n).map(move |t| (slot(name, t), zone)))
        .map(|(slot, zone)| ConnectingThread { thread_id: slot, zone: zone.clone() })
        .collect();
    out.sort_unstable_by_key(|p| p.thread_id);
    out
}

impl QuotaShare {
    /// Our rank for a thing among all threads: each thing has its own order, so
    /// that remainders fall on different threads.
    pub fn rank(&self, thing: u64) -> Option<u64> {
        if self.threads.binary_search(&self.own_thread).is_err() {
            return None;
        }
        let mine = pair(thing, self.own_thread);
        Some(self.threads.iter().filter(|s| pair(thing, **s) < mine).count() as u64)
    }

    /// Our rank for each of a row of things that are dealt out in turn: where one
    /// thing's remainder ends the next one's begins. `first` says where the row
    /// begins, `totals` what each thing has.
    pub fn balanced_ranks(&self, first: u64, totals: &[u64]) -> Vec<Option<u64>> {
        let Ok(mine) = self.threads.binary_search(&self.own_thread) else {
            return vec![None; totals.len()];
        };
        let n = self.threads.len() as u64;
        let mut from = first % n;
        totals
            .iter()
            .map(|total| {
                let rank = (mine as u64 + n - from) % n;
                from = (from + total % n) % n;
                Some(rank)
            })
            .collect()
    }

    /// Our part of `total`. Over all threads of one membership the parts add up to
    /// exactly `total`.
    pub fn allocation(&self, rank: Option<u64>, total: u64) -> u64 {
        let Some(rank) = rank else { return 0 };
        let n = self.threads.len() as u64;
        total / n + u64::from(rank < total % n)
    }
}
