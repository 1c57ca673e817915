//! Callers whose calls take seconds, on connections that they keep until the process at the other
//! end has ended. They keep a querier that was asked to stop running through its grace period.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use grebepath_runtime::http::client::HttpClient;
use grebepath_simulator::spec::{Kind, Spec};
use serde_json::{Value, json};
use testbed::callers::{CallerStatistics, call_once};
use testbed::local_cluster::LocalCluster;
use testbed::local_cluster::error::LocalClusterError;
use tokio::task::JoinHandle;

/// The search that takes long.
const SEARCH: &str = "history";
/// The service whose slow leafs make it take long.
const SERVICE: &str = "mohalla-history-w48-0";
/// Additional latency of the service's leafs (ms).
const LEAF_LATENCY_MS: u64 = 5_000;
/// Budget of the calls, and latency target of the search (ms).
const BUDGET_MS: u64 = 7_000;
/// Number of callers of each querier.
const CALLERS: u64 = 2;
/// Pause between two calls of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Makes the service slow, raises its search's latency target, and starts callers for each querier.
pub async fn start(
    cluster: &LocalCluster,
    spec: &Spec,
    config: &Value,
    statistics: &Rc<RefCell<CallerStatistics>>,
    until: Instant,
) -> Result<Vec<JoinHandle<()>>, LocalClusterError> {
    cluster
        .control_backends(json!({ "do": "slow", "service": SERVICE, "ms": LEAF_LATENCY_MS }))
        .await?;
    let searches = config["searches"].as_array().into_iter().flatten();
    for search in searches.filter(|search| search["name"] == SEARCH) {
        let mut slow_search = search.clone();
        slow_search["promise_ms"] = json!(BUDGET_MS);
        cluster.patch(&json!({ "searches": [slow_search] }), "long-calls").await?;
    }
    let kind = spec.kinds.iter().find(|kind| kind.search == SEARCH).cloned();
    let kind = kind.map(|kind| Rc::new(Kind { budget_ms: BUDGET_MS, ..kind }));
    let caller_addrs =
        cluster.caller_addrs.iter().flat_map(|caller_addr| (0..CALLERS).map(move |_| *caller_addr));
    let numbered_addrs = caller_addrs.zip(0..);
    let callers = numbered_addrs.filter_map(|(caller_addr, number)| {
        let calls = call_repeatedly(caller_addr, kind.clone()?, number, statistics.clone(), until);
        Some(tokio::task::spawn_local(calls))
    });
    Ok(callers.collect())
}

/// Sends one call after the other until `until`.
async fn call_repeatedly(
    caller_addr: SocketAddr,
    kind: Rc<Kind>,
    number: u64,
    statistics: Rc<RefCell<CallerStatistics>>,
    until: Instant,
) {
    let http = HttpClient::new(1);
    let mut call_number = 0;
    while Instant::now() < until {
        call_once(
            http.clone(),
            caller_addr,
            kind.clone(),
            number << 20 | call_number,
            statistics.clone(),
        )
        .await;
        call_number += 1;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
}
