//! Orders at every controller while controllers are cut off, paused, stalled,
//! restarted and have clocks of their own: what operators are told must be a
//! history of one register, whatever happens when.

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

/// Schedules that are played in every run of the tests.
const SEEDS: u64 = 60;
/// How long faults and orders go on, and how long the end of it is waited for.
const BUSY: Span = 50 * SECOND;
const QUIET: Span = 30 * SECOND;

/// An order of the history and the operation that asked for it.
struct Request {
    operation: u64,
    order: String,
    after: Option<u64>,
}

fn deed(order: &str, after: u64) -> Operation {
    let val = json!({ "zones": [{ "name": order, "state": "open" }],
        "terms": { "after": after, "edition": after + 1 } });
    Operation::Patch(val.to_string().into_bytes())
}

fn told(done: Option<&OperationResult>) -> Outcome {
    match done {
        Some(OperationResult::Accepted { .. }) => Outcome::Accepted,
        Some(OperationResult::Conflict { revision }) => Outcome::Conflict(*revision),
        Some(OperationResult::Configuration { entries: map, .. }) => Outcome::Read(edition(map).1),
        Some(OperationResult::Rejected { .. }) => Outcome::NotExecuted,
        None | Some(OperationResult::Unknown { .. }) => Outcome::Unknown,
        Some(done) => Outcome::Malformed(format!("told {done:?}")),
    }
}

/// The orders that a configuration holds, and its edition.
fn edition(map: &grebepath_core::protocol::replica::EntryMap) -> (BTreeSet<String>, u64) {
    let conf = Config::from_entries(map).unwrap();
    (conf.zones.keys().cloned().collect(), conf.client_limits.edition)
}

/// The highest edition that some operator was told of.
fn known(cluster: &Cluster, requests: &[Request]) -> u64 {
    let seen = |request: &Request| {
        let answer = cluster.responses.get(&request.operation);
        match (told(answer.map(|answer| &answer.done)), request.after) {
            (Outcome::Accepted, Some(after)) => after + 1,
            (Outcome::Conflict(edition) | Outcome::Read(edition), _) => edition,
            _ => 0,
        }
    };
    requests.iter().map(seen).max().unwrap_or(0)
}

/// An operator asks something of a controller.
fn request(cluster: &mut Cluster, chances: &mut Random, requests: &mut Vec<Request>) {
    let node = chances.below(3) as usize;
    let (order, after) = match chances.below(20) {
        0..3 => (String::new(), None),
        3..6 if !requests.is_empty() => {
            // The same order once more, as after an answer that was lost.
            let old = &requests
                [requests.len() - 1 - chances.below(10.min(requests.len() as u64)) as usize];
            (old.order.clone(), old.after)
        }
        6..8 => {
            (format!("order-{}", requests.len()), Some(known(cluster, requests).saturating_sub(1)))
        }
        _ => (format!("order-{}", requests.len()), Some(known(cluster, requests))),
    };
    let deed = after.map_or(Operation::Read, |after| deed(&order, after));
    let operation = submit_to_paused(cluster, node, &order, deed);
    requests.push(Request { operation, order, after });
}

/// A fault befalls a controller; most of them are over after a while.
struct Fault {
    ends: u64,
    node: usize,
    kind: u64,
}

fn begin(cluster: &mut Cluster, chances: &mut Random) -> Fault {
    let node = chances.below(3) as usize;
    let kind = chances.below(9);
    let mut span = ms(200 + chances.below(6_000));
    if chances.chance(1, 4) {
        span = 20 * SECOND;
    }
    match kind {
        0 => isolate(cluster, node),
        // Connections end at once instead of falling silent.
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
            span = ms(500 + chances.below(11_500));
            pause(cluster, node, span);
        }
        6 => stall_disk(cluster, node, true),
        // The same pause, and orders are the first that is taken after it.
        7 => {
            span = ms(500 + chances.below(11_500));
            pause(cluster, node, span + SECOND);
        }
        _ => {
            let seed = chances.below(u64::MAX);
            restart(cluster, node, seed);
        }
    }
    Fault { ends: cluster.now + span, node, kind }
}

