//! The mock back ends' control listener: serves the platform's list and injects faults.
//!
//! `GET /leafs` returns the platform's list. `POST /control` takes a command
//! `{"do": .., "leaf": .., "service": .., "zone": .., "ms": .., "every": ..}` and
//! applies it to all matching leafs. `GET /state` returns the counters of each leaf,
//! `GET /runs` the log of all requests that leafs ran.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use thiserror::Error;
use tokio::net::TcpListener;

use crate::mock_backends::{Leaf, MockBackends, Mode, start_leaf};

type Shared = Rc<RefCell<MockBackends>>;

/// Serves control requests until the process ends.
pub async fn serve(listener: TcpListener, backends: Shared) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let backends = backends.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |req| handle(backends.clone(), req));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn handle(
    backends: Shared,
    req: Request<hyper::body::Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (method, path) = (req.method().clone(), req.uri().path().to_string());
    let body = req.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    let (code, text) = match (method, path.as_str()) {
        (Method::GET, grebepath_core::http_api::list::PATH) => list(&backends).await,
        (Method::GET, "/state") => (200, state(&backends.borrow()).to_string()),
        (Method::GET, "/runs") => (200, runs(&backends.borrow()).to_string()),
        (Method::POST, "/control") => match control(&backends, &body).await {
            Ok(reply) => (200, reply.to_string()),
            Err(error) => (400, json!({ "error": error.to_string() }).to_string()),
        },
        _ => (404, json!({ "error": "no such path" }).to_string()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    Ok(response)
}

async fn list(backends: &Shared) -> (u16, String) {
    let mode = backends.borrow().list_mode.clone();
    match mode.as_deref() {
        Some("empty") => (200, json!({ "leafs": [] }).to_string()),
        Some("garbage") => (200, "{\"leafs\": [{\"leaf\": 3}, nonsense".into()),
        Some("dead") => {
            tokio::time::sleep(Duration::from_secs(3600)).await;
            (500, String::new())
        }
        _ => (200, backends.borrow_mut().published_list().to_string()),
    }
}

fn state(backends: &MockBackends) -> Value {
    let leafs: Vec<Value> = backends
        .leafs
        .values()
        .map(|leaf| {
            let leaf = leaf.borrow();
            json!({
                "leaf": leaf.name, "service": leaf.service.name, "zone": leaf.zone,
                "version": leaf.version, "addr": leaf.addr.to_string(),
                "alive": leaf.serving_task.is_some(), "leaving": leaf.leaving,
                "live": leaf.in_flight, "worst_pct": leaf.peak_load_pct, "ran": leaf.run_count,
                "misdirected": leaf.misdirected, "reached": leaf.misdirected_work,
                "changed": leaf.altered_queries,
                "late_work_ms": leaf.last_work_after_drain_ms,
            })
        })
        .collect();
    json!({ "now_ms": backends.started_at.elapsed().as_millis() as u64, "leafs": leafs })
}

fn runs(backends: &MockBackends) -> Value {
    let list: Vec<Value> = backends
        .runs
        .borrow()
        .iter()
        .map(|r| {
            json!([
                r.leaf,
                r.service,
                r.index_version,
                r.zone,
                r.query,
                r.question,
                r.key,
                r.at_ms,
                r.answered
            ])
        })
        .collect();
    Value::Array(list)
}

/// Why a control command failed.
#[derive(Debug, Error)]
enum ControlError {
    #[error("{0}")]
    NotJson(#[from] serde_json::Error),
    #[error("`do` is missing")]
    Missing,
    #[error("no leaf matches")]
    NoMatch,
    #[error("unknown order `{0}`")]
    Unknown(String),
    #[error("{0}")]
    Start(#[from] std::io::Error),
}

/// Applies a command. Returns the leafs that it was applied to.
async fn control(backends: &Shared, body: &[u8]) -> Result<Value, ControlError> {
    let request: Value = serde_json::from_slice(body)?;
    let command = request["do"].as_str().ok_or(ControlError::Missing)?.to_string();
    let ms = request["ms"].as_u64().unwrap_or(0);
    if let Some(mode) = command.strip_prefix("list-") {
        backends.borrow_mut().list_mode = (mode != "good").then(|| mode.to_string());
        return Ok(json!({ "list": mode }));
    }
    let matching_leafs = matching(&backends.borrow(), &request);
    if matching_leafs.is_empty() {
        return Err(ControlError::NoMatch);
    }
    let mut out = Vec::new();
    for leaf in &matching_leafs {
        out.push(apply_command(backends, leaf, &command, ms, &request).await?);
    }
    backends.borrow_mut().publish_change();
    Ok(json!({ "leafs": out }))
}

fn matching(backends: &MockBackends, request: &Value) -> Vec<Rc<RefCell<Leaf>>> {
    let matches = |key: &str, has: &str| request[key].as_str().is_none_or(|want| want == has);
    let mut matching_leafs: Vec<_> = backends
        .leafs
        .values()
        .filter(|leaf_state| {
            let leaf_state = leaf_state.borrow();
            // The address of a stopped leaf may belong to another leaf by now.
            leaf_state.serving_task.is_some()
                && matches("leaf", &leaf_state.name)
                && matches("service", &leaf_state.service.name)
                && matches("zone", &leaf_state.zone)
        })
        .cloned()
        .collect();
    if let Some(max_count) = request["count"].as_u64() {
        matching_leafs.truncate(max_count as usize);
    }
    matching_leafs
}

async fn apply_command(
    backends: &Shared,
    leaf: &Rc<RefCell<Leaf>>,
    command: &str,
    ms: u64,
    request: &Value,
) -> Result<Value, ControlError> {
    if command == "new-version" {
        return new_version(backends, leaf, ms, request).await;
    }
    if let Some(mode) = mode(command, ms, request) {
        let mut leaf_state = leaf.borrow_mut();
        leaf_state.mode = mode;
        return Ok(json!(leaf_state.name));
    }
    match command {
        "leave" | "leave-unseen" => {
            let mut leaf_state = leaf.borrow_mut();
            leaf_state.leaving = true;
            leaf_state.reports_leaving = command == "leave";
            leaf_state.draining_since = Some(Instant::now());
            Ok(json!(leaf_state.name))
        }
        "kill" | "restart" | "reuse" => {
            let (mut service, zone, addr) = {
                let leaf_state = leaf.borrow();
                (leaf_state.service.clone(), leaf_state.zone.clone(), leaf_state.addr)
            };
            leaf.borrow_mut().kill();
            if command == "kill" {
                return Ok(json!(leaf.borrow().name));
            }
            if command == "reuse" {
                // A leaf of another service takes over the address.
                service.name = request["by"].as_str().unwrap_or("stranger").to_string();
            }
            let new_name = start_leaf(backends, service, &zone, addr, Duration::ZERO).await;
            Ok(json!(new_name?))
        }
        other => Err(ControlError::Unknown(other.to_string())),
    }
}

/// Parses the name of a mode.
fn mode(word: &str, ms: u64, request: &Value) -> Option<Mode> {
    Some(match word {
        "good" => Mode::Good,
        "slow" => Mode::Slow(ms),
        "dark" => Mode::Unresponsive,
        "pauses" => {
            Mode::Pauses { every: request["every"].as_u64().unwrap_or(3_000).max(1), pause: ms }
        }
        "garbage" => Mode::Garbage,
        "cut-short" => Mode::Truncated,
        "disorder" => Mode::Unsorted,
        "no-postmark" => Mode::NoPostmark,
        "two-postmarks" => Mode::TwoPostmarks,
        "stale-postmark" => Mode::StalePostmark,
        "wrong-cut" => Mode::WrongIndexVersion,
        "overlong" => Mode::Overlong,
        "unrun" => Mode::RejectAll,
        _ => return None,
    })
}

/// Starts a leaf of another version beside an existing one, in the mode that the command names.
async fn new_version(
    backends: &Shared,
    leaf: &Rc<RefCell<Leaf>>,
    ms: u64,
    request: &Value,
) -> Result<Value, ControlError> {
    let (service, zone) = {
        let leaf_state = leaf.borrow();
        (leaf_state.service.clone(), leaf_state.zone.clone())
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let age = Duration::from_millis(service.slow_start_ms);
    let name = start_leaf(backends, service, &zone, address, age).await?;
    if let Some(leaf) = backends.borrow().leafs.get(&name) {
        let mut leaf = leaf.borrow_mut();
        leaf.version = request["version"].as_str().unwrap_or("v2").to_string();
        leaf.mode =
            mode(request["mode"].as_str().unwrap_or("good"), ms, request).unwrap_or(Mode::Good);
    }
    Ok(json!(name))
}
