//! The door for operators: HTTP with JSON.

use axum::Router;
use axum::body::Bytes;
use axum::error_handling::HandleErrorLayer;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use grebepath_core::config::{change, show};
use grebepath_core::consts;
use grebepath_core::diagnostic::Diagnostic;
use grebepath_core::http_api::operator;
use grebepath_core::http_api::operator::{
    CONFIG, EXPECT_REVISION, OperatorOutcome, REQUEST_ID, STATUS, write,
};
use grebepath_core::protocol::message::{Operation, OperationResult};
use grebepath_runtime::platform_api::{OperatorRequest, PlatformApi};
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tower::ServiceBuilder;
use tracing::error;

use crate::owner::Input;

type Owner = UnboundedSender<Input>;

/// Serves operators until told to stop.
pub fn serve(
    listener: std::net::TcpListener,
    owner: Owner,
    dialect: Option<&'static PlatformApi>,
    mut stop: tokio::sync::watch::Receiver<bool>,
) {
    let rt = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(rt) => rt,
        Err(e) => return error!("the operators' door can't be served: {e}"),
    };
    let router = Router::new()
        .route(CONFIG, get(read).put(whole).patch(patch))
        .route(STATUS, get(status))
        .route("/v1/vouch", axum::routing::post(vouch))
        .route("/v1/members/{name}", axum::routing::delete(forget))
        .route("/metrics", get(metrics))
        .route("/livez", get(async || "ok\n"))
        .fallback(move |owner: State<Owner>, req: Request| foreign(owner, dialect, req))
        .layer(DefaultBodyLimit::max(consts::CONFIG_LIMIT))
        // Large requests are few: more than this at once are turned away
        // rather than held in memory.
        .layer(
            ServiceBuilder::new()
                .layer(HandleErrorLayer::new(async |_: tower::BoxError| {
                    answer(503, &json!({ "error": "not-applied", "text": "too many requests" }))
                }))
                .load_shed()
                .concurrency_limit(consts::OPERATORS_AT_ONCE),
        )
        .with_state(owner);
    let until = async move {
        let _ = stop.wait_for(|s| *s).await;
    };
    if let Err(e) = rt.block_on(grebepath_runtime::http::server::serve(
        listener,
        consts::OPERATOR_WIRES,
        router,
        until,
    )) {
        error!("the operators' door: {e}");
    }
}

/// A call in another manner of speaking than ours.
async fn foreign(
    State(owner): State<Owner>,
    dialect: Option<&'static PlatformApi>,
    req: Request,
) -> Response {
    let Some(dialect) = dialect else {
        return answer(404, &json!({ "error": "no such path" }));
    };
    let (head, body) = req.into_parts();
    let Ok(body) = axum::body::to_bytes(body, consts::CONFIG_LIMIT).await else {
        return answer(413, &json!({ "error": "the body can't be read, or is too large" }));
    };
    let resp = match (dialect.read_operator_request)(&head, &body) {
        OperatorRequest::Malformed(resp) => resp,
        OperatorRequest::Operation { operation: deed, request_id: request } => {
            let request = request.unwrap_or_else(own_id);
            (dialect.write_operation_result)(operate(&owner, request, None, deed).await)
        }
    };
    resp.map(axum::body::Body::from)
}

/// An id for a request that brought none.
fn own_id() -> String {
    format!(
        "auto-{:016x}-{:016x}",
        grebepath_runtime::clock::nonce(),
        grebepath_runtime::clock::nonce()
    )
}

fn answer(code: u16, body: &Value) -> Response {
    let code = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let text = format!("{body}\n");
    (code, [(header::CONTENT_TYPE, "application/json")], text).into_response()
}

/// Reads the request's heads; a request without an id gets one of its own.
fn heads(map: &HeaderMap) -> Result<(String, Option<u64>), Diagnostic> {
    let bad =
        |place: &str, text: &str| Diagnostic { place: place.to_string(), text: text.to_string() };
    let text = |name: &str| map.get(name).map(|v| v.to_str().map(str::to_string));
    let request = match text(REQUEST_ID) {
        None => own_id(),
        Some(Ok(id)) if (1..=128).contains(&id.len()) => id,
        Some(_) => return Err(bad(REQUEST_ID, "a request id has 1 to 128 plain characters")),
    };
    let expect = match text(EXPECT_REVISION) {
        None => None,
        Some(Ok(n)) if n.parse::<u64>().is_ok() => n.parse().ok(),
        Some(_) => return Err(bad(EXPECT_REVISION, "expected a whole number")),
    };
    Ok((request, expect))
}

