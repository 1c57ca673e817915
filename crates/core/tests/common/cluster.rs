//! A cluster of controllers in virtual time, with a simulated network and simulated disks.
//!
//! Messages between two controllers arrive in the order in which they were sent, as on one
//! connection. The test decides which controllers are partitioned, paused, restarted, have a
//! stalled disk or a clock that runs fast or slow. Only the message latency may be random,
//! drawn from a seeded generator.
#![allow(dead_code, clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use grebepath_core::command::Command;
use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::control_plane::step::WAKE_INTERVAL;
use grebepath_core::identifiers::{PartitionId, Term};
use grebepath_core::protocol::membership::{Member, MemberProgress};
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::protocol::replica::ReplicaCondition;
use grebepath_core::random::Random;
use grebepath_core::replication::leader::AckedRound;
use grebepath_core::replication::partition::Role;
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::voter_file::{Start, begin};
use grebepath_core::time::{BOOT, MILLI, SECOND, Span, Tick, ms};
use grebepath_core::voter_set::fixed_replica_id;

/// Minimum one-way latency between two controllers, and duration of a write to a disk.
const LATENCY: Span = ms(1);
const SYNC: Span = ms(2);
/// Lowest number of a member's connection; numbers below it are connections of controllers.
const MEMBER_CONNECTION: u64 = 1_000;
/// Maximum number of controllers in a cluster.
const MAX_NODES: u64 = 8;

/// An event that is scheduled for a controller.
enum Scheduled {
    Event(Event),
    Wake,
    /// A wake-up that the controller requested with `WakeAfter`.
    RequestedWake,
    WriteDone,
}

struct Node {
    core: ControllerState,
    /// Number of the process on this machine. Events that are scheduled for an earlier process
    /// are dropped.
    incarnation: u64,
    /// The local clock: its reading at the time `anchor`, and its rate in percent.
    reading: Tick,
    anchor: Tick,
    clock_percent: u64,
    paused_until: Tick,
    disk_stalled: bool,
    /// Duration of each write if the disk performs them one after the other; zero if all writes
    /// complete together after 2 ms.
    write_span: Span,
    disk_busy_until: Tick,
    /// Writes in progress, oldest first.
    writes: Vec<Write>,
    /// The state that is on the disk.
    disk: BTreeMap<PartitionId, ReplicaState>,
}

/// A write in progress.
enum Write {
    Append { partition: PartitionId, token: u64, record: LogRecord },
    Slot { partition: PartitionId, token: u64, copy: ReplicaState },
    VoterSet { token: u64 },
}

/// A response that an operator received.
pub struct Response {
    pub at: Tick,
    pub done: OperationResult,
}

/// Controllers with their network.
pub struct Cluster {
    pub now: Tick,
    nodes: Vec<Node>,
    scheduled: BTreeMap<(Tick, u64), (usize, u64, Scheduled)>,
    sequence: u64,
    /// Directed pairs (from, to) whose messages are dropped.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub responses: BTreeMap<u64, Response>,
    pub submitted_at: BTreeMap<u64, Tick>,
    next_number: u64,
    /// Maximum random latency that is added to each message.
    pub jitter: Span,
    pub latency_random: Random,
    last_arrival: BTreeMap<(usize, usize), Tick>,
    /// Deliberate fault: the leader takes its next heartbeat round as acknowledged by all
    /// voters as soon as it receives an operation.
    pub skip_leadership_proof: bool,
    /// Deliberate fault: snapshots lack their last entry.
    pub lossy_snapshots: bool,
    /// Number of messages sent, by sender and message variant.
    pub sent: BTreeMap<(usize, String), u64>,
    /// Messages that controllers sent to members, with the sender, newest last.
    pub to_members: Vec<(usize, Message)>,
    pub alarms: Vec<String>,
}

fn address(node: usize) -> String {
    format!("127.0.0.{}:7", node + 1)
}

/// Returns the number of the connection on which a process of a controller sends; each new
/// process opens a new connection.
fn voter_connection(node: usize, incarnation: u64) -> u64 {
    let connection = incarnation * MAX_NODES + node as u64;
    assert!(connection < MEMBER_CONNECTION, "too many restarts");
    connection
}

