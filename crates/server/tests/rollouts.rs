//! Rollouts on real processes under load. A good version is delivered. A version that returns garbage
//! is rolled back even if the leader is killed meanwhile, and gets at most its share of requests.

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
/// Fraction of the deployment's nominal load that the callers send.
const LOAD: f64 = 0.5;
/// Requested duration of a rollout in seconds.
const DURATION_S: &str = "10";
/// Maximum time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(25);

/// Runs grebectl; returns its exit code and output.
fn ctl(cluster: &LocalCluster, args: &[&str]) -> (i32, String) {
    let at: Vec<String> =
        cluster.operator_addrs.iter().map(|address| address.to_string()).collect();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_grebectl"))
        .env("GREBE_AT", at.join(","))
        .args(args)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

fn start(cluster: &LocalCluster, version: &str) -> (i32, String) {
    ctl(cluster, &["rollout", "start", "--over", DURATION_S, SERVICE, version])
}

/// Waits until a rollout has ended, and returns its status output.
async fn wait_until_ended(cluster: &LocalCluster) -> String {
    let status_output = || ctl(cluster, &["rollout", "status", SERVICE]).1;
    let is_over =
        || async { status_output().contains("delivered") || status_output().contains("returned") };
    assert!(local_cluster::until(WAIT_TIMEOUT, is_over).await, "{}", status_output());
    status_output()
}

/// Returns how many requests the leafs of one version of the service have run.
async fn run_count(cluster: &LocalCluster, version: &str) -> u64 {
    let state = cluster.query_backends("/state").await.unwrap();
    let leafs = state["leafs"].as_array().unwrap().iter();
    let of_version = leafs.filter(|l| l["service"] == SERVICE && l["version"] == version);
    of_version.map(|leaf| leaf["ran"].as_u64().unwrap()).sum()
}

async fn start_leafs(cluster: &LocalCluster, version: &str, mode: &str) {
    // In addition to the initial leafs of the deployment, which have no version.
    let control = json!({ "do": "new-version", "service": SERVICE, "count": 4, "version": version,
                        "mode": mode });
    cluster.control_backends(control).await.unwrap();
}

async fn check_good_version_is_delivered(cluster: &LocalCluster) {
    start_leafs(cluster, "v2", "good").await;
    // Without a rollout the leafs get no requests, even once the list contains them.
    tokio::time::sleep(Duration::from_secs(4)).await;
    expect_that!(run_count(cluster, "v2").await, eq(0));
    let (code, out) = start(cluster, "v2");
    expect_that!(code, eq(0), "{out}");
    expect_that!(start(cluster, "v3").0, eq(1), "another rollout while one is in progress");
    expect_that!(start(cluster, "v2").0, eq(0), "the same rollout again");
    let status_output = wait_until_ended(cluster).await;
    expect_that!(status_output, contains_substring("delivered (delivered, found-good)"));
    let before = run_count(cluster, "").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(run_count(cluster, "").await, eq(before), "the old version gets no more requests");
    expect_that!(run_count(cluster, "v2").await, gt(0));
}

async fn check_bad_version_is_rolled_back(cluster: &mut LocalCluster) {
    start_leafs(cluster, "v3", "garbage").await;
    let before = run_count(cluster, "v2").await;
    let (code, out) = start(cluster, "v3");
    expect_that!(code, eq(0), "{out}");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let leader = cluster.config_leader().await.unwrap();
    cluster.controllers[leader].kill();
    let status_output = wait_until_ended(cluster).await;
    cluster.controllers[leader].start().unwrap();
    expect_that!(status_output, contains_substring("returned (returned, found-bad)"));
    let (bad_requests, good_requests) =
        (run_count(cluster, "v3").await, run_count(cluster, "v2").await - before);
    expect_that!(bad_requests, gt(0));
    expect_that!(bad_requests, le((bad_requests + good_requests) / 10 + 50));
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(
        run_count(cluster, "v3").await,
        eq(bad_requests),
        "the bad version gets no more requests"
    );
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
        let statistics = Rc::new(RefCell::new(CallerStatistics::default()));
        let target_addrs = Rc::new(RefCell::new(cluster.caller_addrs.clone()));
        let end_of_load = Instant::now() + Duration::from_secs(600);
        let mut callers = Vec::new();
        for (seed, kind) in (0..).zip(spec.kinds.iter().cloned()) {
            let (target_addrs, statistics) = (target_addrs.clone(), statistics.clone());
            let calls = run_load(
                HttpClient::new(32),
                kind,
                LOAD,
                target_addrs,
                statistics,
                seed,
                end_of_load,
            );
            callers.push(tokio::task::spawn_local(calls));
        }
        check_good_version_is_delivered(&cluster).await;
        check_bad_version_is_rolled_back(&mut cluster).await;
        let (code, out) = ctl(&cluster, &["rollout", "abort", "mohalla-alerts-w48-0"]);
        expect_that!(code, eq(1), "{out}");
        for caller in callers {
            caller.abort();
        }
        // Requests in progress end before the leafs' log is read.
        tokio::time::sleep(Duration::from_secs(2)).await;
        let runs = cluster.query_backends("/runs").await.unwrap();
        let report = report(&statistics.borrow(), runs.as_array().unwrap_or(&Vec::new()));
        expect_that!(report["violations"], eq(&json!(0)), "{report}");
        expect_that!(report["claims"].as_u64(), some(gt(0)), "{report}");
    });
}
