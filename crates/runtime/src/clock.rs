//! The process clock, in ticks. It includes the time that the machine was suspended, so that a
//! machine that resumes sees its leases and terms at the age that all other machines see. Jumps of
//! the wall clock don't affect it.

use std::time::Duration;

use grebepath_core::time::{BOOT, Span, Tick};
use rustix::time::{ClockId, clock_gettime};

/// The start of this process's time scale. Each thread has a copy, so that all threads count from
/// the same instant.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time from the start of the machine to [`BOOT`].
    origin: Duration,
}

impl Clock {
    /// Creates a clock that starts now, at [`BOOT`].
    #[allow(clippy::new_without_default)] // Each call starts another time scale.
    pub fn new() -> Clock {
        Clock { origin: time_since_boot() }
    }

    /// Returns the current time in microseconds since the clock's start.
    pub fn now(&self) -> Tick {
        BOOT + time_since_boot().saturating_sub(self.origin).as_micros() as Tick
    }

    /// Converts a tick to an instant for the runtime's timers. These don't count the time that the
    /// machine was suspended, so after a suspension a timer fires late, by at most the time that it
    /// had left. Code that runs on a timer must read the clock again.
    pub fn instant(&self, at: Tick) -> tokio::time::Instant {
        tokio::time::Instant::now() + duration(at.saturating_sub(self.now()))
    }
}

/// Returns the time since the machine was started, including the time it was suspended.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Converts a span (microseconds) for the runtime's timers.
pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span)
}

/// Returns a random number that differs between calls and between starts of a process. It
/// identifies incarnations and seeds random generators.
pub fn nonce() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hash = std::collections::hash_map::RandomState::new().build_hasher();
    hash.write_u32(std::process::id());
    hash.finish()
}