/// Starts a controller on the state that its disk holds.
fn start_controller(
    node: usize,
    size: usize,
    seed: u64,
    is_first_start: bool,
    disk: &BTreeMap<PartitionId, ReplicaState>,
) -> ControllerState {
    let start = Start {
        slot: Some(node as u8),
        is_first_start,
        seeds: (0..size).map(address).collect(),
        size,
        addr: address(node),
    };
    let (voter_file, _) = begin(None, &start, disk.is_empty(), seed);
    let found = disk
        .iter()
        .map(|(partition, copy)| (*partition, ReplicaCondition::Voting, copy.clone(), 0))
        .collect();
    ControllerState::new(voter_file, (&address(node), "a"), found, seed, BOOT)
}

/// Returns a cluster of `size` controllers, each with a voter slot and an empty disk.
pub fn cluster(size: usize) -> Cluster {
    let nodes = (0..size)
        .map(|node| Node {
            core: start_controller(node, size, 11 + node as u64, true, &BTreeMap::new()),
            incarnation: 1,
            reading: BOOT,
            anchor: 0,
            clock_percent: 100,
            paused_until: 0,
            disk_stalled: false,
            write_span: 0,
            disk_busy_until: 0,
            writes: Vec::new(),
            disk: BTreeMap::new(),
        })
        .collect();
    let mut cluster = Cluster {
        now: 0,
        nodes,
        scheduled: BTreeMap::new(),
        sequence: 0,
        blocked_links: BTreeSet::new(),
        responses: BTreeMap::new(),
        submitted_at: BTreeMap::new(),
        next_number: 1,
        jitter: 0,
        latency_random: Random::new(1),
        last_arrival: BTreeMap::new(),
        skip_leadership_proof: false,
        lossy_snapshots: false,
        sent: BTreeMap::new(),
        to_members: Vec::new(),
        alarms: Vec::new(),
    };
    for node in 0..size {
        push(&mut cluster, node, ms(node as u64), Scheduled::Wake);
    }
    cluster
}

fn push(cluster: &mut Cluster, node: usize, after: Span, delivery: Scheduled) {
    cluster.sequence += 1;
    let incarnation = cluster.nodes[node].incarnation;
    cluster
        .scheduled
        .insert((cluster.now + after, cluster.sequence), (node, incarnation, delivery));
}

/// Returns the reading of a controller's local clock.
pub fn local_clock(cluster: &Cluster, node: usize) -> Tick {
    let node = &cluster.nodes[node];
    node.reading + (cluster.now - node.anchor) * node.clock_percent / 100
}

/// Sets the rate of a controller's clock, in percent of real time.
pub fn set_clock_rate(cluster: &mut Cluster, node: usize, percent: u64) {
    let reading = local_clock(cluster, node);
    let now = cluster.now;
    let node = &mut cluster.nodes[node];
    (node.reading, node.anchor, node.clock_percent) = (reading, now, percent);
}

/// Pauses a process for a while. Its clock goes on, and events for it are queued.
pub fn pause(cluster: &mut Cluster, node: usize, span: Span) {
    cluster.nodes[node].paused_until = cluster.now + span;
}

/// Blocks all messages between a controller and the others.
pub fn isolate(cluster: &mut Cluster, node: usize) {
    for other in (0..cluster.nodes.len()).filter(|other| *other != node) {
        cluster.blocked_links.insert((node, other));
        cluster.blocked_links.insert((other, node));
    }
}

/// Delays messages that one controller sends to another from now on: none arrives before `span`
/// has passed.
pub fn delay_messages(cluster: &mut Cluster, from: usize, to: usize, span: Span) {
    cluster.last_arrival.insert((from, to), cluster.now + span);
}

/// Makes a controller's disk perform writes one after the other, each taking `span`.
pub fn slow_disk(cluster: &mut Cluster, node: usize, span: Span) {
    cluster.nodes[node].write_span = span;
}

/// Stalls a controller's disk, so that no write completes, or releases it.
pub fn stall_disk(cluster: &mut Cluster, node: usize, disk_stalled: bool) {
    cluster.nodes[node].disk_stalled = disk_stalled;
    if !disk_stalled {
        push(cluster, node, 0, Scheduled::WriteDone);
    }
}

/// Ends a process and immediately starts a new one on an empty disk.
pub fn restart_on_empty_disk(cluster: &mut Cluster, node: usize, seed: u64) {
    cluster.nodes[node].disk.clear();
    restart(cluster, node, seed);
}

