//! Intervals and timeouts that several modules of the replication, and their callers, use.

use crate::time::{SECOND, Span, ms};

/// Time between two heartbeats of a leader. A fifth of `ELECTION_TIMEOUT`, so that four lost
/// heartbeats in a row do not cause an election.
pub const HEARTBEAT_INTERVAL: Span = ms(200);
/// Time without a message from the leader after which a replica may become a candidate. Above
/// the longest sync stall expected of a healthy small disk, and far below the 3 s in which
/// members must apply a change.
pub const ELECTION_TIMEOUT: Span = ms(1_000);
/// Time without acknowledgements from a majority after which a leader steps down. Below
/// `ELECTION_TIMEOUT`, so that the leader has stepped down before another can be elected.
pub const LEADER_LEASE: Span = ms(900);
/// Time after which an election without a majority ends, and after which a replica's state or a
/// snapshot that has not arrived is requested or sent again.
pub const ANSWER_TIMEOUT: Span = ms(800);
/// Time after which a leader reports to the voter that forwarded an operation why it is not
/// complete; that voter then retries. Half of the operator's request timeout, so that the reason
/// is known when that expires, and above `MAX_ACCEPTANCE_DELAY` by a few polls and round trips.
pub const OPERATION_TIMEOUT: Span = ms(2_400);
/// Time without a completed write after which a replica is suspended.
pub const DISK_STALL_TIMEOUT: Span = ms(2_000);
/// Time between two status requests of a replica that does not vote, and before a suspended
/// replica first retries its disk.
pub const CATCH_UP_INTERVAL: Span = ms(250);
/// Time between two comparisons of the replicas' checksums.
pub const CHECKSUM_INTERVAL: Span = 5 * SECOND;
