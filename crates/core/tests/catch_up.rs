//! A replica that missed hundreds or thousands of changes catches up in a time that does not
//! grow with the number of changes, and it never leads or responds with outdated state.

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

/// Maximum size of the state (bytes): a configuration of a few KiB and the memory of accepted
/// requests, whose size `order_memory.rs` tests.
const MAX_STATE_BYTES: usize = 700 * 1024;

/// Returns a change that names the edition it is based on.
fn change_on_edition(after: u64, note: &str) -> Operation {
    let val = json!({
        "zones": [{ "name": format!("zone-{}", after % 50), "state": "open" }],
        "pools": [{ "name": format!("pool-{}", after % 40), "service": format!("service-{after}"),
                    "labels": { "note": note } }],
        "terms": { "after": after, "edition": after + 1 } });
    Operation::Patch(val.to_string().into_bytes())
}

/// An operator that makes one change after the other.
struct Operator {
    edition: u64,
    note: String,
}

/// Makes `count` changes through a controller, each accepted before the next.
fn make_changes(cluster: &mut Cluster, operator: &mut Operator, node: usize, count: u64) {
    for _ in 0..count {
        let after = operator.edition;
        let operation = change_on_edition(after, &operator.note);
        let number = submit(cluster, node, &format!("order-{after}"), operation);
        let done = await_response(cluster, number);
        assert!(matches!(done, OperationResult::Accepted { .. }), "edition {after}: {done:?}");
        operator.edition += 1;
    }
}

fn operator(note: usize) -> Operator {
    Operator { edition: 0, note: "n".repeat(note) }
}

/// Returns a replica's state of the configuration's partition.
fn replica_state(cluster: &Cluster, node: usize) -> &ReplicaState {
    &core_of(cluster, node).partitions[0].state
}

/// Returns two replicas that have the same revision of the same term but different entries, if
/// there are any.
fn differing_replicas(cluster: &Cluster) -> Option<(usize, usize)> {
    let position = |node: usize| {
        (replica_state(cluster, node).written_term, replica_state(cluster, node).revision)
    };
    let pairs = (0..3).flat_map(|a| (0..a).map(move |b| (a, b)));
    pairs
        .filter(|(a, b)| position(*a) == position(*b))
        .find(|(a, b)| replica_state(cluster, *a).entries != replica_state(cluster, *b).entries)
}

/// Runs until a replica has the leader's state on disk, and returns the time that it took.
fn catch_up(cluster: &mut Cluster, node: usize) -> Span {
    let began = cluster.now;
    run_until(cluster, |cluster| {
        let Some(leader) = leader(cluster) else { return false };
        let p = &core_of(cluster, node).partitions[0];
        p.condition == ReplicaCondition::Voting
            && p.writes.is_empty()
            && p.state == *replica_state(cluster, leader)
    });
    cluster.now - began
}

/// The reason why a replica misses changes.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// It is partitioned from the others while its process runs.
    Partitioned,
    /// Its process is paused.
    Paused,
    /// It is down, and restarts on its disk.
    Down,
    /// It is down, and restarts on an empty disk.
    DownWithDiskLost,
    /// Its disk completes no writes.
    DiskStalled,
}

const OUTAGES: [Outage; 5] = [
    Outage::Partitioned,
    Outage::Paused,
    Outage::Down,
    Outage::DownWithDiskLost,
    Outage::DiskStalled,
];

fn begin_outage(cluster: &mut Cluster, node: usize, outage: Outage) {
    match outage {
        Outage::Partitioned => isolate(cluster, node),
        Outage::DiskStalled => stall_disk(cluster, node, true),
        Outage::Paused => pause(cluster, node, 100_000 * SECOND),
        Outage::Down | Outage::DownWithDiskLost => {
            isolate(cluster, node);
            pause(cluster, node, 100_000 * SECOND);
        }
    }
}

fn end_outage(cluster: &mut Cluster, node: usize, outage: Outage) {
    cluster.blocked_links.clear();
    match outage {
        Outage::Partitioned => {}
        Outage::DiskStalled => stall_disk(cluster, node, false),
        Outage::Paused => {
            // The messages that exceeded the buffers of its sockets are lost.
            for other in (0..3).filter(|other| *other != node) {
                reset_connection(cluster, node, other);
            }
            resume_with_pending(cluster, node);
        }
        Outage::Down => restart(cluster, node, 99),
        Outage::DownWithDiskLost => restart_on_empty_disk(cluster, node, 99),
    }
}

/// Runs a cluster of three in which one replica misses `changes` changes. Returns that replica
/// and the time that it took to catch up.
fn miss_changes(outage: Outage, changes: u64, is_leader: bool) -> (Cluster, Operator, usize, Span) {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let third = 3 - first - other;
    let mut operator = operator(64);
    make_changes(&mut cluster, &mut operator, first, 20);
    let node = if is_leader { first } else { other };
    begin_outage(&mut cluster, node, outage);
    make_changes(&mut cluster, &mut operator, third, changes);
    end_outage(&mut cluster, node, outage);
    let span = catch_up(&mut cluster, node);
    assert_eq!(differing_replicas(&cluster), None, "{outage:?}");
    (cluster, operator, node, span)
}

