//! Every constant of the system, with its unit and the reason for its size.

use crate::time::{SECOND, Span, ms};

// ---- versions -------------------------------------------------------------

// ---- state and its replicas -----------------------------------------------

/// Parts that hold services (count). Four spread owners over three seats
/// without making the beats of ten machines noticeable.
pub const SERVICE_PARTITIONS: u32 = 4;
/// Replicas of a part (count) unless the params say otherwise: twice the
/// machines that may be lost, and one.
pub const DEFAULT_VOTER_SLOTS: u64 = 3;
/// Most seats (count): seven machines lost at once is beyond any brief.
pub const MAX_VOTER_SLOTS: u8 = 15;
/// An operator's request without a result for this long is "unknown". Twice the
/// leader's patience: longer than anything that is going to be accepted takes.
pub const OPERATOR_REQUEST_TIMEOUT: Span = 2 * crate::replication::timing::OPERATION_TIMEOUT;
/// How often an owner looks what all members obey while an operator waits: a
/// look at a thousand takes a tenth of a millisecond, an operator feels none.
pub const ACCEPTANCE_POLL_INTERVAL: Span = ms(20);

// ---- seats ----------------------------------------------------------------

/// A seat that a controller without one has not heard for this long is passed
/// over when operators' requests are handed over: three of the beats above.
pub const VOTER_SILENCE_TIMEOUT: Span = ms(1_700);

// ---- connections between our processes -----------------------------------------

/// Messages a connection may have waiting (count) before new ones are dropped;
/// every message of ours may be lost and is sent again by its owner.
pub const MAX_QUEUED_PEER_MESSAGES: usize = 1_024;
/// Wait before a lost connection is tried again; doubles up to `RECONNECT_BACKOFF_MAX`, so
/// that machines that are gone for good cost little.
pub const RECONNECT_BACKOFF_MIN: Span = ms(50);
pub const RECONNECT_BACKOFF_MAX: Span = ms(1_000);
/// A connection that is not up in this time is tried again: a machine without power
/// says nothing, and the system would wait for minutes.
pub const PEER_CONNECT_TIMEOUT: Span = ms(250);
/// Bytes that nobody acknowledges for this long end a connection. Below the patience
/// with a seat, so that a connection to a dead machine is not taken for a good one.
pub const TCP_USER_TIMEOUT: Span = ms(2_000);
/// A connection on which nothing can be written for this long is cut.
pub const PEER_WRITE_TIMEOUT: Span = 3 * SECOND;

// ---- members --------------------------------------------------------------

/// How long a lease lasts at the core without renewal.
pub const LEASE_DURATION: Span = 3 * SECOND;
/// A member that has not attested for this long is in no group that serves on:
/// the window above by a clock that is a tenth slow.
pub const ATTESTATION_EXPIRY: Span = ms(2_900);
/// Divides the members that must know a change before it is accepted while the
/// others are silent (count): a twentieth, so that a change is accepted with 95
/// of 100 members gone.
pub const ACCEPTANCE_QUORUM_DIVISOR: usize = 20;

// ---- duties ---------------------------------------------------------------

/// How often the holder of that duty polls the platform's list ...
pub const LEAF_LIST_POLL_INTERVAL: Span = ms(600);
/// How often the holder polls while leafs are going, and for how long after
/// word of one that is gone.
pub const LEAF_LIST_FAST_POLL_INTERVAL: Span = ms(250);
/// A list poll that takes longer is given up.
pub const LEAF_LIST_POLL_TIMEOUT: Span = ms(2_000);
/// Largest platform list that is read (bytes).
pub const MAX_LEAF_LIST_BYTES: usize = 8 * 1024 * 1024;
/// A probe that takes longer is given up.
pub const PROBE_TIMEOUT: Span = ms(1_000);
/// A leaf's age is told anew when it has grown by this factor, so that a leaf
/// costs a handful of changes in its whole life.
pub const LEAF_AGE_REPORT_FACTOR: u64 = 2;
/// Ages beyond this are not told any more (ms): every ramp is over by then.
pub const MAX_REPORTED_LEAF_AGE_MS: u64 = 3_600_000;
/// The first age that is told (ms): below it nothing is worth a change.
pub const MIN_REPORTED_LEAF_AGE_MS: u64 = 1_000;

