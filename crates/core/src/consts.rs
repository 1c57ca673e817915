//! Constants that several modules or processes share, with their units and the reasons for
//! their sizes.

use crate::time::{SECOND, Span, ms};

// ---- partitions, voters and operator requests -----------------------------

/// Partitions that hold services (count). Four partitions spread their leaders over three
/// voters without making the heartbeats of ten machines noticeable.
pub const SERVICE_PARTITIONS: u32 = 4;
/// Replicas of a partition (count) unless the settings say otherwise: twice the number of
/// machines that may fail, plus one.
pub const DEFAULT_VOTER_SLOTS: u64 = 3;
/// Maximum number of voter slots. 15 slots survive the loss of seven machines at once, which
/// is more than any deployment has to tolerate.
pub const MAX_VOTER_SLOTS: u8 = 15;
/// An operator request without a result after this time has an unknown outcome. Twice the
/// leader's own timeout, which is longer than any operation takes that will be accepted.
pub const OPERATOR_REQUEST_TIMEOUT: Span = 2 * crate::replication::timing::OPERATION_TIMEOUT;
/// How often a leader checks which revision all members have applied while an operator waits.
/// A check of a thousand members takes a tenth of a millisecond, and an operator does not
/// notice the interval.
pub const ACCEPTANCE_POLL_INTERVAL: Span = ms(20);
/// A voter that a controller without a slot has not heard for this long is skipped when
/// operator requests are forwarded: three heartbeat intervals of the voters.
pub const VOTER_SILENCE_TIMEOUT: Span = ms(1_700);

// ---- connections between nodes --------------------------------------------

/// Messages that may be queued on a connection (count) before new ones are dropped. Every
/// message may be lost and is sent again by its sender.
pub const MAX_QUEUED_PEER_MESSAGES: usize = 1_024;
/// Delay before a lost connection is re-established. Doubles up to `RECONNECT_BACKOFF_MAX`,
/// so that machines that are gone permanently cost little.
pub const RECONNECT_BACKOFF_MIN: Span = ms(50);
/// Maximum delay between attempts to re-establish a connection.
pub const RECONNECT_BACKOFF_MAX: Span = ms(1_000);
/// Timeout for establishing a connection to a peer. A machine without power does not answer,
/// and the operating system's own timeout is minutes.
pub const PEER_CONNECT_TIMEOUT: Span = ms(250);
/// A connection whose data is not acknowledged for this long is closed. Shorter than the
/// timeout for a silent voter, so that a connection to a dead machine is not taken for a
/// working one.
pub const TCP_USER_TIMEOUT: Span = ms(2_000);
/// A connection on which nothing can be written for this long is closed.
pub const PEER_WRITE_TIMEOUT: Span = 3 * SECOND;

// ---- leases and membership ------------------------------------------------

/// How long the controllers consider a lease valid after its last renewal.
pub const LEASE_DURATION: Span = 3 * SECOND;
/// A member that has not attested for this long is in no group of members that serves
/// without leases: the attestation window on a clock that runs a tenth slow.
pub const ATTESTATION_EXPIRY: Span = ms(2_900);
/// Divisor of the number of members that must know a change before it is accepted while the
/// others are silent. A twentieth lets a change be accepted with 95 of 100 members gone.
pub const ACCEPTANCE_QUORUM_DIVISOR: usize = 20;

// ---- leaf list and health checks ------------------------------------------

/// How often the member that is assigned to poll the platform's leaf list does so.
pub const LEAF_LIST_POLL_INTERVAL: Span = ms(600);
/// Poll interval of the leaf list while leafs disappear and for some time after a leaf was
/// reported gone; also the delay before a rate-limited page is requested again.
pub const LEAF_LIST_FAST_POLL_INTERVAL: Span = ms(250);
/// Timeout of a request for the leaf list.
pub const LEAF_LIST_POLL_TIMEOUT: Span = ms(2_000);
/// Maximum size of the platform's leaf list (bytes).
pub const MAX_LEAF_LIST_BYTES: usize = 8 * 1024 * 1024;
/// Timeout of a health check of a leaf.
pub const PROBE_TIMEOUT: Span = ms(1_000);
/// A leaf's age is reported again when it has grown by this factor, so that a leaf causes
/// only a handful of changes over its whole lifetime.
pub const LEAF_AGE_REPORT_FACTOR: u64 = 2;
/// Ages above this are no longer reported (ms): every slow start is over by then.
pub const MAX_REPORTED_LEAF_AGE_MS: u64 = 3_600_000;
/// Smallest age that is reported (ms): a lower one is not worth a change.
pub const MIN_REPORTED_LEAF_AGE_MS: u64 = 1_000;

