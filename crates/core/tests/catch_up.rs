//! A replica that missed hundreds of changes, or thousands: it is brought up to
//! date in a time that does not grow with what it missed, and it never leads or
//! answers with old state.

#![allow(clippy::unwrap_used)]

#[path = "common/cluster.rs"]
mod cluster;

use cluster::*;
use googletest::prelude::*;
use grebepath_core::config::types::Config;
use grebepath_core::control_plane::controller::Event;
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::protocol::replica::ReplicaCondition;
use grebepath_core::replication::commit::CHANGES_KEPT;
use grebepath_core::replication::disk_writes::LOG_LIMIT;
use grebepath_core::replication::partition::Role;
use grebepath_core::storage::record::ReplicaState;
use grebepath_core::time::{MILLI, SECOND, Span, ms};
use serde_json::json;

/// The most that a configuration of some KiB may take with the memory of accepted
/// orders (bytes); `order_memory.rs` tests that the memory stays below that.
const MOST_STATE: usize = 700 * 1024;

/// A change that names the edition it builds on, as operators do.
fn edition(after: u64, note: &str) -> Operation {
    let val = json!({
        "zones": [{ "name": format!("zone-{}", after % 50), "state": "open" }],
        "pools": [{ "name": format!("pool-{}", after % 40), "service": format!("service-{after}"),
                    "labels": { "note": note } }],
        "terms": { "after": after, "edition": after + 1 } });
    Operation::Patch(val.to_string().into_bytes())
}

/// Operators that change one edition after the other.
struct Operator {
    edition: u64,
    note: String,
}

/// Makes so many changes through a controller, each accepted before the next.
fn change(cluster: &mut Cluster, operator: &mut Operator, node: usize, count: u64) {
    for _ in 0..count {
        let after = operator.edition;
        let operation = edition(after, &operator.note);
        let order = submit(cluster, node, &format!("order-{after}"), operation);
        let done = await_response(cluster, order);
        assert!(matches!(done, OperationResult::Accepted { .. }), "edition {after}: {done:?}");
        operator.edition += 1;
    }
}

fn operator(note: usize) -> Operator {
    Operator { edition: 0, note: "n".repeat(note) }
}

fn copy(cluster: &Cluster, node: usize) -> &ReplicaState {
    &core_of(cluster, node).partitions[0].state
}

/// Two replicas that hold one revision of one term and differ, if there are any.
fn differing_replicas(cluster: &Cluster) -> Option<(usize, usize)> {
    let place = |node: usize| (copy(cluster, node).written_term, copy(cluster, node).revision);
    let pairs = (0..3).flat_map(|a| (0..a).map(move |b| (a, b)));
    pairs
        .filter(|(a, b)| place(*a) == place(*b))
        .find(|(a, b)| copy(cluster, *a).entries != copy(cluster, *b).entries)
}

/// How long it takes until a replica holds on its disk what the leader holds.
fn catches_up(cluster: &mut Cluster, node: usize) -> Span {
    let began = cluster.now;
    run_until(cluster, |cluster| {
        let Some(leader) = leader(cluster) else { return false };
        let p = &core_of(cluster, node).partitions[0];
        p.condition == ReplicaCondition::Voting
            && p.writes.is_empty()
            && p.state == *copy(cluster, leader)
    });
    cluster.now - began
}

/// How a replica comes to miss changes.
#[derive(Clone, Copy, Debug)]
enum Away {
    /// Nothing passes between it and the others; the process goes on.
    CutOff,
    Stopped,
    /// It was down, and starts on the disk that it had.
    Down,
    /// It was down, and starts on an empty disk.
    DownBlank,
    /// Its disk finished nothing.
    DiskStalled,
}

const WAYS: [Away; 5] =
    [Away::CutOff, Away::Stopped, Away::Down, Away::DownBlank, Away::DiskStalled];

fn goes(cluster: &mut Cluster, node: usize, away: Away) {
    match away {
        Away::CutOff => isolate(cluster, node),
        Away::DiskStalled => stall_disk(cluster, node, true),
        Away::Stopped => pause(cluster, node, 100_000 * SECOND),
        Away::Down | Away::DownBlank => {
            isolate(cluster, node);
            pause(cluster, node, 100_000 * SECOND);
        }
    }
}

fn returns(cluster: &mut Cluster, node: usize, away: Away) {
    cluster.blocked_links.clear();
    match away {
        Away::CutOff => {}
        Away::DiskStalled => stall_disk(cluster, node, false),
        Away::Stopped => {
            // What waited in its sockets beyond their buffers was never taken.
            for other in (0..3).filter(|other| *other != node) {
                reset_connection(cluster, node, other);
            }
            resume_with_pending(cluster, node);
        }
        Away::Down => restart(cluster, node, 99),
        Away::DownBlank => restart_on_empty_disk(cluster, node, 99),
    }
}

/// A cluster of three in which one misses so many changes; that one is back, and
/// the changes go on. Gives how long it takes to be up to date.
fn missed(away: Away, changes: u64, leads: bool) -> (Cluster, Operator, usize, Span) {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let third = 3 - first - other;
    let mut operator = operator(64);
    change(&mut cluster, &mut operator, first, 20);
    let node = if leads { first } else { other };
    goes(&mut cluster, node, away);
    change(&mut cluster, &mut operator, third, changes);
    returns(&mut cluster, node, away);
    let span = catches_up(&mut cluster, node);
    assert_eq!(differing_replicas(&cluster), None, "{away:?}");
    (cluster, operator, node, span)
}

