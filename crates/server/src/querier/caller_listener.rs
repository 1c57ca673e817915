//! HTTP listeners for callers and for the platform's readiness checks.

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

use crate::messages::{CallerRequest, MembershipInput, ThreadChannels, TrafficInput};

/// The next call number; numbers are unique across all threads of the process.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

#[derive(Clone)]
struct Listener {
    threads: ThreadChannels,
    /// The thread that serves this listener's calls.
    traffic: UnboundedSender<TrafficInput>,
    /// Number of this listener's calls that have no outcome yet.
    calls: Arc<AtomicUsize>,
}

/// Returns the routes of one traffic thread's listener.
pub fn router(threads: ThreadChannels, traffic: UnboundedSender<TrafficInput>) -> Router {
    Router::new()
        .route("/v1/search/{mapping}", get(search_get).post(search_post))
        .route("/readyz", get(ready))
        .route("/livez", get(async || "ok\n"))
        .route("/metrics", get(metrics))
        .fallback(async || {
            let text = "no such path; searches are at /v1/search/{mapping}";
            to_response(&Outcome::Rejected(Rejection::new(RejectionReason::UnknownRoute, text)))
        })
        // A body of one byte over the limit is read, so that the API's own 413 rejects it.
        .layer(DefaultBodyLimit::max(consts::MAX_QUERY_BYTES + 1))
        .with_state(Listener { threads, traffic, calls: Arc::default() })
}

/// A call in flight. Notifies the engine if the caller disconnects before there is an outcome.
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

fn budget_header(header_map: &HeaderMap) -> Option<&str> {
    header_map.get(BUDGET).map(|v| v.to_str().unwrap_or("unreadable"))
}

async fn search_get(
    State(listener): State<Listener>,
    Path(route): Path<String>,
    Query(params): Query<Vec<(String, String)>>,
    headers: HeaderMap,
) -> Response {
    search(listener, caller::read_get(&route, budget_header(&headers), &params)).await
}

async fn search_post(
    State(listener): State<Listener>,
    Path(route): Path<String>,
    headers: HeaderMap,
    body: Result<Bytes, axum::extract::rejection::BytesRejection>,
) -> Response {
    let request = match body {
        Ok(body) => caller::read_post(&route, budget_header(&headers), &body),
        Err(e) if e.status() == StatusCode::PAYLOAD_TOO_LARGE => {
            Err(Rejection::new(RejectionReason::TooLarge, "the question is larger than 64 KiB"))
        }
        Err(e) => Err(Rejection::new(RejectionReason::InvalidRequest, e.to_string())),
    };
    search(listener, request).await
}

async fn search(listener: Listener, request: Result<SearchRequest, Rejection>) -> Response {
    let request = match request {
        Ok(request) => request,
        Err(rejection) => return to_response(&Outcome::Rejected(rejection)),
    };
    // The number of calls that wait for the query engine is bounded here, by class. No other
    // place could queue calls without a bound.
    let class = listener.threads.view.borrow().routes.get(&request.route).map(|m| m.priority_class);
    let limit = max_open_queries(class.unwrap_or_default()) * consts::MAX_LISTENER_CALLS
        / consts::MAX_CONCURRENT_QUERIES;
    let call = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
    let (traffic, calls) = (listener.traffic.clone(), listener.calls.clone());
    let open_calls = calls.fetch_add(1, Ordering::Relaxed);
    let mut guard = CallGuard { call, traffic, calls, done: false };
    if open_calls >= limit {
        guard.done = true;
        let mut rejection = Rejection::new(
            RejectionReason::ConcurrencyLimit,
            "this node's door has all the calls it may",
        );
        let spread = consts::RETRY_AFTER_MAX_S / 4;
        rejection.retry_after_seconds = Some(consts::RETRY_AFTER_MIN_S + call % spread);
        return to_response(&Outcome::Rejected(rejection));
    }
    let (reply, outcome) = oneshot::channel();
    let request = CallerRequest::Search(request);
    let outcome = match listener.traffic.send(TrafficInput::Call { call, request, reply }) {
        Ok(()) => outcome.await.ok(),
        Err(_) => None,
    };
    guard.done = true;
    let outcome = outcome.unwrap_or_else(|| {
        Outcome::Rejected(Rejection::new(RejectionReason::ShuttingDown, "this node is going down"))
    });
    to_response(&outcome)
}

/// Serves callers whose requests are forwarded to leafs unchanged.
pub async fn forward(
    listener: std::net::TcpListener,
    server: Rc<ForwardingServer>,
    traffic: UnboundedSender<TrafficInput>,
    api: &'static PlatformApi,
) {
    let calls = Arc::new(AtomicUsize::new(0));
    let respond = move |head, body| {
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
    server.serve(listener, respond).await;
}

/// A separate listener for the platform's readiness checks.
pub struct ReadinessListener {
    /// The bound socket.
    pub listener: std::net::TcpListener,
    /// Channels to all threads of the process.
    pub threads: ThreadChannels,
}

impl ReadinessListener {
    /// Serves the readiness check at `path`, and the routes of [`router`] beside it: among them
    /// metrics, and searches, which the traffic thread `traffic` answers.
    pub async fn serve(self, path: &'static str, traffic: UnboundedSender<TrafficInput>) {
        let ready = self.threads.ready.clone();
        let check = get(async move || readiness(*ready.borrow()));
        let router = router(self.threads, traffic).route(path, check);
        let never = std::future::pending();
        if let Err(e) =
            server::serve(self.listener, consts::MAX_READINESS_CONNECTIONS, router, never).await
        {
            tracing::error!("the readiness listener failed: {e}");
        }
    }
}

fn readiness(ready: bool) -> Response {
    if ready {
        return "ready\n".into_response();
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
}

fn to_response(outcome: &Outcome) -> Response {
    let reply = caller::write(outcome);
    let code = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response =
        (code, [(header::CONTENT_TYPE, "application/json")], reply.body).into_response();
    if let Some(n) = reply.missing_shards {
        response.headers_mut().insert(MISSING_SHARDS, (n as u64).into());
    }
    if let Some(s) = reply.retry_after {
        response.headers_mut().insert(RETRY_AFTER, s.into());
    }
    response
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
