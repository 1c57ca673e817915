//! Helpers shared by the tests that run real processes.

pub mod zone_changes;

use std::path::PathBuf;
use std::time::Duration;

use hyper::Method;
use serde_json::json;
use testbed::local_cluster::{self, Layout, LocalCluster};

/// Maximum time for a querier to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the folder of a test's files, which no other test uses.
pub fn test_folder(test: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test)
}

/// Returns the layout of a test's cluster: its programs, its folder, the name of the deployment
/// below `deploy/` and the number of queriers.
pub fn layout(test: &str, deployment: &str, queriers: usize) -> Layout {
    let bin = PathBuf::from(env!("CARGO_BIN_EXE_controller"));
    let bin = bin.parent().expect("a program lies in a folder").to_path_buf();
    let deploy = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    Layout { bin, daemons: None, dir: test_folder(test), deploy, name: deployment.into(), queriers }
}

/// Creates a test's folder and removes the files of earlier runs.
pub fn empty_folder(layout: &Layout) {
    let _ = std::fs::remove_dir_all(&layout.dir);
    std::fs::create_dir_all(&layout.dir).expect("a test may write below target/");
}

/// Starts processes, with up to four attempts: another process may bind a port between the search
/// for free ports and the start.
pub fn start_with_retries<T, E: std::fmt::Display>(mut start: impl FnMut() -> Result<T, E>) -> T {
    let mut last_error = String::new();
    for _ in 0..4 {
        match start() {
            Ok(started) => return started,
            Err(error) => last_error = error.to_string(),
        }
    }
    panic!("{last_error}");
}

/// Runs a test's body on a single-threaded runtime, as the daemons do.
pub fn run_local<F: Future>(body: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a test may make a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, body)
}

/// Waits until every querier is ready.
pub async fn all_ready(cluster: &LocalCluster) {
    for querier in 0..cluster.queriers.len() {
        assert!(
            local_cluster::until(READY_TIMEOUT, || cluster.is_ready(querier)).await,
            "querier {querier} is not ready"
        );
    }
}

/// Sends a search to a querier; returns `None` if no response arrives.
pub async fn send_query(
    cluster: &LocalCluster,
    querier: usize,
) -> Option<(u16, serde_json::Value)> {
    let url = format!("http://{}/v1/search/browse", cluster.caller_addrs[querier]);
    let body = json!({ "question": "q", "limit": 3 }).to_string().into_bytes();
    local_cluster::request(&cluster.http, Method::POST, url, body, &[("budget-ms", "900")])
        .await
        .ok()
}

/// Runs all futures concurrently and returns their outputs in the order of completion.
pub async fn join_all<F: Future>(futures: Vec<F>) -> Vec<F::Output> {
    // All futures are polled from the first await on, on the same thread.
    let mut pending: Vec<_> = futures.into_iter().map(Box::pin).collect();
    let mut outputs = Vec::new();
    while !pending.is_empty() {
        let (output, remaining) = select_first(pending).await;
        outputs.push(output);
        pending = remaining;
    }
    outputs
}

/// Returns the output of the first future to complete, and the remaining futures.
pub async fn select_first<F: Future + Unpin>(mut futures: Vec<F>) -> (F::Output, Vec<F>) {
    let (index, output) = std::future::poll_fn(|cx| {
        for (i, future) in futures.iter_mut().enumerate() {
            if let std::task::Poll::Ready(output) = std::pin::Pin::new(future).poll(cx) {
                return std::task::Poll::Ready((i, output));
            }
        }
        std::task::Poll::Pending
    })
    .await;
    drop(futures.remove(index));
    (output, futures)
}

/// Returns whether a voter is follower or leader in every partition.
pub async fn has_all_roles(cluster: &LocalCluster, controller: usize) -> bool {
    cluster.status(controller).await.is_ok_and(|status| {
        status["here"]["parts"].as_array().is_some_and(|partitions| {
            partitions.iter().all(|p| p["role"] == "follower" || p["role"] == "owner")
        })
    })
}
