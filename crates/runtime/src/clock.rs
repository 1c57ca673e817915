//! The process's monotonic clock as ticks.

use std::time::{Duration, Instant};

use grebe::time::{Span, Tick};

/// Where this process's time began. Copied to every thread, so that all count
/// from the same point.
#[derive(Clone, Copy)]
pub struct Clock {
    zero: Instant,
}

/// A clock that begins now, at tick 1: zero stands for "never" in places.
pub fn clock() -> Clock {
    Clock { zero: Instant::now() - Duration::from_micros(1) }
}

/// The time by this clock.
pub fn now(clock: &Clock) -> Tick {
    clock.zero.elapsed().as_micros() as Tick
}

/// The instant of a tick.
pub fn instant(clock: &Clock, at: Tick) -> tokio::time::Instant {
    tokio::time::Instant::from_std(clock.zero + Duration::from_micros(at))
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
