//! Real processes on loopback: the whole path, and the death of any one.

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

async fn all_ready(f: &LocalCluster) {
    for i in 0..f.queriers.len() {
        if f.queriers[i].child.is_some() {
            assert!(
                local_cluster::until(WAIT_TIMEOUT, || f.is_ready(i)).await,
                "querier {i} is not ready"
            );
        }
    }
}

/// Waits until every running querier obeys a revision.
async fn all_obey(f: &LocalCluster, revision: u64) {
    for i in 0..f.queriers.len() {
        if f.queriers[i].child.is_some() {
            let obeys = || async { f.applied_revision(i).await.is_some_and(|r| r >= revision) };
            assert!(
                local_cluster::until(WAIT_TIMEOUT, obeys).await,
                "querier {i} does not obey {revision}"
            );
        }
    }
}

async fn search(f: &LocalCluster, i: usize, path: &str, body: Value, budget: &str) -> (u16, Value) {
    let url = format!("http://{}/v1/search/{path}", f.caller_addrs[i]);
    let heads = [("budget-ms", budget)];
    let heads = if budget.is_empty() { &heads[..0] } else { &heads[..] };
    local_cluster::request(&f.http, Method::POST, url, body.to_string().into_bytes(), heads)
        .await
        .unwrap()
}

/// Runs grebectl against the fleet; gives exit code and output.
fn ctl(f: &LocalCluster, args: &[&str]) -> (i32, String) {
    let at: Vec<String> = f.operator_addrs.iter().map(|d| d.to_string()).collect();
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_grebectl"))
        .env("GREBE_AT", at.join(","))
        .args(args)
        .output()
        .unwrap();
    let text =
        format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    (out.status.code().unwrap_or(-1), text)
}

#[googletest::test]
fn callers_and_operators_are_served() {
    run_local(async {
        let (layout, spec) = layout("served", "kahurangi", 3);
        let dir = layout.dir.clone();
        let f = LocalCluster::start(layout).await.unwrap();
        all_ready(&f).await;
        callers(&f, &spec).await;
        false_leafs(&f, &spec).await;
        operators(&f, &dir).await;
        let state = f.query_backends("/state").await.unwrap();
        for leaf in state["leafs"].as_array().unwrap() {
            expect_that!(leaf["changed"].as_u64(), some(eq(0)));
            expect_that!(leaf["misdirected"].as_u64(), some(eq(0)));
        }
    });
}

