//! The listener for operators, which serves JSON over HTTP on a separate thread.

use std::sync::Arc;
use std::time::Instant;

use axum::Router;
use axum::body::Bytes;
use axum::error_handling::HandleErrorLayer;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::middleware::map_response;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use grebepath_core::config::types::Config;
use grebepath_core::consts;
use grebepath_core::diagnostic::Diagnostic;
use grebepath_core::http_api::operator::{
    CONFIG, EXPECT_REVISION, OperatorOutcome, REQUEST_ID, STATUS, write,
};
use grebepath_core::http_api::{operator, rollout};
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_runtime::platform_api::{OperatorRequest, PlatformApi};
use serde_json::{Value, json};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tower::ServiceBuilder;
use tracing::error;

use crate::answer_counts::AnswerCounts;
use crate::confirmation::{Confirmation, Sender};
use crate::messages::ControllerInput;
use crate::operation_request::OperationRequest;
use crate::resubmissions::{RequestKey, Resubmissions};
use crate::rollout_listener;

/// A handle to the controller's thread.
#[derive(Clone)]
pub struct Controller {
    inputs: UnboundedSender<ControllerInput>,
    resubmissions: Arc<Resubmissions>,
    answers: Arc<AnswerCounts>,
}

/// Serves operators until `stop` becomes true.
pub fn serve(
    listener: std::net::TcpListener,
    inputs: UnboundedSender<ControllerInput>,
    platform_api: Option<&'static PlatformApi>,
    mut stop: tokio::sync::watch::Receiver<bool>,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return error!("the operators' listener can't be started: {e}"),
    };
    let answers: Arc<AnswerCounts> = Arc::default();
    let counted = answers.clone();
    let controller = Controller { inputs, resubmissions: Arc::default(), answers };
    let router = Router::new()
        .route(CONFIG, get(read_config).put(replace).patch(patch))
        .route(STATUS, get(status))
        .merge(rollout_listener::routes())
        .route("/v1/vouch", axum::routing::post(force_recovery))
        .route("/v1/members/{name}", axum::routing::delete(forget_member))
        .route("/metrics", get(metrics))
        .route("/livez", get(async || "ok\n"))
        .fallback(move |controller: State<Controller>, req: Request| {
            platform_request(controller, platform_api, req)
        })
        .layer(DefaultBodyLimit::max(consts::MAX_OPERATOR_REQUEST_BYTES))
        // Requests may be large, so excess concurrent requests are rejected rather than held in
        // memory.
        .layer(
            ServiceBuilder::new()
                .layer(HandleErrorLayer::new(async |_: tower::BoxError| {
                    json_response(
                        503,
                        &json!({ "error": "not-applied", "text": "too many requests" }),
                    )
                }))
                .load_shed()
                .concurrency_limit(consts::MAX_OPERATOR_REQUESTS),
        )
        .layer(map_response(move |response: Response| {
            counted.record(response.status().as_u16());
            std::future::ready(response)
        }))
        .with_state(controller);
    let stopped = async move {
        let _ = stop.wait_for(|s| *s).await;
    };
    if let Err(e) = runtime.block_on(grebepath_runtime::http::server::serve(
        listener,
        consts::MAX_OPERATOR_CONNECTIONS,
        router,
        stopped,
    )) {
        error!("the operators' listener failed: {e}");
    }
}

/// Serves a request in the platform's dialect, on any path without a route.
async fn platform_request(
    State(controller): State<Controller>,
    platform_api: Option<&'static PlatformApi>,
    req: Request,
) -> Response {
    let Some(api) = platform_api else {
        return json_response(404, &json!({ "error": "no such path" }));
    };
    let (head, body) = req.into_parts();
    let Ok(body) = axum::body::to_bytes(body, consts::MAX_OPERATOR_REQUEST_BYTES).await else {
        return json_response(413, &json!({ "error": "the body can't be read, or is too large" }));
    };
    let sender = Sender::from_parts(&head);
    match (api.read_operator_request)(&head, &body) {
        OperatorRequest::Malformed(response) => response.map(axum::body::Body::from),
        OperatorRequest::Operation { operation, request_id } => {
            let request = OperationRequest { request_id, expected_revision: None, operation };
            let write = |result| (api.write_operation_result)(result).map(axum::body::Body::from);
            submit(&controller, &sender, &body, request, write).await
        }
    }
}

/// Creates a response with a JSON body.
pub fn json_response(code: u16, body: &Value) -> Response {
    let code = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let text = format!("{body}\n");
    (code, [(header::CONTENT_TYPE, "application/json")], text).into_response()
}

