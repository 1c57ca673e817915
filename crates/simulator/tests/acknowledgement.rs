//! While most queriers are lost, for whatever reason, an operator request is acknowledged within
//! half of the guaranteed time, and no lost querier serves with an old configuration for longer
//! than allowed.

#![allow(clippy::unwrap_used)]

mod common;

use grebepath_core::protocol::operation::OperationResult;
use grebepath_core::time::{MILLI, SECOND, Span, ms};
use grebepath_simulator::net::Node;
use grebepath_simulator::world::{FollowUp, OperatorRequest, World};

/// Half of the guaranteed time to an acknowledgement.
const ACKNOWLEDGED_WITHIN: Span = ms(2_500);
/// Maximum time between the acknowledgement of a change and its application by every querier.
const IN_FORCE_WITHIN: Span = ms(3_000);
/// Duration of the fault.
const FAULT_DURATION: Span = 8 * SECOND;

/// How the queriers are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// Processes are killed and restart when the fault ends.
    Killed,
    /// Each is isolated from all other nodes.
    Isolated,
    /// They are partitioned from the rest, but still reach each other.
    PartitionedTogether,
    /// Processes are paused and then resume.
    Paused,
    /// All restart at the same time.
    Restarted,
    /// Zones are partitioned from the rest, one after the other, until the share is reached.
    ZoneLost,
}

const LOSSES: [Loss; 6] = [
    Loss::Killed,
    Loss::Isolated,
    Loss::PartitionedTogether,
    Loss::Paused,
    Loss::Restarted,
    Loss::ZoneLost,
];

/// When the request is sent, relative to the loss (ms).
const ORDERS: [i64; 4] = [-8, -3, 20, 700];

/// Starts an idle cluster whose callers also call queriers that are not ready.
fn cluster(queriers: usize, seed: u64) -> World {
    let s = common::cluster("acknowledgement", queriers, 0.05);
    let mut world = World::new(&s.spec, s.control_plane.clone(), s.queriers, seed);
    world.submit(ms(200), OperatorRequest::replace(&s.config));
    let up = world.until(30 * SECOND, |world| {
        world.settled() && world.operator_requests.first().is_some_and(|o| o.result.is_some())
    });
    assert!(up, "the cluster of {queriers} did not start up");
    world.run(2 * SECOND);
    world.ignore_readiness = true;
    world.start_calls(s.factor);
    world.run(500 * MILLI);
    world
}

/// Returns the queriers that are lost: `percent` of them, but at least one is left.
fn lost_queriers(queriers: usize, percent: usize, loss: Loss) -> Vec<usize> {
    let count = (queriers * percent).div_ceil(100).min(queriers - 1);
    let mut request: Vec<usize> = (0..queriers).collect();
    if loss == Loss::ZoneLost {
        request.sort_by_key(|q| (q % 3, *q));
    }
    request.truncate(count);
    request
}

fn apply_loss(world: &mut World, loss: Loss, list: &[usize]) {
    match loss {
        Loss::Killed | Loss::Restarted => {
            let down = if loss == Loss::Killed { FAULT_DURATION } else { 600 * MILLI };
            for q in list {
                world.kill_querier(*q);
                world.later(down, FollowUp::StartQuerier(*q));
            }
        }
        Loss::Paused => {
            for q in list {
                world.queriers[*q].paused = world.now + FAULT_DURATION;
            }
        }
        Loss::Isolated | Loss::PartitionedTogether | Loss::ZoneLost => {
            let together = loss != Loss::Isolated;
            let controllers = (0..world.controllers.len() as u8).map(Node::Controller);
            let all: Vec<Node> =
                controllers.chain((0..world.queriers.len()).map(Node::Querier)).collect();
            for q in list {
                for other in &all {
                    let with = matches!(other, Node::Querier(o) if list.contains(o));
                    if !(together && with) {
                        world.net.partition(Node::Querier(*q), *other);
                    }
                }
            }
        }
    }
}

/// Runs one case and returns an error that lists the failures.
fn run_case(
    queriers: usize,
    loss: Loss,
    percent: usize,
    after: i64,
    seed: u64,
) -> Result<(), String> {
    let mut world = cluster(queriers, seed);
    let list = lost_queriers(queriers, percent, loss);
    let n = world.operator_requests.len();
    let from = world.now + 100 * MILLI;
    let late = |span: i64| if span > 0 { ms(span as u64) } else { 0 };
    world.submit(100 * MILLI + late(after), OperatorRequest::marked(n));
    world.run(100 * MILLI + late(-after));
    apply_loss(&mut world, loss, &list);
    // Further requests, so that one is pending at any time.
    for k in 1..4 {
        let n = world.operator_requests.len();
        world.submit(ms(400 * k), OperatorRequest::marked(n));
    }
    let began = world.now.max(from);
    world.run(FAULT_DURATION + 4 * SECOND);
    world.net.blocked.clear();
    world.run(6 * SECOND);
    let mut wrong = Vec::new();
    for (id, request) in world.operator_requests.iter().enumerate().skip(n) {
        let acknowledged = world.acknowledged_at.get(&id).copied();
        let waited = acknowledged.map(|at| at.saturating_sub(request.at.max(began)));
        match (&request.result, waited) {
            (Some(OperationResult::Accepted { .. }), Some(waited))
                if waited <= ACKNOWLEDGED_WITHIN => {}
            (done, waited) => wrong.push(format!(
                "request {} after {:?} ms: {done:?}",
                id - n,
                waited.map(|span| span / MILLI)
            )),
        }
    }
    let staleness = world.rules.longest_staleness;
    if staleness > IN_FORCE_WITHIN {
        wrong.push(format!("an old configuration was used for {} ms", staleness / MILLI));
    }
    wrong.extend(world.rules.violations.iter().map(|v| v.text.clone()));
    let case = format!("{queriers} queriers, {percent}% {loss:?}, request at {after} ms");
    if wrong.is_empty() { Ok(()) } else { Err(format!("{case}: {}", wrong.join("; "))) }
}

/// Runs all cases of a cluster size on several threads.
fn run_size(queriers: usize, orders: &[i64]) {
    let mut cases = Vec::new();
    for loss in LOSSES {
        for percent in [60, 80, 95] {
            for after in orders {
                cases.push((loss, percent, *after));
            }
        }
    }
    let total = cases.len();
    let cases = std::sync::Mutex::new(cases);
    let wrong = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                loop {
                    let Some((loss, percent, after)) = cases.lock().unwrap().pop() else { return };
                    if let Err(text) = run_case(queriers, loss, percent, after, 11) {
                        wrong.lock().unwrap().push(text);
                    }
                }
            });
        }
    });
    let wrong = wrong.into_inner().unwrap();
    assert!(wrong.is_empty(), "{} of {total} cases:\n{}", wrong.len(), wrong.join("\n"));
}

#[test]
fn losing_most_of_six_queriers_delays_no_request() {
    run_size(6, &ORDERS);
}

#[test]
fn losing_most_of_seven_queriers_delays_no_request() {
    run_size(7, &ORDERS);
}

#[test]
fn losing_most_of_thirty_queriers_delays_no_request() {
    run_size(30, &ORDERS[1..3]);
}

#[test]
fn losing_most_of_seventy_queriers_delays_no_request() {
    run_size(70, &ORDERS[2..3]);
}
