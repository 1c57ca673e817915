//! Partitions cluster-wide limits among the traffic threads.

use crate::digest::{hash, hash_pair};
use crate::query::connection_subset::ConnectingThread;

/// The traffic threads of the current membership, and which of them is this thread.
///
/// Invariant: `threads` is sorted without duplicates, and contains `own_thread` unless this
/// thread has no share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaShare {
    pub threads: Vec<u64>,
    pub own_thread: u64,
}

/// Returns the stable number of a traffic thread of a member.
pub fn thread_id(member: &str, thread: u32) -> u64 {
    hash_pair(hash(member), u64::from(thread))
}

impl QuotaShare {
    /// Returns the share of one thread among the threads of the members, given as
    /// (name, number of threads).
    pub fn new(members: &[(String, u32)], me: &str, thread: u32) -> QuotaShare {
        let mut threads: Vec<u64> =
            members.iter().flat_map(|(name, n)| (0..*n).map(|t| thread_id(name, t))).collect();
        threads.sort_unstable();
        threads.dedup();
        QuotaShare { threads, own_thread: thread_id(me, thread) }
    }
}

/// Returns the traffic threads of the members, given as (name, number of threads, zone), sorted
/// by thread id.
pub fn peers(members: &[(String, u32, String)]) -> Vec<ConnectingThread> {
    let mut out: Vec<ConnectingThread> = members
        .iter()
        .flat_map(|(name, n, zone)| (0..*n).map(move |t| (thread_id(name, t), zone)))
        .map(|(thread_id, zone)| ConnectingThread { thread_id, zone: zone.clone() })
        .collect();
    out.sort_unstable_by_key(|p| p.thread_id);
    out
}

impl QuotaShare {
    /// Returns the rank of this thread for a resource. Each resource ranks the threads in a
    /// different order, so that the remainders of divisions go to different threads.
    pub fn rank(&self, resource: u64) -> Option<u64> {
        if self.threads.binary_search(&self.own_thread).is_err() {
            return None;
        }
        let own = hash_pair(resource, self.own_thread);
        Some(self.threads.iter().filter(|s| hash_pair(resource, **s) < own).count() as u64)
    }

    /// Returns the rank of this thread for each of a list of resources that are allocated one
    /// after the other: the remainder of each resource starts at the thread where that of the
    /// previous one ended. `first` selects the thread to start with; `totals` are the amounts
    /// of the resources.
    pub fn balanced_ranks(&self, first: u64, totals: &[u64]) -> Vec<Option<u64>> {
        let Ok(own_index) = self.threads.binary_search(&self.own_thread) else {
            return vec![None; totals.len()];
        };
        let n = self.threads.len() as u64;
        let mut from = first % n;
        totals
            .iter()
            .map(|total| {
                let rank = (own_index as u64 + n - from) % n;
                from = (from + total % n) % n;
                Some(rank)
            })
            .collect()
    }

    /// Returns the allocation of a thread with this rank. The allocations of all threads of a
    /// membership add up to exactly `total`.
    pub fn allocation(&self, rank: Option<u64>, total: u64) -> u64 {
        let Some(rank) = rank else { return 0 };
        let n = self.threads.len() as u64;
        total / n + u64::from(rank < total % n)
    }
}
