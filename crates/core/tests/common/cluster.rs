//! Three controllers on a net and disks that a test commands, in virtual time.
//!
//! The net keeps the order of the messages between two controllers, as one
//! connection does. A test says who is cut off, paused, disk_stalled, restarted or has
//! a clock that runs fast or slow; only the latency may vary, by the net's seed.
#![allow(dead_code, clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use grebepath_core::command::Command;
use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::control_plane::step::WAKE;
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

/// One way between two controllers, and one write to a disk.
const LATENCY: Span = ms(1);
const SYNC: Span = ms(2);
/// The connection of members begins here; those of controllers are below.
const MEMBER_CONNECTION: u64 = 1_000;
/// Controllers in a cluster, at the most.
const MAX_NODES: u64 = 8;

/// What reaches a controller.
enum Scheduled {
    Event(Event),
    Wake,
    /// A wake that the controller asked for itself.
    RequestedWake,
    WriteDone,
}

struct Node {
    core: ControllerState,
    /// Counts the processes of this machine: what was meant for an earlier one
    /// is lost, except what comes on a new connection.
    incarnation: u64,
    /// The local clock: its reading at `anchor`, and its rate in percent.
    reading: Tick,
    anchor: Tick,
    clock_percent: u64,
    paused_until: Tick,
    disk_stalled: bool,
    /// How long each write takes, one after the other; zero: all together, 2 ms.
    write_span: Span,
    disk_busy_until: Tick,
    /// What is under way to the disk, oldest first.
    writes: Vec<Write>,
    /// What the disk holds.
    disk: BTreeMap<PartitionId, ReplicaState>,
}

/// A write under way.
enum Write {
    Append { partition: PartitionId, token: u64, record: LogRecord },
    Slot { partition: PartitionId, token: u64, copy: ReplicaState },
    VoterSet { token: u64 },
}

/// An answer that an operator got.
pub struct Response {
    pub at: Tick,
    pub done: OperationResult,
}

/// Controllers with their net.
pub struct Cluster {
    pub now: Tick,
    nodes: Vec<Node>,
    scheduled: BTreeMap<(Tick, u64), (usize, u64, Scheduled)>,
    sequence: u64,
    /// Directed pairs on which nothing passes.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub responses: BTreeMap<u64, Response>,
    pub submitted_at: BTreeMap<u64, Tick>,
    next_number: u64,
    /// Added to each message's latency at random, at the most.
    pub jitter: Span,
    pub latency_random: Random,
    last_arrival: BTreeMap<(usize, usize), Tick>,
    /// Broken on purpose: what a leader judges counts as proved at once.
    pub skip_leadership_proof: bool,
    /// Broken on purpose: snapshots lack the newest entry.
    pub lossy_snapshots: bool,
    /// Messages by the first word of their text, and by sender.
    pub sent: BTreeMap<(usize, String), u64>,
    /// What controllers sent to members, newest last.
    pub to_members: Vec<(usize, Message)>,
    pub alarms: Vec<String>,
}

fn address(node: usize) -> String {
    format!("127.0.0.{}:7", node + 1)
}

/// The connection of a controller's process to another one: a new process opens a new one.
fn voter_connection(node: usize, incarnation: u64) -> u64 {
    let connection = incarnation * MAX_NODES + node as u64;
    assert!(connection < MEMBER_CONNECTION, "too many restarts");
    connection
}

/// A controller that has just read its disk.
fn start_controller(
    node: usize,
    size: usize,
    seed: u64,
    first: bool,
    disk: &BTreeMap<PartitionId, ReplicaState>,
) -> ControllerState {
    let start = Start {
        slot: Some(node as u8),
        first,
        seeds: (0..size).map(address).collect(),
        size,
        addr: address(node),
    };
    let (roll, _) = begin(None, &start, disk.is_empty(), seed);
    let found = disk
        .iter()
        .map(|(partition, copy)| (*partition, ReplicaCondition::Voting, copy.clone(), 0))
        .collect();
    ControllerState::new(roll, (&address(node), "a"), found, seed, BOOT)
}

