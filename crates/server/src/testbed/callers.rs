//! Callers for tests: an open-loop load of each kind of call, with a check of every answer.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use grebepath_core::random::Random;
use grebepath_runtime::http::client::{HttpClient, HttpError};
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

use grebepath_simulator::check::{Asked, against_runs, success};
use grebepath_simulator::spec::Kind;

/// Outcomes of all calls, and what is needed to check them.
#[derive(Default)]
pub struct CallerStatistics {
    pub kinds: BTreeMap<String, KindStatistics>,
    pub violations: Vec<String>,
    pub violation_count: u64,
    /// Query id, services that the answer names, and question of each success, for the check
    /// against the leafs' log.
    pub claims: Vec<(String, Vec<String>, String)>,
    pub asked: BTreeSet<String>,
    pub next: u64,
    pub revisions: BTreeMap<SocketAddr, u64>,
}

/// Statistics of one kind of call.
#[derive(Default, Clone)]
pub struct KindStatistics {
    pub full: u64,
    pub partial: u64,
    pub rejected: BTreeMap<String, u64>,
    pub unreachable: u64,
    pub late: u64,
    /// Latencies of successes (µs).
    pub latencies_us: Vec<u64>,
}

/// Addresses of the queriers that are ready, among which callers choose.
pub type Targets = Rc<RefCell<Vec<SocketAddr>>>;

/// Polls the readiness of all queriers about once a second, as the platform does, until `until`.
pub async fn poll_readiness(
    http: HttpClient,
    all: Vec<SocketAddr>,
    ready: Targets,
    until: Instant,
) {
    while Instant::now() < until {
        let mut list = Vec::new();
        for addr in &all {
            if is_ready(&http, *addr).await {
                list.push(*addr);
            }
        }
        *ready.borrow_mut() = list;
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
}

/// Whether a node reports that it is ready.
pub async fn is_ready(http: &HttpClient, addr: SocketAddr) -> bool {
    let Ok(request) = Request::get(format!("http://{addr}/readyz")).body(Full::default()) else {
        return false;
    };
    let result = http.call_within(request, 1024, Duration::from_millis(300)).await;
    result.is_ok_and(|r| r.status() == 200)
}

/// Sends calls of one kind at the kind's rate times `factor` until `until`.
pub async fn run_load(
    http: HttpClient,
    kind: Kind,
    factor: f64,
    targets: Targets,
    statistics: Rc<RefCell<CallerStatistics>>,
    seed: u64,
    until: Instant,
) {
    let mut random = Random::new(seed);
    let gap = Duration::from_secs_f64(1.0 / (kind.calls_per_second * factor));
    let start = Instant::now();
    let mut calls_sent = 0u32;
    let kind = Rc::new(kind);
    let calls = tokio::task::LocalSet::new();
    let sending = async {
        loop {
            let at = start + gap * calls_sent;
            if at >= until {
                return;
            }
            tokio::time::sleep_until(at.into()).await;
            calls_sent += 1;
            let addr = pick(&mut random, &targets);
            let num = random.below(1 << 40);
            match addr {
                Some(addr) => {
                    tokio::task::spawn_local(call_once(
                        http.clone(),
                        addr,
                        kind.clone(),
                        num,
                        statistics.clone(),
                    ));
                }
                None => kind_statistics(&statistics, &kind).unreachable += 1,
            }
        }
    };
    calls.run_until(sending).await;
    calls.await;
}

fn kind_statistics<'a>(
    statistics: &'a Rc<RefCell<CallerStatistics>>,
    kind: &Kind,
) -> std::cell::RefMut<'a, KindStatistics> {
    std::cell::RefMut::map(statistics.borrow_mut(), |all_statistics| {
        all_statistics.kinds.entry(kind.search.clone()).or_default()
    })
}

fn pick(random: &mut Random, targets: &Targets) -> Option<SocketAddr> {
    let list = targets.borrow();
    let index = random.below(list.len() as u64) as usize;
    list.get(index).copied()
}