// ---- queries --------------------------------------------------------------

/// Longest budget a caller may name (ms): the brief's ten seconds, doubled.
pub const MAX_BUDGET_MS: u64 = 20_000;
/// Longest promise that a search which hands calls over may make (ms): an hour.
pub const MAX_FORWARDING_DEADLINE_MS: u64 = 3_600_000;
/// Most dispatches for one shard that a search may allow (count).
pub const MAX_SHARD_ATTEMPTS: u64 = 100;
/// Shortest budget that is worth a dispatch (ms).
pub const MIN_BUDGET_MS: u64 = 5;
/// Share of the budget kept back to merge and send the answer (percent).
pub const MERGE_RESERVE_PCT: u64 = 4;
/// Least time kept back to merge and send the answer.
pub const MERGE_RESERVE_MIN: Span = ms(3);
/// Most time kept back to merge and send the answer.
pub const MERGE_RESERVE_MAX: Span = ms(60);
/// Largest question (bytes).
pub const MAX_QUERY_BYTES: usize = 64 * 1024;
/// Largest reply of a leaf (bytes).
pub const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// Records asked for when the caller names no limit (count).
pub const DEFAULT_RECORD_LIMIT: u32 = 20;
/// Most records a caller may ask for (count).
pub const MAX_RECORD_LIMIT: u32 = 1_000;
/// Queries one traffic thread works on at once (count). At 540 queries a
/// second over six fronts and half a second each this is four times usual.
pub const MAX_CONCURRENT_QUERIES: usize = 256;
/// Share of `MAX_CONCURRENT_QUERIES` open to each class (percent): ordinary work is
/// bounced first, urgent work last.
pub const ORDINARY_ADMISSION_PCT: usize = 60;
pub const LOOKUP_ADMISSION_PCT: usize = 80;
pub const URGENT_ADMISSION_PCT: usize = 100;
/// Share of `MAX_CONCURRENT_QUERIES` that may stand in the buffer for room at a leaf
/// (percent); a longer buffer only turns overload into late answers.
pub const MAX_QUEUED_QUERIES_PCT: usize = 25;
/// Calls that one traffic thread's door has in hand at once (count): those the
/// desk works on, and as many again that wait for it to look at them. More
/// would only wait in memory.
pub const MAX_LISTENER_CALLS: usize = 2 * MAX_CONCURRENT_QUERIES;
/// Open connections of callers to one traffic thread's door (count). At a few KiB
/// each they take some ten MiB; further ones wait in the system's buffer. A
/// small machine's 4,000 file handles leave as many again for everything else.
pub const MAX_CALLER_CONNECTIONS: usize = 3_072;
/// Open connections to the address at which readiness alone is asked (count).
pub const MAX_READINESS_CONNECTIONS: usize = 32;
/// Most bytes of a call's head and of its body, how long a head may take and a
/// connection may idle, where the configuration does not say.
pub const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;
pub const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
pub const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;
pub const DEFAULT_HEAD_TIMEOUT: Span = 3 * SECOND;
pub const DEFAULT_IDLE_TIMEOUT: Span = 30 * SECOND;
/// How often a page is asked again when the list was asked too often (count).
pub const LEAF_LIST_PAGE_RETRIES: u32 = 4;
/// Calls a second that a list takes from all nodes unless the params say so.
pub const DEFAULT_LEAF_LIST_RATE: u64 = 40;
/// Alarms whose texts are remembered, to tell each once (count).
pub const MAX_REMEMBERED_ALARMS: usize = 256;
/// Most pages of one poll of a list (count): a list without an end is none.
pub const MAX_LEAF_LIST_PAGES: usize = 1_000;
/// Least time that a bounced caller is asked to stay away (s): the platform
/// checks readiness each second, and most troubles of a leaf pass in one.
pub const RETRY_AFTER_MIN_S: u64 = 1;
/// Most time that a bounced caller is asked to stay away (s): three times the
/// longest budget of today; who waits longer has gone elsewhere.
pub const RETRY_AFTER_MAX_S: u64 = 30;
/// Time in which what we know of the strain loses half of its weight: a few
/// seconds after an overload has passed nobody is kept away any more.
pub const LOAD_PRESSURE_HALF_LIFE: Span = 2 * SECOND;

