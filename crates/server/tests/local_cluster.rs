//! Real processes on loopback: searches, operator requests, settings, and the loss of any single
//! process.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::run_local;
use googletest::prelude::*;
use grebepath_simulator::check::{Asked, success};
use grebepath_simulator::spec::{self, Spec};
use hyper::Method;
use serde_json::{Value, json};
use testbed::callers::{CallerStatistics, poll_readiness, report, run_load};
use testbed::local_cluster;
use testbed::local_cluster::{Layout, LocalCluster};

/// Maximum time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn layout(test: &str, name: &str, queriers: usize) -> (Layout, Spec) {
    let layout = common::layout(test, name, queriers);
    let _ = std::fs::remove_dir_all(&layout.dir);
    let spec = layout.deploy.join(format!("{name}.standins.json"));
    let spec = spec::read(&spec.display().to_string());
    (layout, spec.unwrap())
}

async fn all_ready(cluster: &LocalCluster) {
    for querier in 0..cluster.queriers.len() {
        if cluster.queriers[querier].child.is_some() {
            assert!(
                local_cluster::until(WAIT_TIMEOUT, || cluster.is_ready(querier)).await,
                "querier {querier} is not ready"
            );
        }
    }
}

/// Waits until every running querier has applied a revision.
async fn wait_until_applied(cluster: &LocalCluster, revision: u64) {
    for querier in 0..cluster.queriers.len() {
        if cluster.queriers[querier].child.is_some() {
            let has_applied =
                || async { cluster.applied_revision(querier).await.is_some_and(|r| r >= revision) };
            assert!(
                local_cluster::until(WAIT_TIMEOUT, has_applied).await,
                "querier {querier} has not applied {revision}"
            );
        }
    }
}

async fn search(
    cluster: &LocalCluster,
    querier: usize,
    path: &str,
    body: Value,
    budget: &str,
) -> (u16, Value) {
    let url = format!("http://{}/v1/search/{path}", cluster.caller_addrs[querier]);
    let headers = [("budget-ms", budget)];
    let headers = if budget.is_empty() { &headers[..0] } else { &headers[..] };
    local_cluster::request(&cluster.http, Method::POST, url, body.to_string().into_bytes(), headers)
        .await
        .unwrap()
}

/// Runs grebectl against the cluster; returns its exit code and output.
fn ctl(cluster: &LocalCluster, args: &[&str]) -> (i32, String) {
    let at: Vec<String> = cluster.operator_addrs.iter().map(|d| d.to_string()).collect();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_grebectl"))
        .env("GREBE_AT", at.join(","))
        .args(args)
        .output()
        .unwrap();
    let text = format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    (output.status.code().unwrap_or(-1), text)
}

#[googletest::test]
fn callers_and_operators_are_served() {
    run_local(async {
        let (layout, spec) = layout("served", "kahurangi", 3);
        let dir = layout.dir.clone();
        let cluster = LocalCluster::start(layout).await.unwrap();
        all_ready(&cluster).await;
        check_callers(&cluster, &spec).await;
        check_faulty_leafs(&cluster, &spec).await;
        check_operators(&cluster, &dir).await;
        let state = cluster.query_backends("/state").await.unwrap();
        for leaf in state["leafs"].as_array().unwrap() {
            expect_that!(leaf["changed"].as_u64(), some(eq(0)));
            expect_that!(leaf["misdirected"].as_u64(), some(eq(0)));
        }
    });
}

