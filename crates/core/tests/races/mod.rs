//! Races of two configuration changes on a cluster of three controllers, with a fault at a
//! chosen stage of the write of the first change.

#![allow(dead_code, clippy::unwrap_used)]

pub mod cases;
pub mod checks;

use grebepath_core::control_plane::controller::Event;
use grebepath_core::control_plane::step::WAKE_INTERVAL;
use grebepath_core::digest::digest;
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::time::SECOND;
use serde_json::json;

use crate::cluster::{
    Cluster, Work, call, call_and_wait, cluster, deliver_event, kill, leader, perform_unless,
    restart_all, resume, run_for, run_until, start, synced_revision, take_messages, tamper,
};

/// An operator's change of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigChange {
    pub request: String,
    pub operation: Operation,
    /// A zone that only this change sets.
    pub zone: String,
}

/// Returns a change that is based on edition `base`, or on any edition if `base` is `None`.
pub fn config_change(
    is_replacement: bool,
    base: Option<u64>,
    edition: u64,
    zone: &str,
) -> ConfigChange {
    let mut change = json!({ "zones": [{ "name": zone, "state": "open" }] });
    if let Some(base) = base {
        change["terms"] = json!({ "after": base, "edition": edition });
    }
    if is_replacement {
        change["searches"] = json!([]);
        change["pools"] = json!([]);
    }
    let text = change.to_string();
    let request = digest(format!("{is_replacement} {text}").as_bytes());
    let text = text.into_bytes();
    let operation = if is_replacement { Operation::Replace(text) } else { Operation::Patch(text) };
    ConfigChange { request, operation, zone: zone.to_string() }
}

/// How far the write of a change gets before the fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// The request is on its way to the leader.
    Arrived,
    /// The leader has appended the change, and no disk has synced it.
    Appended,
    /// Only the leader has synced it.
    LeaderSynced,
    /// Only one follower has synced it.
    FollowerSynced,
    /// A majority has synced it, and the leader does not know.
    MajoritySynced,
    /// All have synced it, and the leader does not know.
    AllSynced,
    /// The change is committed, and the response is on its way.
    Committed,
    /// The operator has the response.
    Answered,
}

pub const STAGES: [Stage; 8] = [
    Stage::Arrived,
    Stage::Appended,
    Stage::LeaderSynced,
    Stage::FollowerSynced,
    Stage::MajoritySynced,
    Stage::AllSynced,
    Stage::Committed,
    Stage::Answered,
];

/// When messages that were in flight at the time of the fault are delivered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LateDelivery {
    Never,
    /// After another leader is elected, before the operators continue.
    AfterElection,
    /// After the operators have continued.
    AtEnd,
}

/// The fault that occurs when the write has reached its stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The operator does not receive the response.
    ResponseLost,
    /// The leader is killed, with or without a power loss, and restarted later.
    LeaderKilled { power_loss: bool, late: LateDelivery },
    /// The leader is partitioned from the others for a while.
    LeaderIsolated { late: LateDelivery },
    /// The leader's process is paused for a while.
    LeaderPaused,
    /// The controller that the operator contacted is killed.
    ContactedKilled,
    /// All controllers lose power at the same time.
    AllKilled,
}

/// Which operator's request is sent first after the fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResumeOrder {
    ResendFirst,
    RivalFirst,
    Concurrent,
}

/// A race: where the first change is sent, which fault occurs, and which operators continue at
/// which controllers.
#[derive(Clone, Debug)]
pub struct Race {
    /// Controllers as distances from the leader in the ring of controllers: the one that gets
    /// the first change, the one that gets it again, and the one that gets the rival.
    pub contacted: usize,
    pub resend_at: usize,
    pub rival_at: usize,
    pub stage: Stage,
    pub fault: Fault,
    pub resume_order: ResumeOrder,
    /// How far the rival's write gets before its leader is killed as well.
    pub rival_stage: Option<Stage>,
    pub first: ConfigChange,
    pub rival: ConfigChange,
    /// Deliberate fault: the memory of accepted requests is lost.
    pub loses_dedup_state: bool,
}

/// The numbers of the calls that carried each change.
#[derive(Default, Debug)]
pub struct History {
    pub first: Vec<u64>,
    pub rival: Vec<u64>,
}

