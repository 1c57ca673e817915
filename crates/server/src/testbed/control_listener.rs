//! The stand-ins' own door: the platform's list, and orders to misbehave.
//!
//! `GET /leafs` is the platform's list. `POST /control` takes
//! `{"do": .., "leaf": .., "service": .., "zone": .., "ms": .., "every": ..}`:
//! the order goes to all leafs that match. `GET /state` tells each leaf's
//! counts, `GET /runs` all that was run.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::mock_backends::{Backs, Leaf, Mode, begin, changed, committed, kill};

type Shared = Rc<RefCell<Backs>>;

/// Serves the door until the process ends.
pub async fn serve(listener: TcpListener, backs: Shared) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let backs = backs.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |req| handle(backs.clone(), req));
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn handle(
    backs: Shared,
    req: Request<hyper::body::Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (method, path) = (req.method().clone(), req.uri().path().to_string());
    let body = req.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    let (code, text) = match (method, path.as_str()) {
        (Method::GET, grebepath_core::http_api::list::PATH) => list(&backs).await,
        (Method::GET, "/state") => (200, state(&backs.borrow()).to_string()),
        (Method::GET, "/runs") => (200, runs(&backs.borrow()).to_string()),
        (Method::POST, "/control") => match control(&backs, &body).await {
            Ok(val) => (200, val.to_string()),
            Err(e) => (400, json!({ "error": e }).to_string()),
        },
        _ => (404, json!({ "error": "no such path" }).to_string()),
    };
    let mut resp = Response::new(Full::new(Bytes::from(text)));
    *resp.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    Ok(resp)
}

async fn list(backs: &Shared) -> (u16, String) {
    let mode = backs.borrow().list_mode.clone();
    match mode.as_deref() {
        Some("empty") => (200, json!({ "leafs": [] }).to_string()),
        Some("garbage") => (200, "{\"leafs\": [{\"leaf\": 3}, nonsense".into()),
        Some("dead") => {
            tokio::time::sleep(Duration::from_secs(3600)).await;
            (500, String::new())
        }
        _ => (200, committed(&mut backs.borrow_mut()).to_string()),
    }
}

fn state(b: &Backs) -> Value {
    let leafs: Vec<Value> = b
        .leafs
        .values()
        .map(|l| {
            let l = l.borrow();
            json!({
                "leaf": l.name, "service": l.service.name, "zone": l.zone,
                "addr": l.addr.to_string(), "alive": l.alive.is_some(), "leaving": l.leaving,
                "live": l.live, "worst_pct": l.worst_pct, "ran": l.ran,
                "misdirected": l.misdirected, "reached": l.reached, "changed": l.changed,
                "late_work_ms": l.late_work_ms,
            })
        })
        .collect();
    json!({ "now_ms": b.zero.elapsed().as_millis() as u64, "leafs": leafs })
}

fn runs(b: &Backs) -> Value {
    let list: Vec<Value> = b
        .runs
        .borrow()
        .iter()
        .map(|r| {
            json!([
                r.leaf, r.service, r.cut, r.zone, r.query, r.question, r.key, r.at_ms, r.answered
            ])
        })
        .collect();
    Value::Array(list)
}

/// Carries out an order; tells the leafs it was for.
async fn control(backs: &Shared, body: &[u8]) -> Result<Value, String> {
    let val: Value = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let order = val["do"].as_str().ok_or("`do` is missing")?.to_string();
    let ms = val["ms"].as_u64().unwrap_or(0);
    if let Some(mode) = order.strip_prefix("list-") {
        backs.borrow_mut().list_mode = (mode != "good").then(|| mode.to_string());
        return Ok(json!({ "list": mode }));
    }
    let hits = matching(&backs.borrow(), &val);
    if hits.is_empty() {
        return Err("no leaf matches".into());
    }
    let mut out = Vec::new();
    for leaf in &hits {
        out.push(one(backs, leaf, &order, ms, &val).await?);
    }
    changed(&mut backs.borrow_mut());
    Ok(json!({ "leafs": out }))
}

fn matching(b: &Backs, val: &Value) -> Vec<Rc<RefCell<Leaf>>> {
    let fits = |key: &str, has: &str| val[key].as_str().is_none_or(|want| want == has);
    let mut hits: Vec<_> = b
        .leafs
        .values()
        .filter(|l| {
            let l = l.borrow();
            // A dead leaf's address may be another's by now.
            l.alive.is_some()
                && fits("leaf", &l.name)
                && fits("service", &l.service.name)
                && fits("zone", &l.zone)
        })
        .cloned()
        .collect();
    if let Some(most) = val["count"].as_u64() {
        hits.truncate(most as usize);
    }
    hits
}

async fn one(
    backs: &Shared,
    leaf: &Rc<RefCell<Leaf>>,
    order: &str,
    ms: u64,
    val: &Value,
) -> Result<Value, String> {
    let mode = match order {
        "good" => Mode::Good,
        "slow" => Mode::Slow(ms),
        "dark" => Mode::Dark,
        "pauses" => {
            Mode::Pauses { every: val["every"].as_u64().unwrap_or(3_000).max(1), pause: ms }
        }
        "garbage" => Mode::Garbage,
        "cut-short" => Mode::CutShort,
        "disorder" => Mode::Disorder,
        "no-postmark" => Mode::NoPostmark,
        "two-postmarks" => Mode::TwoPostmarks,
        "stale-postmark" => Mode::StalePostmark,
        "wrong-cut" => Mode::WrongCut,
        "overlong" => Mode::Overlong,
        "unrun" => Mode::Unrun,
        "leave" => {
            let mut l = leaf.borrow_mut();
            l.leaving = true;
            l.left_at = Some(Instant::now());
            return Ok(json!(l.name));
        }
        "kill" | "restart" | "reuse" => {
            let (mut service, zone, addr) = {
                let l = leaf.borrow();
                (l.service.clone(), l.zone.clone(), l.addr)
            };
            kill(leaf);
            if order == "kill" {
                return Ok(json!(leaf.borrow().name));
            }
            if order == "reuse" {
                // Another service takes the address over.
                service.name = val["by"].as_str().unwrap_or("stranger").to_string();
            }
            let got = begin(backs, service, &zone, addr, Duration::ZERO).await;
            return got.map(|name| json!(name)).map_err(|e| e.to_string());
        }
        other => return Err(format!("unknown order `{other}`")),
    };
    let mut l = leaf.borrow_mut();
    l.mode = mode;
    Ok(json!(l.name))
}
