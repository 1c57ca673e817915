//! Meters for messages, bytes and CPU time.

use std::collections::BTreeMap;

use grebepath_core::protocol::message::Message;
use rustix::time::{ClockId, clock_gettime};

/// A number of messages and their size.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct Count {
    /// Messages (count).
    pub messages: u64,
    /// Their encoded size (bytes).
    pub bytes: u64,
}

/// Costs of one node since the last reset.
#[derive(Clone, Copy, Default)]
pub struct Meter {
    /// Messages that it sent.
    pub sent: Count,
    /// Messages that it received.
    pub received: Count,
    /// Events processed by its state machine.
    pub steps: u64,
    /// CPU time spent in `step` (ns).
    pub step_ns: u64,
    /// CPU time spent on encoding and decoding messages (ns).
    pub codec_ns: u64,
    /// Disk writes (count) and their size (bytes).
    pub disk: Count,
}

/// Messages by link and kind.
pub type Traffic = BTreeMap<(&'static str, &'static str), Count>;

/// Adds one message to a count.
pub fn add(cell: &mut Count, bytes: usize) {
    cell.messages += 1;
    cell.bytes += bytes as u64;
}

/// Returns the CPU time of this thread (ns).
pub fn thread_cpu_time() -> u64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as u64 * 1_000_000_000 + t.tv_nsec as u64
}

/// Runs `f` and adds its CPU time to `sum`.
pub fn timed<T>(sum: &mut u64, f: impl FnOnce() -> T) -> T {
    let from = thread_cpu_time();
    let out = f();
    *sum += thread_cpu_time() - from;
    out
}

/// Returns the resident set size of this process (bytes).
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) * 1024
}

/// Returns the name of a message's kind, as it appears in the report.
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
