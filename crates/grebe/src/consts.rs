//! Every constant of the system, with its unit and the reason for its size.

use crate::time::{SECOND, Span, ms};

// ---- versions -------------------------------------------------------------

/// Version of the messages between our processes; another one is bounced.
pub const WIRE_VERSION: u16 = 1;
/// Version of the files on disk; another one is reported, never read.
pub const DISK_VERSION: u16 = 1;

// ---- state and its replicas -----------------------------------------------

/// Parts that hold services (count). Four spread owners over three seats
/// without making the beats of ten machines noticeable.
pub const SERVICE_PARTS: u32 = 4;
/// Replicas of a part (count): the brief gives three machines with a disk.
pub const SEATS: usize = 3;
/// Replicas that make a majority (count).
pub const MAJORITY: usize = 2;
/// How often an owner shows its replicas that it lives. A fifth of the
/// election wait, so that four lost beats in a row do not cost an owner.
pub const OWNER_BEAT: Span = ms(200);
/// Silence after which a replica may claim a part. Above the longest sync
/// stall we expect of a healthy small disk, far below the 3 s of obedience.
pub const OWNER_SILENCE: Span = ms(1_000);
/// Extra wait per rank, so that the preferred seat claims first.
pub const CLAIM_STAGGER: Span = ms(300);
/// Random part of the wait before a claim; breaks ties between seats.
pub const CLAIM_JITTER: Span = ms(150);
/// An owner that no majority has acknowledged for this long steps down.
/// Below the silence, so it is gone before a successor can be chosen.
pub const OWNER_GRIP: Span = ms(900);
/// A claim that gathered no majority in this time is given up.
pub const CLAIM_PATIENCE: Span = ms(800);
/// How long an accepted change waits for the third replica before the
/// operator hears of it: two are enough, three survive two lost disks.
pub const THIRD_WAIT: Span = ms(150);
/// A replica whose disk has not finished a write for this long steps back.
pub const DISK_STALL: Span = ms(2_000);
/// How often a part without an owner, or an empty replica, asks around.
pub const ASK_AROUND: Span = ms(250);
/// How often an owner compares its copies with the others' (the sweep).
pub const SWEEP: Span = 5 * SECOND;
/// How often a seat reads one of its parts' files again to see whether they
/// still are what was written. All five take 20 s; a part of several MiB then
/// costs a small disk well below a hundredth of what it can read.
pub const ROT_LOOK: Span = 4 * SECOND;
/// Log bytes after which the other slot is written (bytes). A small part's
/// slot is cheap; replaying 256 KiB takes a few milliseconds.
pub const LOG_LIMIT: u64 = 256 * 1024;
/// Largest record or slot body a disk may claim to hold (bytes).
pub const RECORD_LIMIT: u32 = 64 * 1024 * 1024;
/// Request ids that the configuration part remembers (count); resending
/// within that many later requests is safe.
pub const REQUESTS_KEPT: usize = 512;
/// Changes a part keeps in memory so that followers need no snapshot (count).
pub const FEED_KEPT: usize = 256;
/// An operator's request without a result for this long is "unknown".
pub const OPERATE_PATIENCE: Span = 8 * SECOND;
/// How often an owner looks what all members obey while an operator waits: a
/// look at a thousand takes a tenth of a millisecond, an operator feels none.
pub const OBEY_LOOK: Span = ms(20);
/// How long an owner waits with a change before it tells the seat that handed
/// it over what is lacking; the seat asks again. Twice within the operator's
/// patience, so that the reason is known when that ends.
pub const OWNER_PATIENCE: Span = 3 * SECOND;

// ---- wires between our processes -----------------------------------------

/// Bytes of one piece of a message (bytes). Large messages travel in pieces
/// so that a beat waits behind at most one of them.
pub const PIECE: usize = 64 * 1024;
/// Largest whole message (bytes): a configuration of several MiB with room.
pub const MESSAGE_LIMIT: usize = 64 * 1024 * 1024;
/// Messages a wire may have waiting (count) before new ones are dropped;
/// every message of ours may be lost and is sent again by its owner.
pub const WIRE_BUFFER: usize = 1_024;
/// Wait before a lost wire is tried again.
pub const WIRE_RETRY: Span = ms(200);
/// A wire on which nothing can be written for this long is cut.
pub const WIRE_STALL: Span = 3 * SECOND;

// ---- members --------------------------------------------------------------

