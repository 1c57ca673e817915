//! Seats of real controllers that change hands without an operator.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use common::{empty_folder, layout, run_local, start_with_retries};
use googletest::prelude::*;
use hyper::Method;
use serde_json::{Value, json};
use testbed::local_cluster;
use testbed::local_cluster::LocalCluster;
use testbed::local_cluster::error::LocalClusterError;
use testbed::local_cluster::process::Process;

/// Maximum time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The seat of a controller that has formed all its parts; no seat is `Null`.
async fn seat(
    http: &grebepath_runtime::http::client::HttpClient,
    door: SocketAddr,
) -> Option<Value> {
    let url = format!("http://{door}/v1/status");
    let (_, val) = local_cluster::request(http, Method::GET, url, Vec::new(), &[]).await.ok()?;
    let here = &val["here"];
    let parts = here["parts"].as_array()?;
    let formed = parts.iter().all(|p| p["role"] == "owner" || p["role"] == "follower");
    (formed || here["seat"].is_null()).then(|| here["seat"].clone())
}

async fn has_seat(f: &LocalCluster, i: usize, want: Value) -> bool {
    local_cluster::until(WAIT_TIMEOUT, || async {
        seat(&f.http, f.operator_addrs[i]).await == Some(want.clone())
    })
    .await
}

/// Sets an object through one controller alone.
async fn patch_at(
    http: &grebepath_runtime::http::client::HttpClient,
    door: SocketAddr,
    n: usize,
) -> (u16, Value) {
    let url = format!("http://{door}/v1/config");
    let body = json!({ "zones": [{ "name": format!("mark-{n}"), "state": "open" }] });
    let id = format!("mark-{n}");
    let heads = [("request-id", id.as_str())];
    let body = body.to_string().into_bytes();
    local_cluster::request(http, Method::PATCH, url, body, &heads).await.unwrap_or((0, Value::Null))
}

async fn applied_revision(f: &LocalCluster, revision: u64) {
    for i in 0..f.queriers.len() {
        let ask = || async { f.applied_revision(i).await.is_some_and(|r| r >= revision) };
        assert!(
            local_cluster::until(WAIT_TIMEOUT, ask).await,
            "querier {i} does not obey {revision}"
        );
    }
}

#[googletest::test]
fn a_spare_takes_over_a_slot_and_the_former_voter_becomes_the_spare() {
    run_local(async {
        let mut f = LocalCluster::start(layout("seats-spare", "mohalla", 2)).await.unwrap();
        let owner = f.config_leader().await.unwrap();
        // Of the same zone: no zone may gain a majority of the seats.
        let spare = f.add_controller(["a", "b", "c"][owner]).unwrap();
        for i in 0..f.queriers.len() {
            assert!(local_cluster::until(WAIT_TIMEOUT, || f.is_ready(i)).await);
        }
        // A controller without a seat takes operators' requests.
        expect_that!(seat(&f.http, f.operator_addrs[spare]).await, some(eq(&Value::Null)));
        let (code, val) = patch_at(&f.http, f.operator_addrs[spare], 0).await;
        expect_that!(code, eq(200), "{val}");
        f.controllers[owner].kill();
        let (code, val) = patch_at(&f.http, f.operator_addrs[spare], 1).await;
        expect_that!(code, eq(200), "{val}");
        assert!(has_seat(&f, spare, json!(owner)).await, "the seat was not taken over");
        // The old holder comes back on its disk and finds its seat given away.
        f.controllers[owner].start().unwrap();
        assert!(has_seat(&f, owner, Value::Null).await, "the old holder still has its seat");
        // The newcomer counts: with another one down a change is accepted, and
        // the queriers hear of it although no params of theirs name it.
        let other = (owner + 1) % 3;
        f.controllers[other].signal("STOP").unwrap();
        let (code, val) = patch_at(&f.http, f.operator_addrs[spare], 2).await;
        f.controllers[other].signal("CONT").unwrap();
        expect_that!(code, eq(200), "{val}");
        applied_revision(&f, val["revision"].as_u64().unwrap()).await;
        // All off at once: everyone comes back as who it was.
        let procs = f.controllers.iter_mut().chain(&mut f.queriers);
        procs.for_each(Process::kill);
        for p in f.controllers.iter_mut().chain(&mut f.queriers) {
            p.start().unwrap();
        }
        assert!(has_seat(&f, spare, json!(owner)).await, "the seat was forgotten");
        let (code, val) = patch_at(&f.http, f.operator_addrs[owner], 3).await;
        expect_that!(code, eq(200), "{val}");
        applied_revision(&f, val["revision"].as_u64().unwrap()).await;
        let url = format!("http://{}/v1/config", f.operator_addrs[spare]);
        let (_, got) =
            local_cluster::request(&f.http, Method::GET, url, Vec::new(), &[]).await.unwrap();
        for n in 0..4 {
            expect_that!(got.to_string(), contains_substring(format!("\"mark-{n}\"")));
        }
    });
}

