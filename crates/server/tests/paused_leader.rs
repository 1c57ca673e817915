//! Real controllers whose leader is paused for seconds and resumes with requests queued in its
//! sockets. Guards against answers based on a lost leadership.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{empty_folder, layout, run_local};
use googletest::prelude::*;
use grebepath_runtime::http::client::HttpClient;
use grebepath_simulator::linearizability::{Answer, Base, Effect, Recorder, Verdict, check};
use hyper::Method;
use serde_json::{Value, json};
use testbed::local_cluster;
use testbed::local_cluster::process::Process;

/// Maximum time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a leader is paused: long enough for another controller to become leader and to accept
/// a change, short enough that clients still wait.
const PAUSE: Duration = Duration::from_secs(4);
const CONTROLLERS: usize = 3;

/// Three controllers with a voter slot each; killed when dropped.
struct Controllers {
    processes: Vec<Process>,
    operator_addrs: Vec<SocketAddr>,
    http: HttpClient,
    started_at: Instant,
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // A paused process must be resumed so that it exits.
            let _ = process.signal("CONT");
            process.kill();
        }
    }
}

fn start_controllers(test: &str) -> Controllers {
    let layout = layout(test, "mohalla", 0);
    empty_folder(&layout);
    let ports = local_cluster::free_ports(2 * CONTROLLERS).unwrap();
    let addresses: Vec<SocketAddr> =
        ports.iter().map(|port| SocketAddr::from(([127, 0, 0, 1], *port))).collect();
    let (operator_addrs, inner) = addresses.split_at(CONTROLLERS);
    let seeds: Vec<String> = inner.iter().map(|address| address.to_string()).collect();
    let mut processes: Vec<Process> = (0..CONTROLLERS)
        .map(|controller| {
            let pairs = [
                ("seat", controller.to_string()),
                ("zone", ["a", "b", "c"][controller].to_string()),
                ("listen", operator_addrs[controller].to_string()),
                ("inner", inner[controller].to_string()),
                ("seeds", seeds.join(",")),
                ("first", "true".to_string()),
                ("data", layout.dir.join(format!("data-{controller}")).display().to_string()),
            ];
            Process::controller(&layout, &format!("controller-{controller}"), &pairs)
        })
        .collect();
    processes.iter_mut().for_each(|process| process.start().unwrap());
    let http = grebepath_runtime::http::client::HttpClient::new(16);
    Controllers {
        processes,
        operator_addrs: operator_addrs.to_vec(),
        http,
        started_at: Instant::now(),
    }
}

/// Returns the microseconds since the controllers were started.
fn now(cluster: &Controllers) -> u64 {
    cluster.started_at.elapsed().as_micros() as u64
}

/// Returns the leader of the configuration partition if all controllers agree on it.
async fn leader(cluster: &Controllers) -> Option<usize> {
    let mut found = Vec::new();
    for operator_addr in &cluster.operator_addrs {
        let url = format!("http://{operator_addr}/v1/status");
        let (_, value) =
            local_cluster::request(&cluster.http, Method::GET, url, Vec::new(), &[]).await.ok()?;
        found.push(value["here"]["parts"][0]["owner"].as_u64()? as usize);
    }
    found.iter().all(|leader| *leader == found[0]).then_some(found[0])
}

/// A change of one zone with an expected revision.
struct Change {
    id: String,
    expect: u64,
}

async fn patch(http: HttpClient, operator_addr: SocketAddr, change: &Change) -> (u16, Value) {
    let body = json!({ "zones": [{ "name": change.id, "state": "open" }] });
    let expect = change.expect.to_string();
    let headers = [("request-id", change.id.as_str()), ("expect-revision", expect.as_str())];
    let url = format!("http://{operator_addr}/v1/config");
    let response =
        local_cluster::request(&http, Method::PATCH, url, body.to_string().into_bytes(), &headers);
    response.await.unwrap_or((0, Value::Null))
}

async fn get(http: HttpClient, operator_addr: SocketAddr, path: &str) -> (u16, Value) {
    let url = format!("http://{operator_addr}{path}");
    let received = local_cluster::request(&http, Method::GET, url, Vec::new(), &[]).await;
    received.unwrap_or((0, Value::Null))
}

/// Returns the zones of a configuration as objects of the recorded history.
fn zones(config: &Value) -> BTreeMap<String, String> {
    let list = config["zones"].as_array().into_iter().flatten();
    let pair = |zone: &Value| {
        let text = |key: &str| zone[key].as_str().unwrap_or_default().to_string();
        (text("name"), text("state"))
    };
    list.map(pair).collect()
}

fn answer((code, value): &(u16, Value)) -> Answer {
    match code {
        200 => Answer::Accepted { revision: value["revision"].as_u64().unwrap() },
        412 => Answer::Moved { version: value["revision"].as_u64() },
        422 => Answer::Invalid,
        503 => Answer::Rejected,
        _ => Answer::Unknown,
    }
}

