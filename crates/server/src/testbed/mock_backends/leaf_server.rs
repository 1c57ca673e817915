//! Serves the requests of one mock leaf, each as its mode asks.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use grebepath_core::digest::digest;
use grebepath_core::http_api::leaf as edge;
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
    zero: Instant,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            got = listener.accept() => {
                let Ok((stream, _)) = got else { continue };
                let _ = stream.set_nodelay(true);
                let (leaf, runs, random) = (leaf.clone(), runs.clone(), random.clone());
                let service = service_fn(move |req| {
                    handle(leaf.clone(), runs.clone(), random.clone(), zero, req)
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

/// A body that may break off before its end.
pub struct Body {
    bytes: Option<Bytes>,
    cut: bool,
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
            None if self.cut => Ready(Some(Err(std::io::Error::other("cut short")))),
            None => Ready(None),
        }
    }
}

type Reply = Response<Body>;

/// Counts a dispatch out again, however its handling ends.
struct Live(Rc<RefCell<Leaf>>);

impl Drop for Live {
    fn drop(&mut self) {
        self.0.borrow_mut().live -= 1;
    }
}

async fn handle(
    leaf: Rc<RefCell<Leaf>>,
    runs: Rc<RefCell<Vec<Run>>>,
    random: Rc<RefCell<Random>>,
    zero: Instant,
    req: Request<hyper::body::Incoming>,
) -> Result<Reply, Infallible> {
    let head = |name: &str| {
        req.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_string()
    };
    let (want, service) = (head(edge::EXPECT_LEAF), head(edge::EXPECT_SERVICE));
    let probe = req.uri().path() == edge::SELF_PATH;
    let (query, sum) = (head(edge::QUERY_ID), head(edge::QUESTION_DIGEST));
    let body = match req.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Ok(plain(&leaf, 400)),
    };
    if let Some(code) = refuses(&leaf, &want, &service, (!probe).then_some((&body, &sum))) {
        return Ok(unrun(&leaf, code));
    }
    if probe {
        if leaf.borrow().mode == Mode::Dark {
            std::future::pending::<()>().await;
        }
        return Ok(plain(&leaf, 200));
    }
    let Ok(asked) = serde_json::from_slice::<Value>(&body) else {
        return Ok(unrun(&leaf, 400));
    };
    let (live, bear, mode) = {
        let mut l = leaf.borrow_mut();
        l.live += 1;
        let bear = l.capacity();
        l.worst_pct = l.worst_pct.max(l.live * 100 / bear);
        if let Some(at) = l.left_at {
            l.late_work_ms = l.late_work_ms.max(at.elapsed().as_millis() as u64);
        }
        (l.live, bear, l.mode.clone())
    };
    let _live = Live(leaf.clone());
    if mode == Mode::Unrun || live > bear * 3 {
        return Ok(unrun(&leaf, 503));
    }
    let question = asked["question"].as_str().unwrap_or_default().to_string();
    let key = asked["key"].as_str().map(str::to_string);
    let limit = asked["limit"].as_u64().unwrap_or(0) as usize;
    let row = note_run(&leaf, &runs, zero, &query, &question, &key);
    let base = leaf.borrow().service.took_ms;
    let noise = random.borrow_mut().below(base + 1);
    let over = u64::from(live.saturating_sub(bear)) * base / u64::from(bear.max(1));
    let extra = match &mode {
        Mode::Slow(ms) => *ms,
        Mode::Dark => 3_600_000,
        Mode::Pauses { every, pause } => {
            let phase = zero.elapsed().as_millis() as u64 % every;
            pause.saturating_sub(phase)
        }
        _ => 0,
    };
    tokio::time::sleep(Duration::from_millis(base / 2 + noise / 2 + over + extra)).await;
    // One record alone can't be out of order.
    let ordered = mode == Mode::Disorder && limit == 1;
    if ordered || matches!(mode, Mode::Good | Mode::Slow(_) | Mode::Pauses { .. }) {
        runs.borrow_mut()[row].answered = true;
    }
    Ok(answer(&leaf, &mode, &query, &sum, (&question, key.as_deref(), limit)))
}

