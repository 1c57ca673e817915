//! Handover and takeover of voter slots between real controllers, without an operator.

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

/// Returns the voter slot of a controller that has a role in all its partitions; `Null` without a
/// slot.
async fn voter_slot(
    http: &grebepath_runtime::http::client::HttpClient,
    address: SocketAddr,
) -> Option<Value> {
    let url = format!("http://{address}/v1/status");
    let (_, value) = local_cluster::request(http, Method::GET, url, Vec::new(), &[]).await.ok()?;
    let here = &value["here"];
    let parts = here["parts"].as_array()?;
    let formed = parts.iter().all(|p| p["role"] == "owner" || p["role"] == "follower");
    (formed || here["seat"].is_null()).then(|| here["seat"].clone())
}

async fn wait_for_slot(f: &LocalCluster, i: usize, want: Value) -> bool {
    local_cluster::until(WAIT_TIMEOUT, || async {
        voter_slot(&f.http, f.operator_addrs[i]).await == Some(want.clone())
    })
    .await
}

/// Adds a zone through a single controller.
async fn set_zone_at(
    http: &grebepath_runtime::http::client::HttpClient,
    address: SocketAddr,
    n: usize,
) -> (u16, Value) {
    let url = format!("http://{address}/v1/config");
    let body = json!({ "zones": [{ "name": format!("mark-{n}"), "state": "open" }] });
    let id = format!("mark-{n}");
    let headers = [("request-id", id.as_str())];
    let body = body.to_string().into_bytes();
    local_cluster::request(http, Method::PATCH, url, body, &headers)
        .await
        .unwrap_or((0, Value::Null))
}

async fn wait_until_applied(f: &LocalCluster, revision: u64) {
    for i in 0..f.queriers.len() {
        let has_applied = || async { f.applied_revision(i).await.is_some_and(|r| r >= revision) };
        assert!(
            local_cluster::until(WAIT_TIMEOUT, has_applied).await,
            "querier {i} has not applied {revision}"
        );
    }
}

#[googletest::test]
fn a_spare_takes_over_a_slot_and_the_former_voter_becomes_the_spare() {
    run_local(async {
        let mut f = LocalCluster::start(layout("seats-spare", "mohalla", 2)).await.unwrap();
        let leader = f.config_leader().await.unwrap();
        // In the same zone: no zone may hold a majority of the voter slots.
        let spare = f.add_controller(["a", "b", "c"][leader]).unwrap();
        for i in 0..f.queriers.len() {
            assert!(local_cluster::until(WAIT_TIMEOUT, || f.is_ready(i)).await);
        }
        // A controller without a voter slot accepts operator requests.
        expect_that!(voter_slot(&f.http, f.operator_addrs[spare]).await, some(eq(&Value::Null)));
        let (code, value) = set_zone_at(&f.http, f.operator_addrs[spare], 0).await;
        expect_that!(code, eq(200), "{value}");
        f.controllers[leader].kill();
        let (code, value) = set_zone_at(&f.http, f.operator_addrs[spare], 1).await;
        expect_that!(code, eq(200), "{value}");
        assert!(wait_for_slot(&f, spare, json!(leader)).await, "the slot was not taken over");
        // The former voter restarts with its old data and finds its slot taken.
        f.controllers[leader].start().unwrap();
        assert!(
            wait_for_slot(&f, leader, Value::Null).await,
            "the former voter still has its slot"
        );
        // The new voter counts for the quorum: with another voter paused a change is accepted, and
        // the queriers receive it although their settings do not name the new voter.
        let other = (leader + 1) % 3;
        f.controllers[other].signal("STOP").unwrap();
        let (code, value) = set_zone_at(&f.http, f.operator_addrs[spare], 2).await;
        f.controllers[other].signal("CONT").unwrap();
        expect_that!(code, eq(200), "{value}");
        wait_until_applied(&f, value["revision"].as_u64().unwrap()).await;
        // After all processes are killed at once, each controller keeps its slot.
        let procs = f.controllers.iter_mut().chain(&mut f.queriers);
        procs.for_each(Process::kill);
        for p in f.controllers.iter_mut().chain(&mut f.queriers) {
            p.start().unwrap();
        }
        assert!(wait_for_slot(&f, spare, json!(leader)).await, "the slot was forgotten");
        let (code, value) = set_zone_at(&f.http, f.operator_addrs[leader], 3).await;
        expect_that!(code, eq(200), "{value}");
        wait_until_applied(&f, value["revision"].as_u64().unwrap()).await;
        let url = format!("http://{}/v1/config", f.operator_addrs[spare]);
        let (_, got) =
            local_cluster::request(&f.http, Method::GET, url, Vec::new(), &[]).await.unwrap();
        for n in 0..4 {
            expect_that!(got.to_string(), contains_substring(format!("\"mark-{n}\"")));
        }
    });
}

