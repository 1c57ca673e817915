//! The state of a mock leaf: identity, mode and counters.

use std::net::SocketAddr;
use std::time::Instant;

use grebepath_simulator::spec::Service;
use tokio::task::AbortHandle;

/// How a mock leaf behaves.
#[derive(Clone, Debug, PartialEq)]
pub enum Mode {
    Good,
    /// Adds this latency (ms) to each answer.
    Slow(u64),
    /// Accepts connections and requests and never answers.
    Unresponsive,
    /// Stops answering for `pause` ms in every period of `every` ms.
    Pauses {
        every: u64,
        pause: u64,
    },
    Garbage,
    Truncated,
    Unsorted,
    NoPostmark,
    TwoPostmarks,
    StalePostmark,
    WrongIndexVersion,
    Overlong,
    /// Rejects every request without running it.
    RejectAll,
}

/// The state of a mock leaf.
pub struct Leaf {
    pub name: String,
    pub service: Service,
    pub addr: SocketAddr,
    pub zone: String,
    /// The version of its software; empty if the list does not show it.
    pub version: String,
    pub mode: Mode,
    pub leaving: bool,
    /// Whether its replies say that it is leaving; the list shows it in any case.
    pub reports_leaving: bool,
    pub started_at: Instant,
    pub in_flight: u32,
    /// The highest ratio of concurrent attempts to the capacity at that time (percent).
    pub peak_load_pct: u32,
    pub run_count: u64,
    /// Requests meant for another leaf or service. All were rejected without being run.
    pub misdirected: u64,
    /// Those of the misdirected requests that were attempts, not probes.
    pub misdirected_work: u64,
    /// Requests whose body did not match its digest. All were rejected without being run.
    pub altered_queries: u64,
    pub postmark: Option<String>,
    pub serving_task: Option<AbortHandle>,
    /// When it began to leave.
    pub draining_since: Option<Instant>,
    /// Time from then until the latest attempt that it received (ms).
    pub last_work_after_drain_ms: u64,
}

impl Leaf {
    /// Returns the number of concurrent requests that the leaf can serve at its current age.
    pub fn capacity(&self) -> u32 {
        let age_ms = self.started_at.elapsed().as_millis() as u64;
        let full = u64::from(self.service.capacity);
        let slow_start_ms = self.service.slow_start_ms;
        if slow_start_ms == 0 || age_ms >= slow_start_ms {
            return self.service.capacity;
        }
        ((full * (10 * slow_start_ms + 90 * age_ms) / (100 * slow_start_ms)) as u32).max(1)
    }

    /// Stops the leaf and closes all its connections, as killing a process does.
    pub fn kill(&mut self) {
        if let Some(task) = self.serving_task.take() {
            task.abort();
        }
    }
}

/// An entry of the log of requests that leafs ran.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    pub leaf: String,
    pub service: String,
    pub index_version: String,
    pub zone: String,
    pub query: String,
    pub question: String,
    pub key: Option<String>,
    /// Time since the process started (ms).
    pub at_ms: u64,
    /// Whether the leaf sent a correct answer.
    pub answered: bool,
}