fn end(cluster: &mut Cluster, fault: &Fault, requests: &mut Vec<Request>) {
    match fault.kind {
        0..=4 => cluster.blocked_links.retain(|(a, b)| *a != fault.node && *b != fault.node),
        6 => stall_disk(cluster, fault.node, false),
        7 => {
            resume_before_pending(cluster, fault.node);
            for after in [known(cluster, requests), known(cluster, requests).saturating_sub(1)] {
                let order = format!("order-{}", requests.len());
                let operation = submit(cluster, fault.node, &order, deed(&order, after));
                requests.push(Request { operation, order, after: Some(after) });
            }
            let operation = submit(cluster, fault.node, "", Operation::Read);
            requests.push(Request { operation, order: String::new(), after: None });
        }
        _ => {}
    }
}

/// Plays the schedule of a seed; gives what is wrong with it.
fn play(seed: u64, spoil: impl Fn(&mut Cluster)) -> Vec<String> {
    let mut chances = Random::new(seed);
    let mut cluster = cluster(3);
    cluster.jitter = [0, ms(2), ms(20)][chances.below(3) as usize];
    cluster.latency_random = Random::new(seed ^ 0x5eed);
    for node in 0..3 {
        let percent = [75, 100, 125][chances.below(3) as usize];
        set_clock_rate(&mut cluster, node, percent);
    }
    let (mut requests, mut faults): (Vec<Request>, Vec<Fault>) = (Vec::new(), Vec::new());
    let (mut next_request, mut next_fault) = (SECOND, 2 * SECOND);
    while cluster.now < BUSY {
        spoil(&mut cluster);
        run(&mut cluster, MILLI);
        let now = cluster.now;
        let (over, rest) = faults.into_iter().partition(|fault: &Fault| fault.ends <= now);
        faults = rest;
        over.iter().for_each(|fault| end(&mut cluster, fault, &mut requests));
        if now >= next_request {
            // One, or several that race.
            for _ in 0..[1, 1, 1, 4][chances.below(4) as usize] {
                request(&mut cluster, &mut chances, &mut requests);
            }
            next_request = now + ms(5 + chances.below(250));
        }
        if now >= next_fault {
            faults.push(begin(&mut cluster, &mut chances));
            next_fault = now + ms(200 + chances.below(4_000));
        }
    }
    for fault in &faults {
        end(&mut cluster, fault, &mut requests);
    }
    run(&mut cluster, QUIET);
    let last = submit(&mut cluster, 0, "", Operation::Read);
    let done = await_response(&mut cluster, last);
    let OperationResult::Configuration { entries: map, .. } = done else {
        return vec![format!("nothing is read: {done:?}")];
    };
    let (applied, edition) = edition(&map);
    let history: Vec<RequestRecord> =
        requests.iter().map(|request| asked(&cluster, request)).collect();
    check(&history, &applied, edition)
}

fn asked(cluster: &Cluster, request: &Request) -> RequestRecord {
    let answer = cluster.responses.get(&request.operation);
    RequestRecord {
        change: request.order.clone(),
        after: request.after,
        submitted_at: cluster.submitted_at[&request.operation],
        responded_at: answer.map_or(u64::MAX, |answer| answer.at),
        outcome: told(answer.map(|answer| &answer.done)),
    }
}

/// Plays many schedules side by side; gives the seeds of those that went wrong.
fn wrong_schedules(seeds: u64, spoil: fn(&mut Cluster)) -> Vec<(u64, Vec<String>)> {
    let threads: Vec<_> = (0..3)
        .map(|thread| {
            std::thread::spawn(move || {
                let mine = (0..seeds).filter(|seed| seed % 3 == thread);
                let played = mine.map(|seed| (seed, play(seed, spoil)));
                played.filter(|(_, wrong)| !wrong.is_empty()).collect::<Vec<_>>()
            })
        })
        .collect();
    threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
}

#[googletest::test]
fn no_schedule_makes_a_wrong_answer() {
    expect_that!(wrong_schedules(SEEDS, |_| {}), is_empty());
}

/// A leader tells refusals by changes that are not committed.
fn refuse_by_uncommitted(cluster: &mut Cluster) {
    for node in 0..3 {
        if let Role::Leader(leader) = &mut core_mut(cluster, node).partitions[0].role {
            leader.pending.iter_mut().for_each(|operation| operation.revision = 0);
        }
    }
}

#[googletest::test]
fn answers_without_a_round_are_caught() {
    expect_that!(
        wrong_schedules(12, |cluster| cluster.skip_leadership_proof = true),
        not(is_empty())
    );
}

#[googletest::test]
fn refusals_by_what_is_not_committed_are_caught() {
    expect_that!(wrong_schedules(24, refuse_by_uncommitted), not(is_empty()));
}