/// Reads the optional request id and the optional expected revision from the request's headers.
fn request_headers(headers: &HeaderMap) -> Result<(Option<String>, Option<u64>), Diagnostic> {
    let bad = |place: &str, text: &str| Diagnostic::new(place, text);
    let text = |name: &str| headers.get(name).map(|v| v.to_str().map(str::to_string));
    let request = match text(REQUEST_ID) {
        None => None,
        Some(Ok(id)) if (1..=128).contains(&id.len()) => Some(id),
        Some(_) => return Err(bad(REQUEST_ID, "a request id has 1 to 128 plain characters")),
    };
    let expect = match text(EXPECT_REVISION) {
        None => None,
        Some(Ok(n)) if n.parse::<u64>().is_ok() => n.parse().ok(),
        Some(_) => return Err(bad(EXPECT_REVISION, "expected a whole number")),
    };
    Ok((request, expect))
}

/// Sends a request to the controller's thread and returns its result.
pub async fn operate(controller: &Controller, request: OperationRequest) -> OperationResult {
    let OperationRequest { request_id, expected_revision, operation } = request;
    let (reply, result) = oneshot::channel();
    let input = ControllerInput::Operate {
        request_id: request_id.unwrap_or_default(),
        expected_revision,
        operation,
        reply,
    };
    if controller.inputs.send(input).is_err() {
        return OperationResult::Rejected { why: "this controller is going down".into() };
    }
    result.await.unwrap_or(OperationResult::Unknown { why: "this controller went down".into() })
}

/// Executes a request and writes its result, or redirects its sender to confirm the request.
async fn submit(
    controller: &Controller,
    sender: &Sender,
    body: &[u8],
    request: OperationRequest,
    write: impl Fn(OperationResult) -> Response,
) -> Response {
    if !request.needs_confirmation() {
        return write(operate(controller, request.with_id()).await);
    }
    let key = RequestKey::new(sender, body);
    let confirmation = match &sender.confirmation {
        Some(confirmation) => {
            controller.resubmissions.remove_followed(&key);
            Some(confirmation.clone())
        }
        None => controller.resubmissions.take(&key, Instant::now()),
    };
    let request = match &confirmation {
        Some(confirmation) => request.confirmed_by(confirmation),
        None => request,
    };
    let revision = match operate(controller, request).await {
        OperationResult::Conflict { revision } => revision,
        result => return write(result),
    };
    let next = match &confirmation {
        Some(confirmation) => confirmation.next(revision),
        None => Some(Confirmation::first(revision)),
    };
    let Some(next) = next else {
        let why = "the configuration changes all the time".into();
        return write(OperationResult::Rejected { why });
    };
    controller.resubmissions.record_redirect(key, &next, Instant::now());
    redirect_to_confirm(&next, sender)
}

/// Returns the redirection with which the sender confirms its request.
fn redirect_to_confirm(confirmation: &Confirmation, sender: &Sender) -> Response {
    let text = "it has no id and names nothing that it builds on: confirm it at the location";
    let revision = confirmation.revision;
    let body = json!({ "error": "unconfirmed", "text": text, "revision": revision });
    let mut response = json_response(StatusCode::TEMPORARY_REDIRECT.as_u16(), &body);
    if let Ok(location) = HeaderValue::from_str(&confirmation.location(sender)) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    response
}

async fn read_config(State(controller): State<Controller>) -> Response {
    match operate(&controller, OperationRequest::without_id(Operation::Read)).await {
        OperationResult::Configuration { revision, entries: map } => {
            match Config::from_entries(&map) {
                Ok(conf) => {
                    json_response(200, &json!({ "revision": revision, "config": conf.to_json() }))
                }
                Err(e) => {
                    json_response(500, &json!({ "error": "unreadable", "text": e.to_string() }))
                }
            }
        }
        other => write_result(other),
    }
}

/// Handles an operator's statement that the replicas lost on other voters are lost permanently.
async fn force_recovery(State(controller): State<Controller>) -> Response {
    match controller.inputs.send(ControllerInput::Event(
        grebepath_core::control_plane::controller::Event::ForceRecovery,
    )) {
        Ok(()) => json_response(200, &json!({ "vouched": true })),
        Err(_) => json_response(503, &json!({ "error": "stopping" })),
    }
}