/// Controllers that acquire their voter slots themselves; killed when dropped.
struct ControllerCluster {
    procs: Vec<Process>,
    operator_addrs: Vec<SocketAddr>,
    dir: PathBuf,
}

impl Drop for ControllerCluster {
    fn drop(&mut self) {
        self.procs.iter_mut().for_each(Process::kill);
    }
}

fn start_cluster(test: &str, slot_count: usize, count: usize) -> ControllerCluster {
    start_with_retries(|| try_start_cluster(test, slot_count, count))
}

fn try_start_cluster(
    test: &str,
    slot_count: usize,
    count: usize,
) -> std::result::Result<ControllerCluster, LocalClusterError> {
    let test_layout = layout(test, "mohalla", 2);
    empty_folder(&test_layout);
    let ports = local_cluster::free_ports(2 * count).unwrap();
    let addrs: Vec<SocketAddr> =
        ports.iter().map(|p| SocketAddr::from(([127, 0, 0, 1], *p))).collect();
    let (operator_addrs, inners) = addrs.split_at(count);
    let texts: Vec<String> = inners[..3].iter().map(|a| a.to_string()).collect();
    let procs: Vec<Process> = (0..count)
        .map(|i| {
            // All settings come from a file, as a platform provides them.
            let file = test_layout.dir.join(format!("params-{i}.json"));
            let zone = ["a", "b", "c"][i % 3];
            let params = json!({
                "zone": zone, "listen": operator_addrs[i].to_string(),
                "inner": inners[i].to_string(), "seeds": texts, "first": true,
                "seats": slot_count, "data": test_layout.dir.join(format!("data-{i}")),
            });
            std::fs::write(&file, params.to_string()).unwrap();
            let args = [("params", file.display().to_string())];
            Process::controller(&test_layout, &format!("controller-{i}"), &args)
        })
        .collect();
    let mut cluster =
        ControllerCluster { procs, operator_addrs: operator_addrs.to_vec(), dir: test_layout.dir };
    cluster.procs.iter_mut().try_for_each(Process::start)?;
    Ok(cluster)
}

/// Waits until this many distinct slots are held by controllers with all their roles.
async fn wait_for_slots(
    c: &ControllerCluster,
    http: &grebepath_runtime::http::client::HttpClient,
    want: usize,
) -> bool {
    let has_slots = || async {
        let mut got = Vec::new();
        for (i, address) in c.operator_addrs.iter().enumerate() {
            if c.procs[i].child.is_some()
                && let Some(Value::Number(n)) = voter_slot(http, *address).await
            {
                got.push(n.as_u64());
            }
        }
        got.sort();
        got.dedup();
        got.len() == want
    };
    local_cluster::until(WAIT_TIMEOUT, has_slots).await
}

/// Changes a settings file for later starts: `first` is false, and the seeds may be others.
fn finish_first_start(c: &ControllerCluster, i: usize, seeds: Option<Value>) {
    let file = c.dir.join(format!("params-{i}.json"));
    let mut value: Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
    value["first"] = json!(false);
    if let Some(seeds) = seeds {
        value["seeds"] = seeds;
    }
    std::fs::write(&file, value.to_string()).unwrap();
}

#[googletest::test]
fn five_voter_slots_form_from_three_seeds_and_survive_two_lost_disks() {
    run_local(async {
        let mut c = start_cluster("seats-five", 5, 6);
        let http = grebepath_runtime::http::client::HttpClient::new(4);
        assert!(wait_for_slots(&c, &http, 5).await, "five slots were not formed");
        let configuration =
            json!({ "searches": [], "pools": [], "zones": [] }).to_string().into_bytes();
        let url = format!("http://{}/v1/config", c.operator_addrs[5]);
        let headers = [("request-id", "whole")];
        let got =
            local_cluster::request(&http, Method::PUT, url, configuration, &headers).await.unwrap();
        expect_that!(got.0, eq(200), "{}", got.1);
        let (code, value) = set_zone_at(&http, c.operator_addrs[3], 7).await;
        expect_that!(code, eq(200), "{value}");
        // All are killed at once, and two restart with empty disks. The order of the seeds may
        // change.
        c.procs.iter_mut().for_each(Process::kill);
        for i in 0..6 {
            let old: Value = serde_json::from_slice(
                &std::fs::read(c.dir.join(format!("params-{i}.json"))).unwrap(),
            )
            .unwrap();
            let seeds = old["seeds"].as_array().unwrap();
            let reversed_seeds = json!([seeds[2], seeds[1], seeds[0]]);
            finish_first_start(&c, i, Some(reversed_seeds));
        }
        for i in [0, 1] {
            std::fs::remove_dir_all(c.dir.join(format!("data-{i}"))).unwrap();
        }
        c.procs.iter_mut().for_each(|p| p.start().unwrap());
        assert!(wait_for_slots(&c, &http, 5).await, "the slots were not restored");
        let url = format!("http://{}/v1/config", c.operator_addrs[0]);
        let (_, got) =
            local_cluster::request(&http, Method::GET, url, Vec::new(), &[]).await.unwrap();
        expect_that!(got.to_string(), contains_substring("mark-7"));
        let (code, value) = set_zone_at(&http, c.operator_addrs[1], 8).await;
        expect_that!(code, eq(200), "{value}");
    });
}

