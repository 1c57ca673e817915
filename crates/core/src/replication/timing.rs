//! Times that several of the replication's modules, and those above it, go by.

use crate::time::{SECOND, Span, ms};

/// How often a leader shows its replicas that it lives. A fifth of the election wait,
/// so that four lost heartbeats in a row do not cost a leader.
pub const HEARTBEAT_INTERVAL: Span = ms(200);
/// Silence of the leader after which a replica may stand for election. Above the longest
/// sync stall we expect of a healthy small disk, far below the 3 s in which members must
/// go by a change.
pub const LEADER_SILENCE: Span = ms(1_000);
/// A leader that no majority has acknowledged for this long steps down. Below
/// `LEADER_SILENCE`, so it is gone before a successor can be chosen.
pub const LEADER_LEASE: Span = ms(900);
/// An election that gathered no majority in this time is given up; a replica or snapshot
/// that has not come in this time is asked for or sent again.
pub const ANSWER_TIMEOUT: Span = ms(800);
/// How long a leader waits with an operation before it tells the voter that handed it
/// over what is lacking; that voter asks again. Twice within the operator's patience, so
/// that the reason is known when that ends; above `ACCEPTANCE_LATEST` by a few looks and
/// round trips.
pub const OPERATION_PATIENCE: Span = ms(2_400);
/// A replica whose disk has not finished a write for this long steps back.
pub const DISK_STALL: Span = ms(2_000);
/// How often a replica that does not vote asks the others, and how soon one that stepped
/// back first tries its disk again.
pub const CATCH_UP_INTERVAL: Span = ms(250);
/// How often a leader compares its replicas' checksums.
pub const CHECKSUM_INTERVAL: Span = 5 * SECOND;
