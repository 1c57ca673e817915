//! The process's clock as ticks. It counts the time for which the machine
//! slept: a machine that wakes must find its grips and terms as old as they are
//! for everyone else. A wall clock that jumps does not move it.

use std::time::Duration;

use grebepath_core::time::{BOOT, Span, Tick};
use rustix::time::{ClockId, clock_gettime};

/// Where this process's time began. Copied to every thread, so that all count
/// from the same point.
#[derive(Clone, Copy)]
pub struct Clock {
    zero: Duration,
}

/// Time since the machine was started, its sleep included.
fn boot_time() -> Duration {
    let t = clock_gettime(ClockId::Boottime);
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}

/// A clock that begins now, at `BOOT`.
pub fn clock() -> Clock {
    Clock { zero: boot_time() }
}

/// The time by this clock.
pub fn now(clock: &Clock) -> Tick {
    BOOT + boot_time().saturating_sub(clock.zero).as_micros() as Tick
}

/// The instant of a tick, for the runtime's timers. They do not count sleep, so
/// after a sleep they come late by at most what was left of them; who acts then
/// asks the clock again.
pub fn instant(clock: &Clock, at: Tick) -> tokio::time::Instant {
    tokio::time::Instant::now() + duration(at.saturating_sub(now(clock)))
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
