//! Two platform operators change the same edition concurrently through two of three real
//! controllers. Responses are lost, the leader is killed during a write, and changes are resent.
//! Guards against a resent change that gets another outcome than before.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;
#[path = "platform_orders/foreign.rs"]
mod platform_orders;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use common::{empty_folder, layout, run_local, start_with_retries};
use googletest::prelude::*;
use grebepath_runtime::http::client::HttpClient;
use hyper::Method;
use platform_orders::{BASE_HEADER, CONFIG_PATH, ConfigChange, full_config, patch};
use serde_json::{Value, json};
use testbed::local_cluster;
use testbed::local_cluster::error::LocalClusterError;
use testbed::local_cluster::process::Process;
use testbed::local_cluster::until;
use testbed::redirects::FollowedRequest;

/// Maximum time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Three controllers without queriers. Dropping it kills its processes.
struct ControllerCluster {
    procs: Vec<Process>,
    operator_addrs: Vec<SocketAddr>,
    http: HttpClient,
}

impl Drop for ControllerCluster {
    fn drop(&mut self) {
        self.procs.iter_mut().for_each(Process::kill);
    }
}

async fn start_cluster(test: &str) -> ControllerCluster {
    let cluster = start_with_retries(|| try_start_cluster(test));
    assert!(until(WAIT_TIMEOUT, async || leader(&cluster).await.is_some()).await, "no leader");
    cluster
}

fn try_start_cluster(test: &str) -> std::result::Result<ControllerCluster, LocalClusterError> {
    let layout = layout(test, test, 0);
    empty_folder(&layout);
    let ports = local_cluster::free_ports(6).unwrap();
    let at = |n: usize| SocketAddr::from(([127, 0, 0, 1], ports[n]));
    let seeds = (3..6).map(|n| at(n).to_string()).collect::<Vec<_>>().join(",");
    let procs: Vec<Process> = (0..3)
        .map(|n| {
            let pairs = [
                ("seat", n.to_string()),
                ("zone", ["a", "b", "c"][n].to_string()),
                ("listen", at(n).to_string()),
                ("inner", at(n + 3).to_string()),
                ("seeds", seeds.clone()),
                ("data", layout.dir.join(format!("data-{n}")).display().to_string()),
                ("dialect", "platform".to_string()),
            ];
            Process::controller(&layout, &format!("controller-{n}"), &pairs)
        })
        .collect();
    let operator_addrs = (0..3).map(at).collect();
    let mut cluster = ControllerCluster {
        procs,
        operator_addrs,
        http: grebepath_runtime::http::client::HttpClient::new(8),
    };
    cluster.procs.iter_mut().try_for_each(Process::start)?;
    Ok(cluster)
}

/// Returns the leader of the configuration partition.
async fn leader(cluster: &ControllerCluster) -> Option<usize> {
    for n in 0..3 {
        let url = format!("http://{}/v1/status", cluster.operator_addrs[n]);
        let received =
            local_cluster::request(&cluster.http, Method::GET, url, Vec::new(), &[]).await;
        if received.is_ok_and(|(_, val)| val["here"]["parts"][0]["role"] == "owner") {
            return Some(n);
        }
    }
    None
}

/// Sends a change once. Returns the status, or zero without a response.
async fn send(cluster: &ControllerCluster, controller: usize, change: &ConfigChange) -> u16 {
    let url = format!("http://{}{CONFIG_PATH}", cluster.operator_addrs[controller % 3]);
    let base = change.base.to_string();
    let body = change.text.clone().into_bytes();
    let headers = [(BASE_HEADER, base.as_str())];
    let received =
        local_cluster::request(&cluster.http, change.method.clone(), url, body, &headers).await;
    received.map_or(0, |(status, _)| status)
}