/// The outcome of a race.
pub struct Outcome {
    pub violations: Vec<String>,
    pub first_accepted: bool,
    /// Whether another controller led after the fault.
    pub leader_changed: bool,
}

/// Runs a race and checks its properties.
pub fn run_race(race: &Race) -> Outcome {
    let mut c = cluster(3);
    let base = config_change(true, Some(0), 1, "base");
    let done = call_and_wait(&mut c, 0, &base.request, None, base.operation);
    assert!(matches!(done, Some(OperationResult::Accepted { .. })), "{done:?}");
    let old_leader = leader(&c).unwrap();
    let at = |distance: usize| (old_leader + distance) % 3;
    let mut history = History::default();
    history.first.push(send(&mut c, at(race.contacted), &race.first));
    hold_at(&mut c, race.stage, old_leader);
    check_stage(&c, race, old_leader);
    let late = inject_fault(&mut c, race, old_leader);
    if race.loses_dedup_state {
        tamper(&mut c, |copy| copy.entries.retain(|key, _| !key.starts_with("order/")));
    }
    resume_operators(&mut c, race, &mut history, (at, late));
    let leader_changed = leader(&c).is_some_and(|node| node != old_leader);
    restore_cluster(&mut c);
    resend_all(&mut c, race, &mut history);
    restart_all(&mut c, true);
    resend_all(&mut c, race, &mut history);
    let (violations, first_accepted) = checks::check_race(&mut c, race, &history);
    Outcome { violations, first_accepted, leader_changed }
}

/// Sends a change to a controller and returns the number of the call.
pub fn send(c: &mut Cluster, node: usize, change: &ConfigChange) -> u64 {
    call(c, node, &change.request, None, change.operation.clone())
}

/// Performs the write of a change up to a stage.
pub fn hold_at(c: &mut Cluster, stage: Stage, leader: usize) {
    let before = c.answered.len();
    perform_unless(c, |work| is_held(work, stage, leader));
    match stage {
        // The leader responds when it next checks which members have applied the change.
        Stage::Committed => {
            c.now += WAKE_INTERVAL;
            deliver_event(c, leader, Event::Wake);
            perform_unless(c, |work| is_held(work, stage, leader));
        }
        Stage::Answered => {
            run_until(c, SECOND, |c| c.answered.len() > before);
        }
        _ => {}
    }
}

/// Returns whether an action lies beyond a stage.
pub fn is_held(work: &Work, stage: Stage, leader: usize) -> bool {
    let follower = (leader + 1) % 3;
    let all = matches!(stage, Stage::AllSynced | Stage::Committed | Stage::Answered);
    let allowed = match work {
        Work::Deliver { message: Message::OperationRequest { .. }, .. } => stage != Stage::Arrived,
        Work::Deliver { message: Message::Append { .. }, to, .. } => {
            let one = matches!(stage, Stage::FollowerSynced | Stage::MajoritySynced);
            all || one && *to == follower
        }
        Work::Sync { node, .. } => match stage {
            Stage::LeaderSynced => *node == leader,
            Stage::FollowerSynced => *node == follower,
            Stage::MajoritySynced => *node == leader || *node == follower,
            _ => all,
        },
        Work::Deliver { message: Message::AppendAck { .. }, .. } => {
            matches!(stage, Stage::Committed | Stage::Answered)
        }
        _ => stage == Stage::Answered,
    };
    !allowed
}

/// Checks that a stage is reached: which disks have the first change, and whether the leader
/// knows that it is committed.
pub fn check_stage(c: &Cluster, race: &Race, leader: usize) {
    let on_disk = |distance: usize| synced_revision(c, (leader + distance) % 3) == 2;
    let want = match race.stage {
        Stage::Arrived | Stage::Appended => [false; 3],
        Stage::LeaderSynced => [true, false, false],
        Stage::FollowerSynced => [false, true, false],
        Stage::MajoritySynced => [true, true, false],
        Stage::AllSynced | Stage::Committed | Stage::Answered => [true; 3],
    };
    assert_eq!([0, 1, 2].map(on_disk), want, "{race:?}");
    let knows = c.nodes[leader]
        .core
        .as_ref()
        .is_some_and(|core| core.partitions[0].committed_revision == 2);
    assert_eq!(knows, matches!(race.stage, Stage::Committed | Stage::Answered), "{race:?}");
    // A response of the leader to its own caller can't be held back.
    let answered =
        race.stage == Stage::Answered || race.stage == Stage::Committed && race.contacted == 0;
    assert_eq!(c.answered.len() > 1, answered, "{race:?}");
}