async fn callers(f: &LocalCluster, spec: &Spec) {
    for (n, kind) in spec.kinds.iter().enumerate() {
        let asked =
            Asked { question: format!("what-{n}"), key: kind.lookup.then(|| format!("unit-{n}")) };
        let mut body = json!({ "question": asked.question, "limit": kind.limit });
        if let Some(key) = &asked.key {
            body["key"] = json!(key);
        }
        let (code, val) = search(f, n % 3, &kind.search, body, "5000").await;
        assert_eq!(code, 200, "{val}");
        let missing = val["missing"].to_string();
        let (bad, _) = success(kind, &asked, Some(&missing), val.to_string().as_bytes());
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
    for (path, body, budget, want, reason) in cases {
        let (code, val) = search(f, 0, path, body, budget).await;
        expect_that!((code, val["error"].as_str()), eq((want, Some(reason))), "{path} {budget}");
    }
}

/// Leafs that answer falsely on the connection never spoil an answer, and each kind
/// of it is counted.
async fn false_leafs(f: &LocalCluster, spec: &Spec) {
    let kind = &spec.kinds[0];
    let service = "kahurangi-fleet-w48-0";
    let modes = [
        ("cut-short", "cut-short"),
        ("overlong", "overlong"),
        ("garbage", "garbage"),
        ("stale-postmark", "wrong-postmark"),
        ("two-postmarks", "two-postmarks"),
    ];
    for (n, (mode, counted)) in modes.into_iter().enumerate() {
        f.control_backends(json!({ "do": mode, "service": service, "count": 2 })).await.unwrap();
        let seen = async || {
            let url = format!("http://{}/metrics", f.caller_addrs[0]);
            let text = local_cluster::text(&f.http, url).await.unwrap();
            text.contains(&format!("grebe_dispatch_trouble_total{{kind=\"{counted}\"}}"))
        };
        let mut asked = 0;
        while !seen().await {
            asked += 1;
            assert!(asked < 200, "no {counted} was counted in 200 queries");
            let what = Asked { question: format!("{mode}-{n}-{asked}"), key: None };
            let body = json!({ "question": what.question, "limit": kind.limit });
            let (code, val) = search(f, 0, &kind.search, body, "5000").await;
            assert_eq!(code, 200, "{mode}: {val}");
            let missing = val["missing"].to_string();
            let (bad, _) = success(kind, &what, Some(&missing), val.to_string().as_bytes());
            expect_that!(bad, is_empty());
        }
        f.control_backends(json!({ "do": "good", "service": service })).await.unwrap();
    }
}

async fn operators(f: &LocalCluster, dir: &std::path::Path) {
    let (code, out) = ctl(f, &["explain", "fleet"]);
    expect_that!(code, eq(0));
    expect_that!(out, contains_substring("answers with 3 of 4 shards or bounces"));
    let (code, out) = ctl(f, &["--wait", "10", "drain", "b"]);
    expect_that!(code, eq(0), "{out}");
    expect_that!(out, contains_substring("obeyed by all 3 members"));
    let (code, out) = ctl(f, &["--output", "json", "get"]);
    expect_that!(code, eq(0));
    let val: Value = serde_json::from_str(&out).unwrap();
    expect_that!(val["config"]["zones"][1]["state"].as_str(), some(eq("drained")));
    let revision = val["revision"].as_u64().unwrap();
    // A revision that has moved on, and a request that is sent twice.
    let (code, _) = ctl(f, &["--expect-revision", &(revision - 1).to_string(), "undrain", "b"]);
    expect_that!(code, eq(4));
    let (code, one) = ctl(f, &["--output", "json", "--request-id", "same", "undrain", "b"]);
    expect_that!(code, eq(0));
    let (_, two) = ctl(f, &["--output", "json", "--request-id", "same", "undrain", "b"]);
    let (one, two): (Value, Value) =
        (serde_json::from_str(&one).unwrap(), serde_json::from_str(&two).unwrap());
    expect_that!(two["revision"], eq(&one["revision"]));
    expect_that!(two["again"].as_bool(), some(eq(true)));
    // Findings together, and nothing applied.
    let bad = dir.join("bad.json");
    std::fs::write(&bad, r#"{"pools": [{"name": "p"}], "searches": [{"name": "s", "plan": ""}]}"#)
        .unwrap();
    let (code, out) = ctl(f, &["apply", bad.to_str().unwrap()]);
    expect_that!(code, eq(3));
    expect_that!(out, contains_substring("pools[0].service"));
    expect_that!(out, contains_substring("searches[0].promise_ms"));
    let (code, out) = ctl(f, &["patch", bad.to_str().unwrap()]);
    expect_that!(code, eq(3));
    expect_that!(out, contains_substring("pools[0].service"));
    let (code, out) = ctl(f, &["status"]);
    expect_that!(code, eq(0));
    expect_that!(out, contains_substring("q2"));
    // Emptying every zone leaves no leafs, and status says so.
    for zone in ["a", "b", "c"] {
        expect_that!(ctl(f, &["--wait", "10", "drain", zone]).0, eq(0));
    }
    // The other seats show it a beat after the owner.
    let want = "no leaf may be asked for shard(s) 0, 1, 2, 3; BELOW QUORUM";
    let said = || async { ctl(f, &["status"]).1.contains(want) };
    assert!(local_cluster::until(WAIT_TIMEOUT, said).await, "{}", ctl(f, &["status"]).1);
    let (code, val) = search(f, 0, "fleet", json!({ "question": "q" }), "900").await;
    expect_that!((code, val["error"].as_str()), eq((503, Some("no-leafs"))));
    large(f, dir).await;
}

/// A configuration of several MiB passes through every part of the path.
async fn large(f: &LocalCluster, dir: &std::path::Path) {
    let (_, out) = ctl(f, &["--output", "json", "get"]);
    let mut conf = serde_json::from_str::<Value>(&out).unwrap()["config"].clone();
    let pools = conf["pools"].as_array_mut().unwrap();
    for i in 0..2_000 {
        pools.push(json!({ "name": format!("spare-{i}"), "service": format!("spare-{i}"),
                           "labels": { "note": "x".repeat(2_000) } }));
    }
    let file = dir.join("large.json");
    std::fs::write(&file, conf.to_string()).unwrap();
    let (code, out) = ctl(f, &["--wait", "15", "apply", file.to_str().unwrap()]);
    expect_that!(code, eq(0), "{out}");
    expect_that!(out, contains_substring("obeyed by all 3 members"));
    let (code, out) = ctl(f, &["diff", file.to_str().unwrap()]);
    expect_that!((code, out.as_str()), eq((0, "")));
}

/// Sends light traffic for as long as `body` takes, then checks every answer
/// against the leafs' own log.
async fn under_traffic<T>(
    f: LocalCluster,
    spec: &Spec,
    body: impl AsyncFnOnce(&mut LocalCluster) -> T,
) -> (LocalCluster, T, Value) {
    let mut f = f;
    let seen = Rc::new(RefCell::new(CallerStatistics::default()));
    let ready = Rc::new(RefCell::new(f.caller_addrs.clone()));
    let far = Instant::now() + Duration::from_secs(600);
    let local = tokio::task::LocalSet::new();
    let caller_addrs = f.caller_addrs.clone();
    let (seen_in, ready_in, kinds) = (seen.clone(), ready.clone(), spec.kinds.clone());
    let calls = async move {
        tokio::task::spawn_local(poll_readiness(
            grebepath_runtime::http::client::HttpClient::new(2),
            caller_addrs,
            ready_in.clone(),
            far,
        ));
        for (i, kind) in kinds.into_iter().enumerate() {
            let (http, ready, seen) = (
                grebepath_runtime::http::client::HttpClient::new(32),
                ready_in.clone(),
                seen_in.clone(),
            );
            tokio::task::spawn_local(run_load(http, kind, 0.1, ready, seen, i as u64, far));
        }
        std::future::pending::<()>().await;
    };
    let got = tokio::select! {
        _ = local.run_until(calls) => unreachable!("the load has no end of its own"),
        got = body(&mut f) => got,
    };
    // The dropped set ends all calls under way; what was answered is checked.
    drop(local);
    let runs = f.query_backends("/runs").await.unwrap();
    let out = report(&seen.borrow(), runs.as_array().unwrap());
    (f, got, out)
}

fn successes(out: &Value) -> u64 {
    out["kinds"].as_object().unwrap().values().filter_map(|k| k["full"].as_u64()).sum()
}

#[googletest::test]
fn any_single_process_may_be_killed() {
    run_local(async {
        let (layout, spec) = layout("die", "mohalla", 3);
        let f = LocalCluster::start(layout).await.unwrap();
        all_ready(&f).await;
        let (f, _, out) = under_traffic(f, &spec, async |f| {
            // The owner of the configuration, then the other two seats.
            let owner = f.config_leader().await.unwrap();
            for (n, seat) in [owner, (owner + 1) % 3, (owner + 2) % 3].into_iter().enumerate() {
                f.controllers[seat].kill();
                // Addresses of leafs pass to another service meanwhile.
                let reuse = json!({ "do": "reuse", "service": "mohalla-archive-w48-0",
                                    "count": 9, "by": "mohalla-history-w48-0" });
                f.control_backends(reuse).await.unwrap();
                let val = json!({ "zones": [{ "name": format!("mark-{n}"), "state": "open" }] });
                let revision = f.patch(&val, &format!("mark-{n}")).await.unwrap();
                all_obey(f, revision).await;
                // The second comes back as an empty machine.
                if n == 1 {
                    std::fs::remove_dir_all(f.layout.dir.join(format!("seat-{seat}"))).unwrap();
                }
                f.controllers[seat].start().unwrap();
                let back = || async {
                    f.status(seat).await.is_ok_and(|s| {
                        s["here"]["parts"].as_array().is_some_and(|p| {
                            p.iter().all(|p| p["role"] == "follower" || p["role"] == "owner")
                        }) && s["here"]["parts"][0]["shown"].as_u64() >= Some(revision)
                    })
                };
                assert!(
                    local_cluster::until(WAIT_TIMEOUT, back).await,
                    "seat {seat} is not whole again"
                );
            }
            for i in 0..f.queriers.len() {
                f.queriers[i].kill();
                f.queriers[i].start().unwrap();
                assert!(
                    local_cluster::until(WAIT_TIMEOUT, || f.is_ready(i)).await,
                    "querier {i} is not back"
                );
            }
        })
        .await;
        expect_that!(out["violations"].as_u64(), some(eq(0)), "{out}");
        expect_that!(successes(&out), gt(50));
        let state = f.query_backends("/state").await.unwrap();
        let (mut asked, mut reached) = (0, 0);
        for leaf in state["leafs"].as_array().unwrap() {
            asked += leaf["misdirected"].as_u64().unwrap();
            reached += leaf["reached"].as_u64().unwrap();
        }
        // Strangers were asked who they are, and got no work of others.
        expect_that!(asked, gt(0));
        expect_that!(reached, eq(0));
        let (code, text) = ctl(&f, &["--output", "json", "get"]);
        expect_that!(code, eq(0));
        for n in 0..3 {
            expect_that!(text, contains_substring(format!("mark-{n}")));
        }
    });
}

#[googletest::test]
fn all_processes_restart_in_time_and_stop_cleanly() {
    run_local(async {
        let (layout, _) = layout("restart", "mohalla", 3);
        let mut f = LocalCluster::start(layout).await.unwrap();
        all_ready(&f).await;
        let val = json!({ "zones": [{ "name": "kept", "state": "open" }] });
        let revision = f.patch(&val, "kept").await.unwrap();
        for p in f.controllers.iter_mut().chain(&mut f.queriers) {
            p.kill();
        }
        let begun = Instant::now();
        for p in f.controllers.iter_mut().chain(&mut f.queriers) {
            p.start().unwrap();
        }
        all_ready(&f).await;
        expect_that!(begun.elapsed(), lt(Duration::from_secs(12)));
        all_obey(&f, revision).await;
        // A wish to stop: not ready at once, then a clean end.
        f.queriers[1].signal("TERM").unwrap();
        let gone = || async { !f.is_ready(1).await };
        assert!(local_cluster::until(WAIT_TIMEOUT, gone).await);
        expect_that!(f.queriers[1].wait_for_end(WAIT_TIMEOUT), some(eq(0)));
        for i in 0..3 {
            f.controllers[i].signal("TERM").unwrap();
            expect_that!(f.controllers[i].wait_for_end(WAIT_TIMEOUT), some(eq(0)));
        }
    });
}

#[googletest::test]
fn all_invalid_settings_are_reported_before_any_port_opens() {
    let run = |program: &str, args: &[&str]| {
        let out = std::process::Command::new(program).args(args).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&out.stderr).to_string())
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
    for want in ["--seat", "--zone", "--listen", "--inner", "--seeds", "--data"] {
        expect_that!(text, contains_substring(want));
    }
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("params.json");
    std::fs::write(&file, r#"{"name": "q 1", "zone": "a", "thread": 3}"#).unwrap();
    let (code, text) = run(env!("CARGO_BIN_EXE_querier"), &["--params", file.to_str().unwrap()]);
    expect_that!(code, some(eq(2)));
    for want in ["--name", "--listen", "--list", "params.thread"] {
        expect_that!(text, contains_substring(want));
    }
}

#[googletest::test]
fn numeric_settings_of_the_platform_may_be_fractions() {
    // Guards against queriers that end at their start when a bound is no whole number.
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("fractions.json");
    let settings = |slack: f64| {
        std::fs::write(&file, json!({ "second_slack": slack, "list_rate": 9.8 }).to_string())
            .unwrap();
        let out = std::process::Command::new(env!("CARGO_BIN_EXE_querier"))
            .args(["--params", file.to_str().unwrap()])
            .output()
            .unwrap();
        String::from_utf8_lossy(&out.stderr).to_string()
    };
    // The rest of the settings is missing, so it ends and says what it would not take.
    for fits in [0.0, 12.6, 52.0] {
        expect_that!(settings(fits), not(contains_substring("second_slack")), "{fits}");
    }
    for wrong in [-0.5, 1e9] {
        expect_that!(settings(wrong), contains_substring("params.second_slack"), "{wrong}");
    }
}
