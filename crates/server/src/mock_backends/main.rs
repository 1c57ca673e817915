//! Mock back ends with the platform's list, and callers, for tests and load runs.

mod cli;
mod error;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use grebepath_simulator::spec;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use testbed::callers::{self, CallerStatistics, poll_readiness, run_load};
use testbed::control_listener;
use testbed::mock_backends::MockBackends;

use crate::error::MockBackendsError;

fn main() {
    let verb = cli::read();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&e.to_string()),
    };
    let local = tokio::task::LocalSet::new();
    let end = match verb {
        cli::Verb::MockBackends { spec, listen, seed } => {
            local.block_on(&runtime, serve_backends(spec, listen, seed))
        }
        cli::Verb::Callers { spec, targets, list, seconds, factor, seed } => {
            local.block_on(&runtime, run_callers(spec, targets, list, seconds, factor, seed))
        }
    };
    if let Err(error) = end {
        fail(&error.to_string());
    }
}

fn fail(text: &str) {
    eprintln!("mock-backends: {text}");
    std::process::exit(1);
}

async fn serve_backends(
    file: String,
    listen: SocketAddr,
    seed: u64,
) -> Result<(), MockBackendsError> {
    let spec = spec::read(&file)?;
    let backends = MockBackends::start(&spec, seed).await?;
    let listener = tokio::net::TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    println!("mock-backends list {addr} leafs {}", backends.borrow().leafs.len());
    tokio::select! {
        _ = control_listener::serve(listener, backends) => {}
        _ = grebepath_runtime::stop::requested() => {}
    }
    Ok(())
}

async fn run_callers(
    file: String,
    targets: Vec<SocketAddr>,
    list: Option<SocketAddr>,
    seconds: u64,
    factor: f64,
    seed: u64,
) -> Result<(), MockBackendsError> {
    let spec = spec::read(&file)?;
    let http = grebepath_runtime::http::client::HttpClient::new(64);
    let statistics = Rc::new(RefCell::new(CallerStatistics::default()));
    let ready = Rc::new(RefCell::new(targets.clone()));
    let end_time = Instant::now() + Duration::from_secs(seconds);
    let readiness_polls = poll_readiness(
        grebepath_runtime::http::client::HttpClient::new(2),
        targets,
        ready.clone(),
        end_time,
    );
    tokio::task::spawn_local(readiness_polls);
    let mut loads = Vec::new();
    for (i, kind) in spec.kinds.iter().enumerate() {
        let seed = seed.wrapping_add(i as u64);
        let (kind, ready, statistics) = (kind.clone(), ready.clone(), statistics.clone());
        let task = run_load(http.clone(), kind, factor, ready, statistics, seed, end_time);
        loads.push(tokio::task::spawn_local(task));
    }
    for task in loads {
        task.await?;
    }
    let runs = match list {
        Some(addr) => fetch_runs(&http, addr).await?,
        None => Vec::new(),
    };
    let report = callers::report(&statistics.borrow(), &runs);
    println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    if report["violations"].as_u64() != Some(0) {
        return Err(MockBackendsError::InvalidAnswers);
    }
    Ok(())
}

async fn fetch_runs(
    http: &grebepath_runtime::http::client::HttpClient,
    addr: SocketAddr,
) -> Result<Vec<Value>, MockBackendsError> {
    let request = Request::get(format!("http://{addr}/runs")).body(Full::default())?;
    let wait = Duration::from_secs(30);
    let response = http.call_within(request, 1 << 30, wait).await?;
    Ok(serde_json::from_slice(response.body())?)
}
