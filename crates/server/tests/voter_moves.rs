//! A voter of real processes that moves to another machine.

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
        let val = json!({ "zones": [{ "name": "before", "state": "open" }] });
        cluster.patch(&val, "before").await.unwrap();
        // The machine is gone, disk and all; another takes the seat elsewhere.
        cluster.controllers[2].kill();
        std::fs::remove_dir_all(cluster.layout.dir.join("seat-2")).unwrap();
        cluster.move_voter(2).unwrap();
        cluster.controllers[2].start().unwrap();
        for seat in [0, 1] {
            cluster.controllers[seat].kill();
            cluster.controllers[seat].start().unwrap();
            assert!(
                local_cluster::until(WAIT_TIMEOUT, || has_all_roles(&cluster, seat)).await,
                "seat {seat}"
            );
            // Queriers have not heard of the new address, and serve on.
            for querier in 0..cluster.queriers.len() {
                let serves =
                    || async { send_query(&cluster, querier).await.is_some_and(|a| a.0 == 200) };
                assert!(local_cluster::until(WAIT_TIMEOUT, serves).await, "querier {querier}");
            }
        }
        assert!(
            local_cluster::until(WAIT_TIMEOUT, || has_all_roles(&cluster, 2)).await,
            "the new seat did not relearn"
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
        // The new seat counts: with another one down a change is accepted.
        cluster.controllers[0].kill();
        let val = json!({ "zones": [{ "name": "after", "state": "open" }] });
        let revision = cluster.patch(&val, "after").await.unwrap();
        for querier in 0..cluster.queriers.len() {
            let has_applied =
                || async { cluster.applied_revision(querier).await.is_some_and(|r| r >= revision) };
            assert!(
                local_cluster::until(WAIT_TIMEOUT, has_applied).await,
                "querier {querier} does not obey {revision}"
            );
        }
        let url = format!("http://{}/v1/config", cluster.operator_addrs[2]);
        let got = local_cluster::request(&cluster.http, Method::GET, url, Vec::new(), &[])
            .await
            .unwrap()
            .1;
        let zones = got["config"]["zones"].to_string();
        expect_that!(zones, contains_substring("before"));
        expect_that!(zones, contains_substring("after"));
    });
}