/// So many controllers, each with a voter slot and a disk that holds nothing.
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

/// What a controller's own clock shows.
pub fn local_clock(cluster: &Cluster, node: usize) -> Tick {
    let node = &cluster.nodes[node];
    node.reading + (cluster.now - node.anchor) * node.clock_percent / 100
}

/// Lets a controller's clock run at this rate from now on.
pub fn set_clock_rate(cluster: &mut Cluster, node: usize, percent: u64) {
    let reading = local_clock(cluster, node);
    let now = cluster.now;
    let node = &mut cluster.nodes[node];
    (node.reading, node.anchor, node.clock_percent) = (reading, now, percent);
}

/// Stops a process for a while; its clock and what reaches it go on.
pub fn pause(cluster: &mut Cluster, node: usize, span: Span) {
    cluster.nodes[node].paused_until = cluster.now + span;
}

/// Lets nothing pass between a controller and all others.
pub fn isolate(cluster: &mut Cluster, node: usize) {
    for other in (0..cluster.nodes.len()).filter(|other| *other != node) {
        cluster.blocked_links.insert((node, other));
        cluster.blocked_links.insert((other, node));
    }
}

/// Holds what one controller sends to another from now on: it all arrives after this time.
pub fn delay_messages(cluster: &mut Cluster, from: usize, to: usize, span: Span) {
    cluster.last_arrival.insert((from, to), cluster.now + span);
}

/// A disk that takes so long for each write, one after the other.
pub fn slow_disk(cluster: &mut Cluster, node: usize, span: Span) {
    cluster.nodes[node].write_span = span;
}

/// A disk that finishes nothing until it is released.
pub fn stall_disk(cluster: &mut Cluster, node: usize, disk_stalled: bool) {
    cluster.nodes[node].disk_stalled = disk_stalled;
    if !disk_stalled {
        push(cluster, node, 0, Scheduled::WriteDone);
    }
}

/// The process ends and a new one starts at once on an empty disk.
pub fn restart_on_empty_disk(cluster: &mut Cluster, node: usize, seed: u64) {
    cluster.nodes[node].disk.clear();
    restart(cluster, node, seed);
}

/// The process ends, what it wrote lasts, and a new one starts at once.
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

/// Loses what is under way between two controllers, as a reset connection does.
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

/// Lets time pass.
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

