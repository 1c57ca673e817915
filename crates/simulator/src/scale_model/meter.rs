//! What things cost: messages, bytes, processor time.

use std::collections::BTreeMap;

use grebepath_core::protocol::message::Message;
use rustix::time::{ClockId, clock_gettime};

/// Messages and their bytes.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct Count {
    /// Messages (count).
    pub messages: u64,
    /// Their encoded size (bytes).
    pub bytes: u64,
}

/// What one node spent since it was last reset.
#[derive(Clone, Copy, Default)]
pub struct Meter {
    /// Messages that it sent.
    pub sent: Count,
    /// Messages that it received.
    pub got: Count,
    /// Events that its owner took.
    pub steps: u64,
    /// Processor time in `step`, and in writing and reading messages (ns).
    pub step_ns: u64,
    /// Processor time in encoding and decoding messages (ns).
    pub codec_ns: u64,
    /// What it gave to its disk (bytes), and in how many writes.
    pub disk: Count,
}

/// Messages by what carries them and by kind.
pub type Traffic = BTreeMap<(&'static str, &'static str), Count>;

/// Adds one message.
pub fn add(cell: &mut Count, bytes: usize) {
    cell.messages += 1;
    cell.bytes += bytes as u64;
}

/// Processor time of this thread so far (ns).
pub fn thread_cpu_time() -> u64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as u64 * 1_000_000_000 + t.tv_nsec as u64
}

/// Runs `f` and adds what it took.
pub fn timed<T>(sum: &mut u64, f: impl FnOnce() -> T) -> T {
    let from = thread_cpu_time();
    let out = f();
    *sum += thread_cpu_time() - from;
    out
}

/// Memory of this whole process (bytes), as the system counts it.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) * 1024
}

/// The kind of a message.
pub fn kind(message: &Message) -> &'static str {
    match message {
        Message::Hello { .. } => "hello",
        Message::Snapshot { .. } => "snapshot",
        Message::Append { .. } => "append",
        Message::AppendAck { .. } => "append ack",
        Message::Heartbeat { .. } => "heartbeat",
        Message::HeartbeatAck { .. } => "heartbeat ack",
        Message::Subscribe { .. } => "subscribe",
        Message::Update { .. } => "update",
        Message::FeedPositions { .. } => "feed positions",
        Message::RenewLease { .. } => "renew lease",
        Message::LeaseGranted { .. } => "lease granted",
        Message::MembershipUpdate { .. } => "membership update",
        Message::VoterSetUpdate { .. } => "voter set update",
        Message::Gossip { .. } => "gossip",
        Message::LeafList { .. } => "leaf list",
        Message::LeafReports { .. } => "leaf reports",
        Message::SubstituteListPoller { .. } => "substitute list poller",
        Message::OperationRequest { .. } | Message::OperationResponse { .. } => "operation",
        _ => "election",
    }
}