/// Ends a process and immediately starts a new one on the completed writes.
pub fn restart(cluster: &mut Cluster, node: usize, seed: u64) {
    let size = cluster.nodes.len();
    let now = cluster.now;
    let machine = &mut cluster.nodes[node];
    machine.incarnation += 1;
    machine.core = start_controller(node, size, seed, false, &machine.disk);
    (machine.reading, machine.anchor, machine.paused_until) = (BOOT, now, 0);
    machine.writes.clear();
    push(cluster, node, ms(1), Scheduled::Wake);
}

/// Drops the messages in flight between two controllers, as a connection reset does.
pub fn reset_connection(cluster: &mut Cluster, a: usize, b: usize) {
    let between = |node: usize, event: &Scheduled| match event {
        Scheduled::Event(Event::FromVoter { slot, .. }) => {
            let from = usize::from(*slot);
            (from, node) == (a, b) || (from, node) == (b, a)
        }
        _ => false,
    };
    cluster.scheduled.retain(|_, (node, _, event)| !between(*node, event));
}

/// Advances the virtual time by `span`.
pub fn run(cluster: &mut Cluster, span: Span) {
    let end = cluster.now + span;
    while let Some(entry) = cluster.scheduled.first_entry() {
        if entry.key().0 > end {
            break;
        }
        let ((at, _), (node, incarnation, delivery)) = entry.remove_entry();
        cluster.now = cluster.now.max(at);
        deliver_scheduled(cluster, node, incarnation, delivery);
    }
    cluster.now = end;
}

/// Advances the virtual time until `done` holds; fails after a minute.
pub fn run_until(cluster: &mut Cluster, done: impl Fn(&Cluster) -> bool) {
    let end = cluster.now + 60 * SECOND;
    while !done(cluster) {
        assert!(cluster.now < end, "the condition does not hold within a minute");
        run(cluster, MILLI);
    }
}

fn deliver_scheduled(cluster: &mut Cluster, node: usize, incarnation: u64, delivery: Scheduled) {
    let machine = &mut cluster.nodes[node];
    if machine.incarnation != incarnation {
        return;
    }
    if machine.paused_until > cluster.now {
        cluster.sequence += 1;
        let at = (machine.paused_until, cluster.sequence);
        cluster.scheduled.insert(at, (node, incarnation, delivery));
        return;
    }
    match delivery {
        Scheduled::Event(event) => deliver_event(cluster, node, event),
        Scheduled::Wake => {
            let span = WAKE_INTERVAL * 100 / machine.clock_percent;
            push(cluster, node, span, Scheduled::Wake);
            deliver_event(cluster, node, Event::Wake);
        }
        Scheduled::RequestedWake => deliver_event(cluster, node, Event::Wake),
        Scheduled::WriteDone => {
            if !machine.disk_stalled {
                let count = if machine.write_span > 0 { 1 } else { machine.writes.len() };
                let count = count.min(machine.writes.len());
                for write in machine.writes.drain(..count).collect::<Vec<_>>() {
                    let event = complete_write(&mut cluster.nodes[node].disk, write);
                    deliver_event(cluster, node, event);
                }
            }
        }
    }
}

/// Applies a completed write to the disk and returns the event that reports it.
fn complete_write(disk: &mut BTreeMap<PartitionId, ReplicaState>, write: Write) -> Event {
    match write {
        Write::Append { partition, token, record } => {
            disk.entry(partition).or_default().apply(&record);
            Event::Synced { partition, token }
        }
        Write::Slot { partition, token, copy } => {
            disk.insert(partition, copy);
            Event::Synced { partition, token }
        }
        Write::VoterSet { token } => Event::VoterFileWritten { token },
    }
}

/// Delivers one event to a controller now and executes the commands that it returns.
pub fn deliver_event(cluster: &mut Cluster, node: usize, event: Event) {
    let now = local_clock(cluster, node);
    let core = &mut cluster.nodes[node].core;
    let is_operation = matches!(
        &event,
        Event::Operate { .. } | Event::FromVoter { message: Message::OperationRequest { .. }, .. }
    );
    let answered =
        (cluster.skip_leadership_proof && is_operation).then(|| assume_next_round_acked(core));
    let commands = core.step(now, event);
    if let (Some(answered), Role::Leader(leader)) = (answered, &mut core.partitions[0].role) {
        leader.acked = answered;
    }
    for command in commands {
        execute(cluster, node, command);
    }
}