async fn operate(
    owner: &Owner,
    request: String,
    expect: Option<u64>,
    deed: Operation,
) -> OperationResult {
    let (tell, told) = oneshot::channel();
    if owner.send(Input::Operate { request, expect, deed, tell }).is_err() {
        return OperationResult::Rejected { why: "this controller is going down".into() };
    }
    told.await.unwrap_or(OperationResult::Unknown { why: "this controller went down".into() })
}

async fn read(State(owner): State<Owner>) -> Response {
    match operate(&owner, String::new(), None, Operation::Read).await {
        OperationResult::Configuration { revision, map } => match change::config(&map) {
            Ok(conf) => answer(200, &json!({ "revision": revision, "config": show::json(&conf) })),
            Err(e) => answer(500, &json!({ "error": "unreadable", "text": e })),
        },
        other => outcome(other),
    }
}

/// An operator vouches that copies lost on other seats are lost for good.
async fn vouch(State(owner): State<Owner>) -> Response {
    match owner
        .send(Input::Controller(grebepath_core::control_plane::controller::Event::ForceRecovery))
    {
        Ok(()) => answer(200, &json!({ "vouched": true })),
        Err(_) => answer(503, &json!({ "error": "stopping" })),
    }
}

async fn forget(
    State(owner): State<Owner>,
    axum::extract::Path(name): axum::extract::Path<String>,
) -> Response {
    outcome(operate(&owner, String::new(), None, Operation::ForgetMember(name)).await)
}

async fn whole(State(owner): State<Owner>, map: HeaderMap, body: Bytes) -> Response {
    changed(owner, map, Operation::Replace(body.to_vec())).await
}

async fn patch(State(owner): State<Owner>, map: HeaderMap, body: Bytes) -> Response {
    changed(owner, map, Operation::Patch(body.to_vec())).await
}

async fn changed(owner: Owner, map: HeaderMap, deed: Operation) -> Response {
    match heads(&map) {
        Err(f) => {
            answer(400, &json!({ "error": "bad-request", "findings": operator::findings(&[f]) }))
        }
        Ok((request, expect)) => outcome(operate(&owner, request, expect, deed).await),
    }
}

fn outcome(done: OperationResult) -> Response {
    let op = match done {
        OperationResult::Accepted { revision, copies, again } => {
            OperatorOutcome::Accepted { revision, replicas: copies, repeated: again }
        }
        OperationResult::Invalid(list) => {
            let all = list.into_iter().map(|(place, text)| Diagnostic { place, text }).collect();
            OperatorOutcome::Invalid(all)
        }
        OperationResult::Conflict { revision } => OperatorOutcome::RevisionMoved { revision },
        OperationResult::Rejected { why } => OperatorOutcome::Rejected { reason: why },
        OperationResult::Unknown { why } => OperatorOutcome::Unknown { reason: why },
        OperationResult::Forgotten { revision, edition } => {
            OperatorOutcome::Unknown { reason: operator::forgotten(revision, edition) }
        }
        OperationResult::Configuration { .. } | OperationResult::Status { .. } => {
            OperatorOutcome::Unknown { reason: "an answer to something else".into() }
        }
    };
    let (code, body) = write(&op);
    answer(code, &body)
}

/// What this seat knows, and what the configuration's owner knows of members.
async fn status(State(owner): State<Owner>) -> Response {
    let (tell, told) = oneshot::channel();
    if owner.send(Input::Own(tell)).is_err() {
        return answer(503, &json!({ "error": "stopping" }));
    }
    let own = told.await.unwrap_or(Value::Null);
    let mut body = json!({ "here": own });
    match operate(&owner, String::new(), None, Operation::Status).await {
        OperationResult::Status { membership, far } => {
            let members: Vec<Value> = membership
                .members
                .iter()
                .map(|m| {
                    let known = far.iter().find(|f| f.0 == m.name);
                    json!({
                        "name": m.name, "addr": m.addr, "zone": m.zone, "threads": m.threads,
                        "settled": m.joined <= membership.settled,
                        "heard_ms_ago": known.map(|k| k.1),
                        "obeys": known.map(|k| k.2.obeys),
                        "ready": known.map(|k| k.2.ready),
                    })
                })
                .collect();
            body["cohort"] =
                json!({ "epoch": membership.term, "turn": membership.turn, "members": members });
        }
        OperationResult::Rejected { why } | OperationResult::Unknown { why } => {
            body["cohort"] = Value::Null;
            body["trouble"] = json!(why);
        }
        _ => {}
    }
    answer(200, &body)
}

async fn metrics(State(owner): State<Owner>) -> Response {
    let (tell, told) = oneshot::channel();
    if owner.send(Input::Metrics(tell)).is_err() {
        return answer(503, &json!({ "error": "stopping" }));
    }
    told.await.unwrap_or_default().into_response()
}
