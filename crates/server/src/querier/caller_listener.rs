//! The listeners for callers and for the platform's checks of readiness.

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
use grebepath_core::http_api::caller::{BUDGET, MISSING_SHARDS, RETRY_AFTER};
use grebepath_core::query::admission::max_open_queries;
use grebepath_core::query::event::Event;
use grebepath_core::query::request::{Outcome, Rejection, RejectionReason, SearchRequest};
use grebepath_runtime::forwarding_server::ForwardingServer;
use grebepath_runtime::http::server;
use grebepath_runtime::platform_api::PlatformApi;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::messages::{CallerRequest, MembershipInput, Threads, TrafficInput};

/// Calls are numbered over all threads of the process.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

#[derive(Clone)]
struct Listener {
    threads: Threads,
    /// The thread that serves this listener's calls.
    traffic: UnboundedSender<TrafficInput>,
    /// Calls of this listener that have no outcome yet.
    calls: Arc<AtomicUsize>,
}

/// The paths of one traffic thread's listener.
pub fn router(threads: Threads, traffic: UnboundedSender<TrafficInput>) -> Router {
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
        .layer(DefaultBodyLimit::max(consts::MAX_QUERY_BYTES + 1))
        .with_state(Listener { threads, traffic, calls: Arc::default() })
}

/// A call in flight. Tells the engine when the caller goes away before its outcome.
struct CallGuard {
    call: u64,
    traffic: UnboundedSender<TrafficInput>,
    calls: Arc<AtomicUsize>,
    done: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.calls.fetch_sub(1, Ordering::Relaxed);
        if !self.done {
            let _ = self.traffic.send(TrafficInput::Event(Event::CallerGone { call: self.call }));
        }
    }
}

fn budget(map: &HeaderMap) -> Option<&str> {
    map.get(BUDGET).map(|v| v.to_str().unwrap_or("unreadable"))
}

async fn search_get(
    State(listener): State<Listener>,
    Path(mapping): Path<String>,
    Query(params): Query<Vec<(String, String)>>,
    heads: HeaderMap,
) -> Response {
    search(listener, caller::read_get(&mapping, budget(&heads), &params)).await
}

async fn search_post(
    State(listener): State<Listener>,
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
    search(listener, ask).await
}

async fn search(listener: Listener, ask: Result<SearchRequest, Rejection>) -> Response {
    let ask = match ask {
        Ok(ask) => ask,
        Err(b) => return written(&Outcome::Rejected(b)),
    };
    // What waits before the desk is bounded here, each class to its part: this
    // is the one place where calls could pile up.
    let class = listener.threads.view.borrow().routes.get(&ask.route).map(|m| m.priority_class);
    let most = max_open_queries(class.unwrap_or_default()) * consts::MAX_LISTENER_CALLS
        / consts::MAX_CONCURRENT_QUERIES;
    let call = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
    let (traffic, calls) = (listener.traffic.clone(), listener.calls.clone());
    let busy = calls.fetch_add(1, Ordering::Relaxed);
    let mut guard = CallGuard { call, traffic, calls, done: false };
    if busy >= most {
        guard.done = true;
        let mut b = Rejection::new(
            RejectionReason::ConcurrencyLimit,
            "this node's door has all the calls it may",
        );
        let spread = consts::RETRY_AFTER_MAX_S / 4;
        b.retry_after_seconds = Some(consts::RETRY_AFTER_MIN_S + call % spread);
        return written(&Outcome::Rejected(b));
    }
    let (reply, outcome) = oneshot::channel();
    let request = CallerRequest::Search(ask);
    let outcome = match listener.traffic.send(TrafficInput::Call { call, request, reply }) {
        Ok(()) => outcome.await.ok(),
        Err(_) => None,
    };
    guard.done = true;
    let outcome = outcome.unwrap_or_else(|| {
        Outcome::Rejected(Rejection::new(RejectionReason::ShuttingDown, "this node is going down"))
    });
    written(&outcome)
}

/// Serves calls that are forwarded.
pub async fn forward(
    listener: std::net::TcpListener,
    server: Rc<ForwardingServer>,
    traffic: UnboundedSender<TrafficInput>,
    api: &'static PlatformApi,
) {
    let calls = Arc::new(AtomicUsize::new(0));
    let answer = move |head, body| {
        let (traffic, calls) = (traffic.clone(), calls.clone());
        async move {
            let request = CallerRequest::Forward(Arc::new((api.read_call)(head, body)));
            let call = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
            calls.fetch_add(1, Ordering::Relaxed);
            let mut guard = CallGuard { call, traffic: traffic.clone(), calls, done: false };
            let (reply, outcome) = oneshot::channel();
            let outcome = match traffic.send(TrafficInput::Call { call, request, reply }) {
                Ok(()) => outcome.await.ok(),
                Err(_) => None,
            };
            guard.done = true;
            let gone = || Rejection::new(RejectionReason::ShuttingDown, "this node is going down");
            (api.write_outcome)(outcome.unwrap_or_else(|| Outcome::Rejected(gone())))
        }
    };
    server.serve(listener, answer).await;
}

/// The address at which readiness alone is asked.
pub struct ReadinessListener {
    /// Listens for the checks.
    pub listener: std::net::TcpListener,
    /// All threads of the process.
    pub threads: Threads,
}

impl ReadinessListener {
    /// Serves the checks at `path`, and our own paths beside it: metrics, and searches
    /// of our own, which `traffic` answers.
    pub async fn serve(self, path: &'static str, traffic: UnboundedSender<TrafficInput>) {
        let ready = self.threads.ready.clone();
        let check = get(async move || readiness(*ready.borrow()));
        let router = router(self.threads, traffic).route(path, check);
        let never = std::future::pending();
        if let Err(e) =
            server::serve(self.listener, consts::MAX_READINESS_CONNECTIONS, router, never).await
        {
            tracing::error!("the door for checks: {e}");
        }
    }
}

fn readiness(ready: bool) -> Response {
    if ready {
        return "ready\n".into_response();
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
}

fn written(outcome: &Outcome) -> Response {
    let out = caller::write(outcome);
    let code = StatusCode::from_u16(out.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut resp = (code, [(header::CONTENT_TYPE, "application/json")], out.body).into_response();
    if let Some(n) = out.missing_shards {
        resp.headers_mut().insert(MISSING_SHARDS, (n as u64).into());
    }
    if let Some(s) = out.retry_after {
        resp.headers_mut().insert(RETRY_AFTER, s.into());
    }
    resp
}

async fn ready(State(listener): State<Listener>) -> Response {
    readiness(*listener.threads.ready.borrow())
}

async fn metrics(State(listener): State<Listener>) -> Response {
    let (reply, membership) = oneshot::channel();
    let _ = listener.threads.membership.send(MembershipInput::Metrics(reply));
    let mut pending = Vec::new();
    for thread in &listener.threads.traffic {
        let (reply, counts) = oneshot::channel();
        if thread.send(TrafficInput::Metrics(reply)).is_ok() {
            pending.push(counts);
        }
    }
    let mut all = Vec::new();
    for counts in pending {
        if let Ok(counts) = counts.await {
            all.push(counts);
        }
    }
    let ready = *listener.threads.ready.borrow();
    crate::metrics::text(&all, membership.await.ok(), ready).into_response()
}