/// Marks the leader's next round as acknowledged by all voters, and returns the true
/// acknowledgements, to be restored.
fn assume_next_round_acked(core: &mut ControllerState) -> Vec<AckedRound> {
    let Role::Leader(leader) = &mut core.partitions[0].role else { return Vec::new() };
    let answered = leader.acked.clone();
    let next = leader.round + 1;
    leader.acked.iter_mut().for_each(|round| round.number = next);
    answered
}

/// Returns the latency of a message that is sent now; it arrives after all messages that were
/// sent before it on the same link.
fn message_latency(cluster: &mut Cluster, from: usize, to: usize) -> Span {
    let arrival = cluster.now + LATENCY + cluster.latency_random.below(cluster.jitter);
    let last = cluster.last_arrival.entry((from, to)).or_insert(0);
    *last = arrival.max(*last);
    *last - cluster.now
}

fn write(cluster: &mut Cluster, node: usize, write: Write) {
    let now = cluster.now;
    let machine = &mut cluster.nodes[node];
    machine.writes.push(write);
    let mut after = SYNC;
    if machine.write_span > 0 {
        machine.disk_busy_until = machine.disk_busy_until.max(now) + machine.write_span;
        after = machine.disk_busy_until - now;
    }
    push(cluster, node, after, Scheduled::WriteDone);
}

fn execute(cluster: &mut Cluster, node: usize, command: Command) {
    match command {
        Command::ToVoter { slot, mut message } => {
            if let (true, Message::Snapshot { entries: map, .. }) =
                (cluster.lossy_snapshots, &mut message)
            {
                map.pop_last();
            }
            let variant = format!("{message:?}");
            let variant = variant.split([' ', '(', '{']).next().unwrap_or_default().to_string();
            *cluster.sent.entry((node, variant)).or_default() += 1;
            let to = usize::from(slot);
            if cluster.blocked_links.contains(&(node, to)) {
                return;
            }
            let slot = node as u8;
            let connection = voter_connection(node, cluster.nodes[node].incarnation);
            let event =
                Event::FromVoter { slot, replica_id: fixed_replica_id(slot), connection, message };
            let after = message_latency(cluster, node, to);
            push(cluster, to, after, Scheduled::Event(event));
        }
        Command::ToConnection { message, .. } => cluster.to_members.push((node, message)),
        Command::AppendRecord { partition, token, record: rec } => {
            write(cluster, node, Write::Append { partition, token, record: rec });
        }
        Command::WriteSnapshot { partition, token, snapshot: copy } => {
            write(cluster, node, Write::Slot { partition, token, copy });
        }
        Command::WriteVoterFile { token, .. } => write(cluster, node, Write::VoterSet { token }),
        Command::Respond { op, result: done } => {
            let at = cluster.now;
            assert!(!cluster.responses.contains_key(&op), "operation {op} has two responses");
            cluster.responses.insert(op, Response { at, done });
        }
        Command::WakeAfter { span } => {
            let span = span * 100 / cluster.nodes[node].clock_percent;
            push(cluster, node, span, Scheduled::RequestedWake);
        }
        Command::Alarm(text) => cluster.alarms.push(text),
        _ => {}
    }
}

/// Returns the serving leader of the configuration's partition with the highest term, if any.
pub fn leader(cluster: &Cluster) -> Option<usize> {
    let term = |node: &usize| match &cluster.nodes[*node].core.partitions[0].role {
        Role::Leader(leader) if leader.is_serving => leader.term,
        _ => Term::ZERO,
    };
    (0..cluster.nodes.len()).max_by_key(|node| term(node)).filter(|node| term(node) > Term::ZERO)
}

/// Returns whether a controller considers itself the serving leader of the configuration's
/// partition.
pub fn considers_itself_leader(cluster: &Cluster, node: usize) -> bool {
    matches!(&cluster.nodes[node].core.partitions[0].role, Role::Leader(leader) if leader.is_serving)
}

/// Returns a controller's state.
pub fn core_of(cluster: &Cluster, node: usize) -> &ControllerState {
    &cluster.nodes[node].core
}

/// Returns a controller's state for deliberate corruption.
pub fn core_mut(cluster: &mut Cluster, node: usize) -> &mut ControllerState {
    &mut cluster.nodes[node].core
}

