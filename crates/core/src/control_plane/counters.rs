//! The event counters of a controller, for its metrics.

/// Event counts since the process started.
#[derive(Clone, Default, Debug)]
pub struct Counters {
    /// Operator requests that were accepted.
    pub accepted: u64,
    /// Operator requests that ended otherwise, except reads.
    pub rejected: u64,
    /// Elections in which this node requested votes.
    pub candidacies: u64,
    /// Times that this node became the leader of a partition.
    pub leaderships_won: u64,
    /// Times that this node ceased to be the leader of a partition.
    pub leaderships_lost: u64,
    /// Times that a replica's disk worked again after a failure.
    pub disks_recovered: u64,
    /// Snapshots that followers requested from this node.
    pub snapshot_requests: u64,
    /// Times that files of a partition were found to be corrupted at run time.
    pub corruptions: u64,
    /// Updates sent to subscribers.
    pub updates_sent: u64,
    /// Leaf lists that were refused because their sender is no longer assigned to poll the
    /// list.
    pub fenced_lists: u64,
}