/// The edition that an operator reads through a controller.
fn read(cluster: &mut Cluster, node: usize) -> u64 {
    let order = submit(cluster, node, "read", Operation::Read);
    match await_response(cluster, order) {
        OperationResult::Configuration { entries: map, .. } => {
            Config::from_entries(&map).unwrap().client_limits.edition
        }
        done => panic!("{done:?}"),
    }
}

#[googletest::test]
fn a_replicas_catch_up_time_does_not_grow_with_the_changes_it_missed() {
    for away in WAYS {
        for leads in [false, true] {
            let spans: Vec<u64> =
                [300, 2_000].map(|changes| missed(away, changes, leads).3 / MILLI).to_vec();
            println!("{away:?}, leader before {leads}: {spans:?} ms after 300, 2000 changes");
            // A blank one may not ask the others in the first second.
            expect_that!(spans[0], lt(3_000), "{away:?} {leads}");
            expect_that!(spans[1], lt(spans[0] + 1_000), "{away:?} {leads}");
        }
    }
}

#[googletest::test]
fn a_replica_that_missed_two_thousand_changes_leads_with_the_newest_state() {
    for away in WAYS {
        let (mut cluster, mut operator, node, _) = missed(away, 2_000, true);
        // It is made the leader: the others step down until it leads.
        for _ in 0..40 {
            let Some(now) = leader(&cluster) else {
                run(&mut cluster, ms(50));
                continue;
            };
            if now == node {
                break;
            }
            pause(&mut cluster, now, 1_800 * MILLI);
            run(&mut cluster, 2 * SECOND);
        }
        run_until(&mut cluster, |cluster| leader(cluster).is_some());
        for through in 0..3 {
            expect_that!(read(&mut cluster, through), eq(operator.edition), "{away:?}");
        }
        change(&mut cluster, &mut operator, node, 5);
        expect_that!(read(&mut cluster, node), eq(operator.edition), "{away:?}");
    }
}

#[googletest::test]
fn a_returning_replica_never_leads_before_it_is_up_to_date() {
    // The one that returns finds one other alone: the leader dies as it is back.
    for away in [Away::CutOff, Away::Stopped, Away::Down, Away::DiskStalled] {
        for wait in [0, 1, 2, 3, 5, 8, 20, 60, 200, 900] {
            let (mut cluster, first, other) = cluster_with_leader(3);
            let mut operator = operator(64);
            change(&mut cluster, &mut operator, first, 20);
            goes(&mut cluster, other, away);
            change(&mut cluster, &mut operator, first, 600);
            returns(&mut cluster, other, away);
            run(&mut cluster, ms(wait));
            isolate(&mut cluster, first);
            let held = operator.edition;
            expect_that!(read(&mut cluster, other), eq(held), "{away:?}, {wait} ms");
            change(&mut cluster, &mut operator, other, 2);
        }
    }
}

#[googletest::test]
fn a_snapshot_transfer_that_is_interrupted_at_any_step_is_retried() {
    for cut_after in [0, 1, 2, 3, 4, 6, 9, 30, 120, 250, 260, 300] {
        for away in [Away::Down, Away::DownBlank] {
            let (mut cluster, first, other) = cluster_with_leader(3);
            let mut operator = operator(512);
            change(&mut cluster, &mut operator, first, 400);
            goes(&mut cluster, other, away);
            change(&mut cluster, &mut operator, first, 400);
            returns(&mut cluster, other, away);
            for _ in 0..6 {
                run(&mut cluster, ms(cut_after));
                reset_connection(&mut cluster, first, other);
                reset_connection(&mut cluster, other, 3 - first - other);
                restart(&mut cluster, other, 7 + cut_after);
            }
            let span = catches_up(&mut cluster, other);
            expect_that!(span, lt(4 * SECOND), "{away:?}, cut after {cut_after} ms");
        }
    }
}

#[googletest::test]
fn snapshots_that_lack_an_entry_are_detected() {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let mut operator = operator(64);
    change(&mut cluster, &mut operator, first, 20);
    goes(&mut cluster, other, Away::Down);
    change(&mut cluster, &mut operator, first, 600);
    cluster.lossy_snapshots = true;
    returns(&mut cluster, other, Away::Down);
    run(&mut cluster, SECOND);
    expect_that!(differing_replicas(&cluster), some(anything()));
}

#[googletest::test]
fn a_controllers_state_does_not_grow_with_the_number_of_past_changes() {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let mut operator = operator(64);
    change(&mut cluster, &mut operator, first, 16_000);
    let size = |cluster: &Cluster, node: usize| -> usize {
        copy(cluster, node).entries.iter().map(|(key, value)| key.len() + value.len()).sum()
    };
    let before = size(&cluster, other);
    change(&mut cluster, &mut operator, first, 4_000);
    println!("state: {before} bytes after 16,000 changes, {} after 20,000", size(&cluster, other));
    // All but some KiB of it is the memory of the orders of two days to four.
    expect_that!(size(&cluster, other), lt(MOST_STATE));
    for node in 0..3 {
        let core = core_of(&cluster, node);
        let p = &core.partitions[0];
        expect_that!(p.changes.len(), le(CHANGES_KEPT + 8));
        expect_that!(p.log_bytes, le(LOG_LIMIT + size(&cluster, node) as u64));
        expect_that!(core.attempts_seen.len(), le(4_096));
        expect_that!(core.pending_requests.len() + core.forwarded.len(), eq(0));
        if let Role::Leader(leader) = &p.role {
            expect_that!(leader.rounds.len(), le(256));
            expect_that!(leader.waiting_changes.len() + leader.pending.len(), eq(0));
        }
    }
    // And one that stops and starts finds all of it.
    deliver_event(&mut cluster, other, Event::Stop);
    restart(&mut cluster, other, 5);
    let span = catches_up(&mut cluster, other);
    expect_that!(span, lt(2 * SECOND));
}
