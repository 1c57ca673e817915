//! Real queriers that freeze, or are cut off from all others.

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;
use testbed::local_cluster;
use testbed::local_cluster::LocalCluster;
use testbed::relay::Relay;

use common::{all_ready, join_all, layout, run_local, send_query};

/// Maximum time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

#[googletest::test]
fn a_resumed_querier_never_answers_from_its_old_configuration() {
    run_local(async {
        let cluster = LocalCluster::start(layout("frozen", "mohalla", 3)).await.unwrap();
        all_ready(&cluster).await;
        cluster.queriers[1].signal("STOP").unwrap();
        // Accepted without the frozen one: the two others are most.
        let val = json!({ "zones": [{ "name": "later", "state": "open" }] });
        let revision = cluster.patch(&val, "later").await.unwrap();
        // The core lets the frozen one go; then its old view is out of date.
        let gone = || async {
            cluster
                .status(0)
                .await
                .is_ok_and(|s| s["cohort"]["members"].as_array().is_some_and(|m| m.len() == 2))
        };
        assert!(local_cluster::until(WAIT_TIMEOUT, gone).await);
        // Calls that wait at its door when it wakes.
        let calls: Vec<_> = (0..8).map(|_| send_query(&cluster, 1)).collect();
        let woken = async {
            tokio::task::yield_now().await;
            cluster.queriers[1].signal("CONT").unwrap();
        };
        let (answers, ()) = tokio::join!(join_all(calls), woken);
        for (code, val) in answers.into_iter().flatten() {
            if code == 200 {
                expect_that!(val["revision"].as_u64(), ge(Some(revision)));
            } else {
                expect_that!(val["error"].as_str(), some(eq("cut-off")));
            }
        }
        assert!(local_cluster::until(WAIT_TIMEOUT, || cluster.is_ready(1)).await);
        // It serves again, by the new one.
        let serves = || async {
            send_query(&cluster, 1).await.is_some_and(|(code, val)| {
                code == 200 && val["revision"].as_u64() >= Some(revision)
            })
        };
        assert!(local_cluster::until(WAIT_TIMEOUT, serves).await);
    });
}

#[googletest::test]
fn an_isolated_querier_stops_serving_and_recovers() {
    run_local(async {
        // All that the last querier says to and hears from the others passes
        // through relays, which can be cut.
        let mut relays: Vec<Relay> = Vec::new();
        let cluster = LocalCluster::start_with_relay(
            layout("cut", "mohalla", 3),
            async |wanted: SocketAddr| {
                let relay = Relay::open(wanted).await?;
                let addr = relay.addr;
                relays.push(relay);
                Ok(addr)
            },
        )
        .await
        .unwrap();
        all_ready(&cluster).await;
        expect_that!(send_query(&cluster, 2).await.unwrap().0, eq(200));
        // Only the ways to core and list are cut: neighbours hand renewals over
        // and news on, and the node serves by the newest configuration.
        for relay in &relays[..4] {
            relay.set_partitioned(true);
        }
        let val = json!({ "zones": [{ "name": "early", "state": "open" }] });
        let revision = cluster.patch(&val, "early").await.unwrap();
        let has_applied =
            || async { cluster.applied_revision(2).await.is_some_and(|r| r >= revision) };
        assert!(
            local_cluster::until(WAIT_TIMEOUT, has_applied).await,
            "no news came by the cohort"
        );
        expect_that!(send_query(&cluster, 2).await.unwrap().0, eq(200));
        // Now nobody reaches it.
        relays[4].set_partitioned(true);
        let begun = Instant::now();
        assert!(local_cluster::until(WAIT_TIMEOUT, || async { !cluster.is_ready(2).await }).await);
        // First not ready, then bouncing; the others go on.
        let bounced = || async {
            send_query(&cluster, 2)
                .await
                .is_some_and(|(code, val)| code == 503 && val["error"] == "cut-off")
        };
        assert!(local_cluster::until(WAIT_TIMEOUT, bounced).await);
        expect_that!(begun.elapsed(), lt(Duration::from_secs(6)));
        let val = json!({ "zones": [{ "name": "later", "state": "open" }] });
        let revision = cluster.patch(&val, "later").await.unwrap();
        expect_that!(send_query(&cluster, 0).await.unwrap().0, eq(200));
        for relay in &relays {
            relay.set_partitioned(false);
        }
        assert!(local_cluster::until(WAIT_TIMEOUT, || cluster.is_ready(2)).await);
        expect_that!(
            send_query(&cluster, 2).await.unwrap().1["revision"].as_u64(),
            ge(Some(revision))
        );
    });
}
