//! The door for callers and for the platform's checks.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use grebepath_core::consts;
use grebepath_core::http_api::caller;
use grebepath_core::http_api::caller::{BUDGET, MISSING_PARTS, RETRY_AFTER};
use grebepath_core::query::admission::room_of;
use grebepath_core::query::event::Event;
use grebepath_core::query::request::{Outcome, Rejection, RejectionReason, SearchRequest};
use grebepath_core::snapshot::cluster_view::ClusterView;
use grebepath_runtime::forwarding_server::ForwardingServer;
use grebepath_runtime::platform_api::PlatformApi;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

use crate::control::Input;
use crate::traffic::{Called, Work};

/// Calls are numbered over all threads of the process.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// Everyone a door may have to ask.
#[derive(Clone)]
pub struct All {
    pub desks: Vec<UnboundedSender<Work>>,
    pub control: UnboundedSender<Input>,
    pub ready: watch::Receiver<bool>,
    /// The view, for the classes of the searches.
    pub view: watch::Receiver<Arc<ClusterView>>,
}

#[derive(Clone)]
struct Door {
    all: All,
    here: UnboundedSender<Work>,
    /// Calls of this door that have no outcome yet.
    calls: Arc<AtomicUsize>,
}

/// The paths of one traffic thread's door.
pub fn router(all: All, here: UnboundedSender<Work>) -> Router {
    Router::new()
        .route("/v1/search/{mapping}", get(search_get).post(search_post))
        .route("/readyz", get(ready))
        .route("/livez", get(async || "ok\n"))
        .route("/metrics", get(metrics))
        .fallback(async || {
            let text = "no such path; searches are at /v1/search/{mapping}";
            written(&Outcome::Rejected(Rejection::new(RejectionReason::UnknownRoute, text)))
        })
        // One byte over the limit still comes through, and gets our own 413.
        .layer(DefaultBodyLimit::max(consts::QUESTION_LIMIT + 1))
        .with_state(Door { all, here, calls: Arc::default() })
}

/// Tells the desk when the caller goes away before its outcome.
struct Guard {
    call: u64,
    here: UnboundedSender<Work>,
    calls: Arc<AtomicUsize>,
    done: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.calls.fetch_sub(1, Ordering::Relaxed);
        if !self.done {
            let _ = self.here.send(Work::Event(Event::CallerGone { call: self.call }));
        }
    }
}

fn budget(map: &HeaderMap) -> Option<&str> {
    map.get(BUDGET).map(|v| v.to_str().unwrap_or("unreadable"))
}

async fn search_get(
    State(door): State<Door>,
    Path(mapping): Path<String>,
    Query(params): Query<Vec<(String, String)>>,
    heads: HeaderMap,
) -> Response {
    search(door, caller::read_get(&mapping, budget(&heads), &params)).await
}

async fn search_post(
    State(door): State<Door>,
    Path(mapping): Path<String>,
    heads: HeaderMap,
    body: Result<Bytes, axum::extract::rejection::BytesRejection>,
) -> Response {
    let ask = match body {
        Ok(body) => caller::read_post(&mapping, budget(&heads), &body),
        Err(e) if e.status() == StatusCode::PAYLOAD_TOO_LARGE => {
            Err(Rejection::new(RejectionReason::TooLarge, "the question is larger than 64 KiB"))
        }
        Err(e) => Err(Rejection::new(RejectionReason::InvalidRequest, e.to_string())),
    };
    search(door, ask).await
}

