//! Every constant of the system, with its unit and the reason for its size.

use crate::time::{SECOND, Span, ms};

// ---- versions -------------------------------------------------------------

// ---- state and its replicas -----------------------------------------------

/// Parts that hold services (count). Four spread owners over three seats
/// without making the beats of ten machines noticeable.
pub const SERVICE_PARTS: u32 = 4;
/// Replicas of a part (count) unless the params say otherwise: twice the
/// machines that may be lost, and one.
pub const SEATS: u64 = 3;
/// Most seats (count): seven machines lost at once is beyond any brief.
pub const SEATS_MAX: u8 = 15;
/// An operator's request without a result for this long is "unknown". Twice the
/// leader's patience: longer than anything that is going to be accepted takes.
pub const OPERATE_PATIENCE: Span = 2 * crate::replication::timing::OPERATION_PATIENCE;
/// How often an owner looks what all members obey while an operator waits: a
/// look at a thousand takes a tenth of a millisecond, an operator feels none.
pub const OBEY_LOOK: Span = ms(20);

// ---- seats ----------------------------------------------------------------

/// A seat that a controller without one has not heard for this long is passed
/// over when operators' requests are handed over: three of the beats above.
pub const APPLY_SILENCE: Span = ms(1_700);

// ---- connections between our processes -----------------------------------------

/// Messages a connection may have waiting (count) before new ones are dropped;
/// every message of ours may be lost and is sent again by its owner.
pub const WIRE_BUFFER: usize = 1_024;
/// Wait before a lost connection is tried again; doubles up to `WIRE_RETRY_MAX`, so
/// that machines that are gone for good cost little.
pub const WIRE_RETRY: Span = ms(50);
pub const WIRE_RETRY_MAX: Span = ms(1_000);
/// A connection that is not up in this time is tried again: a machine without power
/// says nothing, and the system would wait for minutes.
pub const WIRE_DIAL: Span = ms(250);
/// Bytes that nobody acknowledges for this long end a connection. Below the patience
/// with a seat, so that a connection to a dead machine is not taken for a good one.
pub const WIRE_SILENCE: Span = ms(2_000);
/// A connection on which nothing can be written for this long is cut.
pub const WIRE_STALL: Span = 3 * SECOND;

// ---- members --------------------------------------------------------------

/// How long a lease lasts at the core without renewal.
pub const TENURE: Span = 3 * SECOND;
/// A member that has not attested for this long is in no group that serves on:
/// the window above by a clock that is a tenth slow.
pub const ATTESTATION_QUIET: Span = ms(2_900);
/// Divides the members that must know a change before it is accepted while the
/// others are silent (count): a twentieth, so that a change is accepted with 95
/// of 100 members gone.
pub const ACCEPTANCE_FRACTION: usize = 20;

// ---- duties ---------------------------------------------------------------

/// How often the holder of that duty polls the platform's list ...
pub const LIST_POLL: Span = ms(600);
/// How often the holder polls while leafs are going, and for how long after
/// word of one that is gone.
pub const LIST_HURRY: Span = ms(250);
/// A list poll that takes longer is given up.
pub const LIST_PATIENCE: Span = ms(2_000);
/// Largest platform list that is read (bytes).
pub const LIST_LIMIT: usize = 8 * 1024 * 1024;
/// A probe that takes longer is given up.
pub const PROBE_PATIENCE: Span = ms(1_000);
/// A leaf's age is told anew when it has grown by this factor, so that a leaf
/// costs a handful of changes in its whole life.
pub const AGE_FACTOR: u64 = 2;
/// Ages beyond this are not told any more (ms): every ramp is over by then.
pub const AGE_TOLD_MS: u64 = 3_600_000;
/// The first age that is told (ms): below it nothing is worth a change.
pub const AGE_FIRST_MS: u64 = 1_000;

// ---- queries --------------------------------------------------------------

