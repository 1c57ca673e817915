//! Changes of the configuration that reach real controllers at one moment.

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
        let mark = |name: &str| json!({ "name": name, "state": "open" });
        let (mut accepted, mut moved) = (Vec::new(), 0);
        for round in 0..4 {
            let old = read().await;
            let revision = old["revision"].as_u64().unwrap().to_string();
            let send = async |i: usize| {
                let name = format!("mark-{round}-{i}");
                let url = format!("http://{}/v1/config", cluster.operator_addrs[i % 3]);
                let mut heads = vec![("request-id", name.as_str())];
                let (how, body) = if i.is_multiple_of(2) {
                    let mut conf = old["config"].clone();
                    conf["zones"].as_array_mut().unwrap().push(mark(&name));
                    heads.push(("expect-revision", revision.as_str()));
                    (Method::PUT, conf)
                } else {
                    (Method::PATCH, json!({ "zones": [mark(&name)] }))
                };
                let body = body.to_string().into_bytes();
                let (code, val) =
                    local_cluster::request(&cluster.http, how, url, body, &heads).await.unwrap();
                (name, code, val["revision"].as_u64())
            };
            for (name, code, revision) in join_all((0..6).map(send).collect()).await {
                match code {
                    200 => accepted.push((name, revision.unwrap())),
                    // Somebody else was first: nothing was applied.
                    412 => moved += 1,
                    code => panic!("{name}: {code}"),
                }
            }
        }
        expect_that!(moved, gt(0), "no two changes met");
        let conf = read().await["config"].to_string();
        for (name, _) in &accepted {
            expect_that!(conf, contains_substring(format!("\"{name}\"")));
        }
        let revs: std::collections::BTreeSet<_> = accepted.iter().map(|a| a.1).collect();
        expect_that!(revs.len(), eq(accepted.len()), "two changes got one revision");
        let last = accepted.iter().map(|a| a.1).max().unwrap();
        for i in 0..cluster.queriers.len() {
            let obeys = || async { cluster.applied_revision(i).await.is_some_and(|r| r >= last) };
            assert!(
                local_cluster::until(WAIT_TIMEOUT, obeys).await,
                "querier {i} does not obey {last}"
            );
        }
    });
}