/// Sends a change through a controller and records its outcome.
async fn send_recorded(
    cluster: &Controllers,
    history: &mut Recorder,
    controller: usize,
    change: &Change,
) -> (u16, Value) {
    let number = record_send(cluster, history, controller, change);
    let received = patch(cluster.http.clone(), cluster.operator_addrs[controller], change).await;
    history.answer_write(now(cluster), number, answer(&received));
    received
}

fn record_send(
    cluster: &Controllers,
    history: &mut Recorder,
    controller: usize,
    change: &Change,
) -> grebepath_simulator::linearizability::AttemptNumber {
    let base = Base { revision: Some(change.expect), edition: None };
    let puts = BTreeMap::from([(change.id.clone(), Some("open".to_string()))]);
    let effect = Effect { puts, ..Effect::default() };
    let via = format!("controller {controller}");
    history.send_write(now(cluster), via, (&change.id, 0), base, || effect)
}

/// Reads the configuration through a controller and records the result.
async fn read_recorded(cluster: &Controllers, history: &mut Recorder, controller: usize) -> u64 {
    let number = history.send_read(now(cluster), format!("controller {controller}"));
    let (code, value) =
        get(cluster.http.clone(), cluster.operator_addrs[controller], "/v1/config").await;
    assert_eq!(code, 200, "{value}");
    let revision = value["revision"].as_u64().unwrap();
    history.answer_read(now(cluster), number, (revision, None), zones(&value["config"]));
    revision
}

#[googletest::test]
fn a_resumed_leader_answers_requests_queued_in_its_sockets_correctly() {
    run_local(async {
        let cluster = start_controllers("paused-leader");
        let mut history = Recorder::default();
        for round in 0..3 {
            pause_and_resume(&cluster, &mut history, round).await;
        }
        expect_that!(check(history.history()), eq(&Verdict::Linearizable));
    });
}

/// Pauses the leader with requests queued in its sockets, has a change accepted by another
/// controller, and resumes the former leader.
async fn pause_and_resume(cluster: &Controllers, history: &mut Recorder, round: usize) {
    assert!(
        local_cluster::until(WAIT_TIMEOUT, || async { leader(cluster).await.is_some() }).await,
        "no controller is leader"
    );
    let paused = leader(cluster).await.unwrap();
    let other_controller = (paused + 1) % CONTROLLERS;
    let revision = read_recorded(cluster, history, other_controller).await;
    cluster.processes[paused].signal("STOP").unwrap();
    let paused_at = Instant::now();
    // One change expects the revision that will be accepted elsewhere, the other the outdated one.
    let next = Change { id: format!("next-{round}"), expect: revision + 1 };
    let late = Change { id: format!("late-{round}"), expect: revision };
    let attempts = [&next, &late].map(|change| record_send(cluster, history, paused, change));
    let read_number = history.send_read(now(cluster), format!("controller {paused}"));
    let (http, operator_addr) = (&cluster.http, cluster.operator_addrs[paused]);
    let queued_requests = async {
        tokio::join!(
            patch(http.clone(), operator_addr, &next),
            patch(http.clone(), operator_addr, &late),
            get(http.clone(), operator_addr, "/v1/config"),
            get(http.clone(), operator_addr, "/v1/status"),
        )
    };
    let accept_elsewhere = async {
        let change = Change { id: format!("elsewhere-{round}"), expect: revision };
        let accepted = async |history: &mut Recorder| {
            send_recorded(cluster, history, other_controller, &change).await.0 == 200
        };
        while !accepted(history).await {
            assert!(paused_at.elapsed() < WAIT_TIMEOUT, "no change is accepted elsewhere in time");
        }
        assert!(
            local_cluster::until(WAIT_TIMEOUT, || async { paused_at.elapsed() >= PAUSE }).await
        );
        cluster.processes[paused].signal("CONT").unwrap();
    };
    let ((next_response, late_response, read_response, status_response), ()) =
        tokio::join!(queued_requests, accept_elsewhere);
    let at = now(cluster);
    history.answer_write(at, attempts[0], answer(&next_response));
    history.answer_write(at, attempts[1], answer(&late_response));
    expect_that!(next_response.0, eq(200), "{}", next_response.1);
    expect_that!(late_response.0, any!(eq(412), eq(503), eq(504)), "{}", late_response.1);
    expect_that!(read_response.0, eq(200), "{}", read_response.1);
    let read_revision = read_response.1["revision"].as_u64().unwrap_or(0);
    let objects = zones(&read_response.1["config"]);
    history.answer_read(at, read_number, (read_revision, None), objects);
    expect_that!(status_response.1["trouble"], eq(&Value::Null));
    for controller in 0..CONTROLLERS {
        expect_that!(read_recorded(cluster, history, controller).await, ge(revision + 2));
    }
}
