//! Monotonic time. A `Tick` counts microseconds since the process (or the
//! simulated world) began; wall clocks decide nothing in this project.

/// A point in monotonic time, in microseconds since this process began.
pub type Tick = u64;

/// A length of time in microseconds.
pub type Span = u64;

/// The tick at which a process begins. Far from zero, so that the beginnings
/// of older things (a leaf that has run for weeks) are ticks too.
pub const BOOT: Tick = 365 * 24 * 3_600 * SECOND;

pub const MILLI: Span = 1_000;
pub const SECOND: Span = 1_000_000;

/// The length of `n` milliseconds.
pub const fn ms(n: u64) -> Span {
    n * MILLI
}

/// The time from `from` to `to`, nothing if `to` is earlier.
pub const fn since(from: Tick, to: Tick) -> Span {
    to.saturating_sub(from)
}
