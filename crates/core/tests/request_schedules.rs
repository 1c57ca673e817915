//! Random schedules of operator requests to every controller, while controllers are isolated,
//! paused, stalled and restarted and their clocks run at different rates. The answers must form a
//! valid history of a single register.

#![allow(clippy::unwrap_used)]

#[path = "common/cluster.rs"]
mod cluster;
#[path = "common/edition_register.rs"]
mod edition_register;

use std::collections::BTreeSet;

use cluster::*;
use edition_register::{Outcome, RequestRecord, check};
use googletest::prelude::*;
use grebepath_core::config::types::Config;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::random::Random;
use grebepath_core::replication::partition::Role;
use grebepath_core::time::{MILLI, SECOND, Span, ms};
use serde_json::json;

/// Number of schedules in every run of the tests.
const SEEDS: u64 = 60;
/// Duration of faults and requests, and the time for recovery after them.
const FAULTY_PERIOD: Span = 50 * SECOND;
const RECOVERY_PERIOD: Span = 30 * SECOND;

/// A request of the history and the operation that carried it.
struct Request {
    operation: u64,
    request_id: String,
    after: Option<u64>,
}

fn edition_patch(request_id: &str, after: u64) -> Operation {
    let change = json!({ "zones": [{ "name": request_id, "state": "open" }],
        "terms": { "after": after, "edition": after + 1 } });
    Operation::Patch(change.to_string().into_bytes())
}

fn answer_kind(result: Option<&OperationResult>) -> Outcome {
    match result {
        Some(OperationResult::Accepted { .. }) => Outcome::Accepted,
        Some(OperationResult::Conflict { revision }) => Outcome::Conflict(*revision),
        Some(OperationResult::Configuration { entries: map, .. }) => {
            Outcome::Read(requests_and_edition(map).1)
        }
        Some(OperationResult::Rejected { .. }) => Outcome::NotExecuted,
        None | Some(OperationResult::Unknown { .. }) => Outcome::Unknown,
        Some(result) => Outcome::Malformed(format!("unexpected answer {result:?}")),
    }
}

/// Returns the request ids of all changes in a configuration, and its edition.
fn requests_and_edition(
    map: &grebepath_core::protocol::replica::EntryMap,
) -> (BTreeSet<String>, u64) {
    let config = Config::from_entries(map).unwrap();
    (config.zones.keys().cloned().collect(), config.client_limits.edition)
}

/// Returns the highest edition that was reported to any operator.
fn highest_known_edition(cluster: &Cluster, requests: &[Request]) -> u64 {
    let seen = |request: &Request| {
        let answer = cluster.responses.get(&request.operation);
        match (answer_kind(answer.map(|answer| &answer.done)), request.after) {
            (Outcome::Accepted, Some(after)) => after + 1,
            (Outcome::Conflict(edition) | Outcome::Read(edition), _) => edition,
            _ => 0,
        }
    };
    requests.iter().map(seen).max().unwrap_or(0)
}

/// Sends a random request to a random controller.
fn send_random_request(cluster: &mut Cluster, random: &mut Random, requests: &mut Vec<Request>) {
    let node = random.below(3) as usize;
    let (request_id, after) = match random.below(20) {
        0..3 => (String::new(), None),
        3..6 if !requests.is_empty() => {
            // The same request once more, as after an answer that was lost.
            let old = &requests
                [requests.len() - 1 - random.below(10.min(requests.len() as u64)) as usize];
            (old.request_id.clone(), old.after)
        }
        6..8 => (
            format!("order-{}", requests.len()),
            Some(highest_known_edition(cluster, requests).saturating_sub(1)),
        ),
        _ => (format!("order-{}", requests.len()), Some(highest_known_edition(cluster, requests))),
    };
    let operation = after.map_or(Operation::Read, |after| edition_patch(&request_id, after));
    let operation = submit_to_paused(cluster, node, &request_id, operation);
    requests.push(Request { operation, request_id, after });
}

/// A fault of a controller; most kinds end after some time.
struct Fault {
    ends: u64,
    node: usize,
    kind: u64,
}

fn inject_fault(cluster: &mut Cluster, random: &mut Random) -> Fault {
    let node = random.below(3) as usize;
    let kind = random.below(9);
    let mut span = ms(200 + random.below(6_000));
    if random.chance(1, 4) {
        span = 20 * SECOND;
    }
    match kind {
        0 => isolate(cluster, node),
        // Connections are reset instead of dropping messages.
        1 => {
            for other in (0..3).filter(|other| *other != node) {
                reset_connection(cluster, node, other);
            }
            isolate(cluster, node);
        }
        2 => cluster
            .blocked_links
            .extend((0..3).filter(|other| *other != node).map(|other| (node, other))),
        3 => cluster
            .blocked_links
            .extend((0..3).filter(|other| *other != node).map(|other| (other, node))),
        4 => {
            cluster.blocked_links.insert((node, (node + 1) % 3));
            cluster.blocked_links.insert(((node + 1) % 3, node));
        }
        5 => {
            span = ms(500 + random.below(11_500));
            pause(cluster, node, span);
        }
        6 => stall_disk(cluster, node, true),
        // The same pause, after which requests are the first events that are processed.
        7 => {
            span = ms(500 + random.below(11_500));
            pause(cluster, node, span + SECOND);
        }
        _ => {
            let seed = random.below(u64::MAX);
            restart(cluster, node, seed);
        }
    }
    Fault { ends: cluster.now + span, node, kind }
}

