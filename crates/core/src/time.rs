//! Monotonic time. A `Tick` counts microseconds, starting at `BOOT` when the process or the
//! simulation starts. Wall clocks are not used for any decision.

/// A point in monotonic time (microseconds).
pub type Tick = u64;

/// A duration (microseconds).
pub type Span = u64;

/// The tick at which a process starts. Far from zero, so that earlier events, such as the start of
/// a leaf that has run for weeks, have a tick too.
pub const BOOT: Tick = 365 * 24 * 3_600 * SECOND;

pub const MILLI: Span = 1_000;
pub const SECOND: Span = 1_000_000;

/// Returns the duration of `n` milliseconds.
pub const fn ms(n: u64) -> Span {
    n * MILLI
}

/// Returns the duration from `from` to `to`, or zero if `to` is earlier.
pub const fn since(from: Tick, to: Tick) -> Span {
    to.saturating_sub(from)
}
