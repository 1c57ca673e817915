//! Three controllers on a net and disks that a test commands, in virtual time.
//!
//! The net keeps the order of the messages between two controllers, as one
//! connection does. A test says who is cut off, paused, stalled, restarted or has
//! a clock that runs fast or slow; only the latency may vary, by the net's seed.
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

/// One way between two controllers, and one write to a disk.
const LATENCY: Span = ms(1);
const SYNC: Span = ms(2);
/// The connection of members begins here; those of controllers are below.
const MEMBER_CONNECTION: u64 = 1_000;
/// Controllers in a cluster, at the most.
const MAX_NODES: u64 = 8;

/// What reaches a controller.
enum Delivery {
    Event(Event),
    Wake,
    /// A wake that the controller asked for itself.
    AskedWake,
    Written,
}

struct Node {
    core: ControllerState,
    /// Counts the processes of this machine: what was meant for an earlier one
    /// is lost, except what comes on a new connection.
    life: u64,
    /// The local clock: its reading at `anchor`, and its rate in percent.
    reading: Tick,
    anchor: Tick,
    rate: u64,
    paused_until: Tick,
    stalled: bool,
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
pub struct Answer {
    pub at: Tick,
    pub done: OperationResult,
}

/// Controllers with their net.
pub struct Cluster {
    pub now: Tick,
    nodes: Vec<Node>,
    line: BTreeMap<(Tick, u64), (usize, u64, Delivery)>,
    serial: u64,
    /// Directed pairs on which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    pub answers: BTreeMap<u64, Answer>,
    pub asked: BTreeMap<u64, Tick>,
    next_operation: u64,
    /// Added to each message's latency at random, at the most.
    pub jitter: Span,
    pub chance: Random,
    last_arrival: BTreeMap<(usize, usize), Tick>,
    /// Broken on purpose: what a leader judges counts as proved at once.
    pub unproved: bool,
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
fn voter_connection(node: usize, life: u64) -> u64 {
    let connection = life * MAX_NODES + node as u64;
    assert!(connection < MEMBER_CONNECTION, "too many restarts");
    connection
}

/// A controller that has just read its disk.
fn booted(
    node: usize,
    size: usize,
    seed: u64,
    first: bool,
    disk: &BTreeMap<PartitionId, ReplicaState>,
) -> ControllerState {
    let start = Start {
        slot: Some(node as u8),
        is_first_start: first,
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
            core: booted(node, size, 11 + node as u64, true, &BTreeMap::new()),
            life: 1,
            reading: BOOT,
            anchor: 0,
            rate: 100,
            paused_until: 0,
            stalled: false,
            write_span: 0,
            disk_busy_until: 0,
            writes: Vec::new(),
            disk: BTreeMap::new(),
        })
        .collect();
    let mut cluster = Cluster {
        now: 0,
        nodes,
        line: BTreeMap::new(),
        serial: 0,
        cut: BTreeSet::new(),
        answers: BTreeMap::new(),
        asked: BTreeMap::new(),
        next_operation: 1,
        jitter: 0,
        chance: Random::new(1),
        last_arrival: BTreeMap::new(),
        unproved: false,
        lossy_snapshots: false,
        sent: BTreeMap::new(),
        to_members: Vec::new(),
        alarms: Vec::new(),
    };
    for node in 0..size {
        push(&mut cluster, node, ms(node as u64), Delivery::Wake);
    }
    cluster
}

fn push(cluster: &mut Cluster, node: usize, after: Span, delivery: Delivery) {
    cluster.serial += 1;
    let life = cluster.nodes[node].life;
    cluster.line.insert((cluster.now + after, cluster.serial), (node, life, delivery));
}

/// What a controller's own clock shows.
pub fn local(cluster: &Cluster, node: usize) -> Tick {
    let node = &cluster.nodes[node];
    node.reading + (cluster.now - node.anchor) * node.rate / 100
}

/// Lets a controller's clock run at this rate from now on.
pub fn rate(cluster: &mut Cluster, node: usize, percent: u64) {
    let reading = local(cluster, node);
    let now = cluster.now;
    let node = &mut cluster.nodes[node];
    (node.reading, node.anchor, node.rate) = (reading, now, percent);
}

/// Stops a process for a while; its clock and what reaches it go on.
pub fn pause(cluster: &mut Cluster, node: usize, span: Span) {
    cluster.nodes[node].paused_until = cluster.now + span;
}

/// Lets nothing pass between a controller and all others.
pub fn isolate(cluster: &mut Cluster, node: usize) {
    for other in (0..cluster.nodes.len()).filter(|other| *other != node) {
        cluster.cut.insert((node, other));
        cluster.cut.insert((other, node));
    }
}

/// Holds what one controller sends to another from now on: it all arrives after this time.
pub fn hold(cluster: &mut Cluster, from: usize, to: usize, span: Span) {
    cluster.last_arrival.insert((from, to), cluster.now + span);
}

/// A disk that takes so long for each write, one after the other.
pub fn slow_disk(cluster: &mut Cluster, node: usize, span: Span) {
    cluster.nodes[node].write_span = span;
}

/// A disk that finishes nothing until it is released.
pub fn stall(cluster: &mut Cluster, node: usize, stalled: bool) {
    cluster.nodes[node].stalled = stalled;
    if !stalled {
        push(cluster, node, 0, Delivery::Written);
    }
}

/// The process ends and a new one starts at once on an empty disk.
pub fn restart_blank(cluster: &mut Cluster, node: usize, seed: u64) {
    cluster.nodes[node].disk.clear();
    restart(cluster, node, seed);
}

/// The process ends, what it wrote lasts, and a new one starts at once.
pub fn restart(cluster: &mut Cluster, node: usize, seed: u64) {
    let size = cluster.nodes.len();
    let now = cluster.now;
    let machine = &mut cluster.nodes[node];
    machine.life += 1;
    machine.core = booted(node, size, seed, false, &machine.disk);
    (machine.reading, machine.anchor, machine.paused_until) = (BOOT, now, 0);
    machine.writes.clear();
    push(cluster, node, ms(1), Delivery::Wake);
}

/// Loses what is under way between two controllers, as a reset connection does.
pub fn reset(cluster: &mut Cluster, a: usize, b: usize) {
    let between = |node: usize, event: &Delivery| match event {
        Delivery::Event(Event::FromVoter { slot, .. }) => {
            let from = usize::from(*slot);
            (from, node) == (a, b) || (from, node) == (b, a)
        }
        _ => false,
    };
    cluster.line.retain(|_, (node, _, event)| !between(*node, event));
}

/// Lets time pass.
pub fn run(cluster: &mut Cluster, span: Span) {
    let end = cluster.now + span;
    while let Some(entry) = cluster.line.first_entry() {
        if entry.key().0 > end {
            break;
        }
        let ((at, _), (node, life, delivery)) = entry.remove_entry();
        cluster.now = cluster.now.max(at);
        deliver(cluster, node, life, delivery);
    }
    cluster.now = end;
}

/// Lets time pass until `done`, a minute at the most.
pub fn until(cluster: &mut Cluster, done: impl Fn(&Cluster) -> bool) {
    let end = cluster.now + 60 * SECOND;
    while !done(cluster) {
        assert!(cluster.now < end, "it does not come to be in a minute");
        run(cluster, MILLI);
    }
}

fn deliver(cluster: &mut Cluster, node: usize, life: u64, delivery: Delivery) {
    let machine = &mut cluster.nodes[node];
    if machine.life != life {
        return;
    }
    if machine.paused_until > cluster.now {
        cluster.serial += 1;
        let at = (machine.paused_until, cluster.serial);
        cluster.line.insert(at, (node, life, delivery));
        return;
    }
    match delivery {
        Delivery::Event(event) => take(cluster, node, event),
        Delivery::Wake => {
            let span = WAKE_INTERVAL * 100 / machine.rate;
            push(cluster, node, span, Delivery::Wake);
            take(cluster, node, Event::Wake);
        }
        Delivery::AskedWake => take(cluster, node, Event::Wake),
        Delivery::Written => {
            if !machine.stalled {
                let count = if machine.write_span > 0 { 1 } else { machine.writes.len() };
                let count = count.min(machine.writes.len());
                for write in machine.writes.drain(..count).collect::<Vec<_>>() {
                    let event = written(&mut cluster.nodes[node].disk, write);
                    take(cluster, node, event);
                }
            }
        }
    }
}

/// A write has reached the disk.
fn written(disk: &mut BTreeMap<PartitionId, ReplicaState>, write: Write) -> Event {
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
pub fn take(cluster: &mut Cluster, node: usize, event: Event) {
    let now = local(cluster, node);
    let core = &mut cluster.nodes[node].core;
    let order = matches!(
        &event,
        Event::Operate { .. } | Event::FromVoter { message: Message::OperationRequest { .. }, .. }
    );
    let answered = (cluster.unproved && order).then(|| pretend_proof(core));
    let commands = core.step(now, event);
    if let (Some(answered), Role::Leader(leader)) = (answered, &mut core.partitions[0].role) {
        leader.acked = answered;
    }
    for command in commands {
        carry_out(cluster, node, command);
    }
}

/// Lets a leader take the next round as answered by all; gives what was true.
fn pretend_proof(core: &mut ControllerState) -> Vec<AckedRound> {
    let Role::Leader(leader) = &mut core.partitions[0].role else { return Vec::new() };
    let answered = leader.acked.clone();
    let next = leader.round + 1;
    leader.acked.iter_mut().for_each(|answer| answer.number = next);
    answered
}

/// How long a message takes that is sent now, behind all that was sent before.
fn transit(cluster: &mut Cluster, from: usize, to: usize) -> Span {
    let arrival = cluster.now + LATENCY + cluster.chance.below(cluster.jitter);
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
    push(cluster, node, after, Delivery::Written);
}

fn carry_out(cluster: &mut Cluster, node: usize, command: Command) {
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
            if cluster.cut.contains(&(node, to)) {
                return;
            }
            let slot = node as u8;
            let connection = voter_connection(node, cluster.nodes[node].life);
            let event =
                Event::FromVoter { slot, replica_id: fixed_replica_id(slot), connection, message };
            let after = transit(cluster, node, to);
            push(cluster, to, after, Delivery::Event(event));
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
            assert!(!cluster.answers.contains_key(&op), "operation {op} has two answers");
            cluster.answers.insert(op, Answer { at, done });
        }
        Command::WakeAfter { span } => {
            let span = span * 100 / cluster.nodes[node].rate;
            push(cluster, node, span, Delivery::AskedWake);
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
pub fn believes(cluster: &Cluster, node: usize) -> bool {
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
pub fn led(size: usize) -> (Cluster, usize, usize) {
    let mut cluster = cluster(size);
    until(&mut cluster, |cluster| leader(cluster).is_some());
    let first = leader(&cluster).unwrap();
    // Until the others know it too.
    run(&mut cluster, ms(500));
    (cluster, first, (first + 1) % size)
}

/// An operator's request reaches a controller as its next event, at once.
pub fn ask(cluster: &mut Cluster, node: usize, request: &str, deed: Operation) -> u64 {
    let operation = number(cluster);
    let request = request.to_string();
    take(
        cluster,
        node,
        Event::Operate { op: operation, request, expected_revision: None, operation: deed },
    );
    operation
}

/// The same, on a revision that it expects to change.
pub fn ask_on(
    cluster: &mut Cluster,
    node: usize,
    request: &str,
    base: u64,
    deed: Operation,
) -> u64 {
    let operation = number(cluster);
    let event = Event::Operate {
        op: operation,
        request: request.to_string(),
        expected_revision: Some(base),
        operation: deed,
    };
    take(cluster, node, event);
    operation
}

/// An operator's request waits in the socket of a controller that is paused.
pub fn ask_later(cluster: &mut Cluster, node: usize, request: &str, deed: Operation) -> u64 {
    let operation = number(cluster);
    let request = request.to_string();
    let event = Event::Operate { op: operation, request, expected_revision: None, operation: deed };
    push(cluster, node, 0, Delivery::Event(event));
    operation
}

fn number(cluster: &mut Cluster) -> u64 {
    let operation = cluster.next_operation;
    cluster.next_operation += 1;
    cluster.asked.insert(operation, cluster.now);
    operation
}

/// Runs until an operation has its answer.
pub fn answered(cluster: &mut Cluster, operation: u64) -> OperationResult {
    until(cluster, |cluster| cluster.answers.contains_key(&operation));
    cluster.answers[&operation].done.clone()
}

/// How long an operation took to its answer.
pub fn took(cluster: &Cluster, operation: u64) -> Span {
    cluster.answers[&operation].at - cluster.asked[&operation]
}

/// A member renews at a controller.
pub fn renew(cluster: &mut Cluster, node: usize, name: &str, count: u64, far: MemberProgress) {
    let member = Member {
        name: name.into(),
        addr: name.into(),
        zone: "a".into(),
        threads: 1,
        joined: 0,
        incarnation: 1,
    };
    let connection = MEMBER_CONNECTION + u64::from(name.as_bytes().last().copied().unwrap_or(0));
    take(
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
pub fn resume(cluster: &mut Cluster, node: usize) {
    cluster.nodes[node].paused_until = cluster.now;
}

/// Ends a pause: what waits is taken now, in its order.
pub fn wake_up(cluster: &mut Cluster, node: usize) {
    let end = std::mem::replace(&mut cluster.nodes[node].paused_until, cluster.now);
    let waits =
        |key: &(Tick, u64), (to, _, _): &mut (usize, u64, Delivery)| key.0 == end && *to == node;
    let waiting: Vec<_> = cluster.line.extract_if(.., waits).collect();
    for ((_, serial), delivery) in waiting {
        cluster.line.insert((cluster.now, serial), delivery);
    }
}

/// An operator's request with a number of the test's own: the numbers of a new
/// process begin anew.
pub fn ask_numbered(
    cluster: &mut Cluster,
    node: usize,
    number: u64,
    request: &str,
    deed: Operation,
) {
    cluster.asked.insert(number, cluster.now);
    let request = request.to_string();
    take(
        cluster,
        node,
        Event::Operate { op: number, request, expected_revision: None, operation: deed },
    );
}