/// Controllers that find their seats; killed when dropped.
struct ControllerState {
    procs: Vec<Process>,
    operator_addrs: Vec<SocketAddr>,
    dir: PathBuf,
}

impl Drop for ControllerState {
    fn drop(&mut self) {
        self.procs.iter_mut().for_each(Process::kill);
    }
}

fn core(test: &str, seats: usize, count: usize) -> ControllerState {
    start_with_retries(|| started(test, seats, count))
}

fn started(
    test: &str,
    seats: usize,
    count: usize,
) -> std::result::Result<ControllerState, LocalClusterError> {
    let lay = layout(test, "mohalla", 2);
    empty_folder(&lay);
    let ports = local_cluster::free_ports(2 * count).unwrap();
    let addrs: Vec<SocketAddr> =
        ports.iter().map(|p| SocketAddr::from(([127, 0, 0, 1], *p))).collect();
    let (operator_addrs, inners) = addrs.split_at(count);
    let texts: Vec<String> = inners[..3].iter().map(|a| a.to_string()).collect();
    let procs: Vec<Process> = (0..count)
        .map(|i| {
            // Everything comes from a file, as a platform lays it down.
            let file = lay.dir.join(format!("params-{i}.json"));
            let zone = ["a", "b", "c"][i % 3];
            let params = json!({
                "zone": zone, "listen": operator_addrs[i].to_string(),
                "inner": inners[i].to_string(), "seeds": texts, "first": true,
                "seats": seats, "data": lay.dir.join(format!("data-{i}")),
            });
            std::fs::write(&file, params.to_string()).unwrap();
            let args = [("params", file.display().to_string())];
            Process::controller(&lay, &format!("controller-{i}"), &args)
        })
        .collect();
    let mut core = ControllerState { procs, operator_addrs: operator_addrs.to_vec(), dir: lay.dir };
    core.procs.iter_mut().try_for_each(Process::start)?;
    Ok(core)
}

/// Waits until so many seats are held and formed.
async fn held(
    c: &ControllerState,
    http: &grebepath_runtime::http::client::HttpClient,
    want: usize,
) -> bool {
    let ask = || async {
        let mut got = Vec::new();
        for (i, door) in c.operator_addrs.iter().enumerate() {
            if c.procs[i].child.is_some()
                && let Some(Value::Number(n)) = seat(http, *door).await
            {
                got.push(n.as_u64());
            }
        }
        got.sort();
        got.dedup();
        got.len() == want
    };
    local_cluster::until(WAIT_TIMEOUT, ask).await
}

/// What a settings file says after the first start.
fn no_longer_first(c: &ControllerState, i: usize, seeds: Option<Value>) {
    let file = c.dir.join(format!("params-{i}.json"));
    let mut val: Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
    val["first"] = json!(false);
    if let Some(seeds) = seeds {
        val["seeds"] = seeds;
    }
    std::fs::write(&file, val.to_string()).unwrap();
}

#[googletest::test]
fn five_voter_slots_form_from_three_seeds_and_survive_two_lost_disks() {
    run_local(async {
        let mut c = core("seats-five", 5, 6);
        let http = grebepath_runtime::http::client::HttpClient::new(4);
        assert!(held(&c, &http, 5).await, "five seats were not formed");
        let whole = json!({ "searches": [], "pools": [], "zones": [] }).to_string().into_bytes();
        let url = format!("http://{}/v1/config", c.operator_addrs[5]);
        let heads = [("request-id", "whole")];
        let got = local_cluster::request(&http, Method::PUT, url, whole, &heads).await.unwrap();
        expect_that!(got.0, eq(200), "{}", got.1);
        let (code, val) = patch_at(&http, c.operator_addrs[3], 7).await;
        expect_that!(code, eq(200), "{val}");
        // At once all die, and two come back with nothing; seeds may be others.
        c.procs.iter_mut().for_each(Process::kill);
        for i in 0..6 {
            let old: Value = serde_json::from_slice(
                &std::fs::read(c.dir.join(format!("params-{i}.json"))).unwrap(),
            )
            .unwrap();
            let seeds = old["seeds"].as_array().unwrap();
            let turned = json!([seeds[2], seeds[1], seeds[0]]);
            no_longer_first(&c, i, Some(turned));
        }
        for i in [0, 1] {
            std::fs::remove_dir_all(c.dir.join(format!("data-{i}"))).unwrap();
        }
        c.procs.iter_mut().for_each(|p| p.start().unwrap());
        assert!(held(&c, &http, 5).await, "the seats are not whole again");
        let url = format!("http://{}/v1/config", c.operator_addrs[0]);
        let (_, got) =
            local_cluster::request(&http, Method::GET, url, Vec::new(), &[]).await.unwrap();
        expect_that!(got.to_string(), contains_substring("mark-7"));
        let (code, val) = patch_at(&http, c.operator_addrs[1], 8).await;
        expect_that!(code, eq(200), "{val}");
    });
}

