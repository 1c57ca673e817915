//! A mock leaf: what it is, how it misbehaves, and what it has seen.

use std::net::SocketAddr;
use std::time::Instant;

use grebepath_simulator::spec::Service;
use tokio::task::AbortHandle;

/// How a leaf misbehaves.
#[derive(Clone, Debug, PartialEq)]
pub enum Mode {
    Good,
    /// Takes so much longer.
    Slow(u64),
    /// Takes connections and requests and never answers.
    Unresponsive,
    /// Stops for so long (ms) every so often (ms).
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
    /// Turns every request away unrun.
    RejectAll,
}

/// A leaf's state.
pub struct Leaf {
    pub name: String,
    pub service: Service,
    pub addr: SocketAddr,
    pub zone: String,
    /// The version of its software, empty if the list does not tell it.
    pub version: String,
    pub mode: Mode,
    pub leaving: bool,
    /// Whether it tells who asks it that it leaves; the list shows it in any case.
    pub reports_leaving: bool,
    pub started_at: Instant,
    pub in_flight: u32,
    /// Most dispatches it had at once over what it could bear then, in
    /// hundredths.
    pub peak_load_pct: u32,
    pub run_count: u64,
    /// Requests for another leaf, another service, or with a changed question:
    /// all turned away unrun.
    pub misdirected: u64,
    /// Those of them that brought work, rather than asking who is here.
    pub misdirected_work: u64,
    pub altered_queries: u64,
    pub postmark: Option<String>,
    pub serving_task: Option<AbortHandle>,
    /// When it was told to leave, and new work it got after that.
    pub draining_since: Option<Instant>,
    pub last_work_after_drain_ms: u64,
}

impl Leaf {
    /// Requests that it bears at once, at its age.
    pub fn capacity(&self) -> u32 {
        let age_ms = self.started_at.elapsed().as_millis() as u64;
        let full = u64::from(self.service.bears);
        let ramp_ms = self.service.ramp_ms;
        if ramp_ms == 0 || age_ms >= ramp_ms {
            return self.service.bears;
        }
        ((full * (10 * ramp_ms + 90 * age_ms) / (100 * ramp_ms)) as u32).max(1)
    }

    /// Ends it with all its connections, as a kill does.
    pub fn kill(&mut self) {
        if let Some(task) = self.serving_task.take() {
            task.abort();
        }
    }
}

/// A line of the log of runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    pub leaf: String,
    pub service: String,
    pub index_version: String,
    pub zone: String,
    pub query: String,
    pub question: String,
    pub key: Option<String>,
    /// Milliseconds since the process began.
    pub at_ms: u64,
    /// Whether it was truly answered in the end.
    pub answered: bool,
}