/// Sends one call and checks its answer.
pub async fn call_once(
    http: HttpClient,
    addr: SocketAddr,
    kind: Rc<Kind>,
    num: u64,
    statistics: Rc<RefCell<CallerStatistics>>,
) {
    let id = {
        let mut all_statistics = statistics.borrow_mut();
        all_statistics.next += 1;
        all_statistics.next
    };
    let asked = Asked {
        question: format!("{}-{id}-{num:x}", kind.search),
        key: kind.lookup.then(|| format!("key-{num:x}")),
    };
    statistics.borrow_mut().asked.insert(asked.question.clone());
    let body = json!({ "question": asked.question, "limit": kind.limit });
    let mut body = body;
    if let Some(key) = &asked.key {
        body["key"] = json!(key);
    }
    let request = Request::post(format!("http://{addr}/v1/search/{}", kind.search))
        .header("budget-ms", kind.budget_ms.to_string())
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(request) = request else { return };
    let start = Instant::now();
    let wait = Duration::from_millis(kind.budget_ms);
    // Waits 500 ms longer than the budget, to tell late answers from lost ones.
    let result = http.call_within(request, 16 << 20, wait + Duration::from_millis(500)).await;
    let elapsed = start.elapsed();
    let mut all_statistics = statistics.borrow_mut();
    let kind_totals = all_statistics.kinds.entry(kind.search.clone()).or_default();
    let response = match result {
        Ok(response) => response,
        Err(HttpError::TimedOut) => {
            kind_totals.late += 1;
            return;
        }
        Err(_) => {
            kind_totals.unreachable += 1;
            return;
        }
    };
    if elapsed > wait {
        kind_totals.late += 1;
    }
    if response.status() != 200 {
        let body_json: Value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
        let reason = body_json["error"].as_str().unwrap_or("?").to_string();
        *kind_totals.rejected.entry(reason).or_default() += 1;
        return;
    }
    let missing = response.headers().get("missing-parts").and_then(|v| v.to_str().ok());
    match missing {
        Some("0") => kind_totals.full += 1,
        _ => kind_totals.partial += 1,
    }
    kind_totals.latencies_us.push(elapsed.as_micros() as u64);
    let (violations, services) = success(&kind, &asked, missing, response.body());
    let body_json: Value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
    let query = body_json["query"].as_str().unwrap_or_default().to_string();
    let revision = body_json["revision"].as_u64().unwrap_or(0);
    all_statistics.revisions.insert(addr, revision);
    all_statistics.claims.push((query.clone(), services, asked.question));
    for text in violations {
        all_statistics.violation_count += 1;
        if all_statistics.violations.len() < 20 {
            all_statistics.violations.push(format!("{query}: {text}"));
        }
    }
}

/// Returns a percentile of sorted numbers, or 0 if there are none.
pub fn quantile(list: &[u64], pct: usize) -> u64 {
    if list.is_empty() {
        return 0;
    }
    list[(list.len() * pct / 100).min(list.len() - 1)]
}

/// Returns the statistics as JSON, with the results of the check against the leafs' log.
pub fn report(statistics: &CallerStatistics, runs: &[Value]) -> Value {
    let mut kinds = serde_json::Map::new();
    for (name, k) in &statistics.kinds {
        let mut latencies_us = k.latencies_us.clone();
        latencies_us.sort_unstable();
        let rejected: u64 = k.rejected.values().sum();
        let all = k.full + k.partial + rejected + k.unreachable;
        kinds.insert(
            name.clone(),
            json!({
                "calls": all, "full": k.full, "partial": k.partial, "bounced": k.rejected,
                "unreachable": k.unreachable, "late": k.late,
                "full_pct": if all == 0 { 0.0 } else { 100.0 * k.full as f64 / all as f64 },
                "wait_ms": { "p50": quantile(&latencies_us, 50) as f64 / 1000.0,
                             "p90": quantile(&latencies_us, 90) as f64 / 1000.0,
                             "p99": quantile(&latencies_us, 99) as f64 / 1000.0,
                             "max": latencies_us.last().copied().unwrap_or(0) as f64 / 1000.0 },
            }),
        );
    }
    let log = against_runs(&statistics.claims, &statistics.asked, runs);
    let violations: Vec<&String> =
        statistics.violations.iter().chain(log.iter().take(20)).collect();
    json!({
        "kinds": kinds, "violations": statistics.violation_count + log.len() as u64,
        "first": violations,
        "claims": statistics.claims.len(), "runs": runs.len(),
    })
}
