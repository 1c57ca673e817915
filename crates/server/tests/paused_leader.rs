//! Real controllers whose leader is stopped for seconds and goes on with orders
//! in its sockets that came meanwhile.

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
/// How long a leader is stopped: long enough for another to lead and to accept a
/// change, short enough that operators still wait.
const PAUSE: Duration = Duration::from_secs(4);
const CONTROLLERS: usize = 3;

/// Three controllers with a voter slot each; killed when dropped.
struct Controllers {
    processes: Vec<Process>,
    operator_addrs: Vec<SocketAddr>,
    http: HttpClient,
    began: Instant,
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // One that is stopped would not end.
            let _ = process.signal("CONT");
            process.kill();
        }
    }
}

fn controllers(test: &str) -> Controllers {
    let layout = layout(test, "mohalla", 0);
    empty_folder(&layout);
    let ports = local_cluster::free_ports(2 * CONTROLLERS).unwrap();
    let addresses: Vec<SocketAddr> =
        ports.iter().map(|port| SocketAddr::from(([127, 0, 0, 1], *port))).collect();
    let (operator_addrs, inner) = addresses.split_at(CONTROLLERS);
    let seeds: Vec<String> = inner.iter().map(|address| address.to_string()).collect();
    let mut processes: Vec<Process> = (0..CONTROLLERS)
        .map(|i| {
            let pairs = [
                ("seat", i.to_string()),
                ("zone", ["a", "b", "c"][i].to_string()),
                ("listen", operator_addrs[i].to_string()),
                ("inner", inner[i].to_string()),
                ("seeds", seeds.join(",")),
                ("first", "true".to_string()),
                ("data", layout.dir.join(format!("data-{i}")).display().to_string()),
            ];
            Process::controller(&layout, &format!("controller-{i}"), &pairs)
        })
        .collect();
    processes.iter_mut().for_each(|process| process.start().unwrap());
    let http = grebepath_runtime::http::client::HttpClient::new(16);
    Controllers { processes, operator_addrs: operator_addrs.to_vec(), http, began: Instant::now() }
}

/// Microseconds since the test began.
fn now(c: &Controllers) -> u64 {
    c.began.elapsed().as_micros() as u64
}

/// The leader of the configuration that all controllers agree on.
async fn leader(c: &Controllers) -> Option<usize> {
    let mut found = Vec::new();
    for door in &c.operator_addrs {
        let url = format!("http://{door}/v1/status");
        let (_, val) =
            local_cluster::request(&c.http, Method::GET, url, Vec::new(), &[]).await.ok()?;
        found.push(val["here"]["parts"][0]["owner"].as_u64()? as usize);
    }
    found.iter().all(|leader| *leader == found[0]).then_some(found[0])
}

/// A change of one zone that expects a revision.
struct Change {
    id: String,
    expect: u64,
}

async fn patch(http: HttpClient, door: SocketAddr, change: &Change) -> (u16, Value) {
    let body = json!({ "zones": [{ "name": change.id, "state": "open" }] });
    let expect = change.expect.to_string();
    let heads = [("request-id", change.id.as_str()), ("expect-revision", expect.as_str())];
    let url = format!("http://{door}/v1/config");
    let sent =
        local_cluster::request(&http, Method::PATCH, url, body.to_string().into_bytes(), &heads);
    sent.await.unwrap_or((0, Value::Null))
}

async fn get(http: HttpClient, door: SocketAddr, path: &str) -> (u16, Value) {
    let url = format!("http://{door}{path}");
    let got = local_cluster::request(&http, Method::GET, url, Vec::new(), &[]).await;
    got.unwrap_or((0, Value::Null))
}

/// The zones that a configuration holds, as the history's objects.
fn zones(config: &Value) -> BTreeMap<String, String> {
    let list = config["zones"].as_array().into_iter().flatten();
    let pair = |zone: &Value| {
        let text = |key: &str| zone[key].as_str().unwrap_or_default().to_string();
        (text("name"), text("state"))
    };
    list.map(pair).collect()
}

fn answer((code, val): &(u16, Value)) -> Answer {
    match code {
        200 => Answer::Accepted { revision: val["revision"].as_u64().unwrap() },
        412 => Answer::Moved { version: val["revision"].as_u64() },
        422 => Answer::Invalid,
        503 => Answer::Rejected,
        _ => Answer::Unknown,
    }
}

