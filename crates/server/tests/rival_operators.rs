//! Two operators of the users' platform at three real controllers: they change
//! one edition at the same time through two of them, answers get lost, the leader
//! is killed in the middle of a write, and orders are sent again.

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
use platform_orders::{BASE_HEADER, CONFIG_PATH, Order, patch, whole};
use serde_json::{Value, json};
use testbed::local_cluster;
use testbed::local_cluster::error::LocalClusterError;
use testbed::local_cluster::process::Process;
use testbed::local_cluster::until;
use testbed::redirects::FollowedRequest;

/// Maximum time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Three controllers without queriers. Dropping it kills its processes.
struct ControllerState {
    procs: Vec<Process>,
    operator_addrs: Vec<SocketAddr>,
    http: HttpClient,
}

impl Drop for ControllerState {
    fn drop(&mut self) {
        self.procs.iter_mut().for_each(Process::kill);
    }
}

async fn core(test: &str) -> ControllerState {
    let core = start_with_retries(|| started(test));
    assert!(until(WAIT_TIMEOUT, async || leader(&core).await.is_some()).await, "no leader");
    core
}

fn started(test: &str) -> std::result::Result<ControllerState, LocalClusterError> {
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
    let mut core = ControllerState {
        procs,
        operator_addrs,
        http: grebepath_runtime::http::client::HttpClient::new(8),
    };
    core.procs.iter_mut().try_for_each(Process::start)?;
    Ok(core)
}

/// The controller that leads the configuration.
async fn leader(core: &ControllerState) -> Option<usize> {
    for n in 0..3 {
        let url = format!("http://{}/v1/status", core.operator_addrs[n]);
        let got = local_cluster::request(&core.http, Method::GET, url, Vec::new(), &[]).await;
        if got.is_ok_and(|(_, val)| val["here"]["parts"][0]["role"] == "owner") {
            return Some(n);
        }
    }
    None
}

/// Sends an order once; zero without an answer.
async fn send(core: &ControllerState, door: usize, order: &Order) -> u16 {
    let url = format!("http://{}{CONFIG_PATH}", core.operator_addrs[door % 3]);
    let base = order.base.to_string();
    let body = order.text.clone().into_bytes();
    let heads = [(BASE_HEADER, base.as_str())];
    let got = local_cluster::request(&core.http, order.method.clone(), url, body, &heads).await;
    got.map_or(0, |(code, _)| code)
}