// ---- queries --------------------------------------------------------------

/// Maximum budget that a caller may request (ms): twice the required ten seconds.
pub const MAX_BUDGET_MS: u64 = 20_000;
/// Maximum timeout of a search that forwards calls (ms): an hour.
pub const MAX_FORWARDING_TIMEOUT_MS: u64 = 3_600_000;
/// Maximum number of attempts per shard that a search may allow (count).
pub const MAX_SHARD_ATTEMPTS: u64 = 100;
/// Shortest budget that is worth an attempt (ms).
pub const MIN_BUDGET_MS: u64 = 5;
/// Share of the budget reserved for merging and sending the answer (percent).
pub const MERGE_RESERVE_PCT: u64 = 4;
/// Minimum time reserved for merging and sending the answer.
pub const MERGE_RESERVE_MIN: Span = ms(3);
/// Maximum time reserved for merging and sending the answer.
pub const MERGE_RESERVE_MAX: Span = ms(60);
/// Maximum size of a query (bytes).
pub const MAX_QUERY_BYTES: usize = 64 * 1024;
/// Maximum size of a leaf's reply (bytes).
pub const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// Records returned when the caller gives no limit (count).
pub const DEFAULT_RECORD_LIMIT: u32 = 20;
/// Maximum number of records that a caller may request (count).
pub const MAX_RECORD_LIMIT: u32 = 1_000;
/// Queries that one traffic thread processes concurrently (count). Four times the usual
/// number at 540 queries per second over six queriers with half a second each.
pub const MAX_CONCURRENT_QUERIES: usize = 256;
/// Share of `MAX_CONCURRENT_QUERIES` open to ordinary queries (percent). Ordinary work is
/// rejected first under overload, urgent work last.
pub const ORDINARY_ADMISSION_PCT: usize = 60;
/// Share of `MAX_CONCURRENT_QUERIES` open to lookups (percent).
pub const LOOKUP_ADMISSION_PCT: usize = 80;
/// Share of `MAX_CONCURRENT_QUERIES` open to urgent queries (percent).
pub const URGENT_ADMISSION_PCT: usize = 100;
/// Share of the concurrent queries that may be queued for capacity at a leaf (percent). A
/// longer queue only turns overload into late answers.
pub const MAX_QUEUED_QUERIES_PCT: usize = 25;
/// Calls that one traffic thread's listener has in progress at once (count): those that the
/// query engine processes and as many again that wait for it. More would only wait in memory.
pub const MAX_LISTENER_CALLS: usize = 2 * MAX_CONCURRENT_QUERIES;
/// Open connections of callers per traffic thread (count). At a few KiB each they take about
/// ten MiB; further ones wait in the accept queue of the operating system. Of the 4,000 file
/// handles of a small machine, this leaves as many again for everything else.
pub const MAX_CALLER_CONNECTIONS: usize = 3_072;
/// Open connections to the listener that only serves readiness checks (count).
pub const MAX_READINESS_CONNECTIONS: usize = 32;
/// Smallest read buffer for the head of a call (bytes), even if the configured maximum is
/// lower.
pub const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum size of the head of a call (bytes) unless the configuration sets it.
pub const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of the body of a call (bytes) unless the configuration sets it.
pub const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;
/// Time in which the head of a call must arrive unless the configuration sets it.
pub const DEFAULT_HEAD_TIMEOUT: Span = 3 * SECOND;
/// Idle timeout of a caller's connection unless the configuration sets it.
pub const DEFAULT_IDLE_TIMEOUT: Span = 30 * SECOND;
/// How often a page of the leaf list is requested again after the platform's rate limit
/// rejected the request (count).
pub const LEAF_LIST_PAGE_RETRIES: u32 = 4;
/// Requests per second that the leaf list accepts from all nodes together unless the settings
/// say otherwise.
pub const DEFAULT_LEAF_LIST_RATE: u64 = 40;
/// Alarms whose texts are remembered, so that each is raised once (count).
pub const MAX_REMEMBERED_ALARMS: usize = 256;
/// Maximum number of pages of one poll of the leaf list (count). A list with more pages is
/// considered endless and discarded.
pub const MAX_LEAF_LIST_PAGES: usize = 1_000;
/// Minimum retry-after time of a rejected call (s). The platform checks readiness each second,
/// and most failures of a leaf are over within one.
pub const RETRY_AFTER_MIN_S: u64 = 1;
/// Maximum retry-after time of a rejected call (s). Three times the longest budget in use; a
/// caller that would wait longer has gone elsewhere by then.
pub const RETRY_AFTER_MAX_S: u64 = 30;
/// Half-life of the measured load pressure. A few seconds after an overload has passed, no
/// caller is asked to wait any more.
pub const LOAD_PRESSURE_HALF_LIFE: Span = 2 * SECOND;

