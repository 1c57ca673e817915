//! A cluster of controllers that a test drives through `step`. Every message, disk sync and
//! operator call is a separate action that the test can hold back, drop or perform.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};

use grebepath_core::command::Command;
use grebepath_core::config::types::Config;
use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::control_plane::step::WAKE_INTERVAL;
use grebepath_core::identifiers::{CONFIG, PartitionId, VoterSlot};
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::protocol::replica::ReplicaCondition;
use grebepath_core::replication::partition::Role;
use grebepath_core::storage::record::{LogRecord, ReplicaState};
use grebepath_core::storage::voter_file::{Start, VoterFile, begin};
use grebepath_core::time::{BOOT, SECOND, Span, Tick};

/// An action that has not been performed yet.
#[derive(Clone, Debug)]
pub enum Work {
    /// A message from one controller to another.
    Deliver { from: usize, to: usize, replica_id: u64, message: Message },
    /// A disk completes a write.
    Sync { node: usize, partition: PartitionId, token: u64 },
    /// An operator's call reaches a controller.
    Call { node: usize, op: u64, request: String, expect: Option<u64>, operation: Operation },
}

/// A write that was submitted to a disk.
enum DiskWrite {
    Append(LogRecord),
    Snapshot(ReplicaState),
}

/// The synced state of a disk, and the writes that are not synced yet.
#[derive(Default)]
pub struct Disk {
    pub synced: BTreeMap<PartitionId, ReplicaState>,
    pending: VecDeque<(PartitionId, u64, DiskWrite)>,
    voter_file: Option<VoterFile>,
}

pub struct Node {
    /// `None` while it is down.
    pub core: Option<ControllerState>,
    pub disk: Disk,
    /// Messages from and to the controller are dropped.
    pub isolated: bool,
    /// The process is paused: actions for it are deferred.
    pub paused: bool,
    deferred: Vec<Work>,
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub now: Tick,
    pub work: VecDeque<Work>,
    /// Responses that operators received, by the number of the call.
    pub answered: BTreeMap<u64, OperationResult>,
    next_op: u64,
}

/// Returns a cluster of controllers that were started for the first time and have elected a
/// leader.
pub fn cluster(count: usize) -> Cluster {
    let node = |_| Node {
        core: None,
        disk: Disk::default(),
        isolated: false,
        paused: false,
        deferred: Vec::new(),
    };
    let nodes = (0..count).map(node).collect();
    let mut out =
        Cluster { nodes, now: BOOT, work: VecDeque::new(), answered: BTreeMap::new(), next_op: 0 };
    (0..count).for_each(|node| start(&mut out, node, true));
    assert!(run_until(&mut out, 5 * SECOND, |c| leader(c).is_some()), "no leader");
    out
}

fn address(node: usize) -> String {
    format!("127.0.0.{}:1", node + 1)
}

/// Starts a controller on the state that its disk holds.
pub fn start(cluster: &mut Cluster, node: usize, first: bool) {
    let count = cluster.nodes.len();
    let n = &mut cluster.nodes[node];
    let start = Start {
        slot: Some(node as VoterSlot),
        is_first_start: first,
        seeds: (0..count).map(address).collect(),
        size: count,
        addr: address(node),
    };
    let is_empty = n.disk.synced.is_empty();
    let (voter_file, _) = begin(n.disk.voter_file.take(), &start, is_empty, 5 + node as u64);
    n.disk.voter_file = Some(voter_file.clone());
    let found = n
        .disk
        .synced
        .iter()
        .map(|(id, copy)| (*id, ReplicaCondition::Voting, copy.clone(), 0))
        .collect();
    let zone = ["a", "b", "c"][node % 3];
    n.core = Some(ControllerState::new(
        voter_file,
        (&address(node), zone),
        found,
        cluster.now + node as u64,
        cluster.now,
    ));
}

/// Kills a controller. After a power loss its unsynced writes are lost; otherwise the operating
/// system completes them.
pub fn kill(cluster: &mut Cluster, node: usize, power_loss: bool) {
    let n = &mut cluster.nodes[node];
    n.core = None;
    while let Some((partition, _, job)) = n.disk.pending.pop_front() {
        if !power_loss {
            persist(&mut n.disk, partition, job);
        }
    }
    let syncs = |work: &Work| matches!(work, Work::Sync { node: n, .. } if *n == node);
    cluster.work.retain(|work| !syncs(work));
}