fn end_fault(cluster: &mut Cluster, fault: &Fault, requests: &mut Vec<Request>) {
    match fault.kind {
        0..=4 => cluster.blocked_links.retain(|(a, b)| *a != fault.node && *b != fault.node),
        6 => stall_disk(cluster, fault.node, false),
        7 => {
            resume_before_pending(cluster, fault.node);
            for after in [
                highest_known_edition(cluster, requests),
                highest_known_edition(cluster, requests).saturating_sub(1),
            ] {
                let request_id = format!("order-{}", requests.len());
                let operation =
                    submit(cluster, fault.node, &request_id, edition_patch(&request_id, after));
                requests.push(Request { operation, request_id, after: Some(after) });
            }
            let operation = submit(cluster, fault.node, "", Operation::Read);
            requests.push(Request { operation, request_id: String::new(), after: None });
        }
        _ => {}
    }
}

/// Runs the schedule of a seed; returns the violations that it shows.
fn play(seed: u64, tamper: impl Fn(&mut Cluster)) -> Vec<String> {
    let mut random = Random::new(seed);
    let mut cluster = cluster(3);
    cluster.jitter = [0, ms(2), ms(20)][random.below(3) as usize];
    cluster.latency_random = Random::new(seed ^ 0x5eed);
    for node in 0..3 {
        let percent = [75, 100, 125][random.below(3) as usize];
        set_clock_rate(&mut cluster, node, percent);
    }
    let (mut requests, mut faults): (Vec<Request>, Vec<Fault>) = (Vec::new(), Vec::new());
    let (mut next_request, mut next_fault) = (SECOND, 2 * SECOND);
    while cluster.now < FAULTY_PERIOD {
        tamper(&mut cluster);
        run(&mut cluster, MILLI);
        let now = cluster.now;
        let (ended, active) = faults.into_iter().partition(|fault: &Fault| fault.ends <= now);
        faults = active;
        ended.iter().for_each(|fault| end_fault(&mut cluster, fault, &mut requests));
        if now >= next_request {
            // A single request, or several concurrent ones.
            for _ in 0..[1, 1, 1, 4][random.below(4) as usize] {
                send_random_request(&mut cluster, &mut random, &mut requests);
            }
            next_request = now + ms(5 + random.below(250));
        }
        if now >= next_fault {
            faults.push(inject_fault(&mut cluster, &mut random));
            next_fault = now + ms(200 + random.below(4_000));
        }
    }
    for fault in &faults {
        end_fault(&mut cluster, fault, &mut requests);
    }
    run(&mut cluster, RECOVERY_PERIOD);
    let last = submit(&mut cluster, 0, "", Operation::Read);
    let result = await_response(&mut cluster, last);
    let OperationResult::Configuration { entries: map, .. } = result else {
        return vec![format!("the final read failed: {result:?}")];
    };
    let (applied, edition) = requests_and_edition(&map);
    let history: Vec<RequestRecord> =
        requests.iter().map(|request| history_entry(&cluster, request)).collect();
    check(&history, &applied, edition)
}

fn history_entry(cluster: &Cluster, request: &Request) -> RequestRecord {
    let answer = cluster.responses.get(&request.operation);
    RequestRecord {
        change: request.request_id.clone(),
        after: request.after,
        submitted_at: cluster.submitted_at[&request.operation],
        responded_at: answer.map_or(u64::MAX, |answer| answer.at),
        outcome: answer_kind(answer.map(|answer| &answer.done)),
    }
}

/// Runs many schedules in parallel; returns the seeds of those with violations.
fn failing_schedules(seeds: u64, tamper: fn(&mut Cluster)) -> Vec<(u64, Vec<String>)> {
    let threads: Vec<_> = (0..3)
        .map(|thread| {
            std::thread::spawn(move || {
                let mine = (0..seeds).filter(|seed| seed % 3 == thread);
                let played = mine.map(|seed| (seed, play(seed, tamper)));
                played.filter(|(_, wrong)| !wrong.is_empty()).collect::<Vec<_>>()
            })
        })
        .collect();
    threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
}

#[googletest::test]
fn answers_are_consistent_in_every_schedule() {
    expect_that!(failing_schedules(SEEDS, |_| {}), is_empty());
}

/// Makes leaders reject requests because of changes that are not committed.
fn reject_by_uncommitted(cluster: &mut Cluster) {
    for node in 0..3 {
        if let Role::Leader(leader) = &mut core_mut(cluster, node).partitions[0].role {
            leader.pending.iter_mut().for_each(|operation| operation.revision = 0);
        }
    }
}

#[googletest::test]
fn answers_without_a_quorum_round_are_detected() {
    expect_that!(
        failing_schedules(12, |cluster| cluster.skip_leadership_proof = true),
        not(is_empty())
    );
}

#[googletest::test]
fn rejections_by_uncommitted_changes_are_detected() {
    expect_that!(failing_schedules(24, reject_by_uncommitted), not(is_empty()));
}