async fn forget_member(
    State(controller): State<Controller>,
    axum::extract::Path(name): axum::extract::Path<String>,
) -> Response {
    write_result(
        operate(&controller, OperationRequest::without_id(Operation::ForgetMember(name))).await,
    )
}

async fn replace(
    State(controller): State<Controller>,
    sender: Sender,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let operation = Operation::Replace(body.to_vec());
    operate_with_headers(&controller, &sender, &headers, operation, &body).await
}

async fn patch(
    State(controller): State<Controller>,
    sender: Sender,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let operation = Operation::Patch(body.to_vec());
    operate_with_headers(&controller, &sender, &headers, operation, &body).await
}

/// Executes an operation under the id and the revision in the request's headers.
pub async fn operate_with_headers(
    controller: &Controller,
    sender: &Sender,
    headers: &HeaderMap,
    operation: Operation,
    body: &[u8],
) -> Response {
    match request_headers(headers) {
        Err(f) => json_response(
            400,
            &json!({ "error": "bad-request", "findings": operator::findings(&[f]) }),
        ),
        Ok((request_id, expected_revision)) => {
            let request = OperationRequest { request_id, expected_revision, operation };
            submit(controller, sender, body, request, write_result).await
        }
    }
}

/// Writes the response for a result in this project's JSON format.
pub fn write_result(done: OperationResult) -> Response {
    let op = match done {
        OperationResult::Accepted { revision, replicas: copies, is_repeat: again } => {
            OperatorOutcome::Accepted { revision, replicas: copies, repeated: again }
        }
        OperationResult::Invalid(list) => {
            let all = list.into_iter().map(|(place, text)| Diagnostic::new(place, text)).collect();
            OperatorOutcome::Invalid(all)
        }
        OperationResult::Conflict { revision } => OperatorOutcome::RevisionMoved { revision },
        OperationResult::Rejected { why } => OperatorOutcome::Rejected { reason: why },
        OperationResult::Unknown { why } => OperatorOutcome::Unknown { reason: why },
        OperationResult::Forgotten { revision, edition } => {
            OperatorOutcome::Unknown { reason: operator::forgotten(revision, edition) }
        }
        OperationResult::Rollout(Some(rollout)) => {
            return json_response(200, &rollout::to_json(&rollout));
        }
        OperationResult::Rollout(None) => {
            return json_response(404, &json!({ "error": "no rollout of that service" }));
        }
        OperationResult::RolloutInProgress { target } => {
            let error = "another rollout of that service goes on";
            return json_response(409, &json!({ "error": error, "version": target }));
        }
        OperationResult::Configuration { .. } | OperationResult::Status { .. } => {
            OperatorOutcome::Unknown { reason: "an answer to something else".into() }
        }
    };
    let (code, body) = write(&op);
    json_response(code, &body)
}

/// Returns the status of this controller, and the membership as the leader of the configuration
/// knows it.
async fn status(State(controller): State<Controller>) -> Response {
    let (reply, result) = oneshot::channel();
    if controller.inputs.send(ControllerInput::Status(reply)).is_err() {
        return json_response(503, &json!({ "error": "stopping" }));
    }
    let own_status = result.await.unwrap_or(Value::Null);
    let mut body = json!({ "here": own_status });
    match operate(&controller, OperationRequest::without_id(Operation::Status)).await {
        OperationResult::Status { membership, progress } => {
            let members: Vec<Value> = membership
                .members
                .iter()
                .map(|m| {
                    let known = progress.iter().find(|f| f.0 == m.name);
                    json!({
                        "name": m.name, "addr": m.addr, "zone": m.zone, "threads": m.threads,
                        "settled": m.joined <= membership.settled,
                        "heard_ms_ago": known.map(|k| k.1),
                        "obeys": known.map(|k| k.2.applied_revision),
                        "ready": known.map(|k| k.2.ready),
                    })
                })
                .collect();
            body["cohort"] = json!({ "epoch": membership.term.as_u64(), "turn": membership.turn, "members": members });
        }
        OperationResult::Rejected { why } | OperationResult::Unknown { why } => {
            body["cohort"] = Value::Null;
            body["trouble"] = json!(why);
        }
        _ => {}
    }
    json_response(200, &body)
}

async fn metrics(State(controller): State<Controller>) -> Response {
    let (reply, result) = oneshot::channel();
    if controller.inputs.send(ControllerInput::Metrics(reply)).is_err() {
        return json_response(503, &json!({ "error": "stopping" }));
    }
    let of_controller = result.await.unwrap_or_default();
    (of_controller + &controller.answers.render()).into_response()
}
