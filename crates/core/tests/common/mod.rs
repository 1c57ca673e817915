//! A cluster of one controller whose disk completes each write immediately.

#![allow(clippy::unwrap_used)]

use grebepath_core::command::Command;
use grebepath_core::config::types::Config;
use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::control_plane::step::WAKE_INTERVAL;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::storage::voter_file::{Start, begin};
use grebepath_core::time::{BOOT, Tick};

/// The controller, its clock, the number of the next operation, and the responses so far.
pub struct SingleController {
    core: ControllerState,
    now: Tick,
    ops: u64,
    done: Vec<(u64, OperationResult)>,
}

/// Returns a controller that is the leader of an empty configuration.
pub fn single_controller() -> SingleController {
    let addr = "127.0.0.1:1".to_string();
    let start = Start {
        slot: Some(0),
        is_first_start: true,
        seeds: vec![addr.clone()],
        size: 1,
        addr: addr.clone(),
    };
    let (voter_file, _) = begin(None, &start, true, 5);
    let core = ControllerState::new(voter_file, (&addr, "a"), Vec::new(), 7, BOOT);
    SingleController { core, now: BOOT, ops: 0, done: Vec::new() }
}

fn deliver_event(controller: &mut SingleController, event: Event) {
    let mut pending = vec![event];
    while !pending.is_empty() {
        for command in controller.core.step(controller.now, pending.remove(0)) {
            match command {
                Command::AppendRecord { partition, token, .. }
                | Command::WriteSnapshot { partition, token, .. } => {
                    pending.push(Event::Synced { partition, token });
                }
                Command::WriteVoterFile { token, .. } => {
                    pending.push(Event::VoterFileWritten { token })
                }
                Command::Respond { op, result: done } => controller.done.push((op, done)),
                _ => {}
            }
        }
    }
}

/// Submits requests to the controller at the same time, and returns their results in the same
/// order.
pub fn submit_all(
    controller: &mut SingleController,
    requests: Vec<(&str, Operation)>,
) -> Vec<OperationResult> {
    let first = controller.ops;
    let n = requests.len() as u64;
    for (request, operation) in requests {
        let (op, request) = (controller.ops, request.to_string());
        controller.ops += 1;
        deliver_event(
            controller,
            Event::Operate { op, request, expected_revision: None, operation },
        );
    }
    for _ in 0..1_000 {
        if controller.done.len() as u64 == n {
            break;
        }
        controller.now += WAKE_INTERVAL;
        deliver_event(controller, Event::Wake);
    }
    let mut done = std::mem::take(&mut controller.done);
    done.sort_by_key(|d| d.0);
    assert!(done.len() as u64 == n && done[0].0 == first, "each request has one outcome");
    done.into_iter().map(|d| d.1).collect()
}

/// Submits one request to the controller and waits for its result.
pub fn submit(
    controller: &mut SingleController,
    request: &str,
    operation: Operation,
) -> OperationResult {
    submit_all(controller, vec![(request, operation)]).remove(0)
}

/// Reads the configuration back from the leader.
#[allow(dead_code)]
pub fn read_configuration(controller: &mut SingleController) -> Config {
    match submit(controller, "read", Operation::Read) {
        OperationResult::Configuration { entries: map, .. } => Config::from_entries(&map).unwrap(),
        other => panic!("{other:?}"),
    }
}