/// Longest budget a caller may name (ms): the brief's ten seconds, doubled.
pub const BUDGET_MAX_MS: u64 = 20_000;
/// Longest promise that a search which hands calls over may make (ms): an hour.
pub const PROMISE_MAX_MS: u64 = 3_600_000;
/// Most dispatches for one shard that a search may allow (count).
pub const ATTEMPTS_MAX: u64 = 100;
/// Shortest budget that is worth a dispatch (ms).
pub const BUDGET_MIN_MS: u64 = 5;
/// Share of the budget kept back to merge and send the answer (percent).
pub const MERGE_KEEP_PCT: u64 = 4;
/// Least time kept back to merge and send the answer.
pub const MERGE_KEEP_MIN: Span = ms(3);
/// Most time kept back to merge and send the answer.
pub const MERGE_KEEP_MAX: Span = ms(60);
/// Largest question (bytes).
pub const QUESTION_LIMIT: usize = 64 * 1024;
/// Largest reply of a leaf (bytes).
pub const REPLY_LIMIT: usize = 4 * 1024 * 1024;
/// Records asked for when the caller names no limit (count).
pub const RECORDS_DEFAULT: u32 = 20;
/// Most records a caller may ask for (count).
pub const RECORDS_MAX: u32 = 1_000;
/// Queries one traffic thread works on at once (count). At 540 queries a
/// second over six fronts and half a second each this is four times usual.
pub const QUERIES_LIVE: usize = 256;
/// Share of `QUERIES_LIVE` open to each class (percent): ordinary work is
/// bounced first, urgent work last.
pub const ROOM_ORDINARY_PCT: usize = 60;
pub const ROOM_LOOKUP_PCT: usize = 80;
pub const ROOM_URGENT_PCT: usize = 100;
/// Share of `QUERIES_LIVE` that may stand in the buffer for room at a leaf
/// (percent); a longer buffer only turns overload into late answers.
pub const BUFFER_PCT: usize = 25;
/// Calls that one traffic thread's door has in hand at once (count): those the
/// desk works on, and as many again that wait for it to look at them. More
/// would only wait in memory.
pub const DOOR_CALLS: usize = 2 * QUERIES_LIVE;
/// Open connections of callers to one traffic thread's door (count). At a few KiB
/// each they take some ten MiB; further ones wait in the system's buffer. A
/// small machine's 4,000 file handles leave as many again for everything else.
pub const DOOR_WIRES: usize = 3_072;
/// Open connections to the address at which readiness alone is asked (count).
pub const CHECK_WIRES: usize = 32;
/// Most bytes of a call's head and of its body, how long a head may take and a
/// connection may idle, where the configuration does not say.
pub const HEAD_LEAST: usize = 8 * 1024;
pub const HEAD_LIMIT: usize = 16 * 1024;
pub const BODY_LIMIT: usize = 1024 * 1024;
pub const HEAD_WAIT: Span = 3 * SECOND;
pub const WIRE_IDLE: Span = 30 * SECOND;
/// How often a page is asked again when the list was asked too often (count).
pub const LIST_AGAIN: u32 = 4;
/// Calls a second that a list takes from all nodes unless the params say so.
pub const LIST_RATE: u64 = 40;
/// Alarms whose texts are remembered, to tell each once (count).
pub const ALARMS_KEPT: usize = 256;
/// Most pages of one poll of a list (count): a list without an end is none.
pub const LIST_PAGES: usize = 1_000;
/// Least time that a bounced caller is asked to stay away (s): the platform
/// checks readiness each second, and most troubles of a leaf pass in one.
pub const AGAIN_MIN_S: u64 = 1;
/// Most time that a bounced caller is asked to stay away (s): three times the
/// longest budget of today; who waits longer has gone elsewhere.
pub const AGAIN_MAX_S: u64 = 30;
/// Time in which what we know of the strain loses half of its weight: a few
/// seconds after an overload has passed nobody is kept away any more.
pub const STRAIN_HALF: Span = 2 * SECOND;

// ---- the retry rule -------------------------------------------------------

/// The window of the retry rule.
pub const RETRY_WINDOW: Span = 10 * SECOND;
/// Second tries per hundred first dispatches within the window (percent).
pub const RETRY_PCT: u64 = 20;
/// Window of the burst guard: credit older than this can't be spent in one
/// go, so that traffic that stops leaves no burst of second tries behind it.
pub const RETRY_BURST: Span = ms(200);
/// The small slack of the whole fleet (second tries per window), divided
/// over the live membership.
pub const RETRY_SLACK: u64 = 20;

// ---- leafs ----------------------------------------------------------------