/// Sends a change through a controller and notes what came of it.
async fn noted(c: &Controllers, history: &mut Recorder, i: usize, change: &Change) -> (u16, Value) {
    let number = sent(c, history, i, change);
    let got = patch(c.http.clone(), c.operator_addrs[i], change).await;
    history.answer_write(now(c), number, answer(&got));
    got
}

fn sent(
    c: &Controllers,
    history: &mut Recorder,
    i: usize,
    change: &Change,
) -> grebepath_simulator::linearizability::AttemptNumber {
    let base = Base { revision: Some(change.expect), edition: None };
    let puts = BTreeMap::from([(change.id.clone(), Some("open".to_string()))]);
    let effect = Effect { puts, ..Effect::default() };
    let via = format!("controller {i}");
    history.send_write(now(c), via, (&change.id, 0), base, || effect)
}

/// Reads the configuration through a controller and notes it.
async fn read(c: &Controllers, history: &mut Recorder, i: usize) -> u64 {
    let number = history.send_read(now(c), format!("controller {i}"));
    let (code, val) = get(c.http.clone(), c.operator_addrs[i], "/v1/config").await;
    assert_eq!(code, 200, "{val}");
    let revision = val["revision"].as_u64().unwrap();
    history.answer_read(now(c), number, (revision, None), zones(&val["config"]));
    revision
}

#[googletest::test]
fn a_resumed_leader_answers_requests_queued_in_its_sockets_correctly() {
    run_local(async {
        let c = controllers("paused-leader");
        let mut history = Recorder::default();
        for round in 0..3 {
            stop_and_go(&c, &mut history, round).await;
        }
        expect_that!(check(history.history()), eq(&Verdict::Linearizable));
    });
}

/// The leader is stopped with orders in its sockets, a change is accepted
/// elsewhere, and the leader goes on.
async fn stop_and_go(c: &Controllers, history: &mut Recorder, round: usize) {
    assert!(
        local_cluster::until(WAIT_TIMEOUT, || async { leader(c).await.is_some() }).await,
        "nobody leads"
    );
    let old = leader(c).await.unwrap();
    let other = (old + 1) % CONTROLLERS;
    let revision = read(c, history, other).await;
    c.processes[old].signal("STOP").unwrap();
    let stopped = Instant::now();
    // One builds on what will be accepted elsewhere, one on what will be past.
    let next = Change { id: format!("next-{round}"), expect: revision + 1 };
    let late = Change { id: format!("late-{round}"), expect: revision };
    let numbers = [&next, &late].map(|change| sent(c, history, old, change));
    let read_number = history.send_read(now(c), format!("controller {old}"));
    let (http, door) = (&c.http, c.operator_addrs[old]);
    let waiting = async {
        tokio::join!(
            patch(http.clone(), door, &next),
            patch(http.clone(), door, &late),
            get(http.clone(), door, "/v1/config"),
            get(http.clone(), door, "/v1/status"),
        )
    };
    let elsewhere = async {
        let change = Change { id: format!("elsewhere-{round}"), expect: revision };
        let accepted =
            async |history: &mut Recorder| noted(c, history, other, &change).await.0 == 200;
        while !accepted(history).await {
            assert!(stopped.elapsed() < WAIT_TIMEOUT, "no change is accepted elsewhere in time");
        }
        assert!(local_cluster::until(WAIT_TIMEOUT, || async { stopped.elapsed() >= PAUSE }).await);
        c.processes[old].signal("CONT").unwrap();
    };
    let ((next_got, late_got, read_got, status_got), ()) = tokio::join!(waiting, elsewhere);
    let at = now(c);
    history.answer_write(at, numbers[0], answer(&next_got));
    history.answer_write(at, numbers[1], answer(&late_got));
    expect_that!(next_got.0, eq(200), "{}", next_got.1);
    expect_that!(late_got.0, any!(eq(412), eq(503), eq(504)), "{}", late_got.1);
    expect_that!(read_got.0, eq(200), "{}", read_got.1);
    let read_revision = read_got.1["revision"].as_u64().unwrap_or(0);
    let objects = zones(&read_got.1["config"]);
    history.answer_read(at, read_number, (read_revision, None), objects);
    expect_that!(status_got.1["trouble"], eq(&Value::Null));
    for i in 0..CONTROLLERS {
        expect_that!(read(c, history, i).await, ge(revision + 2));
    }
}