/// Returns a cluster that has elected a leader, with the leader and another controller.
pub fn cluster_with_leader(size: usize) -> (Cluster, usize, usize) {
    let mut cluster = cluster(size);
    run_until(&mut cluster, |cluster| leader(cluster).is_some());
    let first = leader(&cluster).unwrap();
    // The others learn of the leader in this time.
    run(&mut cluster, ms(500));
    (cluster, first, (first + 1) % size)
}

/// Submits an operator's request, which is the controller's next event; returns its number.
pub fn submit(cluster: &mut Cluster, node: usize, request: &str, operation: Operation) -> u64 {
    let number = allocate_number(cluster);
    let request = request.to_string();
    deliver_event(
        cluster,
        node,
        Event::Operate { op: number, request, expected_revision: None, operation },
    );
    number
}

/// Submits an operator's request that expects the revision `base`.
pub fn submit_conditional(
    cluster: &mut Cluster,
    node: usize,
    request: &str,
    base: u64,
    operation: Operation,
) -> u64 {
    let number = allocate_number(cluster);
    let event = Event::Operate {
        op: number,
        request: request.to_string(),
        expected_revision: Some(base),
        operation,
    };
    deliver_event(cluster, node, event);
    number
}

/// Submits an operator's request that waits in the socket of a paused controller.
pub fn submit_to_paused(
    cluster: &mut Cluster,
    node: usize,
    request: &str,
    operation: Operation,
) -> u64 {
    let number = allocate_number(cluster);
    let request = request.to_string();
    let event = Event::Operate { op: number, request, expected_revision: None, operation };
    push(cluster, node, 0, Scheduled::Event(event));
    number
}

fn allocate_number(cluster: &mut Cluster) -> u64 {
    let number = cluster.next_number;
    cluster.next_number += 1;
    cluster.submitted_at.insert(number, cluster.now);
    number
}

/// Runs until an operation has its response.
pub fn await_response(cluster: &mut Cluster, operation: u64) -> OperationResult {
    run_until(cluster, |cluster| cluster.responses.contains_key(&operation));
    cluster.responses[&operation].done.clone()
}

/// Returns the time between an operation's submission and its response.
pub fn response_time(cluster: &Cluster, operation: u64) -> Span {
    cluster.responses[&operation].at - cluster.submitted_at[&operation]
}

/// Delivers a member's lease renewal to a controller.
pub fn renew_lease(
    cluster: &mut Cluster,
    node: usize,
    name: &str,
    count: u64,
    progress: MemberProgress,
) {
    let member = Member {
        name: name.into(),
        addr: name.into(),
        zone: "a".into(),
        threads: 1,
        joined: 0,
        incarnation: 1,
    };
    let connection = MEMBER_CONNECTION + u64::from(name.as_bytes().last().copied().unwrap_or(0));
    deliver_event(
        cluster,
        node,
        Event::FromConnection {
            connection,
            message: Message::RenewLease { member, number: count, progress },
        },
    );
}

/// Ends a pause before any queued event is delivered, so that the event that the test delivers
/// next is the controller's first.
pub fn resume_before_pending(cluster: &mut Cluster, node: usize) {
    cluster.nodes[node].paused_until = cluster.now;
}

/// Ends a pause and schedules the queued events for now, in their order.
pub fn resume_with_pending(cluster: &mut Cluster, node: usize) {
    let end = std::mem::replace(&mut cluster.nodes[node].paused_until, cluster.now);
    let is_queued =
        |key: &(Tick, u64), (to, _, _): &mut (usize, u64, Scheduled)| key.0 == end && *to == node;
    let queued: Vec<_> = cluster.scheduled.extract_if(.., is_queued).collect();
    for ((_, sequence), delivery) in queued {
        cluster.scheduled.insert((cluster.now, sequence), delivery);
    }
}

/// Submits an operator's request under a number that the test chooses, because a new process
/// reuses the numbers of the one before.
pub fn submit_with_number(
    cluster: &mut Cluster,
    node: usize,
    number: u64,
    request: &str,
    operation: Operation,
) {
    cluster.submitted_at.insert(number, cluster.now);
    let request = request.to_string();
    deliver_event(
        cluster,
        node,
        Event::Operate { op: number, request, expected_revision: None, operation },
    );
}
