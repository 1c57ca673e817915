//! The process's clock as ticks. It counts the time for which the machine
//! slept: a machine that wakes must find its leases and terms as old as they are
//! for everyone else. A wall clock that jumps does not move it.

use std::time::Duration;

use grebepath_core::time::{BOOT, Span, Tick};
use rustix::time::{ClockId, clock_gettime};

/// Where this process's time began. Copied to every thread, so that all count
/// from the same point.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time since the machine was started, at the moment of [`BOOT`].
    origin: Duration,
}

impl Clock {
    /// A clock that begins now, at [`BOOT`].
    #[allow(clippy::new_without_default)] // Each call begins another time scale.
    pub fn new() -> Clock {
        Clock { origin: time_since_boot() }
    }

    /// The time by this clock, in microseconds after its beginning.
    pub fn now(&self) -> Tick {
        BOOT + time_since_boot().saturating_sub(self.origin).as_micros() as Tick
    }

    /// The instant of a tick, for the runtime's timers. They do not count sleep, so
    /// after a sleep they come late by at most what was left of them; who acts then
    /// asks the clock again.
    pub fn instant(&self, at: Tick) -> tokio::time::Instant {
        tokio::time::Instant::now() + duration(at.saturating_sub(self.now()))
    }
}

/// Time since the machine was started, its sleep included.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// A span (microseconds) for the runtime's timers.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span)
}

/// A number that differs with each call and each start of a process. It names
/// incarnations and seeds random numbers, and decides nothing about time.
pub fn nonce() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hash = std::collections::hash_map::RandomState::new().build_hasher();
    hash.write_u32(std::process::id());
    hash.finish()
}
