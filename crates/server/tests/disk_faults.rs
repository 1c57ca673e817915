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
        // The leader of the configuration partition restarts on a disk with 64 KiB left.
        let leader = cluster.config_leader().await.unwrap();
        cluster.controllers[leader].kill();
        cluster.controllers[leader].limit_file_size(Some(128));
        cluster.controllers[leader].start().unwrap();
        let role = async |cluster: &LocalCluster| {
            let s = cluster.status(leader).await.ok()?;
            Some(s["here"]["parts"][0].clone())
        };
        let is_follower =
            || async { role(&cluster).await.is_some_and(|p| p["role"] == "follower") };
        assert!(local_cluster::until(WAIT_TIMEOUT, is_follower).await);
        let change = json!({ "pools": [{ "name": "wide", "service": "wide",
                                      "labels": { "note": "x".repeat(100_000) } }] });
        let revision = cluster.patch(&change, "wide").await.unwrap();
        let is_sick = || async { role(&cluster).await.is_some_and(|p| p["role"] == "sick") };
        assert!(local_cluster::until(WAIT_TIMEOUT, is_sick).await, "{:?}", role(&cluster).await);
        expect_that!(
            role(&cluster).await.unwrap()["sick"].as_str(),
            some(contains_substring("large"))
        );
        // The two other voters still accept changes, and all queriers apply them.
        let change = json!({ "zones": [{ "name": "after", "state": "open" }] });
        let revision = revision.max(cluster.patch(&change, "after").await.unwrap());
        for querier in 0..3 {
            let has_applied =
                || async { cluster.applied_revision(querier).await.is_some_and(|r| r >= revision) };
            assert!(local_cluster::until(WAIT_TIMEOUT, has_applied).await);
        }
        // With free disk space the voter recovers completely.
        cluster.controllers[leader].kill();
        cluster.controllers[leader].limit_file_size(None);
        cluster.controllers[leader].start().unwrap();
        let has_recovered = || async {
            role(&cluster)
                .await
                .is_some_and(|p| p["role"] == "follower" && p["shown"].as_u64() >= Some(revision))
        };
        assert!(
            local_cluster::until(WAIT_TIMEOUT, has_recovered).await,
            "{:?}",
            role(&cluster).await
        );
    });
}

#[googletest::test]
fn a_controller_started_on_a_full_disk_reports_it_and_recovers_by_itself() {
    run_local(async {
        let mut cluster = LocalCluster::start(layout("full-start", "mohalla", 3)).await.unwrap();
        all_ready(&cluster).await;
        let leader = cluster.config_leader().await.unwrap();
        cluster.controllers[leader].kill();
        cluster.controllers[leader].limit_file_size(Some(0));
        cluster.controllers[leader].start().unwrap();
        let ready_line = cluster.controllers[leader].ready_line().to_string();
        expect_that!(ready_line, contains_substring("waits for its disk"));
        // It names the file and the failed operation.
        expect_that!(ready_line, contains_substring("can't write"));
        expect_that!(ready_line, contains_substring("seats.new"));
        let operator_addr = cluster.operator_addrs[leader];
        // The cluster's client may still hold a connection to the process that was killed.
        let http = HttpClient::new(1);
        for path in ["readyz", "v1/status", "v1/config"] {
            let request = hyper::Request::get(format!("http://{operator_addr}/{path}"))
                .body(http_body_util::Full::default())
                .unwrap();
            let response = http.call_within(request, 1 << 16, WAIT_TIMEOUT).await.unwrap();
            expect_that!(response.status().as_u16(), eq(503), "{path}");
            expect_that!(response.headers().contains_key("retry-after"), eq(true));
            let text = String::from_utf8_lossy(response.body()).to_string();
            expect_that!(text, contains_substring("the disk can't be written"));
        }
        let liveness =
            local_cluster::text(&cluster.http, format!("http://{operator_addr}/livez")).await;
        expect_that!(liveness, some(eq("ok\n")));
        // SIGHUP does not end it, and the two other voters accept changes without it.
        cluster.controllers[leader].signal("HUP").unwrap();
        let change = json!({ "zones": [{ "name": "meanwhile", "state": "open" }] });
        cluster.patch(&change, "meanwhile").await.unwrap();
        cluster.controllers[leader].lift_file_size_limit().unwrap();
        assert!(local_cluster::until(WAIT_TIMEOUT, || has_all_roles(&cluster, leader)).await);
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

/// Returns the value of one metric of a process.
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
        // One bit is flipped in place in each file that exists.
        for name in ["slot-0", "slot-1", "log"] {
            let path = dir.join(name);
            if let Ok(bytes) = std::fs::read(&path) {
                use std::os::unix::fs::FileExt;
                let offset = bytes.len() / 2;
                let file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
                file.write_all_at(&[bytes[offset] ^ 0x10], offset as u64).unwrap();
            }
        }
        let operator_addr = cluster.operator_addrs[1];
        let found = async || metric(&cluster, operator_addr, "grebe_rotted_total").await > Some(0);
        assert!(local_cluster::until(2 * WAIT_TIMEOUT, found).await, "no corruption was found");
        // Waits until the repair is complete before the kill.
        let read_file = |name: &str| std::fs::read(dir.join(name)).ok();
        let is_intact = async || {
            let (zero, one, log) = (read_file("slot-0"), read_file("slot-1"), read_file("log"));
            let found = read(0, [zero.as_deref(), one.as_deref()], log.as_deref());
            matches!(found, StoredReplica::Intact { .. })
        };
        assert!(
            local_cluster::until(WAIT_TIMEOUT, is_intact).await,
            "the files were not rewritten"
        );
        // It restarts from its own files and moves none aside as damaged.
        cluster.controllers[1].kill();
        cluster.controllers[1].start().unwrap();
        assert!(local_cluster::until(WAIT_TIMEOUT, || has_all_roles(&cluster, 1)).await);
        expect_that!(dir.join("damaged-0").exists(), eq(false));
    });
}
