//! Real queriers that are paused, or isolated from all other processes.

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
        // The change is accepted without the paused querier: the two others are a majority.
        let value = json!({ "zones": [{ "name": "later", "state": "open" }] });
        let revision = cluster.patch(&value, "later").await.unwrap();
        // The controllers remove the paused querier from the membership, so its configuration is
        // outdated.
        let is_removed = || async {
            cluster
                .status(0)
                .await
                .is_ok_and(|s| s["cohort"]["members"].as_array().is_some_and(|m| m.len() == 2))
        };
        assert!(local_cluster::until(WAIT_TIMEOUT, is_removed).await);
        // These calls are queued at its listener when it resumes.
        let calls: Vec<_> = (0..8).map(|_| send_query(&cluster, 1)).collect();
        let resume = async {
            tokio::task::yield_now().await;
            cluster.queriers[1].signal("CONT").unwrap();
        };
        let (responses, ()) = tokio::join!(join_all(calls), resume);
        for (code, value) in responses.into_iter().flatten() {
            if code == 200 {
                expect_that!(value["revision"].as_u64(), ge(Some(revision)));
            } else {
                expect_that!(value["error"].as_str(), some(eq("cut-off")));
            }
        }
        assert!(local_cluster::until(WAIT_TIMEOUT, || cluster.is_ready(1)).await);
        // It serves again, from the new configuration.
        let is_serving = || async {
            send_query(&cluster, 1).await.is_some_and(|(code, value)| {
                code == 200 && value["revision"].as_u64() >= Some(revision)
            })
        };
        assert!(local_cluster::until(WAIT_TIMEOUT, is_serving).await);
    });
}

#[googletest::test]
fn an_isolated_querier_stops_serving_and_recovers() {
    run_local(async {
        // All connections between the last querier and the other processes pass through relays,
        // which can partition the network.
        let mut relays: Vec<Relay> = Vec::new();
        let cluster = LocalCluster::start_with_relay(
            layout("cut", "mohalla", 3),
            async |target: SocketAddr| {
                let relay = Relay::open(target).await?;
                let addr = relay.addr;
                relays.push(relay);
                Ok(addr)
            },
        )
        .await
        .unwrap();
        all_ready(&cluster).await;
        expect_that!(send_query(&cluster, 2).await.unwrap().0, eq(200));
        // Only the connections to the controllers and the leaf list are cut: peers forward lease
        // renewals and updates, so the querier serves from the newest configuration.
        for relay in &relays[..4] {
            relay.set_partitioned(true);
        }
        let value = json!({ "zones": [{ "name": "early", "state": "open" }] });
        let revision = cluster.patch(&value, "early").await.unwrap();
        let has_applied =
            || async { cluster.applied_revision(2).await.is_some_and(|r| r >= revision) };
        assert!(
            local_cluster::until(WAIT_TIMEOUT, has_applied).await,
            "no update arrived through the peers"
        );
        expect_that!(send_query(&cluster, 2).await.unwrap().0, eq(200));
        // Now the querier is completely isolated.
        relays[4].set_partitioned(true);
        let isolated_at = Instant::now();
        assert!(local_cluster::until(WAIT_TIMEOUT, || async { !cluster.is_ready(2).await }).await);
        // It first reports not ready, then rejects calls; the other queriers continue to serve.
        let is_rejected = || async {
            send_query(&cluster, 2)
                .await
                .is_some_and(|(code, value)| code == 503 && value["error"] == "cut-off")
        };
        assert!(local_cluster::until(WAIT_TIMEOUT, is_rejected).await);
        expect_that!(isolated_at.elapsed(), lt(Duration::from_secs(6)));
        let value = json!({ "zones": [{ "name": "later", "state": "open" }] });
        let revision = cluster.patch(&value, "later").await.unwrap();
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
