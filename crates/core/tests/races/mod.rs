//! Races of two orders through three controllers, with a fault at a chosen step
//! of the write: what is played, and how.

#![allow(dead_code, clippy::unwrap_used)]

pub mod judge;
pub mod list;

use grebepath_core::control_plane::controller::Event;
use grebepath_core::control_plane::step::WAKE_INTERVAL;
use grebepath_core::digest::digest;
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::time::SECOND;
use serde_json::json;

use crate::cluster::{
    Cluster, Work, answer, call, cluster, give, kill, leader, pass, pass_until, pump, restart_all,
    start, synced_revision, take_messages, tamper, thaw,
};

/// An operator's order as the users' platform names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub request: String,
    pub operation: Operation,
    /// A zone that only this order sets.
    pub mark: String,
}

/// An order on edition `base`; without one it builds on whatever stands.
pub fn order(whole: bool, base: Option<u64>, edition: u64, mark: &str) -> Order {
    let mut change = json!({ "zones": [{ "name": mark, "state": "open" }] });
    if let Some(base) = base {
        change["terms"] = json!({ "after": base, "edition": edition });
    }
    if whole {
        change["searches"] = json!([]);
        change["pools"] = json!([]);
    }
    let text = change.to_string();
    let request = digest(format!("{whole} {text}").as_bytes());
    let text = text.into_bytes();
    let operation = if whole { Operation::Replace(text) } else { Operation::Patch(text) };
    Order { request, operation, mark: mark.to_string() }
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
pub enum Late {
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
    AnswerLost,
    /// The leader ends, with power or without, and is back later.
    LeaderKilled { power: bool, late: Late },
    /// The leader hears nobody for a while.
    LeaderCut { late: Late },
    /// The leader's process is stopped for a while.
    LeaderFrozen,
    /// The controller that the operator called ends.
    CalledKilled,
    /// All lose power at once.
    AllKilled,
}

/// Who comes first after the fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    ResendFirst,
    RivalFirst,
    Together,
}

/// A race: where the first order is sent, what happens, and who goes on where.
#[derive(Clone, Debug)]
pub struct Race {
    /// Distances from the leader, in the ring of controllers.
    pub called: usize,
    pub resend_at: usize,
    pub rival_at: usize,
    pub stage: Stage,
    pub fault: Fault,
    pub next: Next,
    /// How far the rival's write gets before its leader is killed, too.
    pub rival_stage: Option<Stage>,
    pub first: Order,
    pub rival: Order,
    /// The memory of orders is lost, on purpose.
    pub forgets: bool,
}

/// The calls that carried each order.
#[derive(Default, Debug)]
pub struct History {
    pub first: Vec<u64>,
    pub rival: Vec<u64>,
}

/// How a race ended.
pub struct Outcome {
    pub wrong: Vec<String>,
    pub first_accepted: bool,
    /// Another controller led after the fault.
    pub leader_changed: bool,
}

pub fn play(race: &Race) -> Outcome {
    let mut c = cluster(3);
    let base = order(true, Some(0), 1, "base");
    let done = answer(&mut c, 0, &base.request, None, base.operation);
    assert!(matches!(done, Some(OperationResult::Accepted { .. })), "{done:?}");
    let old_leader = leader(&c).unwrap();
    let at = |distance: usize| (old_leader + distance) % 3;
    let mut history = History::default();
    history.first.push(send(&mut c, at(race.called), &race.first));
    hold_at(&mut c, race.stage, old_leader);
    check_stage(&c, race, old_leader);
    let late = strike(&mut c, race, old_leader);
    if race.forgets {
        tamper(&mut c, |copy| copy.entries.retain(|key, _| !key.starts_with("order/")));
    }
    go_on(&mut c, race, &mut history, (at, late));
    let leader_changed = leader(&c).is_some_and(|node| node != old_leader);
    calm(&mut c);
    resend_all(&mut c, race, &mut history);
    restart_all(&mut c, true);
    resend_all(&mut c, race, &mut history);
    let (wrong, first_accepted) = judge::judge(&mut c, race, &history);
    Outcome { wrong, first_accepted, leader_changed }
}

