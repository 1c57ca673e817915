//! Races of two orders through three controllers, with a fault at a chosen step
//! of the write: what is played, and how.

#![allow(dead_code, clippy::unwrap_used)]

pub mod cases;
pub mod checks;

use grebepath_core::control_plane::controller::Event;
use grebepath_core::control_plane::step::WAKE;
use grebepath_core::digest::digest;
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::time::SECOND;
use serde_json::json;

use crate::cluster::{
    Cluster, Work, call, call_and_wait, cluster, deliver_event, kill, leader, perform_unless,
    restart_all, resume, run_for, run_until, start, synced_revision, take_messages, tamper,
};

/// An operator's order as the users' platform names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigChange {
    pub request: String,
    pub operation: Operation,
    /// A zone that only this order sets.
    pub zone: String,
}

/// An order on edition `base`; without one it builds on whatever stands.
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

/// How far the write of an order gets before the fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// It is on its way to the leader.
    Arrived,
    /// The leader has it, and nothing is synced.
    Appended,
    LeaderSynced,
    /// One follower alone has it on disk.
    FollowerSynced,
    /// A majority has it on disk, and the leader does not know.
    MajoritySynced,
    AllSynced,
    /// The answer is on its way.
    Committed,
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

/// When messages that were under way at the fault come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LateDelivery {
    Never,
    /// Once another leads, before the operators go on.
    AfterElection,
    /// After the operators went on.
    AtEnd,
}

/// What happens then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing but that the operator does not hear the answer.
    ResponseLost,
    /// The leader ends, with power or without, and is back later.
    LeaderKilled { power_loss: bool, late: LateDelivery },
    /// The leader hears nobody for a while.
    LeaderIsolated { late: LateDelivery },
    /// The leader's process is stopped for a while.
    LeaderPaused,
    /// The controller that the operator called ends.
    ContactedKilled,
    /// All lose power at once.
    AllKilled,
}

/// Who comes first after the fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResumeOrder {
    ResendFirst,
    RivalFirst,
    Concurrent,
}

/// A race: where the first order is sent, what happens, and who goes on where.
#[derive(Clone, Debug)]
pub struct Race {
    /// Distances from the leader, in the ring of controllers.
    pub contacted: usize,
    pub resend_at: usize,
    pub rival_at: usize,
    pub stage: Stage,
    pub fault: Fault,
    pub resume_order: ResumeOrder,
    /// How far the rival's write gets before its leader is killed, too.
    pub rival_stage: Option<Stage>,
    pub first: ConfigChange,
    pub rival: ConfigChange,
    /// The memory of orders is lost, on purpose.
    pub loses_dedup_state: bool,
}

/// The calls that carried each order.
#[derive(Default, Debug)]
pub struct History {
    pub first: Vec<u64>,
    pub rival: Vec<u64>,
}

/// How a race ended.
pub struct Outcome {
    pub violations: Vec<String>,
    pub first_accepted: bool,
    /// Another controller led after the fault.
    pub leader_changed: bool,
}

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
    let (violations, first_accepted) = checks::checks(&mut c, race, &history);
    Outcome { violations, first_accepted, leader_changed }
}

pub fn send(c: &mut Cluster, node: usize, config_change: &ConfigChange) -> u64 {
    call(c, node, &config_change.request, None, config_change.operation.clone())
}

/// Does the work of an order up to a stage.
pub fn hold_at(c: &mut Cluster, stage: Stage, leader: usize) {
    let before = c.answered.len();
    perform_unless(c, |work| is_held(work, stage, leader));
    match stage {
        // The leader tells the outcome when it next looks who obeys.
        Stage::Committed => {
            c.now += WAKE;
            deliver_event(c, leader, Event::Wake);
            perform_unless(c, |work| is_held(work, stage, leader));
        }
        Stage::Answered => {
            run_until(c, SECOND, |c| c.answered.len() > before);
        }
        _ => {}
    }
}

/// Whether a piece of work lies beyond a stage.
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

/// The stage is what it says: who has the first order on disk, and who knows.
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
    // An answer at the leader itself can't be held.
    let answered =
        race.stage == Stage::Answered || race.stage == Stage::Committed && race.contacted == 0;
    assert_eq!(c.answered.len() > 1, answered, "{race:?}");
}

/// The fault strikes; gives the messages that come late.
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

/// The operators go on: one sends the first order again, one sends a rival.
pub fn resume_operators(
    c: &mut Cluster,
    race: &Race,
    history: &mut History,
    (at, late): (impl Fn(usize) -> usize, Vec<Work>),
) {
    let (resend_at, rival_at) = (at(race.resend_at), at(race.rival_at));
    let when = match race.fault {
        Fault::LeaderKilled { late, .. } | Fault::LeaderIsolated { late } => late,
        _ => LateDelivery::Never,
    };
    let led = |c: &Cluster| leader(c).is_some_and(|node| !c.nodes[node].isolated);
    if race.resume_order != ResumeOrder::RivalFirst {
        history.first.push(send(c, resend_at, &race.first));
    }
    if race.resume_order != ResumeOrder::Concurrent {
        run_until(c, 5 * SECOND, led);
    }
    if when == LateDelivery::AfterElection {
        // The old leader's word reaches the others, and theirs reaches it.
        let cuts: Vec<bool> = c.nodes.iter().map(|node| node.isolated).collect();
        c.nodes.iter_mut().for_each(|node| node.isolated = false);
        c.work.extend(late.clone());
        perform_unless(c, |_| false);
        c.nodes.iter_mut().zip(cuts).for_each(|(node, isolated)| node.isolated = isolated);
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
    if when == LateDelivery::AtEnd {
        c.work.extend(late);
    }
}

/// All are back and hear each other, until nobody waits for an answer.
pub fn restore_cluster(c: &mut Cluster) {
    c.nodes.iter_mut().for_each(|node| node.isolated = false);
    (0..3).for_each(|node| resume(c, node));
    start_all(c);
    run_for(c, 10 * SECOND);
}

pub fn start_all(c: &mut Cluster) {
    for node in 0..3 {
        if c.nodes[node].core.is_none() {
            start(c, node, false);
        }
    }
}

/// Both orders are sent again, and each gets an answer.
pub fn resend_all(c: &mut Cluster, race: &Race, history: &mut History) {
    for (node, config_change, calls) in [
        (race.contacted, &race.first, &mut history.first),
        (race.resend_at, &race.rival, &mut history.rival),
    ] {
        let op = send(c, node, config_change);
        assert!(run_until(c, 12 * SECOND, |c| c.answered.contains_key(&op)), "no answer");
        calls.push(op);
    }
}
