//! A core of one seat with a disk that does at once what it is asked.

#![allow(clippy::unwrap_used)]

use grebepath_core::command::Command;
use grebepath_core::config::types::Config;
use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::control_plane::step::WAKE;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::storage::voter_file::{Start, begin};
use grebepath_core::time::{BOOT, Tick};

/// The seat, its clock and its operators' numbers.
pub struct SingleController {
    core: ControllerState,
    now: Tick,
    ops: u64,
    done: Vec<(u64, OperationResult)>,
}

/// A seat that owns the configuration, which is empty.
pub fn single_controller() -> SingleController {
    let addr = "127.0.0.1:1".to_string();
    let start = Start {
        slot: Some(0),
        first: true,
        seeds: vec![addr.clone()],
        size: 1,
        addr: addr.clone(),
    };
    let (roll, _) = begin(None, &start, true, 5);
    let core = ControllerState::new(roll, (&addr, "a"), Vec::new(), 7, BOOT);
    SingleController { core, now: BOOT, ops: 0, done: Vec::new() }
}

fn feed(o: &mut SingleController, event: Event) {
    let mut line = vec![event];
    while !line.is_empty() {
        for command in o.core.step(o.now, line.remove(0)) {
            match command {
                Command::AppendRecord { partition, token, .. }
                | Command::WriteSnapshot { partition, token, .. } => {
                    line.push(Event::Synced { partition, token });
                }
                Command::WriteVoterFile { token, .. } => {
                    line.push(Event::VoterFileWritten { token })
                }
                Command::Respond { op, done } => o.done.push((op, done)),
                _ => {}
            }
        }
    }
}

/// Gives requests to the seat at one moment; their outcomes, in this order.
pub fn submit_all(o: &mut SingleController, asks: Vec<(&str, Operation)>) -> Vec<OperationResult> {
    let first = o.ops;
    let n = asks.len() as u64;
    for (request, operation) in asks {
        let (op, request) = (o.ops, request.to_string());
        o.ops += 1;
        feed(o, Event::Operate { op, request, expected_revision: None, operation });
    }
    for _ in 0..1_000 {
        if o.done.len() as u64 == n {
            break;
        }
        o.now += WAKE;
        feed(o, Event::Wake);
    }
    let mut done = std::mem::take(&mut o.done);
    done.sort_by_key(|d| d.0);
    assert!(done.len() as u64 == n && done[0].0 == first, "each request has one outcome");
    done.into_iter().map(|d| d.1).collect()
}

/// Gives one request to the seat and waits for its outcome.
pub fn submit(o: &mut SingleController, request: &str, operation: Operation) -> OperationResult {
    submit_all(o, vec![(request, operation)]).remove(0)
}

/// The configuration as the owner reads it back.
#[allow(dead_code)]
pub fn read_configuration(o: &mut SingleController) -> Config {
    match submit(o, "read", Operation::Read) {
        OperationResult::Configuration { entries: map, .. } => Config::from_entries(&map).unwrap(),
        other => panic!("{other:?}"),
    }
}