/// Sends an order to one door after the other until it has a clear answer.
async fn clear(core: &ControllerState, door: usize, order: &Order) -> u16 {
    let (mut next, mut code) = (door, 0);
    let end = std::time::Instant::now() + WAIT_TIMEOUT;
    while !(200..500).contains(&code) {
        assert!(std::time::Instant::now() < end, "no clear answer, last {code}");
        code = send(core, next, order).await;
        next += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    code
}

/// What became of the orders of a round.
struct Round {
    taken: Order,
    refused: Option<Order>,
}

/// Both operators send at once through two doors; one of them wins.
async fn race(core: &ControllerState, number: usize, pair: [Order; 2]) -> Round {
    let [a, b] = &pair;
    let (first, second) = tokio::join!(clear(core, number, a), clear(core, number + 1, b));
    expect_that!(vec![first, second], unordered_elements_are![eq(&200), eq(&412)]);
    let [a, b] = pair;
    let (taken, refused) = if first == 200 { (a, b) } else { (b, a) };
    Round { taken, refused: Some(refused) }
}

/// One operator sends, the leader is killed, and the same is sent again through
/// another door beside a rival.
async fn kill_and_race(core: &mut ControllerState, number: usize, pair: [Order; 2]) -> Round {
    let leads = leader(core).await.unwrap_or(0);
    let [a, b] = pair;
    let wait = Duration::from_millis(number as u64 * 3 % 17);
    {
        let sending = send(core, leads + number % 2, &a);
        // Its answer, if there is one, is not looked at.
        let _ = tokio::time::timeout(wait, sending).await;
    }
    core.procs[leads].kill();
    let round = race(core, leads + 1, [a, b]).await;
    core.procs[leads].start().unwrap();
    round
}

/// Every order of the past gets the answer that it got, through any door.
async fn all_again(core: &ControllerState, rounds: &[Round], when: &str) {
    for (number, round) in rounds.iter().enumerate() {
        let code = clear(core, number, &round.taken).await;
        expect_that!(code, eq(200), "{when}: the order taken in round {number}");
        if let Some(refused) = &round.refused {
            let code = clear(core, number + 1, refused).await;
            expect_that!(code, eq(412), "{when}: the order refused in round {number}");
        }
    }
}

/// The route's name and the edition as they are read back.
async fn read(core: &ControllerState) -> (Value, String) {
    let url = format!("http://{}{CONFIG_PATH}", core.operator_addrs[0]);
    let mut got = Value::Null;
    for _ in 0..50 {
        match local_cluster::request(&core.http, Method::GET, url.clone(), Vec::new(), &[]).await {
            Ok((200, val)) => {
                got = val;
                break;
            }
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
    (got["edition"].clone(), got["routes"].to_string())
}

#[googletest::test]
fn concurrent_changes_of_one_edition_keep_their_outcome_after_leader_failures() {
    run_local(async {
        let mut core = core("rival-operators").await;
        let first = whole(0, 1, "first");
        expect_that!(clear(&core, 0, &first).await, eq(200));
        let mut rounds = vec![Round { taken: first, refused: None }];
        for number in 1..=25usize {
            // Both pick the same number in most rounds.
            let base = number as u64;
            let name = |who: &str| format!("{who}-{number}");
            let pair = match number % 3 {
                0 => [whole(base, base + 1, &name("a")), whole(base, base + 1, &name("b"))],
                1 => [patch(base, base + 1, &name("a")), patch(base, base + 1, &name("b"))],
                _ => [whole(base, base + 1, &name("a")), patch(base, base + 1, &name("b"))],
            };
            let round = match number % 5 {
                0 => kill_and_race(&mut core, number, pair).await,
                _ => race(&core, number, pair).await,
            };
            // Sent again at once, through the third door, by itself.
            expect_that!(clear(&core, number + 2, &round.taken).await, eq(200));
            let (edition, routes) = read(&core).await;
            expect_that!(edition, eq(&json!(base + 1)));
            let taken: Value = serde_json::from_str(&round.taken.text).unwrap();
            let list = if round.taken.method == Method::PUT { &taken } else { &taken["post"] };
            let name = list["routes"][0]["name"].as_str().unwrap();
            expect_that!(routes, contains_substring(format!("\"{name}\"")));
            rounds.push(round);
        }
        all_again(&core, &rounds, "at the end").await;
        let leads = leader(&core).await.expect("a leader");
        core.procs[leads].kill();
        all_again(&core, &rounds, "without the leader").await;
        core.procs.iter_mut().for_each(Process::kill);
        core.procs.iter_mut().for_each(|p| p.start().unwrap());
        all_again(&core, &rounds, "after all were killed").await;
    });
}

#[googletest::test]
fn grebectl_retries_under_its_request_id() {
    run_local(async {
        let core = core("rival-grebectl").await;
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("rival-grebectl");
        let at: Vec<String> = core.operator_addrs.iter().map(|d| d.to_string()).collect();
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
            // Without an id: a caller that follows redirections.
            let body = json!({ "zones": [{ "name": format!("other-{n}"), "state": "open" }] });
            let request = FollowedRequest::new(Method::PATCH, "/v1/config", body.to_string());
            let sent =
                request.send(&core.http, &core.operator_addrs[n].to_string(), WAIT_TIMEOUT).await;
            others.push(sent.unwrap().status().as_u16());
        }
        expect_that!(others, each(eq(&200)));
        let (code, text) = patch(&a, "0");
        expect_that!(code, some(eq(0)), "{text}");
        expect_that!(text, contains_substring("revision 1"));
        let (code, text) = patch(&b, "0");
        expect_that!(code, some(eq(3)), "{text}");
        expect_that!(text, contains_substring("used for another request"));
    });
}