/// Lets time pass until `done`, a minute at the most.
pub fn run_until(cluster: &mut Cluster, done: impl Fn(&Cluster) -> bool) {
    let end = cluster.now + 60 * SECOND;
    while !done(cluster) {
        assert!(cluster.now < end, "it does not come to be in a minute");
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
            let span = WAKE * 100 / machine.clock_percent;
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

/// A write has reached the disk.
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

/// Gives one event to a controller and carries out what it says, now.
pub fn deliver_event(cluster: &mut Cluster, node: usize, event: Event) {
    let now = local_clock(cluster, node);
    let core = &mut cluster.nodes[node].core;
    let order = matches!(
        &event,
        Event::Operate { .. } | Event::FromVoter { message: Message::OperationRequest { .. }, .. }
    );
    let await_response =
        (cluster.skip_leadership_proof && order).then(|| assume_next_round_acked(core));
    let commands = core.step(now, event);
    if let (Some(await_response), Role::Leader(leader)) =
        (await_response, &mut core.partitions[0].role)
    {
        leader.acked = await_response;
    }
    for command in commands {
        execute(cluster, node, command);
    }
}

/// Lets a leader take the next round as answered by all; gives what was true.
fn assume_next_round_acked(core: &mut ControllerState) -> Vec<AckedRound> {
    let Role::Leader(leader) = &mut core.partitions[0].role else { return Vec::new() };
    let await_response = leader.acked.clone();
    let next = leader.round + 1;
    leader.acked.iter_mut().for_each(|answer| answer.number = next);
    await_response
}

/// How long a message takes that is sent now, behind all that was sent before.
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
            let word = format!("{message:?}");
            let word = word.split([' ', '(', '{']).next().unwrap_or_default().to_string();
            *cluster.sent.entry((node, word)).or_default() += 1;
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
        Command::AppendRecord { partition, token, rec } => {
            write(cluster, node, Write::Append { partition, token, record: rec });
        }
        Command::WriteSnapshot { partition, token, copy } => {
            write(cluster, node, Write::Slot { partition, token, copy });
        }
        Command::WriteVoterFile { token, .. } => write(cluster, node, Write::VoterSet { token }),
        Command::Respond { op, done } => {
            let at = cluster.now;
            assert!(!cluster.responses.contains_key(&op), "operation {op} has two answers");
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

/// The serving leader of the configuration of the highest term, if any.
pub fn leader(cluster: &Cluster) -> Option<usize> {
    let term = |node: &usize| match &cluster.nodes[*node].core.partitions[0].role {
        Role::Leader(leader) if leader.is_serving => leader.term,
        _ => Term::ZERO,
    };
    (0..cluster.nodes.len()).max_by_key(|node| term(node)).filter(|node| term(node) > Term::ZERO)
}

/// Whether this controller believes that it leads the configuration.
pub fn considers_itself_leader(cluster: &Cluster, node: usize) -> bool {
    matches!(&cluster.nodes[node].core.partitions[0].role, Role::Leader(leader) if leader.is_serving)
}

/// The controller itself.
pub fn core_of(cluster: &Cluster, node: usize) -> &ControllerState {
    &cluster.nodes[node].core
}

/// The controller itself, to be spoiled on purpose.
pub fn core_mut(cluster: &mut Cluster, node: usize) -> &mut ControllerState {
    &mut cluster.nodes[node].core
}

/// Runs until somebody leads; gives the leader and another controller.
pub fn cluster_with_leader(size: usize) -> (Cluster, usize, usize) {
    let mut cluster = cluster(size);
    run_until(&mut cluster, |cluster| leader(cluster).is_some());
    let first = leader(&cluster).unwrap();
    // Until the others know it too.
    run(&mut cluster, ms(500));
    (cluster, first, (first + 1) % size)
}

/// An operator's request reaches a controller as its next event, at once.
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

/// The same, on a revision that it expects to change.
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

/// An operator's request waits in the socket of a controller that is paused.
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

/// Runs until an operation has its answer.
pub fn await_response(cluster: &mut Cluster, operation: u64) -> OperationResult {
    run_until(cluster, |cluster| cluster.responses.contains_key(&operation));
    cluster.responses[&operation].done.clone()
}

/// How long an operation took to its answer.
pub fn response_time(cluster: &Cluster, operation: u64) -> Span {
    cluster.responses[&operation].at - cluster.submitted_at[&operation]
}

/// A member renews at a controller.
pub fn renew_lease(
    cluster: &mut Cluster,
    node: usize,
    name: &str,
    count: u64,
    far: MemberProgress,
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
            message: Message::RenewLease { member, number: count, progress: far },
        },
    );
}

/// Ends a pause before anything that waits is taken: what the test gives the
/// controller next is its first event.
pub fn resume_before_pending(cluster: &mut Cluster, node: usize) {
    cluster.nodes[node].paused_until = cluster.now;
}

/// Ends a pause: what waits is taken now, in its order.
pub fn resume_with_pending(cluster: &mut Cluster, node: usize) {
    let end = std::mem::replace(&mut cluster.nodes[node].paused_until, cluster.now);
    let waits =
        |key: &(Tick, u64), (to, _, _): &mut (usize, u64, Scheduled)| key.0 == end && *to == node;
    let waiting: Vec<_> = cluster.scheduled.extract_if(.., waits).collect();
    for ((_, sequence), delivery) in waiting {
        cluster.scheduled.insert((cluster.now, sequence), delivery);
    }
}

/// An operator's request with a number of the test's own: the numbers of a new
/// process begin anew.
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