async fn search(door: Door, ask: Result<SearchRequest, Rejection>) -> Response {
    let ask = match ask {
        Ok(ask) => ask,
        Err(b) => return written(&Outcome::Rejected(b)),
    };
    // What waits before the desk is bounded here, each class to its part: this
    // is the one place where calls could pile up.
    let class = door.all.view.borrow().mappings.get(&ask.route).map(|m| m.class);
    let most = room_of(class.unwrap_or_default()) * consts::DOOR_CALLS / consts::QUERIES_LIVE;
    let call = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
    let (here, calls) = (door.here.clone(), door.calls.clone());
    let busy = calls.fetch_add(1, Ordering::Relaxed);
    let mut guard = Guard { call, here, calls, done: false };
    if busy >= most {
        guard.done = true;
        let mut b = Rejection::new(
            RejectionReason::ConcurrencyLimit,
            "this node's door has all the calls it may",
        );
        let spread = consts::AGAIN_MAX_S / 4;
        b.retry_after_seconds = Some(consts::AGAIN_MIN_S + call % spread);
        return written(&Outcome::Rejected(b));
    }
    let (tell, told) = oneshot::channel();
    let outcome = if door.here.send(Work::Call { call, called: Called::Own(ask), tell }).is_ok() {
        told.await.ok()
    } else {
        None
    };
    guard.done = true;
    let outcome = outcome.unwrap_or_else(|| {
        Outcome::Rejected(Rejection::new(RejectionReason::ShuttingDown, "this node is going down"))
    });
    written(&outcome)
}

/// Serves the door for calls that are handed over.
pub async fn hand(
    listener: std::net::TcpListener,
    door: Rc<ForwardingServer>,
    here: UnboundedSender<Work>,
    dialect: &'static PlatformApi,
) {
    let calls = Arc::new(AtomicUsize::new(0));
    let answer = move |head, body| {
        let (here, calls) = (here.clone(), calls.clone());
        async move {
            let parcel = Arc::new((dialect.read_call)(head, body));
            let call = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
            calls.fetch_add(1, Ordering::Relaxed);
            let mut guard = Guard { call, here: here.clone(), calls, done: false };
            let (tell, told) = oneshot::channel();
            let called = Called::Handed(parcel);
            let outcome = match here.send(Work::Call { call, called, tell }) {
                Ok(()) => told.await.ok(),
                Err(_) => None,
            };
            guard.done = true;
            let gone = || Rejection::new(RejectionReason::ShuttingDown, "this node is going down");
            (dialect.write_outcome)(outcome.unwrap_or_else(|| Outcome::Rejected(gone())))
        }
    };
    door.serve(listener, answer).await;
}

/// Serves the address at which readiness alone is asked.
pub async fn check(
    listener: std::net::TcpListener,
    path: &str,
    ready: watch::Receiver<bool>,
    (all, here): (All, UnboundedSender<Work>),
) {
    // Our own paths beside it: metrics, and searches of our own.
    let router = router(all, here).route(
        path,
        get(async move || {
            if *ready.borrow() {
                return "ready\n".into_response();
            }
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
        }),
    );
    let never = std::future::pending();
    if let Err(e) =
        grebepath_runtime::http::server::serve(listener, consts::CHECK_WIRES, router, never).await
    {
        tracing::error!("the door for checks: {e}");
    }
}

fn written(outcome: &Outcome) -> Response {
    let out = caller::write(outcome);
    let code = StatusCode::from_u16(out.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut resp = (code, [(header::CONTENT_TYPE, "application/json")], out.body).into_response();
    if let Some(n) = out.missing_shards {
        resp.headers_mut().insert(MISSING_PARTS, (n as u64).into());
    }
    if let Some(s) = out.retry_after {
        resp.headers_mut().insert(RETRY_AFTER, s.into());
    }
    resp
}

async fn ready(State(door): State<Door>) -> Response {
    if *door.all.ready.borrow() {
        return "ready\n".into_response();
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
}

async fn metrics(State(door): State<Door>) -> Response {
    let (tell, told) = oneshot::channel();
    let _ = door.all.control.send(Input::Counts(tell));
    let mut asked = Vec::new();
    for desk in &door.all.desks {
        let (tell, told) = oneshot::channel();
        if desk.send(Work::Counts(tell)).is_ok() {
            asked.push(told);
        }
    }
    let mut counts = Vec::new();
    for told in asked {
        if let Ok(c) = told.await {
            counts.push(c);
        }
    }
    let ready = *door.all.ready.borrow();
    crate::metrics::text(&counts, told.await.ok(), ready).into_response()
}