/// How often a member renews its tenure.
pub const TENURE_BEAT: Span = ms(500);
/// How long a tenure lasts at the core without renewal.
pub const TENURE: Span = 3 * SECOND;
/// After this long without renewal, counted from when the renewal was sent, a
/// member no longer trusts its share. Shorter than `TENURE`, so that it knows
/// before the core gives the share to others.
pub const TENURE_TRUST: Span = ms(2_600);
/// After this long without renewal a member asks its neighbours to hand its
/// renewals over: two lost in a row.
pub const TENURE_WORRY: Span = ms(1_100);
/// A new owner of the configuration counts the old members as live for one
/// tenure, since it has not heard them itself yet.
pub const TENURE_GRACE: Span = TENURE;
/// How often cohort members speak with each other when the core is not heard.
pub const COHORT_BEAT: Span = ms(500);
/// How often they do while the core's word is fresh: nothing rests on company
/// then, and this only finds wires that have died before they are needed.
pub const COHORT_CALM: Span = 2 * SECOND;
/// Age of the core's word from which members speak at `COHORT_BEAT`: one
/// renewal is lost. Two more beats before the grip would end at `TENURE_TRUST`.
pub const COHORT_UNREST: Span = 2 * TENURE_BEAT;
/// Neighbours each member speaks with (count): each member is heard by this
/// many others, and the cost does not grow with the cohort.
pub const COHORT_NEIGHBOURS: usize = 4;
/// A cohort member not heard for this long counts as silent.
pub const COHORT_SILENCE: Span = ms(1_600);
/// A lone cut-off member turns not ready after this long without the core, a
/// second before it bounces: the platform checks readiness each second.
pub const LONE_NOTICE: Span = ms(1_600);
/// How often a querier asks the seat that feeds it for news it may have missed.
pub const FOLLOW_BEAT: Span = ms(400);
/// How often it asks the other seats how far they are. News that its own seat
/// lacks then comes at most this, a beat and a round trip late: half of the
/// 3 s in which a change must be obeyed.
pub const OTHERS_BEAT: Span = 2 * FOLLOW_BEAT;
/// A seat that did not say for this long how far it is does not feed us: three
/// asked in vain, less what the answer takes.
pub const FEED_SILENCE: Span = ms(1_100);
/// Least time between two views that differ in leafs only: a burst of changes
/// to a large pool must not keep a light front busy building views.
pub const VIEW_GAP: Span = ms(100);
/// A starting querier that heard fewer than two seats waits this long
/// before it takes its view from a ready cohort member alone.
pub const START_PATIENCE: Span = 3 * SECOND;

// ---- duties ---------------------------------------------------------------

/// How often the holder of a duty polls the platform's list.
pub const LIST_POLL: Span = ms(1_000);
/// A list poll that takes longer is given up.
pub const LIST_PATIENCE: Span = ms(2_000);
/// Largest platform list that is read (bytes).
pub const LIST_LIMIT: usize = 8 * 1024 * 1024;
/// A leaf that the list no longer names is taken out after this long; a list
/// that lags or flaps must not empty a pool.
pub const LEAF_ABSENCE: Span = 5 * SECOND;
/// How often each leaf is probed, by one member for all.
pub const PROBE_BEAT: Span = ms(1_000);
/// Wait before leafs of unknown age are probed: lets a list's leafs gather.
pub const PROBE_SOON: Span = ms(100);
/// A probe that takes longer is given up.
pub const PROBE_PATIENCE: Span = ms(1_000);
/// Keys into which the probing is cut (count): enough to spread over a large
/// cohort, few enough to find their holders at each beat.
pub const PROBE_KEYS: u64 = 64;
/// A leaf's age is told anew when it has grown by this factor, so that a leaf
/// costs a handful of changes in its whole life.
pub const AGE_FACTOR: u64 = 2;
/// Ages beyond this are not told any more (ms): every ramp is over by then.
pub const AGE_TOLD_MS: u64 = 3_600_000;
/// The first age that is told (ms): below it nothing is worth a change.
pub const AGE_FIRST_MS: u64 = 1_000;
/// How often the owner of a part looks which leafs have grown older.
pub const AGES_BEAT: Span = SECOND;
/// How often an unsent first-hand finding is sent again.
pub const REPORT_AGAIN: Span = ms(500);

// ---- queries --------------------------------------------------------------

/// Longest budget a caller may name (ms): the brief's ten seconds, doubled.
pub const BUDGET_MAX_MS: u64 = 20_000;
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
/// Open wires of callers to one traffic thread's door (count). At a few KiB
/// each they take some ten MiB; further ones wait in the system's buffer.
pub const DOOR_WIRES: usize = 4_096;
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
/// over the live cohort.
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
/// What a leaf's part is lowered to by work turned away, and by a slow reply
/// of a busy leaf (percent of what it was).
pub const STRENGTH_TURNED_PCT: u32 = 70;
pub const STRENGTH_SLOW_PCT: u32 = 85;
/// What each good reply gives back (thousandths of the whole part), so that a
/// part that was halved is whole again after a few seconds of good replies.
pub const STRENGTH_RISE: u32 = 10;
/// Least strength (thousandths): something must be asked to see it recover.
pub const STRENGTH_MIN: u32 = 50;
/// Time between two changes of a leaf's strength: dispatches that were out
/// together tell of one moment, not of many.
pub const STRENGTH_GAP: Span = ms(100);
/// Length of a turn in which a part of a place is open or not: a few
/// dispatches' time, so that turns do not overlap much.
pub const STRENGTH_TURN: Span = ms(200);
/// A busy leaf is strained when it says so from here on (thousandths) ...
pub const BUSY_FROM: u32 = 950;
/// ... and takes this many percent of its usual time and a little more.
pub const SLOW_PCT: u64 = 160;
pub const SLOW_MORE: Span = ms(5);
/// Each reply draws the usual time up by this share (1/n), so that a leaf
/// which became slower for good is not held down for ever.
pub const USUAL_DRIFT: u64 = 1_024;
/// Wires to one leaf that stay open unused (count).
pub const LEAF_WIRES: usize = 16;

// ---- processes ------------------------------------------------------------

/// Lines the log ring holds (count).
pub const RING_LINES: usize = 4_096;
/// Time a stopping querier leaves between "not ready" and closing its door:
/// the platform checks readiness each second.
pub const DRAIN_NOTICE: Span = ms(1_500);
/// Longest time a stopping process waits for its last queries.
pub const DRAIN_MAX: Span = 12 * SECOND;
/// Operators' requests that a controller has in hand at once (count).
pub const OPERATORS_AT_ONCE: usize = 32;
/// Open wires of operators to a controller (count): with what each of them may
/// have in hand, far below what a small machine has of memory.
pub const OPERATOR_WIRES: usize = 256;
/// Largest operator request (bytes).
pub const CONFIG_LIMIT: usize = 32 * 1024 * 1024;
