//! Replacement of a voter of real processes by another machine.

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use std::time::Duration;

use googletest::prelude::*;
use hyper::Method;
use serde_json::json;
use testbed::local_cluster;
use testbed::local_cluster::LocalCluster;

use common::{all_ready, has_all_roles, layout, run_local, send_query};

/// Maximum time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

#[googletest::test]
fn a_voter_moves_to_a_new_machine_while_queriers_serve() {
    run_local(async {
        let mut cluster = LocalCluster::start(layout("moved", "mohalla", 3)).await.unwrap();
        all_ready(&cluster).await;
        let change = json!({ "zones": [{ "name": "before", "state": "open" }] });
        cluster.patch(&change, "before").await.unwrap();
        // The machine is lost with its disk; another one takes over the voter slot at a new address.
        cluster.controllers[2].kill();
        std::fs::remove_dir_all(cluster.layout.dir.join("seat-2")).unwrap();
        cluster.move_voter(2).unwrap();
        cluster.controllers[2].start().unwrap();
        for controller in [0, 1] {
            cluster.controllers[controller].kill();
            cluster.controllers[controller].start().unwrap();
            assert!(
                local_cluster::until(WAIT_TIMEOUT, || has_all_roles(&cluster, controller)).await,
                "controller {controller}"
            );
            // The queriers do not know the new address, and continue to serve.
            for querier in 0..cluster.queriers.len() {
                let is_serving =
                    || async { send_query(&cluster, querier).await.is_some_and(|a| a.0 == 200) };
                assert!(local_cluster::until(WAIT_TIMEOUT, is_serving).await, "querier {querier}");
            }
        }
        assert!(
            local_cluster::until(WAIT_TIMEOUT, || has_all_roles(&cluster, 2)).await,
            "the new voter did not recover the state"
        );
        for querier in 0..cluster.queriers.len() {
            cluster.queriers[querier].signal("TERM").unwrap();
            expect_that!(cluster.queriers[querier].wait_for_end(WAIT_TIMEOUT), some(eq(0)));
            cluster.queriers[querier].start().unwrap();
            assert!(
                local_cluster::until(WAIT_TIMEOUT, || cluster.is_ready(querier)).await,
                "querier {querier}"
            );
        }
        // The new voter counts for the quorum: with another voter down a change is accepted.
        cluster.controllers[0].kill();
        let change = json!({ "zones": [{ "name": "after", "state": "open" }] });
        let revision = cluster.patch(&change, "after").await.unwrap();
        for querier in 0..cluster.queriers.len() {
            let has_applied =
                || async { cluster.applied_revision(querier).await.is_some_and(|r| r >= revision) };
            assert!(
                local_cluster::until(WAIT_TIMEOUT, has_applied).await,
                "querier {querier} has not applied {revision}"
            );
        }
        let url = format!("http://{}/v1/config", cluster.operator_addrs[2]);
        let response = local_cluster::request(&cluster.http, Method::GET, url, Vec::new(), &[])
            .await
            .unwrap()
            .1;
        let zones = response["config"]["zones"].to_string();
        expect_that!(zones, contains_substring("before"));
        expect_that!(zones, contains_substring("after"));
    });
}
