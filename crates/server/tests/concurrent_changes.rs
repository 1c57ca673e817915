//! Configuration changes that reach real controllers concurrently.

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use std::time::Duration;

use googletest::prelude::*;
use hyper::Method;
use serde_json::json;
use testbed::local_cluster;
use testbed::local_cluster::LocalCluster;

use common::{all_ready, join_all, layout, run_local};

/// Maximum time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

#[googletest::test]
fn concurrent_replacements_and_patches_lose_no_accepted_change() {
    run_local(async {
        let cluster = LocalCluster::start(layout("race", "mohalla", 3)).await.unwrap();
        all_ready(&cluster).await;
        let read = async || {
            let url = format!("http://{}/v1/config", cluster.operator_addrs[0]);
            local_cluster::request(&cluster.http, Method::GET, url, Vec::new(), &[])
                .await
                .unwrap()
                .1
        };
        let zone = |name: &str| json!({ "name": name, "state": "open" });
        let (mut accepted, mut conflicts) = (Vec::new(), 0);
        for round in 0..4 {
            let current = read().await;
            let revision = current["revision"].as_u64().unwrap().to_string();
            let send_change = async |index: usize| {
                let name = format!("mark-{round}-{index}");
                let url = format!("http://{}/v1/config", cluster.operator_addrs[index % 3]);
                let mut headers = vec![("request-id", name.as_str())];
                let (method, body) = if index.is_multiple_of(2) {
                    let mut configuration = current["config"].clone();
                    configuration["zones"].as_array_mut().unwrap().push(zone(&name));
                    headers.push(("expect-revision", revision.as_str()));
                    (Method::PUT, configuration)
                } else {
                    (Method::PATCH, json!({ "zones": [zone(&name)] }))
                };
                let body = body.to_string().into_bytes();
                let (code, value) =
                    local_cluster::request(&cluster.http, method, url, body, &headers)
                        .await
                        .unwrap();
                (name, code, value["revision"].as_u64())
            };
            for (name, code, revision) in join_all((0..6).map(send_change).collect()).await {
                match code {
                    200 => accepted.push((name, revision.unwrap())),
                    // Another change was first: nothing of this one was applied.
                    412 => conflicts += 1,
                    code => panic!("{name}: {code}"),
                }
            }
        }
        expect_that!(conflicts, gt(0), "no two changes conflicted");
        let configuration = read().await["config"].to_string();
        for (name, _) in &accepted {
            expect_that!(configuration, contains_substring(format!("\"{name}\"")));
        }
        let revisions: std::collections::BTreeSet<_> = accepted.iter().map(|a| a.1).collect();
        expect_that!(revisions.len(), eq(accepted.len()), "two changes got the same revision");
        let last = accepted.iter().map(|a| a.1).max().unwrap();
        for querier in 0..cluster.queriers.len() {
            let has_applied =
                || async { cluster.applied_revision(querier).await.is_some_and(|r| r >= last) };
            assert!(
                local_cluster::until(WAIT_TIMEOUT, has_applied).await,
                "querier {querier} has not applied {last}"
            );
        }
    });
}