async fn check_callers(cluster: &LocalCluster, spec: &Spec) {
    for (index, kind) in spec.kinds.iter().enumerate() {
        let query = Asked {
            question: format!("what-{index}"),
            key: kind.lookup.then(|| format!("unit-{index}")),
        };
        let mut body = json!({ "question": query.question, "limit": kind.limit });
        if let Some(key) = &query.key {
            body["key"] = json!(key);
        }
        let (code, value) = search(cluster, index % 3, &kind.search, body, "5000").await;
        assert_eq!(code, 200, "{value}");
        let missing = value["missing"].to_string();
        let (bad, _) = success(kind, &query, Some(&missing), value.to_string().as_bytes());
        expect_that!(bad, is_empty());
    }
    let ask = json!({ "question": "q" });
    let cases = [
        ("fleet", ask.clone(), "", 400, "bad-call"),
        ("fleet", ask.clone(), "soon", 400, "bad-call"),
        ("fleet", ask.clone(), "0", 400, "bad-call"),
        ("fleet", json!({ "limit": 3 }), "900", 400, "bad-call"),
        ("fleet", json!({ "question": "q", "limt": 3 }), "900", 400, "bad-call"),
        ("unit", ask.clone(), "900", 400, "no-key"),
        ("nothing", ask.clone(), "900", 404, "no-mapping"),
        ("fleet", json!({ "question": "x".repeat(70_000) }), "900", 413, "too-large"),
    ];
    for (path, body, budget, expected, reason) in cases {
        let (code, value) = search(cluster, 0, path, body, budget).await;
        expect_that!(
            (code, value["error"].as_str()),
            eq((expected, Some(reason))),
            "{path} {budget}"
        );
    }
}

/// Checks that protocol violations of leafs never corrupt a response, and that each kind is
/// counted.
async fn check_faulty_leafs(cluster: &LocalCluster, spec: &Spec) {
    let kind = &spec.kinds[0];
    let service = "kahurangi-fleet-w48-0";
    let modes = [
        ("cut-short", "cut-short"),
        ("overlong", "overlong"),
        ("garbage", "garbage"),
        ("stale-postmark", "wrong-postmark"),
        ("two-postmarks", "two-postmarks"),
    ];
    for (index, (mode, counted)) in modes.into_iter().enumerate() {
        cluster
            .control_backends(json!({ "do": mode, "service": service, "count": 2 }))
            .await
            .unwrap();
        let is_counted = async || {
            let url = format!("http://{}/metrics", cluster.caller_addrs[0]);
            let text = local_cluster::text(&cluster.http, url).await.unwrap();
            text.contains(&format!("grebe_dispatch_trouble_total{{kind=\"{counted}\"}}"))
        };
        let mut queries = 0;
        while !is_counted().await {
            queries += 1;
            assert!(queries < 200, "no {counted} was counted in 200 queries");
            let query = Asked { question: format!("{mode}-{index}-{queries}"), key: None };
            let body = json!({ "question": query.question, "limit": kind.limit });
            let (code, value) = search(cluster, 0, &kind.search, body, "5000").await;
            assert_eq!(code, 200, "{mode}: {value}");
            let missing = value["missing"].to_string();
            let (bad, _) = success(kind, &query, Some(&missing), value.to_string().as_bytes());
            expect_that!(bad, is_empty());
        }
        cluster.control_backends(json!({ "do": "good", "service": service })).await.unwrap();
    }
}