pub fn send(c: &mut Cluster, node: usize, order: &Order) -> u64 {
    call(c, node, &order.request, None, order.operation.clone())
}

/// Does the work of an order up to a stage.
pub fn hold_at(c: &mut Cluster, stage: Stage, leader: usize) {
    let before = c.told.len();
    pump(c, |work| is_held(work, stage, leader));
    match stage {
        // The leader tells the outcome when it next looks who obeys.
        Stage::Committed => {
            c.now += WAKE_INTERVAL;
            give(c, leader, Event::Wake);
            pump(c, |work| is_held(work, stage, leader));
        }
        Stage::Answered => {
            pass_until(c, SECOND, |c| c.told.len() > before);
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
    let told = race.stage == Stage::Answered || race.stage == Stage::Committed && race.called == 0;
    assert_eq!(c.told.len() > 1, told, "{race:?}");
}

/// The fault strikes; gives the messages that come late.
pub fn strike(c: &mut Cluster, race: &Race, leader: usize) -> Vec<Work> {
    match race.fault {
        Fault::AnswerLost => Vec::new(),
        Fault::LeaderKilled { power, .. } => {
            let messages = take_messages(c, leader);
            kill(c, leader, power);
            messages
        }
        Fault::LeaderCut { .. } => {
            c.nodes[leader].cut = true;
            take_messages(c, leader)
        }
        Fault::LeaderFrozen => {
            c.nodes[leader].frozen = true;
            Vec::new()
        }
        Fault::CalledKilled => {
            kill(c, (leader + race.called) % 3, true);
            Vec::new()
        }
        Fault::AllKilled => {
            restart_all(c, true);
            Vec::new()
        }
    }
}

/// The operators go on: one sends the first order again, one sends a rival.
pub fn go_on(
    c: &mut Cluster,
    race: &Race,
    history: &mut History,
    (at, late): (impl Fn(usize) -> usize, Vec<Work>),
) {
    let (resend_at, rival_at) = (at(race.resend_at), at(race.rival_at));
    let when = match race.fault {
        Fault::LeaderKilled { late, .. } | Fault::LeaderCut { late } => late,
        _ => Late::Never,
    };
    let led = |c: &Cluster| leader(c).is_some_and(|node| !c.nodes[node].cut);
    if race.next != Next::RivalFirst {
        history.first.push(send(c, resend_at, &race.first));
    }
    if race.next != Next::Together {
        pass_until(c, 5 * SECOND, led);
    }
    if when == Late::AfterElection {
        // The old leader's word reaches the others, and theirs reaches it.
        let cuts: Vec<bool> = c.nodes.iter().map(|node| node.cut).collect();
        c.nodes.iter_mut().for_each(|node| node.cut = false);
        c.work.extend(late.clone());
        pump(c, |_| false);
        c.nodes.iter_mut().zip(cuts).for_each(|(node, cut)| node.cut = cut);
    }
    history.rival.push(send(c, rival_at, &race.rival));
    if let (Some(stage), Some(leader)) = (race.rival_stage, leader(c)) {
        hold_at(c, stage, leader);
        start_all(c);
        take_messages(c, leader);
        kill(c, leader, true);
    }
    if race.next == Next::RivalFirst {
        pass(c, SECOND);
        history.first.push(send(c, resend_at, &race.first));
    }
    pass(c, 3 * SECOND);
    if when == Late::AtEnd {
        c.work.extend(late);
    }
}

/// All are back and hear each other, until nobody waits for an answer.
pub fn calm(c: &mut Cluster) {
    c.nodes.iter_mut().for_each(|node| node.cut = false);
    (0..3).for_each(|node| thaw(c, node));
    start_all(c);
    pass(c, 10 * SECOND);
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
    for (node, order, calls) in [
        (race.called, &race.first, &mut history.first),
        (race.resend_at, &race.rival, &mut history.rival),
    ] {
        let op = send(c, node, order);
        assert!(pass_until(c, 12 * SECOND, |c| c.told.contains_key(&op)), "no answer");
        calls.push(op);
    }
}