#[googletest::test]
fn a_stopped_voter_hands_over_its_slot_so_that_another_disk_may_be_lost() {
    run_local(async {
        let mut c = start_cluster("seats-handover", 3, 6);
        let http = grebepath_runtime::http::client::HttpClient::new(4);
        assert!(wait_for_slots(&c, &http, 3).await, "three slots were not formed");
        let configuration =
            json!({ "searches": [], "pools": [], "zones": [] }).to_string().into_bytes();
        let url = format!("http://{}/v1/config", c.operator_addrs[5]);
        let headers = [("request-id", "whole")];
        let got =
            local_cluster::request(&http, Method::PUT, url, configuration, &headers).await.unwrap();
        expect_that!(got.0, eq(200), "{}", got.1);
        let mut zone_numbers = Vec::new();
        // Each of the first three stops in turn; the spare of its zone replaces it.
        for leaving in 0..3 {
            let (code, value) = set_zone_at(&http, c.operator_addrs[5], 10 + leaving).await;
            expect_that!(code, eq(200), "{value}");
            zone_numbers.push(10 + leaving);
            // Spares request a slot twice a second.
            tokio::time::sleep(Duration::from_millis(700)).await;
            c.procs[leaving].signal("TERM").unwrap();
            let timeout = Duration::from_secs(4);
            expect_that!(c.procs[leaving].wait_for_end(timeout), some(eq(0)));
            // The voter has exited, so its successor votes already, and another disk may be lost.
            let other = (leaving + 1) % 3 + if leaving == 2 { 3 } else { 0 };
            c.procs[other].kill();
            std::fs::remove_dir_all(c.dir.join(format!("data-{other}"))).unwrap();
            finish_first_start(&c, other, None);
            let (code, value) = set_zone_at(&http, c.operator_addrs[5], 20 + leaving).await;
            expect_that!(code, eq(200), "{value}");
            zone_numbers.push(20 + leaving);
            c.procs[other].start().unwrap();
            assert!(wait_for_slots(&c, &http, 3).await, "not three slots after {leaving} left");
            // It restarts as a spare; the seeds still name it.
            finish_first_start(&c, leaving, None);
            c.procs[leaving].start().unwrap();
        }
        let url = format!("http://{}/v1/config", c.operator_addrs[4]);
        let (_, got) =
            local_cluster::request(&http, Method::GET, url, Vec::new(), &[]).await.unwrap();
        for zone_number in zone_numbers {
            expect_that!(got.to_string(), contains_substring(format!("\"mark-{zone_number}\"")));
        }
    });
}

#[googletest::test]
fn a_controller_with_unreachable_seeds_uses_those_of_its_reloaded_settings() {
    // Guards against a new machine that starts while none of its seeds is reachable, and waits for
    // them forever although its settings have since been changed to others.
    run_local(async {
        let f = LocalCluster::start(layout("seeds-again", "mohalla", 1)).await.unwrap();
        let [listen, inner, unreachable] = {
            let ports = local_cluster::free_ports(3).unwrap();
            [0, 1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], ports[port])))
        };
        let file = f.layout.dir.join("controller.json");
        let write = |seeds: String| std::fs::write(&file, json!({ "seeds": seeds }).to_string());
        write(unreachable.to_string()).unwrap();
        let settings = [
            ("params", file.display().to_string()),
            ("fleet", f.controllers[0].argument("--fleet").unwrap()),
            ("zone", "a".to_string()),
            ("listen", listen.to_string()),
            ("inner", inner.to_string()),
            ("data", f.layout.dir.join("seat-9").display().to_string()),
        ];
        let mut controller = Process::controller(&f.layout, "controller-late", &settings);
        controller.start().unwrap();
        let accepts_changes = || async { set_zone_at(&f.http, listen, 0).await.0 == 200 };
        expect_false!(accepts_changes().await);
        write(f.controllers[0].argument("--seeds").unwrap()).unwrap();
        controller.signal("HUP").unwrap();
        expect_true!(local_cluster::until(WAIT_TIMEOUT, accepts_changes).await);
    });
}