/// Whether a leaf turns a request away: meant for another, or changed.
fn refuses(
    leaf: &Rc<RefCell<Leaf>>,
    want: &str,
    service: &str,
    body: Option<(&[u8], &str)>,
) -> Option<u16> {
    let mut l = leaf.borrow_mut();
    if want != l.name || service != l.service.name {
        l.misdirected += 1;
        l.reached += u64::from(body.is_some());
        return Some(edge::MISDIRECTED);
    }
    if body.is_some_and(|(body, sum)| digest(body) != sum) {
        l.changed += 1;
        return Some(400);
    }
    None
}

fn note_run(
    leaf: &Rc<RefCell<Leaf>>,
    runs: &Rc<RefCell<Vec<Run>>>,
    zero: Instant,
    query: &str,
    question: &str,
    key: &Option<String>,
) -> usize {
    let mut l = leaf.borrow_mut();
    l.ran += 1;
    runs.borrow_mut().push(Run {
        leaf: l.name.clone(),
        service: l.service.name.clone(),
        cut: l.service.cut.clone(),
        zone: l.zone.clone(),
        query: query.to_string(),
        question: question.to_string(),
        key: key.clone(),
        at_ms: zero.elapsed().as_millis() as u64,
        answered: false,
    });
    runs.borrow().len() - 1
}

fn dressed(leaf: &Rc<RefCell<Leaf>>, code: u16) -> hyper::http::response::Builder {
    let l = leaf.borrow();
    let busy = (f64::from(l.live) / f64::from(l.capacity())).min(1.0);
    let mut out = Response::builder()
        .status(code)
        .header(edge::BUSY, format!("{busy:.2}"))
        .header(edge::LEAF_AGE, l.born.elapsed().as_millis().to_string());
    if l.leaving && l.tells_leaving {
        out = out.header(edge::LEAF_STATE, "leaving");
    }
    out
}

fn finished(out: hyper::http::response::Builder, body: impl Into<Bytes>, cut: bool) -> Reply {
    match out.body(Body { bytes: Some(body.into()), cut }) {
        Ok(reply) => reply,
        Err(_) => Response::new(Body { bytes: None, cut: true }),
    }
}

fn plain(leaf: &Rc<RefCell<Leaf>>, code: u16) -> Reply {
    finished(dressed(leaf, code), "", false)
}

fn unrun(leaf: &Rc<RefCell<Leaf>>, code: u16) -> Reply {
    finished(dressed(leaf, code).header(edge::REJECTED, "1"), "", false)
}

fn answer(
    leaf: &Rc<RefCell<Leaf>>,
    mode: &Mode,
    query: &str,
    sum: &str,
    (question, key, limit): (&str, Option<&str>, usize),
) -> Reply {
    let (name, service) = {
        let l = leaf.borrow();
        (l.name.clone(), l.service.clone())
    };
    let mut recs = oracle::records(&service.name, question, key, limit);
    if *mode == Mode::Disorder {
        recs.reverse();
    }
    let list: Vec<Value> = recs
        .iter()
        .map(|r| json!({ "id": r.id, "score": r.score, "data": { "service": r.service } }))
        .collect();
    let mut body = json!({ "records": list }).to_string();
    let mut out = dressed(leaf, 200);
    let mark = edge::postmark(&name, query, sum);
    let old = leaf.borrow_mut().postmark.replace(mark.clone());
    out = match mode {
        Mode::NoPostmark => out,
        Mode::TwoPostmarks => out.header(edge::POSTMARK, &mark).header(edge::POSTMARK, &mark),
        Mode::StalePostmark => out.header(edge::POSTMARK, old.unwrap_or_default()),
        _ => out.header(edge::POSTMARK, &mark),
    };
    out =
        out.header(edge::INDEX_VERSION, if *mode == Mode::WrongCut { "w00" } else { &service.cut });
    match mode {
        Mode::Garbage => body = "{\"records\":[{\"id\":7,".into(),
        Mode::CutShort => body.truncate(body.len() / 2),
        Mode::Overlong => body.push_str(&" ".repeat(grebepath_core::consts::MAX_REPLY_BYTES)),
        _ => {}
    }
    finished(out, body, *mode == Mode::CutShort)
}
