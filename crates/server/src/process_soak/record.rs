//! What a run has seen, from outside the processes. All times are milliseconds of the run.

use std::time::Instant;

/// A machine of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machine {
    /// A querier, by its number.
    Querier(usize),
    /// A controller, by its number.
    Controller(usize),
}

/// A time in which a machine was disturbed.
pub struct Disturbance {
    /// Which machine.
    pub machine: Machine,
    /// From the signal on.
    pub from_ms: u64,
    /// Until it ran again; none while it does not.
    pub until_ms: Option<u64>,
}

/// A leaf that leaves.
pub struct LeavingLeaf {
    /// Its name.
    pub leaf: String,
    /// From when on the platform's list shows it.
    pub shown_ms: u64,
}

/// An operator's order to drain a zone, or to take that back.
pub struct ZoneOperationRecord {
    /// The zone.
    pub zone: String,
    /// Whether nothing more may be sent there.
    pub drained: bool,
    /// When it was first sent.
    pub sent_ms: u64,
    /// When it was acknowledged, if it was.
    pub acknowledged_ms: Option<u64>,
}

/// How a zone stood when it was read, before the next order about it was sent.
pub struct ZoneRead {
    /// The newest order about the zone, by its place among all.
    pub operation: usize,
    /// What was read.
    pub is_drained: bool,
    /// When.
    pub at_ms: u64,
}

/// An attempt that began to run at a leaf.
pub struct Run {
    /// The leaf.
    pub leaf: String,
    /// Its zone.
    pub zone: String,
    /// The querier that sent it.
    pub querier: usize,
    /// When it began.
    pub at_ms: u64,
}

/// Something that happened, to be read by people.
pub struct Event {
    /// When.
    pub at_ms: u64,
    /// What.
    pub text: String,
}

/// All that is judged.
pub struct Record {
    began: Instant,
    /// Disturbances of all machines.
    pub disturbances: Vec<Disturbance>,
    /// Leafs that leave.
    pub leaving: Vec<LeavingLeaf>,
    /// Orders about zones, in the order in which they were given.
    pub zone_operations: Vec<ZoneOperationRecord>,
    /// What was read between orders.
    pub zone_reads: Vec<ZoneRead>,
    /// What leafs ran.
    pub runs: Vec<Run>,
    /// What happened.
    pub events: Vec<Event>,
    /// The state of each zone as it was read at the end; true for drained.
    pub zones_at_end: Vec<(String, bool)>,
    /// What callers found wrong with answers.
    pub wrong_answers: Vec<String>,
    /// What was found wrong with processes.
    pub process_faults: Vec<String>,
}

impl Record {
    /// A record that begins now.
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

    /// Time since the run began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Notes something that happens now.
    pub fn log_event(&mut self, text: String) {
        let at_ms = self.now_ms();
        self.events.push(Event { at_ms, text });
    }

    /// A machine is disturbed from now on.
    pub fn disturb(&mut self, machine: Machine) {
        let from_ms = self.now_ms();
        self.disturbances.push(Disturbance { machine, from_ms, until_ms: None });
    }

    /// A machine runs again, undisturbed.
    pub fn recover(&mut self, machine: Machine) {
        let now = self.now_ms();
        for disturbance in self.disturbances.iter_mut().filter(|d| d.machine == machine) {
            disturbance.until_ms.get_or_insert(now);
        }
    }
}