async fn check_operators(cluster: &LocalCluster, dir: &std::path::Path) {
    let (code, output) = ctl(cluster, &["explain", "fleet"]);
    expect_that!(code, eq(0));
    expect_that!(output, contains_substring("answers with 3 of 4 shards or bounces"));
    let (code, output) = ctl(cluster, &["--wait", "10", "drain", "b"]);
    expect_that!(code, eq(0), "{output}");
    expect_that!(output, contains_substring("obeyed by all 3 members"));
    let (code, output) = ctl(cluster, &["--output", "json", "get"]);
    expect_that!(code, eq(0));
    let value: Value = serde_json::from_str(&output).unwrap();
    expect_that!(value["config"]["zones"][1]["state"].as_str(), some(eq("drained")));
    let revision = value["revision"].as_u64().unwrap();
    // A superseded expected revision, and a request that is sent twice.
    let (code, _) =
        ctl(cluster, &["--expect-revision", &(revision - 1).to_string(), "undrain", "b"]);
    expect_that!(code, eq(4));
    let (code, one) = ctl(cluster, &["--output", "json", "--request-id", "same", "undrain", "b"]);
    expect_that!(code, eq(0));
    let (_, two) = ctl(cluster, &["--output", "json", "--request-id", "same", "undrain", "b"]);
    let (one, two): (Value, Value) =
        (serde_json::from_str(&one).unwrap(), serde_json::from_str(&two).unwrap());
    expect_that!(two["revision"], eq(&one["revision"]));
    expect_that!(two["again"].as_bool(), some(eq(true)));
    // All findings are reported at once, and nothing is applied.
    let bad = dir.join("bad.json");
    std::fs::write(&bad, r#"{"pools": [{"name": "p"}], "searches": [{"name": "s", "plan": ""}]}"#)
        .unwrap();
    let (code, output) = ctl(cluster, &["apply", bad.to_str().unwrap()]);
    expect_that!(code, eq(3));
    expect_that!(output, contains_substring("pools[0].service"));
    expect_that!(output, contains_substring("searches[0].promise_ms"));
    let (code, output) = ctl(cluster, &["patch", bad.to_str().unwrap()]);
    expect_that!(code, eq(3));
    expect_that!(output, contains_substring("pools[0].service"));
    let (code, output) = ctl(cluster, &["status"]);
    expect_that!(code, eq(0));
    expect_that!(output, contains_substring("q2"));
    // Draining every zone leaves no leafs, and the status shows it.
    for zone in ["a", "b", "c"] {
        expect_that!(ctl(cluster, &["--wait", "10", "drain", zone]).0, eq(0));
    }
    // The followers show it one heartbeat later than the leader.
    let expected = "no leaf may be asked for shard(s) 0, 1, 2, 3; BELOW QUORUM";
    let is_reported = || async { ctl(cluster, &["status"]).1.contains(expected) };
    assert!(
        local_cluster::until(WAIT_TIMEOUT, is_reported).await,
        "{}",
        ctl(cluster, &["status"]).1
    );
    let (code, value) = search(cluster, 0, "fleet", json!({ "question": "q" }), "900").await;
    expect_that!((code, value["error"].as_str()), eq((503, Some("no-leafs"))));
    check_large_configuration(cluster, dir).await;
}

/// Checks that a configuration of several MiB reaches all queriers and is returned unchanged.
async fn check_large_configuration(cluster: &LocalCluster, dir: &std::path::Path) {
    let (_, output) = ctl(cluster, &["--output", "json", "get"]);
    let mut conf = serde_json::from_str::<Value>(&output).unwrap()["config"].clone();
    let pools = conf["pools"].as_array_mut().unwrap();
    for i in 0..2_000 {
        pools.push(json!({ "name": format!("spare-{i}"), "service": format!("spare-{i}"),
                           "labels": { "note": "x".repeat(2_000) } }));
    }
    let file = dir.join("large.json");
    std::fs::write(&file, conf.to_string()).unwrap();
    let (code, output) = ctl(cluster, &["--wait", "15", "apply", file.to_str().unwrap()]);
    expect_that!(code, eq(0), "{output}");
    expect_that!(output, contains_substring("obeyed by all 3 members"));
    let (code, output) = ctl(cluster, &["diff", file.to_str().unwrap()]);
    expect_that!((code, output.as_str()), eq((0, "")));
}

/// Sends a light load while `body` runs, then checks every response against the leafs' logs. Returns
/// the cluster, the result of `body` and the report.
async fn with_background_load<T>(
    cluster: LocalCluster,
    spec: &Spec,
    body: impl AsyncFnOnce(&mut LocalCluster) -> T,
) -> (LocalCluster, T, Value) {
    let mut cluster = cluster;
    let statistics = Rc::new(RefCell::new(CallerStatistics::default()));
    let ready = Rc::new(RefCell::new(cluster.caller_addrs.clone()));
    let far = Instant::now() + Duration::from_secs(600);
    let local = tokio::task::LocalSet::new();
    let caller_addrs = cluster.caller_addrs.clone();
    let (statistics_in, ready_in, kinds) = (statistics.clone(), ready.clone(), spec.kinds.clone());
    let calls = async move {
        tokio::task::spawn_local(poll_readiness(
            grebepath_runtime::http::client::HttpClient::new(2),
            caller_addrs,
            ready_in.clone(),
            far,
        ));
        for (seed, kind) in kinds.into_iter().enumerate() {
            let (http, ready, statistics) = (
                grebepath_runtime::http::client::HttpClient::new(32),
                ready_in.clone(),
                statistics_in.clone(),
            );
            tokio::task::spawn_local(run_load(
                http,
                kind,
                0.1,
                ready,
                statistics,
                seed as u64,
                far,
            ));
        }
        std::future::pending::<()>().await;
    };
    let result = tokio::select! {
        _ = local.run_until(calls) => unreachable!("the load runs until it is dropped"),
        result = body(&mut cluster) => result,
    };
    // Dropping the set cancels all calls in progress; only received responses are checked.
    drop(local);
    let runs = cluster.query_backends("/runs").await.unwrap();
    let output = report(&statistics.borrow(), runs.as_array().unwrap());
    (cluster, result, output)
}

fn successes(output: &Value) -> u64 {
    output["kinds"].as_object().unwrap().values().filter_map(|k| k["full"].as_u64()).sum()
}

#[googletest::test]
fn any_single_process_may_be_killed() {
    run_local(async {
        let (layout, spec) = layout("die", "mohalla", 3);
        let cluster = LocalCluster::start(layout).await.unwrap();
        all_ready(&cluster).await;
        let (cluster, _, output) = with_background_load(cluster, &spec, async |cluster| {
            // The leader of the configuration partition, then the two followers.
            let leader = cluster.config_leader().await.unwrap();
            for (index, controller) in
                [leader, (leader + 1) % 3, (leader + 2) % 3].into_iter().enumerate()
            {
                cluster.controllers[controller].kill();
                // Meanwhile addresses of leafs are reused by another service.
                let reuse = json!({ "do": "reuse", "service": "mohalla-archive-w48-0",
                                    "count": 9, "by": "mohalla-history-w48-0" });
                cluster.control_backends(reuse).await.unwrap();
                let value =
                    json!({ "zones": [{ "name": format!("mark-{index}"), "state": "open" }] });
                let revision = cluster.patch(&value, &format!("mark-{index}")).await.unwrap();
                wait_until_applied(cluster, revision).await;
                // The second one restarts with an empty disk.
                if index == 1 {
                    std::fs::remove_dir_all(cluster.layout.dir.join(format!("seat-{controller}")))
                        .unwrap();
                }
                cluster.controllers[controller].start().unwrap();
                let has_recovered = || async {
                    cluster.status(controller).await.is_ok_and(|s| {
                        s["here"]["parts"].as_array().is_some_and(|p| {
                            p.iter().all(|p| p["role"] == "follower" || p["role"] == "owner")
                        }) && s["here"]["parts"][0]["shown"].as_u64() >= Some(revision)
                    })
                };
                assert!(
                    local_cluster::until(WAIT_TIMEOUT, has_recovered).await,
                    "seat {controller} has not recovered"
                );
            }
            for querier in 0..cluster.queriers.len() {
                cluster.queriers[querier].kill();
                cluster.queriers[querier].start().unwrap();
                assert!(
                    local_cluster::until(WAIT_TIMEOUT, || cluster.is_ready(querier)).await,
                    "querier {querier} has not recovered"
                );
            }
        })
        .await;
        expect_that!(output["violations"].as_u64(), some(eq(0)), "{output}");
        expect_that!(successes(&output), gt(50));
        let state = cluster.query_backends("/state").await.unwrap();
        let (mut misdirected, mut reached) = (0, 0);
        for leaf in state["leafs"].as_array().unwrap() {
            misdirected += leaf["misdirected"].as_u64().unwrap();
            reached += leaf["reached"].as_u64().unwrap();
        }
        // Leafs at reused addresses received identity checks, but no calls for other leafs.
        expect_that!(misdirected, gt(0));
        expect_that!(reached, eq(0));
        let (code, text) = ctl(&cluster, &["--output", "json", "get"]);
        expect_that!(code, eq(0));
        for index in 0..3 {
            expect_that!(text, contains_substring(format!("mark-{index}")));
        }
    });
}

#[googletest::test]
fn all_processes_restart_in_time_and_stop_cleanly() {
    run_local(async {
        let (layout, _) = layout("restart", "mohalla", 3);
        let mut cluster = LocalCluster::start(layout).await.unwrap();
        all_ready(&cluster).await;
        let value = json!({ "zones": [{ "name": "kept", "state": "open" }] });
        let revision = cluster.patch(&value, "kept").await.unwrap();
        for p in cluster.controllers.iter_mut().chain(&mut cluster.queriers) {
            p.kill();
        }
        let started = Instant::now();
        for p in cluster.controllers.iter_mut().chain(&mut cluster.queriers) {
            p.start().unwrap();
        }
        all_ready(&cluster).await;
        expect_that!(started.elapsed(), lt(Duration::from_secs(12)));
        wait_until_applied(&cluster, revision).await;
        // On SIGTERM the querier is no longer ready, then it exits cleanly.
        cluster.queriers[1].signal("TERM").unwrap();
        let is_unready = || async { !cluster.is_ready(1).await };
        assert!(local_cluster::until(WAIT_TIMEOUT, is_unready).await);
        expect_that!(cluster.queriers[1].wait_for_end(WAIT_TIMEOUT), some(eq(0)));
        for controller in 0..3 {
            cluster.controllers[controller].signal("TERM").unwrap();
            expect_that!(cluster.controllers[controller].wait_for_end(WAIT_TIMEOUT), some(eq(0)));
        }
    });
}

#[googletest::test]
fn all_invalid_settings_are_reported_before_any_port_opens() {
    let run = |program: &str, args: &[&str]| {
        let output = std::process::Command::new(program).args(args).output().unwrap();
        (output.status.code(), String::from_utf8_lossy(&output.stderr).to_string())
    };
    let (code, text) = run(
        env!("CARGO_BIN_EXE_controller"),
        &[
            "--seat",
            "3",
            "--listen",
            "localhost:1",
            "--seeds",
            "127.0.0.1:1,127.0.0.1:1,127.0.0.1:2",
        ],
    );
    expect_that!(code, some(eq(2)));
    for expected in ["--seat", "--zone", "--listen", "--inner", "--seeds", "--data"] {
        expect_that!(text, contains_substring(expected));
    }
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("params.json");
    std::fs::write(&file, r#"{"name": "q 1", "zone": "a", "thread": 3}"#).unwrap();
    let (code, text) = run(env!("CARGO_BIN_EXE_querier"), &["--params", file.to_str().unwrap()]);
    expect_that!(code, some(eq(2)));
    for expected in ["--name", "--listen", "--list", "params.thread"] {
        expect_that!(text, contains_substring(expected));
    }
}

#[googletest::test]
fn numeric_settings_of_the_platform_may_be_fractions() {
    // Guards against queriers that exit at startup if a numeric setting is not an integer.
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("fractions.json");
    let settings = |slack: f64| {
        std::fs::write(&file, json!({ "second_slack": slack, "list_rate": 9.8 }).to_string())
            .unwrap();
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_querier"))
            .args(["--params", file.to_str().unwrap()])
            .output()
            .unwrap();
        String::from_utf8_lossy(&output.stderr).to_string()
    };
    // Other settings are missing, so the querier exits and lists every invalid setting.
    for fits in [0.0, 12.6, 52.0] {
        expect_that!(settings(fits), not(contains_substring("second_slack")), "{fits}");
    }
    for wrong in [-0.5, 1e9] {
        expect_that!(settings(wrong), contains_substring("params.second_slack"), "{wrong}");
    }
}
