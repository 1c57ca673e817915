//! The operator: sends operations one after the other as documented, without request ids.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use grebepath_runtime::http::client::HttpClient;
use hyper::Method;
use serde_json::{Value, json};
use testbed::redirects::FollowedRequest;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::record::{Record, ZoneOperationRecord, ZoneRead};

/// Timeout of a request, after which the operator tries the next controller.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after the first attempt; it doubles with each attempt.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of attempts for an operation.
const MAX_ATTEMPTS: usize = 12;

/// An operation on a zone.
pub struct ZoneOperation {
    /// The zone.
    pub zone: &'static str,
    /// Whether the zone is to be drained or opened.
    pub drained: bool,
    /// The controller that the operation is sent to first.
    pub controller: usize,
}

/// Sends operations until the channel is closed.
pub async fn run_operator(
    controllers: Vec<SocketAddr>,
    mut operations: UnboundedReceiver<ZoneOperation>,
    record: Rc<RefCell<Record>>,
    send_drains: bool,
) {
    let http = HttpClient::new(4);
    while let Some(operation) = operations.recv().await {
        record_zone_state(&http, &controllers, &record, operation.zone).await;
        let index = record_sent(&record, &operation);
        let sends_this = send_drains || !operation.drained;
        if !sends_this || send_operation(&http, &controllers, &operation).await {
            let mut record = record.borrow_mut();
            record.zone_operations[index].acknowledged_ms = Some(record.now_ms());
            record.log_event(format!(
                "zone {}: drained {} acknowledged",
                operation.zone, operation.drained
            ));
        }
    }
}

/// Reads the state of a zone from the first controller that answers, and records it together
/// with the zone's newest operation.
async fn record_zone_state(
    http: &HttpClient,
    controllers: &[SocketAddr],
    record: &Rc<RefCell<Record>>,
    zone: &'static str,
) {
    for controller in controllers {
        let request = FollowedRequest::new(Method::GET, "/v1/config", "");
        let Ok(answer) = request.send(http, &controller.to_string(), RESPONSE_TIMEOUT).await else {
            continue;
        };
        let Ok(read) = serde_json::from_slice::<Value>(answer.body()) else { continue };
        let Some(zones) = read["config"]["zones"].as_array() else { continue };
        let is_drained = zones.iter().any(|z| z["name"] == zone && z["state"] == "drained");
        let mut record = record.borrow_mut();
        let at_ms = record.now_ms();
        let operation = record.zone_operations.iter().rposition(|operation| operation.zone == zone);
        if let Some(operation) = operation {
            record.zone_reads.push(ZoneRead { operation, is_drained, at_ms });
        }
        return;
    }
}

/// Records that an operation is sent now. Returns its index in the record.
fn record_sent(record: &Rc<RefCell<Record>>, operation: &ZoneOperation) -> usize {
    let mut record = record.borrow_mut();
    let ZoneOperation { zone, drained, controller } = operation;
    record.log_event(format!("zone {zone}: drained {drained} sent to controller {controller}"));
    let sent_ms = record.now_ms();
    let zone = zone.to_string();
    let drained = *drained;
    record.zone_operations.push(ZoneOperationRecord {
        zone,
        drained,
        sent_ms,
        acknowledged_ms: None,
    });
    record.zone_operations.len() - 1
}

/// Sends an operation to one controller after the other until one acknowledges it.
async fn send_operation(
    http: &HttpClient,
    controllers: &[SocketAddr],
    operation: &ZoneOperation,
) -> bool {
    let state = if operation.drained { "drained" } else { "open" };
    let body = json!({ "zones": [{ "name": operation.zone, "state": state }] }).to_string();
    let request = FollowedRequest::new(Method::PATCH, "/v1/config", body);
    let mut pause = RETRY_DELAY;
    for attempt in 0..MAX_ATTEMPTS {
        let controller = controllers[(operation.controller + attempt) % controllers.len()];
        // A request that times out closes its connection.
        let answer = request.send(http, &controller.to_string(), RESPONSE_TIMEOUT).await;
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
    }
    false
}