/// Sends a change to one controller after the other until the response is definite (200 to 499).
async fn send_until_definite(
    cluster: &ControllerCluster,
    controller: usize,
    change: &ConfigChange,
) -> u16 {
    let (mut next, mut status) = (controller, 0);
    let end = std::time::Instant::now() + WAIT_TIMEOUT;
    while !(200..500).contains(&status) {
        assert!(std::time::Instant::now() < end, "no definite response, last status {status}");
        status = send(cluster, next, change).await;
        next += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    status
}

/// The outcome of the changes of a round.
struct Round {
    accepted: ConfigChange,
    rejected: Option<ConfigChange>,
}

/// Both operators send concurrently through two controllers; exactly one change is accepted.
async fn race(cluster: &ControllerCluster, number: usize, rivals: [ConfigChange; 2]) -> Round {
    let [a, b] = &rivals;
    let (first, second) = tokio::join!(
        send_until_definite(cluster, number, a),
        send_until_definite(cluster, number + 1, b)
    );
    expect_that!(vec![first, second], unordered_elements_are![eq(&200), eq(&412)]);
    let [a, b] = rivals;
    let (accepted, rejected) = if first == 200 { (a, b) } else { (b, a) };
    Round { accepted, rejected: Some(rejected) }
}

/// One operator sends a change and the leader is killed. Then the same change is resent through
/// another controller, concurrently with a rival change.
async fn race_after_leader_kill(
    cluster: &mut ControllerCluster,
    number: usize,
    rivals: [ConfigChange; 2],
) -> Round {
    let leader_index = leader(cluster).await.unwrap_or(0);
    let [a, b] = rivals;
    let wait = Duration::from_millis(number as u64 * 3 % 17);
    {
        let sending = send(cluster, leader_index + number % 2, &a);
        // The response, if any arrives, is ignored.
        let _ = tokio::time::timeout(wait, sending).await;
    }
    cluster.procs[leader_index].kill();
    let round = race(cluster, leader_index + 1, [a, b]).await;
    cluster.procs[leader_index].start().unwrap();
    round
}

/// Checks that every earlier change still gets its original outcome, through any controller.
async fn check_outcomes_unchanged(cluster: &ControllerCluster, rounds: &[Round], context: &str) {
    for (number, round) in rounds.iter().enumerate() {
        let status = send_until_definite(cluster, number, &round.accepted).await;
        expect_that!(status, eq(200), "{context}: the change accepted in round {number}");
        if let Some(rejected) = &round.rejected {
            let status = send_until_definite(cluster, number + 1, rejected).await;
            expect_that!(status, eq(412), "{context}: the change rejected in round {number}");
        }
    }
}

/// Returns the current edition and the routes as JSON text.
async fn read_edition_and_routes(cluster: &ControllerCluster) -> (Value, String) {
    let url = format!("http://{}{CONFIG_PATH}", cluster.operator_addrs[0]);
    let mut received = Value::Null;
    for _ in 0..50 {
        match local_cluster::request(&cluster.http, Method::GET, url.clone(), Vec::new(), &[]).await
        {
            Ok((200, val)) => {
                received = val;
                break;
            }
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
    (received["edition"].clone(), received["routes"].to_string())
}

#[googletest::test]
fn concurrent_changes_of_one_edition_keep_their_outcome_after_leader_failures() {
    run_local(async {
        let mut cluster = start_cluster("rival-operators").await;
        let first = full_config(0, 1, "first");
        expect_that!(send_until_definite(&cluster, 0, &first).await, eq(200));
        let mut rounds = vec![Round { accepted: first, rejected: None }];
        for number in 1..=25usize {
            // Both changes lead to the same edition number.
            let base = number as u64;
            let name = |who: &str| format!("{who}-{number}");
            let rivals = match number % 3 {
                0 => [
                    full_config(base, base + 1, &name("a")),
                    full_config(base, base + 1, &name("b")),
                ],
                1 => [patch(base, base + 1, &name("a")), patch(base, base + 1, &name("b"))],
                _ => [full_config(base, base + 1, &name("a")), patch(base, base + 1, &name("b"))],
            };
            let round = match number % 5 {
                0 => race_after_leader_kill(&mut cluster, number, rivals).await,
                _ => race(&cluster, number, rivals).await,
            };
            // The accepted change is resent immediately through the third controller.
            expect_that!(send_until_definite(&cluster, number + 2, &round.accepted).await, eq(200));
            let (edition, routes) = read_edition_and_routes(&cluster).await;
            expect_that!(edition, eq(&json!(base + 1)));
            let accepted: Value = serde_json::from_str(&round.accepted.text).unwrap();
            let list =
                if round.accepted.method == Method::PUT { &accepted } else { &accepted["post"] };
            let name = list["routes"][0]["name"].as_str().unwrap();
            expect_that!(routes, contains_substring(format!("\"{name}\"")));
            rounds.push(round);
        }
        check_outcomes_unchanged(&cluster, &rounds, "at the end").await;
        let leader_index = leader(&cluster).await.expect("a leader");
        cluster.procs[leader_index].kill();
        check_outcomes_unchanged(&cluster, &rounds, "without the leader").await;
        cluster.procs.iter_mut().for_each(Process::kill);
        cluster.procs.iter_mut().for_each(|p| p.start().unwrap());
        check_outcomes_unchanged(&cluster, &rounds, "after all were killed").await;
    });
}

#[googletest::test]
fn grebectl_retries_under_its_request_id() {
    run_local(async {
        let cluster = start_cluster("rival-grebectl").await;
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("rival-grebectl");
        let at: Vec<String> = cluster.operator_addrs.iter().map(|d| d.to_string()).collect();
        let file = |name: &str, zone: &str| {
            let path = dir.join(name);
            let value = json!({ "zones": [{ "name": zone, "state": "open" }] });
            std::fs::write(&path, value.to_string()).unwrap();
            path.display().to_string()
        };
        let (a, b) = (file("a.json", "z-a"), file("b.json", "z-b"));
        let patch = |file: &str, expect: &str| {
            let out = std::process::Command::new(env!("CARGO_BIN_EXE_grebectl"))
                .env("GREBE_AT", at.join(","))
                .args(["--request-id", "one", "--expect-revision", expect, "patch", file])
                .output()
                .unwrap();
            let text = String::from_utf8_lossy(&out.stdout).into_owned();
            (out.status.code(), text)
        };
        expect_that!(patch(&a, "0").0, some(eq(0)));
        let mut others = Vec::new();
        for n in 0..3 {
            // A change without a request id, from a client that follows redirects.
            let body = json!({ "zones": [{ "name": format!("other-{n}"), "state": "open" }] });
            let request = FollowedRequest::new(Method::PATCH, "/v1/config", body.to_string());
            let sent = request
                .send(&cluster.http, &cluster.operator_addrs[n].to_string(), WAIT_TIMEOUT)
                .await;
            others.push(sent.unwrap().status().as_u16());
        }
        expect_that!(others, each(eq(&200)));
        let (exit_code, text) = patch(&a, "0");
        expect_that!(exit_code, some(eq(0)), "{text}");
        expect_that!(text, contains_substring("revision 1"));
        let (exit_code, text) = patch(&b, "0");
        expect_that!(exit_code, some(eq(3)), "{text}");
        expect_that!(text, contains_substring("used for another request"));
    });
}
