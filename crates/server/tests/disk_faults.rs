//! Real controllers whose disk is full, or whose files are corrupted.

#[allow(dead_code)] // Each test file uses only some of the helpers.
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use grebepath_core::storage::reader::{StoredReplica, read};
use grebepath_runtime::http::client::HttpClient;
use serde_json::json;
use testbed::local_cluster;
use testbed::local_cluster::LocalCluster;

use common::{all_ready, has_all_roles, layout, run_local};

/// Maximum time that a test waits for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

#[googletest::test]
fn a_full_disk_disables_its_voter_and_loses_no_accepted_change() {
    run_local(async {
        let mut cluster = LocalCluster::start(layout("full", "mohalla", 3)).await.unwrap();
        all_ready(&cluster).await;
        // The owner of the configuration comes back on a disk with 64 KiB left.
        let seat = cluster.config_leader().await.unwrap();
        cluster.controllers[seat].kill();
        cluster.controllers[seat].limit_file_size(Some(128));
        cluster.controllers[seat].start().unwrap();
        let role = async |cluster: &LocalCluster| {
            let s = cluster.status(seat).await.ok()?;
            Some(s["here"]["parts"][0].clone())
        };
        let whole = || async { role(&cluster).await.is_some_and(|p| p["role"] == "follower") };
        assert!(local_cluster::until(WAIT_TIMEOUT, whole).await);
        let val = json!({ "pools": [{ "name": "wide", "service": "wide",
                                      "labels": { "note": "x".repeat(100_000) } }] });
        let revision = cluster.patch(&val, "wide").await.unwrap();
        let sick = || async { role(&cluster).await.is_some_and(|p| p["role"] == "sick") };
        assert!(local_cluster::until(WAIT_TIMEOUT, sick).await, "{:?}", role(&cluster).await);
        expect_that!(
            role(&cluster).await.unwrap()["sick"].as_str(),
            some(contains_substring("large"))
        );
        // The two others go on accepting, and all queriers obey.
        let val = json!({ "zones": [{ "name": "after", "state": "open" }] });
        let revision = revision.max(cluster.patch(&val, "after").await.unwrap());
        for i in 0..3 {
            let obeys =
                || async { cluster.applied_revision(i).await.is_some_and(|r| r >= revision) };
            assert!(local_cluster::until(WAIT_TIMEOUT, obeys).await);
        }
        // With room again it comes back whole.
        cluster.controllers[seat].kill();
        cluster.controllers[seat].limit_file_size(None);
        cluster.controllers[seat].start().unwrap();
        let back = || async {
            role(&cluster)
                .await
                .is_some_and(|p| p["role"] == "follower" && p["shown"].as_u64() >= Some(revision))
        };
        assert!(local_cluster::until(WAIT_TIMEOUT, back).await, "{:?}", role(&cluster).await);
    });
}

#[googletest::test]
fn a_controller_started_on_a_full_disk_reports_it_and_recovers_by_itself() {
    run_local(async {
        let mut cluster = LocalCluster::start(layout("full-start", "mohalla", 3)).await.unwrap();
        all_ready(&cluster).await;
        let seat = cluster.config_leader().await.unwrap();
        cluster.controllers[seat].kill();
        cluster.controllers[seat].limit_file_size(Some(0));
        cluster.controllers[seat].start().unwrap();
        let line = cluster.controllers[seat].ready_line().to_string();
        expect_that!(line, contains_substring("waits for its disk"));
        // Which file, and what was tried.
        expect_that!(line, contains_substring("can't write"));
        expect_that!(line, contains_substring("seats.new"));
        let door = cluster.operator_addrs[seat];
        // The cluster's client may still hold a connection to the process that was killed.
        let http = HttpClient::new(1);
        for path in ["readyz", "v1/status", "v1/config"] {
            let request = hyper::Request::get(format!("http://{door}/{path}"))
                .body(http_body_util::Full::default())
                .unwrap();
            let response = http.call_within(request, 1 << 16, WAIT_TIMEOUT).await.unwrap();
            expect_that!(response.status().as_u16(), eq(503), "{path}");
            expect_that!(response.headers().contains_key("retry-after"), eq(true));
            let text = String::from_utf8_lossy(response.body()).to_string();
            expect_that!(text, contains_substring("the disk can't be written"));
        }
        let alive = local_cluster::text(&cluster.http, format!("http://{door}/livez")).await;
        expect_that!(alive, some(eq("ok\n")));
        // A hang-up does not end it, and the two others go on without it.
        cluster.controllers[seat].signal("HUP").unwrap();
        let val = json!({ "zones": [{ "name": "meanwhile", "state": "open" }] });
        cluster.patch(&val, "meanwhile").await.unwrap();
        cluster.controllers[seat].lift_file_size_limit().unwrap();
        assert!(local_cluster::until(WAIT_TIMEOUT, || has_all_roles(&cluster, seat)).await);
    });
}

#[googletest::test]
fn a_controller_waiting_for_its_disk_exits_on_sigterm() {
    run_local(async {
        let mut cluster = LocalCluster::start(layout("full-stop", "mohalla", 3)).await.unwrap();
        cluster.controllers[0].kill();
        cluster.controllers[0].limit_file_size(Some(0));
        cluster.controllers[0].start().unwrap();
        cluster.controllers[0].signal("TERM").unwrap();
        expect_that!(cluster.controllers[0].wait_for_end(WAIT_TIMEOUT), some(eq(0)));
    });
}

/// One number of a process's metrics.
async fn metric(cluster: &LocalCluster, addr: SocketAddr, name: &str) -> Option<u64> {
    let text = local_cluster::text(&cluster.http, format!("http://{addr}/metrics")).await?;
    text.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok())
}

#[googletest::test]
fn files_corrupted_under_a_running_controller_are_rewritten() {
    run_local(async {
        let mut cluster = LocalCluster::start(layout("rot", "mohalla", 3)).await.unwrap();
        all_ready(&cluster).await;
        let dir = cluster.layout.dir.join("seat-1/part-0");
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
        let door = cluster.operator_addrs[1];
        let found = async || metric(&cluster, door, "grebe_rotted_total").await > Some(0);
        assert!(
            local_cluster::until(2 * WAIT_TIMEOUT, found).await,
            "nothing was found to have rotted"
        );
        // What was found is being written: let it be whole before the kill.
        let get = |name: &str| std::fs::read(dir.join(name)).ok();
        let good = async || {
            let (zero, one, log) = (get("slot-0"), get("slot-1"), get("log"));
            let found = read(0, [zero.as_deref(), one.as_deref()], log.as_deref());
            matches!(found, StoredReplica::Intact { .. })
        };
        assert!(local_cluster::until(WAIT_TIMEOUT, good).await, "the files were not written anew");
        // It starts from its own files again, and sets nothing aside.
        cluster.controllers[1].kill();
        cluster.controllers[1].start().unwrap();
        assert!(local_cluster::until(WAIT_TIMEOUT, || has_all_roles(&cluster, 1)).await);
        expect_that!(dir.join("damaged-0").exists(), eq(false));
    });
}
