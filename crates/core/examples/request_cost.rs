//! Measures the cost of an operator request on the leader: processor time, bytes of the log and of
//! the message to each replica, and the size of a snapshot.
//!
//!     cargo run --release -p grebe --example request_cost -- ROUTES REQUESTS
//!
//! One controller, whose disk takes no time, sets a configuration of ROUTES searches, accepts
//! REQUESTS requests that change one zone each, and prints the mean of each tenth of them.

use std::time::{Duration, Instant};

use grebepath_core::command::Command;
use grebepath_core::control_plane::controller::{ControllerState, Event};
use grebepath_core::control_plane::request_dedup;
use grebepath_core::control_plane::request_dedup::LookupResult;
use grebepath_core::control_plane::step::WAKE_INTERVAL;
use grebepath_core::protocol::message::Message;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::protocol::replica::EntryMap;
use grebepath_core::storage::voter_file::{Start, begin};
use grebepath_core::storage::writer;
use grebepath_core::time::{BOOT, Tick};
use nanoserde::SerBin;
use serde_json::{Value, json};

/// A controller and the cost of the requests since the last reset.
struct Controller {
    core: ControllerState,
    now: Tick,
    next_op: u64,
    accepted: u64,
    cost: Cost,
}

#[derive(Default)]
struct Cost {
    processor: Duration,
    log_bytes: usize,
    message_bytes: usize,
    slot_bytes: usize,
    slots: usize,
}

fn main() {
    let mut numbers = std::env::args().skip(1).map(|a| a.parse::<u64>().expect("a whole number"));
    let routes = numbers.next().unwrap_or(350);
    let requests = numbers.next().unwrap_or(20_000);
    let mut controller = controller();
    while controller.core.partitions[0].committed_revision == 0
        && controller.now < BOOT + 10_000_000
    {
        wake(&mut controller);
        if controller.next_op == 0 {
            send_request(&mut controller, "first", Operation::Replace(initial_config(routes)));
        }
    }
    println!(
        "{:>14} {:>9} {:>8} {:>9} {:>7} {:>11}",
        "orders", "us/order", "log B", "wire B", "slots", "snapshot B"
    );
    let tenth = requests.div_ceil(10);
    for begin in (0..requests).step_by(tenth as usize) {
        controller.cost = Cost::default();
        let end = (begin + tenth).min(requests);
        for number in begin..end {
            let change = json!({ "zones": [{ "name": "z", "state": "open" }],
                "terms": { "after": number + 1, "edition": number + 2 } });
            let operation = Operation::Patch(change.to_string().into_bytes());
            let request = grebepath_core::digest::digest(&number.to_le_bytes());
            send_request(&mut controller, &request, operation);
        }
        print(&controller, begin, end);
    }
    measure_dedup_table(&controller.core.partitions[0].state.entries, requests);
}

/// Measures the time of the deduplication table for each request, on a full map.
fn measure_dedup_table(map: &EntryMap, requests: u64) {
    const ROUNDS: u64 = 20_000;
    let begin = Instant::now();
    let mut entries = 0;
    for number in 0..ROUNDS {
        let request = grebepath_core::digest::digest(&(number * 7_919 % requests).to_le_bytes());
        let fingerprint = request_dedup::fingerprint(&request, false, &[]);
        let known = request_dedup::lookup(map, &request, &fingerprint);
        assert_ne!(known, LookupResult::Accepted { revision: 0 });
        let revision = requests + 2 + number % 4_096;
        entries += request_dedup::insert(map, &fingerprint, revision, revision).len();
    }
    let each = begin.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
    println!("deduplication table: {each:.2} us/request to look up and insert ({entries} entries)");
}

fn print(controller: &Controller, begin: u64, end: u64) {
    let (cost, count) = (&controller.cost, end - begin);
    let copy = &controller.core.partitions[0].state;
    println!(
        "{:>6}..{:<6} {:>9.1} {:>8.1} {:>9.1} {:>7} {:>11}",
        begin,
        end,
        cost.processor.as_secs_f64() * 1e6 / count as f64,
        cost.log_bytes as f64 / count as f64,
        cost.message_bytes as f64 / count as f64,
        cost.slots,
        writer::slot(0, 1, copy).len(),
    );
    assert_eq!(controller.accepted, end + 1, "every request is accepted");
}

fn controller() -> Controller {
    let addr = "127.0.0.1:1".to_string();
    let seeds = vec![addr.clone()];
    let start = Start { slot: Some(0), is_first_start: true, seeds, size: 1, addr: addr.clone() };
    let (roll, _) = begin(None, &start, true, 5);
    let core = ControllerState::new(roll, (&addr, "a"), Vec::new(), 7, BOOT);
    Controller { core, now: BOOT, next_op: 0, accepted: 0, cost: Cost::default() }
}

fn initial_config(routes: u64) -> Vec<u8> {
    let pools: Vec<Value> = (0..routes.div_ceil(10))
        .map(|n| {
            json!({ "name": format!("p{n}"), "service": format!("p{n}"),
            "labels": { "pool": format!("p{n}") } })
        })
        .collect();
    let searches: Vec<Value> = (0..routes)
        .map(|n| {
            json!({ "name": format!("route-{n}"), "host": format!("h{}.example", n % 20),
                "path": format!("/path-{n}/"), "form": "pass", "promise_ms": 2500,
                "target_ms": 150, "attempts": 2, "needs": [format!("p{}", n / 10)],
                "origin": "x".repeat(200),
                "plan": format!("from pool = \"p{}\" by pool; send wide", n / 10) })
        })
        .collect();
    json!({ "searches": searches, "pools": pools, "terms": { "after": 0, "edition": 1 } })
        .to_string()
        .into_bytes()
}

/// Sends a request and waits until it is accepted.
fn send_request(controller: &mut Controller, request: &str, operation: Operation) {
    let op = controller.next_op;
    controller.next_op += 1;
    let request = request.to_string();
    handle_event(controller, Event::Operate { op, request, expected_revision: None, operation });
    while controller.accepted <= op {
        wake(controller);
    }
}

fn wake(controller: &mut Controller) {
    controller.now += WAKE_INTERVAL;
    handle_event(controller, Event::Wake);
}

/// Processes an event; its disk writes complete at once.
fn handle_event(controller: &mut Controller, event: Event) {
    let mut queue = vec![event];
    while let Some(event) = queue.pop() {
        let begin = Instant::now();
        let commands = controller.core.step(controller.now, event);
        controller.cost.processor += begin.elapsed();
        for command in commands {
            match command {
                Command::AppendRecord { partition, token, record: rec } => {
                    controller.cost.log_bytes += writer::record(1, 1, &rec).len();
                    if let grebepath_core::storage::record::LogRecord::Change {
                        term,
                        revision,
                        entries,
                    } = rec
                    {
                        let change = Message::Append { partition, term, revision, entries };
                        controller.cost.message_bytes += change.serialize_bin().len();
                    }
                    queue.push(Event::Synced { partition, token });
                }
                Command::WriteSnapshot { partition, token, snapshot: copy } => {
                    controller.cost.slots += 1;
                    controller.cost.slot_bytes += writer::slot(partition.0, 1, &copy).len();
                    queue.push(Event::Synced { partition, token });
                }
                Command::WriteVoterFile { token, .. } => {
                    queue.push(Event::VoterFileWritten { token })
                }
                Command::Respond { result: OperationResult::Accepted { .. }, .. } => {
                    controller.accepted += 1
                }
                Command::Respond { result: done, .. } => panic!("not accepted: {done:?}"),
                _ => {}
            }
        }
    }
}