fn persist(disk: &mut Disk, partition: PartitionId, job: DiskWrite) {
    match job {
        DiskWrite::Snapshot(copy) => {
            disk.synced.insert(partition, copy);
        }
        DiskWrite::Append(rec) => {
            if let Some(copy) = disk.synced.get_mut(&partition) {
                assert!(copy.apply(&rec), "a record does not follow the one before");
            }
        }
    }
}

/// Delivers an event to a controller and queues the actions that follow from its commands.
pub fn deliver_event(cluster: &mut Cluster, node: usize, event: Event) {
    let now = cluster.now;
    let Some(core) = &mut cluster.nodes[node].core else { return };
    let replica_id = core.voter_slots.voter_file.replica_id;
    for command in core.step(now, event) {
        let disk = &mut cluster.nodes[node].disk;
        match command {
            Command::ToVoter { slot, message } => {
                let to = usize::from(slot);
                cluster.work.push_back(Work::Deliver { from: node, to, replica_id, message });
            }
            Command::AppendRecord { partition, token, record: rec } => {
                disk.pending.push_back((partition, token, DiskWrite::Append(rec)));
                cluster.work.push_back(Work::Sync { node, partition, token });
            }
            Command::WriteSnapshot { partition, token, snapshot: copy } => {
                disk.pending.push_back((partition, token, DiskWrite::Snapshot(copy)));
                cluster.work.push_back(Work::Sync { node, partition, token });
            }
            Command::WriteVoterFile { voter_file: roll, token, .. } => {
                disk.voter_file = Some(roll);
                deliver_event(cluster, node, Event::VoterFileWritten { token });
            }
            Command::Respond { op, result: done } => {
                cluster.answered.insert(op, done);
            }
            _ => {}
        }
    }
}

/// Performs an action.
fn perform(cluster: &mut Cluster, work: Work) {
    let (Work::Deliver { to: node, .. } | Work::Sync { node, .. } | Work::Call { node, .. }) =
        &work;
    if cluster.nodes[*node].paused {
        return cluster.nodes[*node].deferred.push(work);
    }
    match work {
        Work::Deliver { from, to, replica_id, message } => {
            if !cluster.nodes[from].isolated && !cluster.nodes[to].isolated {
                let event = Event::FromVoter {
                    slot: from as VoterSlot,
                    replica_id,
                    connection: from as u64,
                    message,
                };
                deliver_event(cluster, to, event);
            }
        }
        Work::Call { node, op, request, expect, operation } => {
            deliver_event(
                cluster,
                node,
                Event::Operate { op, request, expected_revision: expect, operation },
            );
        }
        Work::Sync { node, partition, token } => {
            let disk = &mut cluster.nodes[node].disk;
            let at = disk.pending.iter().position(|(p, t, _)| (*p, *t) == (partition, token));
            if let Some((partition, _, job)) = at.and_then(|at| disk.pending.remove(at)) {
                persist(disk, partition, job);
                deliver_event(cluster, node, Event::Synced { partition, token });
            }
        }
    }
}

/// Performs all actions except those for which `held` returns true, which stay queued in their
/// order.
pub fn perform_unless(cluster: &mut Cluster, held: impl Fn(&Work) -> bool) {
    let mut kept = VecDeque::new();
    while let Some(work) = cluster.work.pop_front() {
        if held(&work) {
            kept.push_back(work);
        } else {
            perform(cluster, work);
        }
    }
    cluster.work = kept;
}

/// Removes and returns the messages in flight from or to a controller.
pub fn take_messages(cluster: &mut Cluster, node: usize) -> Vec<Work> {
    let is_of_node = |work: &Work| matches!(work, Work::Deliver { from, to, .. } if *from == node || *to == node);
    let (taken, rest) = cluster.work.drain(..).partition(is_of_node);
    cluster.work = rest;
    Vec::from_iter::<VecDeque<Work>>(taken)
}