// ---- retry budget ---------------------------------------------------------

/// Window of the retry budget.
pub const RETRY_WINDOW: Span = 10 * SECOND;
/// Retries and hedges per hundred first attempts within the window (percent).
pub const RETRY_PCT: u64 = 20;
/// Window of the burst limit. Credit older than this can't be spent at once, so that traffic
/// that stops is not followed by a burst of retries.
pub const RETRY_BURST_WINDOW: Span = ms(200);
/// Retries per window that the whole cluster may send beyond the share, divided over the live
/// members.
pub const RETRY_SLACK: u64 = 20;

// ---- leafs ----------------------------------------------------------------

/// Concurrent attempts that a leaf accepts if neither the pool nor the leaf sets a number.
pub const DEFAULT_LEAF_CAPACITY: u32 = 16;
/// Share of its capacity that a newly started leaf receives (percent).
pub const SLOW_START_MIN_PCT: u64 = 10;
/// Duration of a leaf's slow start unless the pool sets it.
pub const DEFAULT_SLOW_START: Span = 30 * SECOND;
/// A leaf whose own age drops by more than this has restarted.
pub const LEAF_RESTART_AGE_DROP: Span = 2 * SECOND;
/// Consecutive failures after which a leaf is ejected (count).
pub const EJECTION_FAILURE_THRESHOLD: u32 = 3;
/// First ejection time of a failing leaf; doubles up to `EJECTION_MAX`.
pub const EJECTION_MIN: Span = ms(500);
/// Maximum ejection time of a failing leaf.
pub const EJECTION_MAX: Span = 8 * SECOND;
/// Weight of a new sample in the moving average of a leaf's latency (1/n).
pub const LATENCY_EWMA_DIVISOR: u64 = 8;
/// A leaf is overloaded if it reports itself this busy (thousandths) and its reply is slow by
/// `SLOW_REPLY_PCT` and `SLOW_REPLY_MARGIN`.
pub const BUSY_THRESHOLD_PER_MILLE: u32 = 950;
/// A reply is slow if it takes longer than this share of the leaf's unloaded latency (percent)
/// plus `SLOW_REPLY_MARGIN`.
pub const SLOW_REPLY_PCT: u64 = 160;
/// Added to the share of the unloaded latency above which a reply is slow.
pub const SLOW_REPLY_MARGIN: Span = ms(5);
/// Weight of a slower reply in a leaf's unloaded latency (1/n). The value rises slowly, so
/// that a leaf that became permanently slower does not keep its lowered health weight.
pub const UNLOADED_LATENCY_RISE_DIVISOR: u64 = 1_024;
/// Attempts that a thread may have in flight per slot of a leaf under load-aware balancing
/// (percent). A short queue at the leaf is useful, a longer one only delays answers.
pub const IN_FLIGHT_PER_SLOT_PCT: u64 = 200;
/// Slots assumed for a leaf that has not reported them (count).
pub const DEFAULT_LEAF_SLOTS: u64 = 2;
/// Share of its slots up to which a leaf is assumed to work without queueing (percent). Beyond
/// that, each further attempt is assumed to wait for half of the others.
pub const QUEUEING_THRESHOLD_PCT: u64 = 70;
/// Weight of a new load report in the moving average of a leaf's load (1/n). Reports are
/// already outdated when they arrive.
pub const REPORTED_LOAD_EWMA_DIVISOR: u64 = 3;
/// Added to the expected latency of a leaf in another zone (percent of the latency), but at
/// least `CROSS_ZONE_PENALTY_MIN`: traffic between zones costs money and takes longer.
pub const CROSS_ZONE_PENALTY_PCT: u64 = 30;
/// Minimum added to the expected latency of a leaf in another zone.
pub const CROSS_ZONE_PENALTY_MIN: Span = ms(2);
/// Added to the expected latency of a cold leaf (percent of the latency).
pub const COLD_LEAF_PENALTY_PCT: u64 = 200;
/// Latency assumed for a leaf that has not answered an attempt yet.
pub const UNTRIED_LEAF_LATENCY: Span = ms(20);
/// Share of a service's retry budget that is used (percent); the rest absorbs rounding.
pub const RETRY_BUDGET_USE_PCT: u64 = 95;
/// Share of attempts that finish before a hedge is sent (thousandths).
pub const HEDGE_QUANTILE_PER_MILLE: u64 = 950;
/// A learned hedge delay is multiplied by this (percent), then `HEDGE_DELAY_MARGIN` is added.
pub const HEDGE_DELAY_PCT: u64 = 125;
/// Added to a learned hedge delay.
pub const HEDGE_DELAY_MARGIN: Span = ms(2);
/// Minimum hedge delay.
pub const HEDGE_DELAY_MIN: Span = ms(4);
/// Share of the latency target used as hedge delay while no delay is learned (percent).
pub const HEDGE_DELAY_TARGET_PCT: u64 = 40;
/// Share of the latency target reserved for returning the answer (percent), bounded by
/// `TARGET_RESERVE_MIN` and `TARGET_RESERVE_MAX`.
pub const TARGET_RESERVE_PCT: u64 = 10;
/// Minimum time reserved for returning the answer.
pub const TARGET_RESERVE_MIN: Span = ms(5);
/// Maximum time reserved for returning the answer.
pub const TARGET_RESERVE_MAX: Span = ms(15);
/// Share of the latency target that a call may wait for a leaf with capacity (percent). A call
/// that is rejected that early can still be served elsewhere.
pub const QUEUE_TIMEOUT_PCT: u64 = 20;
/// Minimum share of the shards for which a partial answer within the latency target is worth
/// more than a complete answer that is late (percent).
pub const PARTIAL_RESULT_MIN_PCT: usize = 55;
/// Leafs that a shard of one call may be offered to beyond its attempts because a leaf could
/// not be reached at all (count).
pub const MAX_UNREACHABLE_LEAFS: usize = 3;
/// Timeout for establishing a connection to a leaf.
pub const LEAF_CONNECT_TIMEOUT: Span = ms(250);
/// An idle connection is no longer used this long before the leaf would close it.
pub const LEAF_IDLE_MARGIN: Span = ms(1_000);
/// How long an idle connection is kept if the leaf does not announce an idle timeout.
pub const DEFAULT_LEAF_IDLE_TIMEOUT: Span = ms(500);
/// How long an idle connection to a native leaf is kept, which closes connections only when it
/// stops.
pub const NATIVE_LEAF_IDLE_TIMEOUT: Span = 60 * SECOND;
/// Minimum retry-after time of a rejected call of a search that forwards calls.
pub const FORWARDING_RETRY_AFTER_MIN: Span = ms(50);
/// Idle connections to one leaf that stay open (count).
pub const MAX_IDLE_LEAF_CONNECTIONS: usize = 16;

// ---- processes ------------------------------------------------------------

/// How often the settings file is checked for changes. It changes seldom, and a signal
/// announces most changes.
pub const SETTINGS_POLL_INTERVAL: Span = 5 * SECOND;
/// Lines that the in-memory log buffer holds (count).
pub const LOG_BUFFER_LINES: usize = 4_096;
/// Share of an announced grace period after which the listener is closed (percent). Two
/// readiness checks, a second apart, must have failed by then, and callers have left.
pub const DRAIN_NOTICE_PCT: u64 = 45;
/// Part of an announced grace period that is reserved for the shutdown itself.
pub const GRACE_RESERVE: Span = ms(500);
/// Maximum time that a stopping process waits for its remaining queries.
pub const DRAIN_TIMEOUT: Span = 12 * SECOND;
/// Operator requests that a controller processes concurrently (count).
pub const MAX_OPERATOR_REQUESTS: usize = 32;
/// Open connections of operators to a controller (count). Together with the memory that each
/// may use, far below the memory of a small machine.
pub const MAX_OPERATOR_CONNECTIONS: usize = 256;
/// Maximum size of an operator request (bytes).
pub const MAX_OPERATOR_REQUEST_BYTES: usize = 32 * 1024 * 1024;