// ---- the retry rule -------------------------------------------------------

/// The window of the retry rule.
pub const RETRY_WINDOW: Span = 10 * SECOND;
/// Second tries per hundred first dispatches within the window (percent).
pub const RETRY_PCT: u64 = 20;
/// Window of the burst guard: credit older than this can't be spent in one
/// go, so that traffic that stops leaves no burst of second tries behind it.
pub const RETRY_BURST_WINDOW: Span = ms(200);
/// The small slack of the whole fleet (second tries per window), divided
/// over the live membership.
pub const RETRY_SLACK: u64 = 20;

// ---- leafs ----------------------------------------------------------------

/// What a leaf bears when neither the pool nor the leaf says (dispatches).
pub const DEFAULT_LEAF_CAPACITY: u32 = 16;
/// Share of its allowance a leaf gets when it is brand new (percent).
pub const SLOW_START_MIN_PCT: u64 = 10;
/// How long a leaf ramps up unless the pool says otherwise.
pub const DEFAULT_SLOW_START: Span = 30 * SECOND;
/// A leaf whose own age falls by more than this has restarted.
pub const LEAF_RESTART_AGE_DROP: Span = 2 * SECOND;
/// Troubles in a row before a leaf is rested (count).
pub const EJECTION_FAILURE_THRESHOLD: u32 = 3;
/// First rest of a leaf in trouble; doubles up to `EJECTION_MAX`.
pub const EJECTION_MIN: Span = ms(500);
pub const EJECTION_MAX: Span = 8 * SECOND;
/// Weight of a new sample in a leaf's typical time (1/n).
pub const LATENCY_EWMA_DIVISOR: u64 = 8;
/// A busy leaf is strained when it says so from here on (thousandths) ...
pub const BUSY_THRESHOLD_PER_MILLE: u32 = 950;
/// ... and takes this many percent of its usual time and a little more.
pub const SLOW_REPLY_PCT: u64 = 160;
pub const SLOW_REPLY_MARGIN: Span = ms(5);
/// Each reply draws the usual time up by this share (1/n), so that a leaf
/// which became slower for good is not held down for ever.
pub const UNLOADED_LATENCY_RISE_DIVISOR: u64 = 1_024;
/// Dispatches a thread may have in hand at a leaf that is steered by what is
/// seen, for each of its slots (percent): a little buffer at the leaf is
/// useful, more only makes answers late.
pub const IN_FLIGHT_PER_SLOT_PCT: u64 = 200;
/// Slots of a leaf that has not said so (count).
pub const DEFAULT_LEAF_SLOTS: u64 = 2;
/// Share of its slots up to which a leaf works undisturbed (percent); beyond,
/// each further dispatch is reckoned to wait for half of the others.
pub const QUEUEING_THRESHOLD_PCT: u64 = 70;
/// Weight of a new word on a leaf's load (1/n): words are old when they come.
pub const REPORTED_LOAD_EWMA_DIVISOR: u64 = 3;
/// What a leaf of another zone is reckoned dearer (percent of its time) and ...
pub const CROSS_ZONE_PENALTY_PCT: u64 = 30;
/// ... by how much at least: bytes between zones cost, and the way is longer.
pub const CROSS_ZONE_PENALTY_MIN: Span = ms(2);
/// What a cold leaf is reckoned slower (percent of its time).
pub const COLD_LEAF_PENALTY_PCT: u64 = 200;
/// Time of a leaf that nobody has tried (reckoned).
pub const UNTRIED_LEAF_LATENCY: Span = ms(20);
/// Share of the second tries' part that is used, against rounding (percent).
pub const RETRY_BUDGET_USE_PCT: u64 = 95;
/// Part of dispatches that come back before a second try is sent (thousandths).
pub const HEDGE_QUANTILE_PER_MILLE: u64 = 950;
/// A learned wait is stretched by this (percent) and this much.
pub const HEDGE_DELAY_PCT: u64 = 125;
pub const HEDGE_DELAY_MARGIN: Span = ms(2);
/// Shortest learned wait before a second try.
pub const HEDGE_DELAY_MIN: Span = ms(4);
/// Share of the target that a wait which is not learned yet takes (percent).
pub const HEDGE_DELAY_TARGET_PCT: u64 = 40;
/// Share of the target kept back for the way home (percent), and its bounds.
pub const TARGET_RESERVE_PCT: u64 = 10;
pub const TARGET_RESERVE_MIN: Span = ms(5);
pub const TARGET_RESERVE_MAX: Span = ms(15);
/// Share of the target that a call may wait for a leaf with room (percent):
/// refused that early it can still be served elsewhere.
pub const QUEUE_TIMEOUT_PCT: u64 = 20;
/// Least share of the shards for which an answer at the target is worth more
/// than a late one with all of them (percent).
pub const PARTIAL_RESULT_MIN_PCT: usize = 55;
/// Leafs that a shard of one call may be offered to beyond its dispatches,
/// because they could not be reached at all (count).
pub const MAX_UNREACHABLE_LEAFS: usize = 3;
/// Time a new connection to a leaf may take to come up.
pub const LEAF_CONNECT_TIMEOUT: Span = ms(250);
/// Wires are left alone this long before a leaf would close them itself.
pub const LEAF_IDLE_MARGIN: Span = ms(1_000);
/// Trust in an unused connection whose leaf does not say how long it may idle ...
pub const DEFAULT_LEAF_IDLE_TIMEOUT: Span = ms(500);
/// ... and of one of our own kind, which closes only when it goes.
pub const NATIVE_LEAF_IDLE_TIMEOUT: Span = 60 * SECOND;
/// Least time that a caller who hands a call over is asked to stay away.
pub const FORWARDING_RETRY_AFTER_MIN: Span = ms(50);
/// Wires to one leaf that stay open unused (count).
pub const MAX_IDLE_LEAF_CONNECTIONS: usize = 16;

// ---- processes ------------------------------------------------------------

/// How often the params file is looked at: it changes seldom, and a signal
/// tells of most changes.
pub const SETTINGS_POLL_INTERVAL: Span = 5 * SECOND;
/// Lines the log ring holds (count).
pub const LOG_BUFFER_LINES: usize = 4_096;
/// Share of a told grace that passes before the door is shut (percent): two
/// checks, each a second apart, must have been missed, and callers gone.
pub const DRAIN_NOTICE_PCT: u64 = 45;
/// Time of a told grace that is kept for the end itself.
pub const GRACE_RESERVE: Span = ms(500);
/// Longest time a stopping process waits for its last queries.
pub const DRAIN_TIMEOUT: Span = 12 * SECOND;
/// Operators' requests that a controller has in hand at once (count).
pub const MAX_OPERATOR_REQUESTS: usize = 32;
/// Open connections of operators to a controller (count): with what each of them may
/// have in hand, far below what a small machine has of memory.
pub const MAX_OPERATOR_CONNECTIONS: usize = 256;
/// Largest operator request (bytes).
pub const MAX_OPERATOR_REQUEST_BYTES: usize = 32 * 1024 * 1024;
