//! The server of a mock leaf, which answers requests according to the leaf's mode.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use grebepath_core::digest::digest;
use grebepath_core::http_api::leaf as leaf_api;
use grebepath_core::random::Random;
use http_body_util::BodyExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use grebepath_simulator::oracle;

use super::leaf::{Leaf, Mode, Run};

/// Serves a leaf until its task is aborted.
pub async fn serve(
    listener: TcpListener,
    leaf: Rc<RefCell<Leaf>>,
    runs: Rc<RefCell<Vec<Run>>>,
    random: Rc<RefCell<Random>>,
    started_at: Instant,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            got = listener.accept() => {
                let Ok((stream, _)) = got else { continue };
                let _ = stream.set_nodelay(true);
                let (leaf, runs, random) = (leaf.clone(), runs.clone(), random.clone());
                let service = service_fn(move |req| {
                    handle(leaf.clone(), runs.clone(), random.clone(), started_at, req)
                });
                connections.spawn_local(async move {
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// A response body that may break off before its end.
pub struct Body {
    bytes: Option<Bytes>,
    truncated: bool,
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<Bytes>, std::io::Error>>> {
        use std::task::Poll::Ready;
        match self.bytes.take() {
            Some(bytes) => Ready(Some(Ok(hyper::body::Frame::data(bytes)))),
            None if self.truncated => Ready(Some(Err(std::io::Error::other("cut short")))),
            None => Ready(None),
        }
    }
}

type Reply = Response<Body>;

/// Decrements the number of requests in flight when the handling of a request ends.
struct InFlightGuard(Rc<RefCell<Leaf>>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.borrow_mut().in_flight -= 1;
    }
}

async fn handle(
    leaf: Rc<RefCell<Leaf>>,
    runs: Rc<RefCell<Vec<Run>>>,
    random: Rc<RefCell<Random>>,
    started_at: Instant,
    req: Request<hyper::body::Incoming>,
) -> Result<Reply, Infallible> {
    let header_text = |name: &str| {
        req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_string()
    };
    let (want, service) =
        (header_text(leaf_api::EXPECT_LEAF), header_text(leaf_api::EXPECT_SERVICE));
    let probe = req.uri().path() == leaf_api::SELF_PATH;
    let (query, query_digest) =
        (header_text(leaf_api::QUERY_ID), header_text(leaf_api::QUESTION_DIGEST));
    let body = match req.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Ok(empty_reply(&leaf, 400)),
    };
    if let Some(code) =
        check_request(&leaf, &want, &service, (!probe).then_some((&body, &query_digest)))
    {
        return Ok(reject(&leaf, code));
    }
    if probe {
        if leaf.borrow().mode == Mode::Unresponsive {
            std::future::pending::<()>().await;
        }
        return Ok(empty_reply(&leaf, 200));
    }
    let Ok(query_json) = serde_json::from_slice::<Value>(&body) else {
        return Ok(reject(&leaf, 400));
    };
    let (in_flight, capacity, mode) = {
        let mut leaf_state = leaf.borrow_mut();
        leaf_state.in_flight += 1;
        let capacity = leaf_state.capacity();
        leaf_state.peak_load_pct =
            leaf_state.peak_load_pct.max(leaf_state.in_flight * 100 / capacity);
        if let Some(at) = leaf_state.draining_since {
            leaf_state.last_work_after_drain_ms =
                leaf_state.last_work_after_drain_ms.max(at.elapsed().as_millis() as u64);
        }
        (leaf_state.in_flight, capacity, leaf_state.mode.clone())
    };
    let _guard = InFlightGuard(leaf.clone());
    if mode == Mode::RejectAll || in_flight > capacity * 3 {
        return Ok(reject(&leaf, 503));
    }
    let question = query_json["question"].as_str().unwrap_or_default().to_string();
    let key = query_json["key"].as_str().map(str::to_string);
    let limit = query_json["limit"].as_u64().unwrap_or(0) as usize;
    let run_index = note_run(&leaf, &runs, started_at, &query, &question, &key);
    let base_ms = leaf.borrow().service.service_time_ms;
    let noise_ms = random.borrow_mut().below(base_ms + 1);
    let overload_ms =
        u64::from(in_flight.saturating_sub(capacity)) * base_ms / u64::from(capacity.max(1));
    let extra_ms = match &mode {
        Mode::Slow(ms) => *ms,
        Mode::Unresponsive => 3_600_000,
        Mode::Pauses { every, pause } => {
            let phase = started_at.elapsed().as_millis() as u64 % every;
            pause.saturating_sub(phase)
        }
        _ => 0,
    };
    tokio::time::sleep(Duration::from_millis(base_ms / 2 + noise_ms / 2 + overload_ms + extra_ms))
        .await;
    // A single record can't be out of order.
    let ordered = mode == Mode::Unsorted && limit == 1;
    if ordered || matches!(mode, Mode::Good | Mode::Slow(_) | Mode::Pauses { .. }) {
        runs.borrow_mut()[run_index].answered = true;
    }
    Ok(answer(&leaf, &mode, &query, &query_digest, (&question, key.as_deref(), limit)))
}

/// Returns the status of the rejection if a request is meant for another leaf or was altered.
fn check_request(
    leaf: &Rc<RefCell<Leaf>>,
    want: &str,
    service: &str,
    body: Option<(&[u8], &str)>,
) -> Option<u16> {
    let mut leaf_state = leaf.borrow_mut();
    if want != leaf_state.name || service != leaf_state.service.name {
        leaf_state.misdirected += 1;
        leaf_state.misdirected_work += u64::from(body.is_some());
        return Some(leaf_api::MISDIRECTED);
    }
    if body.is_some_and(|(body, query_digest)| digest(body) != query_digest) {
        leaf_state.altered_queries += 1;
        return Some(400);
    }
    None
}

fn note_run(
    leaf: &Rc<RefCell<Leaf>>,
    runs: &Rc<RefCell<Vec<Run>>>,
    started_at: Instant,
    query: &str,
    question: &str,
    key: &Option<String>,
) -> usize {
    let mut leaf_state = leaf.borrow_mut();
    leaf_state.run_count += 1;
    runs.borrow_mut().push(Run {
        leaf: leaf_state.name.clone(),
        service: leaf_state.service.name.clone(),
        index_version: leaf_state.service.index_version.clone(),
        zone: leaf_state.zone.clone(),
        query: query.to_string(),
        question: question.to_string(),
        key: key.clone(),
        at_ms: started_at.elapsed().as_millis() as u64,
        answered: false,
    });
    runs.borrow().len() - 1
}

fn reply_builder(leaf: &Rc<RefCell<Leaf>>, code: u16) -> hyper::http::response::Builder {
    let leaf_state = leaf.borrow();
    let busy = (f64::from(leaf_state.in_flight) / f64::from(leaf_state.capacity())).min(1.0);
    let mut out = Response::builder()
        .status(code)
        .header(leaf_api::BUSY, format!("{busy:.2}"))
        .header(leaf_api::LEAF_AGE, leaf_state.started_at.elapsed().as_millis().to_string());
    if leaf_state.leaving && leaf_state.reports_leaving {
        out = out.header(leaf_api::LEAF_STATE, "leaving");
    }
    out
}

fn finish_reply(
    out: hyper::http::response::Builder,
    body: impl Into<Bytes>,
    truncated: bool,
) -> Reply {
    match out.body(Body { bytes: Some(body.into()), truncated }) {
        Ok(reply) => reply,
        Err(_) => Response::new(Body { bytes: None, truncated: true }),
    }
}

fn empty_reply(leaf: &Rc<RefCell<Leaf>>, code: u16) -> Reply {
    finish_reply(reply_builder(leaf, code), "", false)
}

fn reject(leaf: &Rc<RefCell<Leaf>>, code: u16) -> Reply {
    finish_reply(reply_builder(leaf, code).header(leaf_api::REJECTED, "1"), "", false)
}

fn answer(
    leaf: &Rc<RefCell<Leaf>>,
    mode: &Mode,
    query: &str,
    query_digest: &str,
    (question, key, limit): (&str, Option<&str>, usize),
) -> Reply {
    let (name, service) = {
        let leaf_state = leaf.borrow();
        (leaf_state.name.clone(), leaf_state.service.clone())
    };
    let mut records = oracle::records(&service.name, question, key, limit);
    if *mode == Mode::Unsorted {
        records.reverse();
    }
    let list: Vec<Value> = records
        .iter()
        .map(|r| json!({ "id": r.id, "score": r.score, "data": { "service": r.service } }))
        .collect();
    let mut body = json!({ "records": list }).to_string();
    let mut out = reply_builder(leaf, 200);
    let postmark = leaf_api::postmark(&name, query, query_digest);
    let previous_postmark = leaf.borrow_mut().postmark.replace(postmark.clone());
    out = match mode {
        Mode::NoPostmark => out,
        Mode::TwoPostmarks => {
            out.header(leaf_api::POSTMARK, &postmark).header(leaf_api::POSTMARK, &postmark)
        }
        Mode::StalePostmark => {
            out.header(leaf_api::POSTMARK, previous_postmark.unwrap_or_default())
        }
        _ => out.header(leaf_api::POSTMARK, &postmark),
    };
    out = out.header(
        leaf_api::INDEX_VERSION,
        if *mode == Mode::WrongIndexVersion { "w00" } else { &service.index_version },
    );
    match mode {
        Mode::Garbage => body = "{\"records\":[{\"id\":7,".into(),
        Mode::Truncated => body.truncate(body.len() / 2),
        Mode::Overlong => body.push_str(&" ".repeat(grebepath_core::consts::MAX_REPLY_BYTES)),
        _ => {}
    }
    finish_reply(out, body, *mode == Mode::Truncated)
}
