//! What the tests of real processes share.

pub mod zone_orders;

use std::path::PathBuf;
use std::time::Duration;

use hyper::Method;
use serde_json::json;
use testbed::local_cluster::{self, Layout, LocalCluster};

/// How long queriers may take to become ready.
const READY_WAIT: Duration = Duration::from_secs(20);

/// Folder for a test's files; nothing else uses it.
pub fn folder(test: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test)
}

/// Where a test's programs and files are: a cluster of a deployment of ours, with so
/// many queriers.
pub fn layout(test: &str, deployment: &str, queriers: usize) -> Layout {
    let bin = PathBuf::from(env!("CARGO_BIN_EXE_controller"));
    let bin = bin.parent().expect("a program lies in a folder").to_path_buf();
    let deploy = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    Layout { bin, daemons: None, dir: folder(test), deploy, name: deployment.into(), queriers }
}

/// Makes a test's folder, without what an earlier run left there.
pub fn empty_folder(layout: &Layout) {
    let _ = std::fs::remove_dir_all(&layout.dir);
    std::fs::create_dir_all(&layout.dir).expect("a test may write below target/");
}

/// Starts processes: another process may take a port between our look and our start,
/// so a start that fails is tried again.
pub fn start_again<T, E: std::fmt::Display>(mut start: impl FnMut() -> Result<T, E>) -> T {
    let mut trouble = String::new();
    for _ in 0..4 {
        match start() {
            Ok(started) => return started,
            Err(why) => trouble = why.to_string(),
        }
    }
    panic!("{trouble}");
}

/// Runs a test's body on one thread, as the daemons do.
pub fn block<F: Future>(body: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a test may make a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, body)
}

/// Waits until every querier is ready.
pub async fn all_ready(f: &LocalCluster) {
    for i in 0..f.queriers.len() {
        assert!(
            local_cluster::until(READY_WAIT, || f.is_ready(i)).await,
            "querier {i} is not ready"
        );
    }
}

/// Sends a search to a querier; nothing without an answer.
pub async fn ask(f: &LocalCluster, i: usize) -> Option<(u16, serde_json::Value)> {
    let url = format!("http://{}/v1/search/browse", f.caller_addrs[i]);
    let body = json!({ "question": "q", "limit": 3 }).to_string().into_bytes();
    local_cluster::request(&f.http, Method::POST, url, body, &[("budget-ms", "900")]).await.ok()
}

/// All answers, asked at once.
pub async fn at_once<F: Future>(list: Vec<F>) -> Vec<F::Output> {
    // Each is polled from the first await on, since all share one thread.
    let mut left: Vec<_> = list.into_iter().map(Box::pin).collect();
    let mut out = Vec::new();
    while !left.is_empty() {
        let (got, rest) = first(left).await;
        out.push(got);
        left = rest;
    }
    out
}

/// The first of several to be done, and the rest.
pub async fn first<F: Future + Unpin>(mut list: Vec<F>) -> (F::Output, Vec<F>) {
    let (at, got) = std::future::poll_fn(|cx| {
        for (i, f) in list.iter_mut().enumerate() {
            if let std::task::Poll::Ready(got) = std::pin::Pin::new(f).poll(cx) {
                return std::task::Poll::Ready((i, got));
            }
        }
        std::task::Poll::Pending
    })
    .await;
    drop(list.remove(at));
    (got, list)
}

/// Whether a voter has a role in every partition.
pub async fn has_all_roles(f: &LocalCluster, seat: usize) -> bool {
    f.status(seat).await.is_ok_and(|s| {
        s["here"]["parts"]
            .as_array()
            .is_some_and(|p| p.iter().all(|p| p["role"] == "follower" || p["role"] == "owner"))
    })
}
