//! A voter of real processes that moves to another machine.

#[allow(dead_code)] // Each test file uses a part of it.
mod common;

use std::time::Duration;

use googletest::prelude::*;
use hyper::Method;
use serde_json::json;
use testbed::local_cluster;
use testbed::local_cluster::LocalCluster;

use common::{all_ready, ask, block, has_all_roles, layout};

/// How long anything may take that is only waited for.
const LONG: Duration = Duration::from_secs(20);

#[googletest::test]
fn a_voter_moves_to_a_new_machine_while_queriers_serve() {
    block(async {
        let mut f = LocalCluster::start(layout("moved", "mohalla", 3)).await.unwrap();
        all_ready(&f).await;
        let val = json!({ "zones": [{ "name": "before", "state": "open" }] });
        f.patch(&val, "before").await.unwrap();
        // The machine is gone, disk and all; another takes the seat elsewhere.
        f.controllers[2].kill();
        std::fs::remove_dir_all(f.layout.dir.join("seat-2")).unwrap();
        f.move_voter(2).unwrap();
        f.controllers[2].start().unwrap();
        for seat in [0, 1] {
            f.controllers[seat].kill();
            f.controllers[seat].start().unwrap();
            assert!(local_cluster::until(LONG, || has_all_roles(&f, seat)).await, "seat {seat}");
            // Queriers have not heard of the new address, and serve on.
            for i in 0..f.queriers.len() {
                let serves = || async { ask(&f, i).await.is_some_and(|a| a.0 == 200) };
                assert!(local_cluster::until(LONG, serves).await, "querier {i}");
            }
        }
        assert!(
            local_cluster::until(LONG, || has_all_roles(&f, 2)).await,
            "the new seat did not relearn"
        );
        for i in 0..f.queriers.len() {
            f.queriers[i].signal("TERM").unwrap();
            expect_that!(f.queriers[i].wait_for_end(LONG), some(eq(0)));
            f.queriers[i].start().unwrap();
            assert!(local_cluster::until(LONG, || f.is_ready(i)).await, "querier {i}");
        }
        // The new seat counts: with another one down a change is accepted.
        f.controllers[0].kill();
        let val = json!({ "zones": [{ "name": "after", "state": "open" }] });
        let revision = f.patch(&val, "after").await.unwrap();
        for i in 0..f.queriers.len() {
            let obeys = || async { f.applied_revision(i).await.is_some_and(|r| r >= revision) };
            assert!(
                local_cluster::until(LONG, obeys).await,
                "querier {i} does not obey {revision}"
            );
        }
        let url = format!("http://{}/v1/config", f.operator_addrs[2]);
        let got =
            local_cluster::request(&f.http, Method::GET, url, Vec::new(), &[]).await.unwrap().1;
        let zones = got["config"]["zones"].to_string();
        expect_that!(zones, contains_substring("before"));
        expect_that!(zones, contains_substring("after"));
    });
}
