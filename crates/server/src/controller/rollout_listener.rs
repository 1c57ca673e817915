//! The HTTP API for rollouts.

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::HeaderMap;
use axum::response::Response;
use axum::routing::{get, post};
use grebepath_core::http_api::{operator, rollout};
use grebepath_core::protocol::operation::{Operation, OperationResult};
use grebepath_core::rollout::record::rollouts_in;
use serde_json::{Value, json};

use crate::confirmation::Sender;
use crate::operation_request::OperationRequest;
use crate::operator_listener::{
    Controller, json_response, operate, operate_with_headers, write_result,
};

/// Returns the routes of the rollout API.
pub fn routes() -> Router<Controller> {
    Router::new()
        .route(rollout::ROLLOUTS, post(start).get(list))
        .route("/v1/rollouts/{service}", get(read).delete(abort))
}

async fn start(
    State(controller): State<Controller>,
    sender: Sender,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    match rollout::read_order(&body) {
        Ok(order) => {
            let operation = Operation::StartRollout(order);
            operate_with_headers(&controller, &sender, &headers, operation, &body).await
        }
        Err(error) => {
            let diagnostic = grebepath_core::diagnostic::Diagnostic::new(error.field(), error);
            let findings = operator::findings(&[diagnostic]);
            json_response(400, &json!({ "error": "bad-request", "findings": findings }))
        }
    }
}

async fn abort(
    State(controller): State<Controller>,
    Path(service): Path<String>,
    sender: Sender,
    headers: HeaderMap,
) -> Response {
    let operation = Operation::AbortRollout(service);
    operate_with_headers(&controller, &sender, &headers, operation, &[]).await
}

async fn read(State(controller): State<Controller>, Path(service): Path<String>) -> Response {
    let query = OperationRequest::without_id(Operation::ReadRollout(service));
    write_result(operate(&controller, query).await)
}

async fn list(State(controller): State<Controller>) -> Response {
    match operate(&controller, OperationRequest::without_id(Operation::Read)).await {
        OperationResult::Configuration { revision, entries } => {
            let rollouts: Vec<Value> =
                rollouts_in(&entries).map(|rollout| rollout::to_json(&rollout)).collect();
            json_response(200, &json!({ "revision": revision, "rollouts": rollouts }))
        }
        other => write_result(other),
    }
}
