//! Rollouts on real processes under load: a sound version is delivered; one that answers garbage is
//! returned while the leader is killed, and gets its share of requests at most.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::run_local;
use googletest::prelude::*;
use grebepath_runtime::http::client::HttpClient;
use grebepath_simulator::spec;
use serde_json::json;
use testbed::callers::{CallerStatistics, report, run_load};
use testbed::local_cluster::{self, LocalCluster};

const SERVICE: &str = "mohalla-notices-w48-1";
/// Share of the deployment's load that the callers send.
const LOAD: f64 = 0.5;
/// How long a rollout may take, as it is ordered.
const OVER_S: &str = "10";
/// How long anything is waited for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(25);

/// Runs grebectl; gives its exit code and output.
fn ctl(cluster: &LocalCluster, args: &[&str]) -> (i32, String) {
    let at: Vec<String> = cluster.operator_addrs.iter().map(|door| door.to_string()).collect();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_grebectl"))
        .env("GREBE_AT", at.join(","))
        .args(args)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

fn start(cluster: &LocalCluster, version: &str) -> (i32, String) {
    ctl(cluster, &["rollout", "start", "--over", OVER_S, SERVICE, version])
}

/// Waits until a rollout has ended, and gives its line.
async fn ended(cluster: &LocalCluster) -> String {
    let line = || ctl(cluster, &["rollout", "status", SERVICE]).1;
    let is_over = || async { line().contains("delivered") || line().contains("returned") };
    assert!(local_cluster::until(WAIT_TIMEOUT, is_over).await, "{}", line());
    line()
}

/// Requests that leafs of the service have run, by version.
async fn ran(cluster: &LocalCluster, version: &str) -> u64 {
    let state = cluster.query_backends("/state").await.unwrap();
    let leafs = state["leafs"].as_array().unwrap().iter();
    let of_version = leafs.filter(|l| l["service"] == SERVICE && l["version"] == version);
    of_version.map(|leaf| leaf["ran"].as_u64().unwrap()).sum()
}

async fn start_leafs(cluster: &LocalCluster, version: &str, mode: &str) {
    // Beside those that stand without a version, which the deployment begins with.
    let order = json!({ "do": "new-version", "service": SERVICE, "count": 4, "version": version,
                        "mode": mode });
    cluster.control_backends(order).await.unwrap();
}

async fn sound_version_is_delivered(cluster: &LocalCluster) {
    start_leafs(cluster, "v2", "good").await;
    // Nobody has ordered it: once the list shows the leafs they get nothing.
    tokio::time::sleep(Duration::from_secs(4)).await;
    expect_that!(ran(cluster, "v2").await, eq(0));
    let (code, out) = start(cluster, "v2");
    expect_that!(code, eq(0), "{out}");
    expect_that!(start(cluster, "v3").0, eq(1), "another one while it goes on");
    expect_that!(start(cluster, "v2").0, eq(0), "the same again");
    let line = ended(cluster).await;
    expect_that!(line, contains_substring("delivered (delivered, found-good)"));
    let before = ran(cluster, "").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(ran(cluster, "").await, eq(before), "the old version gets nothing any more");
    expect_that!(ran(cluster, "v2").await, gt(0));
}

async fn bad_version_is_returned(cluster: &mut LocalCluster) {
    start_leafs(cluster, "v3", "garbage").await;
    let before = ran(cluster, "v2").await;
    let (code, out) = start(cluster, "v3");
    expect_that!(code, eq(0), "{out}");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let leader = cluster.config_leader().await.unwrap();
    cluster.controllers[leader].kill();
    let line = ended(cluster).await;
    cluster.controllers[leader].start().unwrap();
    expect_that!(line, contains_substring("returned (returned, found-bad)"));
    let (tried, served) = (ran(cluster, "v3").await, ran(cluster, "v2").await - before);
    expect_that!(tried, gt(0));
    expect_that!(tried, le((tried + served) / 10 + 50));
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(ran(cluster, "v3").await, eq(tried), "the bad version gets nothing any more");
    let (code, plan) = ctl(cluster, &["explain", "browse"]);
    expect_that!(code, eq(0), "{plan}");
    expect_that!(plan, contains_substring(format!("rollout of {SERVICE} to v3: returned")));
    let (_, history) = ctl(cluster, &["rollout", "history", SERVICE]);
    expect_that!(history, contains_substring("to v2: delivered"));
    expect_that!(history, contains_substring("to v3: returned"));
}

#[googletest::test]
fn good_versions_are_delivered_and_bad_ones_are_rolled_back_under_load() {
    run_local(async {
        let layout = common::layout("rollouts", "mohalla", 3);
        let spec = layout.deploy.join("mohalla.standins.json").display().to_string();
        let spec = spec::read(&spec).unwrap();
        common::empty_folder(&layout);
        let mut cluster = LocalCluster::start(layout).await.unwrap();
        common::all_ready(&cluster).await;
        let seen = Rc::new(RefCell::new(CallerStatistics::default()));
        let targets = Rc::new(RefCell::new(cluster.caller_addrs.clone()));
        let far = Instant::now() + Duration::from_secs(600);
        let mut callers = Vec::new();
        for (seed, kind) in (0..).zip(spec.kinds.iter().cloned()) {
            let (targets, seen) = (targets.clone(), seen.clone());
            let calls = run_load(HttpClient::new(32), kind, LOAD, targets, seen, seed, far);
            callers.push(tokio::task::spawn_local(calls));
        }
        sound_version_is_delivered(&cluster).await;
        bad_version_is_returned(&mut cluster).await;
        let (code, out) = ctl(&cluster, &["rollout", "abort", "mohalla-alerts-w48-0"]);
        expect_that!(code, eq(1), "{out}");
        for caller in callers {
            caller.abort();
        }
        // What was under way ends before the leafs' log is read.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let runs = cluster.query_backends("/runs").await.unwrap();
        let report = report(&seen.borrow(), runs.as_array().unwrap_or(&Vec::new()));
        expect_that!(report["violations"], eq(&json!(0)), "{report}");
        expect_that!(report["claims"].as_u64(), some(gt(0)), "{report}");
    });
}