/// What a leaf bears when neither the pool nor the leaf says (dispatches).
pub const LEAF_BEARS: u32 = 16;
/// Share of its allowance a leaf gets when it is brand new (percent).
pub const RAMP_FLOOR_PCT: u64 = 10;
/// How long a leaf ramps up unless the pool says otherwise.
pub const RAMP: Span = 30 * SECOND;
/// A leaf whose own age falls by more than this has restarted.
pub const AGE_SLIP: Span = 2 * SECOND;
/// Troubles in a row before a leaf is rested (count).
pub const REST_AFTER: u32 = 3;
/// First rest of a leaf in trouble; doubles up to `REST_MAX`.
pub const REST_MIN: Span = ms(500);
pub const REST_MAX: Span = 8 * SECOND;
/// Weight of a new sample in a leaf's typical time (1/n).
pub const TYPICAL_WEIGHT: u64 = 8;
/// A busy leaf is strained when it says so from here on (thousandths) ...
pub const BUSY_FROM: u32 = 950;
/// ... and takes this many percent of its usual time and a little more.
pub const SLOW_PCT: u64 = 160;
pub const SLOW_MORE: Span = ms(5);
/// Each reply draws the usual time up by this share (1/n), so that a leaf
/// which became slower for good is not held down for ever.
pub const USUAL_DRIFT: u64 = 1_024;
/// Dispatches a thread may have in hand at a leaf that is steered by what is
/// seen, for each of its slots (percent): a little buffer at the leaf is
/// useful, more only makes answers late.
pub const SEEN_SLOTS_PCT: u64 = 200;
/// Slots of a leaf that has not said so (count).
pub const SEEN_SLOTS: u64 = 2;
/// Share of its slots up to which a leaf works undisturbed (percent); beyond,
/// each further dispatch is reckoned to wait for half of the others.
pub const SEEN_EASE_PCT: u64 = 70;
/// Weight of a new word on a leaf's load (1/n): words are old when they come.
pub const SEEN_WEIGHT: u64 = 3;
/// What a leaf of another zone is reckoned dearer (percent of its time) and ...
pub const FAR_PCT: u64 = 30;
/// ... by how much at least: bytes between zones cost, and the way is longer.
pub const FAR_MIN: Span = ms(2);
/// What a cold leaf is reckoned slower (percent of its time).
pub const COLD_PCT: u64 = 200;
/// Time of a leaf that nobody has tried (reckoned).
pub const UNTRIED: Span = ms(20);
/// Share of the second tries' part that is used, against rounding (percent).
pub const SECOND_KEEP_PCT: u64 = 95;
/// Part of dispatches that come back before a second try is sent (thousandths).
pub const WAIT_QUANTILE: u64 = 950;
/// A learned wait is stretched by this (percent) and this much.
pub const WAIT_STRETCH_PCT: u64 = 125;
pub const WAIT_MORE: Span = ms(2);
/// Shortest learned wait before a second try.
pub const WAIT_MIN: Span = ms(4);
/// Share of the target that a wait which is not learned yet takes (percent).
pub const WAIT_TARGET_PCT: u64 = 40;
/// Share of the target kept back for the way home (percent), and its bounds.
pub const TARGET_KEEP_PCT: u64 = 10;
pub const TARGET_KEEP_MIN: Span = ms(5);
pub const TARGET_KEEP_MAX: Span = ms(15);
/// Share of the target that a call may wait for a leaf with room (percent):
/// refused that early it can still be served elsewhere.
pub const HOLD_PCT: u64 = 20;
/// Least share of the shards for which an answer at the target is worth more
/// than a late one with all of them (percent).
pub const STOP_SHARE_PCT: usize = 55;
/// Leafs that a shard of one call may be offered to beyond its dispatches,
/// because they could not be reached at all (count).
pub const UNREACHED_MAX: usize = 3;
/// Time a new connection to a leaf may take to come up.
pub const LEAF_CONNECT: Span = ms(250);
/// Wires are left alone this long before a leaf would close them itself.
pub const LEAF_IDLE_KEEP: Span = ms(1_000);
/// Trust in an unused connection whose leaf does not say how long it may idle ...
pub const LEAF_IDLE_UNTOLD: Span = ms(500);
/// ... and of one of our own kind, which closes only when it goes.
pub const LEAF_WIRE_IDLE: Span = 60 * SECOND;
/// Least time that a caller who hands a call over is asked to stay away.
pub const AGAIN_SOON: Span = ms(50);
/// Wires to one leaf that stay open unused (count).
pub const LEAF_WIRES: usize = 16;

// ---- processes ------------------------------------------------------------

/// How often the params file is looked at: it changes seldom, and a signal
/// tells of most changes.
pub const PARAMS_LOOK: Span = 5 * SECOND;
/// Lines the log ring holds (count).
pub const RING_LINES: usize = 4_096;
/// Share of a told grace that passes before the door is shut (percent): two
/// checks, each a second apart, must have been missed, and callers gone.
pub const NOTICE_PCT: u64 = 45;
/// Time of a told grace that is kept for the end itself.
pub const GRACE_KEEP: Span = ms(500);
/// Longest time a stopping process waits for its last queries.
pub const DRAIN_MAX: Span = 12 * SECOND;
/// Operators' requests that a controller has in hand at once (count).
pub const OPERATORS_AT_ONCE: usize = 32;
/// Open connections of operators to a controller (count): with what each of them may
/// have in hand, far below what a small machine has of memory.
pub const OPERATOR_WIRES: usize = 256;
/// Largest operator request (bytes).
pub const CONFIG_LIMIT: usize = 32 * 1024 * 1024;
