//! Observations of a run from outside the processes. All times are milliseconds since its start.

use std::time::Instant;

/// A machine of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machine {
    /// A querier, by its number.
    Querier(usize),
    /// A controller, by its number.
    Controller(usize),
}

/// A period in which a fault affected a machine.
pub struct Disturbance {
    /// The machine.
    pub machine: Machine,
    /// When the signal was sent.
    pub from_ms: u64,
    /// When the machine ran again; `None` while it does not.
    pub until_ms: Option<u64>,
}

/// A leaf that is leaving.
pub struct LeavingLeaf {
    /// The leaf's name.
    pub leaf: String,
    /// When the platform's list begins to show it.
    pub shown_ms: u64,
}

/// An operation by which the operator drained a zone or reverted that.
pub struct ZoneOperationRecord {
    /// The zone.
    pub zone: String,
    /// Whether the zone is to be drained or opened.
    pub drained: bool,
    /// When it was first sent.
    pub sent_ms: u64,
    /// When it was acknowledged, if ever.
    pub acknowledged_ms: Option<u64>,
}

/// The state of a zone that was read before the next operation on a zone was sent.
pub struct ZoneRead {
    /// Index of the zone's newest operation among all operations.
    pub operation: usize,
    /// Whether the zone was read as drained.
    pub is_drained: bool,
    /// When it was read.
    pub at_ms: u64,
}

/// An attempt that a leaf ran.
pub struct Run {
    /// The leaf.
    pub leaf: String,
    /// The leaf's zone.
    pub zone: String,
    /// The querier that sent it.
    pub querier: usize,
    /// When the leaf began to run it.
    pub at_ms: u64,
}

/// An event for the printed report.
pub struct Event {
    /// When it happened.
    pub at_ms: u64,
    /// Description of the event.
    pub text: String,
}

/// All observations that are checked.
pub struct Record {
    began: Instant,
    /// Disturbances of all machines, in order of time.
    pub disturbances: Vec<Disturbance>,
    /// Leafs that are leaving.
    pub leaving: Vec<LeavingLeaf>,
    /// Operations on zones, in the order in which they were sent.
    pub zone_operations: Vec<ZoneOperationRecord>,
    /// Zone states that were read between operations.
    pub zone_reads: Vec<ZoneRead>,
    /// Attempts that leafs ran.
    pub runs: Vec<Run>,
    /// Events for the printed report.
    pub events: Vec<Event>,
    /// The state of each zone as it was read at the end; true for drained.
    pub zones_at_end: Vec<(String, bool)>,
    /// Errors that callers found in answers.
    pub wrong_answers: Vec<String>,
    /// Unexpected behaviour of processes.
    pub process_faults: Vec<String>,
}

impl Record {
    /// Creates a record whose clock starts now.
    pub fn new() -> Record {
        Record {
            began: Instant::now(),
            disturbances: Vec::new(),
            leaving: Vec::new(),
            zone_operations: Vec::new(),
            zone_reads: Vec::new(),
            runs: Vec::new(),
            events: Vec::new(),
            zones_at_end: Vec::new(),
            wrong_answers: Vec::new(),
            process_faults: Vec::new(),
        }
    }

    /// Returns the time since the start of the run (ms).
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Appends an event with the current time.
    pub fn log_event(&mut self, text: String) {
        let at_ms = self.now_ms();
        self.events.push(Event { at_ms, text });
    }

    /// Records that a fault affects a machine from now on.
    pub fn disturb(&mut self, machine: Machine) {
        let from_ms = self.now_ms();
        self.disturbances.push(Disturbance { machine, from_ms, until_ms: None });
    }

    /// Records that a machine runs undisturbed again.
    pub fn recover(&mut self, machine: Machine) {
        let now = self.now_ms();
        for disturbance in self.disturbances.iter_mut().filter(|d| d.machine == machine) {
            disturbance.until_ms.get_or_insert(now);
        }
    }
}