/// Advances the time by `span` and performs all actions.
pub fn run_for(cluster: &mut Cluster, span: Span) {
    let end = cluster.now + span;
    run_until(cluster, span, |c| c.now >= end);
}

/// Advances the time until `done` holds, for `span` at most; returns whether it holds.
pub fn run_until(cluster: &mut Cluster, span: Span, done: impl Fn(&Cluster) -> bool) -> bool {
    let end = cluster.now + span;
    perform_unless(cluster, |_| false);
    while !done(cluster) {
        if cluster.now >= end {
            return false;
        }
        cluster.now += WAKE_INTERVAL;
        for node in 0..cluster.nodes.len() {
            if !cluster.nodes[node].paused {
                deliver_event(cluster, node, Event::Wake);
            }
        }
        perform_unless(cluster, |_| false);
    }
    true
}

/// Resumes a paused process: the deferred actions are performed now, operators' calls first.
pub fn resume(cluster: &mut Cluster, node: usize) {
    cluster.nodes[node].paused = false;
    let mut deferred = std::mem::take(&mut cluster.nodes[node].deferred);
    deferred.sort_by_key(|work| !matches!(work, Work::Call { .. }));
    cluster.work.extend(deferred);
    perform_unless(cluster, |_| false);
}

/// Returns the serving leader of the configuration's partition.
pub fn leader(cluster: &Cluster) -> Option<usize> {
    let term = |node: &usize| match &cluster.nodes[*node].core.as_ref()?.partitions[0].role {
        Role::Leader(leader) if leader.is_serving => Some(leader.term),
        _ => None,
    };
    let term = |node: &usize| term(node).filter(|_| !cluster.nodes[*node].paused);
    (0..cluster.nodes.len()).filter(|node| term(node).is_some()).max_by_key(|node| term(node))
}

/// Makes an operator's call at a controller and returns its number.
pub fn call(
    cluster: &mut Cluster,
    node: usize,
    request: &str,
    expect: Option<u64>,
    operation: Operation,
) -> u64 {
    let op = cluster.next_op;
    cluster.next_op += 1;
    let request = request.to_string();
    perform(cluster, Work::Call { node, op, request, expect, operation });
    op
}

/// Makes an operator's call and waits for the response; `None` if none arrives in 12 s.
pub fn call_and_wait(
    cluster: &mut Cluster,
    node: usize,
    request: &str,
    expect: Option<u64>,
    operation: Operation,
) -> Option<OperationResult> {
    let op = call(cluster, node, request, expect, operation);
    run_until(cluster, 12 * SECOND, |c| c.answered.contains_key(&op));
    cluster.answered.get(&op).cloned()
}

/// Reads the configuration through a controller.
pub fn read_configuration(cluster: &mut Cluster, node: usize) -> Option<Config> {
    match call_and_wait(cluster, node, "read", None, Operation::Read) {
        Some(OperationResult::Configuration { entries: map, .. }) => {
            Config::from_entries(&map).ok()
        }
        _ => None,
    }
}

/// Kills all controllers, with or without power loss, and starts them again.
pub fn restart_all(cluster: &mut Cluster, power_loss: bool) {
    let all = 0..cluster.nodes.len();
    all.clone().for_each(|node| kill(cluster, node, power_loss));
    cluster.work.clear();
    all.for_each(|node| start(cluster, node, false));
    assert!(run_until(cluster, 5 * SECOND, |c| leader(c).is_some()), "no leader");
}

/// Changes the configuration's partition on all controllers, on disk and in memory, which no
/// correct controller does.
pub fn tamper(cluster: &mut Cluster, with: impl Fn(&mut ReplicaState)) {
    for node in &mut cluster.nodes {
        if let Some(core) = &mut node.core {
            with(&mut core.partitions[0].state);
        }
        if let Some(copy) = node.disk.synced.get_mut(&CONFIG) {
            with(copy);
        }
    }
}

/// Returns the revision of the configuration on a controller's disk.
pub fn synced_revision(cluster: &Cluster, node: usize) -> u64 {
    cluster.nodes[node].disk.synced.get(&CONFIG).map_or(0, |copy| copy.revision)
}