#[googletest::test]
fn a_stopped_voter_hands_over_its_slot_so_that_another_disk_may_be_lost() {
    run_local(async {
        let mut c = core("seats-handover", 3, 6);
        let http = grebepath_runtime::http::client::HttpClient::new(4);
        assert!(held(&c, &http, 3).await, "three slots were not formed");
        let whole = json!({ "searches": [], "pools": [], "zones": [] }).to_string().into_bytes();
        let url = format!("http://{}/v1/config", c.operator_addrs[5]);
        let heads = [("request-id", "whole")];
        let got = local_cluster::request(&http, Method::PUT, url, whole, &heads).await.unwrap();
        expect_that!(got.0, eq(200), "{}", got.1);
        let mut marks = Vec::new();
        // Each of the first three in turn; the spare of its zone follows it.
        for leaving in 0..3 {
            let (code, val) = patch_at(&http, c.operator_addrs[5], 10 + leaving).await;
            expect_that!(code, eq(200), "{val}");
            marks.push(10 + leaving);
            // The spares ask for a slot twice a second.
            tokio::time::sleep(Duration::from_millis(700)).await;
            c.procs[leaving].signal("TERM").unwrap();
            let patience = Duration::from_secs(4);
            expect_that!(c.procs[leaving].wait_for_end(patience), some(eq(0)));
            // It has ended, so its successor votes: another disk may be lost now.
            let other = (leaving + 1) % 3 + if leaving == 2 { 3 } else { 0 };
            c.procs[other].kill();
            std::fs::remove_dir_all(c.dir.join(format!("data-{other}"))).unwrap();
            no_longer_first(&c, other, None);
            let (code, val) = patch_at(&http, c.operator_addrs[5], 20 + leaving).await;
            expect_that!(code, eq(200), "{val}");
            marks.push(20 + leaving);
            c.procs[other].start().unwrap();
            assert!(held(&c, &http, 3).await, "not three slots after {leaving} left");
            // It comes back as a spare; the seeds name it.
            no_longer_first(&c, leaving, None);
            c.procs[leaving].start().unwrap();
        }
        let url = format!("http://{}/v1/config", c.operator_addrs[4]);
        let (_, got) =
            local_cluster::request(&http, Method::GET, url, Vec::new(), &[]).await.unwrap();
        for mark in marks {
            expect_that!(got.to_string(), contains_substring(format!("\"mark-{mark}\"")));
        }
    });
}

#[googletest::test]
fn a_controller_with_unreachable_seeds_uses_those_of_its_reloaded_settings() {
    // Guards against a blank machine that starts while all its seeds are gone, and waits for
    // them for ever although its settings name others by now.
    run_local(async {
        let f = LocalCluster::start(layout("seeds-again", "mohalla", 1)).await.unwrap();
        let [listen, inner, gone] = {
            let ports = local_cluster::free_ports(3).unwrap();
            [0, 1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], ports[port])))
        };
        let file = f.layout.dir.join("controller.json");
        let write = |seeds: String| std::fs::write(&file, json!({ "seeds": seeds }).to_string());
        write(gone.to_string()).unwrap();
        let settings = [
            ("params", file.display().to_string()),
            ("fleet", f.controllers[0].argument("--fleet").unwrap()),
            ("zone", "a".to_string()),
            ("listen", listen.to_string()),
            ("inner", inner.to_string()),
            ("data", f.layout.dir.join("seat-9").display().to_string()),
        ];
        let mut late = Process::controller(&f.layout, "controller-late", &settings);
        late.start().unwrap();
        let takes_orders = || async { patch_at(&f.http, listen, 0).await.0 == 200 };
        expect_false!(takes_orders().await);
        write(f.controllers[0].argument("--seeds").unwrap()).unwrap();
        late.signal("HUP").unwrap();
        expect_true!(local_cluster::until(WAIT_TIMEOUT, takes_orders).await);
    });
}
