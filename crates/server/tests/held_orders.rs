//! Configuration changes that reach real controllers late: a relay delays them, or the controller
//! is paused while it receives them, or runs only intermittently.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use std::time::Duration;

use common::zone_changes::{
    CLIENT_TIMEOUT, SETTLE_TIME, WAIT_TIMEOUT, change_following_redirects,
    change_until_acknowledged, leader_and_followers, send_without_waiting, zone_state,
};
use common::{layout, run_local};
use googletest::prelude::*;
use hyper::Method;
use serde_json::json;
use testbed::delaying_relay::{DelayingRelay, RelayDelays};
use testbed::local_cluster::{self, LocalCluster};

/// How long relays hold bytes: until later changes have been acknowledged.
const HOLD: Duration = Duration::from_millis(4_500);
/// Delays between the last bytes of a connection and its close.
const CLOSE_DELAYS_MS: [u64; 5] = [0, 5, 20, 100, 400];
/// How long a controller is paused.
const PAUSE: Duration = Duration::from_millis(3_500);
/// Durations for which an intermittently running controller is paused and running.
const PAUSE_CYCLE: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(50));

#[googletest::test]
fn a_change_delayed_by_a_relay_is_not_applied_after_later_ones() {
    // Guards against a drained zone that is opened by a stale change, delivered when a network
    // partition heals.
    run_local(async {
        let cluster = LocalCluster::start(layout("held-orders", "mohalla", 1)).await.unwrap();
        let [leader, other, third] = leader_and_followers(&cluster).await;
        change_until_acknowledged(&cluster, cluster.operator_addrs[third], "drained").await;
        let mut relays = Vec::new();
        let mut stale = Vec::new();
        for close_delay in CLOSE_DELAYS_MS.map(Duration::from_millis) {
            for connect_early in [true, false] {
                for controller in [leader, other] {
                    let hold = RelayDelays { bytes: HOLD, close_delay, connect_early };
                    let to = cluster.operator_addrs[controller];
                    let relay = DelayingRelay::open(to, hold).await.unwrap();
                    stale.push(send_without_waiting(relay.address, "open", relays.len()));
                    relays.push(relay);
                }
            }
        }
        tokio::time::sleep(CLIENT_TIMEOUT).await;
        drop(stale);
        change_until_acknowledged(&cluster, cluster.operator_addrs[third], "open").await;
        change_until_acknowledged(&cluster, cluster.operator_addrs[third], "drained").await;
        tokio::time::sleep(HOLD + SETTLE_TIME).await;
        expect_that!(zone_state(&cluster).await, eq(&json!("drained")));
    });
}

#[googletest::test]
fn a_controller_paused_while_receiving_a_change_does_not_apply_it_late() {
    run_local(async {
        let cluster = LocalCluster::start(layout("stopped-orders", "mohalla", 1)).await.unwrap();
        for pause_delay in [0, 2, 10, 100].map(Duration::from_millis) {
            for role in [0, 1] {
                let controllers = leader_and_followers(&cluster).await;
                let (paused, third) = (controllers[role], controllers[2]);
                change_until_acknowledged(&cluster, cluster.operator_addrs[third], "drained").await;
                let stop = async {
                    tokio::time::sleep(pause_delay).await;
                    cluster.controllers[paused].signal("STOP").unwrap();
                };
                let resume_at = tokio::time::Instant::now() + PAUSE;
                let attempt = change_following_redirects(
                    &cluster,
                    cluster.operator_addrs[paused],
                    "open",
                    CLIENT_TIMEOUT,
                );
                let (_, _) = tokio::join!(attempt, stop);
                change_until_acknowledged(&cluster, cluster.operator_addrs[third], "open").await;
                change_until_acknowledged(&cluster, cluster.operator_addrs[third], "drained").await;
                tokio::time::sleep_until(resume_at).await;
                cluster.controllers[paused].signal("CONT").unwrap();
                tokio::time::sleep(SETTLE_TIME).await;
                let state = zone_state(&cluster).await;
                expect_that!(state, eq(&json!("drained")), "{pause_delay:?}, {role}");
            }
        }
    });
}

#[googletest::test]
fn a_controller_that_runs_intermittently_does_not_apply_changes_late() {
    run_local(async {
        let cluster = LocalCluster::start(layout("hardly-running", "mohalla", 1)).await.unwrap();
        let [_, slow, third] = leader_and_followers(&cluster).await;
        let (paused, resumed) = PAUSE_CYCLE;
        let pause_cycle = async {
            loop {
                cluster.controllers[slow].signal("STOP").unwrap();
                tokio::time::sleep(paused).await;
                cluster.controllers[slow].signal("CONT").unwrap();
                tokio::time::sleep(resumed).await;
            }
        };
        let changes = async {
            for round in 0..6 {
                change_until_acknowledged(&cluster, cluster.operator_addrs[third], "drained").await;
                // Both kinds of clients, at a different point of the cycle in each round.
                tokio::time::sleep(Duration::from_millis(110 * round)).await;
                let pending = send_without_waiting(cluster.operator_addrs[slow], "open", 0);
                let _ = change_following_redirects(
                    &cluster,
                    cluster.operator_addrs[slow],
                    "open",
                    CLIENT_TIMEOUT,
                )
                .await;
                drop(pending);
                change_until_acknowledged(&cluster, cluster.operator_addrs[third], "open").await;
                change_until_acknowledged(&cluster, cluster.operator_addrs[third], "drained").await;
                tokio::time::sleep(SETTLE_TIME).await;
                expect_that!(zone_state(&cluster).await, eq(&json!("drained")), "{round}");
            }
        };
        tokio::select! {
            () = pause_cycle => {}
            () = changes => {}
        }
        cluster.controllers[slow].signal("CONT").unwrap();
    });
}

#[googletest::test]
fn clients_that_follow_redirects_and_clients_that_retry_are_served() {
    run_local(async {
        let cluster = LocalCluster::start(layout("confirmed-orders", "mohalla", 1)).await.unwrap();
        for address in &cluster.operator_addrs {
            for state in ["drained", "open"] {
                expect_that!(
                    change_following_redirects(&cluster, *address, state, WAIT_TIMEOUT).await,
                    some(eq(200)),
                    "{state}"
                );
                expect_that!(zone_state(&cluster).await, eq(&json!(state)));
            }
            change_until_acknowledged(&cluster, *address, "drained").await;
            expect_that!(zone_state(&cluster).await, eq(&json!("drained")));
        }
        // A request id, a revision or an edition distinguishes a late copy from a new change.
        let url = || format!("http://{}/v1/config", cluster.operator_addrs[0]);
        let change = json!({ "zones": [{ "name": "a", "state": "open" }] });
        let with_edition = json!({ "terms": { "edition": 1_000 } });
        let revision = cluster.patch(&change, "with-id").await.unwrap().to_string();
        let cases = [
            (&change, vec![("request-id", "other-id")], 200),
            (&change, vec![("expect-revision", revision.as_str())], 412),
            (&with_edition, vec![], 200),
            // An invalid change is rejected without a redirect for confirmation.
            (&json!({ "zones": 1 }), vec![], 422),
            (&change, vec![], 307),
        ];
        for (body, headers, expected) in cases {
            let body = body.to_string().into_bytes();
            let attempt =
                local_cluster::request(&cluster.http, Method::PATCH, url(), body, &headers).await;
            expect_that!(attempt.unwrap().0, eq(expected), "{headers:?}");
        }
    });
}
