//! What a controller counts for its metrics.

/// What is counted since the process started.
#[derive(Clone, Default, Debug)]
pub struct Counters {
    /// Operators' requests that were accepted.
    pub accepted: u64,
    /// Operators' requests that ended otherwise, reads excepted.
    pub rejected: u64,
    /// Elections in which we asked for votes.
    pub candidacies: u64,
    /// Times that we became the leader of a partition.
    pub leaderships_won: u64,
    /// Times that we ceased to be the leader of a partition.
    pub leaderships_lost: u64,
    /// Times that a replica's disk worked again after it had failed.
    pub disks_recovered: u64,
    /// Snapshots that followers asked us for.
    pub snapshot_requests: u64,
    /// Times that files of a partition were found corrupted while we ran.
    pub corruptions: u64,
    /// Updates sent to subscribers.
    pub updates_sent: u64,
    /// Leaf lists that were refused, since a later holder of that duty had spoken.
    pub fenced_lists: u64,
}
