//! The process's monotonic clock as ticks.

use std::time::{Duration, Instant};

use grebe::time::{BOOT, Span, Tick};

/// Where this process's time began. Copied to every thread, so that all count
/// from the same point.
#[derive(Clone, Copy)]
pub struct Clock {
    zero: Instant,
}

/// A clock that begins now, at `BOOT`.
pub fn clock() -> Clock {
    Clock { zero: Instant::now() }
}

/// The time by this clock.
pub fn now(clock: &Clock) -> Tick {
    BOOT + clock.zero.elapsed().as_micros() as Tick
}

/// The instant of a tick.
pub fn instant(clock: &Clock, at: Tick) -> tokio::time::Instant {
    tokio::time::Instant::from_std(clock.zero + Duration::from_micros(at.saturating_sub(BOOT)))
}

/// A span for the runtime's timers.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span)
}

/// A number that differs with each start of a process. It names lives and
/// seeds luck, and decides nothing about time.
pub fn nonce() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hash = std::collections::hash_map::RandomState::new().build_hasher();
    hash.write_u32(std::process::id());
    hash.finish()
}