/// Reads the edition through a controller.
fn read_edition(cluster: &mut Cluster, node: usize) -> u64 {
    let number = submit(cluster, node, "read", Operation::Read);
    match await_response(cluster, number) {
        OperationResult::Configuration { entries: map, .. } => {
            Config::from_entries(&map).unwrap().client_limits.edition
        }
        done => panic!("{done:?}"),
    }
}

#[googletest::test]
fn a_replicas_catch_up_time_does_not_grow_with_the_changes_it_miss_changes() {
    for outage in OUTAGES {
        for is_leader in [false, true] {
            let spans: Vec<u64> = [300, 2_000]
                .map(|changes| miss_changes(outage, changes, is_leader).3 / MILLI)
                .to_vec();
            println!("{outage:?}, leader before {is_leader}: {spans:?} ms after 300, 2000 changes");
            // A replica with an empty disk does not query the others in the first second.
            expect_that!(spans[0], lt(3_000), "{outage:?} {is_leader}");
            expect_that!(spans[1], lt(spans[0] + 1_000), "{outage:?} {is_leader}");
        }
    }
}

#[googletest::test]
fn a_replica_that_missed_two_thousand_changes_leads_with_the_newest_state() {
    for outage in OUTAGES {
        let (mut cluster, mut operator, node, _) = miss_changes(outage, 2_000, true);
        // Makes it the leader: the others are paused, one after the other, until it leads.
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
            expect_that!(read_edition(&mut cluster, through), eq(operator.edition), "{outage:?}");
        }
        make_changes(&mut cluster, &mut operator, node, 5);
        expect_that!(read_edition(&mut cluster, node), eq(operator.edition), "{outage:?}");
    }
}

#[googletest::test]
fn a_returning_replica_never_leads_before_it_is_up_to_date() {
    // The leader fails as the replica returns, which leaves it with one up-to-date replica.
    for outage in [Outage::Partitioned, Outage::Paused, Outage::Down, Outage::DiskStalled] {
        for wait in [0, 1, 2, 3, 5, 8, 20, 60, 200, 900] {
            let (mut cluster, first, other) = cluster_with_leader(3);
            let mut operator = operator(64);
            make_changes(&mut cluster, &mut operator, first, 20);
            begin_outage(&mut cluster, other, outage);
            make_changes(&mut cluster, &mut operator, first, 600);
            end_outage(&mut cluster, other, outage);
            run(&mut cluster, ms(wait));
            isolate(&mut cluster, first);
            let expected = operator.edition;
            expect_that!(read_edition(&mut cluster, other), eq(expected), "{outage:?}, {wait} ms");
            make_changes(&mut cluster, &mut operator, other, 2);
        }
    }
}

#[googletest::test]
fn a_snapshot_transfer_that_is_interrupted_at_any_step_is_retried() {
    for interrupt_after in [0, 1, 2, 3, 4, 6, 9, 30, 120, 250, 260, 300] {
        for outage in [Outage::Down, Outage::DownWithDiskLost] {
            let (mut cluster, first, other) = cluster_with_leader(3);
            let mut operator = operator(512);
            make_changes(&mut cluster, &mut operator, first, 400);
            begin_outage(&mut cluster, other, outage);
            make_changes(&mut cluster, &mut operator, first, 400);
            end_outage(&mut cluster, other, outage);
            for _ in 0..6 {
                run(&mut cluster, ms(interrupt_after));
                reset_connection(&mut cluster, first, other);
                reset_connection(&mut cluster, other, 3 - first - other);
                restart(&mut cluster, other, 7 + interrupt_after);
            }
            let span = catch_up(&mut cluster, other);
            expect_that!(
                span,
                lt(4 * SECOND),
                "{outage:?}, interrupted after {interrupt_after} ms"
            );
        }
    }
}

#[googletest::test]
fn snapshots_that_lack_an_entry_are_detected() {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let mut operator = operator(64);
    make_changes(&mut cluster, &mut operator, first, 20);
    begin_outage(&mut cluster, other, Outage::Down);
    make_changes(&mut cluster, &mut operator, first, 600);
    cluster.lossy_snapshots = true;
    end_outage(&mut cluster, other, Outage::Down);
    run(&mut cluster, SECOND);
    expect_that!(differing_replicas(&cluster), some(anything()));
}

#[googletest::test]
fn a_controllers_state_does_not_grow_with_the_number_of_past_changes() {
    let (mut cluster, first, other) = cluster_with_leader(3);
    let mut operator = operator(64);
    make_changes(&mut cluster, &mut operator, first, 16_000);
    let size = |cluster: &Cluster, node: usize| -> usize {
        replica_state(cluster, node)
            .entries
            .iter()
            .map(|(key, value)| key.len() + value.len())
            .sum()
    };
    let before = size(&cluster, other);
    make_changes(&mut cluster, &mut operator, first, 4_000);
    println!("state: {before} bytes after 16,000 changes, {} after 20,000", size(&cluster, other));
    // All but a few KiB of it is the memory of accepted requests, of two to four days.
    expect_that!(size(&cluster, other), lt(MAX_STATE_BYTES));
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
    // A controller that restarts has the complete state.
    deliver_event(&mut cluster, other, Event::Stop);
    restart(&mut cluster, other, 5);
    let span = catch_up(&mut cluster, other);
    expect_that!(span, lt(2 * SECOND));
}