/// Injects the fault and returns the messages that may be delivered late.
pub fn inject_fault(c: &mut Cluster, race: &Race, leader: usize) -> Vec<Work> {
    match race.fault {
        Fault::ResponseLost => Vec::new(),
        Fault::LeaderKilled { power_loss, .. } => {
            let messages = take_messages(c, leader);
            kill(c, leader, power_loss);
            messages
        }
        Fault::LeaderIsolated { .. } => {
            c.nodes[leader].isolated = true;
            take_messages(c, leader)
        }
        Fault::LeaderPaused => {
            c.nodes[leader].paused = true;
            Vec::new()
        }
        Fault::ContactedKilled => {
            kill(c, (leader + race.contacted) % 3, true);
            Vec::new()
        }
        Fault::AllKilled => {
            restart_all(c, true);
            Vec::new()
        }
    }
}

/// Lets the operators continue: one sends the first change again, the other sends the rival.
pub fn resume_operators(
    c: &mut Cluster,
    race: &Race,
    history: &mut History,
    (at, late): (impl Fn(usize) -> usize, Vec<Work>),
) {
    let (resend_at, rival_at) = (at(race.resend_at), at(race.rival_at));
    let late_delivery = match race.fault {
        Fault::LeaderKilled { late, .. } | Fault::LeaderIsolated { late } => late,
        _ => LateDelivery::Never,
    };
    let has_leader = |c: &Cluster| leader(c).is_some_and(|node| !c.nodes[node].isolated);
    if race.resume_order != ResumeOrder::RivalFirst {
        history.first.push(send(c, resend_at, &race.first));
    }
    if race.resume_order != ResumeOrder::Concurrent {
        run_until(c, 5 * SECOND, has_leader);
    }
    if late_delivery == LateDelivery::AfterElection {
        // The old leader's messages reach the others, and theirs reach the old leader.
        let isolated_nodes: Vec<bool> = c.nodes.iter().map(|node| node.isolated).collect();
        c.nodes.iter_mut().for_each(|node| node.isolated = false);
        c.work.extend(late.clone());
        perform_unless(c, |_| false);
        c.nodes
            .iter_mut()
            .zip(isolated_nodes)
            .for_each(|(node, isolated)| node.isolated = isolated);
    }
    history.rival.push(send(c, rival_at, &race.rival));
    if let (Some(stage), Some(leader)) = (race.rival_stage, leader(c)) {
        hold_at(c, stage, leader);
        start_all(c);
        take_messages(c, leader);
        kill(c, leader, true);
    }
    if race.resume_order == ResumeOrder::RivalFirst {
        run_for(c, SECOND);
        history.first.push(send(c, resend_at, &race.first));
    }
    run_for(c, 3 * SECOND);
    if late_delivery == LateDelivery::AtEnd {
        c.work.extend(late);
    }
}

/// Restarts and reconnects all controllers, and runs until no operator waits for a response.
pub fn restore_cluster(c: &mut Cluster) {
    c.nodes.iter_mut().for_each(|node| node.isolated = false);
    (0..3).for_each(|node| resume(c, node));
    start_all(c);
    run_for(c, 10 * SECOND);
}

/// Starts the controllers that are down.
pub fn start_all(c: &mut Cluster) {
    for node in 0..3 {
        if c.nodes[node].core.is_none() {
            start(c, node, false);
        }
    }
}

/// Sends both changes again and waits for a response to each.
pub fn resend_all(c: &mut Cluster, race: &Race, history: &mut History) {
    for (node, change, calls) in [
        (race.contacted, &race.first, &mut history.first),
        (race.resend_at, &race.rival, &mut history.rival),
    ] {
        let op = send(c, node, change);
        assert!(
            run_until(c, 12 * SECOND, |c| c.answered.contains_key(&op)),
            "no response within 12 s"
        );
        calls.push(op);
    }
}
