//! Real controllers whose disk is full, or whose files are corrupted.

#[allow(dead_code)] // Each test file uses a part of it.
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use grebepath_core::storage::reader::{StoredReplica, read};
use grebepath_runtime::http::client::HttpClient;
use serde_json::json;
use testbed::local_cluster;
use testbed::local_cluster::LocalCluster;

use common::{all_ready, block, has_all_roles, layout};

/// How long anything may take that is only waited for.
const LONG: Duration = Duration::from_secs(20);

#[googletest::test]
fn a_full_disk_disables_its_voter_and_loses_no_accepted_change() {
    block(async {
        let mut f = LocalCluster::start(layout("full", "mohalla", 3)).await.unwrap();
        all_ready(&f).await;
        // The owner of the configuration comes back on a disk with 64 KiB left.
        let seat = f.config_leader().await.unwrap();
        f.controllers[seat].kill();
        f.controllers[seat].limit_file_size(Some(128));
        f.controllers[seat].start().unwrap();
        let role = async |f: &LocalCluster| {
            let s = f.status(seat).await.ok()?;
            Some(s["here"]["parts"][0].clone())
        };
        let whole = || async { role(&f).await.is_some_and(|p| p["role"] == "follower") };
        assert!(local_cluster::until(LONG, whole).await);
        let val = json!({ "pools": [{ "name": "wide", "service": "wide",
                                      "labels": { "note": "x".repeat(100_000) } }] });
        let revision = f.patch(&val, "wide").await.unwrap();
        let sick = || async { role(&f).await.is_some_and(|p| p["role"] == "sick") };
        assert!(local_cluster::until(LONG, sick).await, "{:?}", role(&f).await);
        expect_that!(role(&f).await.unwrap()["sick"].as_str(), some(contains_substring("large")));
        // The two others go on accepting, and all queriers obey.
        let val = json!({ "zones": [{ "name": "after", "state": "open" }] });
        let revision = revision.max(f.patch(&val, "after").await.unwrap());
        for i in 0..3 {
            let obeys = || async { f.applied_revision(i).await.is_some_and(|r| r >= revision) };
            assert!(local_cluster::until(LONG, obeys).await);
        }
        // With room again it comes back whole.
        f.controllers[seat].kill();
        f.controllers[seat].limit_file_size(None);
        f.controllers[seat].start().unwrap();
        let back = || async {
            role(&f)
                .await
                .is_some_and(|p| p["role"] == "follower" && p["shown"].as_u64() >= Some(revision))
        };
        assert!(local_cluster::until(LONG, back).await, "{:?}", role(&f).await);
    });
}

#[googletest::test]
fn a_controller_started_on_a_full_disk_reports_it_and_recovers_by_itself() {
    block(async {
        let mut f = LocalCluster::start(layout("full-start", "mohalla", 3)).await.unwrap();
        all_ready(&f).await;
        let seat = f.config_leader().await.unwrap();
        f.controllers[seat].kill();
        f.controllers[seat].limit_file_size(Some(0));
        f.controllers[seat].start().unwrap();
        let line = f.controllers[seat].ready_line().to_string();
        expect_that!(line, contains_substring("waits for its disk"));
        // Which file, and what was tried.
        expect_that!(line, contains_substring("can't write"));
        expect_that!(line, contains_substring("seats.new"));
        let door = f.operator_addrs[seat];
        // The cluster's client may still hold a connection to the process that was killed.
        let http = HttpClient::new(1);
        for path in ["readyz", "v1/status", "v1/config"] {
            let request = hyper::Request::get(format!("http://{door}/{path}"))
                .body(http_body_util::Full::default())
                .unwrap();
            let response = http.call_within(request, 1 << 16, LONG).await.unwrap();
            expect_that!(response.status().as_u16(), eq(503), "{path}");
            expect_that!(response.headers().contains_key("retry-after"), eq(true));
            let text = String::from_utf8_lossy(response.body()).to_string();
            expect_that!(text, contains_substring("the disk can't be written"));
        }
        let alive = local_cluster::text(&f.http, format!("http://{door}/livez")).await;
        expect_that!(alive, some(eq("ok\n")));
        // A hang-up does not end it, and the two others go on without it.
        f.controllers[seat].signal("HUP").unwrap();
        let val = json!({ "zones": [{ "name": "meanwhile", "state": "open" }] });
        f.patch(&val, "meanwhile").await.unwrap();
        f.controllers[seat].lift_file_size_limit().unwrap();
        assert!(local_cluster::until(LONG, || has_all_roles(&f, seat)).await);
    });
}

#[googletest::test]
fn a_controller_waiting_for_its_disk_exits_on_sigterm() {
    block(async {
        let mut f = LocalCluster::start(layout("full-stop", "mohalla", 3)).await.unwrap();
        f.controllers[0].kill();
        f.controllers[0].limit_file_size(Some(0));
        f.controllers[0].start().unwrap();
        f.controllers[0].signal("TERM").unwrap();
        expect_that!(f.controllers[0].wait_for_end(LONG), some(eq(0)));
    });
}

/// One number of a process's metrics.
async fn metric(f: &LocalCluster, addr: SocketAddr, name: &str) -> Option<u64> {
    let text = local_cluster::text(&f.http, format!("http://{addr}/metrics")).await?;
    text.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok())
}

#[googletest::test]
fn files_corrupted_under_a_running_controller_are_rewritten() {
    block(async {
        let mut f = LocalCluster::start(layout("rot", "mohalla", 3)).await.unwrap();
        all_ready(&f).await;
        let dir = f.layout.dir.join("seat-1/part-0");
        // Whatever lies on the disk is spoilt, as it lies there.
        for name in ["slot-0", "slot-1", "log"] {
            let path = dir.join(name);
            if let Ok(raw) = std::fs::read(&path) {
                use std::os::unix::fs::FileExt;
                let at = raw.len() / 2;
                let file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
                file.write_all_at(&[raw[at] ^ 0x10], at as u64).unwrap();
            }
        }
        let door = f.operator_addrs[1];
        let found = async || metric(&f, door, "grebe_rotted_total").await > Some(0);
        assert!(local_cluster::until(2 * LONG, found).await, "nothing was found to have rotted");
        // What was found is being written: let it be whole before the kill.
        let get = |name: &str| std::fs::read(dir.join(name)).ok();
        let good = async || {
            let (zero, one, log) = (get("slot-0"), get("slot-1"), get("log"));
            let found = read(0, [zero.as_deref(), one.as_deref()], log.as_deref());
            matches!(found, StoredReplica::Intact { .. })
        };
        assert!(local_cluster::until(LONG, good).await, "the files were not written anew");
        // It starts from its own files again, and sets nothing aside.
        f.controllers[1].kill();
        f.controllers[1].start().unwrap();
        assert!(local_cluster::until(LONG, || has_all_roles(&f, 1)).await);
        expect_that!(dir.join("damaged-0").exists(), eq(false));
    });
}
